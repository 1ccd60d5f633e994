//! The client's side of a circuit: from its first line to the final answer.

use crate::circuit::{Circuit, Stage};
use crate::line::{text, Open};
use crate::proxy::Proxy;
use crate::socket::End;
use shelfgrade::host::Ending;
use shelfgrade::time::{Point, Span};

impl Circuit {
    /// Reads once from the client; true if anything came.
    pub fn hear_client(&self, proxy: &mut Proxy) -> bool {
        let before = self.client.ended.get();
        let read = self.client.read(&mut self.up.borrow_mut());
        if read > 0 && self.up_end.get().is_some() {
            self.up.borrow_mut().clear();
        } else if read > 0 {
            let lines = self.from_client.borrow_mut().feed(self.up.borrow().latest(read));
            match lines {
                Ok(lines) => lines.iter().for_each(|line| self.client_says(line, proxy)),
                Err(fault) => self.foul(fault, Ending::CalledOff, proxy),
            }
        }
        match self.client.ended.get() {
            Some(how) if before.is_none() => self.client_ended(how, proxy),
            // A write noticed it first.
            Some(End::Reset) if self.stage.get() != Stage::Leaving => self.client_ended(End::Reset, proxy),
            _ => {}
        }
        read > 0
    }

    fn client_says(&self, line: &[u8], proxy: &mut Proxy) {
        match self.stage.get() {
            Stage::Greeting => {
                self.up.borrow_mut().skip(line.len());
                match text(line) {
                    "PING" => {
                        self.since.set(proxy.now());
                        let answer: &[u8] = if proxy.is_ready() { b"PONG\r\n" } else { b"ERR\r\n" };
                        self.down.borrow_mut().push(answer);
                        self.client.write(&mut self.down.borrow_mut());
                    }
                    line => self.open(line, proxy),
                }
            }
            Stage::Standing => self.asked.set(self.asked.get().or(Some(proxy.now()))),
            _ => {}
        }
    }

    fn open(&self, line: &str, proxy: &mut Proxy) {
        log::trace!("circuit {}: {line}", self.id.0);
        let Some(open) = Open::parse(line) else {
            log::warn!("circuit {}: a first line that is none", self.id.0);
            proxy.hands.tally.count("bad first lines");
            return self.answer("ERR", proxy.now());
        };
        let now = proxy.now();
        *self.opening.borrow_mut() = line.to_owned();
        self.enter(Stage::Asking, now);
        if open.field("at").is_some() {
            return proxy.hands.take_over(self);
        }
        if proxy.hands.is_full() {
            proxy.hands.tally.count("pushed back for want of descriptors");
            return self.answer("BUSY", now);
        }
        let Some(patience) = open.patience() else {
            proxy.hands.tally.count("bad first lines");
            return self.answer("ERR", now);
        };
        proxy.arrived(&open, self.id, now + patience);
    }

    fn client_ended(&self, how: End, proxy: &mut Proxy) {
        match self.stage.get() {
            Stage::Greeting => {
                self.enter(Stage::Leaving, proxy.now());
                self.down_end.set(Some(how));
            }
            Stage::Asking => {
                proxy.hands.tally.count("clients gone unanswered");
                self.down_end.set(Some(how));
                self.give_up(proxy);
            }
            Stage::Standing => {
                self.up_end.set(Some(how));
                if how == End::Reset {
                    self.down_end.set(Some(how));
                }
                self.over_for_module(Ending::CalledOff, proxy);
            }
            Stage::Leaving => {}
        }
    }

    /// The client has left before its answer: the connect that is out ends with it.
    pub fn give_up(&self, proxy: &mut Proxy) {
        self.enter(Stage::Leaving, proxy.now());
        self.down_end.set(self.down_end.get().or(Some(End::Fin)));
        self.connect.borrow_mut().take();
        proxy.left(self.id);
    }

    /// The final answer, when the client gets no server.
    pub fn answer(&self, line: &str, now: Point) {
        self.connect.borrow_mut().take();
        self.up.borrow_mut().clear();
        self.down.borrow_mut().clear();
        self.down.borrow_mut().push(format!("{line}\r\n").as_bytes());
        self.up_end.set(Some(End::Fin));
        self.down_end.set(Some(End::Fin));
        self.enter(Stage::Leaving, now);
        self.flush();
    }
}

/// How a pushback is written.
pub fn busy(pause: Span) -> String {
    format!("BUSY {}", pause.as_ms().ceil())
}
