//! Hollow nodes on real sockets: each node has its own UDP socket on loopback, and all of them share one thread.

use crate::hollow_node::HollowNode;
use crate::server::unix_ms;
use crate::simulation::{Core, Outbox};
use rustix::event::{epoll, Timespec};
use shelfgrade::time::{DurationExt, Timestamp};
use shelfgrade_fleet::{Roster, MAX_DATAGRAM_BYTES};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Default)]
pub struct TrafficCounts {
    pub datagrams: u64,
    pub bytes: u64,
}

pub struct SocketFleet {
    pub nodes: Vec<HollowNode>,
    sockets: Vec<UdpSocket>,
    /// In the order of the roster.
    pub addresses: Vec<SocketAddr>,
    members: BTreeMap<SocketAddr, usize>,
    epoll_fd: rustix::fd::OwnedFd,
    timers: BTreeSet<(Timestamp, usize)>,
    /// The next wakeup time of each node; `timers` holds the same times in order.
    wakeups: Vec<Timestamp>,
    /// The wall clock and the monotonic clock at the start.
    started: (f64, Instant),
    pub sent: TrafficCounts,
    /// Traffic received from the real processes, by member.
    from_real: BTreeMap<usize, TrafficCounts>,
    hollow_members: BTreeSet<usize>,
}

impl SocketFleet {
    /// `fleet_members`: every process of the fleet with its address. The last ones are the hollow nodes, in the order
    /// of `sockets`.
    pub fn new(sockets: Vec<UdpSocket>, fleet_members: &[(String, SocketAddr)]) -> Self {
        let by_name: BTreeMap<&str, SocketAddr> =
            fleet_members.iter().map(|(name, address)| (name.as_str(), *address)).collect();
        let first = fleet_members[fleet_members.len() - sockets.len()].0.as_str();
        let roster = Roster::new("trial", by_name.keys().map(|name| (*name).to_owned()), first)
            .expect("roster is valid");
        let started = (unix_ms(), Instant::now());
        let now = Timestamp::from_ms(started.0);
        let epoll_fd = epoll::create(epoll::CreateFlags::CLOEXEC).expect("epoll instance is created");
        for (index, socket) in sockets.iter().enumerate() {
            socket.set_nonblocking(true).expect("socket is set to non-blocking");
            let data = epoll::EventData::new_u64(index as u64);
            epoll::add(&epoll_fd, socket, data, epoll::EventFlags::IN).expect("socket is added to epoll");
        }
        let names = &fleet_members[fleet_members.len() - sockets.len()..];
        let nodes: Vec<_> = names.iter().map(|(name, _)| HollowNode::new(&roster, name, 1, now)).collect();
        let addresses: Vec<_> = by_name.values().copied().collect();
        let members = addresses.iter().enumerate().map(|(member, address)| (*address, member)).collect();
        let mut fleet = SocketFleet {
            hollow_members: nodes
                .iter()
                .map(|node| usize::from(node.fleet.local_incarnation().member.0))
                .collect(),
            timers: BTreeSet::new(),
            wakeups: vec![Timestamp::NEVER; nodes.len()],
            sent: TrafficCounts::default(),
            from_real: BTreeMap::new(),
            nodes,
            sockets,
            addresses,
            members,
            epoll_fd,
            started,
        };
        (0..fleet.nodes.len()).for_each(|index| fleet.reschedule(index));
        fleet
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_ms(self.started.0 + self.started.1.elapsed().as_secs_f64() * 1000.0)
    }

    fn reschedule(&mut self, index: usize) {
        let next = self.nodes[index].next_wakeup();
        self.timers.remove(&(std::mem::replace(&mut self.wakeups[index], next), index));
        self.timers.insert((next, index));
    }

    fn with_node(&mut self, index: usize, operation: impl FnOnce(&mut HollowNode, Timestamp, &mut Outbox)) {
        let (now, mut out) = (self.now(), Outbox::new());
        operation(&mut self.nodes[index], now, &mut out);
        for (to, datagram) in out {
            self.sent.datagrams += 1;
            self.sent.bytes += datagram.len() as u64;
            // A lost datagram is made up for by later ones.
            let _ = self.sockets[index].send_to(&datagram, self.addresses[to]);
        }
        self.reschedule(index);
    }

    /// Receives datagrams and runs timers for this long.
    pub fn run_for(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        let mut events = Vec::with_capacity(256);
        let mut datagram = [0; MAX_DATAGRAM_BYTES];
        while let Some(left) = end.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
            while let Some((_, index)) = self.timers.first().copied().filter(|first| first.0 <= self.now()) {
                self.with_node(index, |node, now, out| node.on_timer(now, out));
            }
            let due =
                self.timers.first().map_or(Duration::from_millis(1000), |first| first.0.since(self.now()));
            let wait = left.min(Duration::from_secs_f64(due.as_ms() / 1000.0));
            let wait = Timespec { tv_sec: wait.as_secs() as i64, tv_nsec: i64::from(wait.subsec_nanos()) };
            events.clear();
            let _ = epoll::wait(&self.epoll_fd, rustix::buffer::spare_capacity(&mut events), Some(&wait));
            for index in events.iter().map(|event: &epoll::Event| event.data.u64() as usize) {
                let Ok((length, from)) = self.sockets[index].recv_from(&mut datagram) else { continue };
                let Some(member) = self.members.get(&from).copied() else { continue };
                if !self.hollow_members.contains(&member) {
                    let counts = self.from_real.entry(member).or_default();
                    counts.datagrams += 1;
                    counts.bytes += length as u64;
                }
                self.with_node(index, |node, now, out| {
                    node.on_datagram(member, &datagram[..length], now, out)
                });
            }
        }
    }

    /// Runs until `holds` is true and returns how long that took; `None` if it was not within `limit`.
    pub fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> Option<Duration> {
        let began = Instant::now();
        while !holds(self) {
            if began.elapsed() >= limit {
                return None;
            }
            self.run_for(Duration::from_millis(100));
        }
        Some(began.elapsed())
    }

    pub fn put_entries(&mut self, count: usize, prefix: &str) {
        self.with_node(0, |node, _, out| {
            for i in 0..count {
                let key = format!("{prefix}/{i}");
                let value = (i as u64, "10.1.0.18:8000", 1.5);
                node.with_fleet(out, |fleet, environment| fleet.put(&key, &value, environment))
                    .expect("entry is accepted");
            }
        });
    }

    pub fn mean_alive_members(&self) -> f64 {
        self.nodes.iter().map(|node| node.fleet.alive().len()).sum::<usize>() as f64 / self.nodes.len() as f64
    }

    pub fn count_with_entry(&self, key: &str) -> usize {
        self.nodes.iter().filter(|node| node.fleet.version(key).is_some()).count()
    }

    pub fn distinct_states(&self) -> usize {
        self.nodes.iter().map(|node| node.fleet.state_digest()).collect::<BTreeSet<_>>().len()
    }

    /// Traffic from all real processes to the hollow nodes.
    pub fn received_from_real(&self) -> TrafficCounts {
        self.from_real.values().fold(TrafficCounts::default(), |sum, counts| TrafficCounts {
            datagrams: sum.datagrams + counts.datagrams,
            bytes: sum.bytes + counts.bytes,
        })
    }
}
