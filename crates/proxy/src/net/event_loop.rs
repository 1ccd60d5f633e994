//! Access to the event loop for the code that runs on it.

use calloop::timer::{TimeoutAction, Timer};
use calloop::LoopHandle;
use shelfgrade::time::Timestamp;

/// The shared state that every callback of an event loop receives.
pub trait EventLoopOwner: Sized + 'static {
    /// The event loop, for registering sockets and timers.
    fn handle(&self) -> LoopHandle<'static, Self>;
    /// The current time of the process clock.
    fn now(&self) -> Timestamp;
}

/// Calls `callback` once, after the other events that are ready. Returns whether that could be scheduled.
pub fn call_after_other_events<T>(
    handle: &LoopHandle<'static, T>,
    callback: impl Fn(&mut T) + 'static,
) -> bool {
    let timer = handle.insert_source(Timer::immediate(), move |_, _, owner| {
        callback(owner);
        TimeoutAction::Drop
    });
    timer.is_ok()
}
