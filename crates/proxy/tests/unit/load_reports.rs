//! Stories of `notes.rs` from within.

use super::*;

fn told(notes: &LoadReports, values: &[(u64, f64)]) -> Vec<bool> {
    let start = Timestamp::from_ms(60_000.0);
    values
        .iter()
        .map(|(ms, value)| notes.is_message_latency(*value, start + Duration::from_millis(*ms)))
        .collect()
}

#[test]
fn a_server_that_falls_behind_is_heard_among_the_loads_of_its_connections() {
    let notes = LoadReports::default();
    let values = [(0, 182_521.0), (300, 2190.7), (450, 25.3), (900, 641.0), (1450, 420.9), (2451, 1125.3)];
    assert_eq!(told(&notes, &values), [false, false, true, false, true, true]);
    // Two beats later one may have been missed; a load between them is none.
    assert_eq!(told(&notes, &[(3900, 3893.3), (4452, 1927.0), (9900, 1588.9)]), [false, true, false]);
}

#[test]
fn a_delay_that_begins_long_is_known_by_the_next_one() {
    let notes = LoadReports::default();
    assert_eq!(told(&notes, &[(0, 812.0), (1001, 1248.0), (2000, 3.1)]), [false, true, true]);
}
