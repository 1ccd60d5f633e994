//! Membership in a fleet: the fleet file that enables it, the communication with the peers, and the snapshots on disk.

pub mod fleet_file;
pub mod peer_events;
pub mod peers;
pub mod recovery_settings;
pub mod server_records;
pub mod snapshot_writer;
