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

#[test]
fn of_latency_reports_in_quick_succession_the_first_counts_at_once_and_the_last_one_later() {
    let (limiter, session) = (LatencyReportLimiter::default(), Rc::new(()));
    let at = |ms: u64| Timestamp::from_ms(60_000.0) + Duration::from_millis(ms);
    let receive = |ms: u64, session: &Rc<()>| {
        let report = LatencyReport { latency: Duration::from_millis(ms), session: Rc::downgrade(session) };
        limiter.receive(report, at(ms))
    };
    assert_eq!([0, 1, 2, 499].map(|ms| receive(ms, &session)), [true, false, false, false]);
    let take_held = |ms| limiter.take_held(at(ms)).map(|(latency, _)| latency);
    assert_eq!(take_held(900), Some(Duration::from_millis(499)));
    assert_eq!(take_held(901), None);
    // Reports at the usual interval are not held, and replace a held one.
    assert_eq!([1000, 2000, 3000].map(|ms| receive(ms, &session)), [false, true, true]);
    assert_eq!(take_held(3001), None);
    assert!(!receive(3002, &Rc::new(())), "a report of a session that closes before it is passed on");
    assert_eq!(take_held(4000), None);
}
