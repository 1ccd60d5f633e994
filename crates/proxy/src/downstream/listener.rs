//! Accepts connections, and bounds those that have yet to send their first line in number and in time.

use crate::downstream::pending_connection::{PendingConnection, PendingConnectionOwner};
use crate::downstream::pending_connection_table::PendingConnectionTable;
use crate::downstream::recent_request_ids::RecentRequestIds;
use crate::net::line::ProxyResponse;
use crate::net::socket::Socket;
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

/// Who owns a listener, and bounds its pending connections.
pub trait ListenerOwner: PendingConnectionOwner {
    /// The listener.
    fn listener(&mut self) -> &mut Listener<Self>;
    /// How many connections without a first line there are descriptors for, lingering ones included.
    fn max_pending_connections(&self) -> usize;
}

/// The listening socket, and the connections that have yet to send their first line.
pub struct Listener<T: ListenerOwner> {
    listener: TcpListener,
    registration: RegistrationToken,
    is_paused: bool,
    queue_is_empty: bool,
    /// Connections that have yet to send their first line.
    pub pending: PendingConnectionTable<T>,
    /// The request ids that came of late.
    pub recent_request_ids: RecentRequestIds,
}

impl<T: ListenerOwner> Listener<T> {
    /// Listens, and has the loop accept connections.
    ///
    /// # Errors
    ///
    /// The address is not this machine's, or something else listens there.
    pub fn open(at: SocketAddr, handle: &LoopHandle<'static, T>) -> io::Result<Self> {
        let listener = listen(at)?;
        let source = Generic::new(listener.try_clone()?, Interest::READ, Mode::Level);
        let registration = handle.insert_source(source, |_, _, owner| {
            Self::accept(owner);
            Ok(PostAction::Continue)
        });
        Ok(Listener {
            listener,
            registration: registration.map_err(|error| io::Error::other(error.error))?,
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

    /// Accepts the connections in the system's queue, up to the limit for one turn.
    pub fn accept(owner: &mut T) {
        owner.listener().queue_is_empty = false;
        let mut failures = 0;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            match owner.listener().listener.accept() {
                Ok((stream, _)) => {
                    failures = 0;
                    match Socket::new(stream) {
                        Ok(socket) => Self::add_connection(socket, owner),
                        Err(error) => log::warn!("a client's socket: {error}"),
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    owner.listener().queue_is_empty = true;
                    return;
                }
                Err(error) => {
                    failures += 1;
                    if failures == MAX_ACCEPT_FAILURES {
                        return Self::pause(&error, owner);
                    }
                }
            }
        }
    }

    fn pause(error: &io::Error, owner: &mut T) {
        if std::mem::replace(&mut owner.listener().is_paused, true) {
            return;
        }
        owner.metrics().count_and_warn("accept paused");
        log::debug!("accept: {error}");
        let handle = owner.handle();
        let _ = handle.disable(&owner.listener().registration);
        let timer = Timer::from_duration(ACCEPT_PAUSE);
        let set = handle.insert_source(timer, |_, _, owner| Self::resume(owner));
        owner.metrics().check_invariant(set.is_ok(), "a timer can be set");
    }

    /// Accepts again after a pause. If the loop cannot watch the listener yet, accepting goes on by this timer.
    fn resume(owner: &mut T) -> TimeoutAction {
        let watched = owner.handle().enable(&owner.listener().registration).is_ok();
        owner.listener().is_paused = !watched;
        Self::accept(owner);
        if watched {
            TimeoutAction::Drop
        } else {
            TimeoutAction::ToDuration(ACCEPT_PAUSE)
        }
    }

    fn add_connection(client: Socket<T>, owner: &mut T) {
        owner.metrics().count("connections accepted");
        let number = owner.pending_connections().next_number();
        let connection = PendingConnection::new(number, client, owner.now());
        let weak = Rc::downgrade(&connection);
        let watched = connection.socket.watch(&owner.handle(), move |owner| {
            weak.upgrade().inspect(|connection| connection.on_ready(owner));
        });
        if let Err(error) = watched {
            log::warn!("a client's connection cannot be watched: {error}");
            connection.socket.send_line(&ProxyResponse::Rejected.line());
            let now = owner.now();
            return owner.lingering().close(connection.socket.clone(), now);
        }
        owner.pending_connections().insert(connection.clone());
        // Most clients have sent their first line by now, and need no place among those that are pending.
        connection.on_ready(owner);
        Self::evict_connections(owner);
    }

    /// Closes connections until no more are held than descriptors are left for: lingering ones first, then the least
    /// recently active that have yet to send their first line.
    pub fn evict_connections(owner: &mut T) {
        while owner.pending_connections().len() + owner.lingering().len() > owner.max_pending_connections() {
            if owner.lingering().close_oldest() {
                continue;
            }
            let Some(oldest) = owner.pending_connections().oldest() else { return };
            oldest.on_ready(owner);
            if owner.pending_connections().contains(&oldest) {
                oldest.reject(ProxyResponse::Rejected, "pending connections evicted", owner);
            }
        }
    }

    /// Called with each tick: closes connections that have not sent their first line in time. One that waits for the
    /// answer to its health check is left.
    pub fn expire_pending_connections(owner: &mut T) {
        let now = owner.now();
        let timed_out = |connection: &PendingConnection<T>, now: Timestamp| {
            now.since(connection.last_active.get()) > FIRST_LINE_TIMEOUT
        };
        let pending = owner.pending_connections().values();
        let silent = pending.take_while(|connection| timed_out(connection, now));
        let silent: Vec<_> = silent.filter(|connection| !connection.awaits_pong()).cloned().collect();
        for connection in silent {
            // Its first line may not have been read yet.
            connection.on_ready(owner);
            if timed_out(&connection, owner.now()) && owner.pending_connections().contains(&connection) {
                connection.reject(ProxyResponse::Failed, "first line timeouts", owner);
            }
        }
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
