//! Unit tests of `snapshot_writer.rs`.

use super::*;
use std::time::{Duration, Instant};

fn job(sequence: u64, bytes: &[u8]) -> SnapshotJob {
    SnapshotJob { sequence, bytes: bytes.to_vec() }
}

/// Waits until the file of this snapshot's generation contains these bytes.
fn wait_until_written(directory: &Path, sequence: u64, bytes: &[u8]) {
    let started_at = Instant::now();
    while fs::read(generation_path(directory, generation(sequence))).ok().as_deref() != Some(bytes) {
        assert!(started_at.elapsed() < Duration::from_secs(4), "the snapshot was not written in time");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A queued snapshot is recorded as saved, so the writer must not drop it after a failed write.
#[test]
fn failed_writes_are_retried_until_they_succeed() {
    let parent = tempfile::tempdir().unwrap();
    let directory = parent.path().join("missing-directory");
    let writer = SnapshotWriter::start(&directory);
    assert!(writer.write(job(3, b"state")));
    std::thread::sleep(Duration::from_millis(100));
    fs::create_dir(&directory).unwrap();
    wait_until_written(&directory, 3, b"state");
}

#[test]
fn a_newer_snapshot_replaces_one_that_could_not_be_written() {
    let parent = tempfile::tempdir().unwrap();
    let directory = parent.path().join("missing-directory");
    let writer = SnapshotWriter::start(&directory);
    for sequence in 3..9 {
        while !writer.write(job(sequence, sequence.to_string().as_bytes())) {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    fs::create_dir(&directory).unwrap();
    wait_until_written(&directory, 8, b"8");
    assert!(
        !generation_path(&directory, generation(7)).exists(),
        "older snapshots are not written after a newer one"
    );
}

/// Guards against a process that cannot exit because a write to the disk hangs.
#[test]
fn shutdown_does_not_wait_for_a_hanging_disk() {
    let directory = tempfile::tempdir().unwrap();
    // The temporary file is a named pipe: opening it for writing blocks until a reader opens it, which never happens.
    rustix::fs::mkfifoat(rustix::fs::CWD, directory.path().join("shelfgrade.new"), 0o600.into()).unwrap();
    let writer = SnapshotWriter::start(directory.path());
    let (done_sender, done) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        writer.finish(job(1, b"last"));
        done_sender.send(()).unwrap();
    });
    done.recv_timeout(Duration::from_secs(2)).expect("the shutdown ends in time");
}

#[test]
fn shutdown_waits_for_a_writable_snapshot() {
    let directory = tempfile::tempdir().unwrap();
    let writer = SnapshotWriter::start(directory.path());
    assert!(writer.write(job(1, b"one")));
    writer.finish(job(2, b"last"));
    assert_eq!(fs::read(generation_path(directory.path(), generation(2))).unwrap(), b"last");
}
