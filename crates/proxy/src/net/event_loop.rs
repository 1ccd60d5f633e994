//! What code that runs on the event loop needs of the loop's data.

use calloop::LoopHandle;
use shelfgrade::time::Timestamp;

/// The data of an event loop, which its callbacks are given.
pub trait EventLoopOwner: Sized + 'static {
    /// The loop, for watching sockets and setting timers.
    fn handle(&self) -> LoopHandle<'static, Self>;
    /// The time on the process's clock.
    fn now(&self) -> Timestamp;
}
