//! HollowNode processes on real sockets: each core has a UDP socket of its own on loopback, and all share one thread.

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
pub struct Counts {
    pub datagrams: u64,
    pub bytes: u64,
}

pub struct Sockets {
    pub cores: Vec<HollowNode>,
    sockets: Vec<UdpSocket>,
    /// By the order of the roster.
    pub addresses: Vec<SocketAddr>,
    members: BTreeMap<SocketAddr, usize>,
    ready: rustix::fd::OwnedFd,
    alarms: BTreeSet<(Timestamp, usize)>,
    wakes: Vec<Timestamp>,
    began: (f64, Instant),
    pub sent: Counts,
    /// From the real processes, each by its seat.
    from_real: BTreeMap<usize, Counts>,
    hollow_members: BTreeSet<usize>,
}

impl Sockets {
    /// `all`: every process of the fleet with its address; the last ones are the hollow ones, in the order of their sockets.
    pub fn begin(sockets: Vec<UdpSocket>, all: &[(String, SocketAddr)]) -> Self {
        let by_name: BTreeMap<&str, SocketAddr> =
            all.iter().map(|(name, address)| (name.as_str(), *address)).collect();
        let first = all[all.len() - sockets.len()].0.as_str();
        let roster =
            Roster::new("trial", by_name.keys().map(|name| (*name).to_owned()), first).expect("a roster");
        let began = (unix_ms(), Instant::now());
        let now = Timestamp::from_ms(began.0);
        let ready = epoll::create(epoll::CreateFlags::CLOEXEC).expect("an epoll");
        for (at, socket) in sockets.iter().enumerate() {
            socket.set_nonblocking(true).expect("a socket");
            let data = epoll::EventData::new_u64(at as u64);
            epoll::add(&ready, socket, data, epoll::EventFlags::IN).expect("watched");
        }
        let names = &all[all.len() - sockets.len()..];
        let cores: Vec<_> = names.iter().map(|(name, _)| HollowNode::new(&roster, name, 1, now)).collect();
        let addresses: Vec<_> = by_name.values().copied().collect();
        let members = addresses.iter().enumerate().map(|(member, address)| (*address, member)).collect();
        let mut trial = Sockets {
            hollow_members: cores
                .iter()
                .map(|core| usize::from(core.fleet.local_incarnation().member.0))
                .collect(),
            alarms: BTreeSet::new(),
            wakes: vec![Timestamp::NEVER; cores.len()],
            sent: Counts::default(),
            from_real: BTreeMap::new(),
            cores,
            sockets,
            addresses,
            members,
            ready,
            began,
        };
        (0..trial.cores.len()).for_each(|at| trial.set_alarm(at));
        trial
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_ms(self.began.0 + self.began.1.elapsed().as_secs_f64() * 1000.0)
    }

    fn set_alarm(&mut self, at: usize) {
        let next = self.cores[at].next_wakeup();
        self.alarms.remove(&(std::mem::replace(&mut self.wakes[at], next), at));
        self.alarms.insert((next, at));
    }

    fn act(&mut self, at: usize, act: impl FnOnce(&mut HollowNode, Timestamp, &mut Outbox)) {
        let (now, mut out) = (self.now(), Outbox::new());
        act(&mut self.cores[at], now, &mut out);
        for (to, datagram) in out {
            self.sent.datagrams += 1;
            self.sent.bytes += datagram.len() as u64;
            // One that is lost is made up for by those that follow.
            let _ = self.sockets[at].send_to(&datagram, self.addresses[to]);
        }
        self.set_alarm(at);
    }

    /// Hears what has come and does what is due, for so long.
    pub fn passes(&mut self, time: Duration) {
        let end = Instant::now() + time;
        let mut events = Vec::with_capacity(256);
        let mut datagram = [0; MAX_DATAGRAM_BYTES];
        while let Some(left) = end.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
            while let Some((_, at)) = self.alarms.first().copied().filter(|first| first.0 <= self.now()) {
                self.act(at, |core, now, out| core.on_timer(now, out));
            }
            let due =
                self.alarms.first().map_or(Duration::from_millis(1000), |first| first.0.since(self.now()));
            let wait = left.min(Duration::from_secs_f64(due.as_ms() / 1000.0));
            let wait = Timespec { tv_sec: wait.as_secs() as i64, tv_nsec: i64::from(wait.subsec_nanos()) };
            events.clear();
            let _ = epoll::wait(&self.ready, rustix::buffer::spare_capacity(&mut events), Some(&wait));
            for at in events.iter().map(|event: &epoll::Event| event.data.u64() as usize) {
                let Ok((length, from)) = self.sockets[at].recv_from(&mut datagram) else { continue };
                let Some(member) = self.members.get(&from).copied() else { continue };
                if !self.hollow_members.contains(&member) {
                    let counts = self.from_real.entry(member).or_default();
                    counts.datagrams += 1;
                    counts.bytes += length as u64;
                }
                self.act(at, |core, now, out| core.on_datagram(member, &datagram[..length], now, out));
            }
        }
    }

    /// How long it took until it holds; None where it did not.
    pub fn until(&mut self, most: Duration, holds: impl Fn(&Self) -> bool) -> Option<Duration> {
        let began = Instant::now();
        while !holds(self) {
            if began.elapsed() >= most {
                return None;
            }
            self.passes(Duration::from_millis(100));
        }
        Some(began.elapsed())
    }

    pub fn put(&mut self, number: usize, kind: &str) {
        self.act(0, |core, _, out| {
            for i in 0..number {
                let key = format!("{kind}/{i}");
                let value = (i as u64, "10.1.0.18:8000", 1.5);
                core.act(out, |fleet, environment| fleet.put(&key, &value, environment)).expect("put");
            }
        });
    }

    pub fn mean_alive(&self) -> f64 {
        self.cores.iter().map(|core| core.fleet.alive().len()).sum::<usize>() as f64 / self.cores.len() as f64
    }

    pub fn know(&self, key: &str) -> usize {
        self.cores.iter().filter(|core| core.fleet.version(key).is_some()).count()
    }

    pub fn states(&self) -> usize {
        self.cores.iter().map(|core| core.fleet.state_digest()).collect::<BTreeSet<_>>().len()
    }

    /// What all real processes sent to the hollow ones.
    pub fn heard_from_real(&self) -> Counts {
        self.from_real.values().fold(Counts::default(), |all, one| Counts {
            datagrams: all.datagrams + one.datagrams,
            bytes: all.bytes + one.bytes,
        })
    }
}
