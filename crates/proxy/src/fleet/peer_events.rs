//! Callbacks of the peer protocol and the recovery.

use crate::net::event_loop::EventLoopOwner;
use shelfgrade::warm_restart::FlowEntry;
use shelfgrade_recovery::{DiscoveryUse, EndpointAddress, RecoveryState};

/// Receives the events of the peer protocol and of the recovery state machine, on the implementor's event loop.
pub trait PeerEvents: EventLoopOwner {
    /// Applies endpoints: the complete list if `is_complete`, otherwise only the changed ones.
    fn apply_endpoints(&mut self, endpoints: Vec<EndpointAddress>, is_complete: bool);
    /// Starts or stops polling discovery.
    fn set_discovery_use(&mut self, discovery_use: DiscoveryUse);
    /// The recovery has entered another state.
    fn state_changed(&mut self, state: RecoveryState);
    /// Restores a flow entry: the server that a client was connected to before this process started.
    fn restore_flow(&mut self, flow: &FlowEntry);
    /// A list from discovery was rejected. The implementor requests the complete list after a backoff.
    fn list_rejected(&mut self);
    /// Sets the fraction of the fleet's quota that this process may use, from 0 to 1.
    fn set_quota_fraction(&mut self, fraction: f64);
    /// The entries of the flow table, for the snapshot.
    fn flow_entries(&self) -> Vec<FlowEntry>;
    /// An entry of the shared map was added or has changed.
    fn shared_entry_changed(&mut self, key: &str);
    /// Increments a counter and logs a warning.
    fn warn(&self, counter: &'static str);
}
