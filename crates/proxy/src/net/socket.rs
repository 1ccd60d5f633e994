//! A non-blocking TCP connection that the loop watches until it is dropped.

use crate::net::ring::Ring;
use crate::net::transient::is_shortage;
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// How a peer ended what it sends, or how we end what we send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Fin,
    Reset,
}

type Callback<T> = Rc<dyn Fn(&mut T)>;

/// `T` is what the loop hands to those that are called.
pub struct Socket<T: 'static> {
    stream: Rc<TcpStream>,
    watch: Cell<Option<(LoopHandle<'static, T>, RegistrationToken)>>,
    /// What is called when it may have become readable or writable.
    ready: Rc<RefCell<Callback<T>>>,
    /// Lines of our own that the system has yet to take.
    own: RefCell<Vec<u8>>,
    /// How an attempt failed.
    refused: Cell<Option<ErrorKind>>,
    /// `ready` is about to be called by a timer.
    waits_for_call: Rc<Cell<bool>>,
    /// Set once the peer has ended, however that was noticed.
    pub ended: Cell<Option<End>>,
    /// Set once our side has ended.
    pub closed: Cell<Option<End>>,
    /// The end of our sending has been handed to the system.
    shut_down: Cell<bool>,
}

impl<T> Socket<T> {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        // Without it small writes may wait for each other, which is no cause to close a connection.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("no TCP_NODELAY: {error}");
        }
        Ok(Socket {
            stream: Rc::new(stream),
            watch: Cell::default(),
            ready: Rc::new(RefCell::new(Rc::new(|_| {}))),
            own: RefCell::default(),
            refused: Cell::default(),
            waits_for_call: Rc::default(),
            ended: Cell::default(),
            closed: Cell::default(),
            shut_down: Cell::default(),
        })
    }

    /// Starts an attempt, which a call of `ready` will bring news of.
    pub fn dial(to: SocketAddr) -> io::Result<Self> {
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

    /// Calls `ready` whenever the socket may have become readable or writable: at each change, not as long as
    /// it lasts, so whoever is called reads and writes until it would block.
    pub fn watch(&self, handle: &LoopHandle<'static, T>, ready: impl Fn(&mut T) + 'static) -> io::Result<()> {
        self.on_ready(ready);
        let ready = self.ready.clone();
        let source = Generic::new(self.stream.clone(), Interest::BOTH, Mode::Edge);
        let token = handle.insert_source(source, move |_, _, data| {
            let call = ready.borrow().clone();
            call(data);
            Ok(PostAction::Continue)
        });
        self.watch.set(Some((handle.clone(), token.map_err(|error| io::Error::other(error.error))?)));
        Ok(())
    }

    /// Has something else called from now on.
    pub fn on_ready(&self, ready: impl Fn(&mut T) + 'static) {
        *self.ready.borrow_mut() = Rc::new(ready);
    }

    /// Whether an attempt has come up; an error where it has failed. Guards against a refusal that one asks about
    /// and the next does not hear of: the system tells it once.
    pub fn is_up(&self) -> io::Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            self.refused.set(Some(error.kind()));
        }
        if let Some(kind) = self.refused.get() {
            return Err(kind.into());
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Whether the peer has ended, with nothing sent that is still to be read.
    pub fn has_left(&self) -> bool {
        matches!(self.stream.peek(&mut [0]), Ok(0))
    }

    /// Whether the peer has neither sent anything that is still to be read nor ended; where it has ended, `on_attempt_ended` says
    /// so from then on.
    pub fn rests(&self) -> bool {
        if self.ended.get().is_some() {
            return false;
        }
        let there = self.settle(|stream| stream.peek(&mut [0]));
        if there == Some(0) {
            self.ended.set(Some(End::Fin));
        }
        there.is_none() && self.ended.get().is_none()
    }

    /// Reads once into the ring; nothing where there is nothing now, no room, or nothing any more.
    pub fn read(&self, ring: &mut Ring) -> usize {
        if self.ended.get().is_some() || ring.is_full() {
            return 0;
        }
        let read = self.settle(|stream| ring.fill_from(stream));
        if read == Some(0) {
            self.ended.set(Some(End::Fin));
        }
        read.unwrap_or(0)
    }

    /// Reads once to the end of `into`, which holds so many bytes at most.
    pub fn take(&self, into: &mut Vec<u8>, most: usize) -> usize {
        let held = into.len();
        if self.ended.get().is_some() || held >= most {
            return 0;
        }
        into.resize(most, 0);
        let read = self.settle(|mut stream| stream.read(&mut into[held..]));
        into.truncate(held + read.unwrap_or(0));
        if read == Some(0) {
            self.ended.set(Some(End::Fin));
        }
        read.unwrap_or(0)
    }

    /// Reads what lies there, so many bytes at most, and drops it; how many there were.
    pub fn discard(&self, most: usize) -> usize {
        let mut scratch = [0; 4096];
        let mut dropped = 0;
        while dropped < most && self.ended.get().is_none() {
            let room = scratch.len().min(most - dropped);
            match self.settle(|mut stream| stream.read(&mut scratch[..room])) {
                Some(0) => self.ended.set(Some(End::Fin)),
                Some(read) => dropped += read,
                None => break,
            }
        }
        dropped
    }

    /// Writes a line of our own, before all else that is to be written. What the system does not take at once goes
    /// with later calls of `write_own`.
    pub fn tell(&self, line: &str) {
        self.own.borrow_mut().extend_from_slice(format!("{line}\r\n").as_bytes());
        self.write_own();
    }

    /// Goes on with lines of our own, and ends our side after them where that was asked for; whether nothing of them is
    /// left. Guards against a write that took a part of a line: none but the caller would send the rest.
    pub fn write_own(&self) -> bool {
        let mut own = self.own.borrow_mut();
        while !own.is_empty() {
            match self.settle(|mut stream| stream.write(&own)) {
                Some(written) if written > 0 => drop(own.drain(..written)),
                _ if self.ended.get() == Some(End::Reset) => own.clear(),
                _ => return false,
            }
        }
        if self.closed.get() == Some(End::Fin) && !self.shut_down.replace(true) {
            // It fails where the connection has broken, which is heard of by itself.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        true
    }

    /// Writes once from the ring.
    pub fn write(&self, ring: &mut Ring) -> usize {
        if !self.write_own() || ring.is_empty() {
            return 0;
        }
        if self.closed.get().is_some() || self.ended.get() == Some(End::Reset) {
            // Nobody is left to read it.
            ring.clear();
            return 0;
        }
        self.settle(|stream| ring.drain_to(stream)).unwrap_or(0)
    }

    /// None where nothing was done now, or the connection has broken. Guards against taking a want of memory or buffers
    /// for a broken connection: no event tells when that is over, so it is called again after a while.
    fn settle(&self, mut act: impl FnMut(&TcpStream) -> io::Result<usize>) -> Option<usize> {
        // One run in 65,000 is as long where half of the calls fail.
        const FAILURES_IN_A_ROW: usize = 16;
        for _ in 0..FAILURES_IN_A_ROW {
            match act(&self.stream) {
                Ok(count) => return Some(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
                Err(error) if is_shortage(&error) => {}
                Err(_) => {
                    self.ended.set(Some(End::Reset));
                    return None;
                }
            }
        }
        self.call_again();
        None
    }

    /// Has `ready` called after a while, as no event may come.
    fn call_again(&self) {
        const PAUSE: Duration = Duration::from_millis(10);
        let Some((handle, token)) = self.watch.take() else { return };
        if !self.waits_for_call.replace(true) {
            let (ready, waits) = (Rc::downgrade(&self.ready), self.waits_for_call.clone());
            let set = handle.insert_source(Timer::from_duration(PAUSE), move |_, _, data| {
                waits.set(false);
                let call = ready.upgrade().map(|ready| ready.borrow().clone());
                call.inspect(|call| call(data));
                TimeoutAction::Drop
            });
            self.waits_for_call.set(set.is_ok());
        }
        self.watch.set(Some((handle, token)));
    }

    /// Ends our side: politely, after what is written, or with a reset once the socket is dropped.
    pub fn end(&self, how: End) {
        if self.closed.replace(Some(how)).is_none() {
            match how {
                End::Fin => drop(self.write_own()),
                End::Reset => {
                    let _ = socket2::SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
                }
            }
        }
    }

    /// Whether nothing more can come or go.
    pub fn is_over(&self) -> bool {
        let reset = Some(End::Reset);
        self.ended.get() == reset
            || self.closed.get() == reset
            || self.ended.get().is_some() && self.closed.get().is_some()
    }
}

impl<T> Drop for Socket<T> {
    fn drop(&mut self) {
        if let Some((handle, token)) = self.watch.take() {
            handle.remove(token);
        }
    }
}
