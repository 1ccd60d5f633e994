//! Unit tests of `snapshot_writer.rs`.

use super::*;
use std::time::{Duration, Instant};

fn job(number: u64, bytes: &[u8]) -> SnapshotJob {
    SnapshotJob { number, bytes: bytes.to_vec() }
}

/// Waits until the snapshot of this number holds these bytes.
fn is_written(folder: &Path, number: u64, bytes: &[u8]) {
    let began = Instant::now();
    while fs::read(path(folder, generation(number))).ok().as_deref() != Some(bytes) {
        assert!(began.elapsed() < Duration::from_secs(4), "not in time");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A snapshot that was handed over counts as written, so it may not be dropped.
#[test]
fn failed_writes_are_retried_until_they_succeed() {
    let parent = tempfile::tempdir().unwrap();
    let folder = parent.path().join("not-there-yet");
    let writer = SnapshotWriter::start(&folder);
    assert!(writer.write(job(3, b"state")));
    std::thread::sleep(Duration::from_millis(100));
    fs::create_dir(&folder).unwrap();
    is_written(&folder, 3, b"state");
}

#[test]
fn a_newer_snapshot_replaces_one_that_could_not_be_written() {
    let parent = tempfile::tempdir().unwrap();
    let folder = parent.path().join("not-there-yet");
    let writer = SnapshotWriter::start(&folder);
    for number in 3..9 {
        while !writer.write(job(number, number.to_string().as_bytes())) {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    fs::create_dir(&folder).unwrap();
    is_written(&folder, 8, b"8");
    assert!(!path(&folder, generation(7)).exists(), "no older one is written any more");
}

/// The process exits although a write hangs.
#[test]
fn shutdown_does_not_wait_for_a_hanging_disk() {
    let folder = tempfile::tempdir().unwrap();
    // Opening it for writing waits for a reader that never comes.
    rustix::fs::mkfifoat(rustix::fs::CWD, folder.path().join("shelfgrade.new"), 0o600.into()).unwrap();
    let writer = SnapshotWriter::start(folder.path());
    let (over, is_over) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        writer.finish(job(1, b"last"));
        over.send(()).unwrap();
    });
    is_over.recv_timeout(Duration::from_secs(2)).expect("it ends");
}

#[test]
fn shutdown_waits_for_a_writable_snapshot() {
    let folder = tempfile::tempdir().unwrap();
    let writer = SnapshotWriter::start(folder.path());
    assert!(writer.write(job(1, b"one")));
    writer.finish(job(2, b"last"));
    assert_eq!(fs::read(path(folder.path(), generation(2))).unwrap(), b"last");
}
