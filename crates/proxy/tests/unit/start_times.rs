//! Stories of `start_times.rs` from within.

use super::*;
use std::time::Duration;

fn line(server: &str, started_ms: f64) -> Listed {
    Listed {
        server: server.into(),
        zone: "a".into(),
        kind: String::new(),
        cell: 0,
        started: (started_ms > 0.0).then(|| Point::from_ms(started_ms)),
        standing: Standing::Active,
    }
}

fn at(ms: f64) -> Point {
    Point::from_ms(ms)
}

/// The one line's start, in milliseconds.
fn start(starts: &mut StartTimes, server: &str, started_ms: f64, now_ms: f64) -> Option<f64> {
    starts.timed(vec![line(server, started_ms)], at(now_ms))[0].started.map(Point::as_ms)
}

#[test]
fn what_is_there_before_the_first_list_goes_by_what_is_told_but_never_lies_ahead() {
    let mut starts = StartTimes::default();
    assert_eq!(start(&mut starts, "s1", 0.0, 10_000.0), None, "long ago");
    assert_eq!(start(&mut starts, "s2", 4000.0, 10_000.0), Some(4000.0));
    assert_eq!(start(&mut starts, "s3", 3_600_000.0, 10_000.0), Some(10_000.0));
    assert_eq!(start(&mut starts, "s3", 3_600_000.0, 30_000.0), Some(10_000.0), "once timed it stays so");
}

#[test]
fn a_start_that_is_new_on_a_later_list_counts_from_when_it_was_heard() {
    let mut starts = StartTimes::default();
    start(&mut starts, "s1", 4000.0, 10_000.0);
    starts.list_is_heard();
    assert_eq!(start(&mut starts, "s1", 4000.0, 20_000.0), Some(4000.0), "an old one");
    assert_eq!(start(&mut starts, "s1", 5000.0, 20_000.0), Some(20_000.0), "it has started anew");
    assert_eq!(start(&mut starts, "s2", 1.0, 20_000.0), Some(20_000.0));
    assert_eq!(start(&mut starts, "s2", 1.0, 25_000.0), Some(20_000.0));
    assert_eq!(start(&mut starts, "s4", 0.0, 25_000.0), None);
}

#[test]
fn discoverys_time_makes_starts_later_where_this_clock_is_ahead_and_never_earlier() {
    let unix = |ms| UNIX_EPOCH + Duration::from_millis(ms);
    let mut starts = StartTimes::default();
    starts.discovery_says(unix(9_000), at(10_000.0));
    assert_eq!(start(&mut starts, "s1", 4000.0, 10_000.0), Some(4000.0), "as near as the time is told");
    starts.discovery_says(unix(1_000), at(3_601_000.0));
    assert_eq!(start(&mut starts, "s2", 500.0, 3_601_000.0), Some(3_600_500.0));
    assert_eq!(start(&mut starts, "s3", 2000.0, 3_601_000.0), Some(3_601_000.0));
    starts.discovery_says(unix(7_200_000), at(10_000.0));
    assert_eq!(start(&mut starts, "s4", 4000.0, 10_000.0), Some(4000.0));
}
