//! Unit tests of `graceful_shutdown.rs`.

use super::*;

#[test]
fn the_shutdown_schedule_ends_before_the_kill_for_every_request_timeout() {
    for (request_timeout, killed) in [(Some(300), 1000), (Some(1200), 1900), (Some(4800), 3700), (None, 3700)]
    {
        let schedule = ShutdownSchedule::by(request_timeout.map(Duration::from_millis));
        assert!(schedule.stay_for < schedule.open_for && schedule.open_for < schedule.gone_within);
        // One tick, and the time to exit.
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
