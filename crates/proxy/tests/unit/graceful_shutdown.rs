//! Stories of `ending.rs` from within.

use super::*;

#[test]
fn the_course_of_the_end_follows_from_the_longest_request_timeout_and_is_over_before_the_killing() {
    for (request_timeout, killed) in [(Some(300), 1000), (Some(1200), 1900), (Some(4800), 3700), (None, 3700)]
    {
        let schedule = ShutdownSchedule::by(request_timeout.map(Duration::from_millis));
        assert!(schedule.stay_for < schedule.open_for && schedule.open_for < schedule.gone_within);
        // A beat, and the time to leave.
        assert!(
            schedule.gone_within + Duration::from_millis(150) < Duration::from_millis(killed),
            "{schedule:?}"
        );
        // Who comes 0.4 s after the signal with the longest request timeout is answered within it.
        let last = request_timeout.unwrap_or(3000).min(3000) + 400;
        assert!(
            schedule.open_for + Duration::from_millis(100) <= Duration::from_millis(last),
            "{schedule:?}"
        );
    }
}
