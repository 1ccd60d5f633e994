//! Decides whether a list from discovery is accepted, and what the shared list becomes with it.

use super::Node;
use crate::environment::DiscoveryUse;
use crate::list_history::{ListFreshness, ListHistory};
use crate::server_record::{list_digest, ServerHealth, ServerRecord};
use std::collections::BTreeMap;

/// Why a list from discovery was rejected.
#[derive(Debug, thiserror::Error)]
pub(super) enum ListRejection {
    #[error("version {seq} is an update to an unknown list; requesting a complete list")]
    UpdateToUnknownList { seq: u64 },
    #[error("version {seq} is outdated: the current version is {current}")]
    Outdated { seq: u64, current: u64 },
    #[error("version {seq} is unknown: the current version is {current}, and only a poller replaces it")]
    Unknown { seq: u64, current: u64 },
}

/// The endpoint list that results from an accepted list or update.
pub(super) struct AcceptedList {
    /// The shared list with the received records, including terminated servers.
    pub(super) records: BTreeMap<String, ServerRecord>,
    /// The version of the list or update.
    pub(super) seq: u64,
    /// The history of the shared list.
    pub(super) history: ListHistory,
}

impl Node {
    /// Decides about a list with version number `seq`: a complete list, or the records that have changed.
    pub(super) fn accept_list(
        &self,
        records: &[(String, ServerRecord)],
        is_complete: bool,
        seq: u64,
    ) -> Result<AcceptedList, ListRejection> {
        if is_complete {
            self.accept_complete_list(records, seq)
        } else {
            self.accept_update(records, seq)
        }
    }

    fn accept_complete_list(
        &self,
        records: &[(String, ServerRecord)],
        seq: u64,
    ) -> Result<AcceptedList, ListRejection> {
        let mut next: BTreeMap<_, _> = self.to_shared(records).collect();
        let digest = digest_of(&next);
        let freshness = self.list_history.classify(seq, digest);
        let current = self.list_history.seq;
        if freshness == ListFreshness::Outdated {
            return Err(ListRejection::Outdated { seq, current });
        }
        // This may be a version between two that the pollers have received. They receive each change of a restarted
        // discovery.
        if freshness == ListFreshness::NewEpoch && self.discovery_use == DiscoveryUse::OwnAddresses {
            return Err(ListRejection::Unknown { seq, current });
        }
        self.add_terminated(&mut next);
        if freshness == ListFreshness::NewEpoch {
            self.keep_known_health(&mut next);
        }
        let mut history = self.list_history.clone();
        history.record(freshness, seq, digest);
        Ok(AcceptedList { records: next, seq, history })
    }

    /// Accepts an update if it follows a list of the current epoch. If a peer has already shared a higher version, the
    /// update changes only the records that this version has left as they were.
    fn accept_update(
        &self,
        records: &[(String, ServerRecord)],
        seq: u64,
    ) -> Result<AcceptedList, ListRejection> {
        if !self.is_list_agreed || self.received_epoch != Some(self.list_history.epoch) {
            return Err(ListRejection::UpdateToUnknownList { seq });
        }
        let mut next = self.records.clone();
        next.extend(self.to_shared(records));
        let mut history = self.list_history.clone();
        if seq >= history.seq {
            history.record(ListFreshness::Current, seq, digest_of(&next));
        }
        Ok(AcceptedList { records: next, seq, history })
    }

    /// The records of a list as they are shared, with the addresses that the members share.
    fn to_shared<'a>(
        &'a self,
        records: &'a [(String, ServerRecord)],
    ) -> impl Iterator<Item = (String, ServerRecord)> + 'a {
        records.iter().map(|(server, record)| {
            let shared = self.records.get(server).and_then(|record| record.address);
            let address = self.addresses.address_to_share(server, record.address, shared);
            (server.clone(), ServerRecord { address, ..record.clone() })
        })
    }

    /// Adds the known servers that are absent from a complete list, as terminated.
    fn add_terminated(&self, next: &mut BTreeMap<String, ServerRecord>) {
        for (server, known) in &self.records {
            let terminated = || ServerRecord { health: ServerHealth::Terminated, ..known.clone() };
            next.entry(server.clone()).or_insert_with(terminated);
        }
    }

    fn keep_known_health(&self, next: &mut BTreeMap<String, ServerRecord>) {
        for (server, record) in next {
            *record = record.clone().with_known_health(self.records.get(server));
        }
    }
}

fn digest_of(records: &BTreeMap<String, ServerRecord>) -> u32 {
    list_digest(records.iter().map(|(server, record)| (server.as_str(), record)))
}
