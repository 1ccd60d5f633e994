//! The client side of a session: reads from the client, and sends its final response.

use crate::executor::Executor;
use crate::net::line::ProxyResponse;
use crate::net::socket::StreamEnd;
use crate::proxy::Proxy;
use crate::session::{Session, Stage};
use shelfgrade::host::AttemptOutcome;

impl Session {
    /// Whether the client is still connected and has sent nothing after its first line. Otherwise the session is
    /// failed here.
    ///
    /// No attempt may start for a client that has closed or reset its connection, even if that event has not been
    /// handled yet. A client that has shut down only its sending direction cannot be distinguished from one that has
    /// closed its connection.
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

    /// Reads once from the client. Returns whether anything was received, or the client has closed its connection
    /// before the session was established.
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
            // The reset was already noticed by a failed write, before this read.
            Some(StreamEnd::Reset) if self.stage.get() == Stage::Established => {
                self.on_client_end(StreamEnd::Reset, proxy);
            }
            _ => {}
        }
        read > 0
    }

    /// Whether the client has aborted while an attempt is in progress. The load balancer is then notified.
    fn check_for_abort(&self, proxy: &mut Proxy) -> bool {
        let aborted = !self.client_is_waiting(&mut proxy.executor);
        if aborted {
            proxy.on_client_closed(self.id);
        }
        aborted
    }

    /// Handles the last `read` bytes of the buffer to the server, which the client has just sent.
    fn on_client_data(&self, read: usize, proxy: &mut Proxy) {
        if self.to_server_end.get().is_some() {
            self.to_server.borrow_mut().clear();
            return;
        }
        let lines = self.client_decoder.borrow_mut().feed(self.to_server.borrow().latest(read));
        match lines {
            Ok(lines) if lines.is_empty() => {}
            Ok(_) => self.start_awaiting_reply(proxy),
            Err(error) => self.on_protocol_error(error, AttemptOutcome::Cancelled, proxy),
        }
    }

    /// Starts to measure how long the server takes to reply, unless a reply is outstanding already or replies wait for
    /// the client to read them.
    fn start_awaiting_reply(&self, proxy: &mut Proxy) {
        if self.awaiting_reply_since.get().is_none() && !self.to_client.borrow().is_full() {
            self.awaiting_reply_since.set(Some(proxy.now()));
            proxy.executor.awaiting_reply.add(self);
        }
    }

    fn on_client_end(&self, end: StreamEnd, proxy: &mut Proxy) {
        if self.stage.get() != Stage::Established {
            return;
        }
        self.to_server_end.set(Some(end));
        if end == StreamEnd::Reset {
            self.to_client_end.set(Some(end));
        }
        self.report_end(AttemptOutcome::Cancelled, proxy);
    }

    /// Sends the final response of a session that is not established, and closes the connection after it.
    pub fn send_final_response(&self, response: ProxyResponse, executor: &mut Executor) {
        self.client.send_line(&response.line());
        self.close(executor);
        executor.close_after_final_response(self.client.clone());
    }
}
