//! What every driver needs of whom it serves: the loop that calls it, and the clock.

use calloop::LoopHandle;
use shelfgrade::time::Timestamp;

pub trait EventLoopOwner: Sized + 'static {
    fn handle(&self) -> LoopHandle<'static, Self>;
    fn now(&self) -> Timestamp;
}
