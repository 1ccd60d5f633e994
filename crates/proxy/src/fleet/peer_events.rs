//! What the driver of the peer protocol reports to its owner.

use crate::net::event_loop::EventLoopOwner;
use shelfgrade::warm_restart::FlowEntry;
use shelfgrade_recovery::{EndpointAddress, RecoveryState};

/// Receives what this process learns from its peers and from its recovery; its event loop carries the socket.
pub trait PeerEvents: EventLoopOwner {
    /// These endpoints are in force: all there are if `is_complete`, else changed ones only.
    fn apply_endpoints(&mut self, endpoints: Vec<EndpointAddress>, is_complete: bool);
    /// This process has become one that polls discovery for the fleet, or has ceased to be.
    fn set_polling(&mut self, is_poller: bool);
    /// The recovery has reached another state.
    fn state_changed(&mut self, state: RecoveryState);
    /// Where a client's connection was before this process started.
    fn restore_flow(&mut self, flow: &FlowEntry);
    /// The list from discovery was rejected: the complete list is to be requested, after a backoff.
    fn list_rejected(&mut self);
    /// The fraction of the fleet's quotas that this process may use, from 0 to 1.
    fn set_quota_fraction(&mut self, fraction: f64);
    /// The flow table, for the snapshot.
    fn flow_entries(&self) -> Vec<FlowEntry>;
    /// An entry of the shared map was added or has changed.
    fn shared_entry_changed(&mut self, key: &str);
    /// Counts and logs a warning.
    fn warn(&self, what: &'static str);
}
