//! The door: accepts connections, and keeps those that have yet to send their first line.

use crate::downstream::pending_connection::PendingConnection;
use crate::lifecycle::serve_error::ServeError;
use crate::net::socket::Socket;
use crate::proxy::Proxy;
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

pub struct Listener {
    listener: TcpListener,
    listening: RegistrationToken,
    /// Accepting waits for a moment after failures in a row.
    paused: bool,
    /// The last call found nobody in the system's queue.
    queue_is_empty: bool,
    /// The one not heard of for longest comes first.
    pending_connections: BTreeMap<u64, Rc<PendingConnection>>,
    last_number: u64,
    /// The last ids that sessions came with, in their order and by their value.
    ids: (VecDeque<u64>, BTreeSet<u64>),
}

impl Listener {
    pub fn open(at: SocketAddr, handle: &LoopHandle<'static, Proxy>) -> Result<Self, ServeError> {
        let cannot = |source| ServeError::Listen { at, source };
        let listener = listen(at).map_err(cannot)?;
        let source = Generic::new(listener.try_clone().map_err(cannot)?, Interest::READ, Mode::Level);
        let listening = handle.insert_source(source, |_, _, proxy| {
            proxy.accept();
            Ok(PostAction::Continue)
        });
        let listening = listening.map_err(|error| cannot(std::io::Error::other(error.error)))?;
        Ok(Listener {
            listener,
            listening,
            paused: false,
            queue_is_empty: true,
            pending_connections: BTreeMap::new(),
            last_number: 0,
            ids: Default::default(),
        })
    }

    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Whether nobody was left in the system's queue when it was last looked into.
    pub fn queue_is_empty(&self) -> bool {
        self.queue_is_empty
    }

    pub fn holds(&self, pending_connection: &PendingConnection) -> bool {
        self.pending_connections.contains_key(&pending_connection.number.get())
    }

    pub fn forget(&mut self, pending_connection: &PendingConnection) {
        self.pending_connections.remove(&pending_connection.number.get());
    }

    /// Whether this id, which is to be new with every connection, is not open and has not come of late. Guards
    /// against one id for two: servers answer the second with an error, which would count against their health.
    pub fn is_new(&mut self, id: u64, open: &BTreeSet<u64>) -> bool {
        // Some minutes of clients that come again as soon as they are told off.
        const REMEMBERED: usize = 4096;
        let (order, known) = &mut self.ids;
        if open.contains(&id) || !known.insert(id) {
            return false;
        }
        order.push_back(id);
        if order.len() > REMEMBERED {
            known.remove(&order.pop_front().unwrap_or(id));
        }
        true
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub fn pending_connections(&self) -> impl Iterator<Item = &Rc<PendingConnection>> {
        self.pending_connections.values()
    }

    fn oldest(&self) -> Option<Rc<PendingConnection>> {
        self.pending_connections.values().next().cloned()
    }
}

fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    // Room for all clients to come at once; the system caps it.
    const BACKLOG: i32 = 4096;
    let socket =
        socket2::Socket::new(socket2::Domain::for_address(at), socket2::Type::STREAM.cloexec(), None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

impl Proxy {
    pub fn accept(&mut self) {
        // Guards against a storm of clients starving those that are there.
        const AT_ONCE: usize = 32;
        // A failure may be that of one connection, or be over with the next call; one run in 65,000 is as long where
        // half of the calls fail.
        const FAILURES_IN_A_ROW: usize = 16;
        self.listener.queue_is_empty = false;
        let mut failures = 0;
        for _ in 0..AT_ONCE {
            match self.listener.listener.accept() {
                Ok((stream, _)) => {
                    failures = 0;
                    match Socket::new(stream) {
                        Ok(socket) => self.take_in(socket),
                        Err(error) => log::warn!("a client's socket: {error}"),
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.listener.queue_is_empty = true;
                    return;
                }
                Err(error) => {
                    failures += 1;
                    if failures == FAILURES_IN_A_ROW {
                        return self.accept_later(&error);
                    }
                }
            }
        }
    }

    /// Guards against spinning where descriptors have run out all the same.
    fn accept_later(&mut self, error: &std::io::Error) {
        // Short against any request timeout, long against the calls before it.
        const PAUSE: Duration = Duration::from_millis(10);
        if std::mem::replace(&mut self.listener.paused, true) {
            return;
        }
        self.executor.metrics.warn("accept paused");
        log::debug!("accept: {error}");
        let _ = self.executor.handle.disable(&self.listener.listening);
        let again = self.executor.handle.insert_source(Timer::from_duration(PAUSE), |_, _, proxy| {
            // Guards against a listener that is never watched again: it is asked by hand until it can be.
            let watched = proxy.executor.handle.enable(&proxy.listener.listening).is_ok();
            proxy.listener.paused = !watched;
            proxy.accept();
            if watched {
                TimeoutAction::Drop
            } else {
                TimeoutAction::ToDuration(PAUSE)
            }
        });
        self.executor.metrics.invariant(again.is_ok(), "a timer can be set");
    }

    fn take_in(&mut self, client: Socket<Proxy>) {
        self.executor.metrics.count("connections accepted");
        let pending_connection = PendingConnection::new(self.listener.next_number(), client, self.now());
        let weak = Rc::downgrade(&pending_connection);
        let watched = pending_connection.socket.watch(&self.executor.handle, move |proxy| {
            weak.upgrade().inspect(|pending_connection| pending_connection.ready(proxy));
        });
        if let Err(error) = watched {
            log::warn!("a client's connection cannot be watched: {error}");
            pending_connection.socket.tell("BUSY");
            return self.executor.close_after_last_line(pending_connection.socket.clone());
        }
        self.listener.pending_connections.insert(pending_connection.number.get(), pending_connection.clone());
        // Most have sent their line by now, and need no place among the callers.
        pending_connection.ready(self);
        self.make_room();
    }

    /// Guards against connections that say nothing taking the descriptors of those that do: past what is left
    /// for them, the one not heard of for longest goes.
    pub fn make_room(&mut self) {
        while self.listener.pending_connections.len() + self.executor.lingering.count()
            > self.executor.pending_connection_limit()
        {
            if self.executor.lingering.close_oldest() {
                continue;
            }
            let Some(oldest) = self.listener.oldest() else { return };
            oldest.ready(self);
            if self.listener.holds(&oldest) {
                oldest.refuse("BUSY", "pending connections evicted", self);
            }
        }
    }

    /// The caller asked for a sign of life: it counts as one that has just come.
    pub fn heard_of(&mut self, pending_connection: &PendingConnection) {
        let (number, now) = (self.listener.next_number(), self.now());
        if let Some(me) = self.listener.pending_connections.remove(&pending_connection.number.replace(number))
        {
            pending_connection.since.set(now);
            self.listener.pending_connections.insert(number, me);
        }
    }

    /// Puts out who has sent no first line in time.
    pub fn sweep_pending_connections(&mut self) {
        // A client sends it at once; three seconds after connecting it is owed an answer or a close.
        const FIRST_LINE_WITHIN: Duration = Duration::from_millis(2000);
        let now = self.now();
        let is_late = |pending_connection: &&Rc<PendingConnection>| {
            now.since(pending_connection.since.get()) > FIRST_LINE_WITHIN
        };
        // Guards against putting out a front that has asked for a sign of life and waits for it.
        let late = self
            .listener
            .pending_connections()
            .take_while(is_late)
            .filter(|pending_connection| !pending_connection.waits_for_sign());
        for pending_connection in late.cloned().collect::<Vec<_>>() {
            // Its line may lie there.
            pending_connection.ready(self);
            let is_late = self.now().since(pending_connection.since.get()) > FIRST_LINE_WITHIN;
            if is_late && self.listener.holds(&pending_connection) {
                pending_connection.refuse("ERR", "first line timeouts", self);
            }
        }
    }
}
