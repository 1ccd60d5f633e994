//! Unit tests of `fleet_file.rs`.

use super::*;

const VALID: &str =
    "fleet = \"dar\"\nlist_wait_ms = 900\n[fellows]\nn1 = \"127.0.0.1:7401\"\nn0 = \"127.0.0.1:7400\"\n";

fn error_of(text: &str) -> String {
    FleetFile::parse("fleet.toml", text, "n1").err().expect("an error").to_string()
}

/// Guards against the example file explaining a key that the parser does not know.
#[test]
fn the_example_file_is_valid_with_its_optional_keys() {
    let example = include_str!("../../../../deploy/fleet.toml");
    let all_keys =
        example.replace("# namespaces_dir =", "namespaces_dir =").replace("# maintenance =", "maintenance =");
    let file = FleetFile::parse("deploy/fleet.toml", &all_keys, "n2").expect("the example file");
    assert_eq!(file.roster.size(), 3);
    assert!(file.state_dir.is_some() && file.namespaces_dir.is_some() && file.maintenance_file.is_some());
}

#[test]
fn every_file_error_names_its_location_and_remedy() {
    let file = FleetFile::parse("fleet.toml", VALID, "n1").expect("a valid file");
    assert_eq!(
        (file.roster.size(), file.addresses[0].port(), file.list_wait),
        (2, 7400, Duration::from_millis(900))
    );
    let errors: [(&str, &str, [&str; 3]); 7] = [
        (
            "list_wait_ms",
            "wait_ms",
            ["fleet.toml, line 2, column 1", "unknown field", "deploy/fleet.toml explains"],
        ),
        ("900", "\"soon\"", ["fleet.toml, line 2, column 16", "invalid type", "correct it there"]),
        (
            "900",
            "90000",
            ["fleet.toml, list_wait_ms", "90000 is not between 100 and 10000", "correct it there"],
        ),
        (
            "127.0.0.1:7401",
            "nowhere",
            ["fleet.toml, line 4, column 6", "invalid socket address", "correct it"],
        ),
        (
            "7401",
            "7400",
            ["fleet.toml, [fellows]", "n0 and n1 have the same address", "give each process its own"],
        ),
        ("n1", "n2", ["fleet.toml, [fellows]", "n1, is not among the members", "add it"]),
        ("fleet = \"dar\"\n", "", ["fleet.toml, line 1", "missing field `fleet`", "correct it there"]),
    ];
    for (valid, invalid, words) in errors {
        let error = error_of(&VALID.replace(valid, invalid));
        assert!(words.iter().all(|word| error.contains(word)) && error.lines().count() == 1, "{error}");
    }
    let other = FleetFile::parse("fleet.toml", &VALID.replace("n0", "n7"), "n1").expect("a valid file");
    assert!(file
        .check_reload(&other)
        .is_err_and(|error| error.to_string().contains("restart all processes")));
    assert!(file
        .check_reload(&FleetFile { save_interval: Duration::from_millis(500), ..file.clone() })
        .is_ok());
}
