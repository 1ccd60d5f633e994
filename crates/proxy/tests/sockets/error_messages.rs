//! Error messages: each states the location of the error, its cause and the remedy.

use crate::harness::{list_response, FakeServer, ProxyProcess, DEFAULT};
use std::process::{Command, Stdio};

/// Texts in a message that state the location, the cause and the remedy.
type ExpectedTexts = [&'static str; 3];

#[track_caller]
fn expect_texts(line: &str, texts: ExpectedTexts) {
    assert!(texts.iter().all(|text| line.contains(text)), "{texts:?} in {line}");
}

/// Runs a proxy that cannot start, and returns its log, which must be a single line.
fn startup_error(config: Option<&std::path::Path>) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shelfgrade"));
    command.env_remove("RELAY_CONFIG").envs(config.map(|path| ("RELAY_CONFIG", path))).stderr(Stdio::piped());
    let output = command.output().unwrap();
    let log = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success() && log.lines().count() == 1, "{log}");
    log
}

#[test]
fn startup_file_errors_name_their_location_cause_and_remedy() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("start.json");
    expect_texts(
        &startup_error(None),
        ["RELAY_CONFIG", "not set", "set it to the path of the start-up file"],
    );
    expect_texts(
        &startup_error(Some(&path)),
        ["start.json", "cannot be read (No such file", "check that the file exists"],
    );

    let address_in_use = FakeServer::new("address-in-use");
    let text = format!(
        r#"{{"name":"n","listen":"{}","discovery":"127.0.0.1:1","seed":"1","limits":{{"memory_mb":64,"sockets":64}},
        "settings":{{"discovery":"subscribe","offerings":[],"bounds":{{"most_connects":3}},
        "invariants":{{"overload_factor":4}}}},"known":{{"seq":1,"hosts":[]}}}}"#,
        address_in_use.address
    );
    let without_address = r#""hosts":[{"host":"s1","health":"in_service"}]"#;
    let capacity_given_twice =
        r#""extra":{"server_connections":9,"tenant_quota_connections":[5]},"offerings""#;
    let errors: [(&str, &str, ExpectedTexts); 9] = [
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
        ("\"seq\":1", "\"seq\":-1", ["known: ", "invalid value: integer `-1`", "check what generates it"]),
        ("\"hosts\":[]", without_address, ["known: ", "s1 has no address", "give it a `dial`"]),
        (
            "\"most_connects\":3",
            "\"most_connects\":\"3\"",
            ["settings: ", "invalid type: string", "correct the value"],
        ),
        (
            "\"offerings\"",
            capacity_given_twice,
            ["settings: extra: ", "given twice", "leave one of them out"],
        ),
        ("", "", ["cannot listen on 127.0.0.1:", "in use", "check that the address belongs to this machine"]),
    ];
    for (valid, invalid, texts) in errors {
        std::fs::write(&path, text.replacen(valid, invalid, 1)).unwrap();
        expect_texts(&startup_error(Some(&path)), texts);
    }
}

#[test]
fn discovery_errors_name_their_location_cause_and_remedy() {
    let server = FakeServer::new("s1");
    let mut proxy = ProxyProcess::start(DEFAULT, &[&server]);
    let location = format!("discovery at {}", proxy.discovery.address);
    let oversized = format!("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n{}", " ".repeat(5 << 20));
    let without_address = list_response(8, true, &[r#"{"host":"s2","health":"in_service"}"#.to_owned()]);
    let errors: [(&str, bool, [&str; 2]); 6] = [
        (
            "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            false,
            ["HTTP status 503", "see discovery's log; the poll is retried"],
        ),
        (
            "nothing like HTTP\r\n\r\n",
            false,
            ["not a valid HTTP/1.1 response", "check that the configured address"],
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nno { json",
            false,
            ["invalid endpoint list", "check what generates it"],
        ),
        (&without_address, false, ["s2 has no address", "give it a `dial`"]),
        (&oversized, false, ["response exceeds 4194304 bytes", "check why discovery sends"]),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{",
            true,
            ["closed in the middle of a response", "the poll is retried"],
        ),
    ];
    for (response, closes, [cause, remedy]) in errors {
        let (mut call, _) = proxy.discovery.next_poll();
        // The proxy may close the connection before all is sent.
        let _ = std::io::Write::write_all(&mut call.stream, response.as_bytes());
        if closes {
            call.shut_down_write();
        }
        let line = proxy.next_log_line();
        assert!([&*location, cause, remedy].iter().all(|text| line.contains(text)), "{line}");
    }
    let _unanswered = proxy.discovery.next_poll();
    let line = proxy.next_log_line();
    assert!(
        [&*location, "response timed out", "check discovery and the network path"]
            .iter()
            .all(|text| line.contains(text)),
        "{line}"
    );
    // The first address does not accept further connections; the second refuses them.
    let closed = FakeServer::refusing_connections("discovery");
    proxy.reload(&proxy.startup_file_with_discovery(&closed));
    assert!(proxy.next_log_line().contains("reloaded: discovery"));
    let line = proxy.next_log_line();
    let location = format!("discovery at {}", closed.address);
    assert!(
        [&*location, "cannot connect", "or correct its address"].iter().all(|text| line.contains(text)),
        "{line}"
    );
}
