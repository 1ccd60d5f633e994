//! The disk that outlives the process, on a thread of its own: no session waits for it.

use crate::net::transient::is_transient;
use shelfgrade_recovery::snapshot::{generation, GENERATIONS};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::time::{Duration, Instant};

/// What is to be written: its number, and its bytes.
type Job = (u64, Vec<u8>);

pub struct Disk {
    work: Option<SyncSender<Job>>,
    /// Hears the end of the thread.
    ended: Receiver<()>,
}

fn path(folder: &Path, generation: usize) -> PathBuf {
    folder.join(format!("shelfgrade.{generation}"))
}

/// What the files hold, as far as they can be read; a file that is not there is nothing.
pub fn read(folder: &Path) -> Vec<Option<Vec<u8>>> {
    let read = |generation| match read_past_faults(&path(folder, generation)) {
        Ok(bytes) => Some(bytes),
        Err(error) if error.kind() == io::ErrorKind::NotFound => None,
        Err(error) => {
            log::warn!("{}: {error}: started without it", path(folder, generation).display());
            None
        }
    };
    (0..GENERATIONS).map(read).collect()
}

/// Guards against starting from an older generation where the newer one could not be read for a moment.
fn read_past_faults(path: &Path) -> io::Result<Vec<u8>> {
    const TRIES: usize = 20;
    const PAUSE: Duration = Duration::from_millis(25);
    for _ in 1..TRIES {
        match fs::read(path) {
            Err(error) if is_transient(&error) => std::thread::sleep(PAUSE),
            read => return read,
        }
    }
    fs::read(path)
}

/// Puts a file in the place of the one before, whole or not at all.
fn replace(folder: &Path, number: u64, bytes: &[u8]) -> io::Result<()> {
    let (path, new) = (path(folder, generation(number)), folder.join("shelfgrade.new"));
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&new, path)?;
    File::open(folder)?.sync_all()
}

/// The thread's side.
struct Writer {
    folder: PathBuf,
    jobs: Receiver<Job>,
    failed: u64,
}

impl Writer {
    /// Writes what comes. What could not be written is tried again until it can be, or until something newer has come.
    fn run(mut self) {
        const PAUSE: Duration = Duration::from_millis(50);
        // Of the end of a process, which waits no longer.
        const LAST_TRIES: usize = 6;
        let mut unwritten: Option<Job> = None;
        let mut tries_left = LAST_TRIES;
        while tries_left > 0 {
            let job = match &unwritten {
                None => self.jobs.recv().map_err(|_| RecvTimeoutError::Disconnected),
                Some(_) => self.jobs.recv_timeout(PAUSE),
            };
            match job {
                Ok(newer) => unwritten = Some(newer),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) if unwritten.is_none() => return,
                Err(RecvTimeoutError::Disconnected) => {
                    tries_left -= 1;
                    std::thread::sleep(PAUSE);
                }
            }
            unwritten = unwritten.filter(|(number, bytes)| !self.is_written(*number, bytes));
        }
    }

    fn is_written(&mut self, number: u64, bytes: &[u8]) -> bool {
        let Err(error) = replace(&self.folder, number, bytes) else {
            metrics::counter!("snapshots written").increment(1);
            return true;
        };
        self.failed += 1;
        metrics::counter!("snapshots failed").increment(1);
        // Guards against a full disk filling the log as well.
        if self.failed.is_power_of_two() {
            let (folder, failed) = (self.folder.display(), self.failed);
            log::error!("{folder}: no snapshot ({error}), {failed} so far: see the disk; service goes on");
        }
        false
    }
}

impl Disk {
    pub fn begin(folder: &Path) -> Self {
        // One is written while the next waits; what is newer than both takes a later turn.
        let (work, jobs) = sync_channel::<Job>(1);
        let (ends, ended) = sync_channel(1);
        let writer = Writer { folder: folder.to_owned(), jobs, failed: 0 };
        let write = move || {
            writer.run();
            let _ = ends.send(());
        };
        let thread = std::thread::Builder::new().name("disk".into()).spawn(write);
        if let Err(error) = thread {
            log::error!("no thread for the disk ({error}): no snapshots");
        }
        Disk { work: Some(work), ended }
    }

    /// Has this written; false where the disk is still busy with others.
    pub fn write(&self, number: u64, bytes: Vec<u8>) -> bool {
        let full = |sent: Result<_, _>| matches!(sent, Err(TrySendError::Full(_)));
        !self.work.as_ref().is_some_and(|work| full(work.try_send((number, bytes))))
    }

    /// Writes this last. Waits for that, but not for a disk that hangs: all clients have had their last word by now, and
    /// a process that stays is killed.
    pub fn end(mut self, number: u64, bytes: Vec<u8>) {
        const WAITS: Duration = Duration::from_millis(400);
        let began = Instant::now();
        let Some(work) = self.work.take() else { return };
        let mut last = (number, bytes);
        while let Err(TrySendError::Full(job)) = work.try_send(last) {
            if began.elapsed() >= WAITS {
                return log::error!("the disk hangs: the last snapshot is not written");
            }
            last = job;
            std::thread::sleep(Duration::from_millis(5));
        }
        drop(work);
        if self.ended.recv_timeout(WAITS.saturating_sub(began.elapsed())) == Err(RecvTimeoutError::Timeout) {
            log::error!("the disk hangs: the last snapshot may not be written");
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/disk.rs"]
mod tests;
