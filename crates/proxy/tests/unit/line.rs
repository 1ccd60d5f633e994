//! Unit tests of `line.rs`.

use super::*;

#[test]
fn a_well_formed_line_ends_in_crlf_and_is_printable() {
    assert_eq!(well_formed_line(b"PING\r\n"), Some("PING"));
    for malformed in [&b"PING\n"[..], b"PING", b"PI\0NG\r\n", b"PING\r\r\n", b"P\tING\r\n", b"P\xc3\xa9\r\n"]
    {
        assert_eq!(well_formed_line(malformed), None);
    }
    assert!(well_formed_line(&[&[b'x'; MAX_LINE_BYTES], &b"\r\n"[..]].concat()).is_some());
    assert!(well_formed_line(&[&[b'x'; MAX_LINE_BYTES + 1], &b"\r\n"[..]].concat()).is_none());
}

#[test]
fn lines_are_decoded_across_reads_and_an_overlong_one_is_rejected() {
    let mut decoder = LineDecoder::default();
    assert_eq!(decoder.feed(b"LOAD 1.5\r\nB"), Ok(vec![b"LOAD 1.5\r\n".to_vec()]));
    assert!(!decoder.is_at_line_start());
    let lines = decoder.feed(b"YE\n\r\n").expect("short lines");
    assert_eq!(lines.iter().map(|line| line_text(line)).collect::<Vec<_>>(), ["BYE", ""]);
    assert!(decoder.is_at_line_start());
    assert!(decoder.feed(&[b'x'; MAX_LINE_BYTES]).is_ok());
    assert_eq!(decoder.feed(b"xxx"), Err(LineTooLong));
}
