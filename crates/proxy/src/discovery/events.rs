//! What the discovery client reports to its owner.

use crate::discovery::call_error::CallError;
use crate::discovery::endpoint_list::EndpointList;
use crate::net::event_loop::EventLoopOwner;
use shelfgrade::time::Timestamp;

/// Receives the outcomes of calls to discovery; its event loop carries them.
pub trait DiscoveryEvents: EventLoopOwner {
    /// An endpoint list was received. Returns whether to watch for the next version at once.
    fn on_endpoints(&mut self, list: &EndpointList) -> bool;

    /// The call that began at `since` was refused or failed. The receiver schedules the retry.
    fn on_poll_failed(&mut self, error: &CallError, since: Timestamp);

    /// A watch, or a call that discovery accepted, got no usable response in time. The receiver polls again at once, as
    /// changes that the watch missed have to be applied by `refresh_deadline`.
    fn on_watch_lost(&mut self, error: &CallError, refresh_deadline: Timestamp);
}
