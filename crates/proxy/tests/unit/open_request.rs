//! Unit tests of `open_request.rs`.

use super::*;

const HEAD: &str = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655";

fn parse(line: &str) -> Option<OpenRequest> {
    OpenRequest::parse(line, &["chat".to_owned(), "mail".to_owned()])
}

#[test]
fn a_first_line_is_parsed_and_only_its_timeout_changes() {
    let line = format!("{HEAD} c=mail,t=acme,d=2000,h=1.5e3,x-new=3,g=5c0f,r=1,again=1");
    let request = parse(&line).expect("a well-formed line");
    assert_eq!((request.id, &*request.key, request.class), (0x9b1f_03aa_5c7e_2d41, "7f3a9c21e0b4d655", 1));
    assert_eq!(
        (request.request_timeout, request.group.as_deref()),
        (Duration::from_millis(2000), Some("5c0f"))
    );
    assert!(request.reconnected && !request.mid_flow && request.restored_from.is_none());
    assert_eq!(request.to_server_line(Duration::from_ms(730.9)), line.replace("2000", "730") + "\r\n");
    assert!(parse(&format!("{HEAD} c=chat,d=1800.5,mid=1")).expect("a well-formed line").mid_flow);
    assert_eq!(
        parse(&format!("{HEAD} c=chat,d=9,at=s-1")).expect("a well-formed line").restored_from.as_deref(),
        Some("s-1")
    );
    let without_deadline = parse(&format!("{HEAD} c=chat,d=4294967,at=s-1")).expect("a well-formed line");
    assert_eq!(without_deadline.request_timeout, Duration::from_millis(4_294_967));
}

/// Servers respond to these lines with an error, so none of them may be forwarded.
#[test]
fn malformed_first_lines_are_rejected() {
    let bad_heads = [
        "",
        "OPEN",
        "GET / HTTP/1.1",
        "open 9b1f03aa5c7e2d41 k c=chat,d=9",
        "OPEN zz k c=chat,d=9",
        "OPEN 9b1f03aa5c7e2d41",
        "OPEN 9b1f03aa5c7e2d41 k",
        "OPEN +b1f03aa5c7e2d41 k c=chat,d=9",
        "OPEN 9b1f03aa5c7e2d41  c=chat,d=9",
        "OPEN 9b1f03aa5c7e2d41 k c=chat,d=9 x=1",
        "OPEN 9b1f03aa5c7e2d41 k c=chat,d=9 ",
    ];
    let bad_fields = [
        "c=chat",
        "d=9",
        "c=chat2,d=9",
        "c=,d=9",
        "c=chat,d=9,d=9",
        "c=chat,d=9,",
        "c=chat,d=9,x",
        "c=chat,d=9,=1",
        "c=chat,d=9,x=",
        "c=chat,d=9,x=1=2",
        "c=chat,d=9,mid=2",
        "c=chat,d=9,again=yes",
        "c=chat,d=9,r=-1",
        "c=chat,d=9,at=s,mid=1",
        "c=chat,d=9,at=",
    ];
    let bad_timeouts =
        ["", "-1", "+1", "NaN", "inf", "soon", "1e3", "1.2.3", ".", "4294967296", "99999999999999999999999"];
    let lines = bad_heads.iter().map(|line| line.to_string());
    let lines = lines.chain(bad_fields.iter().map(|fields| format!("{HEAD} {fields}")));
    for line in lines.chain(bad_timeouts.iter().map(|timeout| format!("{HEAD} c=chat,d={timeout}"))) {
        assert!(parse(&line).is_none(), "{line}");
    }
}
