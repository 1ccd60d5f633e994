//! Events that the recovery state machine reports during a call, queued until the call has returned.

use crate::fleet::peer_events::PeerEvents;
use shelfgrade::warm_restart::FlowEntry;
use shelfgrade_recovery::{DiscoveryUse, EndpointAddress, RecoveryState};

/// A pending call of a [`PeerEvents`] method.
pub(super) enum Notification {
    Endpoints { endpoints: Vec<EndpointAddress>, is_complete: bool },
    DiscoveryUse(DiscoveryUse),
    StateChanged(RecoveryState),
    RestoredFlow(FlowEntry),
    ListRejected,
    SharedEntryChanged(String),
    Warning(&'static str),
}

impl Notification {
    pub(super) fn deliver(self, events: &mut impl PeerEvents) {
        match self {
            Notification::Endpoints { endpoints, is_complete } => {
                events.apply_endpoints(endpoints, is_complete);
            }
            Notification::DiscoveryUse(discovery_use) => events.set_discovery_use(discovery_use),
            Notification::StateChanged(state) => events.state_changed(state),
            Notification::RestoredFlow(flow) => events.restore_flow(&flow),
            Notification::ListRejected => events.list_rejected(),
            Notification::SharedEntryChanged(key) => events.shared_entry_changed(&key),
            Notification::Warning(counter) => events.warn(counter),
        }
    }
}
