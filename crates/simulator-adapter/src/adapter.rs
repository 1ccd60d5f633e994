//! Reads batches of events, passes each event to its load balancer instance, and writes the decisions of each batch.

use crate::wire::event::{endpoint, Event, ListKind};
use crate::wire::line::Line;
use crate::wire::reply::{HostCapabilities, Reply};
use anyhow::{bail, Context, Result};
use shelfgrade::balancer::LoadBalancer;
use shelfgrade::host::Endpoint;
use shelfgrade::time::Timestamp;
use shelfgrade_settings::Settings;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// A load balancer, and what its settings say about its host.
struct Instance {
    balancer: LoadBalancer,
    /// The names of the request classes, in their order.
    classes: Vec<String>,
    capabilities: HostCapabilities,
}

/// An endpoint list whose entries are still being read.
struct PartialList {
    instance: u64,
    kind: ListKind,
    entries_missing: usize,
    endpoints: Vec<Endpoint>,
}

/// All instances, and the state of the batch that is being read.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u64, Instance>,
    reply: Reply,
    /// The sequence number of the open batch.
    batch: Option<u64>,
    now: Timestamp,
    /// The instance that events are addressed to.
    current: Option<u64>,
    list: Option<PartialList>,
}

impl Adapter {
    /// Reads batches until the input ends, and writes the reply to each.
    pub fn run(mut self, mut input: impl BufRead, mut output: impl Write) -> Result<()> {
        let mut text = String::new();
        let mut line_number = 0u64;
        loop {
            text.clear();
            line_number += 1;
            if input.read_line(&mut text).with_context(|| format!("line {line_number}"))? == 0 {
                if self.batch.is_some() {
                    bail!("line {line_number}: input ended inside a batch");
                }
                return Ok(());
            }
            let line = text.trim_end_matches(['\n', '\r']);
            if line.is_empty() {
                continue;
            }
            let ends_batch =
                self.handle_line(&Line::parse(line)).with_context(|| format!("line {line_number}"))?;
            if ends_batch {
                output.write_all(self.reply.text().as_bytes())?;
                output.flush()?;
                self.reply = Reply::default();
            }
        }
    }

    /// Handles one line. Returns whether it ends a batch.
    fn handle_line(&mut self, line: &Line) -> Result<bool> {
        if let Some(list) = self.list.as_ref().filter(|_| line.name != "ENTRY") {
            bail!(
                "{} received while {} entries of an endpoint list are missing",
                line.name,
                list.entries_missing
            );
        }
        match (line.name, self.batch) {
            ("SYNC", None) => {
                self.now = line.timestamp("now_ms")?;
                self.batch = Some(line.integer("seq")?);
                self.current = None;
            }
            ("EOF_BATCH", Some(sequence)) => {
                self.reply.end_batch(sequence);
                self.batch = None;
                return Ok(true);
            }
            ("SYNC", Some(_)) => bail!("SYNC inside a batch"),
            (name, None) => bail!("{name} outside a batch"),
            ("ABOUT", _) => self.current = Some(line.integer("who")?),
            ("ENTRY", _) => self.add_entry(line)?,
            (name, _) => {
                let instance = self.current.with_context(|| format!("{name} before the first ABOUT"))?;
                self.handle_instance_line(instance, line)?;
            }
        }
        Ok(false)
    }

    /// Handles a line for an instance: its start, its stop, or an event.
    fn handle_instance_line(&mut self, id: u64, line: &Line) -> Result<()> {
        match line.name {
            "BORN" => {
                self.instances.insert(id, start_instance(line)?);
                Ok(())
            }
            "HALT" => {
                self.instances.remove(&id);
                Ok(())
            }
            name => {
                let is_running = self.instances.contains_key(&id);
                if !is_running {
                    bail!("{name} for instance {id}, which is not running");
                }
                self.on_event(id, Event::parse(line)?);
                Ok(())
            }
        }
    }

    fn on_event(&mut self, id: u64, event: Event) {
        let now = self.now;
        let Some(Instance { balancer, classes, capabilities }) = self.instances.get_mut(&id) else { return };
        let host = self.reply.host_for(id, *capabilities);
        match event {
            Event::EndpointList { kind, entries } => {
                self.list =
                    Some(PartialList { instance: id, kind, entries_missing: entries, endpoints: Vec::new() });
                self.apply_complete_list();
            }
            Event::ListUnavailable if capabilities.list_is_pushed => {}
            Event::ListUnavailable => balancer.on_poll_failed(now, now, host),
            Event::Request(request) => balancer.on_request(&request.arrival(classes), now, host),
            Event::PreexistingSession { request, server } => {
                balancer.restore_session(&request.arrival(classes), server, now)
            }
            Event::Established(session) => balancer.on_established(session, now),
            Event::AttemptEnded { session, outcome, is_final } => {
                balancer.on_attempt_ended(session, outcome, is_final, now, host)
            }
            Event::LoadReport { session, load } => balancer.on_load_report(session, load),
            Event::MessageLatency { session, latency } => {
                balancer.on_message_latency(session, latency, now, host)
            }
            Event::ClientClosed(session) => balancer.on_client_closed(session),
            Event::Timer => balancer.on_timer(now, host),
            Event::HealthCheck { server, latency } => balancer.on_health_check(server, latency, now, host),
            Event::Ignored => {}
        }
    }

    fn add_entry(&mut self, line: &Line) -> Result<()> {
        let list = self.list.as_mut().context("ENTRY outside an endpoint list")?;
        list.endpoints.push(endpoint(line)?);
        list.entries_missing = list.entries_missing.saturating_sub(1);
        self.apply_complete_list();
        Ok(())
    }

    /// Applies the list to its instance once all its entries have been read.
    fn apply_complete_list(&mut self) {
        let Some(list) = self.list.take_if(|list| list.entries_missing == 0) else { return };
        let Some(Instance { balancer, capabilities, .. }) = self.instances.get_mut(&list.instance) else {
            return;
        };
        if list.kind == ListKind::Restored {
            let host = self.reply.host_for(list.instance, *capabilities);
            balancer.start(&list.endpoints, self.now, host);
        } else {
            balancer.on_endpoints(&list.endpoints, list.kind == ListKind::Complete, self.now);
        }
    }
}

fn start_instance(line: &Line) -> Result<Instance> {
    let settings =
        shelfgrade_settings::parse(line.integer("salt")?, line.required("env")?).context("invalid env")?;
    let Settings { balancer, classes, health_checks_allowed, list_is_pushed, .. } = settings;
    let capabilities = HostCapabilities { health_checks_allowed, list_is_pushed };
    Ok(Instance { balancer, classes, capabilities })
}

#[cfg(test)]
#[path = "../tests/unit/adapter.rs"]
mod tests;
