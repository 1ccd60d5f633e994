//! An attempt to establish a session at a server: its connection, its timeout, and its progress.

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

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
enum Phase {
    Connecting,
    SendingRequest,
    AwaitingResponse,
    Established,
}

/// An attempt, from connecting until its connection is closed.
pub struct Attempt {
    pub server: Rc<Server<Proxy>>,
    /// The connection to that server.
    pub socket: Socket<Proxy>,
    phase: Cell<Phase>,
    /// The bytes of the request that are not written yet.
    request: RefCell<RingBuffer>,
    /// Splits what the server sends into lines.
    pub decoder: RefCell<LineDecoder>,
    deadline: Timestamp,
    timer: Cell<Option<(LoopHandle<'static, Proxy>, RegistrationToken)>>,
    /// The outcome if the server closes the connection now, as determined by the last line that it sent.
    pub outcome_if_closed: Cell<AttemptOutcome>,
}

impl Attempt {
    /// Starts to connect to the server. The timeout covers connecting and waiting for the response.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened or registered, or the connection attempt fails immediately.
    pub fn start(
        session: &Rc<Session>,
        server: Rc<Server<Proxy>>,
        timeout: Duration,
        executor: &Executor,
    ) -> io::Result<Rc<Self>> {
        let deadline = executor.clock.now() + timeout;
        let socket = Socket::connect(server.address.get())?;
        let weak = session.weak_self.clone();
        socket.register(&executor.handle, move |proxy| {
            weak.upgrade().inspect(|session| session.on_socket_event(proxy));
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
        // A restored session has only this one attempt, so its connection may take the whole timeout.
        let connect_timeout = executor.dial_timeout.filter(|_| !session.is_restored());
        let connect_timeout = connect_timeout.map_or(timeout, |connect_timeout| connect_timeout.min(timeout));
        attempt.set_timeout(connect_timeout, session, &executor.handle);
        Ok(attempt)
    }

    /// Whether the connection is not established yet.
    pub fn is_connecting(&self) -> bool {
        self.phase.get() == Phase::Connecting
    }

    /// Whether the server has accepted the session.
    pub fn is_established(&self) -> bool {
        self.phase.get() == Phase::Established
    }

    /// Whether the server has sent no incomplete line.
    pub fn is_at_line_start(&self) -> bool {
        self.decoder.borrow().is_at_line_start()
    }

    /// Drops the incomplete line of the server.
    pub fn discard_partial_line(&self) {
        *self.decoder.borrow_mut() = LineDecoder::default();
    }

    /// Sends the session's request over the established connection, and sets the timeout for the response.
    pub fn send_request(self: &Rc<Self>, session: &Session, proxy: &Proxy) {
        let line = session.open_request.to_server_line(self.deadline.since(proxy.now()));
        let mut request = RingBuffer::new(line.len());
        request.push(line.as_bytes());
        *self.request.borrow_mut() = request;
        self.phase.set(Phase::SendingRequest);
        self.set_timeout(self.deadline.since(proxy.now()), session, &proxy.executor.handle);
    }

    /// Writes as much as possible of what is left of the request.
    pub fn flush_request(&self) {
        if self.phase.get() != Phase::SendingRequest {
            return;
        }
        while self.socket.write(&mut self.request.borrow_mut()) > 0 {}
        if self.request.borrow().is_empty() && self.socket.peer_end.get().is_none() {
            self.phase.set(Phase::AwaitingResponse);
        }
    }

    /// Marks the attempt as established, after the server has accepted the session.
    pub fn establish(&self) {
        self.phase.set(Phase::Established);
        self.cancel_timeout();
    }

    /// Returns `Unreachable` if the request has not been written completely, as the server cannot have run it then;
    /// otherwise returns `outcome`.
    pub fn unreachable_or(&self, outcome: AttemptOutcome) -> AttemptOutcome {
        if self.phase.get() < Phase::AwaitingResponse {
            AttemptOutcome::Unreachable
        } else {
            outcome
        }
    }

    /// Sets the timeout, replacing the previous one.
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
