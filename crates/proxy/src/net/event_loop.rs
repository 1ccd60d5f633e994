//! Access to the event loop for the code that runs on it.

use calloop::LoopHandle;
use shelfgrade::time::Timestamp;

/// The shared state that every callback of an event loop receives.
pub trait EventLoopOwner: Sized + 'static {
    /// The event loop, for registering sockets and timers.
    fn handle(&self) -> LoopHandle<'static, Self>;
    /// The current time of the process clock.
    fn now(&self) -> Timestamp;
}
