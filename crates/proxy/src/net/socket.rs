//! A non-blocking TCP connection that is registered with an event loop until it is dropped.

use crate::net::ring_buffer::RingBuffer;
use crate::net::transient::is_resource_shortage;
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Consecutive transient failures of one system call after which it is retried only after [`RETRY_DELAY`].
const MAX_FAILURES: usize = 16;
/// Delay before a system call that keeps failing is retried.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// Size of the buffer for reading bytes that are discarded, in bytes.
const DISCARD_BYTES: usize = 4096;

/// How one side ends the stream that it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// Orderly, after its last byte.
    Fin,
    /// Abruptly, with a reset of the connection.
    Reset,
}

type Callback<T> = Rc<dyn Fn(&mut T)>;

/// A TCP connection. `T` is the shared state of the event loop, which callbacks receive.
pub struct Socket<T: 'static> {
    stream: Rc<TcpStream>,
    registration: Cell<Option<(LoopHandle<'static, T>, RegistrationToken)>>,
    /// Called when the socket may have become readable or writable.
    on_ready: Rc<RefCell<Callback<T>>>,
    /// Lines that the proxy itself sends and that are not written yet.
    unsent_lines: RefCell<Vec<u8>>,
    /// Why the connection attempt failed, once it has.
    connect_error: Cell<Option<ErrorKind>>,
    /// Whether a timer is set that calls `on_ready`.
    retry_is_scheduled: Rc<Cell<bool>>,
    /// How the peer has ended its stream, as noticed by a read or a failed write.
    pub peer_end: Cell<Option<StreamEnd>>,
    /// How our stream ends, or is to end once pending lines are written.
    local_end: Cell<Option<StreamEnd>>,
    /// Whether the sending direction has been shut down.
    is_shut_down: Cell<bool>,
}

impl<T> Socket<T> {
    /// Wraps a connection that is established or being established.
    ///
    /// # Errors
    ///
    /// The stream cannot be made non-blocking.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        // Not fatal: without this option small writes may merely be delayed.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY: {error}");
        }
        Ok(Socket {
            stream: Rc::new(stream),
            registration: Cell::default(),
            on_ready: Rc::new(RefCell::new(Rc::new(|_| {}))),
            unsent_lines: RefCell::default(),
            connect_error: Cell::default(),
            retry_is_scheduled: Rc::default(),
            peer_end: Cell::default(),
            local_end: Cell::default(),
            is_shut_down: Cell::default(),
        })
    }

    /// Starts to connect. [`Socket::is_connected`] returns the result once the socket is ready.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened, or the connection attempt fails immediately.
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

    /// Registers the socket with the event loop, which calls `on_ready` whenever the socket may have become readable
    /// or writable. Events are edge-triggered: the callback has to read and write until the call would block.
    ///
    /// # Errors
    ///
    /// The event loop cannot register the socket.
    pub fn register(
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
        self.registration.set(Some((handle.clone(), token.map_err(|error| io::Error::other(error.error))?)));
        Ok(())
    }

    /// Replaces the callback for readiness.
    pub fn set_on_ready(&self, on_ready: impl Fn(&mut T) + 'static) {
        *self.on_ready.borrow_mut() = Rc::new(on_ready);
    }

    /// Whether the connection is established.
    ///
    /// # Errors
    ///
    /// The connection attempt has failed. The error is stored, as the system reports it only once.
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

    /// Whether the peer has ended its stream and nothing is left to read.
    pub fn peer_has_closed(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Ok(0))
    }

    /// Whether the peer has not ended its stream and nothing is left to read. Sets `peer_end` if the stream has ended.
    pub fn is_idle(&self) -> bool {
        if self.peer_end.get().is_some() {
            return false;
        }
        let available = self.retry_transient(|stream| stream.peek(&mut [0]));
        self.record_end_of_stream(available);
        available.is_none() && self.peer_end.get().is_none()
    }

    /// Reads once into the buffer. Returns the number of bytes read; 0 if nothing is available, the buffer is full, or
    /// the stream has ended.
    pub fn read(&self, buffer: &mut RingBuffer) -> usize {
        if self.peer_end.get().is_some() || buffer.is_full() {
            return 0;
        }
        let read = self.retry_transient(|stream| buffer.fill_from(stream));
        self.record_end_of_stream(read);
        read.unwrap_or(0)
    }

    /// Reads once and appends to `buffer`, which grows to at most `max_len` bytes. Returns the number of bytes read.
    pub fn read_to_vec(&self, buffer: &mut Vec<u8>, max_len: usize) -> usize {
        let len = buffer.len();
        if self.peer_end.get().is_some() || len >= max_len {
            return 0;
        }
        buffer.resize(max_len, 0);
        let read = self.retry_transient(|mut stream| stream.read(&mut buffer[len..]));
        buffer.truncate(len + read.unwrap_or(0));
        self.record_end_of_stream(read);
        read.unwrap_or(0)
    }

    /// Reads and drops at most `max` bytes. Returns the number of bytes dropped.
    pub fn discard(&self, max: usize) -> usize {
        let mut scratch = [0; DISCARD_BYTES];
        let mut discarded = 0;
        while discarded < max && self.peer_end.get().is_none() {
            let len = scratch.len().min(max - discarded);
            let read = self.retry_transient(|mut stream| stream.read(&mut scratch[..len]));
            self.record_end_of_stream(read);
            let Some(read) = read else { break };
            discarded += read;
        }
        discarded
    }

    fn record_end_of_stream(&self, read: Option<usize>) {
        if read == Some(0) {
            self.peer_end.set(Some(StreamEnd::Fin));
        }
    }

    /// Sends a line of the proxy itself, ahead of all forwarded bytes that are not written yet. What cannot be written
    /// immediately is kept for [`Socket::flush_lines`].
    pub fn send_line(&self, line: &str) {
        self.unsent_lines.borrow_mut().extend_from_slice(format!("{line}\r\n").as_bytes());
        self.flush_lines();
    }

    /// The number of bytes of the proxy's own lines that are not written yet, as the peer does not read.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent_lines.borrow().len()
    }

    /// Writes the pending lines of the proxy itself, then shuts down the sending direction if that was requested.
    /// Returns whether no pending lines are left.
    pub fn flush_lines(&self) -> bool {
        let mut unsent = self.unsent_lines.borrow_mut();
        while !unsent.is_empty() {
            match self.retry_transient(|mut stream| stream.write(&unsent)) {
                Some(written) if written > 0 => drop(unsent.drain(..written)),
                _ if self.peer_end.get() == Some(StreamEnd::Reset) => unsent.clear(),
                _ => return false,
            }
        }
        if self.local_end.get() == Some(StreamEnd::Fin) && !self.is_shut_down.replace(true) {
            // This fails only if the connection is broken, which an event reports.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        true
    }

    /// Writes once from the buffer. Returns the number of bytes written. If our stream has ended, or the peer has
    /// reset the connection, the buffer is cleared instead.
    pub fn write(&self, buffer: &mut RingBuffer) -> usize {
        if !self.flush_lines() || buffer.is_empty() {
            return 0;
        }
        if self.local_end.get().is_some() || self.peer_end.get() == Some(StreamEnd::Reset) {
            buffer.clear();
            return 0;
        }
        self.retry_transient(|stream| buffer.drain_to(stream)).unwrap_or(0)
    }

    /// Repeats a call that fails for lack of memory or buffers, as that leaves the connection intact. Returns none if
    /// the call would block, if the connection is broken, or if the call keeps failing. In the last case `on_ready` is
    /// called after a delay, as no event reports that memory is available again.
    fn retry_transient(&self, mut call: impl FnMut(&TcpStream) -> io::Result<usize>) -> Option<usize> {
        for _ in 0..MAX_FAILURES {
            match call(&self.stream) {
                Ok(count) => return Some(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
                Err(error) if is_resource_shortage(&error) => {}
                Err(_) => {
                    self.peer_end.set(Some(StreamEnd::Reset));
                    return None;
                }
            }
        }
        self.schedule_retry();
        None
    }

    fn schedule_retry(&self) {
        let Some((handle, token)) = self.registration.take() else { return };
        if !self.retry_is_scheduled.replace(true) {
            let (on_ready, is_scheduled) = (Rc::downgrade(&self.on_ready), self.retry_is_scheduled.clone());
            let registered = handle.insert_source(Timer::from_duration(RETRY_DELAY), move |_, _, data| {
                is_scheduled.set(false);
                let callback = on_ready.upgrade().map(|on_ready| on_ready.borrow().clone());
                callback.inspect(|callback| callback(data));
                TimeoutAction::Drop
            });
            self.retry_is_scheduled.set(registered.is_ok());
        }
        self.registration.set(Some((handle, token)));
    }

    /// Ends our stream: orderly after the pending lines, or with a reset when the socket is dropped. Only the first
    /// call has an effect.
    pub fn end_stream(&self, end: StreamEnd) {
        if self.local_end.replace(Some(end)).is_some() {
            return;
        }
        match end {
            StreamEnd::Fin => drop(self.flush_lines()),
            StreamEnd::Reset => {
                let _ = socket2::SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
            }
        }
    }

    /// Whether nothing more can be received or sent.
    pub fn is_closed(&self) -> bool {
        let (peer, local) = (self.peer_end.get(), self.local_end.get());
        let is_reset = peer == Some(StreamEnd::Reset) || local == Some(StreamEnd::Reset);
        is_reset || peer.is_some() && local.is_some()
    }
}

impl<T> Drop for Socket<T> {
    fn drop(&mut self) {
        if let Some((handle, token)) = self.registration.take() {
            handle.remove(token);
        }
    }
}
