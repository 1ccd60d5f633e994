//! The client's side of a session: from its first line to the final answer.

use crate::executor::Executor;
use crate::net::socket::End;
use crate::proxy::Proxy;
use crate::session::{Session, Stage};
use shelfgrade::host::AttemptOutcome;
use shelfgrade::time::DurationExt;
use std::time::Duration;

impl Session {
    /// Whether the client still waits for its answer, and does nothing else. Guards against an attempt for one that
    /// has gone, by a close, a reset or an end of its sending alone, with no event of that heard yet, and against
    /// serving whoever does not wait. An end of its sending cannot be told from a close: it has its answer all the same.
    pub fn client_is_waiting(&self, executor: &mut Executor) -> bool {
        if self.client.rests() {
            return true;
        }
        if self.client.ended.get().is_some() {
            executor.metrics.count("clients closed before answer");
            self.answer("ERR", executor);
        } else {
            executor.metrics.warn("data before answer");
            self.answer("ERR", executor);
        }
        false
    }

    /// Reads once from the client; true if anything came.
    pub fn hear_client(&self, proxy: &mut Proxy) -> bool {
        if self.stage.get() == Stage::Connecting {
            let asks = self.client_is_waiting(&mut proxy.executor);
            if !asks {
                proxy.on_client_closed(self.id);
            }
            return !asks;
        }
        let before = self.client.ended.get();
        let read = self.client.read(&mut self.up.borrow_mut());
        if read > 0 && self.up_end.get().is_some() {
            self.up.borrow_mut().clear();
        } else if read > 0 {
            let lines = self.from_client.borrow_mut().feed(self.up.borrow().latest(read));
            match lines {
                Ok(lines) if lines.is_empty() => {}
                Ok(_) if self.asked.get().is_none() => {
                    self.asked.set(Some(proxy.now()));
                    proxy.executor.unanswered.add(self);
                }
                Ok(_) => {}
                Err(error) => self.foul(error, AttemptOutcome::Cancelled, proxy),
            }
        }
        match self.client.ended.get() {
            Some(how) if before.is_none() => self.client_ended(how, proxy),
            // A write noticed it first.
            Some(End::Reset) if self.stage.get() == Stage::Established => {
                self.client_ended(End::Reset, proxy)
            }
            _ => {}
        }
        read > 0
    }

    fn client_ended(&self, how: End, proxy: &mut Proxy) {
        match self.stage.get() {
            Stage::Established => {
                self.up_end.set(Some(how));
                if how == End::Reset {
                    self.down_end.set(Some(how));
                }
                self.over_for_module(AttemptOutcome::Cancelled, proxy);
            }
            Stage::Connecting | Stage::Closing | Stage::Closed => {}
        }
    }

    /// The final answer, when the client gets no server: told at once, and the connection ended behind it.
    pub fn answer(&self, line: &str, executor: &mut Executor) {
        self.client.tell(line);
        self.close(executor);
        executor.close_after_last_line(self.client.clone());
    }
}

/// How a pushback is written.
pub fn busy(retry_after: Duration) -> String {
    format!("BUSY {}", retry_after.as_ms().ceil())
}
