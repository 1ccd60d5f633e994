//! A connection whose client has not sent its first line yet. It takes only one descriptor and the bytes of that line;
//! a session and its buffers are allocated once the line is complete and valid.

use crate::downstream::lingering::LingeringOwner;
use crate::downstream::pending_connection_table::PendingConnectionTable;
use crate::metrics::Metrics;
use crate::net::event_loop::EventLoopOwner;
use crate::net::line::{well_formed_line, ProxyResponse, MAX_FRAMED_LINE_BYTES, PING};
use crate::net::open_request::OpenRequest;
use crate::net::socket::{Socket, StreamEnd};
use shelfgrade::time::Timestamp;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Health check responses that a client does not read are kept up to this many bytes, besides those that fit in the
/// system's buffers. A client that sends more health checks after that is disconnected.
const MAX_UNREAD_RESPONSE_BYTES: usize = 4096;

/// Why a request to open a session is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// There may be too few descriptors for its session.
    OutOfDescriptors,
    /// The process is shutting down and accepts no more sessions.
    ShuttingDown,
    /// Its request id is in use, or was used recently.
    DuplicateRequestId,
}

impl AdmissionError {
    fn response(self) -> ProxyResponse {
        match self {
            AdmissionError::OutOfDescriptors | AdmissionError::ShuttingDown => ProxyResponse::Rejected,
            AdmissionError::DuplicateRequestId => ProxyResponse::Failed,
        }
    }

    fn counter(self) -> &'static str {
        match self {
            AdmissionError::OutOfDescriptors => "rejected for lack of descriptors",
            AdmissionError::ShuttingDown => "rejected at shutdown",
            AdmissionError::DuplicateRequestId => "duplicate request ids",
        }
    }
}

/// The owner of the pending connections, which starts sessions for those whose first line is valid.
pub trait PendingConnectionOwner: EventLoopOwner + LingeringOwner {
    /// The connections that have not sent their first line yet.
    fn pending_connections(&mut self) -> &mut PendingConnectionTable<Self>;
    /// Counters and rate-limited warnings.
    fn metrics(&self) -> &Metrics;
    /// The names of the request classes.
    fn request_classes(&self) -> &[String];
    /// Whether sessions can be served; none until the endpoint list has been received.
    fn readiness(&self) -> Option<bool>;
    /// Decides whether a session may start for the request with this id.
    ///
    /// # Errors
    ///
    /// The reason if it may not.
    fn admit(&mut self, request_id: u64) -> Result<(), AdmissionError>;
    fn start_session(&mut self, request: OpenRequest, socket: Rc<Socket<Self>>);
}

/// A connection that has not sent its first line yet.
pub struct PendingConnection<T: PendingConnectionOwner> {
    /// Its position in the order of last activity.
    pub activity_sequence: Cell<u64>,
    /// When it was accepted, or last sent a health check request.
    pub last_active: Cell<Timestamp>,
    /// The client's connection.
    pub socket: Rc<Socket<T>>,
    received: RefCell<Vec<u8>>,
    awaits_pong: Cell<bool>,
    /// Whether it has sent a health check request. The sender may be a front-end load balancer that keeps its
    /// connection open.
    has_sent_ping: Cell<bool>,
}

impl<T: PendingConnectionOwner> PendingConnection<T> {
    /// Creates a pending connection from an accepted socket.
    pub fn new(activity_sequence: u64, socket: Socket<T>, now: Timestamp) -> Rc<Self> {
        Rc::new(PendingConnection {
            activity_sequence: Cell::new(activity_sequence),
            last_active: Cell::new(now),
            socket: Rc::new(socket),
            received: RefCell::default(),
            awaits_pong: Cell::default(),
            has_sent_ping: Cell::default(),
        })
    }

    /// Called when the socket may have become readable or writable. Reads at most one byte more than the longest line.
    pub fn on_ready(&self, owner: &mut T) {
        if !owner.pending_connections().contains(self) {
            return;
        }
        let mut received = self.received.borrow_mut();
        self.socket.flush_lines();
        while self.socket.read_to_vec(&mut received, MAX_FRAMED_LINE_BYTES + 1) > 0 {}
        let end = self.socket.peer_end.get();
        match received.iter().position(|b| *b == b'\n') {
            _ if end == Some(StreamEnd::Reset) || end.is_some() && received.is_empty() => {
                owner.pending_connections().remove(self);
            }
            _ if end.is_some() => {
                let line = std::mem::take(&mut *received);
                drop(received);
                self.on_end_of_stream(&line, owner);
            }
            // A client must not send anything more before it has received its response.
            Some(line_end) if line_end + 1 < received.len() => {
                self.reject(ProxyResponse::Failed, "data after first line", owner);
            }
            Some(_) => {
                let line = std::mem::take(&mut *received);
                drop(received);
                self.on_line(&line, owner);
            }
            None if received.len() > MAX_FRAMED_LINE_BYTES => {
                self.reject(ProxyResponse::Failed, "overlong lines", owner);
            }
            None => {}
        }
    }

    /// The client has shut down its sending direction and may still read. No session is started, as the client may
    /// have closed the connection altogether.
    fn on_end_of_stream(&self, received: &[u8], owner: &mut T) {
        let is_ping = well_formed_line(received) == Some(PING);
        let is_healthy = is_ping && owner.readiness() == Some(true);
        self.reject(health_response(is_healthy), "clients closed before answer", owner);
    }

    fn on_line(&self, line: &[u8], owner: &mut T) {
        let line = well_formed_line(line);
        if line == Some(PING) {
            return self.on_ping(owner);
        }
        match line.and_then(|line| OpenRequest::parse(line, owner.request_classes())) {
            Some(request) => self.on_request(request, owner),
            None => self.reject(ProxyResponse::Failed, "malformed first lines", owner),
        }
    }

    fn on_ping(&self, owner: &mut T) {
        self.awaits_pong.set(true);
        self.has_sent_ping.set(true);
        if let Some(is_ready) = owner.readiness() {
            self.respond_to_ping(is_ready);
        }
        if self.socket.unsent_bytes() > MAX_UNREAD_RESPONSE_BYTES {
            return self.reject(ProxyResponse::Failed, "unread health check responses", owner);
        }
        self.mark_active(owner);
    }

    /// Records activity, which makes the connection the last one to be evicted.
    fn mark_active(&self, owner: &mut T) {
        let (sequence, now) = (owner.pending_connections().next_sequence(), owner.now());
        if let Some(connection) = owner.pending_connections().remove(self) {
            connection.activity_sequence.set(sequence);
            connection.last_active.set(now);
            owner.pending_connections().insert(connection);
        }
    }

    fn on_request(&self, request: OpenRequest, owner: &mut T) {
        if let Err(error) = owner.admit(request.id) {
            return self.reject(error.response(), error.counter(), owner);
        }
        owner.pending_connections().remove(self);
        owner.start_session(request, self.socket.clone());
    }

    /// Whether a request may still arrive: the connection has sent no health check request, or part of another line.
    pub fn may_send_request_line(&self) -> bool {
        !self.has_sent_ping.get() || !self.received.borrow().is_empty()
    }

    /// Whether it has sent a health check request that is not answered yet, as there is no endpoint list yet.
    pub fn awaits_pong(&self) -> bool {
        self.awaits_pong.get()
    }

    /// Responds to the outstanding health check request, if there is one.
    pub fn respond_to_ping(&self, is_healthy: bool) {
        if self.awaits_pong.take() {
            self.socket.send_line(&health_response(is_healthy).line());
        }
    }

    /// Sends a final response, counts the reason, and closes the connection after the response.
    pub fn reject(&self, response: ProxyResponse, reason: &'static str, owner: &mut T) {
        owner.metrics().count_and_warn(reason);
        self.socket.send_line(&response.line());
        owner.pending_connections().remove(self);
        let now = owner.now();
        owner.lingering().close(self.socket.clone(), now);
    }
}

fn health_response(is_healthy: bool) -> ProxyResponse {
    if is_healthy {
        ProxyResponse::Healthy
    } else {
        ProxyResponse::Failed
    }
}
