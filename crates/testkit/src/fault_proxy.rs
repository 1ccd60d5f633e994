//! A UDP relay between the processes that delays, loses, duplicates, reorders and blocks datagrams. Each ordered pair
//! of processes has its own socket, so that every process knows every other one by an address.

use nanorand::{Rng, WyRand};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

#[derive(Clone, Copy, Debug)]
pub struct LinkConditions {
    pub delay_ms: (u64, u64),
    /// Percentages of datagrams that are lost and duplicated.
    pub lost_percent: u32,
    pub duplicated_percent: u32,
}

pub const GOOD_LINK: LinkConditions =
    LinkConditions { delay_ms: (0, 1), lost_percent: 0, duplicated_percent: 0 };
pub const POOR_LINK: LinkConditions =
    LinkConditions { delay_ms: (0, 80), lost_percent: 33, duplicated_percent: 20 };

struct State {
    link: LinkConditions,
    /// Pairs of processes; datagrams from the first to the second are dropped.
    blocked: BTreeSet<(usize, usize)>,
    rng: WyRand,
}

pub struct FaultProxy {
    /// Where the processes themselves listen.
    pub process_addresses: Vec<SocketAddr>,
    /// By sender and receiver: the address at which the sender reaches the receiver.
    relay_addresses: Vec<Vec<SocketAddr>>,
    state: Arc<Mutex<State>>,
}

impl FaultProxy {
    pub async fn start(size: usize, seed: u64) -> Self {
        // Processes bind these addresses themselves. Binding each one here first finds free ones.
        let mut reserved = Vec::new();
        for _ in 0..size {
            reserved
                .push(UdpSocket::bind(crate::loopback_address()).await.expect("loopback address is bound"));
        }
        let process_addresses: Vec<_> =
            reserved.iter().map(|socket| socket.local_addr().expect("local address is available")).collect();
        let mut sockets: Vec<Vec<Arc<UdpSocket>>> = Vec::new();
        for _ in 0..size {
            let mut row = Vec::new();
            for _ in 0..size {
                row.push(Arc::new(
                    UdpSocket::bind(crate::loopback_address()).await.expect("loopback address is bound"),
                ));
            }
            sockets.push(row);
        }
        drop(reserved);
        let state = State { link: GOOD_LINK, blocked: BTreeSet::new(), rng: WyRand::new_seed(seed) };
        let state = Arc::new(Mutex::new(state));
        for (from, row) in sockets.iter().enumerate() {
            for (to, socket) in row.iter().enumerate().filter(|(to, _)| *to != from) {
                // The receiver knows the sender by the socket of the opposite direction.
                let reverse_socket = sockets[to][from].clone();
                tokio::spawn(relay(
                    (from, to),
                    socket.clone(),
                    reverse_socket,
                    process_addresses[to],
                    state.clone(),
                ));
            }
        }
        let row_addresses = |row: &Vec<Arc<UdpSocket>>| {
            row.iter().map(|s| s.local_addr().expect("local address is available")).collect()
        };
        FaultProxy { process_addresses, relay_addresses: sockets.iter().map(row_addresses).collect(), state }
    }

    /// The addresses of all processes, as one of them sees them.
    pub fn addresses(&self, process: usize) -> Vec<SocketAddr> {
        let mut addresses = self.relay_addresses[process].clone();
        addresses[process] = self.process_addresses[process];
        addresses
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set_conditions(&self, link: LinkConditions) {
        self.state().link = link;
    }

    /// Drops all datagrams from the first to the second process of each pair.
    pub fn block(&self, pairs: impl Iterator<Item = (usize, usize)>) {
        self.state().blocked.extend(pairs);
    }

    /// Partitions the processes in two: those for which `first` holds, and the others.
    pub fn partition(&self, first: impl Fn(usize) -> bool) {
        let size = self.process_addresses.len();
        let pairs = (0..size).flat_map(|from| (0..size).map(move |to| (from, to)));
        self.block(pairs.filter(|(from, to)| first(*from) != first(*to)));
    }

    /// Removes all faults.
    pub fn heal(&self) {
        let mut state = self.state();
        state.blocked.clear();
        state.link = GOOD_LINK;
    }
}

/// Relays the datagrams of one sender to one receiver.
async fn relay(
    pair: (usize, usize),
    socket: Arc<UdpSocket>,
    reverse_socket: Arc<UdpSocket>,
    to: SocketAddr,
    state: Arc<Mutex<State>>,
) {
    let mut datagram = [0; 2048];
    loop {
        // An error reports that the process sent to earlier is down.
        let Ok((length, _)) = socket.recv_from(&mut datagram).await else { continue };
        let delays: Vec<u64> = {
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            let link = state.link;
            let copies = match state.rng.generate_range(0..100u32) {
                _ if state.blocked.contains(&pair) => 0,
                draw if draw < link.lost_percent => 0,
                draw if draw < link.lost_percent + link.duplicated_percent => 2,
                _ => 1,
            };
            (0..copies).map(|_| state.rng.generate_range(link.delay_ms.0..=link.delay_ms.1)).collect()
        };
        for delay in delays {
            let (bytes, reverse_socket) = (datagram[..length].to_vec(), reverse_socket.clone());
            if delay == 0 {
                let _ = reverse_socket.send_to(&bytes, to).await;
            } else {
                tokio::spawn(async move {
                    sleep(Duration::from_millis(delay)).await;
                    let _ = reverse_socket.send_to(&bytes, to).await;
                });
            }
        }
    }
}
