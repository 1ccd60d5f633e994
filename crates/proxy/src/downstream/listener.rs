//! Accepts connections, and bounds those that have yet to send their first line in number and in time.

use crate::downstream::pending_connection::PendingConnection;
use crate::downstream::pending_connection_table::PendingConnectionTable;
use crate::downstream::recent_request_ids::RecentRequestIds;
use crate::lifecycle::serve_error::ServeError;
use crate::net::line::Answer;
use crate::net::socket::Socket;
use crate::proxy::Proxy;
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use shelfgrade::time::Timestamp;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Connections waiting to be accepted: all clients may come at once. The system caps it.
const BACKLOG: i32 = 4096;
/// Connections accepted before established sessions have their turn.
const MAX_ACCEPTS_PER_TURN: usize = 32;
/// Failures in a row after which accepting pauses. A single one may be that of one connection, or be over with the next
/// call.
const MAX_ACCEPT_FAILURES: usize = 16;
/// The pause, so that the loop does not spin while descriptors have run out: short against any request timeout.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// How long a connection may take to send its first line; three seconds after connecting it is owed an answer or a
/// close.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(2000);

/// The listening socket, and the connections that have yet to send their first line.
pub struct Listener {
    listener: TcpListener,
    registration: RegistrationToken,
    is_paused: bool,
    queue_is_empty: bool,
    /// Connections that have yet to send their first line.
    pub pending: PendingConnectionTable,
    /// The request ids that came of late.
    pub recent_request_ids: RecentRequestIds,
}

impl Listener {
    /// Listens, and has the loop accept connections.
    ///
    /// # Errors
    ///
    /// The address is not this machine's, or something else listens there.
    pub fn open(at: SocketAddr, handle: &LoopHandle<'static, Proxy>) -> Result<Self, ServeError> {
        let cannot_listen = |source| ServeError::Listen { at, source };
        let listener = listen(at).map_err(cannot_listen)?;
        let watched = listener.try_clone().map_err(cannot_listen)?;
        let source = Generic::new(watched, Interest::READ, Mode::Level);
        let registration = handle.insert_source(source, |_, _, proxy| {
            proxy.accept();
            Ok(PostAction::Continue)
        });
        let registration = registration.map_err(|error| cannot_listen(io::Error::other(error.error)))?;
        Ok(Listener {
            listener,
            registration,
            is_paused: false,
            queue_is_empty: true,
            pending: PendingConnectionTable::default(),
            recent_request_ids: RecentRequestIds::default(),
        })
    }

    /// The address that it listens on.
    ///
    /// # Errors
    ///
    /// The system does not tell it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Whether the last accept found no connection in the system's queue.
    pub fn queue_is_empty(&self) -> bool {
        self.queue_is_empty
    }
}

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket =
        socket2::Socket::new(socket2::Domain::for_address(at), socket2::Type::STREAM.cloexec(), None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

impl Proxy {
    /// Accepts the connections in the system's queue, up to the limit for one turn.
    pub fn accept(&mut self) {
        self.listener.queue_is_empty = false;
        let mut failures = 0;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            match self.listener.listener.accept() {
                Ok((stream, _)) => {
                    failures = 0;
                    match Socket::new(stream) {
                        Ok(socket) => self.add_pending_connection(socket),
                        Err(error) => log::warn!("a client's socket: {error}"),
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.listener.queue_is_empty = true;
                    return;
                }
                Err(error) => {
                    failures += 1;
                    if failures == MAX_ACCEPT_FAILURES {
                        return self.pause_accepting(&error);
                    }
                }
            }
        }
    }

    fn pause_accepting(&mut self, error: &io::Error) {
        if std::mem::replace(&mut self.listener.is_paused, true) {
            return;
        }
        self.executor.metrics.warn("accept paused");
        log::debug!("accept: {error}");
        let _ = self.executor.handle.disable(&self.listener.registration);
        let timer = Timer::from_duration(ACCEPT_PAUSE);
        let set = self.executor.handle.insert_source(timer, |_, _, proxy| proxy.resume_accepting());
        self.executor.metrics.invariant(set.is_ok(), "a timer can be set");
    }

    /// Accepts again after a pause. If the loop cannot watch the listener yet, accepting goes on by this timer.
    fn resume_accepting(&mut self) -> TimeoutAction {
        let watched = self.executor.handle.enable(&self.listener.registration).is_ok();
        self.listener.is_paused = !watched;
        self.accept();
        if watched {
            TimeoutAction::Drop
        } else {
            TimeoutAction::ToDuration(ACCEPT_PAUSE)
        }
    }

    fn add_pending_connection(&mut self, client: Socket<Proxy>) {
        self.executor.metrics.count("connections accepted");
        let number = self.listener.pending.next_number();
        let connection = PendingConnection::new(number, client, self.now());
        let weak = Rc::downgrade(&connection);
        let watched = connection.socket.watch(&self.executor.handle, move |proxy| {
            weak.upgrade().inspect(|connection| connection.on_ready(proxy));
        });
        if let Err(error) = watched {
            log::warn!("a client's connection cannot be watched: {error}");
            connection.socket.send_line(&Answer::Rejected.line());
            return self.executor.close_after_final_answer(connection.socket.clone());
        }
        self.listener.pending.insert(connection.clone());
        // Most clients have sent their first line by now, and need no place among those that are pending.
        connection.on_ready(self);
        self.evict_pending_connections();
    }

    /// Closes connections until no more are held than descriptors are left for: lingering ones first, then the least
    /// recently active that have yet to send their first line.
    pub fn evict_pending_connections(&mut self) {
        while self.listener.pending.len() + self.executor.lingering.len()
            > self.executor.max_pending_connections()
        {
            if self.executor.lingering.close_oldest() {
                continue;
            }
            let Some(oldest) = self.listener.pending.oldest() else { return };
            oldest.on_ready(self);
            if self.listener.pending.contains(&oldest) {
                oldest.reject(Answer::Rejected, "pending connections evicted", self);
            }
        }
    }

    /// A pending connection has sent a health check, which counts as activity.
    pub fn on_pending_connection_active(&mut self, connection: &PendingConnection) {
        let (number, now) = (self.listener.pending.next_number(), self.now());
        if let Some(active) = self.listener.pending.remove(connection) {
            active.number.set(number);
            active.last_active.set(now);
            self.listener.pending.insert(active);
        }
    }

    /// Called with each tick: closes connections that have not sent their first line in time. One that waits for the
    /// answer to its health check is left.
    pub fn close_silent_connections(&mut self) {
        let now = self.now();
        let timed_out = |connection: &PendingConnection, now: Timestamp| {
            now.since(connection.last_active.get()) > FIRST_LINE_TIMEOUT
        };
        let silent = self.listener.pending.values().take_while(|connection| timed_out(connection, now));
        let silent: Vec<_> = silent.filter(|connection| !connection.awaits_pong()).cloned().collect();
        for connection in silent {
            // Its first line may not have been read yet.
            connection.on_ready(self);
            if timed_out(&connection, self.now()) && self.listener.pending.contains(&connection) {
                connection.reject(Answer::Failed, "first line timeouts", self);
            }
        }
    }
}
