//! Release of quota in escrow: acknowledgements of members, and submission of the release by delegates.

use super::Process;
use crate::packet::Message;
use crate::quota::{pending_release, release_change};
use crate::Environment;
use shelfgrade::time::Timestamp;

impl Process {
    /// While a release is pending, acknowledges to the delegates the version of the cell's record that this process
    /// uses.
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

    /// As a delegate, submits the release once every member that holds an index has acknowledged the shrink.
    pub(super) fn submit_release(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        let state = self.state();
        let may_release = self.is_active && state.is_complete() && self.members.is_delegate();
        let Some(pending) = pending_release(state, self.cell).filter(|_| may_release) else { return };
        if self.acknowledged.acknowledged_by_all(state, self.cell, pending.shrink_version) {
            self.submit(release_change(self.cell, pending.shrink_version), now, environment);
        }
    }
}
