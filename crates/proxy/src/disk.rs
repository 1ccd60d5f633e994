//! The disk that outlives the process, on a thread of its own: no circuit waits for it.

use shelfgrade_recovery::snapshot::{generation, GENERATIONS};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::thread::JoinHandle;

pub struct Disk {
    work: Option<SyncSender<(u64, Vec<u8>)>>,
    thread: Option<JoinHandle<()>>,
}

fn path(folder: &Path, generation: usize) -> PathBuf {
    folder.join(format!("shelfgrade.{generation}"))
}

/// What the files hold, as far as they can be read; a file that is not there is nothing.
pub fn read(folder: &Path) -> Vec<Option<Vec<u8>>> {
    let read = |generation| match fs::read(path(folder, generation)) {
        Ok(bytes) => Some(bytes),
        Err(fault) if fault.kind() == io::ErrorKind::NotFound => None,
        Err(fault) => {
            log::warn!("{}: {fault}: started without it", path(folder, generation).display());
            None
        }
    };
    (0..GENERATIONS).map(read).collect()
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

impl Disk {
    pub fn begin(folder: &Path) -> Self {
        // One is written while the next waits; what is newer than both takes a later turn.
        let (work, jobs) = sync_channel::<(u64, Vec<u8>)>(1);
        let folder = folder.to_owned();
        let write = move || {
            let mut failed = 0u64;
            while let Ok((number, bytes)) = jobs.recv() {
                if let Err(fault) = replace(&folder, number, &bytes) {
                    failed += 1;
                    metrics::counter!("snapshots failed").increment(1);
                    // Guards against a full disk filling the log as well.
                    if failed.is_power_of_two() {
                        let folder = folder.display();
                        log::error!(
                            "{folder}: no snapshot ({fault}), {failed} so far: see the disk; service goes on"
                        );
                    }
                } else {
                    metrics::counter!("snapshots written").increment(1);
                }
            }
        };
        let thread = std::thread::Builder::new().name("disk".into()).spawn(write);
        let thread =
            thread.inspect_err(|fault| log::error!("no thread for the disk ({fault}): no snapshots"));
        Disk { work: Some(work), thread: thread.ok() }
    }

    /// Has this written; false where the disk is still busy with others.
    pub fn write(&self, number: u64, bytes: Vec<u8>) -> bool {
        let full = |sent: Result<_, _>| matches!(sent, Err(TrySendError::Full(_)));
        !self.work.as_ref().is_some_and(|work| full(work.try_send((number, bytes))))
    }

    /// Writes this last, and waits for that.
    pub fn end(mut self, number: u64, bytes: Vec<u8>) {
        let _ = self.work.take().map(|work| work.send((number, bytes)));
        let _ = self.thread.take().map(JoinHandle::join);
    }
}
