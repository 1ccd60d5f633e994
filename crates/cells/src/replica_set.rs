//! The set of log replicas, which is fixed when a fleet is initialized.

use std::net::SocketAddr;

const MAX_REPLICAS: usize = 31;

/// Address and region of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaAddress {
    /// Address at which the replica receives datagrams.
    pub address: SocketAddr,
    /// Region of the replica's machine.
    pub region: u8,
}

/// Reason why a list of replicas is invalid.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum ReplicaSetError {
    /// The list is empty.
    #[error("empty list of replicas: list each machine that is dedicated to the log")]
    Empty,
    /// The list is too long.
    #[error("{0} replicas exceed the maximum of {MAX_REPLICAS}; ten are enough for any fleet")]
    TooMany(usize),
    /// Two replicas have the same address.
    #[error(
        "replica address {0} is listed twice: a replica must not count twice in a majority; use unique addresses"
    )]
    Duplicate(SocketAddr),
}

/// All replicas, in the same order at each node. The ID of a replica is its index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSet(Vec<ReplicaAddress>);

impl ReplicaSet {
    /// A replica set with these replicas.
    ///
    /// # Errors
    ///
    /// [`ReplicaSetError`] if the list is empty, too long, or contains an address twice.
    pub fn new(replicas: Vec<ReplicaAddress>) -> Result<Self, ReplicaSetError> {
        if replicas.is_empty() {
            return Err(ReplicaSetError::Empty);
        }
        if replicas.len() > MAX_REPLICAS {
            return Err(ReplicaSetError::TooMany(replicas.len()));
        }
        let is_duplicate = |index: usize| {
            replicas[..index].iter().any(|previous| previous.address == replicas[index].address)
        };
        match (0..replicas.len()).find(|index| is_duplicate(*index)) {
            Some(index) => Err(ReplicaSetError::Duplicate(replicas[index].address)),
            None => Ok(ReplicaSet(replicas)),
        }
    }

    /// Number of replicas that form a majority.
    pub fn majority(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// The replica with this ID.
    pub fn get(&self, id: u8) -> Option<&ReplicaAddress> {
        self.0.get(usize::from(id))
    }

    /// The ID of the replica with this address.
    pub fn id(&self, address: SocketAddr) -> Option<u8> {
        self.0.iter().position(|replica| replica.address == address).map(|id| id as u8)
    }

    /// All replicas with their IDs.
    pub fn iter(&self) -> impl Iterator<Item = (u8, &ReplicaAddress)> {
        self.0.iter().enumerate().map(|(id, replica)| (id as u8, replica))
    }

    /// Number of replicas.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Always false, as a replica set is never empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
