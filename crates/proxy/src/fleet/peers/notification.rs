//! Events that the recovery state machine reports during a call, queued until the call has returned.

use crate::fleet::peer_events::PeerEvents;
use shelfgrade::warm_restart::FlowEntry;
use shelfgrade_recovery::{EndpointAddress, RecoveryState};

/// A pending call of a [`PeerEvents`] method.
pub(super) enum Notification {
    Endpoints { endpoints: Vec<EndpointAddress>, is_complete: bool },
    Polling { is_poller: bool },
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
            Notification::Polling { is_poller } => events.set_polling(is_poller),
            Notification::StateChanged(state) => events.state_changed(state),
            Notification::RestoredFlow(flow) => events.restore_flow(&flow),
            Notification::ListRejected => events.list_rejected(),
            Notification::SharedEntryChanged(key) => events.shared_entry_changed(&key),
            Notification::Warning(counter) => events.warn(counter),
        }
    }
}
