//! The server's side of a session: one attempt, from the dial to the end of the connection.

use crate::executor::Executor;
use crate::net::line::{text, LineDecoder};
use crate::net::ring::Ring;
use crate::net::socket::{End, Socket};
use crate::proxy::Proxy;
use crate::session::{Session, Stage};
use crate::upstream::health_check::HealthCheck;
use crate::upstream::load_reports::LoadReports;
use crate::upstream::message_latency::MessageLatency;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{LoopHandle, RegistrationToken};
use shelfgrade::host::{AttemptOutcome, EndpointState, ServerId};
use shelfgrade::time::{DurationExt, Timestamp};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Work a second that no connection asks for: all of a thousand cores.
const MOST_LOAD: f64 = 1e9;

/// A server of the list, as far as carrying out needs it.
pub struct Server {
    pub id: ServerId,
    pub state: Cell<EndpointState>,
    pub dial: Cell<SocketAddr>,
    pub message_latency: MessageLatency,
    pub load_reports: LoadReports,
    pub health_check: RefCell<Option<Rc<HealthCheck>>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
enum Phase {
    Dialling,
    Writing,
    Waiting,
    Up,
}

pub struct Attempt {
    pub server: Rc<Server>,
    pub socket: Socket<Proxy>,
    phase: Cell<Phase>,
    /// What is left to write of the first line.
    first: RefCell<Ring>,
    lines: RefCell<LineDecoder>,
    gives_up: Timestamp,
    timer: Cell<Option<(LoopHandle<'static, Proxy>, RegistrationToken)>>,
    /// What the server's last line says of an end that follows it.
    farewell: Cell<AttemptOutcome>,
}

impl Attempt {
    /// Dials; the time-out covers the attempt and the wait for the first answer.
    pub fn begin(
        session: &Rc<Session>,
        server: Rc<Server>,
        time_out: Duration,
        now: Timestamp,
        executor: &Executor,
    ) -> io::Result<Rc<Self>> {
        let socket = Socket::dial(server.dial.get())?;
        let weak = session.me.clone();
        socket.watch(&executor.handle, move |proxy| {
            weak.upgrade().inspect(|session| session.ready(proxy));
        })?;
        let attempt = Rc::new(Attempt {
            server,
            socket,
            phase: Cell::new(Phase::Dialling),
            first: RefCell::new(Ring::new(1)),
            lines: RefCell::default(),
            gives_up: now + time_out,
            timer: Cell::default(),
            farewell: Cell::new(AttemptOutcome::ConnectionLost),
        });
        // What was open before the start has only this one attempt.
        let dial = executor.dial_time_out.filter(|_| !session.is_taken_over());
        let dial = dial.map_or(time_out, |dial| dial.min(time_out));
        attempt.give_up_in(dial, session, &executor.handle);
        Ok(attempt)
    }

    pub fn is_up(&self) -> bool {
        self.phase.get() == Phase::Up
    }

    pub fn between_lines(&self) -> bool {
        self.lines.borrow().between_lines()
    }

    /// What it began of a line is not passed on.
    pub fn forget_line(&self) {
        *self.lines.borrow_mut() = LineDecoder::default();
    }

    /// Guards against a stale alarm too: the new one takes the old one's place, and goes with the attempt.
    fn give_up_in(self: &Rc<Self>, wait: Duration, session: &Session, handle: &LoopHandle<'static, Proxy>) {
        self.stop_timer();
        let (session, attempt) = (session.me.clone(), Rc::downgrade(self));
        let timer = Timer::from_duration(wait);
        let token = handle.insert_source(timer, move |_, _, proxy| {
            if let (Some(session), Some(attempt)) = (session.upgrade(), attempt.upgrade()) {
                attempt.timer.take();
                attempt.timed_out(&session, proxy);
            }
            TimeoutAction::Drop
        });
        self.timer.set(token.ok().map(|token| (handle.clone(), token)));
    }

    fn stop_timer(&self) {
        if let Some((handle, token)) = self.timer.take() {
            handle.remove(token);
        }
    }

    fn timed_out(self: &Rc<Self>, session: &Session, proxy: &mut Proxy) {
        // Guards against time running out just as the answer, or the client's end, comes in.
        session.ready(proxy);
        if session.current(self) && self.phase.get() != Phase::Up {
            session.attempt_ended(self, self.unrun_or(AttemptOutcome::TimedOut), proxy);
        }
    }

    /// Before the first line's last byte is written nothing can have run.
    fn unrun_or(&self, outcome: AttemptOutcome) -> AttemptOutcome {
        if self.phase.get() < Phase::Waiting {
            AttemptOutcome::Unreachable
        } else {
            outcome
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.stop_timer();
    }
}

impl Session {
    /// Goes on with the attempt, or reads once from the server; true if anything came.
    pub fn hear_server(&self, proxy: &mut Proxy) -> bool {
        let Some(attempt) = self.attempt.borrow().clone() else { return false };
        if attempt.phase.get() == Phase::Dialling {
            let up = attempt.socket.is_up();
            if matches!(up, Ok(true)) {
                proxy.discovery.clone().read_pending(proxy);
            }
            match up {
                Ok(false) => return false,
                Ok(true) if self.may_send_request(&attempt, proxy) => {
                    let line = self.opening.for_server(attempt.gives_up.since(proxy.now()));
                    let mut first = Ring::new(line.len());
                    first.push(line.as_bytes());
                    *attempt.first.borrow_mut() = first;
                    attempt.phase.set(Phase::Writing);
                    let wait = attempt.gives_up.since(proxy.now());
                    attempt.give_up_in(wait, self, &proxy.executor.handle);
                }
                Ok(true) | Err(_) => {
                    self.attempt_ended(&attempt, AttemptOutcome::Unreachable, proxy);
                    return true;
                }
            }
        }
        if attempt.phase.get() == Phase::Writing {
            while attempt.socket.write(&mut attempt.first.borrow_mut()) > 0 {}
            if attempt.first.borrow().is_empty() && attempt.socket.ended.get().is_none() {
                attempt.phase.set(Phase::Waiting);
            }
        }
        let before = attempt.socket.ended.get();
        let read = attempt.socket.read(&mut self.down.borrow_mut());
        if read > 0 {
            self.take_in(&attempt, read, proxy);
        }
        match attempt.socket.ended.get() {
            Some(how) if self.current(&attempt) && (before.is_none() || how == End::Reset) => {
                match self.stage.get() {
                    Stage::Connecting => {
                        self.attempt_ended(&attempt, attempt.unrun_or(AttemptOutcome::ConnectionLost), proxy);
                        return true;
                    }
                    Stage::Established => self.server_ended(how, attempt.farewell.get(), proxy),
                    // After the client's end the server's follows.
                    _ => self.down_end.set(self.down_end.get().or(Some(how))),
                }
            }
            _ => {}
        }
        read > 0
    }

    /// Guards against something new at a server that was listed as draining, or went, while its attempt came
    /// up, and against a line for one that has closed the connection by now: nothing is sent then, which proves that
    /// nothing ran. Whether it may still be sent again the decisions say.
    fn may_send_request(&self, attempt: &Attempt, proxy: &mut Proxy) -> bool {
        let wanted = attempt.server.state.get() == EndpointState::Active || self.is_taken_over();
        let now = proxy.now();
        wanted && proxy.balancer.may_send_request(self.id, now) && !attempt.socket.has_left()
    }

    fn current(&self, attempt: &Rc<Attempt>) -> bool {
        self.attempt.borrow().as_ref().is_some_and(|c| Rc::ptr_eq(c, attempt))
    }

    /// Reads along in what has come into the ring.
    fn take_in(&self, attempt: &Rc<Attempt>, read: usize, proxy: &mut Proxy) {
        if self.down_end.get().is_some() {
            // Its client is being sent away or has had its answer.
            self.down.borrow_mut().cut(read);
            return;
        }
        if self.leaving_line.get().is_some() {
            // Guards against a move between the pieces of a line: what follows the last whole one stays out.
            let mut down = self.down.borrow_mut();
            let after = down.latest(read).iter().rev().take_while(|b| **b != b'\n').count();
            if after < read {
                down.cut(after);
                attempt.forget_line();
                drop(down);
                return proxy.finish_migration(self);
            }
        }
        let lines = attempt.lines.borrow_mut().feed(self.down.borrow().latest(read));
        match lines {
            Ok(lines) => lines.iter().for_each(|line| self.server_says(attempt, text(line), proxy)),
            Err(error) if attempt.is_up() => self.foul(error, AttemptOutcome::ConnectionLost, proxy),
            Err(_) => {
                proxy.executor.metrics.count("overlong lines");
                self.attempt_ended(attempt, AttemptOutcome::ConnectionLost, proxy);
            }
        }
    }

    fn server_says(&self, attempt: &Rc<Attempt>, line: &str, proxy: &mut Proxy) {
        log::trace!("session {} at {}: {line}", self.id.0, attempt.server.id);
        if !self.current(attempt) {
            return;
        }
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        if attempt.phase.get() != Phase::Up {
            match word {
                "UP" => {
                    attempt.phase.set(Phase::Up);
                    attempt.stop_timer();
                    self.enter(Stage::Established, proxy.now());
                    proxy.on_established(self, &attempt.server.id);
                }
                "BUSY" => self.attempt_ended(attempt, AttemptOutcome::Rejected, proxy),
                "MOVE" => self.attempt_ended(attempt, AttemptOutcome::Cancelled, proxy),
                _ => self.attempt_ended(attempt, AttemptOutcome::Failed, proxy),
            }
            return;
        }
        attempt.farewell.set(match word {
            "BYE" => AttemptOutcome::Completed,
            "MOVE" => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::ConnectionLost,
        });
        let asked = self.asked.take();
        match (word, asked) {
            ("LOAD", _) => {
                let told = rest.parse().ok().filter(|told: &f64| (0.0..MOST_LOAD).contains(told));
                told.into_iter().for_each(|told| self.server_tells(&attempt.server, told, proxy));
            }
            ("BYE" | "MOVE", _) | (_, None) => {}
            (_, Some(asked)) => attempt.server.message_latency.came_back(self, proxy.now().since(asked)),
        }
    }

    /// Servers write two kinds of notes in the same words: a connection's load, in microseconds of work a
    /// second, and how long messages take there now, in milliseconds.
    fn server_tells(&self, server: &Server, told: f64, proxy: &mut Proxy) {
        let now = proxy.now();
        if proxy.executor.tells_delay && server.load_reports.is_delay(told, now) {
            log::debug!("messages at {} take {told} ms, it says", server.id);
            proxy.on_message_latency(self.id, Duration::from_ms(told));
        } else {
            proxy.balancer.on_load_report(self.id, told);
        }
    }

    /// An attempt has ended without a connection; the module says how it goes on.
    pub fn attempt_ended(&self, attempt: &Attempt, outcome: AttemptOutcome, proxy: &mut Proxy) {
        log::debug!("session {} at {}: {outcome:?}", self.id.0, attempt.server.id);
        self.attempt.borrow_mut().take();
        self.down.borrow_mut().clear();
        if self.is_taken_over() {
            return self.answer("ERR", &mut proxy.executor);
        }
        proxy.on_attempt_ended(self.id, outcome, false);
    }
}
