//! Reloads the start-up file, the fleet file, the namespaces and the maintenance windows on `SIGHUP`.

use crate::lifecycle::startup::StartupConfig;
use crate::proxy::Proxy;
use std::time::Duration;

/// Time after the signal within which the list of a new discovery service must be applied.
const REFRESH_WITHIN: Duration = Duration::from_millis(4000);

impl Proxy {
    /// Requests a reload and attempts it immediately.
    pub fn request_reload(&mut self) {
        self.reload_requested_at.get_or_insert(self.now());
        self.reload_if_requested();
    }

    /// Attempts a pending reload. Also called on each tick, so that a reload is retried after transient read errors. An
    /// invalid start-up file changes nothing, and an invalid fleet file leaves the previous one in use. Only
    /// `discovery` of the start-up file is applied; its other values take effect when the process is started again.
    pub fn reload_if_requested(&mut self) {
        let Some(requested_at) = self.reload_requested_at else { return };
        let config = match StartupConfig::from_environment() {
            Ok(config) => config,
            Err(error) if error.is_transient() => return log::debug!("reload will be retried: {error}"),
            Err(error) => {
                self.reload_requested_at = None;
                return log::error!("reload failed, nothing changes: {error}");
            }
        };
        let peers = self.peers.clone();
        match peers.map_or(Ok(()), |peers| peers.reload_file(&self.name)) {
            Ok(()) => {}
            Err(error) if error.is_transient() => return log::debug!("reload will be retried: {error}"),
            Err(error) => {
                log::error!("reload of the fleet file failed, the previous one stays in use: {error}")
            }
        }
        self.reload_requested_at = None;
        self.reload_tenant_files();
        let is_new = self.discovery.clone().switch_to(config.discovery_address, self);
        log::info!(
            "reloaded: discovery {}{}",
            config.discovery_address,
            if is_new { "" } else { ", as before" }
        );
        if is_new {
            self.balancer.on_watch_lost(requested_at + REFRESH_WITHIN, &mut self.executor);
            self.run_deferred_actions();
        }
    }
}
