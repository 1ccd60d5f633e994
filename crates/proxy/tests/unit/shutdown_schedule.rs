//! Unit tests of `shutdown_schedule.rs`.

use super::*;

#[test]
fn the_schedule_follows_from_the_longest_request_timeout_and_ends_before_the_kill() {
    for (request_timeout, killed_after) in
        [(Some(300), 1000), (Some(1200), 1900), (Some(4800), 3700), (None, 3700)]
    {
        let schedule = ShutdownSchedule::new(request_timeout.map(Duration::from_millis));
        assert!(
            schedule.migrate_sessions_after < schedule.accept_for
                && schedule.accept_for < schedule.exit_after
        );
        // Leaves time for one tick and for the process to exit.
        assert!(
            schedule.exit_after + Duration::from_millis(150) < Duration::from_millis(killed_after),
            "{schedule:?}"
        );
        // A client that connects 0.4 s after the signal with the longest request timeout is answered in time.
        let last_deadline = request_timeout.unwrap_or(3000).min(3000) + 400;
        assert!(
            schedule.accept_for + Duration::from_millis(100) <= Duration::from_millis(last_deadline),
            "{schedule:?}"
        );
    }
}
