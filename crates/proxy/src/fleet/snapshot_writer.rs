//! Snapshots on disk, written by a thread of their own: no session waits for the disk.

use crate::net::transient::is_transient;
use shelfgrade_recovery::snapshot::{generation, GENERATIONS};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::time::{Duration, Instant};

/// An encoded snapshot to be written.
pub struct SnapshotJob {
    /// Counts up with each snapshot; decides which of the generations' files it replaces.
    pub number: u64,
    pub bytes: Vec<u8>,
}

/// The owner's side of the writer thread.
pub struct SnapshotWriter {
    jobs: Option<SyncSender<SnapshotJob>>,
    /// Receives one message when the thread has finished.
    finished: Receiver<()>,
}

fn path(folder: &Path, generation: usize) -> PathBuf {
    folder.join(format!("shelfgrade.{generation}"))
}

/// The bytes of each generation's file; none for a file that is absent or cannot be read.
pub fn read(folder: &Path) -> Vec<Option<Vec<u8>>> {
    let read = |generation| match read_with_retries(&path(folder, generation)) {
        Ok(bytes) => Some(bytes),
        Err(error) if error.kind() == io::ErrorKind::NotFound => None,
        Err(error) => {
            log::warn!("{}: {error}: started without it", path(folder, generation).display());
            None
        }
    };
    (0..GENERATIONS).map(read).collect()
}

/// Reads a file, retrying transient errors: a start must not fall back to an older generation for one of them.
fn read_with_retries(path: &Path) -> io::Result<Vec<u8>> {
    const MAX_ATTEMPTS: usize = 20;
    const RETRY_INTERVAL: Duration = Duration::from_millis(25);
    for _ in 1..MAX_ATTEMPTS {
        match fs::read(path) {
            Err(error) if is_transient(&error) => std::thread::sleep(RETRY_INTERVAL),
            read => return read,
        }
    }
    fs::read(path)
}

/// Replaces the file of the snapshot's generation atomically.
fn replace(folder: &Path, snapshot: &SnapshotJob) -> io::Result<()> {
    let (path, new) = (path(folder, generation(snapshot.number)), folder.join("shelfgrade.new"));
    let mut file = File::create(&new)?;
    file.write_all(&snapshot.bytes)?;
    file.sync_all()?;
    fs::rename(&new, path)?;
    File::open(folder)?.sync_all()
}

/// The thread's side.
struct WriterThread {
    folder: PathBuf,
    jobs: Receiver<SnapshotJob>,
    failures: u64,
}

impl WriterThread {
    /// Writes each snapshot, retrying until it is written or a newer one has arrived.
    fn run(mut self) {
        const RETRY_INTERVAL: Duration = Duration::from_millis(50);
        // The process is ending by then and does not wait any longer.
        const ATTEMPTS_AFTER_CLOSE: usize = 6;
        let mut unwritten: Option<SnapshotJob> = None;
        let mut attempts_left = ATTEMPTS_AFTER_CLOSE;
        while attempts_left > 0 {
            let received = match &unwritten {
                None => self.jobs.recv().map_err(|_| RecvTimeoutError::Disconnected),
                Some(_) => self.jobs.recv_timeout(RETRY_INTERVAL),
            };
            match received {
                Ok(newer) => unwritten = Some(newer),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) if unwritten.is_none() => return,
                Err(RecvTimeoutError::Disconnected) => {
                    attempts_left -= 1;
                    std::thread::sleep(RETRY_INTERVAL);
                }
            }
            unwritten = unwritten.filter(|snapshot| !self.write(snapshot));
        }
    }

    /// Returns whether the snapshot was written.
    fn write(&mut self, snapshot: &SnapshotJob) -> bool {
        let Err(error) = replace(&self.folder, snapshot) else {
            metrics::counter!("snapshots written").increment(1);
            return true;
        };
        self.failures += 1;
        metrics::counter!("snapshots failed").increment(1);
        // Logged at each doubling: a full disk must not fill the log as well.
        if self.failures.is_power_of_two() {
            let (folder, failures) = (self.folder.display(), self.failures);
            log::error!("{folder}: no snapshot ({error}), {failures} so far: see the disk; service goes on");
        }
        false
    }
}

impl SnapshotWriter {
    /// Starts the thread. Without a thread no snapshot is written, and service goes on.
    pub fn start(folder: &Path) -> Self {
        // One snapshot is written while the next waits; the owner offers a newer one later.
        let (jobs, received) = sync_channel::<SnapshotJob>(1);
        let (finish, finished) = sync_channel(1);
        let writer = WriterThread { folder: folder.to_owned(), jobs: received, failures: 0 };
        let run = move || {
            writer.run();
            let _ = finish.send(());
        };
        let thread = std::thread::Builder::new().name("disk".into()).spawn(run);
        if let Err(error) = thread {
            log::error!("no thread for the disk ({error}): no snapshots");
        }
        SnapshotWriter { jobs: Some(jobs), finished }
    }

    /// Queues a snapshot; returns false if the queue is full.
    pub fn write(&self, snapshot: SnapshotJob) -> bool {
        let is_full = |sent: Result<_, _>| matches!(sent, Err(TrySendError::Full(_)));
        !self.jobs.as_ref().is_some_and(|jobs| is_full(jobs.try_send(snapshot)))
    }

    /// Writes the last snapshot and waits for it, but not for a disk that hangs: all clients have had their answers by
    /// now, and a process that stays is killed.
    pub fn finish(mut self, last: SnapshotJob) {
        const TIMEOUT: Duration = Duration::from_millis(400);
        const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(5);
        let started_at = Instant::now();
        let Some(jobs) = self.jobs.take() else { return };
        let mut last = last;
        while let Err(TrySendError::Full(unsent)) = jobs.try_send(last) {
            if started_at.elapsed() >= TIMEOUT {
                return log::error!("the disk hangs: the last snapshot is not written");
            }
            last = unsent;
            std::thread::sleep(QUEUE_POLL_INTERVAL);
        }
        drop(jobs);
        let time_left = TIMEOUT.saturating_sub(started_at.elapsed());
        if self.finished.recv_timeout(time_left) == Err(RecvTimeoutError::Timeout) {
            log::error!("the disk hangs: the last snapshot may not be written");
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/snapshot_writer.rs"]
mod tests;
