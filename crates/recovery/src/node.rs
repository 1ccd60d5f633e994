//! A process among its fellows, from its start on: what it takes from before, the list that it agrees on with them, and
//! when it serves.

use crate::admission::{RecoveryRamp, RecoveryState, Requester};
use crate::agreement::{ListHistory, ListVerdict, ListVersion};
use crate::environment::{
    ClockReading, EndpointAddress, EnvironmentRecorder, RecoveryEnvironment, RecoverySettings,
};
use crate::poller_election::{Heartbeat, PollerElection};
use crate::restore::{
    list_digest, server, Restored, ServerHealth, ServerRecord, HEARTBEAT_PREFIX, LIST_KEY, SERVER_PREFIX,
};
use crate::snapshot::{HeldSession, Snapshot};
use nanorand::{Rng, WyRand};
use shelfgrade::host::{AdmissionTurn, Endpoint, ServerId};
use shelfgrade::time::Timestamp;
use shelfgrade_fleet::{Entry, Fleet, MemberId, Roster, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

pub struct Node {
    fleet: Fleet,
    election: PollerElection,
    counting: ListHistory,
    back: RecoveryRamp,
    records: BTreeMap<String, ServerRecord>,
    /// What was known of servers before this life, and of which count of discovery's: not told to anybody.
    before: (u64, BTreeMap<String, ServerRecord>),
    candidates: Vec<Endpoint>,
    /// Where the start-up file has its servers.
    dials: BTreeMap<ServerId, SocketAddr>,
    held: Vec<(u64, String, f64)>,
    /// All lines of the list are those that an poller has.
    agreed: bool,
    watches: bool,
    answered: Option<Timestamp>,
    next_heartbeat: Timestamp,
    corrected_ms: i64,
    saved: u64,
    chance: WyRand,
}

/// Beats come often while somebody may wait for them, and then as often as the membership probes.
const HEARTBEAT_INTERVALS: [Duration; 2] = [Duration::from_millis(250), Duration::from_millis(1000)];
/// Discovery that has answered within this is there: a watch that is over after four seconds and some more.
const ANSWERS: Duration = Duration::from_millis(6000);

impl Node {
    /// `wall_ms`: this machine's Unix time. `before`: what an earlier life left on the disk.
    pub fn new(
        roster: Roster,
        settings: RecoverySettings,
        before: Option<Snapshot>,
        seed: u64,
        ClockReading { now, wall_ms }: ClockReading,
    ) -> Self {
        let saved = before.as_ref().map_or(0, |saved| saved.sequence);
        let restored = before.map(|saved| Restored::from(saved, now));
        let started_at = restored.as_ref().map_or(0, |restored| restored.started_at).max(wall_ms * 1000);
        let election = PollerElection::new(roster.me(), roster.members(), roster.tag(), now);
        let spans = (settings.list_wait, settings.slow_start, settings.max_retry_after);
        let mut comeback = Node {
            fleet: Fleet::new(roster, started_at, seed, now),
            election,
            counting: ListHistory::default(),
            back: RecoveryRamp::new(settings.classes, settings.customer_shares, spans, now),
            records: BTreeMap::new(),
            before: Default::default(),
            candidates: Vec::new(),
            dials: BTreeMap::new(),
            held: Vec::new(),
            agreed: false,
            watches: false,
            answered: None,
            next_heartbeat: now,
            corrected_ms: 0,
            saved,
            chance: WyRand::new_seed(seed ^ 0xc0),
        };
        if let Some(restored) = restored {
            let (servers, others): (Vec<_>, Vec<_>) =
                restored.entries.into_iter().partition(|entry| entry.key.starts_with(SERVER_PREFIX));
            for entry in &others {
                comeback.take(entry, now);
            }
            // Guards against old lines spreading as if somebody had heard them since the power was back.
            comeback.before.0 = comeback.counting.epoch;
            comeback.before.1.extend(servers.iter().filter_map(server));
            comeback.fleet.restore(others);
            comeback.candidates = restored.candidates;
            comeback.held = restored.held;
        }
        comeback
    }

    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// For what others put into what all share.
    pub fn fleet_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    pub fn state(&self) -> RecoveryState {
        self.back.state()
    }

    pub fn is_poller(&self) -> bool {
        self.watches
    }

    /// Servers that were known before, where nothing newer is: the start-up file's, as candidates beside the snapshot's.
    pub fn add_known_endpoints(&mut self, lines: impl Iterator<Item = EndpointAddress>, now: Timestamp) {
        let held: BTreeSet<_> = self.candidates.iter().map(|c| c.server.clone()).collect();
        for EndpointAddress { endpoint, address } in lines {
            self.dials.extend(address.map(|address| (endpoint.server.clone(), address)));
            if !held.contains(&endpoint.server) {
                self.candidates.push(Endpoint { started: Some(now), ..endpoint });
            }
        }
    }

    /// The part of what the fleet may do that this process may, from 0 to 1.
    pub fn quota_fraction(&self, now: Timestamp) -> f64 {
        self.fleet.quota_fraction(now)
    }

    /// The turn of a session that has come, or none where all is as ever.
    pub fn admission_turn(
        &mut self,
        requester: Requester,
        key: u64,
        now: Timestamp,
    ) -> Option<AdmissionTurn> {
        let luck = f64::from(self.chance.generate::<f32>());
        self.back.admission_turn(requester, key, luck, now)
    }

    /// The session that came last was let in.
    pub fn record_admission(&mut self) {
        self.back.record_admission();
    }

    pub fn on_datagram(
        &mut self,
        datagram: &[u8],
        ClockReading { now, wall_ms }: ClockReading,
        environment: &mut dyn RecoveryEnvironment,
    ) {
        let mut heard = EnvironmentRecorder { environment, entries: Vec::new() };
        self.fleet.on_datagram(datagram, now, wall_ms, &mut heard);
        let entries = heard.entries;
        self.after(entries, now, environment);
    }

    pub fn next_wakeup(&self) -> Timestamp {
        self.fleet.next_wakeup().min(self.next_heartbeat)
    }

    pub fn on_timer(
        &mut self,
        ClockReading { now, wall_ms }: ClockReading,
        environment: &mut dyn RecoveryEnvironment,
    ) {
        let mut heard = EnvironmentRecorder { environment, entries: Vec::new() };
        self.fleet.on_timer(now, wall_ms, &mut heard);
        let entries = heard.entries;
        self.after(entries, now, environment);
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat =
            now + HEARTBEAT_INTERVALS[usize::from(self.back.state() == RecoveryState::Serving)];
        self.look_at_the_pollers(now, environment);
        if self.back.waited(now) {
            self.go_by_what_was(now, environment);
        }
        if self.back.on_timer(now) {
            environment.state_changed(RecoveryState::Serving, "all servers are warm");
        }
        let corrected = self.fleet.clock_correction_ms();
        // Less is the network's delay.
        const CHANGED_MS: u64 = 1000;
        if self.agreed && corrected.abs_diff(self.corrected_ms) > CHANGED_MS {
            self.corrected_ms = corrected;
            environment.apply_endpoints(self.lines(now), true);
        }
    }

    fn look_at_the_pollers(&mut self, now: Timestamp, environment: &mut dyn RecoveryEnvironment) {
        let watches = self.election.is_poller(self.fleet.alive(), now);
        if watches != self.watches {
            self.watches = watches;
            self.answered = None;
            environment.set_polling(watches);
        }
        if watches {
            let heartbeat = Heartbeat {
                epoch: self.counting.epoch,
                seq: self.counting.seq,
                digest: self.digest(),
                answered: self.answered.is_some_and(|at| now.since(at) < ANSWERS),
            };
            let key = format!("{HEARTBEAT_PREFIX}{}", self.fleet.me().member.0);
            let put = self.fleet.put(&key, &heartbeat, environment);
            debug_assert!(put.is_ok(), "{put:?}");
            self.election.on_heartbeat(
                self.fleet.me().member,
                put.map_or(0, |version| version.count),
                heartbeat,
                true,
                now,
            );
        }
    }

    /// The wait for the list is over: the servers known from before have to do, all as cold.
    fn go_by_what_was(&mut self, now: Timestamp, environment: &mut dyn RecoveryEnvironment) {
        // Guards against servers that can be chosen and not be dialled: those that the start-up file alone knows.
        let before = |line: &Endpoint| self.before.1.get(&*line.server).and_then(|record| record.address);
        let dial = |line: &Endpoint| before(line).or(self.dials.get(&line.server).copied());
        let lines: Vec<_> = self
            .candidates
            .iter()
            .map(|c| EndpointAddress { address: dial(c), endpoint: c.clone() })
            .collect();
        let why =
            format!("no list in time; {} servers are known from before, and taken for cold", lines.len());
        self.back.list_is_here(lines.iter().map(|line| line.endpoint.started), now);
        environment.apply_endpoints(lines, true);
        environment.state_changed(self.back.state(), &why);
    }

    /// Discovery has told a list, which only an poller asks for; whether it was taken.
    pub fn on_endpoint_list(
        &mut self,
        records: Vec<(String, ServerRecord)>,
        whole: bool,
        seq: u64,
        now: Timestamp,
        environment: &mut dyn RecoveryEnvironment,
    ) -> bool {
        // Guards against changes to a list that was not taken, or is of another count: all of it is to be asked for.
        if !whole && (!self.agreed || seq < self.counting.seq) {
            environment.list_rejected(&format!("version {seq} changes a list that is not held"));
            return false;
        }
        let mut next = if whole { BTreeMap::new() } else { self.records.clone() };
        next.extend(records);
        let what = list_digest(next.iter().map(|(host, record)| (host.as_str(), record)));
        let told = if whole { self.counting.judge(seq, what) } else { ListVerdict::Goes };
        if told == ListVerdict::Older {
            let held = self.counting.seq;
            environment.list_rejected(&format!("version {seq} as it was told before, where {held} is held"));
            return false;
        }
        // Guards against an poller with no list being taken for one with an empty list.
        self.answered = Some(now);
        let mut counting = self.counting.clone();
        counting.took(told, seq, what);
        for (host, known) in self.records.iter().filter(|_| whole) {
            // Absent from a whole list: gone.
            let gone = || ServerRecord { health: ServerHealth::Terminated, ..known.clone() };
            next.entry(host.clone()).or_insert_with(gone);
        }
        if told == ListVerdict::Anew {
            next = next
                .into_iter()
                .map(|(host, record)| (host.clone(), record.after(self.records.get(&host))))
                .collect();
            // What is known of servers may make another list of it.
            counting.past.clear();
            counting.past.push(ListVersion { seq, digest: what });
        }
        let version = Version { count: counting.stamp(seq), by: self.fleet.me().started_at };
        let mut heard = EnvironmentRecorder { environment, entries: Vec::new() };
        for (host, record) in &next {
            let key = format!("{SERVER_PREFIX}{host}");
            if self.fleet.get::<ServerRecord>(&key).as_ref() == Some(record) {
                continue;
            }
            let put = self.fleet.put_version(&key, record, version, &mut heard);
            if let Err(error) = put {
                heard.environment.list_rejected(&error.to_string());
            }
        }
        if counting != self.counting {
            let _ = self.fleet.put_version(LIST_KEY, &counting, version, &mut heard);
        }
        let entries = std::mem::take(&mut heard.entries);
        self.counting = counting;
        self.after(entries, now, environment);
        self.agrees("discovery has told the list", now, environment);
        true
    }

    /// Takes in what is new in what all share.
    fn after(&mut self, entries: Vec<Entry>, now: Timestamp, environment: &mut dyn RecoveryEnvironment) {
        let mut changed = Vec::new();
        for entry in &entries {
            changed.extend(self.take(entry, now));
            self.recall(entry, environment);
        }
        if self.agreed && !changed.is_empty() {
            let lines = changed.iter().filter_map(|host| self.line(host, now)).collect();
            environment.apply_endpoints(lines, false);
        }
        let fresh = self.election.fresh(now).filter(|_| !self.agreed).map(|heartbeat| heartbeat.digest);
        if fresh.is_some_and(|digest| digest == self.digest()) {
            self.agrees("fellows have told the list", now, environment);
        }
    }

    /// Guards against a draining server that looks new because discovery counts anew and its pollers have forgotten: who
    /// knew says so, under the same version, until discovery says something newer.
    fn recall(&mut self, entry: &Entry, environment: &mut dyn RecoveryEnvironment) {
        let Some((host, told)) = server(entry) else { return };
        let Some(known) = self.before.1.remove(&host) else { return };
        let record = told.clone().after(Some(&known));
        if ListHistory::epoch_of(entry.version.count) > self.before.0 && record != told {
            let version = Version { count: entry.version.count, by: u64::MAX };
            let put = self.fleet.put_version(&entry.key, &record, version, environment);
            debug_assert!(put.is_ok(), "{put:?}");
            self.records.insert(host, record);
        }
    }

    /// One entry; the server whose line it changed.
    fn take(&mut self, entry: &Entry, now: Timestamp) -> Option<String> {
        let value = entry.value.as_deref()?;
        if let Some((host, record)) = server(entry) {
            self.records.insert(host.clone(), record);
            return Some(host);
        }
        if let Some(member) =
            entry.key.strip_prefix(HEARTBEAT_PREFIX).and_then(|member| member.parse().ok()).map(MemberId)
        {
            let heartbeat: Heartbeat = postcard::from_bytes(value).ok()?;
            let of_this_incarnation = self
                .fleet
                .incarnation(member)
                .is_some_and(|incarnation| incarnation.started_at == entry.version.by);
            if member != self.fleet.me().member {
                self.election.on_heartbeat(member, entry.version.count, heartbeat, of_this_incarnation, now);
            }
        } else if entry.key == LIST_KEY {
            let counting: ListHistory = postcard::from_bytes(value).ok()?;
            if counting.stamp(counting.seq) >= self.counting.stamp(self.counting.seq) {
                self.counting = counting;
            }
        }
        None
    }

    fn agrees(&mut self, why: &str, now: Timestamp, environment: &mut dyn RecoveryEnvironment) {
        if std::mem::replace(&mut self.agreed, true) {
            return;
        }
        self.corrected_ms = self.fleet.clock_correction_ms();
        let lines = self.lines(now);
        let (all, cold) = (lines.len(), lines.iter().filter(|line| line.endpoint.started.is_some()).count());
        // Also where the wait had passed: servers that were not known then may be cold.
        self.back.list_is_here(lines.iter().map(|line| line.endpoint.started), now);
        environment.apply_endpoints(lines, true);
        for (key, server, started_ms) in std::mem::take(&mut self.held) {
            if self.records.get(&server).is_some_and(|record| record.started_ms == started_ms) {
                environment.restore_flow(key, &server, started_ms);
            }
        }
        environment
            .state_changed(self.back.state(), &format!("{why}: {all} servers, {cold} of them with a start"));
    }

    fn digest(&self) -> u32 {
        list_digest(self.records.iter().map(|(host, record)| (host.as_str(), record)))
    }

    fn lines(&self, now: Timestamp) -> Vec<EndpointAddress> {
        let there = self.records.iter().filter(|(_, record)| record.health != ServerHealth::Terminated);
        there.filter_map(|(host, _)| self.line(host, now)).collect()
    }

    /// A server's line, its start by this machine's clock. Guards against a clock that is an hour off: one ahead takes
    /// cold servers for warm, one behind takes them for cold for an hour.
    fn line(&self, host: &str, now: Timestamp) -> Option<EndpointAddress> {
        let record = self.records.get(host)?;
        let mine_ms = (record.started_ms - self.fleet.clock_correction_ms() as f64).max(1.0);
        let started = (record.started_ms > 0.0).then(|| Timestamp::from_ms(mine_ms).min(now));
        Some(EndpointAddress { endpoint: record.line(host, started), address: record.address })
    }

    /// What outlives this process; `held` are the mid-flow keys with their servers.
    pub fn snapshot(&mut self, held: impl Iterator<Item = (u64, String)>, wall_ms: u64) -> Snapshot {
        self.saved += 1;
        let started_at = |server: &str| self.records.get(server).map(|record| record.started_ms);
        let held = held
            .filter_map(|(key, server)| Some(HeldSession { key, started_ms: started_at(&server)?, server }));
        Snapshot {
            fleet: self.fleet.roster().fleet().to_owned(),
            name: self.fleet.roster().name(self.fleet.me().member).unwrap_or_default().to_owned(),
            sequence: self.saved,
            written_at_ms: wall_ms,
            started_at: self.fleet.me().started_at,
            entries: self.fleet.entries(),
            held: held.collect(),
        }
    }

    pub fn leave(
        &mut self,
        ClockReading { now, wall_ms }: ClockReading,
        environment: &mut dyn RecoveryEnvironment,
    ) {
        self.fleet.leave(now, wall_ms, &mut EnvironmentRecorder { environment, entries: Vec::new() });
    }
}
