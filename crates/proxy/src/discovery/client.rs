//! The client of discovery: one connection over HTTP/1.1, one call at a time, and a watch for the next version as soon as
//! a list is received.

use crate::discovery::call_error::CallError;
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::events::DiscoveryEvents;
use crate::discovery::poll_schedule::{CallTimeouts, PollRequest, PollSchedule};
use crate::net::http::{Exchange, HttpError, Response};
use crate::net::ring_buffer::RingBuffer;
use crate::net::socket::Socket;
use calloop::timer::{TimeoutAction, Timer};
use calloop::RegistrationToken;
use shelfgrade::time::Timestamp;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Size of the buffer of a request, in bytes.
const REQUEST_BUFFER_SIZE: usize = 512;
/// Size of the buffer that responses are read through, in bytes.
const RESPONSE_BUFFER_SIZE: usize = 16 << 10;

/// The client of one discovery; outcomes go to `E`.
pub struct Discovery<E: DiscoveryEvents> {
    address: Cell<SocketAddr>,
    /// The version of the endpoint list held, if there is one.
    version: Cell<Option<u64>>,
    socket: RefCell<Option<Rc<Socket<E>>>>,
    request: RefCell<RingBuffer>,
    response: RefCell<RingBuffer>,
    /// The call in flight.
    exchange: RefCell<Option<Exchange>>,
    /// When the last call began.
    call_started_at: Cell<Timestamp>,
    timer: Cell<Option<RegistrationToken>>,
    /// Whether the last call brought a list.
    last_call_succeeded: Cell<bool>,
    schedule: PollSchedule,
}

impl<E: DiscoveryEvents> Discovery<E> {
    /// A client that has not called yet. `version` is that of the list held, if there is one.
    pub fn new(address: SocketAddr, version: Option<u64>, timeouts: CallTimeouts, seed: u64) -> Rc<Self> {
        Rc::new(Discovery {
            address: Cell::new(address),
            version: Cell::new(version),
            socket: RefCell::default(),
            request: RefCell::new(RingBuffer::new(REQUEST_BUFFER_SIZE)),
            response: RefCell::new(RingBuffer::new(RESPONSE_BUFFER_SIZE)),
            exchange: RefCell::default(),
            call_started_at: Cell::default(),
            timer: Cell::default(),
            last_call_succeeded: Cell::default(),
            schedule: PollSchedule::new(timeouts, seed),
        })
    }

    /// Switches to another discovery; returns whether the address is another one. A response that the old one has already
    /// written still counts and is read first. Versions of the two need not match, so the complete list is requested
    /// next.
    pub fn switch_to(self: &Rc<Self>, address: SocketAddr, events: &mut E) -> bool {
        self.read_pending(events);
        let is_other = self.address.replace(address) != address;
        if is_other {
            self.reset(events);
        }
        is_other
    }

    /// Polls for a list newer than the one held, or for the complete list. A call in flight serves instead.
    pub fn poll(self: &Rc<Self>, events: &mut E) {
        self.start_call(false, events);
    }

    /// Processes a response that has arrived and whose event has not been dispatched: no session may be placed, and no
    /// first byte written, by a list that is no longer the latest received.
    pub fn read_pending(self: &Rc<Self>, events: &mut E) {
        if self.exchange.borrow().is_some() {
            self.on_socket_ready(events);
        }
    }

    /// Drops the call in flight and the version held: the next call requests the complete list.
    pub fn reset(&self, events: &E) {
        self.cancel_call(events);
        self.version.set(None);
    }

    /// Drops the call in flight and its connection.
    pub fn cancel_call(&self, events: &E) {
        self.stop_timer(events);
        self.socket.take();
        self.exchange.take();
    }

    fn start_call(self: &Rc<Self>, is_continuation: bool, events: &mut E) {
        if self.exchange.borrow().is_some() {
            return;
        }
        self.call_started_at.set(events.now());
        let request = self.schedule.next_request(self.version.get(), is_continuation);
        let connect_error = self.send(&request.path, events).err();
        self.start_timer(&request, connect_error, events);
        self.flush();
    }

    /// Connects where there is no connection, and queues the request.
    fn send(self: &Rc<Self>, path: &str, events: &E) -> Result<(), CallError> {
        let at = self.address.get();
        let (exchange, bytes) = Exchange::get(at, path).map_err(|source| CallError::Http { at, source })?;
        self.request.borrow_mut().clear();
        self.request.borrow_mut().push(&bytes);
        *self.exchange.borrow_mut() = Some(exchange);
        self.connect(events).map_err(|source| CallError::Dial { at, source })
    }

    fn connect(self: &Rc<Self>, events: &E) -> std::io::Result<()> {
        if self.socket.borrow().is_none() {
            let socket = Rc::new(Socket::connect(self.address.get())?);
            let me = self.clone();
            socket.register(&events.handle(), move |events| me.on_socket_ready(events))?;
            *self.socket.borrow_mut() = Some(socket);
        }
        Ok(())
    }

    /// Sets the timer of a call: for the connect timeout first, then for what is left until the response deadline. An
    /// error at once is reported by the timer too, and so never from within the call that met it.
    fn start_timer(self: &Rc<Self>, request: &PollRequest, connect_error: Option<CallError>, events: &E) {
        let started_at = self.call_started_at.get();
        let response_deadline = request.response_deadline(started_at);
        let refresh_deadline = request.refresh_deadline(started_at);
        let first_check =
            if connect_error.is_none() { self.schedule.connect_timeout() } else { Duration::ZERO };
        let (me, connect_error) = (self.clone(), Cell::new(connect_error));
        let timer = Timer::from_duration(first_check);
        let token = events.handle().insert_source(timer, move |_, _, events| {
            let time_left = response_deadline.since(events.now());
            let is_connected = me.is_connected();
            if is_connected && time_left > Duration::ZERO {
                return TimeoutAction::ToDuration(time_left);
            }
            me.timer.take();
            match connect_error.take() {
                Some(error) => me.on_call_failed(&error, events),
                None => me.on_timeout(is_connected, refresh_deadline, events),
            }
            TimeoutAction::Drop
        });
        self.timer.set(token.ok());
    }

    fn is_connected(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|socket| socket.is_connected().unwrap_or(false))
    }

    fn flush(&self) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        if socket.is_connected().is_ok_and(|up| up) {
            while socket.write(&mut self.request.borrow_mut()) > 0 {}
        }
    }

    fn on_socket_ready(self: &Rc<Self>, events: &mut E) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let at = self.address.get();
        match socket.is_connected() {
            Err(source) => return self.on_call_failed(&CallError::Dial { at, source }, events),
            Ok(false) => return,
            Ok(true) => {}
        }
        self.flush();
        self.read(&socket);
        let has_ended = socket.peer_end.get().is_some();
        let answer = self.exchange.borrow_mut().as_mut().map(|exchange| exchange.response(has_ended));
        match answer {
            // Discovery may close an idle connection; the next call opens another.
            None if has_ended => drop(self.socket.take()),
            None | Some(Ok(None)) => {}
            Some(Ok(Some(answer))) => self.on_response(&answer, events),
            Some(Err(source)) => self.on_call_failed(&CallError::Http { at, source }, events),
        }
    }

    fn read(&self, socket: &Socket<E>) {
        let mut exchange = self.exchange.borrow_mut();
        let mut response = self.response.borrow_mut();
        while socket.read(&mut response) > 0 {
            // Bytes that come between calls answer nothing and are dropped.
            let _ = exchange.as_mut().map(|exchange| response.drain_to(exchange.input()));
            response.clear();
        }
    }

    fn on_response(self: &Rc<Self>, answer: &Response, events: &mut E) {
        let at = self.address.get();
        let mut list = match EndpointList::parse(&answer.body) {
            Ok(list) => list,
            Err(source) => return self.on_call_failed(&CallError::List { at, source }, events),
        };
        // A discovery that was restarted counts versions from the start, and its delta is to a list not held here.
        if !list.is_complete && self.version.get().is_some_and(|held| list.version < held) {
            log::warn!("discovery at {at}: back at version {}: requesting the complete list", list.version);
            self.reset(events);
            return self.poll(events);
        }
        list.sent_at = answer.date;
        if !answer.keep_alive {
            self.socket.take();
        }
        self.stop_timer(events);
        self.exchange.take();
        self.version.set(Some(list.version));
        self.last_call_succeeded.set(true);
        if events.on_endpoints(&list) {
            self.start_call(true, events);
        }
    }

    fn on_timeout(&self, is_connected: bool, refresh_deadline: Timestamp, events: &mut E) {
        let at = self.address.get();
        if is_connected {
            self.on_watch_lost(&CallError::ResponseTimeout { at }, refresh_deadline, events);
        } else {
            self.on_call_failed(&CallError::ConnectTimeout { at }, events);
        }
    }

    fn on_watch_lost(&self, error: &CallError, refresh_deadline: Timestamp, events: &mut E) {
        self.last_call_succeeded.set(false);
        self.cancel_call(events);
        events.on_watch_lost(error, refresh_deadline);
    }

    fn on_call_failed(&self, error: &CallError, events: &mut E) {
        if self.exchange.borrow().is_none() {
            return drop(self.socket.take());
        }
        // A response that has begun may hold a change, so it is requested again at once and not after the backoff of a
        // refusal. Only after a success: a discovery that sends nothing but garbage must not be polled in a tight loop.
        if self.response_has_begun(error) && self.last_call_succeeded.get() {
            return self.on_watch_lost(error, events.now(), events);
        }
        self.cancel_call(events);
        events.on_poll_failed(error, self.call_started_at.get());
    }

    /// Whether the call failed after discovery had begun its response.
    fn response_has_begun(&self, error: &CallError) -> bool {
        match error {
            CallError::Http { source: HttpError::Truncated, .. } => {
                self.exchange.borrow().as_ref().is_some_and(Exchange::has_begun)
            }
            CallError::Http { source: HttpError::Status(_), .. } => false,
            CallError::Http { .. } | CallError::List { .. } => true,
            CallError::Dial { .. } | CallError::ConnectTimeout { .. } | CallError::ResponseTimeout { .. } => {
                false
            }
        }
    }

    fn stop_timer(&self, events: &E) {
        if let Some(token) = self.timer.take() {
            events.handle().remove(token);
        }
    }
}
