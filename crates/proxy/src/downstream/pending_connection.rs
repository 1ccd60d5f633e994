//! A connection whose client has yet to send its first line. It costs one descriptor and the bytes of that line: it gets
//! a session and buffers only when the line is complete and valid.

use crate::net::line::{well_formed_line, Answer, MAX_FRAMED_LINE_BYTES, PING};
use crate::net::open_request::OpenRequest;
use crate::net::socket::{End, Socket};
use crate::proxy::Proxy;
use shelfgrade::time::Timestamp;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// A connection without a first line.
pub struct PendingConnection {
    /// Its position in the order of last activity.
    pub number: Cell<u64>,
    /// When it connected, or last sent a health check.
    pub last_active: Cell<Timestamp>,
    /// The client's connection.
    pub socket: Rc<Socket<Proxy>>,
    received: RefCell<Vec<u8>>,
    awaits_pong: Cell<bool>,
    /// It has sent a health check, as a front end does that may keep its connection.
    has_sent_ping: Cell<bool>,
}

impl PendingConnection {
    /// A connection that has just been accepted.
    pub fn new(number: u64, socket: Socket<Proxy>, now: Timestamp) -> Rc<Self> {
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
    pub fn on_ready(&self, proxy: &mut Proxy) {
        if !proxy.listener.pending.contains(self) {
            return;
        }
        let mut received = self.received.borrow_mut();
        self.socket.flush_lines();
        while self.socket.read_to_vec(&mut received, MAX_FRAMED_LINE_BYTES + 1) > 0 {}
        let end = self.socket.peer_end.get();
        match received.iter().position(|b| *b == b'\n') {
            _ if end == Some(End::Reset) || end.is_some() && received.is_empty() => {
                proxy.listener.pending.remove(self);
            }
            _ if end.is_some() => {
                let line = std::mem::take(&mut *received);
                drop(received);
                self.on_end(&line, proxy);
            }
            // A client that sends on does not wait for its answer.
            Some(line_end) if line_end + 1 < received.len() => {
                self.reject(Answer::Failed, "data after first line", proxy);
            }
            Some(_) => {
                let line = std::mem::take(&mut *received);
                drop(received);
                self.on_line(&line, proxy);
            }
            None if received.len() > MAX_FRAMED_LINE_BYTES => {
                self.reject(Answer::Failed, "overlong lines", proxy);
            }
            None => {}
        }
    }

    /// The client has ended its sending, and may still read. No session starts for it, as it may have gone.
    fn on_end(&self, received: &[u8], proxy: &mut Proxy) {
        let is_ping = well_formed_line(received) == Some(PING);
        let is_healthy = is_ping && !proxy.startup_gate.is_closed() && proxy.is_ready();
        self.reject(health_answer(is_healthy), "clients closed before answer", proxy);
    }

    fn on_line(&self, line: &[u8], proxy: &mut Proxy) {
        let line = well_formed_line(line);
        if line == Some(PING) {
            return self.on_ping(proxy);
        }
        match line.and_then(|line| OpenRequest::parse(line, &proxy.classes)) {
            Some(request) => self.on_request(request, proxy),
            None => self.reject(Answer::Failed, "malformed first lines", proxy),
        }
    }

    fn on_ping(&self, proxy: &mut Proxy) {
        self.awaits_pong.set(true);
        self.has_sent_ping.set(true);
        if !proxy.startup_gate.is_closed() {
            self.answer_ping(proxy.is_ready());
        }
        proxy.on_pending_connection_active(self);
    }

    fn on_request(&self, request: OpenRequest, proxy: &mut Proxy) {
        if proxy.executor.is_out_of_descriptors() {
            return self.reject(Answer::Rejected, "rejected for lack of descriptors", proxy);
        }
        if proxy.rejects_new_sessions() {
            return self.reject(Answer::Rejected, "rejected at shutdown", proxy);
        }
        // Servers answer the second request of an id with an error, which would count against their health.
        let is_duplicate = proxy.executor.sessions.has_request_id(request.id)
            || !proxy.listener.recent_request_ids.insert(request.id);
        if is_duplicate {
            return self.reject(Answer::Failed, "duplicate request ids", proxy);
        }
        proxy.listener.pending.remove(self);
        proxy.open_session(request, self.socket.clone());
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
    pub fn answer_ping(&self, is_healthy: bool) {
        if self.awaits_pong.take() {
            self.socket.send_line(&health_answer(is_healthy).line());
        }
    }

    /// Sends the final answer, counts the reason, and closes the connection behind the answer.
    pub fn reject(&self, answer: Answer, reason: &'static str, proxy: &mut Proxy) {
        proxy.executor.metrics.warn(reason);
        self.socket.send_line(&answer.line());
        proxy.listener.pending.remove(self);
        proxy.executor.close_after_final_answer(self.socket.clone());
    }
}

fn health_answer(is_healthy: bool) -> Answer {
    if is_healthy {
        Answer::Healthy
    } else {
        Answer::Failed
    }
}
