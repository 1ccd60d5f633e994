//! What the recovery state machine reports during a call, kept until the call has returned.

use crate::fleet::peer_events::PeerEvents;
use shelfgrade::warm_restart::FlowEntry;
use shelfgrade_recovery::{EndpointAddress, RecoveryState};

/// One call of [`PeerEvents`] to be made.
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
            Notification::Warning(what) => events.warn(what),
        }
    }
}
