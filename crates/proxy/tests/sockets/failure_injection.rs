//! Fault injection: a proxy whose system calls fail as a plan specifies. This is the test's side of the preloaded
//! library `failing_calls`.

#[path = "../../examples/failing_calls/plan.rs"]
mod plan;

use crate::harness::{FakeServer, ProxyProcess, Settings, BINARY};
pub use plan::Call;
use plan::{PLAN_VARIABLE, SIZE};
use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use tempfile::TempDir;

/// How a system call fails.
#[derive(Clone, Copy, Debug)]
pub enum Failure {
    /// It returns this error number.
    Error(i32),
    /// It transfers only one to three bytes.
    Short,
}

/// Which system calls of a proxy fail, and how. Initially none fails.
pub struct Plan {
    file: File,
    directory: TempDir,
}

impl Plan {
    pub fn new() -> Self {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("plan");
        let file = OpenOptions::new().read(true).write(true).create_new(true).open(path).unwrap();
        file.set_len(SIZE as u64).unwrap();
        Plan { file, directory }
    }

    /// Makes these calls fail at random, `per_mille` of a thousand.
    pub fn fail(&self, call: Call, per_mille: u32, failure: Failure) -> &Self {
        let error = match failure {
            Failure::Error(number) => number as u32,
            Failure::Short => 0,
        };
        self.set(call, u64::from(per_mille) << 32 | u64::from(error))
    }

    /// Makes these calls succeed again.
    pub fn restore(&self, call: Call) -> &Self {
        self.set(call, 0)
    }

    /// Sets the proxy's wall clock ahead of the machine's by this many milliseconds, or behind it if negative.
    pub fn step_wall_clock(&self, ahead_ms: i64) -> &Self {
        self.set(Call::WallClock, ahead_ms as u64)
    }

    fn set(&self, call: Call, rule: u64) -> &Self {
        self.file.write_all_at(&rule.to_ne_bytes(), call.offset() as u64).unwrap();
        self
    }

    /// The number of these calls that have failed.
    pub fn failed(&self, call: Call) -> u64 {
        let mut count = [0; 8];
        self.file.read_exact_at(&mut count, call.offset() as u64 + 8).unwrap();
        u64::from_ne_bytes(count)
    }

    /// The command that runs the proxy with this plan.
    pub fn command(&self) -> Command {
        let library = Path::new(BINARY).with_file_name("examples").join("libfailing_calls.so");
        assert!(
            library.exists(),
            "{} is missing: run cargo test without target selection, or build the example failing_calls first",
            library.display()
        );
        let mut command = Command::new(BINARY);
        command.env("LD_PRELOAD", library).env(PLAN_VARIABLE, self.directory.path().join("plan"));
        command
    }

    /// Starts a proxy with this plan, these known servers and a discovery service of its own.
    pub fn start(&self, settings: Settings, known: &[&FakeServer]) -> ProxyProcess {
        ProxyProcess::start_with_command(
            self.command(),
            Arc::new(FakeServer::new("discovery")),
            settings,
            known,
        )
    }
}
