//! Unit tests of `endpoint_list.rs`.

use super::*;

fn parse(health: &str, dial: &str) -> Result<EndpointList, ListError> {
    let entry =
        format!(r#"{{"host":"s","dial":{dial},"class":"m2","health":"{health}","born_ms":0,"share":1.0}}"#);
    EndpointList::parse(format!(r#"{{"seq":4,"whole":true,"hosts":[{entry}]}}"#).as_bytes())
}

#[test]
fn a_list_with_any_invalid_entry_is_rejected() {
    let list = parse("in_service", r#""127.0.0.1:80""#).expect("a valid list");
    let endpoint = &list.endpoints()[0];
    assert_eq!((&*endpoint.server, endpoint.started, endpoint.state), ("s", None, EndpointState::Active));
    assert_eq!(endpoint.kind, "m2");
    assert!(parse("terminated", "null").is_ok());
    assert!(parse("in_service", "null").is_err());
    assert!(parse("in_service", r#""nowhere""#).is_err());
    assert!(parse("dozing", r#""127.0.0.1:80""#).is_err());
    let parse_with_class = |class: &str| {
        let entry = format!(r#"{{"host":"s","dial":"127.0.0.1:80",{class}"health":"in_service"}}"#);
        EndpointList::parse(format!(r#"{{"seq":4,"hosts":[{entry}]}}"#).as_bytes())
    };
    assert!(
        parse_with_class("").is_ok_and(|list| list.endpoints()[0].kind.is_empty()),
        "the kind is optional"
    );
    assert!(parse_with_class(r#""class":7,"#).is_err());
}
