//! The lines that are written for decisions.

use shelfgrade::host::{Host, ServerId, SessionId};
use shelfgrade::time::{DurationExt, Timestamp};
use std::fmt::{Arguments, Write as _};
use std::time::Duration;

/// The capabilities of an instance's host.
#[derive(Clone, Copy, Default)]
pub struct HostCapabilities {
    /// Whether it is allowed to health-check servers.
    pub health_checks_allowed: bool,
    /// Whether the endpoint list is pushed to it without a request.
    pub list_is_pushed: bool,
}

/// The reply to a batch, as it is written. Implements [`Host`] for the instance last given to [`Reply::host_for`].
#[derive(Default)]
pub struct Reply {
    text: String,
    /// The instance that the last line was written for.
    last_instance: Option<u64>,
    instance: u64,
    capabilities: HostCapabilities,
}

impl Reply {
    /// Returns this reply as the host of an instance.
    pub fn host_for(&mut self, instance: u64, capabilities: HostCapabilities) -> &mut Self {
        self.instance = instance;
        self.capabilities = capabilities;
        self
    }

    /// Ends the reply to a batch.
    pub fn end_batch(&mut self, sequence: u64) {
        writeln!(self.text, "READY seq={sequence}").expect("writing to a String does not fail");
    }

    /// Returns all lines written.
    pub fn text(&self) -> &str {
        &self.text
    }

    fn write(&mut self, line: Arguments) {
        let instance = self.instance;
        let written = if self.last_instance.replace(instance) == Some(instance) {
            writeln!(self.text, "{line}")
        } else {
            writeln!(self.text, "FROM who={instance}\n{line}")
        };
        written.expect("writing to a String does not fail");
    }
}

impl Host for Reply {
    fn connect(&mut self, session: SessionId, server: &ServerId, timeout: Duration) {
        let timeout_ms = timeout.as_ms();
        self.write(format_args!("SUBMIT_TO ref={:016x} server={server} max_wait_ms={timeout_ms}", session.0));
    }

    fn reject(&mut self, session: SessionId, retry_after: Duration) {
        self.write(format_args!("SHED ref={:016x} wait_ms={}", session.0, retry_after.as_ms()));
    }

    fn fail(&mut self, session: SessionId) {
        self.write(format_args!("RESPOND_ERROR ref={:016x}", session.0));
    }

    fn migrate(&mut self, session: SessionId) {
        self.write(format_args!("MIGRATE ref={:016x}", session.0));
    }

    fn subscribe(&mut self) {
        if !self.capabilities.list_is_pushed {
            self.write(format_args!("LISTEN want=1"));
        }
    }

    fn check_health(&mut self, server: &ServerId) -> bool {
        if self.capabilities.health_checks_allowed {
            self.write(format_args!("ASK_LOAD server={server}"));
        }
        self.capabilities.health_checks_allowed
    }

    fn schedule_wakeup(&mut self, at: Timestamp) {
        self.write(format_args!("SET_TIMER instant_ms={} label=0", at.as_ms()));
    }
}
