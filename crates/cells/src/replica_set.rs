//! The replicas of the log, which are fixed when a fleet is founded.

use std::net::SocketAddr;

const MAX_REPLICAS: usize = 31;

/// Where a replica is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaAddress {
    /// Address that it receives datagrams at.
    pub address: SocketAddr,
    /// Region of its machine.
    pub region: u8,
}

/// Why replicas form no set.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum ReplicaSetError {
    /// There is none.
    #[error("no replica is named: name every machine that is set aside for the log")]
    Empty,
    /// There are too many.
    #[error("{0} replicas: {MAX_REPLICAS} at most; ten are enough for any fleet")]
    TooMany(usize),
    /// Two have one address.
    #[error(
        "{0} is named twice: a replica that counts twice makes no majority; give each an address of its own"
    )]
    Duplicate(SocketAddr),
}

/// All replicas, in the same order at each of them. A replica's id is its index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSet(Vec<ReplicaAddress>);

impl ReplicaSet {
    /// A set of these replicas.
    ///
    /// # Errors
    ///
    /// [`ReplicaSetError`] where they are none, too many, or not distinct.
    pub fn new(replicas: Vec<ReplicaAddress>) -> Result<Self, ReplicaSetError> {
        if replicas.is_empty() {
            return Err(ReplicaSetError::Empty);
        }
        if replicas.len() > MAX_REPLICAS {
            return Err(ReplicaSetError::TooMany(replicas.len()));
        }
        let is_duplicate =
            |index: usize| replicas[..index].iter().any(|before| before.address == replicas[index].address);
        match (0..replicas.len()).find(|index| is_duplicate(*index)) {
            Some(index) => Err(ReplicaSetError::Duplicate(replicas[index].address)),
            None => Ok(ReplicaSet(replicas)),
        }
    }

    /// Number of replicas that make a majority.
    pub fn majority(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// The replica of an id.
    pub fn get(&self, id: u8) -> Option<&ReplicaAddress> {
        self.0.get(usize::from(id))
    }

    /// The id of the replica at an address.
    pub fn id(&self, address: SocketAddr) -> Option<u8> {
        self.0.iter().position(|replica| replica.address == address).map(|id| id as u8)
    }

    /// All replicas with their ids.
    pub fn iter(&self) -> impl Iterator<Item = (u8, &ReplicaAddress)> {
        self.0.iter().enumerate().map(|(id, replica)| (id as u8, replica))
    }

    /// Number of replicas.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Always false: a set has a replica.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
