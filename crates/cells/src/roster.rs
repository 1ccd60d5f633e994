//! The replicas of the log: named once, when a fleet is founded.

use std::net::SocketAddr;

/// A replica's address, and the region that it is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    pub address: SocketAddr,
    pub region: u8,
}

/// Why replicas make no roster.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum RosterError {
    #[error("no replica is named: name every machine that is set aside for the log")]
    Empty,
    #[error("{0} replicas: {MOST} at most; ten are enough for any fleet")]
    TooMany(usize),
    #[error(
        "{0} is named twice: a replica that counts twice makes no majority; give each an address of its own"
    )]
    Twice(SocketAddr),
}

const MOST: usize = 31;

/// All replicas, the same in the same order at each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers(Vec<Peer>);

impl Peers {
    pub fn new(peers: Vec<Peer>) -> Result<Self, RosterError> {
        if peers.is_empty() {
            return Err(RosterError::Empty);
        }
        if peers.len() > MOST {
            return Err(RosterError::TooMany(peers.len()));
        }
        let twice = peers
            .iter()
            .enumerate()
            .find(|(index, peer)| peers[..*index].iter().any(|before| before.address == peer.address));
        match twice {
            Some((_, peer)) => Err(RosterError::Twice(peer.address)),
            None => Ok(Peers(peers)),
        }
    }

    pub fn majority(&self) -> usize {
        self.0.len() / 2 + 1
    }

    pub fn get(&self, id: u8) -> Option<&Peer> {
        self.0.get(usize::from(id))
    }

    pub fn id(&self, address: SocketAddr) -> Option<u8> {
        self.0.iter().position(|peer| peer.address == address).map(|id| id as u8)
    }

    pub fn iter(&self) -> impl Iterator<Item = (u8, &Peer)> {
        self.0.iter().enumerate().map(|(id, peer)| (id as u8, peer))
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
