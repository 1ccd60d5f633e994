//! What the parts of this folder ask of their owner, answered by the proxy.

use crate::downstream::lingering::{LingeringCloses, LingeringOwner};
use crate::proxy::Proxy;

impl LingeringOwner for Proxy {
    fn lingering(&mut self) -> &mut LingeringCloses<Self> {
        &mut self.executor.lingering
    }
}
