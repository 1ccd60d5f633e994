//! The client's side of a session: from its first line to the final answer.

use crate::executor::Executor;
use crate::net::line::ProxyResponse;
use crate::net::socket::End;
use crate::proxy::Proxy;
use crate::session::{Session, Stage};
use shelfgrade::host::AttemptOutcome;

impl Session {
    /// Whether the client still waits for its answer and has sent nothing more; otherwise it gets its final answer here.
    ///
    /// No attempt may start for a client that has closed or reset its connection, even if no event of that has been
    /// handled yet. A client that has ended only its sending is indistinguishable from one that has closed.
    pub fn client_is_waiting(&self, executor: &mut Executor) -> bool {
        if self.client.is_idle() {
            return true;
        }
        if self.client.peer_end.get().is_some() {
            executor.metrics.count("clients closed before answer");
        } else {
            executor.metrics.count_and_warn("data before answer");
        }
        self.send_final_response(ProxyResponse::Failed, executor);
        false
    }

    /// Reads once from the client; whether anything was received, or the client has left.
    pub fn read_client(&self, proxy: &mut Proxy) -> bool {
        if self.stage.get() == Stage::Connecting {
            return self.check_for_abort(proxy);
        }
        let end_before = self.client.peer_end.get();
        let read = self.client.read(&mut self.to_server.borrow_mut());
        if read > 0 {
            self.on_client_data(read, proxy);
        }
        match self.client.peer_end.get() {
            Some(end) if end_before.is_none() => self.on_client_end(end, proxy),
            // A failed write has noticed the reset before this read.
            Some(End::Reset) if self.stage.get() == Stage::Established => {
                self.on_client_end(End::Reset, proxy);
            }
            _ => {}
        }
        read > 0
    }

    /// Whether the client has left while an attempt was under way, which the load balancer is notified of.
    fn check_for_abort(&self, proxy: &mut Proxy) -> bool {
        let aborted = !self.client_is_waiting(&mut proxy.executor);
        if aborted {
            proxy.on_client_closed(self.id);
        }
        aborted
    }

    /// The last `read` bytes of the buffer to the server have just come from the client.
    fn on_client_data(&self, read: usize, proxy: &mut Proxy) {
        if self.to_server_end.get().is_some() {
            self.to_server.borrow_mut().clear();
            return;
        }
        let lines = self.client_decoder.borrow_mut().feed(self.to_server.borrow().latest(read));
        match lines {
            Ok(lines) if !lines.is_empty() && self.awaiting_reply_since.get().is_none() => {
                self.awaiting_reply_since.set(Some(proxy.now()));
                proxy.executor.awaiting_reply.add(self);
            }
            Ok(_) => {}
            Err(error) => self.protocol_error(error, AttemptOutcome::Cancelled, proxy),
        }
    }

    fn on_client_end(&self, end: End, proxy: &mut Proxy) {
        if self.stage.get() != Stage::Established {
            return;
        }
        self.to_server_end.set(Some(end));
        if end == End::Reset {
            self.to_client_end.set(Some(end));
        }
        self.finish(AttemptOutcome::Cancelled, proxy);
    }

    /// Sends the final answer of a session that gets no server, and closes the connection behind it.
    pub fn send_final_response(&self, answer: ProxyResponse, executor: &mut Executor) {
        self.client.send_line(&answer.line());
        self.close(executor);
        executor.close_after_final_answer(self.client.clone());
    }
}
