//! A non-blocking TCP connection that an event loop watches until it is dropped.

use crate::net::ring_buffer::RingBuffer;
use crate::net::transient::is_shortage;
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Failures of one call in a row after which it is left for later.
const MAX_FAILURES: usize = 16;
/// When it is called again then.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// Bytes that are read at once in order to be dropped.
const DISCARD_BYTES: usize = 4096;

/// How a peer ended its sending, or how we end ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// In order, after the last byte.
    Fin,
    /// With a reset.
    Reset,
}

type Callback<T> = Rc<dyn Fn(&mut T)>;

/// A TCP connection. `T` is the event loop's data, which callbacks are given.
pub struct Socket<T: 'static> {
    stream: Rc<TcpStream>,
    watch: Cell<Option<(LoopHandle<'static, T>, RegistrationToken)>>,
    /// Called when the socket may have become readable or writable.
    on_ready: Rc<RefCell<Callback<T>>>,
    /// Lines of the proxy's own that the system has yet to take.
    unsent_lines: RefCell<Vec<u8>>,
    /// How connecting has failed.
    connect_error: Cell<Option<ErrorKind>>,
    /// A timer is set that calls `on_ready`.
    retry_is_scheduled: Rc<Cell<bool>>,
    /// How the peer has ended, however that was noticed.
    pub peer_end: Cell<Option<End>>,
    /// How our side has ended, or is to end after its last byte.
    local_end: Cell<Option<End>>,
    /// The end of our sending has been handed to the system.
    is_shut_down: Cell<bool>,
}

impl<T> Socket<T> {
    /// A socket over a connection that is up or coming up.
    ///
    /// # Errors
    ///
    /// The connection cannot be made non-blocking.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        // Without this option small writes may be delayed, which is no reason to close a connection.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("no TCP_NODELAY: {error}");
        }
        Ok(Socket {
            stream: Rc::new(stream),
            watch: Cell::default(),
            on_ready: Rc::new(RefCell::new(Rc::new(|_| {}))),
            unsent_lines: RefCell::default(),
            connect_error: Cell::default(),
            retry_is_scheduled: Rc::default(),
            peer_end: Cell::default(),
            local_end: Cell::default(),
            is_shut_down: Cell::default(),
        })
    }

    /// Starts to connect; [`Socket::is_connected`] tells the result once the socket is ready.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened, or the connection is refused at once.
    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(to),
            socket2::Type::STREAM.nonblocking().cloexec(),
            Some(socket2::Protocol::TCP),
        )?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(error) if error.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {}
            Err(error) => return Err(error),
        }
        Self::new(socket.into())
    }

    /// Calls `on_ready` whenever the socket may have become readable or writable: at each change, not for as long as it
    /// lasts, so the callback has to read and write until that would block.
    ///
    /// # Errors
    ///
    /// The loop cannot watch the socket.
    pub fn watch(
        &self,
        handle: &LoopHandle<'static, T>,
        on_ready: impl Fn(&mut T) + 'static,
    ) -> io::Result<()> {
        self.set_on_ready(on_ready);
        let on_ready = self.on_ready.clone();
        let source = Generic::new(self.stream.clone(), Interest::BOTH, Mode::Edge);
        let token = handle.insert_source(source, move |_, _, data| {
            let callback = on_ready.borrow().clone();
            callback(data);
            Ok(PostAction::Continue)
        });
        self.watch.set(Some((handle.clone(), token.map_err(|error| io::Error::other(error.error))?)));
        Ok(())
    }

    /// Replaces the callback.
    pub fn set_on_ready(&self, on_ready: impl Fn(&mut T) + 'static) {
        *self.on_ready.borrow_mut() = Rc::new(on_ready);
    }

    /// Whether the connection is up.
    ///
    /// # Errors
    ///
    /// Connecting has failed. The error is kept, as the system reports it only once.
    pub fn is_connected(&self) -> io::Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            self.connect_error.set(Some(error.kind()));
        }
        if let Some(kind) = self.connect_error.get() {
            return Err(kind.into());
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Whether the peer has ended, with nothing left to read.
    pub fn peer_has_closed(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Ok(0))
    }

    /// Whether the peer has neither ended nor sent anything that is left to read. Sets `peer_end` if it has ended.
    pub fn is_idle(&self) -> bool {
        if self.peer_end.get().is_some() {
            return false;
        }
        let available = self.retry_transient(|stream| stream.peek(&mut [0]));
        self.note_end_of_stream(available);
        available.is_none() && self.peer_end.get().is_none()
    }

    /// Reads once into the ring; 0 if there is nothing to read now, no room, or nothing any more.
    pub fn read(&self, ring: &mut RingBuffer) -> usize {
        if self.peer_end.get().is_some() || ring.is_full() {
            return 0;
        }
        let read = self.retry_transient(|stream| ring.fill_from(stream));
        self.note_end_of_stream(read);
        read.unwrap_or(0)
    }

    /// Reads once to the end of `buffer`, which grows to `max_len` bytes at most; how many were read.
    pub fn read_to_vec(&self, buffer: &mut Vec<u8>, max_len: usize) -> usize {
        let len = buffer.len();
        if self.peer_end.get().is_some() || len >= max_len {
            return 0;
        }
        buffer.resize(max_len, 0);
        let read = self.retry_transient(|mut stream| stream.read(&mut buffer[len..]));
        buffer.truncate(len + read.unwrap_or(0));
        self.note_end_of_stream(read);
        read.unwrap_or(0)
    }

    /// Reads at most `max` bytes and drops them; how many there were.
    pub fn discard(&self, max: usize) -> usize {
        let mut scratch = [0; DISCARD_BYTES];
        let mut discarded = 0;
        while discarded < max && self.peer_end.get().is_none() {
            let len = scratch.len().min(max - discarded);
            let read = self.retry_transient(|mut stream| stream.read(&mut scratch[..len]));
            self.note_end_of_stream(read);
            let Some(read) = read else { break };
            discarded += read;
        }
        discarded
    }

    fn note_end_of_stream(&self, read: Option<usize>) {
        if read == Some(0) {
            self.peer_end.set(Some(End::Fin));
        }
    }

    /// Sends a line of the proxy's own, before all else that is to be written. What the system does not take at once is
    /// kept for [`Socket::flush_lines`].
    pub fn send_line(&self, line: &str) {
        self.unsent_lines.borrow_mut().extend_from_slice(format!("{line}\r\n").as_bytes());
        self.flush_lines();
    }

    /// Writes what is left of lines of the proxy's own, and ends our side after them if that was asked for; whether
    /// nothing is left.
    pub fn flush_lines(&self) -> bool {
        let mut unsent = self.unsent_lines.borrow_mut();
        while !unsent.is_empty() {
            match self.retry_transient(|mut stream| stream.write(&unsent)) {
                Some(written) if written > 0 => drop(unsent.drain(..written)),
                _ if self.peer_end.get() == Some(End::Reset) => unsent.clear(),
                _ => return false,
            }
        }
        if self.local_end.get() == Some(End::Fin) && !self.is_shut_down.replace(true) {
            // This fails only if the connection has broken, which an event tells.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        true
    }

    /// Writes once from the ring; how many bytes were written. Once either side has ended, what is held is dropped.
    pub fn write(&self, ring: &mut RingBuffer) -> usize {
        if !self.flush_lines() || ring.is_empty() {
            return 0;
        }
        if self.local_end.get().is_some() || self.peer_end.get() == Some(End::Reset) {
            ring.clear();
            return 0;
        }
        self.retry_transient(|stream| ring.drain_to(stream)).unwrap_or(0)
    }

    /// Repeats a call that fails for lack of memory or buffers, which breaks no connection. None if the call would block,
    /// if the connection has broken, or if the call went on failing: then `on_ready` is called after a delay, as no
    /// event tells that memory is available again.
    fn retry_transient(&self, mut call: impl FnMut(&TcpStream) -> io::Result<usize>) -> Option<usize> {
        for _ in 0..MAX_FAILURES {
            match call(&self.stream) {
                Ok(count) => return Some(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
                Err(error) if is_shortage(&error) => {}
                Err(_) => {
                    self.peer_end.set(Some(End::Reset));
                    return None;
                }
            }
        }
        self.schedule_retry();
        None
    }

    fn schedule_retry(&self) {
        let Some((handle, token)) = self.watch.take() else { return };
        if !self.retry_is_scheduled.replace(true) {
            let (on_ready, is_scheduled) = (Rc::downgrade(&self.on_ready), self.retry_is_scheduled.clone());
            let set = handle.insert_source(Timer::from_duration(RETRY_DELAY), move |_, _, data| {
                is_scheduled.set(false);
                let callback = on_ready.upgrade().map(|on_ready| on_ready.borrow().clone());
                callback.inspect(|callback| callback(data));
                TimeoutAction::Drop
            });
            self.retry_is_scheduled.set(set.is_ok());
        }
        self.watch.set(Some((handle, token)));
    }

    /// Ends our side: in order after what is to be written, or with a reset once the socket is dropped.
    pub fn end(&self, end: End) {
        if self.local_end.replace(Some(end)).is_some() {
            return;
        }
        match end {
            End::Fin => drop(self.flush_lines()),
            End::Reset => {
                let _ = socket2::SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
            }
        }
    }

    /// Whether nothing more can be received or sent.
    pub fn is_closed(&self) -> bool {
        let (peer, local) = (self.peer_end.get(), self.local_end.get());
        let is_reset = peer == Some(End::Reset) || local == Some(End::Reset);
        is_reset || peer.is_some() && local.is_some()
    }
}

impl<T> Drop for Socket<T> {
    fn drop(&mut self) {
        if let Some((handle, token)) = self.watch.take() {
            handle.remove(token);
        }
    }
}
