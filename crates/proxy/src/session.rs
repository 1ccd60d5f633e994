//! A session: a client's proxied connection, with the client socket, the attempt at a server, and one buffer for each
//! direction.
//!
//! The directions end independently. `to_server_end` and `to_client_end` tell how the sender ended, once it has; the
//! stream to the receiver is then ended the same way after the last buffered byte.

use crate::executor::Executor;
use crate::net::event_loop::DeferredCall;
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

/// How long a restored session may take to be established at its server.
pub const RESTORE_TIMEOUT: Duration = Duration::from_millis(40_000);
/// How long a restored session waits for its server to be listed, once an endpoint list has been received.
const ENDPOINT_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a closing session waits for both peers to close: long enough for them to read the last bytes, and short
/// enough to free the descriptors soon.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long a migration waits for the server to complete a partially sent line.
const LINE_END_TIMEOUT: Duration = Duration::from_millis(800);
/// Rounds of reads and writes per event, so that one busy session does not starve the others.
const MAX_IO_ROUNDS_PER_EVENT: usize = 4;

/// The stages in the life of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It is not established yet: it waits for admission, or for an attempt at a server.
    Connecting,
    /// Lines are forwarded in both directions.
    Established,
    /// Its end has been reported to the load balancer; the last bytes are being written.
    Closing,
    /// Both connections are closed.
    Closed,
}

/// A client's proxied connection, from its first line until it is closed.
pub struct Session {
    /// The session's id in this process.
    pub id: SessionId,
    pub stage: Cell<Stage>,
    /// When the current stage was entered.
    pub stage_entered_at: Cell<Timestamp>,
    /// The request that opened the session.
    pub open_request: OpenRequest,
    /// The client's connection.
    pub client: Rc<Socket<Proxy>>,
    /// Splits what the client sends into lines.
    pub client_decoder: RefCell<LineDecoder>,
    /// The current attempt at a server, which is in progress or established.
    pub attempt: RefCell<Option<Rc<Attempt>>>,
    /// Bytes to be written to the server.
    pub to_server: RefCell<RingBuffer>,
    /// Bytes to be written to the client.
    pub to_client: RefCell<RingBuffer>,
    /// How the stream to the server is to end after the bytes in `to_server`.
    pub to_server_end: Cell<Option<StreamEnd>>,
    /// How the stream to the client is to end after the bytes in `to_client`.
    pub to_client_end: Cell<Option<StreamEnd>>,
    /// When a migration was requested that still waits for the end of a line.
    pub migrating_since: Cell<Option<Timestamp>>,
    /// When the client sent the oldest line without a reply; none while no reply is outstanding.
    pub awaiting_reply_since: Cell<Option<Timestamp>>,
    /// The call that goes on reading and writing where one event left off.
    pub further_io: DeferredCall,
    /// Counts the session towards the connections of its namespace rule until it is closed.
    pub namespace_slot: RefCell<Option<Rc<()>>>,
    /// A weak reference to the session itself, for callbacks.
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
    /// Creates a session from the client's request. Each buffer holds `buffer_size` bytes.
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
            further_io: DeferredCall::default(),
            namespace_slot: RefCell::default(),
            weak_self: weak.clone(),
        })
    }

    /// Whether the session was already established before this proxy started.
    pub fn is_restored(&self) -> bool {
        self.open_request.restored_from.is_some()
    }

    pub fn enter_stage(&self, stage: Stage, now: Timestamp) {
        self.stage.set(stage);
        self.stage_entered_at.set(now);
    }

    /// Called when one of the sockets may have become readable or writable. Does nothing if [`Session::on_ready`] is
    /// about to be called anyway, as events of busy sockets would otherwise add to what the session takes of each turn
    /// of the event loop.
    pub fn on_socket_event(&self, proxy: &mut Proxy) {
        if !self.further_io.is_pending() {
            self.on_ready(proxy);
        }
    }

    /// Forwards bytes in both directions, as far as the sockets allow and up to the limit per event.
    pub fn on_ready(&self, proxy: &mut Proxy) {
        for _ in 0..MAX_IO_ROUNDS_PER_EVENT {
            if self.stage.get() == Stage::Closed {
                return;
            }
            let progress = self.read_client(proxy) | self.read_server(proxy);
            if !(self.flush() | progress) {
                return self.close_if_done(proxy);
            }
        }
        proxy.executor.reschedule(self);
    }

    /// Writes as much as possible, and ends the streams whose last byte is written. Returns whether anything was
    /// written.
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

    /// Ends both streams after their last bytes, and reports the end to the load balancer.
    pub fn end_both_streams(&self, end: StreamEnd, outcome: AttemptOutcome, proxy: &mut Proxy) {
        self.to_client_end.set(Some(end));
        self.to_server_end.set(Some(end));
        self.report_end(outcome, proxy);
    }

    /// Reports the end of an established session to the load balancer. Its last bytes may not be written yet.
    pub fn report_end(&self, outcome: AttemptOutcome, proxy: &mut Proxy) {
        if self.stage.get() == Stage::Established {
            self.enter_stage(Stage::Closing, proxy.now());
            proxy.executor.needing_tick.add(self);
            proxy.on_attempt_ended(self.id, outcome, true);
        }
    }

    /// Ends an established session after a peer has violated the protocol.
    pub fn on_protocol_error(&self, _: LineTooLong, outcome: AttemptOutcome, proxy: &mut Proxy) {
        proxy.executor.metrics.count_and_warn("overlong lines");
        self.end_both_streams(StreamEnd::Fin, outcome, proxy);
        self.enter_stage(Stage::Closing, proxy.now());
    }

    /// Migrates the session by telling the client to reconnect, unless the server has sent part of a line. Returns
    /// whether the session was migrated.
    pub fn try_migrate(&self, now: Timestamp) -> bool {
        let at_line_start = self.attempt.borrow().as_ref().is_some_and(|attempt| attempt.is_at_line_start());
        let is_migrated = at_line_start && self.to_client.borrow_mut().push(MIGRATE_LINE);
        if is_migrated {
            self.migrating_since.set(None);
            self.to_client_end.set(Some(StreamEnd::Fin));
            self.to_server_end.set(Some(StreamEnd::Fin));
            self.enter_stage(Stage::Closing, now);
            self.flush();
        }
        is_migrated
    }

    /// Migrates although the server has not completed its line in time, or the client does not read what precedes it.
    /// The partial line is dropped from the buffer; if its beginning has already been written, the connection is ended
    /// in the middle of the line.
    fn migrate_inside_line(&self, proxy: &mut Proxy) {
        if self.to_client.borrow_mut().discard_partial_line() {
            self.attempt.borrow().iter().for_each(|attempt| attempt.discard_partial_line());
            return proxy.finish_migration(self);
        }
        proxy.executor.metrics.count("migrated inside a line");
        self.end_both_streams(StreamEnd::Fin, AttemptOutcome::Cancelled, proxy);
        self.flush();
    }

    fn close_if_done(&self, proxy: &mut Proxy) {
        let server_is_closed =
            || self.attempt.borrow().as_ref().is_none_or(|attempt| attempt.socket.is_closed());
        if self.stage.get() == Stage::Closing && self.client.is_closed() && server_is_closed() {
            self.close(&mut proxy.executor);
        }
    }

    /// Closes both connections immediately, and removes the session.
    pub fn close(&self, executor: &mut Executor) {
        self.attempt.borrow_mut().take();
        self.stage.set(Stage::Closed);
        self.namespace_slot.take();
        executor.sessions.remove(self);
        let now = executor.clock.now();
        executor.recent_request_ids.insert(self.open_request.id, now);
    }

    /// Whether a timeout applies to the session that [`Session::on_tick`] has to check.
    pub fn needs_tick(&self) -> bool {
        match self.stage.get() {
            Stage::Connecting => self.is_restored(),
            Stage::Established => self.migrating_since.get().is_some(),
            Stage::Closing => true,
            Stage::Closed => false,
        }
    }

    /// Applies the timeouts of the current stage; called on each tick while [`Session::needs_tick`] holds.
    pub fn on_tick(&self, proxy: &mut Proxy) {
        let now = proxy.now();
        let time_in_stage = now.since(self.stage_entered_at.get());
        let line_timed_out = || self.migrating_since.get().is_some_and(|at| now.since(at) > LINE_END_TIMEOUT);
        match self.stage.get() {
            Stage::Connecting if self.is_restored() && time_in_stage > self.restore_timeout(proxy) => {
                self.send_final_response(ProxyResponse::Failed, &mut proxy.executor);
            }
            Stage::Closing if time_in_stage > CLOSE_TIMEOUT => self.close(&mut proxy.executor),
            Stage::Established if line_timed_out() => self.migrate_inside_line(proxy),
            _ => {}
        }
    }

    /// The timeout of a restored session. It is shorter if the endpoint list does not contain the session's server, as
    /// discovery sends all servers at once.
    fn restore_timeout(&self, proxy: &Proxy) -> Duration {
        let is_unlisted = proxy.executor.list_received.get() && self.attempt.borrow().is_none();
        if is_unlisted {
            ENDPOINT_TIMEOUT
        } else {
            RESTORE_TIMEOUT
        }
    }
}
