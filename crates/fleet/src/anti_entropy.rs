//! What rumours miss: two processes compare their maps part by part, and give each other what differs.

use crate::packet::Message;
use crate::replicated_map::{state, Entry, BUCKETS};
use crate::swim::Known;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;

/// What one datagram of entries or states may hold, in bytes; what is round it takes the rest.
const ROOM: usize = 1200;
/// The most of the parts that differ where their states are worth comparing first; else one just knows little.
const FEW: usize = 8;
/// How many datagrams of entries who knows little is given at once.
const GIFTS: usize = 4;

/// Roughly what an entry takes in a datagram.
fn size(entry: &Entry) -> usize {
    const ROUND_IT: usize = 32;
    entry.key.len() + entry.value.as_ref().map_or(0, Vec::len) + ROUND_IT
}

impl Known {
    /// The parts of the map in which the other one knows something else.
    pub fn differing(&self, theirs: &[u64]) -> Vec<usize> {
        let mine = self.map.digest();
        if theirs.len() != BUCKETS {
            return Vec::new();
        }
        (0..BUCKETS).filter(|part| mine[*part] != theirs[*part]).collect()
    }

    /// What is told of those parts: all of some of them where many differ, else the states of one.
    pub fn answers(&self, differing: &[usize], chance: &mut WyRand) -> Vec<Message> {
        if differing.is_empty() {
            return Vec::new();
        }
        let from = chance.generate_range(0..differing.len());
        if differing.len() > FEW {
            let turned = differing[from..].iter().chain(&differing[..from]);
            let entries = turned.flat_map(|part| self.map.in_bucket(*part)).cloned();
            return packed(entries).into_iter().take(GIFTS).map(Message::Entries).collect();
        }
        // Eight bytes each, and no more than one datagram holds; the next time it begins elsewhere.
        const STATES: usize = 140;
        let part = differing[from];
        let mut states: Vec<_> = self.map.in_bucket(part).map(state).collect();
        if states.len() > STATES {
            let turn = chance.generate_range(0..states.len());
            states.rotate_left(turn);
            states.truncate(STATES);
        }
        vec![Message::Summary { part: part as u16, states }]
    }

    /// Of one part: what the other one does not have, in one datagram, and what is to be asked of it.
    pub fn compare(&self, part: usize, theirs: &[(u32, u32)]) -> (Vec<Entry>, Vec<u32>) {
        let theirs: BTreeMap<u32, u32> = theirs.iter().copied().collect();
        let mine: BTreeMap<u32, &Entry> =
            self.map.in_bucket(part).map(|entry| (state(entry).0, entry)).collect();
        let lacks = mine.iter().filter(|(key, entry)| theirs.get(key) != Some(&state(entry).1));
        let gives = packed(lacks.map(|(_, entry)| (*entry).clone())).into_iter().next().unwrap_or_default();
        let held = |key: &u32| mine.get(key).map(|entry| state(entry).1);
        let wants = theirs.iter().filter(|(key, state)| held(key) != Some(**state)).map(|(key, _)| *key);
        (gives, wants.take(ROOM / 8).collect())
    }

    /// The entries with these short hashes, in one datagram.
    pub fn wanted(&self, keys: &[u32]) -> Vec<Entry> {
        let keys = keys.iter().copied().collect();
        let entries = self.map.with_hashes(&keys).into_iter();
        packed(entries.cloned()).into_iter().next().unwrap_or_default()
    }
}

/// Entries in as many datagrams as they need, in their order.
fn packed(entries: impl Iterator<Item = Entry>) -> Vec<Vec<Entry>> {
    let mut all: Vec<Vec<Entry>> = Vec::new();
    let mut left = 0;
    for entry in entries {
        let size = size(&entry);
        match all.last_mut().filter(|_| size <= left) {
            Some(last) => last.push(entry),
            None => {
                all.push(vec![entry]);
                left = ROOM;
            }
        }
        left = left.saturating_sub(size);
        if all.len() > GIFTS {
            break;
        }
    }
    all
}
