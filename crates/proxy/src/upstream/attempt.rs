//! One attempt of a session at a server: its connection, its timeout, and how far it has come.

use crate::executor::Executor;
use crate::net::line::LineDecoder;
use crate::net::ring_buffer::RingBuffer;
use crate::net::socket::Socket;
use crate::proxy::Proxy;
use crate::session::Session;
use crate::upstream::server::Server;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{LoopHandle, RegistrationToken};
use shelfgrade::host::AttemptOutcome;
use shelfgrade::time::Timestamp;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
enum Phase {
    Connecting,
    SendingRequest,
    AwaitingReply,
    Established,
}

/// An attempt, from the dial to the end of its connection.
pub struct Attempt {
    /// The server that it is for.
    pub server: Rc<Server<Proxy>>,
    /// The connection to that server.
    pub socket: Socket<Proxy>,
    phase: Cell<Phase>,
    /// The bytes of the first line that are still to be written.
    request: RefCell<RingBuffer>,
    /// Splits what the server sends into lines.
    pub decoder: RefCell<LineDecoder>,
    deadline: Timestamp,
    timer: Cell<Option<(LoopHandle<'static, Proxy>, RegistrationToken)>>,
    /// The outcome if the server closes the connection now, by the last line that it sent.
    pub outcome_if_closed: Cell<AttemptOutcome>,
}

impl Attempt {
    /// Dials the server. The timeout covers the connection and the wait for the first answer.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened or watched, or the connection is refused at once.
    pub fn start(
        session: &Rc<Session>,
        server: Rc<Server<Proxy>>,
        timeout: Duration,
        executor: &Executor,
    ) -> io::Result<Rc<Self>> {
        let deadline = executor.clock.now() + timeout;
        let socket = Socket::connect(server.address.get())?;
        let weak = session.weak_self.clone();
        socket.watch(&executor.handle, move |proxy| {
            weak.upgrade().inspect(|session| session.on_ready(proxy));
        })?;
        let attempt = Rc::new(Attempt {
            server,
            socket,
            phase: Cell::new(Phase::Connecting),
            request: RefCell::new(RingBuffer::new(1)),
            decoder: RefCell::default(),
            deadline,
            timer: Cell::default(),
            outcome_if_closed: Cell::new(AttemptOutcome::ConnectionLost),
        });
        // A restored session has only this one attempt.
        let dial_timeout = executor.dial_timeout.filter(|_| !session.is_restored());
        let dial_timeout = dial_timeout.map_or(timeout, |dial| dial.min(timeout));
        attempt.set_timeout(dial_timeout, session, &executor.handle);
        Ok(attempt)
    }

    /// Whether the connection is still to come up.
    pub fn is_connecting(&self) -> bool {
        self.phase.get() == Phase::Connecting
    }

    /// Whether the server has accepted the session.
    pub fn is_established(&self) -> bool {
        self.phase.get() == Phase::Established
    }

    /// Whether the server has sent no part of a line that it has not ended.
    pub fn is_at_line_start(&self) -> bool {
        self.decoder.borrow().is_at_line_start()
    }

    /// Drops the part of a line that the server has begun.
    pub fn discard_partial_line(&self) {
        *self.decoder.borrow_mut() = LineDecoder::default();
    }

    /// The connection is up: sends the session's first line, and waits for the answer until the deadline.
    pub fn send_request(self: &Rc<Self>, session: &Session, proxy: &Proxy) {
        let line = session.open_request.to_server_line(self.deadline.since(proxy.now()));
        let mut request = RingBuffer::new(line.len());
        request.push(line.as_bytes());
        *self.request.borrow_mut() = request;
        self.phase.set(Phase::SendingRequest);
        self.set_timeout(self.deadline.since(proxy.now()), session, &proxy.executor.handle);
    }

    /// Writes what is left of the first line, as far as the system takes it.
    pub fn flush_request(&self) {
        if self.phase.get() != Phase::SendingRequest {
            return;
        }
        while self.socket.write(&mut self.request.borrow_mut()) > 0 {}
        if self.request.borrow().is_empty() && self.socket.peer_end.get().is_none() {
            self.phase.set(Phase::AwaitingReply);
        }
    }

    /// The server has accepted the session.
    pub fn establish(&self) {
        self.phase.set(Phase::Established);
        self.cancel_timeout();
    }

    /// `Unreachable` before the last byte of the first line is written, as nothing can have run until then; otherwise
    /// `outcome`.
    pub fn unreachable_or(&self, outcome: AttemptOutcome) -> AttemptOutcome {
        if self.phase.get() < Phase::AwaitingReply {
            AttemptOutcome::Unreachable
        } else {
            outcome
        }
    }

    /// Replaces the timeout that was set before.
    fn set_timeout(
        self: &Rc<Self>,
        timeout: Duration,
        session: &Session,
        handle: &LoopHandle<'static, Proxy>,
    ) {
        self.cancel_timeout();
        let (session, attempt) = (session.weak_self.clone(), Rc::downgrade(self));
        let timer = Timer::from_duration(timeout);
        let token = handle.insert_source(timer, move |_, _, proxy| {
            if let (Some(session), Some(attempt)) = (session.upgrade(), attempt.upgrade()) {
                attempt.timer.take();
                session.on_attempt_timeout(&attempt, proxy);
            }
            TimeoutAction::Drop
        });
        self.timer.set(token.ok().map(|token| (handle.clone(), token)));
    }

    fn cancel_timeout(&self) {
        if let Some((handle, token)) = self.timer.take() {
            handle.remove(token);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.cancel_timeout();
    }
}
