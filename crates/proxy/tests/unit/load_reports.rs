//! Unit tests of `load_reports.rs`.

use super::*;

fn are_latencies(reports: &LoadReports, values: &[(u64, f64)]) -> Vec<bool> {
    let start = Timestamp::from_ms(60_000.0);
    values
        .iter()
        .map(|(ms, value)| reports.is_message_latency(*value, start + Duration::from_millis(*ms)))
        .collect()
}

#[test]
fn message_latencies_are_recognized_among_connection_loads() {
    let reports = LoadReports::default();
    let values = [(0, 182_521.0), (300, 2190.7), (450, 25.3), (900, 641.0), (1450, 420.9), (2451, 1125.3)];
    assert_eq!(are_latencies(&reports, &values), [false, false, true, false, true, true]);
    // Two intervals later one report may be missing; a load between them is no latency.
    assert_eq!(
        are_latencies(&reports, &[(3900, 3893.3), (4452, 1927.0), (9900, 1588.9)]),
        [false, true, false]
    );
}

#[test]
fn a_long_message_latency_is_recognized_by_the_next_report() {
    let reports = LoadReports::default();
    assert_eq!(are_latencies(&reports, &[(0, 812.0), (1001, 1248.0), (2000, 3.1)]), [false, true, true]);
}
