//! A trial: a number of processes, servers and clients, and the faults to inject.

use crate::checks;
use crate::clients::Clients;
use crate::discovery::Discovery;
use crate::fault_proxy::FaultProxy;
use crate::process::{endpoint_list_json, FrontEnd, Process, ProcessConfig, DEFAULT_LIMITS};
use crate::recorder::Recorder;
use crate::server::{Server, ServerSpec, DEFAULT_SERVER_SPEC};
use nanorand::{Rng, WyRand};
use rustix::process::Signal;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::time::sleep;

#[derive(Clone, Copy, Debug)]
pub struct TrialConfig {
    pub processes: usize,
    pub servers: usize,
    pub clients: usize,
    /// Whether processes get a fleet file, which names their peers.
    pub fleet_enabled: bool,
    pub seed: u64,
    pub server_spec: ServerSpec,
}

/// Six processes in front of eight servers that can hold 320 connections; the clients use three quarters of that.
pub const SMALL: TrialConfig = TrialConfig {
    processes: 6,
    servers: 8,
    clients: 240,
    fleet_enabled: true,
    seed: 1,
    server_spec: DEFAULT_SERVER_SPEC,
};

pub struct Trial {
    pub config: TrialConfig,
    pub recorder: Recorder,
    pub servers: Vec<Arc<Server>>,
    pub discovery: Arc<Discovery>,
    pub fault_proxy: FaultProxy,
    pub front_end: Arc<FrontEnd>,
    pub processes: Vec<Process>,
    pub process_config: ProcessConfig,
    pub rng: WyRand,
    clients: Option<Clients>,
    _directory: TempDir,
}

impl Trial {
    /// Starts the servers, discovery and the fault proxy; the processes do not run yet.
    pub async fn new(config: TrialConfig) -> Self {
        let recorder = Recorder::default();
        let mut servers = Vec::new();
        for index in 0..config.servers {
            servers.push(Server::start(index, config.server_spec, recorder.clone()).await);
        }
        let discovery = Discovery::start(recorder.clone()).await;
        discovery.publish(&servers.iter().map(|s| &**s).collect::<Vec<_>>(), "in_service");
        let fault_proxy = FaultProxy::start(config.processes, config.seed).await;
        let directory = TempDir::new().expect("directory is created");
        let process_config = ProcessConfig {
            directory: directory.path().to_owned(),
            discovery: discovery.address,
            server_spec: config.server_spec,
            fleet_enabled: config.fleet_enabled,
            endpoint_list: endpoint_list_json(&servers),
            limits: DEFAULT_LIMITS,
            health_checks: true,
        };
        let processes: Vec<_> =
            (0..config.processes).map(|index| Process::new(index, &process_config)).collect();
        let names: Vec<_> = processes.iter().map(|process| process.name.clone()).collect();
        for process in &processes {
            let addresses = fault_proxy.addresses(process.index);
            process.write_files(&process_config, &names.iter().cloned().zip(addresses).collect::<Vec<_>>());
        }
        let front_end = FrontEnd::start(processes.iter().map(|process| process.listen).collect());
        Trial {
            config,
            recorder,
            servers,
            discovery,
            fault_proxy,
            front_end,
            processes,
            process_config,
            rng: WyRand::new_seed(config.seed),
            clients: None,
            _directory: directory,
        }
    }

    /// A running trial in which all clients have their sessions.
    pub async fn running(config: TrialConfig) -> Self {
        let mut trial = Self::new(config).await;
        (0..config.processes).for_each(|index| trial.start(index));
        trial.wait_until_ready(config.processes).await;
        trial.start_clients(Duration::from_millis(1500));
        trial
            .wait_until(Duration::from_secs(20), "all clients have a session", |trial| {
                trial.session_count() == config.clients
            })
            .await;
        sleep(Duration::from_secs(2)).await;
        trial
    }

    /// Directs the clients to another proxy in place of the processes.
    pub fn direct_clients_to(&mut self, address: SocketAddr) {
        self.front_end = FrontEnd::start(vec![address]);
    }

    pub fn start_clients(&mut self, within: Duration) {
        let TrialConfig { clients, seed, .. } = self.config;
        self.clients = Some(Clients::start(clients, within, (&self.front_end, &self.recorder), seed, None));
    }

    /// Starts `count` clients of one customer within half a second.
    pub fn start_client_burst(&mut self, customer: usize, count: usize) -> Clients {
        let seed = self.config.seed + 1000;
        Clients::start(
            count,
            Duration::from_millis(500),
            (&self.front_end, &self.recorder),
            seed,
            Some(customer),
        )
    }

    /// Writes namespace files for one process, which it reads at its next start or SIGHUP.
    pub fn write_namespaces(&self, process: usize, files: &[(&str, &str)]) {
        let directory = self.process_config.directory.join("namespaces");
        std::fs::create_dir_all(&directory).expect("directory is created");
        for (name, text) in files {
            std::fs::write(directory.join(name), text).expect("file is written");
        }
        self.add_path_setting(process, "namespaces_dir", &directory);
    }

    /// Writes a maintenance schedule for one process, which it reads at its next start or SIGHUP.
    pub fn write_maintenance(&self, process: usize, text: &str) {
        let path = self.process_config.directory.join("maintenance.toml");
        std::fs::write(&path, text).expect("file is written");
        self.add_path_setting(process, "maintenance", &path);
    }

    /// Adds a setting with a path to a process's fleet file, unless it has that setting.
    fn add_path_setting(&self, process: usize, key: &str, path: &std::path::Path) {
        let file = self.processes[process].fleet_file_path();
        let text = std::fs::read_to_string(&file).expect("fleet file is read");
        if !text.contains(key) {
            let text = format!("{key} = \"{}\"\n{text}", path.display());
            std::fs::write(&file, text).expect("fleet file is written");
        }
    }

    pub fn session_count(&self) -> usize {
        self.recorder.observations().sessions
    }

    /// Waits until `holds` is true; panics with the logs after `limit`.
    pub async fn wait_until(
        &mut self,
        limit: Duration,
        condition: &str,
        mut holds: impl FnMut(&mut Self) -> bool,
    ) {
        let began = self.recorder.now();
        while !holds(self) {
            let (sessions, diagnostics) = (
                self.session_count(),
                if self.recorder.now() - began < limit { None } else { Some(self.diagnostics()) },
            );
            assert!(
                diagnostics.is_none(),
                "timed out waiting until {condition}; {sessions} sessions\n{}",
                diagnostics.unwrap_or_default()
            );
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn wait_until_ready(&mut self, count: usize) {
        self.wait_until(Duration::from_secs(15), "processes are ready", |t| {
            t.front_end.ready_count() >= count
        })
        .await;
    }

    pub fn start(&mut self, index: usize) {
        self.end_downtime(index);
        self.processes[index].start(&self.process_config);
    }

    /// Ends the downtime of a process, after which the checks apply to it again: 300 ms from now, as the first clients
    /// that are sent to it may not be able to connect yet.
    fn end_downtime(&self, index: usize) {
        let now = self.recorder.now();
        let mut observations = self.recorder.observations();
        let open = observations
            .downtimes
            .iter_mut()
            .rev()
            .find(|downtime| downtime.0 == index && downtime.2 == Duration::MAX);
        open.into_iter().for_each(|downtime| downtime.2 = now + Duration::from_millis(300));
    }

    pub fn kill(&mut self, index: usize) {
        let now = self.recorder.now();
        self.recorder.observations().downtimes.push((index, now, Duration::MAX));
        self.processes[index].kill();
    }

    /// Suspends a process.
    pub fn suspend(&mut self, index: usize) {
        let now = self.recorder.now();
        self.recorder.observations().downtimes.push((index, now, Duration::MAX));
        self.processes[index].signal(Signal::STOP);
    }

    /// Resumes a suspended process; the checks do not apply to the time that it was suspended.
    pub fn resume(&mut self, index: usize) {
        self.end_downtime(index);
        self.processes[index].signal(Signal::CONT);
    }

    /// Cuts the power: all processes are killed at the same time, and all servers and discovery go down.
    pub fn cut_power(&mut self) {
        (0..self.config.processes).for_each(|index| self.processes[index].signal(Signal::KILL));
        self.servers.iter().for_each(|server| server.power_off());
        self.discovery.take_down();
        (0..self.config.processes).for_each(|index| self.kill(index));
        // Servers that were draining start again in service.
        let now = self.recorder.now();
        self.recorder
            .observations()
            .drains
            .iter_mut()
            .filter(|d| d.2.is_none())
            .for_each(|d| d.2 = Some(now));
    }

    /// Switches the servers on, at the beginning of their slow start, and brings discovery up with them in service.
    pub fn restore_servers(&self) {
        self.servers.iter().for_each(|server| server.power_on());
        self.discovery.bring_up();
        self.discovery.publish(&self.servers.iter().map(|s| &**s).collect::<Vec<_>>(), "in_service");
    }

    /// Has discovery publish that a server drains.
    pub fn drain_server(&self, server: usize) {
        self.discovery.publish(&[&self.servers[server]], "terminating");
        let now = self.recorder.now();
        self.recorder.observations().drains.push((server, now, None));
    }

    pub fn random_below(&mut self, limit: usize) -> usize {
        self.rng.generate_range(0..limit.max(1))
    }

    /// The number of calls to discovery between two times that were the first on their connection.
    pub fn initial_discovery_calls(&self, from: Duration, to: Duration) -> usize {
        let observations = self.recorder.observations();
        observations.discovery_calls.iter().filter(|(at, first)| *first && *at >= from && *at < to).count()
    }

    /// The state of the servers and clients and the last log lines of each process, for failure messages.
    pub fn diagnostics(&self) -> String {
        let (now, observations) = (self.recorder.now(), self.recorder.observations());
        let recent = |at: Duration| now - at < Duration::from_secs(2);
        let mut answers: std::collections::BTreeMap<(usize, &str), usize> = Default::default();
        for request in observations.requests.values().filter(|request| recent(request.at)) {
            let answer =
                request.answers.first().map_or("none", |(_, answer)| answer.split(' ').next().unwrap_or(""));
            *answers.entry((request.class, answer)).or_default() += 1;
        }
        let forwarded = observations.forwarded.iter().filter(|request| recent(request.at)).count();
        let connections: Vec<_> = self.servers.iter().map(|server| server.connection_count()).collect();
        let state = format!(
            "connections {connections:?}, overloads {:?}; in the last 2 s: answers {answers:?}, \
             {forwarded} requests forwarded\n",
            observations.overloads
        );
        drop(observations);
        state + &self.process_logs()
    }

    fn process_logs(&self) -> String {
        let tail = |process: &Process| {
            let log = process.log();
            let lines: Vec<_> = log.lines().collect();
            let from = lines.len().saturating_sub(14);
            format!("{}:\n{}\n", process.name, lines[from..].join("\n"))
        };
        self.processes.iter().map(tail).collect()
    }

    /// Ends the trial: stops the clients, terminates the processes, and asserts that no invariant was violated.
    pub async fn finish(mut self) {
        self.clients.take().into_iter().for_each(|clients| clients.stop());
        sleep(Duration::from_millis(300)).await;
        let violations = checks::find_violations(&self.recorder);
        let shown: Vec<String> = violations.iter().take(12).map(ToString::to_string).collect();
        assert!(
            violations.is_empty(),
            "{} violations:\n{}\n{}",
            violations.len(),
            shown.join("\n"),
            self.diagnostics()
        );
        for process in &self.processes {
            process.signal(Signal::CONT);
            process.signal(Signal::TERM);
        }
        let all_exited = |trial: &mut Trial| {
            let has_exited = |process: &mut Process| {
                !process.is_running()
                    || process
                        .try_exit_code()
                        .inspect(|code| {
                            assert_eq!(*code, Some(0), "{}", process.log());
                        })
                        .is_some()
            };
            trial.processes.iter_mut().all(has_exited)
        };
        self.wait_until(Duration::from_secs(6), "all processes have exited", all_exited).await;
        for process in &self.processes {
            let log = process.log();
            let has_failed = log.lines().any(|l| l.contains("panicked") || l.contains("invariant violated"));
            assert!(!has_failed, "{}:\n{log}", process.name);
        }
    }
}
