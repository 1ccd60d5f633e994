//! Discovery's stand-in: a list with versions over HTTP, watches that wait, and everything that can go wrong with it.

use crate::recorder::Recorder;
use crate::server::Server;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// A line, and the version that it last changed at.
type Lines = BTreeMap<String, (String, u64)>;

pub struct Discovery {
    pub address: SocketAddr,
    recorder: Recorder,
    lines: Mutex<(u64, Lines)>,
    /// The version, and whether it is there at all.
    at: watch::Sender<(u64, bool)>,
}

impl Discovery {
    pub async fn begin(recorder: Recorder) -> Arc<Self> {
        let listener = TcpListener::bind(crate::own_address()).await.expect("an address on loopback");
        let address = listener.local_addr().expect("the address");
        let discovery = Arc::new(Discovery {
            address,
            recorder,
            lines: Mutex::new((0, BTreeMap::new())),
            at: watch::Sender::new((0, true)),
        });
        tokio::spawn(discovery.clone().listen(listener));
        discovery
    }

    fn lines(&self) -> std::sync::MutexGuard<'_, (u64, Lines)> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Says this of these servers, under one new version.
    pub fn says(&self, servers: &[&Server], health: &str) {
        let version = {
            let mut lines = self.lines();
            lines.0 += 1;
            let version = lines.0;
            for server in servers {
                lines.1.insert(server.name.clone(), (entry(server, health), version));
            }
            version
        };
        self.at.send_modify(|at| at.0 = version);
    }

    /// It goes, and its watches with it.
    pub fn goes(&self) {
        self.at.send_modify(|at| at.1 = false);
    }

    pub fn is_back(&self) {
        self.at.send_modify(|at| at.1 = true);
    }

    /// It has lost its memory, and counts from this version on, with these servers as just told.
    pub fn counts_anew(&self, from: u64, servers: &[&Server], health: &str) {
        {
            let mut lines = self.lines();
            *lines = (from - 1, BTreeMap::new());
        }
        self.says(servers, health);
    }

    /// What it has now, to be told again later as it was.
    pub fn keep(&self) -> (u64, BTreeMap<String, (String, u64)>) {
        self.lines().clone()
    }

    /// It tells an old list again.
    pub fn restore(&self, kept: (u64, BTreeMap<String, (String, u64)>)) {
        let version = kept.0;
        *self.lines() = kept;
        self.at.send_modify(|at| at.0 = version);
    }

    async fn listen(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut at = self.at.subscribe();
        if !at.borrow_and_update().1 {
            return crate::server::reset(stream);
        }
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read);
        let mut first = true;
        loop {
            let mut path = String::new();
            if lines.read_line(&mut path).await.unwrap_or(0) == 0 {
                return;
            }
            let mut header = String::new();
            while lines.read_line(&mut header).await.unwrap_or(0) > 2 {
                header.clear();
            }
            self.recorder.observations().calls.push((self.recorder.now(), std::mem::take(&mut first)));
            let number = |name: &str| {
                let rest = path.split(name).nth(1)?;
                rest.split(['&', ' ']).next()?.parse::<f64>().ok().map(|value| value as u64)
            };
            let index = number("index=");
            if let (Some(index), Some(wait)) = (index, number("wait=")) {
                let news = at.wait_for(|at| at.0 > index || !at.1);
                let _ = timeout(Duration::from_millis(wait), news).await;
            }
            if !at.borrow_and_update().1 {
                return;
            }
            let body = self.answer(index);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if write.write_all((head + &body).as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn answer(&self, index: Option<u64>) -> String {
        let lines = self.lines();
        let newer = lines.1.values().filter(|line| index.is_none_or(|index| line.1 > index));
        // A whole list leaves out what is gone.
        let told = newer.filter(|line| index.is_some() || !line.0.contains("terminated"));
        let hosts: Vec<&str> = told.map(|line| line.0.as_str()).collect();
        format!(r#"{{"seq":{},"whole":{},"hosts":[{}]}}"#, lines.0, index.is_none(), hosts.join(","))
    }
}

fn entry(server: &Server, health: &str) -> String {
    let (name, dial, born, site) = (&server.name, server.address, server.born_ms(), server.site());
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"{site}","class":"m2","block":0,"health":"{health}","born_ms":{born}}}"#
    )
}
