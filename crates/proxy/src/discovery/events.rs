//! Callbacks of the discovery client.

use crate::discovery::call_error::CallError;
use crate::discovery::endpoint_list::EndpointList;
use crate::net::event_loop::EventLoopOwner;
use shelfgrade::time::Timestamp;

/// Receives the outcomes of calls to discovery, on the implementor's event loop.
pub trait DiscoveryEvents: EventLoopOwner {
    /// An endpoint list was received. Returns whether to start a watch for the next version immediately.
    fn on_endpoints(&mut self, list: &EndpointList) -> bool;

    /// The call that started at `started_at` was refused or failed. The implementor schedules the retry.
    fn on_poll_failed(&mut self, error: &CallError, started_at: Timestamp);

    /// A watch, or another call that discovery had accepted, got no valid response in time. The implementor polls again
    /// immediately, because changes missed in the meantime must be applied by `refresh_deadline`.
    fn on_watch_lost(&mut self, error: &CallError, refresh_deadline: Timestamp);
}
