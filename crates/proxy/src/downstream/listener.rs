//! Accepts connections, and limits the number of those that have not sent their first line yet, and the time they
//! take.

use crate::downstream::pending_connection::{PendingConnection, PendingConnectionOwner};
use crate::downstream::pending_connection_table::PendingConnectionTable;
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

/// Length of the accept queue, as all clients may connect at once. The system may cap it.
const BACKLOG: i32 = 4096;
/// Connections accepted per event, so that accepting does not delay the I/O of established sessions.
const MAX_ACCEPTS_PER_EVENT: usize = 32;
/// Consecutive failures after which accepting is paused. A single failure may concern only one connection, or be gone
/// with the next call.
const MAX_ACCEPT_FAILURES: usize = 16;
/// Duration of a pause, which keeps the event loop from spinning while descriptors are exhausted. It is short compared
/// with any request timeout.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// How long a connection may take to send its first line. It must receive a response or be closed within 3 s of
/// connecting.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(2000);

/// The owner of a listener, which limits the number of pending connections.
pub trait ListenerOwner: PendingConnectionOwner {
    fn listener(&mut self) -> &mut Listener<Self>;
    /// The maximum number of pending and lingering connections that the descriptors allow.
    fn max_pending_connections(&self) -> usize;
}

/// The listening socket, and the connections that have not sent their first line yet.
pub struct Listener<T: ListenerOwner> {
    listener: TcpListener,
    registration: RegistrationToken,
    is_paused: bool,
    queue_is_empty: bool,
    /// Connections that have not sent their first line yet.
    pub pending: PendingConnectionTable<T>,
}

impl<T: ListenerOwner> Listener<T> {
    /// Binds the listening socket and registers it with the event loop, which accepts connections from then on.
    ///
    /// # Errors
    ///
    /// The address is not one of this machine, or it is already in use.
    pub fn open(address: SocketAddr, handle: &LoopHandle<'static, T>) -> io::Result<Self> {
        let listener = listen(address)?;
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
        })
    }

    /// The local address of the listening socket.
    ///
    /// # Errors
    ///
    /// The system call fails.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Whether the accept queue was empty at the last call of [`Listener::accept`].
    pub fn queue_is_empty(&self) -> bool {
        self.queue_is_empty
    }

    /// Accepts the connections in the system's accept queue, up to the limit per event.
    pub fn accept(owner: &mut T) {
        owner.listener().queue_is_empty = false;
        let mut failures = 0;
        for _ in 0..MAX_ACCEPTS_PER_EVENT {
            match owner.listener().listener.accept() {
                Ok((stream, _)) => {
                    failures = 0;
                    match Socket::new(stream) {
                        Ok(socket) => Self::add_connection(socket, owner),
                        Err(error) => log::warn!("cannot set up client socket: {error}"),
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
        let registered = handle.insert_source(timer, |_, _, owner| Self::resume(owner));
        owner.metrics().check_invariant(registered.is_ok(), "a timer can be set");
    }

    /// Resumes accepting after a pause. If the event loop cannot register the listener yet, this timer is repeated and
    /// accepts connections meanwhile.
    fn resume(owner: &mut T) -> TimeoutAction {
        let is_registered = owner.handle().enable(&owner.listener().registration).is_ok();
        owner.listener().is_paused = !is_registered;
        Self::accept(owner);
        if is_registered {
            TimeoutAction::Drop
        } else {
            TimeoutAction::ToDuration(ACCEPT_PAUSE)
        }
    }

    fn add_connection(client: Socket<T>, owner: &mut T) {
        owner.metrics().count("connections accepted");
        let sequence = owner.pending_connections().next_sequence();
        let connection = PendingConnection::new(sequence, client, owner.now());
        let weak = Rc::downgrade(&connection);
        let registered = connection.socket.register(&owner.handle(), move |owner| {
            weak.upgrade().inspect(|connection| connection.on_ready(owner));
        });
        if let Err(error) = registered {
            log::warn!("cannot register client connection with the event loop: {error}");
            connection.socket.send_line(&ProxyResponse::Rejected.line());
            let now = owner.now();
            return owner.lingering().close(connection.socket.clone(), now);
        }
        owner.pending_connections().insert(connection.clone());
        // Most clients have sent their first line by now. Reading it first keeps their connections from causing
        // evictions.
        connection.on_ready(owner);
        Self::evict_pending_connections(owner);
    }

    /// Closes connections until the rest fit into the descriptor budget: lingering ones first, then the least recently
    /// active pending ones.
    pub fn evict_pending_connections(owner: &mut T) {
        while owner.pending_connections().len() + owner.lingering().len() > owner.max_pending_connections() {
            if owner.lingering().close_oldest() {
                continue;
            }
            let Some(evicted) = owner.pending_connections().least_recently_active() else { return };
            // Its first line may have arrived and not been read yet.
            evicted.on_ready(owner);
            if owner.pending_connections().contains(&evicted) {
                evicted.reject(ProxyResponse::Rejected, "pending connections evicted", owner);
            }
        }
    }

    /// Closes connections that have not sent their first line in time, except those that wait for a health check
    /// response; called on each tick.
    pub fn expire_pending_connections(owner: &mut T) {
        let now = owner.now();
        let has_timed_out = |connection: &PendingConnection<T>, now: Timestamp| {
            now.since(connection.last_active.get()) > FIRST_LINE_TIMEOUT
        };
        let pending = owner.pending_connections().values();
        let expired = pending.take_while(|connection| has_timed_out(connection, now));
        let expired: Vec<_> = expired.filter(|connection| !connection.awaits_pong()).cloned().collect();
        for connection in expired {
            // Its first line may have arrived and not been read yet.
            connection.on_ready(owner);
            if has_timed_out(&connection, owner.now()) && owner.pending_connections().contains(&connection) {
                connection.reject(ProxyResponse::Failed, "first line timeouts", owner);
            }
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket =
        socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM.cloexec(), None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
