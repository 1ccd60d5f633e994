//! Stories of files and folders that cannot be read or written for a while.

use crate::plan::{Call, Failure, Plan};
use crate::ready::own_address;
use crate::stand::{within, Place, Program, LONG, USUAL};
use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// A process with a fleet file, which keeps what outlives it in this folder.
fn starts_with_a_folder(plan: &Plan, folder: &Path, known: &[&Place]) -> Program {
    let file = folder.join("fleet.toml");
    let (own, other) = (own_address(), own_address());
    let text = format!(
        "fleet = \"f\"\nstate_dir = \"{}\"\nsave_every_ms = 100\nlist_wait_ms = 100\n[fellows]\nn0 = \"{own}\"\nn1 = \"{other}\"\n",
        folder.display()
    );
    fs::write(&file, text).unwrap();
    let mut command = plan.command();
    command.env("SHELFGRADE_FLEET", file);
    Program::start_by(command, Arc::new(Place::closed("discovery")), USUAL, known)
}

/// Whether a snapshot in the folder tells of this server.
fn is_saved(folder: &Path, server: &str) -> bool {
    (0..2).any(|generation| {
        let bytes = fs::read(folder.join(format!("shelfgrade.{generation}"))).unwrap_or_default();
        bytes.windows(server.len()).any(|part| part == server.as_bytes())
    })
}

#[test]
fn what_could_not_be_written_for_a_while_is_written_then() {
    let failing = [
        (Call::Write, Failure::Error(libc::ENOSPC)),
        (Call::Sync, Failure::Error(libc::EIO)),
        (Call::Rename, Failure::Error(libc::EIO)),
        (Call::OpenRequest, Failure::Error(libc::ENOSPC)),
    ];
    for (call, failure) in failing {
        let (plan, folder) = (Plan::new(), tempfile::tempdir().unwrap());
        let server = Place::new("server-to-be-saved");
        let program = starts_with_a_folder(&plan, folder.path(), &[&server]);
        plan.fail(call, 1000, failure);
        (0..2).for_each(|i| _ = fs::remove_file(folder.path().join(format!("shelfgrade.{i}"))));
        within(LONG, || (plan.failed(call) > 3).then_some(()));
        assert!(!is_saved(folder.path(), "n0"), "{call:?} fails");
        plan.mend(call);
        within(Duration::from_secs(2), || is_saved(folder.path(), "n0").then_some(()));
        // It is killed: what is saved at an orderly end would not count.
        drop(program);
    }
}

/// A generation that could not be read for a moment was started without.
#[test]
fn a_snapshot_that_cannot_be_read_at_once_is_read_then() {
    let (plan, folder) = (Plan::new(), tempfile::tempdir().unwrap());
    let server = Place::new("s1");
    let first = starts_with_a_folder(&plan, folder.path(), &[&server]);
    let generations = [0, 1].map(|generation| folder.path().join(format!("shelfgrade.{generation}")));
    within(LONG, || generations.iter().all(|path| path.exists()).then_some(()));
    drop(first);
    for _ in 0..4 {
        plan.fail(Call::OpenRequest, 600, Failure::Error(libc::EIO));
        let program = starts_with_a_folder(&plan, folder.path(), &[&server]);
        plan.mend(Call::OpenRequest);
        // What was logged on the way to that is behind it.
        assert!(!program.said_before.contains("started without it"), "{}", program.said_before);
    }
}

/// The signal had been taken, and the file could not be opened just then: nothing changed, and nobody asked again.
#[test]
fn a_new_configuration_that_cannot_be_read_at_once_is_read_then() {
    let plan = Plan::new();
    let server = Place::new("s1");
    let program = plan.start(USUAL, &[&server]);
    let _old = program.discovery.called();
    let new = Place::new("discovery");
    plan.fail(Call::OpenRequest, 1000, Failure::Error(libc::EIO));
    program.reads_again(&program.text_with(&new));
    within(LONG, || (plan.failed(Call::OpenRequest) > 0).then_some(()));
    std::thread::sleep(Duration::from_millis(300));
    plan.mend(Call::OpenRequest);
    within(Duration::from_secs(2), || new.try_accept());
}
