//! How a process takes part in the release of quota that its cell has given up.

use super::Process;
use crate::packet::Message;
use crate::quota::{pending_release, release_change};
use crate::Environment;
use shelfgrade::time::Timestamp;

impl Process {
    /// Tells the delegates which version of the cell's record this process uses, while a release waits for it.
    pub(super) fn acknowledge(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        let pending = pending_release(self.state(), self.cell).filter(|_| self.is_active);
        let Some(version) = pending.map(|pending| pending.cell_version) else { return };
        let (cell, name, incarnation) = (self.cell, self.name.clone(), self.incarnation);
        self.acknowledged.observe(name.clone(), incarnation, version);
        let message = Message::Ack { cell, name, incarnation, version };
        for delegate in self.members.delegates().to_vec() {
            self.send(delegate, &message, now, environment);
        }
    }

    /// Submits the release, as a delegate, once the holder of every place uses the record by which quota was given up.
    pub(super) fn submit_release(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        let state = self.state();
        let may_release = self.is_active && state.is_complete() && self.members.is_delegate();
        let Some(pending) = pending_release(state, self.cell).filter(|_| may_release) else { return };
        if self.acknowledged.cover_all(state, self.cell, pending.shrunk_at) {
            self.submit(release_change(self.cell, pending.shrunk_at), now, environment);
        }
    }
}
