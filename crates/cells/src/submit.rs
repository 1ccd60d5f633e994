//! Changes that a process has put into the log.

use crate::packet::{self, Message};
use crate::process::Process;
use crate::record::Change;
use crate::Environment;
use shelfgrade::time::Timestamp;
use std::time::Duration;

/// When a change that was not answered goes to the next replica.
const SUBMIT: Duration = Duration::from_millis(500);

impl Process {
    /// Has a change put into the log, by whichever replica answers.
    pub fn submit(&mut self, change: Change, now: Timestamp, environment: &mut dyn Environment) {
        if self.pending.contains_key(&change.id) {
            return;
        }
        let to = self.replicas.get(self.source % self.replicas.len().max(1)).copied();
        if let Some(to) = to {
            self.send(to, &Message::Submit(change.clone()), now, environment);
        }
        self.pending.insert(change.id, (change, now + SUBMIT, self.source + 1));
    }

    pub(crate) fn send_pending(&mut self, now: Timestamp, environment: &mut dyn Environment) {
        let due: Vec<u64> =
            self.pending.iter().filter(|(_, (_, at, _))| now >= *at).map(|(id, _)| *id).collect();
        for id in due {
            let Some((change, at, tries)) = self.pending.get_mut(&id) else { continue };
            *at = now + SUBMIT;
            *tries += 1;
            let (message, to) = (Message::Submit(change.clone()), *tries % self.replicas.len().max(1));
            if let Some(to) = self.replicas.get(to) {
                environment.send(*to, packet::write(self.fleet, &message));
            }
        }
    }
}
