//! HTTP/1.1 client of the discovery service. A call is one request and its response. The client uses one connection
//! with one call in flight at a time, and starts a watch for the next version as soon as it has received an endpoint
//! list.

use crate::discovery::call_error::CallError;
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::events::DiscoveryEvents;
use crate::discovery::poll_schedule::{CallTimeouts, PollRequest, PollSchedule};
use crate::net::event_loop::DeferredCall;
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

/// Size in bytes of the buffer that requests are written from.
const REQUEST_BUFFER_SIZE: usize = 512;
/// Size in bytes of the buffer that responses are read into.
const RESPONSE_BUFFER_SIZE: usize = 16 << 10;
/// Reads per event, so that a response without end does not starve the sessions: enough for any endpoint list.
const MAX_READS_PER_EVENT: usize = 64;

/// Client of one discovery service. The outcome of each call is reported to `E`.
pub struct Discovery<E: DiscoveryEvents> {
    address: Cell<SocketAddr>,
    /// Version of the last endpoint list; none if the next request must be for the complete list.
    version: Cell<Option<u64>>,
    socket: RefCell<Option<Rc<Socket<E>>>>,
    request: RefCell<RingBuffer>,
    response: RefCell<RingBuffer>,
    /// The call in flight, if any.
    exchange: RefCell<Option<Exchange>>,
    /// When the last call started.
    call_started_at: Cell<Timestamp>,
    timer: Cell<Option<RegistrationToken>>,
    /// The call that goes on reading the response where one event left off.
    further_read: DeferredCall,
    /// Whether the last call returned an endpoint list.
    last_call_succeeded: Cell<bool>,
    schedule: PollSchedule,
}

impl<E: DiscoveryEvents> Discovery<E> {
    /// Creates a client without sending a request. `version` is the version of the list known at startup, if any.
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
            further_read: DeferredCall::default(),
            last_call_succeeded: Cell::default(),
            schedule: PollSchedule::new(timeouts, seed),
        })
    }

    /// Switches to the discovery service at `address` and returns whether the address has changed. A response that the
    /// old service has already sent is processed first. The version numbers of the two services are unrelated, so the
    /// next request is for the complete list.
    pub fn switch_to(self: &Rc<Self>, address: SocketAddr, events: &mut E) -> bool {
        self.read_pending(events);
        let has_changed = self.address.replace(address) != address;
        if has_changed {
            self.reset(events);
        }
        has_changed
    }

    /// Requests a list newer than the current version, or the complete list if there is none. Does nothing while a call
    /// is in flight.
    pub fn poll(self: &Rc<Self>, events: &mut E) {
        self.start_call(false, events);
    }

    /// Processes a response that has arrived but whose readiness event has not been dispatched yet. Sessions must not
    /// be placed, nor their first bytes sent, based on a list that is older than the latest one received.
    pub fn read_pending(self: &Rc<Self>, events: &mut E) {
        if self.exchange.borrow().is_some() {
            self.on_socket_ready(events);
        }
    }

    /// Cancels the call in flight and discards the version, so that the next call requests the complete list.
    pub fn reset(&self, events: &E) {
        self.cancel_call(events);
        self.version.set(None);
    }

    /// Cancels the call in flight and closes its connection.
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

    /// Connects if there is no connection, and queues the request.
    fn send(self: &Rc<Self>, path: &str, events: &E) -> Result<(), CallError> {
        let at = self.address.get();
        let (exchange, bytes) = Exchange::get(at, path).map_err(|source| CallError::Http { at, source })?;
        self.request.borrow_mut().clear();
        self.request.borrow_mut().push(&bytes);
        *self.exchange.borrow_mut() = Some(exchange);
        self.connect(events).map_err(|source| CallError::Connect { at, source })
    }

    fn connect(self: &Rc<Self>, events: &E) -> std::io::Result<()> {
        if self.socket.borrow().is_none() {
            let socket = Rc::new(Socket::connect(self.address.get())?);
            let client = self.clone();
            socket.register(&events.handle(), move |events| client.on_socket_ready(events))?;
            *self.socket.borrow_mut() = Some(socket);
        }
        Ok(())
    }

    /// Sets the timer of a call: first to the connect timeout, then to the time left until the response deadline. An
    /// immediate `connect_error` is also reported by the timer, so that callbacks never run inside [`Self::poll`].
    fn start_timer(self: &Rc<Self>, request: &PollRequest, connect_error: Option<CallError>, events: &E) {
        let started_at = self.call_started_at.get();
        let response_deadline = request.response_deadline(started_at);
        let refresh_deadline = request.refresh_deadline(started_at);
        let first_check =
            if connect_error.is_none() { self.schedule.connect_timeout() } else { Duration::ZERO };
        let (client, connect_error) = (self.clone(), Cell::new(connect_error));
        let timer = Timer::from_duration(first_check);
        let token = events.handle().insert_source(timer, move |_, _, events| {
            let time_left = response_deadline.since(events.now());
            let is_connected = client.is_connected();
            if is_connected && time_left > Duration::ZERO {
                return TimeoutAction::ToDuration(time_left);
            }
            client.timer.take();
            match connect_error.take() {
                Some(error) => client.on_call_failed(&error, events),
                None => client.on_timeout(is_connected, refresh_deadline, events),
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
        if socket.is_connected().is_ok_and(|is_connected| is_connected) {
            while socket.write(&mut self.request.borrow_mut()) > 0 {}
        }
    }

    fn on_socket_ready(self: &Rc<Self>, events: &mut E) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let at = self.address.get();
        match socket.is_connected() {
            Err(source) => return self.on_call_failed(&CallError::Connect { at, source }, events),
            Ok(false) => return,
            Ok(true) => {}
        }
        self.flush();
        match self.read_response(&socket, events) {
            Some(Ok(Some(response))) => self.on_response(&response, events),
            Some(Ok(None)) => {}
            Some(Err(source)) => self.on_call_failed(&CallError::Http { at, source }, events),
            // Discovery has closed the idle connection, or has sent what no call has requested. The next call opens a
            // new connection.
            None if !socket.is_idle() => drop(self.socket.take()),
            None => {}
        }
    }

    /// Reads and parses what is available of the response to the call in flight; none if there is no such call. What
    /// exceeds the limit per event is read after the other events.
    fn read_response(
        self: &Rc<Self>,
        socket: &Socket<E>,
        events: &E,
    ) -> Option<Result<Option<Response>, HttpError>> {
        let mut exchange = self.exchange.borrow_mut();
        let exchange = exchange.as_mut()?;
        let mut buffer = self.response.borrow_mut();
        let mut read_once = || {
            let read = socket.read(&mut buffer);
            // Writing to a vector does not fail.
            let _ = buffer.drain_to(exchange.input());
            read
        };
        let reads = (0..MAX_READS_PER_EVENT).take_while(|_| read_once() > 0).count();
        if reads == MAX_READS_PER_EVENT {
            self.reschedule(events);
        }
        Some(exchange.response(socket.peer_end.get().is_some()))
    }

    /// Schedules another call of [`Self::on_socket_ready`] after the other events of the event loop.
    fn reschedule(self: &Rc<Self>, events: &E) {
        let client = self.clone();
        self.further_read.schedule(&events.handle(), move |events| client.on_socket_ready(events));
    }

    fn on_response(self: &Rc<Self>, response: &Response, events: &mut E) {
        let at = self.address.get();
        let mut list = match EndpointList::parse(&response.body) {
            Ok(list) => list,
            Err(source) => return self.on_call_failed(&CallError::List { at, source }, events),
        };
        // A restarted discovery service numbers its versions from the start again, so its changes cannot be applied to
        // the list known here.
        if !list.is_complete && self.version.get().is_some_and(|current| list.version < current) {
            log::warn!(
                "discovery at {at}: version went back to {}; requesting the complete list",
                list.version
            );
            self.reset(events);
            return self.poll(events);
        }
        list.sent_at = response.date;
        if !response.keep_alive {
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
        // A partial or invalid response may contain a change, so it is requested again immediately instead of after the
        // backoff. Only if the previous call succeeded: a service that always sends invalid responses must not be
        // polled in a tight loop.
        if self.response_has_begun(error) && self.last_call_succeeded.get() {
            return self.on_watch_lost(error, events.now(), events);
        }
        self.cancel_call(events);
        events.on_poll_failed(error, self.call_started_at.get());
    }

    /// Whether discovery had started to send its response when the call failed.
    fn response_has_begun(&self, error: &CallError) -> bool {
        match error {
            CallError::Http { source: HttpError::Truncated, .. } => {
                self.exchange.borrow().as_ref().is_some_and(Exchange::has_begun)
            }
            CallError::Http { source: HttpError::Status(_), .. } => false,
            CallError::Http { .. } | CallError::List { .. } => true,
            CallError::Connect { .. }
            | CallError::ConnectTimeout { .. }
            | CallError::ResponseTimeout { .. } => false,
        }
    }

    fn stop_timer(&self, events: &E) {
        if let Some(token) = self.timer.take() {
            events.handle().remove(token);
        }
    }
}
