//! What the processes of one fleet share: the socket between peers, the state kept on disk, and the fleet file that
//! enables both.

pub mod fleet_file;
pub mod peer_events;
pub mod peers;
pub mod recovery_settings;
pub mod server_records;
pub mod snapshot_writer;
