//! Discovery over HTTP/1.1: one connection, one call at a time, and after each answer the next watch at once.

use crate::discovery::endpoint_list::{EndpointList, ListError};
use crate::net::event_loop::EventLoopOwner;
use crate::net::http::{Exchange, HttpError};
use crate::net::ring::Ring;
use crate::net::socket::Socket;
use calloop::timer::{TimeoutAction, Timer};
use calloop::RegistrationToken;
use nanorand::{Rng, WyRand};
use shelfgrade::time::{DurationExt, Timestamp};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

// What a silent watch misses counts as told six seconds after it fell silent, or two after its wait, whichever is
// later. It may have fallen silent as soon as it was asked for.
const COUNTS_AFTER: Duration = Duration::from_millis(6000);
const PAST_ITS_WAIT: Duration = Duration::from_millis(2000);

/// How long calls may take.
pub struct Pace {
    /// How long a watch waits for news, drawn anew for each. Guards against a fleet whose watches, all answered at the
    /// same change and silent together, would all ask in the same instant: more than discovery can take. A new watch,
    /// which may be kept waiting before, waits for less of it.
    waits: [Duration; 2],
    /// The answer to a wait that is over is on its way for less than this, where the watch went on from an answer;
    slack: Duration,
    /// where it is a new one, discovery may have others to answer before.
    in_turn: Duration,
    /// A call that does not wait, and a connection.
    at_once: Duration,
    dial: Duration,
}

/// Discovery that all proxies ask: with these waits silence is known 2.8 s after a watch was asked for at the latest,
/// which leaves time for a call that is kept waiting and refused, and for others after it. Another try after a
/// connection that is not up, or a call that is silent, comes in the four seconds after which a new discovery's list
/// counts as told.
pub const ASKED: Pace = Pace {
    waits: [Duration::from_millis(800), Duration::from_millis(2000)],
    slack: Duration::from_millis(300),
    in_turn: Duration::from_millis(2000),
    at_once: Duration::from_millis(2500),
    dial: Duration::from_millis(1000),
};

/// An agent of this proxy's own, on the same machine: it answers within milliseconds. Guards against hanging on a call
/// from an outage: what the agent gets when that is over counts as told at once.
pub const PUSHED: Pace = Pace {
    waits: [Duration::from_millis(150), Duration::from_millis(300)],
    slack: Duration::from_millis(150),
    in_turn: Duration::from_millis(150),
    at_once: Duration::from_millis(1000),
    dial: Duration::from_millis(250),
};

/// What became of a call that brought no list.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    #[error(
        "discovery at {at}: cannot connect ({source}): start it, or correct its address in the start-up file"
    )]
    Dial { at: SocketAddr, source: std::io::Error },
    #[error("discovery at {at}: no connection in time: see whether it runs and the way there is open")]
    NotUp { at: SocketAddr },
    #[error("discovery at {at}: silent: asked again at once; if this goes on, look at it and the way there")]
    Silent { at: SocketAddr },
    #[error("discovery at {at}: {source}")]
    Http { at: SocketAddr, source: HttpError },
    #[error("discovery at {at}: {source}")]
    List { at: SocketAddr, source: ListError },
}

/// Who follows the list, and whose loop carries the calls.
pub trait Follower: EventLoopOwner {
    /// Discovery has told a list; true where it is to be watched on from there.
    fn on_endpoints(&mut self, list: &EndpointList) -> bool;
    /// A call that was out since then was refused or has failed.
    fn on_poll_failed(&mut self, error: &CallError, since: Timestamp);
    /// A watch, or a call that was taken, has had no answer in its time, or one that is of no use: it is broken, and is
    /// asked for anew at once. What it missed counts as told at `due`.
    fn on_watch_lost(&mut self, error: &CallError, due: Timestamp);
}

pub struct Discovery<F: Follower> {
    at: Cell<SocketAddr>,
    seq: Cell<Option<u64>>,
    socket: RefCell<Option<Rc<Socket<F>>>>,
    request: RefCell<Ring>,
    inbox: RefCell<Ring>,
    /// The call that is out.
    call: RefCell<Option<Exchange>>,
    /// When the last call began.
    began: Cell<Timestamp>,
    timer: Cell<Option<RegistrationToken>>,
    /// The last call was answered, by a list.
    heard: Cell<bool>,
    pace: Pace,
    chance: RefCell<WyRand>,
}

impl<F: Follower> Discovery<F> {
    /// `seq` is the version of the list held, if there is one.
    pub fn new(at: SocketAddr, seq: Option<u64>, pace: Pace, seed: u64) -> Rc<Self> {
        Rc::new(Discovery {
            at: Cell::new(at),
            seq: Cell::new(seq),
            socket: RefCell::default(),
            request: RefCell::new(Ring::new(512)),
            inbox: RefCell::new(Ring::new(16 << 10)),
            call: RefCell::default(),
            began: Cell::default(),
            timer: Cell::default(),
            heard: Cell::default(),
            pace,
            chance: RefCell::new(WyRand::new_seed(seed)),
        })
    }

    /// From now on another one is asked; true if it is another. Guards against hearing both: what the old one
    /// was asked is dropped with its connection and its time-out, and as versions may not match, the new one
    /// is asked for the whole list. What the old one has written until now counts as told, and is heard first.
    pub fn move_to(self: &Rc<Self>, at: SocketAddr, follower: &mut F) -> bool {
        self.look(follower);
        let moves = self.at.replace(at) != at;
        if moves {
            self.forget(follower);
        }
        moves
    }

    /// Asks for what is newer than the list held, or for all of it; where a call is out, that one serves.
    pub fn ask(self: &Rc<Self>, follower: &mut F) {
        self.call(false, follower);
    }

    /// `goes_on`: the last call has just been answered.
    fn call(self: &Rc<Self>, goes_on: bool, follower: &mut F) {
        if self.call.borrow().is_some() {
            return;
        }
        let began = follower.now();
        self.began.set(began);
        let (path, wait, more) = match self.seq.get() {
            Some(seq) => {
                let (part, more) = if goes_on { (1.0, self.pace.slack) } else { (0.4, self.pace.in_turn) };
                let wait = self.draw_wait(part);
                (format!("/catalog/members?index={seq}&wait={}", wait.as_ms()), wait, more)
            }
            None => ("/catalog/members".to_owned(), Duration::ZERO, self.pace.at_once),
        };
        let due = began + COUNTS_AFTER.max(wait + PAST_ITS_WAIT);
        let begun = Exchange::get(self.at.get(), &path)
            .map_err(|source| CallError::Http { at: self.at.get(), source });
        let dialled = begun.and_then(|(call, bytes)| {
            self.request.borrow_mut().clear();
            self.request.borrow_mut().push(&bytes);
            *self.call.borrow_mut() = Some(call);
            self.dial(follower).map_err(|source| CallError::Dial { at: self.at.get(), source })
        });
        // A failure at once is told as one in time is: not from within this call.
        let first = if dialled.is_ok() { self.pace.dial } else { Duration::ZERO };
        let (me, ends, error) = (self.clone(), began + wait + more, Cell::new(dialled.err()));
        let timer = Timer::from_duration(first);
        let token = follower.handle().insert_source(timer, move |_, _, follower| {
            let left = ends.since(follower.now());
            let up = me.socket.borrow().as_ref().is_some_and(|s| s.is_connected().unwrap_or(false));
            if up && left > Duration::ZERO {
                return TimeoutAction::ToDuration(left);
            }
            me.timer.take();
            let at = me.at.get();
            let error =
                error.take().unwrap_or(if up { CallError::Silent { at } } else { CallError::NotUp { at } });
            match error {
                CallError::Silent { .. } => me.missed(&error, due, follower),
                _ => me.failed(&error, follower),
            }
            TimeoutAction::Drop
        });
        self.timer.set(token.ok());
        self.flush();
    }

    /// How long the next watch waits, in whole milliseconds.
    fn draw_wait(&self, part: f64) -> Duration {
        let [least, most] = self.pace.waits.map(|wait| wait.as_ms());
        let luck = f64::from(self.chance.borrow_mut().generate::<f32>());
        Duration::from_ms((part * (least + (most - least) * luck)).floor())
    }

    /// Takes in what has come but was not heard of yet. Guards against placing a session, or writing its first byte, by
    /// a list that is no longer the last one told: the news may lie unread in the same turn of the loop.
    pub fn look(self: &Rc<Self>, follower: &mut F) {
        if self.call.borrow().is_some() {
            self.ready(follower);
        }
    }

    fn dial(self: &Rc<Self>, follower: &mut F) -> std::io::Result<()> {
        if self.socket.borrow().is_none() {
            let socket = Rc::new(Socket::dial(self.at.get())?);
            let me = self.clone();
            socket.watch(&follower.handle(), move |follower| me.ready(follower))?;
            *self.socket.borrow_mut() = Some(socket);
        }
        Ok(())
    }

    fn flush(&self) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        if socket.is_connected().is_ok_and(|up| up) {
            while socket.write(&mut self.request.borrow_mut()) > 0 {}
        }
    }

    fn ready(self: &Rc<Self>, follower: &mut F) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let at = self.at.get();
        match socket.is_connected() {
            Err(source) => return self.failed(&CallError::Dial { at, source }, follower),
            Ok(false) => return,
            Ok(true) => {}
        }
        self.flush();
        let mut call = self.call.borrow_mut();
        let mut inbox = self.inbox.borrow_mut();
        while socket.read(&mut inbox) > 0 {
            // What comes between calls is nothing that was asked for.
            let _ = call.as_mut().map(|call| inbox.drain_to(call.input()));
            inbox.clear();
        }
        drop(inbox);
        let ended = socket.peer_end.get().is_some();
        let answer = call.as_mut().map(|call| call.response(ended));
        drop(call);
        match answer {
            // Between calls it may end as it likes; the next call opens another.
            None if ended => drop(self.socket.take()),
            None | Some(Ok(None)) => {}
            Some(Ok(Some(answer))) => match EndpointList::parse(&answer.body) {
                // Guards against following changes to a list that was never had: discovery counts from the start again.
                Ok(list) if !list.whole && self.seq.get().is_some_and(|asked| list.seq < asked) => {
                    log::warn!("discovery at {at}: back at version {}: asked for all", list.seq);
                    self.forget(follower);
                    self.ask(follower);
                }
                Ok(mut list) => {
                    list.told_at = answer.date;
                    if !answer.keep_alive {
                        self.socket.take();
                    }
                    self.stop_timer(follower);
                    self.call.take();
                    self.seq.set(Some(list.seq));
                    self.heard.set(true);
                    if follower.on_endpoints(&list) {
                        self.call(true, follower);
                    }
                }
                Err(source) => self.failed(&CallError::List { at, source }, follower),
            },
            Some(Err(source)) => self.failed(&CallError::Http { at, source }, follower),
        }
    }

    fn missed(&self, error: &CallError, due: Timestamp, follower: &mut F) {
        self.heard.set(false);
        self.drop_call(follower);
        follower.on_watch_lost(error, due);
    }

    fn failed(&self, error: &CallError, follower: &mut F) {
        let begun = match (error, &*self.call.borrow()) {
            (_, None) => return drop(self.socket.take()),
            (CallError::Http { source: HttpError::Truncated, .. }, Some(call)) => call.has_begun(),
            (CallError::Http { source: HttpError::Status(_), .. }, _) => false,
            (CallError::Http { .. } | CallError::List { .. }, _) => true,
            _ => false,
        };
        // Guards against news that was written, and so counts as told, but could not be read, being asked for only
        // after the pause of a refusal. A discovery that writes nothing else is not asked without end.
        if begun && self.heard.get() {
            return self.missed(error, follower.now(), follower);
        }
        self.drop_call(follower);
        follower.on_poll_failed(error, self.began.get());
    }

    /// What was told is not gone by: the next call is for the whole list.
    pub fn forget(&self, follower: &F) {
        self.drop_call(follower);
        self.seq.set(None);
    }

    /// Forgets the call and its connection.
    pub fn drop_call(&self, follower: &F) {
        self.stop_timer(follower);
        self.socket.take();
        self.call.take();
    }

    fn stop_timer(&self, follower: &F) {
        if let Some(token) = self.timer.take() {
            follower.handle().remove(token);
        }
    }
}
