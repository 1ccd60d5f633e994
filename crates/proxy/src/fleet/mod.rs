//! What processes of one fleet share: the socket between peers, recovery, and the state on disk.

pub mod disk;
pub mod fleet_file;
pub mod peers;
pub mod recovery;
