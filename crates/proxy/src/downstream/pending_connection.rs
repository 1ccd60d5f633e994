//! A connection whose client has yet to send its first line. It costs one descriptor and the bytes of that line: it gets
//! a session and buffers only when the line is complete and valid.

use crate::downstream::lingering::LingeringOwner;
use crate::downstream::pending_connection_table::PendingConnectionTable;
use crate::metrics::Metrics;
use crate::net::event_loop::EventLoopOwner;
use crate::net::line::{well_formed_line, ProxyResponse, MAX_FRAMED_LINE_BYTES, PING};
use crate::net::open_request::OpenRequest;
use crate::net::socket::{End, Socket};
use shelfgrade::time::Timestamp;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// Its session might find no descriptor.
    OutOfDescriptors,
    /// The process takes no more sessions.
    ShuttingDown,
    /// Its request id is in use, or was used of late.
    DuplicateRequestId,
}

impl AdmissionError {
    fn answer(self) -> ProxyResponse {
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

/// Who holds pending connections, and takes over those whose first line is valid.
pub trait PendingConnectionOwner: EventLoopOwner + LingeringOwner {
    /// The connections that have yet to send their first line.
    fn pending_connections(&mut self) -> &mut PendingConnectionTable<Self>;
    /// Counters and rate-limited warnings.
    fn metrics(&self) -> &Metrics;
    /// The names of the request classes.
    fn request_classes(&self) -> &[String];
    /// Whether sessions can be served; none while the endpoint list is waited for.
    fn readiness(&self) -> Option<bool>;
    /// Whether a session may start for a request of this id.
    ///
    /// # Errors
    ///
    /// Why it may not.
    fn admit(&mut self, request_id: u64) -> Result<(), AdmissionError>;
    /// Starts a session.
    fn open(&mut self, request: OpenRequest, socket: Rc<Socket<Self>>);
}

/// A connection without a first line.
pub struct PendingConnection<T: PendingConnectionOwner> {
    /// Its position in the order of last activity.
    pub number: Cell<u64>,
    /// When it connected, or last sent a health check.
    pub last_active: Cell<Timestamp>,
    /// The client's connection.
    pub socket: Rc<Socket<T>>,
    received: RefCell<Vec<u8>>,
    awaits_pong: Cell<bool>,
    /// It has sent a health check, as a front end does that may keep its connection.
    has_sent_ping: Cell<bool>,
}

impl<T: PendingConnectionOwner> PendingConnection<T> {
    /// A connection that has just been accepted.
    pub fn new(number: u64, socket: Socket<T>, now: Timestamp) -> Rc<Self> {
        Rc::new(PendingConnection {
            number: Cell::new(number),
            last_active: Cell::new(now),
            socket: Rc::new(socket),
            received: RefCell::default(),
            awaits_pong: Cell::default(),
            has_sent_ping: Cell::default(),
        })
    }

    /// Its socket may have become readable or writable. Reads one byte past the longest line at most.
    pub fn on_ready(&self, owner: &mut T) {
        if !owner.pending_connections().contains(self) {
            return;
        }
        let mut received = self.received.borrow_mut();
        self.socket.flush_lines();
        while self.socket.read_to_vec(&mut received, MAX_FRAMED_LINE_BYTES + 1) > 0 {}
        let end = self.socket.peer_end.get();
        match received.iter().position(|b| *b == b'\n') {
            _ if end == Some(End::Reset) || end.is_some() && received.is_empty() => {
                owner.pending_connections().remove(self);
            }
            _ if end.is_some() => {
                let line = std::mem::take(&mut *received);
                drop(received);
                self.on_end(&line, owner);
            }
            // A client that sends on does not wait for its answer.
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

    /// The client has ended its sending, and may still read. No session starts for it, as it may have gone.
    fn on_end(&self, received: &[u8], owner: &mut T) {
        let is_ping = well_formed_line(received) == Some(PING);
        let is_healthy = is_ping && owner.readiness() == Some(true);
        self.reject(health_answer(is_healthy), "clients closed before answer", owner);
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
        self.move_to_back(owner);
    }

    /// Activity moves the connection behind all others in the order of eviction.
    fn move_to_back(&self, owner: &mut T) {
        let (number, now) = (owner.pending_connections().next_number(), owner.now());
        if let Some(connection) = owner.pending_connections().remove(self) {
            connection.number.set(number);
            connection.last_active.set(now);
            owner.pending_connections().insert(connection);
        }
    }

    fn on_request(&self, request: OpenRequest, owner: &mut T) {
        if let Err(error) = owner.admit(request.id) {
            return self.reject(error.answer(), error.counter(), owner);
        }
        owner.pending_connections().remove(self);
        owner.open(request, self.socket.clone());
    }

    /// Whether a first line may still come: the connection has sent no health check, or the beginning of a line.
    pub fn may_send_request_line(&self) -> bool {
        !self.has_sent_ping.get() || !self.received.borrow().is_empty()
    }

    /// Whether it has sent a health check that is not answered before the endpoint list has come.
    pub fn awaits_pong(&self) -> bool {
        self.awaits_pong.get()
    }

    /// Answers a health check that is outstanding.
    pub fn respond_to_ping(&self, is_healthy: bool) {
        if self.awaits_pong.take() {
            self.socket.send_line(&health_answer(is_healthy).line());
        }
    }

    /// Sends the final answer, counts the reason, and closes the connection behind the answer.
    pub fn reject(&self, answer: ProxyResponse, reason: &'static str, owner: &mut T) {
        owner.metrics().count_and_warn(reason);
        self.socket.send_line(&answer.line());
        owner.pending_connections().remove(self);
        let now = owner.now();
        owner.lingering().close(self.socket.clone(), now);
    }
}

fn health_answer(is_healthy: bool) -> ProxyResponse {
    if is_healthy {
        ProxyResponse::Healthy
    } else {
        ProxyResponse::Failed
    }
}
