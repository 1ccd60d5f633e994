//! A client's proxied connection: the client's socket, the attempt at a server, and a buffer for each direction.
//!
//! Each direction ends by itself: `to_server_end` and `to_client_end` say how, once that is known, and the receiving
//! side is ended the same way after the last byte of its buffer.

use crate::executor::Executor;
use crate::net::line::{LineDecoder, LineTooLong, ProxyResponse, MIGRATE_LINE};
use crate::net::open_request::OpenRequest;
use crate::net::ring_buffer::RingBuffer;
use crate::net::socket::{Socket, StreamEnd};
use crate::proxy::Proxy;
use crate::session_table::SessionEntry;
use crate::upstream::attempt::Attempt;
use shelfgrade::host::{AttemptOutcome, SessionId};
use shelfgrade::time::Timestamp;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

/// How long a restored session waits for its server, connection and answer included.
pub const RESTORE_TIMEOUT: Duration = Duration::from_millis(40_000);
/// How long a restored session waits for its server to be listed, once there is an endpoint list.
const ENDPOINT_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a session that is closing waits for both peers to end: long enough for them to read the last bytes, short
/// enough to free the descriptors.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long a migration waits for the server to end the line that it has begun.
const LINE_END_TIMEOUT: Duration = Duration::from_millis(800);
/// Rounds of reading and writing before other sessions have their turn.
const MAX_ROUNDS_PER_TURN: usize = 32;

/// How far a session has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The load balancer is finding a server for it.
    Connecting,
    /// Lines pass both ways.
    Established,
    /// It has ended for the load balancer; the last bytes are being written.
    Closing,
    /// Both connections are closed.
    Closed,
}

/// A client's proxied connection, from its first line to its end.
pub struct Session {
    /// Its id in this process.
    pub id: SessionId,
    /// How far it has come.
    pub stage: Cell<Stage>,
    /// When the stage began.
    pub stage_entered_at: Cell<Timestamp>,
    /// The client's first line.
    pub open_request: OpenRequest,
    /// The client's connection.
    pub client: Rc<Socket<Proxy>>,
    /// Splits what the client sends into lines.
    pub client_decoder: RefCell<LineDecoder>,
    /// The attempt at a server that is under way or established.
    pub attempt: RefCell<Option<Rc<Attempt>>>,
    /// Bytes on their way to the server.
    pub to_server: RefCell<RingBuffer>,
    /// Bytes on their way to the client.
    pub to_client: RefCell<RingBuffer>,
    /// How the direction to the server ends after its last byte.
    pub to_server_end: Cell<Option<StreamEnd>>,
    /// How the direction to the client ends after its last byte.
    pub to_client_end: Cell<Option<StreamEnd>>,
    /// Since when it is to migrate, and waits for the end of a line.
    pub migrating_since: Cell<Option<Timestamp>>,
    /// When the client sent the first line that nothing has come back for.
    pub awaiting_reply_since: Cell<Option<Timestamp>>,
    /// Its share of its namespace's capacity, freed when the session closes.
    pub namespace_slot: RefCell<Option<Rc<()>>>,
    /// A reference to itself, for callbacks.
    pub weak_self: Weak<Session>,
}

impl SessionEntry for Session {
    fn id(&self) -> SessionId {
        self.id
    }

    fn request_id(&self) -> u64 {
        self.open_request.id
    }

    fn downgrade(&self) -> Weak<Self> {
        self.weak_self.clone()
    }
}

impl Session {
    /// A session whose client has sent its first line. Each buffer takes `buffer_size` bytes.
    pub fn new(
        id: SessionId,
        open_request: OpenRequest,
        client: Rc<Socket<Proxy>>,
        buffer_size: usize,
        now: Timestamp,
    ) -> Rc<Self> {
        Rc::new_cyclic(|weak| Session {
            id,
            stage: Cell::new(Stage::Connecting),
            stage_entered_at: Cell::new(now),
            open_request,
            client,
            client_decoder: RefCell::default(),
            attempt: RefCell::default(),
            to_server: RefCell::new(RingBuffer::new(buffer_size)),
            to_client: RefCell::new(RingBuffer::with_reserve(buffer_size, MIGRATE_LINE.len())),
            to_server_end: Cell::default(),
            to_client_end: Cell::default(),
            migrating_since: Cell::default(),
            awaiting_reply_since: Cell::default(),
            namespace_slot: RefCell::default(),
            weak_self: weak.clone(),
        })
    }

    /// Whether the session was established before this proxy started.
    pub fn is_restored(&self) -> bool {
        self.open_request.restored_from.is_some()
    }

    /// Enters a stage.
    pub fn enter(&self, stage: Stage, now: Timestamp) {
        self.stage.set(stage);
        self.stage_entered_at.set(now);
    }

    /// One of its sockets may have become readable or writable.
    pub fn on_ready(&self, proxy: &mut Proxy) {
        for _ in 0..MAX_ROUNDS_PER_TURN {
            if self.stage.get() == Stage::Closed {
                return;
            }
            let progress = self.read_client(proxy) | self.read_server(proxy);
            if !(self.flush() | progress) {
                return self.close_if_done(proxy);
            }
        }
        proxy.executor.schedule_ready(self);
    }

    /// Writes what can be written, and ends the sides that have had their last byte; whether anything was written.
    pub fn flush(&self) -> bool {
        let attempt = self.attempt.borrow().clone();
        let (mut to_server, mut to_client) = (self.to_server.borrow_mut(), self.to_client.borrow_mut());
        let mut written = 0;
        self.client.flush_lines();
        if let Some(attempt) = attempt.as_ref().filter(|attempt| attempt.is_established()) {
            written += attempt.socket.write(&mut to_server);
            if let (Some(end), true) = (self.to_server_end.get(), to_server.is_empty()) {
                attempt.socket.end_stream(end);
            }
        }
        if matches!(self.stage.get(), Stage::Established | Stage::Closing) {
            written += self.client.write(&mut to_client);
            if let (Some(end), true) = (self.to_client_end.get(), to_client.is_empty()) {
                self.client.end_stream(end);
            }
        }
        written > 0
    }

    /// Ends both directions after their last bytes, and the session for the load balancer.
    pub fn end_both_directions(&self, end: StreamEnd, outcome: AttemptOutcome, proxy: &mut Proxy) {
        self.to_client_end.set(Some(end));
        self.to_server_end.set(Some(end));
        self.finish(outcome, proxy);
    }

    /// Reports the end of an established session to the load balancer; the last bytes may still be on their way.
    pub fn finish(&self, outcome: AttemptOutcome, proxy: &mut Proxy) {
        if self.stage.get() == Stage::Established {
            self.enter(Stage::Closing, proxy.now());
            proxy.executor.needing_tick.add(self);
            proxy.on_attempt_ended(self.id, outcome, true);
        }
    }

    /// A peer of an established session has broken the protocol, which ends the session.
    pub fn protocol_error(&self, _: LineTooLong, outcome: AttemptOutcome, proxy: &mut Proxy) {
        proxy.executor.metrics.count_and_warn("overlong lines");
        self.end_both_directions(StreamEnd::Fin, outcome, proxy);
        self.enter(Stage::Closing, proxy.now());
    }

    /// Tells the client to connect again, unless the server is inside a line; whether that was sent.
    pub fn try_migrate(&self, now: Timestamp) -> bool {
        let at_line_start = self.attempt.borrow().as_ref().is_some_and(|attempt| attempt.is_at_line_start());
        let migrates = at_line_start && self.to_client.borrow_mut().push(MIGRATE_LINE);
        if migrates {
            self.migrating_since.set(None);
            self.to_client_end.set(Some(StreamEnd::Fin));
            self.to_server_end.set(Some(StreamEnd::Fin));
            self.enter(Stage::Closing, now);
            self.flush();
        }
        migrates
    }

    /// Migrates although the server has not ended its line in time, or the client does not read what comes before it.
    /// What is left here of that line is dropped; if its beginning has been written, the connection ends inside it.
    fn migrate_inside_line(&self, proxy: &mut Proxy) {
        if self.to_client.borrow_mut().discard_partial_line() {
            self.attempt.borrow().iter().for_each(|attempt| attempt.discard_partial_line());
            return proxy.finish_migration(self);
        }
        proxy.executor.metrics.count("migrated inside a line");
        self.end_both_directions(StreamEnd::Fin, AttemptOutcome::Cancelled, proxy);
        self.flush();
    }

    fn close_if_done(&self, proxy: &mut Proxy) {
        let server_is_closed =
            || self.attempt.borrow().as_ref().is_none_or(|attempt| attempt.socket.is_closed());
        if self.stage.get() == Stage::Closing && self.client.is_closed() && server_is_closed() {
            self.close(&mut proxy.executor);
        }
    }

    /// Closes both connections at once, and removes the session.
    pub fn close(&self, executor: &mut Executor) {
        self.attempt.borrow_mut().take();
        self.stage.set(Stage::Closed);
        self.namespace_slot.take();
        executor.sessions.remove(self);
    }

    /// Whether the session waits for something that no socket event comes for.
    pub fn needs_tick(&self) -> bool {
        match self.stage.get() {
            Stage::Connecting => self.is_restored(),
            Stage::Established => self.migrating_since.get().is_some(),
            Stage::Closing => true,
            Stage::Closed => false,
        }
    }

    /// Called with each tick while [`Session::needs_tick`]: applies the timeouts of the session's stage.
    pub fn on_tick(&self, proxy: &mut Proxy) {
        let now = proxy.now();
        let in_stage = now.since(self.stage_entered_at.get());
        let line_timed_out = || self.migrating_since.get().is_some_and(|at| now.since(at) > LINE_END_TIMEOUT);
        match self.stage.get() {
            Stage::Connecting if self.is_restored() && in_stage > self.restore_timeout(proxy) => {
                self.send_final_response(ProxyResponse::Failed, &mut proxy.executor);
            }
            Stage::Closing if in_stage > CLOSE_TIMEOUT => self.close(&mut proxy.executor),
            Stage::Established if line_timed_out() => self.migrate_inside_line(proxy),
            _ => {}
        }
    }

    /// Shorter if the endpoint list does not name the session's server, as discovery names all of them at once.
    fn restore_timeout(&self, proxy: &Proxy) -> Duration {
        let is_unlisted = proxy.executor.list_received.get() && self.attempt.borrow().is_none();
        if is_unlisted {
            ENDPOINT_TIMEOUT
        } else {
            RESTORE_TIMEOUT
        }
    }
}
