//! Unit tests of `open_request.rs`.

use super::*;

const HEAD: &str = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655";

fn parse(line: &str) -> Option<OpenRequest> {
    OpenRequest::parse(line, &["chat".to_owned(), "mail".to_owned()])
}

#[test]
fn a_first_line_is_parsed_and_only_its_timeout_changes() {
    let line = format!("{HEAD} c=mail,t=acme,d=2000,h=1.5e3,x-new=3,g=5c0f,r=1,again=1");
    let open = parse(&line).expect("a good line");
    assert_eq!((open.id, &*open.key, open.class), (0x9b1f_03aa_5c7e_2d41, "7f3a9c21e0b4d655", 1));
    assert_eq!((open.request_timeout, open.group.as_deref()), (Duration::from_millis(2000), Some("5c0f")));
    assert!(open.reconnected && !open.mid_flow && open.restored_from.is_none());
    assert_eq!(open.to_server_line(Duration::from_ms(730.9)), line.replace("2000", "730") + "\r\n");
    assert!(parse(&format!("{HEAD} c=chat,d=1800.5,mid=1")).expect("good").mid_flow);
    assert_eq!(
        parse(&format!("{HEAD} c=chat,d=9,at=s-1")).expect("good").restored_from.as_deref(),
        Some("s-1")
    );
    let endless = parse(&format!("{HEAD} c=chat,d=4294967,at=s-1")).expect("good");
    assert_eq!(endless.request_timeout, Duration::from_millis(4_294_967));
}

/// Each of these would be answered with an error by every server that it was sent to.
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
    let bad_waits =
        ["", "-1", "+1", "NaN", "inf", "soon", "1e3", "1.2.3", ".", "4294967296", "99999999999999999999999"];
    let lines = bad_heads.iter().map(|line| line.to_string());
    let lines = lines.chain(bad_fields.iter().map(|fields| format!("{HEAD} {fields}")));
    for line in lines.chain(bad_waits.iter().map(|wait| format!("{HEAD} c=chat,d={wait}"))) {
        assert!(parse(&line).is_none(), "{line}");
    }
}
