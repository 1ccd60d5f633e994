//! Stories of `ring.rs` from within.

use super::Ring;

#[test]
fn bytes_come_out_as_they_went_in_round_the_end_of_the_buffer() {
    let mut ring = Ring::new(7);
    let (mut source, mut out) = (&b"the quick brown fox jumps over the lazy dog"[..], Vec::new());
    while !source.is_empty() || !ring.is_empty() {
        if !ring.is_full() {
            let before = source;
            let read = ring.fill_from(&mut source).unwrap();
            assert_eq!(ring.latest(read), &before[..read]);
        }
        let mut few = [0; 3];
        let written = ring.drain_to(&mut few[..]).unwrap();
        out.extend_from_slice(&few[..written]);
    }
    assert_eq!(out, b"the quick brown fox jumps over the lazy dog");
}

#[test]
fn a_text_that_does_not_fit_is_refused_whole() {
    let mut ring = Ring::new(7);
    assert!(ring.push(b"MOVE"));
    assert!(!ring.push(b"MOVE") && ring.latest(4) == b"MOVE");
    assert!(ring.push(b"...") && ring.is_full());
}
