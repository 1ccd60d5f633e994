//! Reload at `SIGHUP`: the start-up file, the fleet file, namespaces and maintenance windows are read again.

use crate::lifecycle::startup::Start;
use crate::proxy::Proxy;
use std::time::Duration;

/// The list of a new discovery has to be applied this long after the signal.
const REFRESH_WITHIN: Duration = Duration::from_millis(4000);

impl Proxy {
    /// Requests a reload, and tries it at once.
    pub fn request_reload(&mut self) {
        self.reload_requested_at.get_or_insert(self.now());
        self.reload_if_requested();
    }

    /// Called with each tick too: a file that cannot be read for a moment is read with a later one. A file that cannot be
    /// used leaves everything as it was. Of the start-up file only `discovery` is applied; the rest counts at the next
    /// start.
    pub fn reload_if_requested(&mut self) {
        let Some(requested_at) = self.reload_requested_at else { return };
        let start = match Start::from_environment() {
            Ok(start) => start,
            Err(error) if error.is_transient() => return log::debug!("reload retried later: {error}"),
            Err(error) => {
                self.reload_requested_at = None;
                return log::error!("reload failed, nothing changes: {error}");
            }
        };
        let peers = self.peers.clone();
        match peers.map_or(Ok(()), |peers| peers.reload_file(&self.name)) {
            Ok(()) => {}
            Err(error) if error.is_transient() => return log::debug!("reload retried later: {error}"),
            Err(error) => log::error!("reload of the fleet file failed, nothing changes: {error}"),
        }
        self.reload_requested_at = None;
        self.reload_tenant_files();
        let is_new = self.discovery.clone().switch_to(start.discovery, self);
        log::info!("reloaded: discovery {}{}", start.discovery, if is_new { "" } else { ", as before" });
        if is_new {
            self.balancer.on_watch_lost(requested_at + REFRESH_WITHIN, &mut self.executor);
            self.run_deferred_actions();
        }
    }
}
