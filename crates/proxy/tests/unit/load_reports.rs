//! Unit tests of `load_reports.rs`.

use super::*;

fn classify_reports(classifier: &LoadReportClassifier, values: &[(u64, f64)]) -> Vec<bool> {
    let start = Timestamp::from_ms(60_000.0);
    values
        .iter()
        .map(|(ms, value)| classifier.is_message_latency(*value, start + Duration::from_millis(*ms)))
        .collect()
}

#[test]
fn message_latencies_are_recognized_among_connection_loads() {
    let classifier = LoadReportClassifier::default();
    let values = [(0, 182_521.0), (300, 2190.7), (450, 25.3), (900, 641.0), (1450, 420.9), (2451, 1125.3)];
    assert_eq!(classify_reports(&classifier, &values), [false, false, true, false, true, true]);
    // The report at 4452 comes two intervals after the last latency, as one may be missing. Those at 3900 and 9900 are
    // connection loads, as they come off the interval.
    assert_eq!(
        classify_reports(&classifier, &[(3900, 3893.3), (4452, 1927.0), (9900, 1588.9)]),
        [false, true, false]
    );
}

#[test]
fn a_long_message_latency_is_recognized_by_the_next_report() {
    let classifier = LoadReportClassifier::default();
    assert_eq!(
        classify_reports(&classifier, &[(0, 812.0), (1001, 1248.0), (2000, 3.1)]),
        [false, true, true]
    );
}
