//! Reads snapshots from disk, and writes them on a separate thread so that disk I/O does not delay sessions.

use crate::net::transient::is_transient;
use shelfgrade_recovery::snapshot::{generation, GENERATIONS};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::time::{Duration, Instant};

/// An encoded snapshot to be written.
pub struct SnapshotJob {
    /// Sequence number of the snapshot; determines which generation's file is replaced.
    pub sequence: u64,
    /// The contents of the file.
    pub bytes: Vec<u8>,
}

/// Handle to the writer thread.
pub struct SnapshotWriter {
    jobs: Option<SyncSender<SnapshotJob>>,
    /// Receives a message when the thread has finished.
    finished: Receiver<()>,
}

fn generation_path(directory: &Path, generation: usize) -> PathBuf {
    directory.join(format!("shelfgrade.{generation}"))
}

/// Reads the file of each generation; none for a file that does not exist or cannot be read.
pub fn read_generations(directory: &Path) -> Vec<Option<Vec<u8>>> {
    let read = |generation| match read_with_retries(&generation_path(directory, generation)) {
        Ok(bytes) => Some(bytes),
        Err(error) if error.kind() == io::ErrorKind::NotFound => None,
        Err(error) => {
            log::warn!(
                "cannot read snapshot {}: {error}; started without it",
                generation_path(directory, generation).display()
            );
            None
        }
    };
    (0..GENERATIONS).map(read).collect()
}

/// Reads a file and retries after transient errors, so that such an error does not cause a fallback to an older
/// generation.
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

/// Atomically replaces the file of the snapshot's generation.
fn replace_generation(directory: &Path, snapshot: &SnapshotJob) -> io::Result<()> {
    let (path, new) =
        (generation_path(directory, generation(snapshot.sequence)), directory.join("shelfgrade.new"));
    let mut file = File::create(&new)?;
    file.write_all(&snapshot.bytes)?;
    file.sync_all()?;
    fs::rename(&new, path)?;
    File::open(directory)?.sync_all()
}

/// State of the writer thread.
struct WriterThread {
    directory: PathBuf,
    jobs: Receiver<SnapshotJob>,
    failures: u64,
}

impl WriterThread {
    /// Writes each snapshot, and retries until it is written or a newer one is queued.
    fn run(mut self) {
        const RETRY_INTERVAL: Duration = Duration::from_millis(50);
        // Attempts after the queue has been closed. The process is shutting down then and waits only for a limited
        // time.
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
        let Err(error) = replace_generation(&self.directory, snapshot) else {
            metrics::counter!("snapshots written").increment(1);
            return true;
        };
        self.failures += 1;
        metrics::counter!("snapshots failed").increment(1);
        // Logged only when the number of failures reaches a power of two, so that a full disk does not flood the log.
        if self.failures.is_power_of_two() {
            let (directory, failures) = (self.directory.display(), self.failures);
            log::error!(
                "{directory}: cannot write snapshot ({error}), {failures} failures so far: check the disk"
            );
        }
        false
    }
}

impl SnapshotWriter {
    /// Starts the thread. If that fails, the proxy runs without writing snapshots.
    pub fn start(directory: &Path) -> Self {
        // One snapshot can be queued while another is being written. If the queue is full, the owner queues a newer
        // snapshot later.
        let (jobs, received) = sync_channel::<SnapshotJob>(1);
        let (finished_sender, finished) = sync_channel(1);
        let writer = WriterThread { directory: directory.to_owned(), jobs: received, failures: 0 };
        let run = move || {
            writer.run();
            let _ = finished_sender.send(());
        };
        let thread = std::thread::Builder::new().name("disk".into()).spawn(run);
        if let Err(error) = thread {
            log::error!("cannot start the snapshot writer thread ({error}): no snapshots will be written");
        }
        SnapshotWriter { jobs: Some(jobs), finished }
    }

    /// Queues a snapshot; returns false if the queue is full.
    pub fn write(&self, snapshot: SnapshotJob) -> bool {
        let is_full = |sent: Result<_, _>| matches!(sent, Err(TrySendError::Full(_)));
        !self.jobs.as_ref().is_some_and(|jobs| is_full(jobs.try_send(snapshot)))
    }

    /// Writes the last snapshot and waits until it is written, but only for a limited time: a process that does not
    /// exit in time is killed, and all clients have been answered by now.
    pub fn finish(mut self, last: SnapshotJob) {
        const TIMEOUT: Duration = Duration::from_millis(400);
        const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(5);
        let started_at = Instant::now();
        let Some(jobs) = self.jobs.take() else { return };
        let mut last = last;
        while let Err(TrySendError::Full(unsent)) = jobs.try_send(last) {
            if started_at.elapsed() >= TIMEOUT {
                return log::error!("disk did not respond in time: the last snapshot was not written");
            }
            last = unsent;
            std::thread::sleep(QUEUE_POLL_INTERVAL);
        }
        drop(jobs);
        let time_left = TIMEOUT.saturating_sub(started_at.elapsed());
        if self.finished.recv_timeout(time_left) == Err(RecvTimeoutError::Timeout) {
            log::error!("disk did not respond in time: the last snapshot may not have been written");
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/snapshot_writer.rs"]
mod tests;
