//! One proposal at one slot: first a majority's promises, then a majority's votes.

use crate::packet::{Ballot, ROOM};
use crate::record::{Batch, Change, MOST_IN_BATCH};
use shelfgrade::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

pub struct Proposal {
    pub slot: u64,
    pub ballot: Ballot,
    pub until: Timestamp,
    own: Batch,
    promises: BTreeMap<u8, Option<(Ballot, Batch)>>,
    /// What is voted on, once a majority has promised.
    pub batch: Option<Batch>,
    votes: BTreeSet<u8>,
}

impl Proposal {
    pub fn new(slot: u64, ballot: Ballot, own: Batch, until: Timestamp) -> Self {
        Proposal { slot, ballot, until, own, promises: BTreeMap::new(), batch: None, votes: BTreeSet::new() }
    }

    /// What to have voted on, when this promise made the majority: what may have been chosen already goes first.
    pub fn promised(&mut self, by: u8, accepted: Option<(Ballot, Batch)>, majority: usize) -> Option<Batch> {
        if self.batch.is_some() {
            return None;
        }
        self.promises.insert(by, accepted);
        if self.promises.len() < majority {
            return None;
        }
        let latest = self.promises.values().flatten().max_by_key(|(ballot, _)| *ballot);
        self.batch = Some(latest.map_or_else(|| self.own.clone(), |(_, batch)| batch.clone()));
        self.batch.clone()
    }

    /// What is chosen, when this vote made the majority.
    pub fn voted(&mut self, by: u8, majority: usize) -> Option<Batch> {
        let batch = self.batch.as_ref()?;
        self.votes.insert(by);
        (self.votes.len() >= majority).then(|| batch.clone())
    }
}

/// Changes that wait to be chosen, and who wants to hear.
#[derive(Default)]
pub struct Queue(VecDeque<(Change, Option<SocketAddr>)>);

/// How many changes wait at one replica; who writes more is left to send them again.
const MOST_WAITING: usize = 8192;

impl Queue {
    /// False where there is no room. Who asked first is told; another replica that hands a change back isn't its writer.
    pub fn push(&mut self, change: Change, from: Option<SocketAddr>, handed_on: bool) -> bool {
        if let Some(waits) = self.0.iter_mut().find(|(waits, _)| waits.id == change.id) {
            if !handed_on {
                waits.1 = from;
            }
            return true;
        }
        let room = self.0.len() < MOST_WAITING;
        if room {
            self.0.push_back((change, from));
        }
        room
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The first ones, as many as go in one datagram.
    pub fn batch(&self) -> Batch {
        let mut left = ROOM;
        let fit = |(change, _): &&(Change, Option<SocketAddr>)| {
            let fits = change.size() <= left;
            left = left.saturating_sub(change.size());
            fits
        };
        let first = self.0.iter().take(MOST_IN_BATCH).take_while(fit);
        first.map(|(change, _)| change.clone()).collect()
    }

    /// Takes one out that has been chosen, and gives who wants to hear.
    pub fn chosen(&mut self, id: u64) -> Option<Option<SocketAddr>> {
        let at = self.0.iter().position(|(change, _)| change.id == id)?;
        self.0.remove(at).map(|(_, from)| from)
    }
}
