//! Stories of `schedule.rs` from within.

use super::*;

fn window(name: &str, site: &str, begins: &str, repeats: Repeats) -> Window {
    Window {
        name: name.into(),
        site: site.into(),
        begins: begins.into(),
        lasts_s: 3600,
        lead_s: 1200,
        repeats,
    }
}

fn schedule(windows: Vec<Window>) -> Schedule {
    let (time_zone, most_at_once, least_left) = ("Europe/Berlin".into(), 1, 0.5);
    Schedule { version: 1, time_zone, most_at_once, least_left, windows, before: Vec::new() }
}

fn at(text: &str) -> i64 {
    text.parse::<jiff::Timestamp>().expect("a time").as_millisecond()
}

#[test]
fn the_hour_that_comes_twice_counts_once_and_the_one_that_does_not_exist_is_the_next() {
    let daily = schedule(vec![window("nightly", "a", "2026-03-27T02:30", Repeats::Daily)]);
    let begins = |from: &str, to: &str| -> Vec<String> {
        let times = daily.times(&daily.windows, at(from), at(to)).expect("times");
        times.iter().map(|time| shown(time.begins)).collect()
    };
    assert_eq!(
        begins("2026-03-28T00:00:00Z", "2026-03-30T12:00:00Z"),
        ["2026-03-28T01:30:00Z", "2026-03-29T01:30:00Z", "2026-03-30T00:30:00Z"]
    );
    assert_eq!(
        begins("2026-10-24T12:00:00Z", "2026-10-26T12:00:00Z"),
        ["2026-10-25T00:30:00Z", "2026-10-26T01:30:00Z"]
    );
    let weekly = schedule(vec![window("weekly", "a", "2026-03-23T02:30", Repeats::Weekly)]);
    let times = weekly.times(&weekly.windows, at("2027-01-01T00:00:00Z"), at("2027-01-31T00:00:00Z"));
    assert_eq!(times.expect("times").len(), 4);
}

#[test]
fn windows_that_would_empty_too_many_sites_at_once_are_refused_with_both_their_names() {
    let now = at("2026-03-01T00:00:00Z");
    let two = |second: &str| {
        schedule(vec![
            window("one", "a", "2026-03-27T02:00", Repeats::Weekly),
            window("two", "b", second, Repeats::Daily),
        ])
    };
    // The second one's lead begins twenty minutes before it.
    let fault = two("2026-03-01T03:15").check(now).expect_err("they meet");
    let words = ["one", "two", "2 sites at once", "2026-03-27T", "move one"];
    assert!(words.iter().all(|word| fault.to_string().contains(word)), "{fault}");
    assert_eq!(two("2026-03-01T03:30").check(now), Ok(()));
    assert_eq!(Schedule { most_at_once: 2, ..two("2026-03-01T03:15") }.check(now), Ok(()));
}

#[test]
fn a_schedule_is_checked_whole_and_each_fault_says_where_it_is_and_what_to_do() {
    const GOOD: &str = "version = 1\ntime_zone = \"Europe/Berlin\"\n[[window]]\nname = \"w\"\nsite = \"a\"\n\
        begins = \"2026-03-27T02:30\"\nlasts_s = 3600\nlead_s = 600\n";
    let check =
        |text: &str| Schedule::parse(text).and_then(|schedule| schedule.check(at("2026-03-01T00:00:00Z")));
    assert_eq!(check(GOOD), Ok(()));
    for (good, bad, words) in [
        ("lead_s", "lead", ["line 8, column 1", "unknown field"]),
        ("Europe/Berlin", "Europe/Nowhere", ["Europe/Nowhere is not known", "name one such as"]),
        ("2026-03-27T02:30", "tonight", ["window w, begins", "a local date and time is wanted"]),
        ("= 3600", "= 0", ["window w, lasts_s", "a second to two weeks"]),
        (
            "= 3600",
            "= 86000\nrepeats = \"daily\"",
            ["window w, lasts_s", "longer than the time until it comes again"],
        ),
        ("\"a\"", "\"\"", ["window w, site", "the name of a zone is wanted"]),
        ("[[window]]", "least_left = 1.0\n[[window]]", ["least_left: 1", "a part from 0 to under 1"]),
    ] {
        let fault = check(&GOOD.replacen(good, bad, 1)).expect_err("a fault").to_string();
        assert!(words.iter().all(|word| fault.contains(word)), "{words:?} in {fault}");
    }
}
