//! TCP relays to the servers: the addresses at which the processes of one data centre reach them.

use crate::server::Server;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// One relay for each server.
pub struct Relays {
    /// The address of each relay, by that of its server.
    addresses: BTreeMap<SocketAddr, SocketAddr>,
    accepted: Arc<AtomicUsize>,
    listeners: std::sync::Mutex<JoinSet<()>>,
}

impl Relays {
    pub async fn start(servers: &[Arc<Server>]) -> Arc<Self> {
        let (mut addresses, mut listeners) = (BTreeMap::new(), JoinSet::new());
        let accepted = Arc::new(AtomicUsize::new(0));
        for server in servers {
            let listener =
                TcpListener::bind(crate::loopback_address()).await.expect("loopback address is bound");
            addresses.insert(server.address, listener.local_addr().expect("local address is available"));
            listeners.spawn(relay(listener, server.address, accepted.clone()));
        }
        Arc::new(Relays { addresses, accepted, listeners: std::sync::Mutex::new(listeners) })
    }

    /// Replaces the addresses of the servers in an endpoint list by those of their relays.
    pub fn replace_addresses(&self, list: &str) -> String {
        let quoted = |address: &SocketAddr| format!("\"{address}\"");
        self.addresses
            .iter()
            .fold(list.to_owned(), |list, (server, relay)| list.replace(&quoted(server), &quoted(relay)))
    }

    /// The number of connections that the relays have accepted.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Ends the relays with all their connections; new ones are refused.
    pub fn cut(&self) {
        self.listeners.lock().unwrap_or_else(std::sync::PoisonError::into_inner).abort_all();
    }
}

/// Accepts connections and relays them. All end with this task.
async fn relay(listener: TcpListener, server: SocketAddr, accepted: Arc<AtomicUsize>) {
    let mut connections = JoinSet::new();
    while let Ok((mut client, _)) = listener.accept().await {
        accepted.fetch_add(1, Ordering::Relaxed);
        connections.spawn(async move {
            if let Ok(mut server) = TcpStream::connect(server).await {
                let _ = copy_bidirectional(&mut client, &mut server).await;
            }
        });
    }
}
