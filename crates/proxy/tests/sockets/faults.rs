//! What an operator reads when something is wrong: the place, the cause, and what to do.

use crate::stand::{list, Place, Program, USUAL};
use std::process::{Command, Stdio};

/// The words of a fault that name its place, its cause and the remedy.
type Words = [&'static str; 3];

#[track_caller]
fn names(line: &str, words: Words) {
    assert!(words.iter().all(|word| line.contains(word)), "{words:?} in {line}");
}

/// What a program says that cannot start, in one line.
fn refusal(config: Option<&std::path::Path>) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shelfgrade"));
    command.env_remove("RELAY_CONFIG").envs(config.map(|path| ("RELAY_CONFIG", path))).stderr(Stdio::piped());
    let output = command.output().unwrap();
    let log = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success() && log.lines().count() == 1, "{log}");
    log
}

#[test]
fn each_fault_names_its_place_its_cause_and_the_remedy() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("start.json");
    names(&refusal(None), ["RELAY_CONFIG", "not set", "have it name the start-up file"]);
    names(
        &refusal(Some(&path)),
        ["start.json", "cannot be read (No such file", "see that the file is there"],
    );

    let taken = Place::new("taken");
    let whole = format!(
        r#"{{"name":"n","listen":"{}","discovery":"127.0.0.1:1","seed":"1","limits":{{"memory_mb":64,"sockets":64}},
        "settings":{{"discovery":"subscribe","offerings":[],"bounds":{{"most_connects":3}},
        "invariants":{{"overload_factor":4}}}},"known":{{"seq":1,"hosts":[]}}}}"#,
        taken.address
    );
    let host = r#""hosts":[{"host":"s1","health":"in_service"}]"#;
    let extra = r#""extra":{"server_connections":9,"tenant_quota_connections":[5]},"offerings""#;
    let faults: [(&str, &str, Words); 9] = [
        ("\"known\"", "", ["start.json", "line 3", "correct the JSON"]),
        (
            "\"name\":\"n\",",
            "",
            ["start.json: RELAY_NAME", "is not set", "in the file or in the environment"],
        ),
        (
            "127.0.0.1:1",
            "nowhere",
            ["RELAY_DISCOVERY: nowhere", "not an address with a port", "write one such as"],
        ),
        ("\"seed\":\"1", "\"seed\":\"xyz", ["seed: \"xyz\"", "not a hexadecimal number", "sixteen digits"]),
        ("\"seq\":1", "\"seq\":-1", ["known: ", "invalid value: integer `-1`", "see what writes it"]),
        ("\"hosts\":[]", host, ["known: ", "s1 has no address", "give it a `dial`"]),
        (
            "\"most_connects\":3",
            "\"most_connects\":\"3\"",
            ["settings: ", "invalid type: string", "correct the value"],
        ),
        ("\"offerings\"", extra, ["settings: extra: ", "told twice", "leave one of them out"]),
        ("", "", ["cannot listen on 127.0.0.1:", "in use", "see that the address is this machine's"]),
    ];
    for (good, bad, words) in faults {
        std::fs::write(&path, whole.replacen(good, bad, 1)).unwrap();
        names(&refusal(Some(&path)), words);
    }
}

#[test]
fn each_fault_of_a_call_for_the_list_does_too() {
    let server = Place::new("s1");
    let mut program = Program::start(USUAL, &[&server]);
    let place = format!("discovery at {}", program.discovery.address);
    let endless = format!("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n{}", " ".repeat(5 << 20));
    let unlisted = list(8, true, &[r#"{"host":"s2","health":"in_service"}"#.to_owned()]);
    let faults: [(&str, bool, [&str; 2]); 6] = [
        (
            "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            false,
            ["answered 503", "look at discovery's own log"],
        ),
        ("nothing like HTTP\r\n\r\n", false, ["no HTTP/1.1", "name the right one"]),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nno { json",
            false,
            ["no list of servers", "see what writes it"],
        ),
        (&unlisted, false, ["s2 has no address", "give it a `dial`"]),
        (&endless, false, ["an answer of over", "look at it"]),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", true, ["ended in an answer", "it is asked again"]),
    ];
    for (answer, ends, [cause, remedy]) in faults {
        let (mut call, _) = program.discovery.called();
        // It may be done with us before all is sent.
        let _ = std::io::Write::write_all(&mut call.stream, answer.as_bytes());
        if ends {
            call.finish();
        }
        let line = program.logs();
        assert!([&*place, cause, remedy].iter().all(|word| line.contains(word)), "{line}");
    }
    let _silent = program.discovery.called();
    let line = program.logs();
    assert!(
        [&*place, "silent", "look at it and the way there"].iter().all(|word| line.contains(word)),
        "{line}"
    );
    // Nobody accepts what comes now, and then nobody listens.
    let closed = Place::closed("discovery");
    program.reads_again(&program.text_with(&closed));
    assert!(program.logs().contains("reloaded: discovery"));
    let line = program.logs();
    let place = format!("discovery at {}", closed.address);
    assert!(
        [&*place, "cannot connect", "or correct its address"].iter().all(|word| line.contains(word)),
        "{line}"
    );
}
