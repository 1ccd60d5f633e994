//! A connection whose client has yet to send its first line. It costs one descriptor and the bytes of that
//! line: it has no session and no rings until the line is there and can be used.

use crate::net::line::{whole, OpenRequest, LONGEST};
use crate::net::socket::{End, Socket};
use crate::proxy::Proxy;
use shelfgrade::time::Timestamp;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

pub struct PendingConnection {
    /// Its place in the order in which callers were last heard of.
    pub number: Cell<u64>,
    /// When it connected, or last asked for a sign of life.
    pub since: Cell<Timestamp>,
    pub socket: Rc<Socket<Proxy>>,
    begun: RefCell<Vec<u8>>,
    /// It has asked for a sign of life and waits for it.
    pub asks: Cell<bool>,
    /// It has asked once, as a front does that may keep its connection.
    asked: Cell<bool>,
}

impl PendingConnection {
    pub fn new(number: u64, socket: Socket<Proxy>, now: Timestamp) -> Rc<Self> {
        Rc::new(PendingConnection {
            number: Cell::new(number),
            since: Cell::new(now),
            socket: Rc::new(socket),
            begun: RefCell::default(),
            asks: Cell::default(),
            asked: Cell::default(),
        })
    }

    /// Reads what has come, to one byte past the longest line at most: more is never looked at.
    pub fn ready(&self, proxy: &mut Proxy) {
        if !proxy.listener.holds(self) {
            return;
        }
        let mut begun = self.begun.borrow_mut();
        self.socket.write_own();
        while self.socket.take(&mut begun, LONGEST + 3) > 0 {}
        let ended = self.socket.ended.get();
        match begun.iter().position(|b| *b == b'\n') {
            _ if ended == Some(End::Reset) || ended.is_some() && begun.is_empty() => {
                proxy.listener.forget(self)
            }
            _ if ended.is_some() => {
                let line = std::mem::take(&mut *begun);
                drop(begun);
                self.ends_behind(&line, proxy);
            }
            // Guards against serving whoever does not wait for an answer: all that came is refused.
            Some(end) if end + 1 < begun.len() => self.refuse("ERR", "data after first line", proxy),
            Some(_) => {
                let line = std::mem::take(&mut *begun);
                drop(begun);
                self.says(&line, proxy);
            }
            None if begun.len() > LONGEST + 2 => self.refuse("ERR", "overlong lines", proxy),
            None => {}
        }
    }

    /// It has ended its sending behind this, and may still read. Nothing begins for it, as it may have gone.
    fn ends_behind(&self, sent: &[u8], proxy: &mut Proxy) {
        let asks = whole(sent) == Some("PING") && !proxy.startup_gate.is_closed();
        let answer = if asks && proxy.is_ready() { "PONG" } else { "ERR" };
        self.refuse(answer, "clients closed before answer", proxy);
    }

    fn says(&self, line: &[u8], proxy: &mut Proxy) {
        let line = whole(line);
        if line == Some("PING") {
            self.asks.set(true);
            self.asked.set(true);
            if !proxy.startup_gate.is_closed() {
                self.answer_sign(proxy.is_ready());
            }
            return proxy.heard_of(self);
        }
        match line.and_then(|line| OpenRequest::parse(line, &proxy.classes)) {
            Some(_) if proxy.executor.is_full() => {
                self.refuse("BUSY", "rejected for lack of descriptors", proxy);
            }
            Some(_) if proxy.rejects_new_sessions() => self.refuse("BUSY", "rejected at shutdown", proxy),
            Some(open) if !proxy.listener.is_new(open.id, &proxy.executor.open_ids) => {
                self.refuse("ERR", "duplicate request ids", proxy)
            }
            Some(open) => {
                proxy.listener.forget(self);
                proxy.open_session(open, self.socket.clone());
            }
            None => self.refuse("ERR", "malformed first lines", proxy),
        }
    }

    /// It may be a client that has yet to send its line, or is half through it.
    pub fn is_owed(&self) -> bool {
        !self.asked.get() || !self.begun.borrow().is_empty()
    }

    /// It has asked for a sign of life, which it is not given before the list is heard.
    pub fn waits_for_sign(&self) -> bool {
        self.asks.get()
    }

    /// Answers who has asked for a sign of life.
    pub fn answer_sign(&self, ready: bool) {
        if self.asks.take() {
            self.socket.tell(if ready { "PONG" } else { "ERR" });
        }
    }

    /// Answers at once, and ends the connection behind that.
    pub fn refuse(&self, answer: &str, why: &'static str, proxy: &mut Proxy) {
        proxy.executor.metrics.warn(why);
        self.socket.tell(answer);
        proxy.listener.forget(self);
        proxy.executor.close_after_last_line(self.socket.clone());
    }
}
