//! Health checks of a server, over a separate connection with at most one outstanding `PING`.

use crate::metrics::Metrics;
use crate::net::event_loop::EventLoopOwner;
use crate::net::line::{line_text, LineDecoder, LineTooLong, ServerLine, PING_LINE};
use crate::net::ring_buffer::RingBuffer;
use crate::net::socket::Socket;
use crate::upstream::server::Server;
use shelfgrade::time::Timestamp;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Size of the buffer of each direction in bytes; both carry only short lines.
const BUFFER_BYTES: usize = 256;
/// While a check has been outstanding for less than this, further checks are merged into it. It is longer than any
/// caller waits for a health check, and shorter than the interval between periodic checks.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// The owner of health checks, which starts them and receives their results.
pub trait HealthCheckOwner: EventLoopOwner {
    /// The type of the sessions at a server.
    type Session;

    /// Called before a connection is opened: makes sure that there is a descriptor for it.
    fn before_health_check_connect(&mut self);
    /// Called when a health check has been answered, or has timed out, after `latency`.
    fn on_health_check(&mut self, server: &Server<Self>, latency: Duration);
    /// Whether connections are kept open between checks.
    fn keeps_health_check_connections(&self) -> bool;
    /// Counters and rate-limited warnings.
    fn metrics(&self) -> &Metrics;
}

/// The health check connection to one server.
pub struct HealthCheck<T: HealthCheckOwner> {
    socket: Socket<T>,
    outgoing: RefCell<RingBuffer>,
    incoming: RefCell<RingBuffer>,
    decoder: RefCell<LineDecoder>,
    /// When the outstanding check was started, if there is one.
    started_at: Cell<Option<Timestamp>>,
    /// When the last check was started.
    pub last_used: Cell<Timestamp>,
}

impl<T: HealthCheckOwner> HealthCheck<T> {
    /// Starts a check, over the existing connection or a new one. Does nothing while a check is outstanding, as its
    /// result serves this request too. If the outstanding check has timed out, the time since its start is reported as
    /// its latency, and a new check is started over a new connection.
    pub fn start(server: &Rc<Server<T>>, owner: &mut T) {
        let now = owner.now();
        let existing = server.health_check.borrow().clone();
        let outstanding_since = existing.as_ref().and_then(|check| check.started_at.get());
        if outstanding_since.is_some_and(|started| now.since(started) < CHECK_TIMEOUT) {
            return;
        }
        if let Some(started) = outstanding_since {
            server.health_check.take();
            owner.on_health_check(server, now.since(started));
        }
        let reusable =
            existing.filter(|check| outstanding_since.is_none() && check.check_reusable(server, owner));
        let Some(check) = reusable.or_else(|| Self::open(server, owner)) else { return };
        check.started_at.set(Some(now));
        check.last_used.set(now);
        check.outgoing.borrow_mut().push(PING_LINE);
        *server.health_check.borrow_mut() = Some(check.clone());
        check.flush();
    }

    fn open(server: &Rc<Server<T>>, owner: &mut T) -> Option<Rc<Self>> {
        owner.before_health_check_connect();
        let check = Rc::new(HealthCheck {
            socket: Socket::connect(server.address.get()).ok()?,
            outgoing: RefCell::new(RingBuffer::new(BUFFER_BYTES)),
            incoming: RefCell::new(RingBuffer::new(BUFFER_BYTES)),
            decoder: RefCell::default(),
            started_at: Cell::default(),
            last_used: Cell::new(owner.now()),
        });
        let (weak, server) = (Rc::downgrade(&check), Rc::downgrade(server));
        let registered = check.socket.register(&owner.handle(), move |owner: &mut T| {
            if let (Some(check), Some(server)) = (weak.upgrade(), server.upgrade()) {
                check.on_ready(&server, owner);
            }
        });
        registered.ok().map(|()| check)
    }

    fn flush(&self) {
        if self.socket.is_connected().is_ok_and(|connected| connected) {
            while self.socket.write(&mut self.outgoing.borrow_mut()) > 0 {}
        }
    }

    fn on_ready(&self, server: &Server<T>, owner: &mut T) {
        if self.socket.is_connected().is_err() {
            return self.close(server);
        }
        self.flush();
        let Ok(response) = self.read_response() else {
            log::debug!("health check of {}: overlong line", server.id);
            owner.metrics().count_and_warn("overlong lines");
            return self.close(server);
        };
        let latency = response.and_then(|line| self.end_check(&line, owner.now()));
        if !self.check_reusable(server, owner) {
            self.close(server);
        }
        // Last, as the owner may start the next check.
        if let Some(latency) = latency {
            owner.on_health_check(server, latency);
        }
    }

    /// Reads until the response to the outstanding check is complete, or nothing more is available. As the length of a
    /// line is limited, the number of reads is bounded even if the server never stops sending.
    fn read_response(&self) -> Result<Option<Vec<u8>>, LineTooLong> {
        let mut incoming = self.incoming.borrow_mut();
        while self.started_at.get().is_some() {
            let read = self.socket.read(&mut incoming);
            if read == 0 {
                break;
            }
            let bytes = incoming.latest(read);
            let line_end = bytes.iter().position(|byte| *byte == b'\n').map_or(read, |end| end + 1);
            let line = self.decoder.borrow_mut().feed(&bytes[..line_end])?.pop();
            incoming.skip(line_end);
            if line.is_some() {
                return Ok(line);
            }
        }
        Ok(None)
    }

    /// Ends the outstanding check, which any line does. Returns its latency if the line is a proper response.
    fn end_check(&self, line: &[u8], now: Timestamp) -> Option<Duration> {
        let started_at = self.started_at.take()?;
        (ServerLine::parse(line_text(line)) == ServerLine::Healthy).then(|| now.since(started_at))
    }

    /// Checks whether the connection can be used for the outstanding check or, if there is none, for the next one. It
    /// cannot if the server has sent more than the response, which is counted as a protocol error: the rest would be
    /// taken for the response to the next check.
    fn check_reusable(&self, server: &Server<T>, owner: &T) -> bool {
        if self.started_at.get().is_some() {
            return self.socket.peer_end.get().is_none();
        }
        let is_idle = self.incoming.borrow().is_empty() && self.socket.is_idle();
        if !is_idle && self.socket.peer_end.get().is_none() {
            log::debug!("health check of {}: unsolicited data", server.id);
            owner.metrics().count_and_warn("unsolicited health check data");
        }
        is_idle && owner.keeps_health_check_connections()
    }

    fn close(&self, server: &Server<T>) {
        let is_current =
            server.health_check.borrow().as_ref().is_some_and(|check| std::ptr::eq(&**check, self));
        if is_current {
            server.health_check.take();
        }
    }
}
