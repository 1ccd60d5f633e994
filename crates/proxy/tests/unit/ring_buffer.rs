//! Unit tests of `ring_buffer.rs`.

use super::RingBuffer;

#[test]
fn bytes_keep_their_order_across_the_wrap_around() {
    let mut ring = RingBuffer::new(7);
    let (mut source, mut out) = (&b"the quick brown fox jumps over the lazy dog"[..], Vec::new());
    while !source.is_empty() || !ring.is_empty() {
        if !ring.is_full() {
            let before = source;
            let read = ring.fill_from(&mut source).unwrap();
            assert_eq!(ring.latest(read), &before[..read]);
        }
        let mut chunk = [0; 3];
        let written = ring.drain_to(&mut chunk[..]).unwrap();
        out.extend_from_slice(&chunk[..written]);
    }
    assert_eq!(out, b"the quick brown fox jumps over the lazy dog");
}

#[test]
fn the_reserve_is_used_by_push_only() {
    let mut ring = RingBuffer::with_reserve(7, 4);
    assert_eq!(ring.fill_from(&b"the quick brown fox"[..]).unwrap(), 7);
    assert!(ring.is_full() && ring.push(b"MOVE") && !ring.push(b"."));
    assert_eq!(ring.latest(4), b"MOVE");
}

#[test]
fn a_partial_line_is_discarded_if_its_beginning_is_held() {
    let mut ring = RingBuffer::new(8);
    ring.fill_from(&b"abcd"[..]).unwrap();
    assert!(!ring.discard_partial_line(), "the beginning of the line may have been written already");
    ring.skip(3);
    // These reads wrap around the end of the buffer.
    ring.fill_from(&b"\nef"[..]).unwrap();
    ring.fill_from(&b"g"[..]).unwrap();
    ring.fill_from(&b"\nhi"[..]).unwrap();
    assert!(ring.discard_partial_line());
    let mut out = Vec::new();
    while !ring.is_empty() {
        ring.drain_to(&mut out).unwrap();
    }
    assert_eq!(out, b"d\nefg\n");
}

#[test]
fn a_push_that_does_not_fit_adds_nothing() {
    let mut ring = RingBuffer::new(7);
    assert!(ring.push(b"MOVE"));
    assert!(!ring.push(b"MOVE") && ring.latest(4) == b"MOVE");
    assert!(ring.push(b"...") && ring.is_full());
}
