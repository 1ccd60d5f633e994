//! Tests which schedules are accepted, and when their windows occur.

use shelfgrade_maintenance::occurrence::format_utc;
use shelfgrade_maintenance::schedule::{Repeat, Schedule, Window};

fn window(name: &str, site: &str, begins: &str, repeats: Repeat) -> Window {
    Window {
        name: name.into(),
        site: site.into(),
        begins: begins.into(),
        duration_s: 3600,
        lead_s: 1200,
        repeats,
    }
}

fn schedule(windows: Vec<Window>) -> Schedule {
    Schedule {
        version: 1,
        time_zone: "Europe/Berlin".into(),
        max_closed_sites: 1,
        min_active_fraction: 0.5,
        windows,
        previous_windows: Vec::new(),
    }
}

fn unix_ms(text: &str) -> i64 {
    text.parse::<jiff::Timestamp>().expect("a time").as_millisecond()
}

#[test]
fn a_repeated_local_hour_counts_once_and_a_skipped_one_becomes_the_next_hour() {
    let daily = schedule(vec![window("nightly", "a", "2026-03-27T02:30", Repeat::Daily)]);
    let begins = |from: &str, to: &str| -> Vec<String> {
        let occurrences =
            daily.occurrences(&daily.windows, unix_ms(from), unix_ms(to)).expect("a valid schedule");
        occurrences.iter().map(|occurrence| format_utc(occurrence.begins_ms)).collect()
    };
    assert_eq!(
        begins("2026-03-28T00:00:00Z", "2026-03-30T12:00:00Z"),
        ["2026-03-28T01:30:00Z", "2026-03-29T01:30:00Z", "2026-03-30T00:30:00Z"]
    );
    assert_eq!(
        begins("2026-10-24T12:00:00Z", "2026-10-26T12:00:00Z"),
        ["2026-10-25T00:30:00Z", "2026-10-26T01:30:00Z"]
    );
    let weekly = schedule(vec![window("weekly", "a", "2026-03-23T02:30", Repeat::Weekly)]);
    let occurrences =
        weekly.occurrences(&weekly.windows, unix_ms("2027-01-01T00:00:00Z"), unix_ms("2027-01-31T00:00:00Z"));
    assert_eq!(occurrences.expect("a valid schedule").len(), 4);
}

#[test]
fn windows_that_close_too_many_sites_at_once_are_rejected_with_both_names() {
    let now = unix_ms("2026-03-01T00:00:00Z");
    let two = |second: &str| {
        schedule(vec![
            window("one", "a", "2026-03-27T02:00", Repeat::Weekly),
            window("two", "b", second, Repeat::Daily),
        ])
    };
    // The lead of the second window begins twenty minutes before it.
    let error = two("2026-03-01T03:15").check(now).expect_err("they overlap");
    let words = ["one", "two", "2 sites without traffic at once", "2026-03-27T", "move one"];
    assert!(words.iter().all(|word| error.to_string().contains(word)), "{error}");
    assert_eq!(two("2026-03-01T03:30").check(now), Ok(()));
    assert_eq!(Schedule { max_closed_sites: 2, ..two("2026-03-01T03:15") }.check(now), Ok(()));
}

#[test]
fn an_invalid_schedule_is_rejected_with_the_location_of_the_error_and_the_remedy() {
    const VALID: &str =
        "version = 1\ntime_zone = \"Europe/Berlin\"\n[[window]]\nname = \"w\"\nsite = \"a\"\n\
        begins = \"2026-03-27T02:30\"\nlasts_s = 3600\nlead_s = 600\n";
    let check = |text: &str| {
        Schedule::parse(text).and_then(|schedule| schedule.check(unix_ms("2026-03-01T00:00:00Z")))
    };
    assert_eq!(check(VALID), Ok(()));
    for (valid, invalid, words) in [
        ("lead_s", "lead", ["line 8, column 1", "unknown field"]),
        ("Europe/Berlin", "Europe/Nowhere", ["unknown time zone Europe/Nowhere", "use an IANA name such as"]),
        ("2026-03-27T02:30", "tonight", ["window w, begins", "expected a local date and time"]),
        ("= 3600", "= 0", ["window w, lasts_s", "expected 1 second to 2 weeks"]),
        (
            "= 3600",
            "= 86000\nrepeats = \"daily\"",
            ["window w, lasts_s", "longer than the time until the next occurrence"],
        ),
        ("\"a\"", "\"\"", ["window w, site", "expected the name of a zone"]),
        ("[[window]]", "least_left = 1.0\n[[window]]", ["least_left: 1", "a fraction from 0 to less than 1"]),
    ] {
        let error = check(&VALID.replacen(valid, invalid, 1)).expect_err("an error").to_string();
        assert!(words.iter().all(|word| error.contains(word)), "{words:?} in {error}");
    }
}
