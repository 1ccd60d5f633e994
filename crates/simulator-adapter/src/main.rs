//! Speaks the simulator's wire on standard input and output and hosts any number of separate instances.

mod wire;

use anyhow::{bail, Context, Result};
use shelfgrade::balancer::LoadBalancer;
use shelfgrade::host::{Arrival, AttemptOutcome, Endpoint, EndpointState, Host, ServerId, SessionId};
use shelfgrade::time::{DurationExt, Timestamp};
use shelfgrade_settings::Settings;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::time::Duration;
use wire::Line;

fn main() -> ExitCode {
    match Adapter::default().run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("shelfgrade-adapter: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// One instance: its decisions, and the names by which its sessions call request classes.
struct Instance {
    balancer: LoadBalancer,
    classes: Vec<String>,
    health_checks_allowed: bool,
    list_is_pushed: bool,
}

/// A list whose lines are still coming in.
struct OpenList {
    who: u64,
    whole: bool,
    restored: bool,
    missing: usize,
    lines: Vec<Endpoint>,
}

#[derive(Default)]
struct Adapter {
    instances: BTreeMap<u64, Instance>,
    reply: Reply,
    batch: Option<u64>,
    now: Timestamp,
    who: Option<u64>,
    list: Option<OpenList>,
}

impl Adapter {
    fn run(mut self, mut input: impl BufRead, mut output: impl Write) -> Result<()> {
        let mut text = String::new();
        let mut number = 0u64;
        loop {
            text.clear();
            number += 1;
            if input.read_line(&mut text).with_context(|| format!("line {number}"))? == 0 {
                if self.batch.is_some() {
                    bail!("line {number}: the input ends inside a batch");
                }
                return Ok(());
            }
            let line = text.trim_end_matches(['\n', '\r']);
            if line.is_empty() {
                continue;
            }
            let done = self.read(&Line::parse(line)).with_context(|| format!("line {number}"))?;
            if done {
                output.write_all(self.reply.text.as_bytes())?;
                output.flush()?;
                self.reply = Reply::default();
            }
        }
    }

    /// Takes in one line; true where it ends a batch.
    fn read(&mut self, line: &Line) -> Result<bool> {
        if let Some(list) = &self.list {
            if line.name != "ENTRY" {
                bail!("{} in place of one of {} list entries still due", line.name, list.missing);
            }
        }
        match (line.name, self.batch) {
            ("SYNC", None) => {
                self.now = line.point("now_ms")?;
                self.batch = Some(line.whole("seq")?);
                self.who = None;
            }
            ("EOF_BATCH", Some(seq)) => {
                writeln!(self.reply.text, "READY seq={seq}")?;
                self.batch = None;
                return Ok(true);
            }
            ("SYNC", Some(_)) => bail!("SYNC inside a batch"),
            (name, None) => bail!("{name} outside a batch"),
            ("ABOUT", _) => self.who = Some(line.whole("who")?),
            ("ENTRY", _) => self.entry(line)?,
            (name, _) => {
                let who = self.who.with_context(|| format!("{name} before any ABOUT"))?;
                self.event(who, line)?;
            }
        }
        Ok(false)
    }

    fn event(&mut self, who: u64, line: &Line) -> Result<()> {
        if line.name == "BORN" {
            let settings =
                shelfgrade_settings::parse(line.whole("salt")?, line.required("env")?).context("env")?;
            let Settings { balancer, classes, health_checks_allowed, list_is_pushed, .. } = settings;
            self.instances.insert(who, Instance { balancer, classes, health_checks_allowed, list_is_pushed });
            return Ok(());
        }
        if line.name == "HALT" {
            self.instances.remove(&who);
            return Ok(());
        }
        let now = self.now;
        let instance = self
            .instances
            .get_mut(&who)
            .with_context(|| format!("{} for instance {who}, which is not running", line.name))?;
        let host = self.reply.of(who, instance);
        let Instance { balancer, classes, list_is_pushed, .. } = instance;
        match line.name {
            "TARGETS" => {
                let form = line.required("form")?;
                let missing = line.optional("lines").map_or(Ok(0), |_| line.whole("lines"))? as usize;
                let whole = match form {
                    "update" => false,
                    "replace" | "restored" => true,
                    "unavailable" if *list_is_pushed => return Ok(()),
                    "unavailable" => {
                        balancer.on_poll_failed(now, now, host);
                        return Ok(());
                    }
                    _ => bail!("form={form} is unknown"),
                };
                let restored = form == "restored";
                self.list = Some(OpenList { who, whole, restored, missing, lines: Vec::new() });
                self.close_list_when_full();
            }
            "REQUEST" => balancer.on_request(&arrival(line, classes)?, now, host),
            "PREEXISTING" => {
                balancer.restore_session(&arrival(line, classes)?, line.required("server")?, now)
            }
            "FLOWING" => balancer.on_established(line.session()?, now),
            "FINISHED" => {
                balancer.on_attempt_ended(line.session()?, outcome(line)?, line.flag("last")?, now, host)
            }
            "HEARTBEAT" => match line.whole("what")? {
                1 => balancer.on_load_report(line.session()?, line.number("value")?),
                2 => balancer.on_message_latency(line.session()?, line.span("value")?, now, host),
                // A kind of note that is not known tells nothing.
                _ => {}
            },
            "HANGUP" => balancer.on_client_closed(line.session()?),
            "FIRED" => {
                line.whole("label")?;
                balancer.on_timer(now, host);
            }
            // Nothing is decided by these yet, but a malformed one is still a fault.
            "MESSAGE" => drop(line.whole("from")?),
            // Only a probe that was served tells how long work takes.
            "STATUS_BACK" if line.whole("result")? == 1 => {
                balancer.on_health_check(line.required("server")?, line.span("cost_time_ms")?, now, host);
            }
            "STATUS_BACK" => drop(line.required("server")?),
            name => bail!("{name} is no message of this wire"),
        }
        Ok(())
    }

    fn entry(&mut self, line: &Line) -> Result<()> {
        let list = self.list.as_mut().context("ENTRY outside a list")?;
        list.lines.push(Endpoint {
            server: line.required("server")?.into(),
            zone: line.optional("site").unwrap_or_default().to_owned(),
            kind: line.optional("type").unwrap_or_default().to_owned(),
            cell: line.optional("pod").map_or(Ok(0), |_| line.whole("pod"))?,
            started: match line.optional("up_since_ms") {
                Some(_) => Some(line.point("up_since_ms")?).filter(|p| *p > Timestamp::default()),
                None => None,
            },
            state: match line.required("status")? {
                "active" => EndpointState::Active,
                "leaving" => EndpointState::Draining,
                "left" => EndpointState::Removed,
                status => bail!("status={status} is unknown"),
            },
        });
        list.missing = list.missing.saturating_sub(1);
        self.close_list_when_full();
        Ok(())
    }

    fn close_list_when_full(&mut self) {
        let Some(list) = self.list.take_if(|l| l.missing == 0) else { return };
        let Some(instance) = self.instances.get_mut(&list.who) else { return };
        if list.restored {
            let host = self.reply.of(list.who, instance);
            instance.balancer.start(&list.lines, self.now, host);
        } else {
            instance.balancer.on_endpoints(&list.lines, list.whole, self.now);
        }
    }
}

fn arrival<'a>(line: &Line<'a>, classes: &[String]) -> Result<Arrival<'a>> {
    let priority = line.required("priority")?;
    Ok(Arrival {
        session: line.session()?,
        class: classes.iter().position(|o| o == priority),
        key: line.optional("object"),
        group: line.optional("group"),
        deadline: line.point("due_ms")?,
        mid_flow: line.flag("stray")?,
        reconnected: line.flag("returned")?,
        admission_turn: None,
        allowed_servers: None,
    })
}

fn outcome(line: &Line) -> Result<AttemptOutcome> {
    Ok(match line.whole("result")? {
        1 => AttemptOutcome::Completed,
        2 => AttemptOutcome::Failed,
        3 => AttemptOutcome::Rejected,
        4 => AttemptOutcome::TimedOut,
        5 => AttemptOutcome::Unreachable,
        6 => AttemptOutcome::ConnectionLost,
        7 => AttemptOutcome::Cancelled,
        8 => AttemptOutcome::NotSent,
        code => bail!("result={code} is unknown"),
    })
}

/// The reply being written; as a `Host` it writes for the instance last named.
#[derive(Default)]
struct Reply {
    text: String,
    from: Option<u64>,
    who: u64,
    health_checks_allowed: bool,
    list_is_pushed: bool,
}

impl Reply {
    fn of(&mut self, who: u64, instance: &Instance) -> &mut Self {
        (self.who, self.health_checks_allowed) = (who, instance.health_checks_allowed);
        self.list_is_pushed = instance.list_is_pushed;
        self
    }

    fn say(&mut self, message: std::fmt::Arguments) {
        let written = if self.from.replace(self.who) == Some(self.who) {
            writeln!(self.text, "{message}")
        } else {
            writeln!(self.text, "FROM who={}\n{message}", self.who)
        };
        written.expect("writing to a String does not fail");
    }
}

impl Host for Reply {
    fn connect(&mut self, session: SessionId, server: &ServerId, time_out: Duration) {
        let wait = time_out.as_ms();
        self.say(format_args!("SUBMIT_TO ref={:016x} server={server} max_wait_ms={wait}", session.0));
    }

    fn reject(&mut self, session: SessionId, retry_after: Duration) {
        self.say(format_args!("SHED ref={:016x} wait_ms={}", session.0, retry_after.as_ms()));
    }

    fn fail(&mut self, session: SessionId) {
        self.say(format_args!("RESPOND_ERROR ref={:016x}", session.0));
    }

    fn migrate(&mut self, session: SessionId) {
        self.say(format_args!("MIGRATE ref={:016x}", session.0));
    }

    fn subscribe(&mut self) {
        if !self.list_is_pushed {
            self.say(format_args!("LISTEN want=1"));
        }
    }

    fn check_health(&mut self, server: &ServerId) -> bool {
        if self.health_checks_allowed {
            self.say(format_args!("ASK_LOAD server={server}"));
        }
        self.health_checks_allowed
    }

    fn schedule_wakeup(&mut self, at: Timestamp) {
        self.say(format_args!("SET_TIMER instant_ms={} label=0", at.as_ms()));
    }
}

#[cfg(test)]
#[path = "../tests/unit/wire_in.rs"]
mod tests;
