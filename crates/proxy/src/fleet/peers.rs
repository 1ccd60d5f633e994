//! A process among its fellows: the socket between them, the alarms, and the disk, round the core of the return.
//!
//! Whom it serves is told what happens through [`PeerEvents`], and through nothing else.

use crate::fleet::disk::{self, Disk};
use crate::fleet::fleet_file::{FleetError, FleetFile};
use crate::net::event_loop::EventLoopOwner;
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use serde::{de::DeserializeOwned, Serialize};
use shelfgrade::host::AdmissionTurn;
use shelfgrade::time::Timestamp;
use shelfgrade::warm_restart::FlowEntry;
use shelfgrade_fleet::{Entry, Environment, MemberId, PutError, Version};
use shelfgrade_recovery::{
    snapshot, ClockReading, EndpointAddress, Node, RecoveryEnvironment, RecoverySettings, RecoveryState,
    Requester, ServerRecord, HEARTBEAT_PREFIX, LIST_KEY, SERVER_PREFIX,
};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;

/// Who is among fellows.
pub trait PeerEvents: EventLoopOwner {
    fn apply_endpoints(&mut self, lines: Vec<EndpointAddress>, whole: bool);
    fn set_polling(&mut self, watches: bool);
    fn state_changed(&mut self, state: RecoveryState);
    fn restore_flow(&mut self, remembered: &FlowEntry);
    /// Discovery's list was not gone by: all of it is to be asked for again, after a while.
    fn list_rejected(&mut self);
    /// What this process may do of what the fleet may, from 0 to 1.
    fn set_quota_fraction(&mut self, part: f64);
    /// What the decisions remember, for the disk.
    fn flow_entries(&self) -> Vec<FlowEntry>;
    /// Something that others put into what all share is new, or has changed.
    fn shared_entry_changed(&mut self, key: &str);
    fn warn(&self, what: &'static str);
}

pub struct Peers<C: PeerEvents> {
    core: RefCell<Node>,
    file: RefCell<FleetFile>,
    socket: UdpSocket,
    timer: Cell<Option<RegistrationToken>>,
    disk: RefCell<Option<Disk>>,
    /// What was written last, and when.
    saved: Cell<(u64, Timestamp)>,
    /// What is to be told once the core has finished.
    told: RefCell<Vec<Told<C>>>,
}

/// Something to tell once the core, which is telling it, can be called again.
type Told<C> = Box<dyn FnOnce(&mut C)>;

/// The core's way out.
struct Out<'a, C: PeerEvents> {
    peers: &'a Peers<C>,
}

impl<C: PeerEvents> Out<'_, C> {
    fn tell(&self, what: impl FnOnce(&mut C) + 'static) {
        self.peers.told.borrow_mut().push(Box::new(what));
    }

    fn name(&self, member: MemberId) -> String {
        self.peers.file.borrow().roster.name(member).unwrap_or("?").to_owned()
    }
}

impl<C: PeerEvents> Environment for Out<'_, C> {
    fn send(&mut self, to: MemberId, datagram: Vec<u8>) {
        let address = self.peers.file.borrow().addresses.get(usize::from(to.0)).copied();
        // One that is lost is made up for by those that follow.
        let _ = address.map(|address| self.peers.socket.send_to(&datagram, address));
    }
    fn entry_changed(&mut self, entry: &Entry) {
        log::trace!("{} is known at version {:?}", entry.key, entry.version);
        if ![SERVER_PREFIX, HEARTBEAT_PREFIX, LIST_KEY].iter().any(|own| entry.key.starts_with(own)) {
            let key = entry.key.clone();
            self.tell(move |events| events.shared_entry_changed(&key));
        }
    }
    fn member_joined(&mut self, member: MemberId) {
        log::info!("fellow {} is there", self.name(member));
    }
    fn member_left(&mut self, member: MemberId) {
        log::info!("fellow {} is gone", self.name(member));
    }
    fn datagram_rejected(&mut self, why: &'static str) {
        self.tell(move |events| events.warn(why));
    }
}

impl<C: PeerEvents> RecoveryEnvironment for Out<'_, C> {
    fn apply_endpoints(&mut self, lines: Vec<EndpointAddress>, whole: bool) {
        self.tell(move |events| events.apply_endpoints(lines, whole));
    }
    fn set_polling(&mut self, watches: bool) {
        log::info!(
            "{}",
            if watches { "asks discovery, for all" } else { "leaves asking discovery to fellows" }
        );
        self.tell(move |events| events.set_polling(watches));
    }
    fn state_changed(&mut self, state: RecoveryState, why: &str) {
        log::info!("return: {}; {why}", state.name());
        self.tell(move |events| events.state_changed(state));
    }
    fn restore_flow(&mut self, key: u64, server: &str, started_ms: f64) {
        let started = (started_ms > 0.0).then(|| Timestamp::from_ms(started_ms));
        let remembered = FlowEntry { key, server: server.to_owned(), started };
        self.tell(move |events| events.restore_flow(&remembered));
    }
    fn list_rejected(&mut self, why: &str) {
        log::warn!("list not taken: {why}");
        self.tell(|events| events.list_rejected());
    }
}

impl<C: PeerEvents> Peers<C> {
    /// Reads what an earlier life left, and begins to listen; `known` are the servers of the start-up file.
    pub fn begin(
        file: FleetFile,
        settings: RecoverySettings,
        known: Vec<EndpointAddress>,
        seed: u64,
        events: &mut C,
    ) -> Result<Rc<Self>, FleetError> {
        let at = file.addresses[usize::from(file.roster.me().0)];
        let bind = |source| FleetError::Bind { at, source };
        let socket = UdpSocket::bind(at).map_err(bind)?;
        socket.set_nonblocking(true).map_err(bind)?;
        let name = file.roster.name(file.roster.me()).unwrap_or_default();
        let found = file.state_dir.as_deref().map(disk::read).unwrap_or_default();
        let loaded = snapshot::select_newest(&found, file.roster.fleet(), name);
        for rejected in loaded.rejected {
            log::warn!("snapshot {}: {}", rejected.generation, rejected.error);
        }
        let now = events.now();
        let mut core = Node::new(file.roster.clone(), settings, loaded.newest, seed, clock(now));
        core.add_known_endpoints(known.into_iter(), now);
        log::info!(
            "return: {}; one of {} in {}",
            core.state().name(),
            file.roster.size(),
            file.roster.fleet()
        );
        let disk = file.state_dir.as_deref().map(Disk::begin);
        let peers = Rc::new(Peers {
            core: RefCell::new(core),
            file: RefCell::new(file),
            timer: Cell::default(),
            disk: RefCell::new(disk),
            saved: Cell::new((0, now)),
            told: RefCell::default(),
            socket: socket.try_clone().map_err(bind)?,
        });
        let me = peers.clone();
        let source = Generic::new(socket, Interest::READ, Mode::Level);
        let watched = events.handle().insert_source(source, move |_, _, events| {
            me.ready(events);
            Ok(PostAction::Continue)
        });
        watched.map_err(|error| bind(std::io::Error::other(error.error)))?;
        peers.on_timer(events);
        Ok(peers)
    }

    fn ready(self: &Rc<Self>, events: &mut C) {
        // Guards against a storm of datagrams starving the clients.
        const AT_ONCE: usize = 64;
        let mut datagram = [0; shelfgrade_fleet::MAX_DATAGRAM_BYTES];
        for _ in 0..AT_ONCE {
            let Ok((length, from)) = self.socket.recv_from(&mut datagram) else { break };
            if self.knows(from) {
                let now = events.now();
                let mut core = self.core.borrow_mut();
                core.on_datagram(&datagram[..length], clock(now), &mut Out { peers: self });
            } else {
                events.warn("fleet datagrams from unknown addresses");
            }
        }
        self.settle(events);
    }

    fn knows(&self, from: SocketAddr) -> bool {
        self.file.borrow().addresses.contains(&from)
    }

    fn on_timer(self: &Rc<Self>, events: &mut C) {
        let now = events.now();
        self.core.borrow_mut().on_timer(clock(now), &mut Out { peers: self });
        self.save(now, events);
        self.settle(events);
    }

    /// Tells what the core has said, and sets the next alarm.
    fn settle(self: &Rc<Self>, events: &mut C) {
        loop {
            let told = std::mem::take(&mut *self.told.borrow_mut());
            if told.is_empty() {
                break;
            }
            told.into_iter().for_each(|tell| tell(events));
        }
        let now = events.now();
        events.set_quota_fraction(self.core.borrow().quota_fraction(now));
        if let Some(token) = self.timer.take() {
            events.handle().remove(token);
        }
        let timer = Timer::from_duration(self.core.borrow().next_wakeup().since(now));
        let me = self.clone();
        let token = events.handle().insert_source(timer, move |_, _, events| {
            me.timer.take();
            me.on_timer(events);
            TimeoutAction::Drop
        });
        self.timer.set(token.ok());
    }

    /// Writes what is new, as often as the file says.
    fn save(&self, now: Timestamp, events: &C) {
        let (state, at) = self.saved.get();
        let due = now.since(at) >= self.file.borrow().save_every;
        let new = self.core.borrow().fleet().state_digest();
        if let Some(disk) = self.disk.borrow().as_ref().filter(|_| due && new != state) {
            let (number, bytes) = self.bytes(now, events);
            if disk.write(number, bytes) {
                self.saved.set((new, now));
            }
        }
    }

    fn bytes(&self, now: Timestamp, events: &C) -> (u64, Vec<u8>) {
        let held = events.flow_entries().into_iter().map(|held| (held.key, held.server));
        let saved = self.core.borrow_mut().snapshot(held, wall_ms(now));
        (saved.sequence, snapshot::encode(&saved))
    }

    /// Discovery has told a list; whether it was taken.
    pub fn on_endpoint_list(
        self: &Rc<Self>,
        records: Vec<(String, ServerRecord)>,
        whole: bool,
        seq: u64,
        events: &mut C,
    ) -> bool {
        let now = events.now();
        let taken =
            self.core.borrow_mut().on_endpoint_list(records, whole, seq, now, &mut Out { peers: self });
        self.settle(events);
        taken
    }

    /// A session has come: what it is owed. Guards against parts of the fleet's rights that ran out while this process
    /// was stopped: they are asked for again with each.
    pub fn admission_turn(&self, requester: Requester, key: u64, events: &mut C) -> Option<AdmissionTurn> {
        let now = events.now();
        events.set_quota_fraction(self.core.borrow().quota_fraction(now));
        self.core.borrow_mut().admission_turn(requester, key, now)
    }

    /// The value under a key of what all share.
    pub fn get<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        self.core.borrow().fleet().get(key)
    }

    /// Puts a value into what all share, under a version that whoever writes it counts; an older one changes nothing.
    pub fn put<T: Serialize>(&self, key: &str, value: &T, count: u64) -> Result<(), PutError> {
        let version = Version { count, by: 0 };
        self.core.borrow_mut().fleet_mut().put_version(key, value, version, &mut Out { peers: self })
    }

    /// All keys of what all share that begin so.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let core = self.core.borrow();
        core.fleet().entries().into_iter().map(|e| e.key).filter(|key| key.starts_with(prefix)).collect()
    }

    /// This process's place among so many.
    pub fn member(&self) -> (usize, usize) {
        let file = self.file.borrow();
        (usize::from(file.roster.me().0), file.roster.size())
    }

    pub fn namespaces_dir(&self) -> Option<PathBuf> {
        self.file.borrow().namespaces_dir.clone()
    }

    pub fn maintenance(&self) -> Option<PathBuf> {
        self.file.borrow().maintenance.clone()
    }

    /// The fleet's time, by the most of its clocks, in Unix milliseconds.
    pub fn fleet_ms(&self, now: Timestamp) -> i64 {
        wall_ms(now) as i64 + self.core.borrow().fleet().clock_correction_ms()
    }

    pub fn record_admission(&self) {
        self.core.borrow_mut().record_admission();
    }

    pub fn state(&self) -> RecoveryState {
        self.core.borrow().state()
    }

    pub fn watches(&self) -> bool {
        self.core.borrow().is_poller()
    }

    /// Goes by another file, as far as that can be while processes run.
    pub fn read_again(&self, name: &str) -> Result<(), FleetError> {
        let Some(next) = FleetFile::from_environment(name)? else { return Ok(()) };
        self.file.borrow().may_follow(&next)?;
        *self.file.borrow_mut() = next;
        Ok(())
    }

    /// Tells what was put into what all share from outside a call of the core's.
    pub fn tell_news(self: &Rc<Self>, events: &mut C) {
        self.settle(events);
    }

    /// This process ends: its fellows hear of it, and the disk has all.
    pub fn leave(&self, events: &C) {
        let now = events.now();
        self.core.borrow_mut().leave(clock(now), &mut Out { peers: self });
        if let Some(disk) = self.disk.borrow_mut().take() {
            let (number, bytes) = self.bytes(now, events);
            disk.end(number, bytes);
        }
    }
}

fn clock(now: Timestamp) -> ClockReading {
    ClockReading { now, wall_ms: wall_ms(now) }
}

/// This machine's Unix time, which the loop's clock was set by.
fn wall_ms(now: Timestamp) -> u64 {
    now.as_ms() as u64
}
