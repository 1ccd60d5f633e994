//! `SIGHUP`: the start-up file, the fleet file, namespaces and the schedule are read again.

use crate::lifecycle::startup::Start;
use crate::proxy::Proxy;
use std::time::Duration;

/// What a new discovery has counts as told so long after the signal.
const COUNTS_AFTER: Duration = Duration::from_millis(4000);

impl Proxy {
    pub fn reload_requested(&mut self) {
        self.reload_requested.get_or_insert(self.now());
        self.reload_if_requested();
    }

    /// Called with each tick too: reads the start-up file again and follows its `discovery`; all else in it counts at the
    /// next start. Guards against a bad file, which leaves everything as it was, and against one that cannot be read
    /// for a moment, which is read with a later tick.
    pub fn reload_if_requested(&mut self) {
        let Some(told) = self.reload_requested else { return };
        let start = match Start::from_environment() {
            Ok(start) => start,
            Err(error) if error.is_transient() => return log::debug!("read again later: {error}"),
            Err(error) => {
                self.reload_requested = None;
                return log::error!("not read again, nothing changes: {error}");
            }
        };
        let peers = self.peers.clone();
        match peers.map_or(Ok(()), |peers| peers.read_again(&self.name)) {
            Ok(()) => {}
            Err(error) if error.is_transient() => return log::debug!("read again later: {error}"),
            Err(error) => log::error!("fleet file not read again, nothing changes: {error}"),
        }
        self.reload_requested = None;
        self.read_namespaces();
        let moves = self.discovery.clone().switch_to(start.discovery, self);
        log::info!("read again: discovery {}{}", start.discovery, if moves { "" } else { ", as before" });
        if moves {
            self.balancer.on_watch_lost(told + COUNTS_AFTER, &mut self.executor);
            self.run_deferred_actions();
        }
    }
}
