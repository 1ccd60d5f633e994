//! The proxy as a member of its fleet: joins it, passes on lists from discovery, and loads the shared files.

use crate::discovery::endpoint_list::EndpointList;
use crate::fleet::fleet_file::{FleetError, FleetFile};
use crate::fleet::peer_events::PeerEvents;
use crate::fleet::peers::Peers;
use crate::fleet::server_records::server_records;
use crate::proxy::Proxy;
use crate::tenants::tenant_namespaces::TenantNamespaces;
use shelfgrade_recovery::{EndpointAddress, RecoverySettings};

impl Proxy {
    /// Joins the fleet that the fleet file describes. `known` is the endpoint list of the start-up file.
    pub fn join_fleet(
        &mut self,
        file: FleetFile,
        settings: RecoverySettings,
        known: &EndpointList,
        seed: u64,
    ) -> Result<(), FleetError> {
        let known = known
            .endpoints()
            .into_iter()
            .zip(known.addresses())
            .map(|(endpoint, address)| EndpointAddress { endpoint, address });
        let peers = Peers::join(file, settings, known.collect(), seed, self)?;
        self.namespaces = TenantNamespaces::new(peers.member());
        self.peers = Some(peers.clone());
        // Entries restored from the snapshot are not reported as changed, so they are processed here.
        for key in peers.keys("") {
            PeerEvents::shared_entry_changed(self, &key);
        }
        self.reload_tenant_files();
        Ok(())
    }

    /// In a fleet, passes a list from discovery to the recovery state machine, which decides what to apply. Returns
    /// whether to continue watching discovery; none if this process is not in a fleet.
    pub fn submit_list_to_fleet(&mut self, list: &EndpointList) -> Option<bool> {
        let peers = self.peers.clone()?;
        let accepted = peers.on_endpoint_list(server_records(list), list.is_complete, list.version, self);
        if accepted {
            self.balancer.on_poll_answered();
        }
        Some(accepted && peers.is_polling())
    }

    /// Whether this process polls discovery itself.
    pub fn polls_discovery(&self) -> bool {
        self.peers.as_ref().is_none_or(|peers| peers.is_polling())
    }

    /// Reads the namespace and maintenance files that the fleet file names, and replicates newer versions.
    pub fn reload_tenant_files(&mut self) {
        let Some(peers) = self.peers.clone() else { return };
        if let Some(directory) = peers.namespaces_dir() {
            self.namespaces.load(&directory, &*peers);
        }
        if let Some(path) = peers.maintenance_file() {
            self.maintenance_windows.load(&path, peers.fleet_time_ms(self.now()), &*peers);
        }
        peers.deliver_notifications(self);
    }
}
