//! A balancer for long-lived connections on real sockets, round the decisions of the crate `shelfgrade`.
//!
//! [`start::Start`] holds what a proxy is told at its start; [`proxy::serve`] runs it on one thread and one
//! loop until it is told to end. The decisions are the module's; this crate carries them out.

pub mod start;

mod caller;
mod choosers;
mod client;
mod clock;
mod comeback;
mod discovery;
mod disk;
mod door;
mod driver;
mod due;
mod early;
mod ending;
mod endpoint_list;
pub mod fleet_file;
mod hands;
mod http;
mod line;
mod lingering;
mod notes;
mod peers;
mod probe;
pub mod proxy;
mod pulse;
mod reload;
mod ring;
mod server;
mod session;
mod socket;
mod spaces;
mod start_times;
mod tally;
mod transient;
mod windows;
