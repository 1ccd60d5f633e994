//! A stand-in for discovery: a versioned endpoint list over HTTP with long-polling watches, and its faults.

use crate::recorder::Recorder;
use crate::relays::Relays;
use crate::server::Server;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// The entry of each server as JSON, and the version at which it last changed.
type Entries = BTreeMap<String, (String, u64)>;

pub struct Discovery {
    pub address: SocketAddr,
    recorder: Recorder,
    /// The list version and the entries.
    entries: Mutex<(u64, Entries)>,
    /// The list version, and whether discovery is up.
    status: watch::Sender<(u64, bool)>,
}

impl Discovery {
    pub async fn start(recorder: Recorder) -> Arc<Self> {
        let listener = TcpListener::bind(crate::loopback_address()).await.expect("loopback address is bound");
        let address = listener.local_addr().expect("local address is available");
        let discovery = Arc::new(Discovery {
            address,
            recorder,
            entries: Mutex::new((0, BTreeMap::new())),
            status: watch::Sender::new((0, true)),
        });
        tokio::spawn(discovery.clone().listen(listener, None));
        discovery
    }

    fn entries(&self) -> std::sync::MutexGuard<'_, (u64, Entries)> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes `health` as the state of these servers, under one new version.
    pub fn publish(&self, servers: &[&Server], health: &str) {
        let version = {
            let mut entries = self.entries();
            entries.0 += 1;
            let version = entries.0;
            for server in servers {
                entries.1.insert(server.name.clone(), (entry(server, health), version));
            }
            version
        };
        self.status.send_modify(|status| status.0 = version);
    }

    /// Takes discovery down; pending watches end.
    pub fn take_down(&self) {
        self.status.send_modify(|status| status.1 = false);
    }

    pub fn bring_up(&self) {
        self.status.send_modify(|status| status.1 = true);
    }

    /// Discards the list and starts again at version `from`, with these servers.
    pub fn reset_to(&self, from: u64, servers: &[&Server], health: &str) {
        {
            let mut entries = self.entries();
            *entries = (from - 1, BTreeMap::new());
        }
        self.publish(servers, health);
    }

    /// The present list, for [`Self::restore`].
    pub fn snapshot(&self) -> (u64, BTreeMap<String, (String, u64)>) {
        self.entries().clone()
    }

    /// Replaces the list by an older one, version included.
    pub fn restore(&self, snapshot: (u64, BTreeMap<String, (String, u64)>)) {
        let version = snapshot.0;
        *self.entries() = snapshot;
        self.status.send_modify(|status| status.0 = version);
    }

    /// Serves the same list at another address, for processes that reach the servers through these relays.
    pub async fn serve_behind(self: &Arc<Self>, relays: Arc<Relays>) -> SocketAddr {
        let listener = TcpListener::bind(crate::loopback_address()).await.expect("loopback address is bound");
        let address = listener.local_addr().expect("local address is available");
        tokio::spawn(self.clone().listen(listener, Some(relays)));
        address
    }

    async fn listen(self: Arc<Self>, listener: TcpListener, relays: Option<Arc<Relays>>) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().serve(stream, relays.clone()));
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, relays: Option<Arc<Relays>>) {
        let mut status = self.status.subscribe();
        if !status.borrow_and_update().1 {
            return crate::server::reset_on_close(stream);
        }
        let (read, mut write) = stream.into_split();
        let mut reader = BufReader::new(read);
        let mut first = true;
        loop {
            let mut request_line = String::new();
            if reader.read_line(&mut request_line).await.unwrap_or(0) == 0 {
                return;
            }
            let mut header = String::new();
            while reader.read_line(&mut header).await.unwrap_or(0) > 2 {
                header.clear();
            }
            self.recorder
                .observations()
                .discovery_calls
                .push((self.recorder.now(), std::mem::take(&mut first)));
            let parameter = |name: &str| {
                let rest = request_line.split(name).nth(1)?;
                rest.split(['&', ' ']).next()?.parse::<f64>().ok().map(|value| value as u64)
            };
            let index = parameter("index=");
            if let (Some(index), Some(wait)) = (index, parameter("wait=")) {
                let changed = status.wait_for(|status| status.0 > index || !status.1);
                let _ = timeout(Duration::from_millis(wait), changed).await;
            }
            if !status.borrow_and_update().1 {
                return;
            }
            let body = self.answer(index);
            let body = relays.as_ref().map_or(body.clone(), |relays| relays.replace_addresses(&body));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if write.write_all((head + &body).as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn answer(&self, index: Option<u64>) -> String {
        let entries = self.entries();
        let newer = entries.1.values().filter(|entry| index.is_none_or(|index| entry.1 > index));
        // A full list omits servers that have terminated.
        let listed = newer.filter(|entry| index.is_some() || !entry.0.contains("terminated"));
        let hosts: Vec<&str> = listed.map(|entry| entry.0.as_str()).collect();
        format!(r#"{{"seq":{},"whole":{},"hosts":[{}]}}"#, entries.0, index.is_none(), hosts.join(","))
    }
}

fn entry(server: &Server, health: &str) -> String {
    let (name, address, started, zone) = (&server.name, server.address, server.started_ms(), server.zone());
    format!(
        r#"{{"host":"{name}","dial":"{address}","site":"{zone}","class":"m2","block":0,"health":"{health}","born_ms":{started}}}"#
    )
}
