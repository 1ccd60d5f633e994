//! What a process may of the whole, and how a cell gives up what it had. docs/cells.md says why the sum holds.

use crate::packet::Message;
use crate::process::Process;
use crate::record::{Action, CellId, Change, Key, Version};
use crate::Environment;
use shelfgrade::time::Timestamp;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Which version of the cell's record each member of it uses, by what it said itself.
#[derive(Default)]
pub struct Acks(BTreeMap<String, (u32, Version)>);

impl Acks {
    pub fn observe(&mut self, name: String, incarnation: u32, version: Version) {
        let held = self.0.entry(name).or_insert((incarnation, version));
        if incarnation > held.0 {
            *held = (incarnation, version);
        } else if incarnation == held.0 {
            held.1 = held.1.max(version);
        }
    }

    fn covers(&self, name: &str, incarnation: u32, version: Version) -> bool {
        self.0.get(name).is_some_and(|held| held.0 == incarnation && held.1 >= version)
    }
}

/// The id of the release of what a cell gave up at a version: whoever puts it in, it counts once.
fn release_id(cell: CellId, at: Version) -> u64 {
    xxh3_64(&postcard::to_stdvec(&("release", cell, at)).unwrap_or_default())
}

impl Process {
    /// Units of the whole that this process may use, [`crate::WHOLE`] being all.
    pub fn right(&self) -> u32 {
        let own = self.state().member(self.cell, &self.name);
        let mine = self.active && own.is_some_and(|own| own.incarnation == self.incarnation);
        let cell = self.state().cell(self.cell).filter(|_| mine);
        cell.map_or(0, |cell| cell.quota / u32::from(cell.places.max(1)))
    }

    /// The version of its cell's record, and whether something that was given up waits for its release.
    fn pending(&self) -> Option<(Version, Version)> {
        let record = self.state().get(&Key::Cell(self.cell))?;
        let cell = self.state().cell(self.cell)?;
        (cell.escrow > 0).then_some((record.version, cell.shrunk))
    }

    /// Tells those who speak for the cell which record it uses, while that is waited for.
    pub(crate) fn acknowledge(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        let Some((version, _)) = self.pending().filter(|_| self.active) else { return };
        let (cell, name, incarnation) = (self.cell, self.name.clone(), self.incarnation);
        self.acks.observe(name.clone(), incarnation, version);
        let message = Message::Ack { cell, name, incarnation, version };
        for speaker in self.speakers.clone() {
            self.send(speaker, &message, now, environment);
        }
    }

    /// Puts in the release when the holder of every place has said that it uses what was given up no more.
    pub(crate) fn release(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        let Some((_, shrunk)) = self.pending().filter(|_| self.active && self.state().whole()) else {
            return;
        };
        let heard = |(name, held): (&str, &crate::Member)| self.acks.covers(name, held.incarnation, shrunk);
        let heard = self.state().holders(self.cell).all(heard);
        if heard && self.speaks() {
            let action = Action::Release { cell: self.cell, at: shrunk };
            self.submit(Change { id: release_id(self.cell, shrunk), action }, now, environment);
        }
    }
}
