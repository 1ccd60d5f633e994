//! A session on sockets: the client's side, the server's side, and the two rings between them.
//!
//! Each direction ends by itself: `up_end` and `down_end` say how, once that is known, and the side that it
//! leads to is ended the same way after the last byte of its ring.

use crate::executor::Executor;
use crate::net::line::{LineDecoder, OpenRequest, TooLong};
use crate::net::ring::Ring;
use crate::net::socket::{End, Socket};
use crate::proxy::Proxy;
use crate::upstream::server::Attempt;
use shelfgrade::host::{AttemptOutcome, SessionId};
use shelfgrade::time::Timestamp;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

/// How long the server of what was open before the start is tried and waited for: a run begins no later.
pub const TAKE_OVER_WITHIN: Duration = Duration::from_millis(40_000);

/// What tells a client to come again.
const MOVE: &[u8] = b"MOVE\r\n";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The module is finding it a server.
    Connecting,
    /// It stands: lines pass both ways.
    Established,
    /// Over for the module; what is left to write is being written.
    Closing,
    /// Both connections are closed.
    Closed,
}

pub struct Session {
    pub id: SessionId,
    pub stage: Cell<Stage>,
    /// When that stage began.
    pub since: Cell<Timestamp>,
    pub opening: OpenRequest,
    pub client: Rc<Socket<Proxy>>,
    pub from_client: RefCell<LineDecoder>,
    pub attempt: RefCell<Option<Rc<Attempt>>>,
    pub up: RefCell<Ring>,
    pub down: RefCell<Ring>,
    pub up_end: Cell<Option<End>>,
    pub down_end: Cell<Option<End>>,
    /// Since when it waits for the end of a line, to send its client away.
    pub leaving_line: Cell<Option<Timestamp>>,
    /// When the first line of the client's came that nothing has come back since.
    pub asked: Cell<Option<Timestamp>>,
    /// Its place in its customer's room, for as long as it is here.
    pub place: RefCell<Option<Rc<()>>>,
    pub me: Weak<Session>,
}

impl Session {
    pub fn new(
        id: SessionId,
        opening: OpenRequest,
        client: Rc<Socket<Proxy>>,
        ring: usize,
        now: Timestamp,
    ) -> Rc<Self> {
        Rc::new_cyclic(|me| Session {
            id,
            stage: Cell::new(Stage::Connecting),
            since: Cell::new(now),
            opening,
            client,
            from_client: RefCell::default(),
            attempt: RefCell::default(),
            up: RefCell::new(Ring::new(ring)),
            down: RefCell::new(Ring::keeping(MOVE.len(), ring)),
            up_end: Cell::default(),
            down_end: Cell::default(),
            leaving_line: Cell::default(),
            asked: Cell::default(),
            place: RefCell::default(),
            me: me.clone(),
        })
    }

    /// A connection that was open before this proxy started.
    pub fn is_taken_over(&self) -> bool {
        self.opening.at.is_some()
    }

    /// Guards against waiting for a server that does not exist: discovery names all there are at once.
    fn taken_over_within(&self, proxy: &Proxy) -> Duration {
        const NAMED_WITHIN: Duration = Duration::from_millis(2500);
        let unnamed = proxy.executor.list_heard.get() && self.attempt.borrow().is_none();
        if unnamed {
            NAMED_WITHIN
        } else {
            TAKE_OVER_WITHIN
        }
    }

    pub fn enter(&self, stage: Stage, now: Timestamp) {
        self.stage.set(stage);
        self.since.set(now);
    }

    /// One of its sockets may have become readable or writable.
    pub fn ready(&self, proxy: &mut Proxy) {
        // Guards against one busy session starving the rest: it goes on after the others had their turn.
        const ROUNDS: usize = 32;
        for _ in 0..ROUNDS {
            if self.stage.get() == Stage::Closed {
                return;
            }
            let heard = self.hear_client(proxy) | self.hear_server(proxy);
            if !(self.flush() | heard) {
                return self.wind_up(proxy);
            }
        }
        proxy.executor.call_again(self);
    }

    /// Writes what can be written, and ends the sides that have had their last byte.
    pub fn flush(&self) -> bool {
        let attempt = self.attempt.borrow().clone();
        let (mut up, mut down) = (self.up.borrow_mut(), self.down.borrow_mut());
        let mut written = 0;
        self.client.write_own();
        if let Some(attempt) = attempt.as_ref().filter(|c| c.is_up()) {
            written += attempt.socket.write(&mut up);
            if let (Some(end), true) = (self.up_end.get(), up.is_empty()) {
                attempt.socket.end(end);
            }
        }
        if matches!(self.stage.get(), Stage::Established | Stage::Closing) {
            written += self.client.write(&mut down);
            if let (Some(end), true) = (self.down_end.get(), down.is_empty()) {
                self.client.end(end);
            }
        }
        written > 0
    }

    /// The server has ended a standing connection: the client's side ends the same way.
    pub fn server_ended(&self, how: End, outcome: AttemptOutcome, proxy: &mut Proxy) {
        self.down_end.set(Some(how));
        self.up_end.set(Some(how));
        self.over_for_module(outcome, proxy);
    }

    /// The session has ended for the module, with all said that the client will hear of it.
    pub fn over_for_module(&self, outcome: AttemptOutcome, proxy: &mut Proxy) {
        if self.stage.get() == Stage::Established {
            self.enter(Stage::Closing, proxy.now());
            proxy.executor.pending.add(self);
            proxy.on_attempt_ended(self.id, outcome, true);
        }
    }

    /// A peer has broken the protocol: its connection ends, and the session with it, however the module is
    /// told that it ended.
    pub fn foul(&self, _: TooLong, outcome: AttemptOutcome, proxy: &mut Proxy) {
        proxy.executor.metrics.warn("overlong lines");
        self.server_ended(End::Fin, outcome, proxy);
        self.enter(Stage::Closing, proxy.now());
    }

    /// Sends the client away as soon as the server's last line has ended; true once that is done.
    pub fn try_moving(&self, now: Timestamp) -> bool {
        let between = self.attempt.borrow().as_ref().is_some_and(|c| c.between_lines());
        let moved = between && self.down.borrow_mut().push(MOVE);
        if moved {
            self.leaving_line.set(None);
            self.down_end.set(Some(End::Fin));
            self.up_end.set(Some(End::Fin));
            self.enter(Stage::Closing, now);
            self.flush();
        }
        moved
    }

    /// Its server has not ended in time the line that it began, or the client does not read what comes before. What has not
    /// gone out of that line is dropped; where its beginning has, the connection ends inside it.
    fn move_without_the_line(&self, proxy: &mut Proxy) {
        if self.down.borrow_mut().cut_unfinished_line() {
            self.attempt.borrow().iter().for_each(|attempt| attempt.forget_line());
            return proxy.finish_migration(self);
        }
        proxy.executor.metrics.count("migrated inside a line");
        self.server_ended(End::Fin, AttemptOutcome::Cancelled, proxy);
        self.flush();
    }

    /// Forgets the session once both sides have ended.
    pub fn wind_up(&self, proxy: &mut Proxy) {
        let server_over = || self.attempt.borrow().as_ref().is_none_or(|c| c.socket.is_over());
        if self.stage.get() == Stage::Closing && self.client.is_over() && server_over() {
            self.close(&mut proxy.executor);
        }
    }

    /// Closes both connections at once and forgets the session.
    pub fn close(&self, executor: &mut Executor) {
        self.attempt.borrow_mut().take();
        self.stage.set(Stage::Closed);
        self.place.take();
        executor.forget(self);
    }

    /// Whether something is to be done that no event may come for.
    pub fn is_due(&self) -> bool {
        match self.stage.get() {
            Stage::Connecting => self.is_taken_over(),
            Stage::Established => self.leaving_line.get().is_some(),
            Stage::Closing => true,
            Stage::Closed => false,
        }
    }

    /// Looks after what no event comes for.
    pub fn tick(&self, proxy: &mut Proxy) {
        // Long enough for a peer to end its side too, short enough to free the descriptors.
        const LAST_BYTES_WITHIN: Duration = Duration::from_millis(2000);
        // A line begun by the server must not be held up for longer than a second.
        const LINE_ENDS_WITHIN: Duration = Duration::from_millis(800);
        let now = proxy.now();
        let past = now.since(self.since.get());
        match self.stage.get() {
            Stage::Connecting if self.is_taken_over() && past > self.taken_over_within(proxy) => {
                self.answer("ERR", &mut proxy.executor);
            }
            Stage::Closing if past > LAST_BYTES_WITHIN => self.close(&mut proxy.executor),
            Stage::Established
                if self.leaving_line.get().is_some_and(|at| now.since(at) > LINE_ENDS_WITHIN) =>
            {
                self.move_without_the_line(proxy);
            }
            _ => {}
        }
    }
}
