//! Access to the event loop for the code that runs on it.

use calloop::timer::{TimeoutAction, Timer};
use calloop::LoopHandle;
use shelfgrade::time::Timestamp;
use std::cell::Cell;
use std::rc::Rc;

/// The shared state that every callback of an event loop receives.
pub trait EventLoopOwner: Sized + 'static {
    /// The event loop, for registering sockets and timers.
    fn handle(&self) -> LoopHandle<'static, Self>;
    /// The current time of the process clock.
    fn now(&self) -> Timestamp;
}

/// A call that follows the other events that are ready. At most one is pending, so that a connection that always has
/// more to read is served no more often in a turn of the event loop the longer that lasts.
#[derive(Default)]
pub struct DeferredCall {
    is_pending: Rc<Cell<bool>>,
}

impl DeferredCall {
    /// Whether the call has been scheduled and not made yet.
    pub fn is_pending(&self) -> bool {
        self.is_pending.get()
    }

    /// Schedules the call, unless it is pending. Returns whether it is pending now.
    pub fn schedule<T>(&self, handle: &LoopHandle<'static, T>, callback: impl Fn(&mut T) + 'static) -> bool {
        if self.is_pending.replace(true) {
            return true;
        }
        let is_pending = self.is_pending.clone();
        let timer = handle.insert_source(Timer::immediate(), move |_, _, owner| {
            is_pending.set(false);
            callback(owner);
            TimeoutAction::Drop
        });
        self.is_pending.set(timer.is_ok());
        timer.is_ok()
    }
}
