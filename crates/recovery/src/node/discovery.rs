//! Applies endpoint lists from discovery, on members that poll it, and shares them with the peers.

use super::list_acceptance::{AcceptedList, ListRejection};
use super::Node;
use crate::environment::{EnvironmentRecorder, RecoveryEnvironment};
use crate::list_history::LIST_KEY;
use crate::server_record::{ServerRecord, SERVER_PREFIX};
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{Entry, Version};

impl Node {
    /// Processes a list from discovery with version number `seq`: a complete list, or the records that have changed.
    /// Shares it with the peers if it is accepted. Returns whether it is; if not, the caller has to request a complete
    /// list.
    pub fn on_endpoint_list(
        &mut self,
        records: Vec<(String, ServerRecord)>,
        is_complete: bool,
        seq: u64,
        now: Timestamp,
        environment: &mut dyn RecoveryEnvironment,
    ) -> bool {
        let accepted = self.accept_list(&records, is_complete, seq);
        let rejection = accepted.as_ref().err().map(ToString::to_string);
        // Unless it is outdated, what a list says holds for this process, even if it cannot be shared.
        if !matches!(accepted, Err(ListRejection::Outdated { .. })) {
            let mut changed = self.update_addresses(&records);
            if let Ok(list) = accepted {
                self.apply_accepted_list(list, now, environment);
            }
            changed.extend(self.note_later_records(&records));
            self.apply_changed_servers(&changed, now, environment);
        }
        if let Some(rejection) = rejection {
            environment.list_rejected(&rejection);
            return false;
        }
        self.on_list_agreed("list received from discovery", now, environment);
        self.update_discovery_use(now, environment);
        true
    }

    /// Shares an accepted list with the peers, and applies what has changed.
    fn apply_accepted_list(
        &mut self,
        list: AcceptedList,
        now: Timestamp,
        environment: &mut dyn RecoveryEnvironment,
    ) {
        // Only an accepted list counts as an answer: otherwise a poller without a list would report an empty list.
        self.last_discovery_answer = Some(now);
        self.received_epoch = Some(list.history.epoch);
        let changed_entries = self.share_list(&list, environment);
        self.list_history = list.history;
        self.apply_entries(changed_entries, now, environment);
    }

    /// Notes the received records that are later in the life of a server than those that the members share: a member
    /// whose discovery numbers its lists differently may have shared older ones under a higher version. Returns the
    /// servers for which that has changed.
    fn note_later_records(&mut self, received: &[(String, ServerRecord)]) -> Vec<String> {
        let mut changed = Vec::new();
        for (server, record) in received {
            let is_later = self.records.get(server).is_some_and(|shared| record.is_later_than(shared));
            let later = is_later.then(|| record.clone());
            let before = self.received_later.remove(server);
            if later != before {
                changed.push(server.clone());
            }
            self.received_later.extend(later.map(|record| (server.clone(), record)));
        }
        changed
    }

    /// Records the addresses of a list. Returns the servers whose address has changed.
    fn update_addresses(&mut self, received: &[(String, ServerRecord)]) -> Vec<String> {
        let has_changed = |(server, record): &&(String, ServerRecord)| {
            record.address.is_some_and(|address| self.addresses.update(server, address))
        };
        received.iter().filter(has_changed).map(|(server, _)| server.clone()).collect()
    }

    /// Writes the changed records and history to the replicated map. Returns the entries that were written.
    fn share_list(&mut self, list: &AcceptedList, environment: &mut dyn RecoveryEnvironment) -> Vec<Entry> {
        let count = list.history.entry_version(list.seq);
        let version = Version { count, writer_incarnation: self.fleet.local_incarnation().started_at };
        let mut recorder = EnvironmentRecorder::new(environment);
        for (server, record) in &list.records {
            let key = format!("{SERVER_PREFIX}{server}");
            if self.fleet.get::<ServerRecord>(&key).as_ref() == Some(record) {
                continue;
            }
            if let Err(error) = self.fleet.put_version(&key, record, version, &mut recorder) {
                recorder.environment.list_rejected(&error.to_string());
            }
        }
        if list.history != self.list_history {
            // The error is ignored: if the map is full, peers use the previous history, and the records still apply.
            let _ = self.fleet.put_version(LIST_KEY, &list.history, version, &mut recorder);
        }
        recorder.changed_entries
    }
}
