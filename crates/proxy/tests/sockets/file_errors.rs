//! Files and directories that temporarily cannot be read or written.

use crate::failure_injection::{Call, Failure, Plan};
use crate::harness::{wait_for, FakeServer, ProxyProcess, DEFAULT, TEST_TIMEOUT};
use crate::readiness::unique_address;
use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Starts a proxy with a fleet file and this state directory.
fn start_with_state_dir(plan: &Plan, directory: &Path, known: &[&FakeServer]) -> ProxyProcess {
    let file = directory.join("fleet.toml");
    let (own, other) = (unique_address(), unique_address());
    let text = format!(
        "fleet = \"f\"\nstate_dir = \"{}\"\nsave_every_ms = 100\nlist_wait_ms = 100\n[fellows]\nn0 = \"{own}\"\nn1 = \"{other}\"\n",
        directory.display()
    );
    fs::write(&file, text).unwrap();
    let mut command = plan.command();
    command.env("SHELFGRADE_FLEET", file);
    ProxyProcess::start_with_command(
        command,
        Arc::new(FakeServer::refusing_connections("discovery")),
        DEFAULT,
        known,
    )
}

/// Whether a snapshot in the directory contains this name.
fn is_saved(directory: &Path, name: &str) -> bool {
    (0..2).any(|generation| {
        let bytes = fs::read(directory.join(format!("shelfgrade.{generation}"))).unwrap_or_default();
        bytes.windows(name.len()).any(|part| part == name.as_bytes())
    })
}

#[test]
fn snapshot_writes_are_retried_until_they_succeed() {
    let failing = [
        (Call::Write, Failure::Error(libc::ENOSPC)),
        (Call::Sync, Failure::Error(libc::EIO)),
        (Call::Rename, Failure::Error(libc::EIO)),
        (Call::Open, Failure::Error(libc::ENOSPC)),
    ];
    for (call, failure) in failing {
        let (plan, directory) = (Plan::new(), tempfile::tempdir().unwrap());
        let server = FakeServer::new("server-to-be-saved");
        let proxy = start_with_state_dir(&plan, directory.path(), &[&server]);
        plan.fail(call, 1000, failure);
        (0..2).for_each(|i| _ = fs::remove_file(directory.path().join(format!("shelfgrade.{i}"))));
        wait_for(TEST_TIMEOUT, || (plan.failed(call) > 3).then_some(()));
        assert!(!is_saved(directory.path(), "n0"), "{call:?} fails");
        plan.restore(call);
        wait_for(Duration::from_secs(2), || is_saved(directory.path(), "n0").then_some(()));
        // Kills the proxy, as a snapshot written during a graceful shutdown would not count.
        drop(proxy);
    }
}

/// A transient error must not make the proxy start without a snapshot generation.
#[test]
fn snapshot_reads_are_retried_after_transient_errors() {
    let (plan, directory) = (Plan::new(), tempfile::tempdir().unwrap());
    let server = FakeServer::new("s1");
    let first = start_with_state_dir(&plan, directory.path(), &[&server]);
    let generations = [0, 1].map(|generation| directory.path().join(format!("shelfgrade.{generation}")));
    wait_for(TEST_TIMEOUT, || generations.iter().all(|path| path.exists()).then_some(()));
    drop(first);
    for _ in 0..4 {
        plan.fail(Call::Open, 600, Failure::Error(libc::EIO));
        let proxy = start_with_state_dir(&plan, directory.path(), &[&server]);
        plan.restore(Call::Open);
        // The proxy reads snapshots before it listens, so failures to read them are in the startup log.
        assert!(!proxy.startup_log.contains("started without it"), "{}", proxy.startup_log);
    }
}

/// The reload is retried on later ticks.
#[test]
fn a_reload_is_retried_after_transient_read_errors() {
    let plan = Plan::new();
    let server = FakeServer::new("s1");
    let proxy = plan.start(DEFAULT, &[&server]);
    let _old = proxy.discovery.next_poll();
    let new = FakeServer::new("discovery");
    plan.fail(Call::Open, 1000, Failure::Error(libc::EIO));
    proxy.reload(&proxy.startup_file_with_discovery(&new));
    wait_for(TEST_TIMEOUT, || (plan.failed(Call::Open) > 0).then_some(()));
    std::thread::sleep(Duration::from_millis(300));
    plan.restore(Call::Open);
    wait_for(Duration::from_secs(2), || new.try_accept());
}
