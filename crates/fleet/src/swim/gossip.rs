//! Gossip of replicated map entries, carried by the messages of the membership protocol.

use crate::entry::{Entry, Version};
use crate::replica::Replica;
use crate::roster::Incarnation;
use foca::{BroadcastHandler, Invalidates};
use std::cell::RefCell;
use std::rc::Rc;

/// A gossiped entry that cannot be decoded or has an unknown owner.
#[derive(Debug, thiserror::Error)]
#[error("malformed entry")]
pub(super) struct MalformedEntry;

/// Identifies an entry that is being gossiped; a newer version of the same key replaces it.
pub(super) struct GossipKey {
    key: String,
    version: Version,
}

impl Invalidates for GossipKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.key == other.key && self.version >= other.version
    }
}

/// Merges gossiped entries into the replica.
pub(super) struct EntryGossip {
    replica: Rc<RefCell<Replica>>,
    members: usize,
}

impl EntryGossip {
    pub(super) fn new(replica: Rc<RefCell<Replica>>, members: usize) -> Self {
        EntryGossip { replica, members }
    }
}

impl BroadcastHandler<Incarnation> for EntryGossip {
    type Key = GossipKey;
    type Error = MalformedEntry;

    /// Merges a received entry. Returns its gossip key if it is new and has to be forwarded, else `None`.
    fn receive_item(
        &mut self,
        data: &[u8],
        sender: Option<&Incarnation>,
    ) -> Result<Option<GossipKey>, MalformedEntry> {
        let entry: Entry = postcard::from_bytes(data).map_err(|_| MalformedEntry)?;
        if usize::from(entry.owner.0) >= self.members {
            return Err(MalformedEntry);
        }
        let gossip_key = GossipKey { key: entry.key.clone(), version: entry.version };
        // An entry written by the local member has no sender, and is already in the replica.
        let is_new = sender.is_none() || self.replica.borrow_mut().merge(entry);
        Ok(is_new.then_some(gossip_key))
    }
}
