//! A proxy whose system calls fail by a plan: the test's side of the library `failing_calls`.

#[path = "../../examples/failing_calls/plan.rs"]
mod layout;

use crate::harness::{FakeServer, ProxyProcess, Settings, BINARY};
pub use layout::Call;
use layout::{NAMED_BY, SIZE};
use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use tempfile::TempDir;

/// How a call fails.
#[derive(Clone, Copy, Debug)]
pub enum Failure {
    /// With this error number.
    Error(i32),
    /// It transfers one to three bytes of what was asked for.
    Short,
}

/// Which system calls fail from now on; none does at first.
pub struct Plan {
    file: File,
    folder: TempDir,
}

impl Plan {
    pub fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("plan");
        let file = OpenOptions::new().read(true).write(true).create_new(true).open(path).unwrap();
        file.set_len(SIZE as u64).unwrap();
        Plan { file, folder }
    }

    /// Has `per_mille` of a thousand of these calls fail.
    pub fn fail(&self, call: Call, per_mille: u32, failure: Failure) -> &Self {
        let error = match failure {
            Failure::Error(number) => number as u32,
            Failure::Short => 0,
        };
        self.set(call, u64::from(per_mille) << 32 | u64::from(error))
    }

    /// Has these calls succeed again.
    pub fn restore(&self, call: Call) -> &Self {
        self.set(call, 0)
    }

    /// Sets the wall clock ahead of the machine's, or behind it if negative, in milliseconds.
    pub fn step_wall_clock(&self, ahead_ms: i64) -> &Self {
        self.set(Call::WallClock, ahead_ms as u64)
    }

    fn set(&self, call: Call, cell: u64) -> &Self {
        self.file.write_all_at(&cell.to_ne_bytes(), call.offset() as u64).unwrap();
        self
    }

    /// How many of these calls have failed.
    pub fn failed(&self, call: Call) -> u64 {
        let mut count = [0; 8];
        self.file.read_exact_at(&mut count, call.offset() as u64 + 8).unwrap();
        u64::from_ne_bytes(count)
    }

    /// The command that runs the proxy under this plan.
    pub fn command(&self) -> Command {
        let library = Path::new(BINARY).with_file_name("examples").join("libfailing_calls.so");
        assert!(
            library.exists(),
            "cargo test builds {} unless asked for certain targets to build",
            library.display()
        );
        let mut command = Command::new(BINARY);
        command.env("LD_PRELOAD", library).env(NAMED_BY, self.folder.path().join("plan"));
        command
    }

    /// Starts the proxy under this plan, with a discovery of its own.
    pub fn start(&self, settings: Settings, known: &[&FakeServer]) -> ProxyProcess {
        ProxyProcess::start_with_command(
            self.command(),
            Arc::new(FakeServer::new("discovery")),
            settings,
            known,
        )
    }
}
