//! The way between the processes: for each pair a socket of its own, so that everybody knows everybody by an address, and
//! a relay in the middle that delays, loses, doubles, reorders and cuts as it is told.

use nanorand::{Rng, WyRand};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

#[derive(Clone, Copy, Debug)]
pub struct Link {
    pub delay_ms: (u64, u64),
    /// Of a hundred.
    pub lost: u32,
    pub doubled: u32,
}

pub const CALM: Link = Link { delay_ms: (0, 1), lost: 0, doubled: 0 };
pub const ROUGH: Link = Link { delay_ms: (0, 80), lost: 33, doubled: 20 };

struct State {
    link: Link,
    cut: BTreeSet<(usize, usize)>,
    rng: WyRand,
}

pub struct FaultProxy {
    /// Where the processes themselves listen.
    pub own: Vec<SocketAddr>,
    /// By who sends and to whom: where the first one finds the second.
    found_at: Vec<Vec<SocketAddr>>,
    state: Arc<Mutex<State>>,
}

impl FaultProxy {
    pub async fn begin(size: usize, seed: u64) -> Self {
        // Processes bind their own addresses: found by asking the system for free ones.
        let mut kept = Vec::new();
        for _ in 0..size {
            kept.push(UdpSocket::bind(crate::own_address()).await.expect("an address on loopback"));
        }
        let own: Vec<_> = kept.iter().map(|socket| socket.local_addr().expect("the address")).collect();
        let mut sockets: Vec<Vec<Arc<UdpSocket>>> = Vec::new();
        for _ in 0..size {
            let mut row = Vec::new();
            for _ in 0..size {
                row.push(Arc::new(
                    UdpSocket::bind(crate::own_address()).await.expect("an address on loopback"),
                ));
            }
            sockets.push(row);
        }
        drop(kept);
        let state = State { link: CALM, cut: BTreeSet::new(), rng: WyRand::new_seed(seed) };
        let state = Arc::new(Mutex::new(state));
        for (from, row) in sockets.iter().enumerate() {
            for (to, socket) in row.iter().enumerate().filter(|(to, _)| *to != from) {
                // The second one knows the first by the socket of the other way.
                let back = sockets[to][from].clone();
                tokio::spawn(carry((from, to), socket.clone(), back, own[to], state.clone()));
            }
        }
        let found =
            |row: &Vec<Arc<UdpSocket>>| row.iter().map(|s| s.local_addr().expect("the address")).collect();
        FaultProxy { own, found_at: sockets.iter().map(found).collect(), state }
    }

    /// The addresses of all as one of them has them.
    pub fn addresses(&self, of: usize) -> Vec<SocketAddr> {
        let mut all = self.found_at[of].clone();
        all[of] = self.own[of];
        all
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn becomes(&self, link: Link) {
        self.state().link = link;
    }

    /// Nothing passes from the first to the second of these.
    pub fn cuts(&self, pairs: impl Iterator<Item = (usize, usize)>) {
        self.state().cut.extend(pairs);
    }

    pub fn halves(&self, first: impl Fn(usize) -> bool) {
        let size = self.own.len();
        let pairs = (0..size).flat_map(|from| (0..size).map(move |to| (from, to)));
        self.cuts(pairs.filter(|(from, to)| first(*from) != first(*to)));
    }

    pub fn heals(&self) {
        let mut state = self.state();
        state.cut.clear();
        state.link = CALM;
    }
}

async fn carry(
    pair: (usize, usize),
    socket: Arc<UdpSocket>,
    back: Arc<UdpSocket>,
    to: SocketAddr,
    state: Arc<Mutex<State>>,
) {
    let mut datagram = [0; 2048];
    loop {
        // Its peer may be down, which comes back as an error.
        let Ok((length, _)) = socket.recv_from(&mut datagram).await else { continue };
        let delays: Vec<u64> = {
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            let link = state.link;
            let times = match state.rng.generate_range(0..100u32) {
                _ if state.cut.contains(&pair) => 0,
                draw if draw < link.lost => 0,
                draw if draw < link.lost + link.doubled => 2,
                _ => 1,
            };
            (0..times).map(|_| state.rng.generate_range(link.delay_ms.0..=link.delay_ms.1)).collect()
        };
        for delay in delays {
            let (bytes, back) = (datagram[..length].to_vec(), back.clone());
            if delay == 0 {
                let _ = back.send_to(&bytes, to).await;
            } else {
                tokio::spawn(async move {
                    sleep(Duration::from_millis(delay)).await;
                    let _ = back.send_to(&bytes, to).await;
                });
            }
        }
    }
}
