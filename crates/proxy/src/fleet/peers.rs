//! Runs the recovery state machine [`Node`], which performs no I/O itself: drives its UDP socket and timer, and reads
//! and writes its snapshots.
//!
//! All events are reported to the owner through [`PeerEvents`].

mod environment;
mod notification;
mod saving;
mod shared_map;

use crate::fleet::fleet_file::{FleetError, FleetFile};
use crate::fleet::peer_events::PeerEvents;
use crate::fleet::snapshot_writer::{self, SnapshotWriter};
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use environment::NodeEnvironment;
use notification::Notification;
use saving::LastSave;
use shelfgrade::host::AdmissionTurn;
use shelfgrade::time::Timestamp;
use shelfgrade_recovery::snapshot::{self, Snapshot};
use shelfgrade_recovery::{ClockReading, EndpointAddress, Node, RecoverySettings, Requester, ServerRecord};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;

/// This process as a member of its fleet.
pub struct Peers {
    node: RefCell<Node>,
    file: RefCell<FleetFile>,
    socket: UdpSocket,
    timer: Cell<Option<RegistrationToken>>,
    snapshot_writer: RefCell<Option<SnapshotWriter>>,
    last_save: Cell<LastSave>,
    /// Events that the node reported during a call. They are delivered after the call has returned, because handling
    /// them may call the node again.
    notifications: RefCell<Vec<Notification>>,
}

impl Peers {
    /// Restores the newest snapshot and joins the fleet. `known` are the endpoints of the start-up file.
    ///
    /// # Errors
    ///
    /// [`FleetError::Bind`] if the socket cannot be opened.
    pub fn join<E: PeerEvents>(
        file: FleetFile,
        settings: RecoverySettings,
        known: Vec<EndpointAddress>,
        seed: u64,
        events: &mut E,
    ) -> Result<Rc<Self>, FleetError> {
        let at = file.addresses[usize::from(file.roster.local_member().0)];
        let bind_error = |source| FleetError::Bind { at, source };
        let socket = UdpSocket::bind(at).map_err(bind_error)?;
        socket.set_nonblocking(true).map_err(bind_error)?;
        let snapshot = newest_snapshot(&file);
        let now = events.now();
        let mut node = Node::new(file.roster.clone(), settings, snapshot, seed, clock_reading(now));
        node.add_startup_endpoints(known.into_iter(), now);
        let (state, size, fleet) = (node.state().name(), file.roster.size(), file.roster.fleet());
        log::info!("recovery: {state}; fleet {fleet} has {size} members");
        let snapshot_writer = file.state_dir.as_deref().map(SnapshotWriter::start);
        let peers = Rc::new(Peers {
            node: RefCell::new(node),
            file: RefCell::new(file),
            timer: Cell::default(),
            snapshot_writer: RefCell::new(snapshot_writer),
            last_save: Cell::new(LastSave { state_digest: 0, at: now }),
            notifications: RefCell::default(),
            socket: socket.try_clone().map_err(bind_error)?,
        });
        let handler = peers.clone();
        let source = Generic::new(socket, Interest::READ, Mode::Level);
        let watched = events.handle().insert_source(source, move |_, _, events| {
            handler.on_socket_ready(events);
            Ok(PostAction::Continue)
        });
        watched.map_err(|error| bind_error(std::io::Error::other(error.error)))?;
        peers.on_timer(events);
        Ok(peers)
    }

    fn on_socket_ready(self: &Rc<Self>, events: &mut impl PeerEvents) {
        // Limited so that a flood of datagrams does not delay the processing of client connections.
        const MAX_DATAGRAMS_PER_EVENT: usize = 64;
        let mut datagram = [0; shelfgrade_fleet::MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_EVENT {
            let Ok((length, from)) = self.socket.recv_from(&mut datagram) else { break };
            if self.is_peer_address(from) {
                let now = events.now();
                let mut environment = NodeEnvironment { peers: self };
                self.node.borrow_mut().on_datagram(&datagram[..length], clock_reading(now), &mut environment);
            } else {
                events.warn("fleet datagrams from unknown addresses");
            }
        }
        self.deliver_notifications(events);
    }

    fn is_peer_address(&self, from: SocketAddr) -> bool {
        self.file.borrow().addresses.contains(&from)
    }

    fn on_timer(self: &Rc<Self>, events: &mut impl PeerEvents) {
        let now = events.now();
        self.node.borrow_mut().on_timer(clock_reading(now), &mut NodeEnvironment { peers: self });
        self.save_if_due(now, events);
        self.deliver_notifications(events);
    }

    /// Delivers the events that the node has reported, updates the quota fraction, and schedules the node's next
    /// wakeup.
    pub fn deliver_notifications(self: &Rc<Self>, events: &mut impl PeerEvents) {
        loop {
            let notifications = std::mem::take(&mut *self.notifications.borrow_mut());
            if notifications.is_empty() {
                break;
            }
            notifications.into_iter().for_each(|notification| notification.deliver(events));
        }
        let now = events.now();
        events.set_quota_fraction(self.node.borrow().quota_fraction(now));
        self.schedule_wakeup(now, events);
    }

    fn schedule_wakeup(self: &Rc<Self>, now: Timestamp, events: &impl PeerEvents) {
        if let Some(token) = self.timer.take() {
            events.handle().remove(token);
        }
        let timer = Timer::from_duration(self.node.borrow().next_wakeup().since(now));
        let handler = self.clone();
        let token = events.handle().insert_source(timer, move |_, _, events| {
            handler.timer.take();
            handler.on_timer(events);
            TimeoutAction::Drop
        });
        self.timer.set(token.ok());
    }

    /// Passes a list from discovery to the node and returns whether it was accepted.
    pub fn on_endpoint_list(
        self: &Rc<Self>,
        records: Vec<(String, ServerRecord)>,
        is_complete: bool,
        version: u64,
        events: &mut impl PeerEvents,
    ) -> bool {
        let now = events.now();
        let mut environment = NodeEnvironment { peers: self };
        let accepted =
            self.node.borrow_mut().on_endpoint_list(records, is_complete, version, now, &mut environment);
        self.deliver_notifications(events);
        accepted
    }

    /// The admission turn of a new session; none outside of a recovery. The quota fraction is updated first, because
    /// quota leases may have expired while this process was suspended.
    pub fn admission_turn(
        &self,
        requester: Requester,
        key: u64,
        events: &mut impl PeerEvents,
    ) -> Option<AdmissionTurn> {
        let now = events.now();
        events.set_quota_fraction(self.node.borrow().quota_fraction(now));
        self.node.borrow_mut().admission_turn(requester, key, now)
    }

    /// Records that the session of the last admission turn was admitted.
    pub fn record_admission(&self) {
        self.node.borrow_mut().record_admission();
    }

    /// This process's position in the roster, and the roster's size.
    pub fn member(&self) -> (usize, usize) {
        let file = self.file.borrow();
        (usize::from(file.roster.local_member().0), file.roster.size())
    }

    /// The directory of the tenants' namespaces, if the fleet file names one.
    pub fn namespaces_dir(&self) -> Option<PathBuf> {
        self.file.borrow().namespaces_dir.clone()
    }

    /// The file with the maintenance schedule, if the fleet file names one.
    pub fn maintenance_file(&self) -> Option<PathBuf> {
        self.file.borrow().maintenance_file.clone()
    }

    /// The time in Unix milliseconds according to the median of the fleet's clocks.
    pub fn fleet_time_ms(&self, now: Timestamp) -> i64 {
        wall_ms(now) as i64 + self.node.borrow().fleet().clock_correction_ms()
    }

    /// Whether this process polls discovery, for the fleet or for itself.
    pub fn is_polling(&self) -> bool {
        self.node.borrow().discovery_use().is_polling()
    }

    /// Reads the fleet file again and applies it.
    ///
    /// # Errors
    ///
    /// [`FleetError`] if the file cannot be read, is invalid, or changes a value that cannot change at runtime. The
    /// current file then stays in use.
    pub fn reload_file(&self, name: &str) -> Result<(), FleetError> {
        let Some(next) = FleetFile::from_environment(name)? else { return Ok(()) };
        self.file.borrow().check_reload(&next)?;
        *self.file.borrow_mut() = next;
        Ok(())
    }

    /// Leaves the fleet: notifies the peers and writes the last snapshot, within a time limit.
    pub fn leave(&self, events: &impl PeerEvents) {
        let now = events.now();
        self.node.borrow_mut().leave(clock_reading(now), &mut NodeEnvironment { peers: self });
        self.write_last_snapshot(now, events);
    }
}

/// The newest valid snapshot of this process, if there is any.
fn newest_snapshot(file: &FleetFile) -> Option<Snapshot> {
    let name = file.roster.name(file.roster.local_member()).unwrap_or_default();
    let generations = file.state_dir.as_deref().map(snapshot_writer::read_generations).unwrap_or_default();
    let selection = snapshot::select_newest(&generations, file.roster.fleet(), name);
    for rejected in selection.rejected {
        log::warn!("snapshot {}: {}", rejected.generation, rejected.error);
    }
    selection.newest
}

/// The clock reading that is passed to the node.
fn clock_reading(now: Timestamp) -> ClockReading {
    ClockReading { now, wall_ms: wall_ms(now) }
}

/// The Unix time in milliseconds, according to the event loop's clock.
fn wall_ms(now: Timestamp) -> u64 {
    now.as_ms() as u64
}
