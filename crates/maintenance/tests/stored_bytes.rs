//! Guards the stored format of schedules: compares one with the bytes that an earlier release wrote.

use recorded::{hex, Recorded};
use shelfgrade_maintenance::schedule::Schedule;

#[path = "../../../tests/support/recorded.rs"]
mod recorded;

const RECORDED: Recorded = Recorded(include_str!("fixtures/entries.hex"));

const SCHEDULE: &str = r#"
version = 300
time_zone = "Europe/Berlin"
most_at_once = 2
least_left = 0.25
[[window]]
name = "nightly"
site = "a"
begins = "2026-03-27T02:30"
lasts_s = 3600
lead_s = 1200
repeats = "daily"
[[window]]
name = "move"
site = "b"
begins = "2026-04-27T02:30"
lasts_s = 7200
lead_s = 600
"#;

#[test]
fn a_schedule_is_encoded_and_decoded_as_in_an_earlier_release() {
    let previous = Schedule::parse(SCHEDULE).unwrap();
    let next = Schedule { version: 301, ..previous.clone() };
    let schedule = previous.superseded_by(next);
    assert_eq!(hex(&postcard::to_stdvec(&schedule).unwrap()), RECORDED.digits("schedule"));
    assert_eq!(postcard::from_bytes::<Schedule>(&RECORDED.bytes("schedule")).unwrap(), schedule);
}
