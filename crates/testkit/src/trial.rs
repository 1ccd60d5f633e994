//! A whole trial: so many processes, servers and clients, and what is done to them.

use crate::checks;
use crate::clients::Clients;
use crate::discovery::Discovery;
use crate::fault_proxy::FaultProxy;
use crate::process::{known, FrontEnd, Process, ProcessConfig, LIMITS};
use crate::recorder::Recorder;
use crate::server::{Server, ServerSpec, DEFAULT_SERVER};
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
    /// Whether the processes are told of each other.
    pub fleet: bool,
    pub seed: u64,
    pub server_spec: ServerSpec,
}

/// Six processes before eight servers with room for three hundred and twenty, of which three quarters are taken.
pub const SMALL: TrialConfig =
    TrialConfig { processes: 6, servers: 8, clients: 240, fleet: true, seed: 1, server_spec: DEFAULT_SERVER };

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
    _folder: TempDir,
}

impl Trial {
    /// Servers, discovery and the way between the processes, which do not run yet.
    pub async fn begin(config: TrialConfig) -> Self {
        let recorder = Recorder::default();
        let mut servers = Vec::new();
        for index in 0..config.servers {
            servers.push(Server::begin(index, config.server_spec, recorder.clone()).await);
        }
        let discovery = Discovery::begin(recorder.clone()).await;
        discovery.says(&servers.iter().map(|s| &**s).collect::<Vec<_>>(), "in_service");
        let fault_proxy = FaultProxy::begin(config.processes, config.seed).await;
        let folder = TempDir::new().expect("a folder");
        let process_config = ProcessConfig {
            folder: folder.path().to_owned(),
            discovery: discovery.address,
            server_spec: config.server_spec,
            fleet: config.fleet,
            known: known(&servers),
            limits: LIMITS,
            probes: true,
        };
        let processes: Vec<_> =
            (0..config.processes).map(|index| Process::new(index, &process_config)).collect();
        let names: Vec<_> = processes.iter().map(|process| process.name.clone()).collect();
        for process in &processes {
            let addresses = fault_proxy.addresses(process.index);
            process.write_files(&process_config, &names.iter().cloned().zip(addresses).collect::<Vec<_>>());
        }
        let front_end = FrontEnd::begin(processes.iter().map(|process| process.listen).collect());
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
            _folder: folder,
        }
    }

    /// One that runs, with all its clients settled.
    pub async fn running(config: TrialConfig) -> Self {
        let mut trial = Self::begin(config).await;
        (0..config.processes).for_each(|index| trial.start(index));
        trial.until_ready(config.processes).await;
        trial.clients_come(Duration::from_millis(1500));
        trial
            .until(Duration::from_secs(20), "all clients stand", |trial| trial.standing() == config.clients)
            .await;
        sleep(Duration::from_secs(2)).await;
        trial
    }

    /// Has clients come before a proxy of another kind, in place of the processes.
    pub fn before(&mut self, address: SocketAddr) {
        self.front_end = FrontEnd::begin(vec![address]);
    }

    pub fn clients_come(&mut self, within: Duration) {
        let TrialConfig { clients, seed, .. } = self.config;
        self.clients = Some(Clients::come(clients, within, (&self.front_end, &self.recorder), seed, None));
    }

    /// So many clients of one customer's come at once.
    pub fn storms(&mut self, customer: usize, number: usize) -> Clients {
        let seed = self.config.seed + 1000;
        Clients::come(
            number,
            Duration::from_millis(500),
            (&self.front_end, &self.recorder),
            seed,
            Some(customer),
        )
    }

    /// Puts these files into a folder that one process reads customers' namespaces from; at its next start or SIGHUP.
    pub fn namespaces(&self, process: usize, files: &[(&str, &str)]) {
        let folder = self.process_config.folder.join("namespaces");
        std::fs::create_dir_all(&folder).expect("a folder");
        for (name, text) in files {
            std::fs::write(folder.join(name), text).expect("a file");
        }
        self.names(process, "namespaces_dir", &folder);
    }

    /// Puts this schedule where one process reads it; at its next start or SIGHUP.
    pub fn maintenance(&self, process: usize, text: &str) {
        let path = self.process_config.folder.join("maintenance.toml");
        std::fs::write(&path, text).expect("a file");
        self.names(process, "maintenance", &path);
    }

    /// Has a process's fleet file name a path.
    fn names(&self, process: usize, key: &str, path: &std::path::Path) {
        let file = self.processes[process].fleet_file();
        let text = std::fs::read_to_string(&file).expect("its fleet file");
        if !text.contains(key) {
            let text = format!("{key} = \"{}\"\n{text}", path.display());
            std::fs::write(&file, text).expect("its fleet file");
        }
    }

    pub fn standing(&self) -> usize {
        self.recorder.observations().stand_now
    }

    /// Waits for a condition.
    pub async fn until(&mut self, limit: Duration, what: &str, mut holds: impl FnMut(&mut Self) -> bool) {
        let began = self.recorder.now();
        while !holds(self) {
            let (stand, logs) =
                (self.standing(), if self.recorder.now() - began < limit { None } else { Some(self.logs()) });
            assert!(logs.is_none(), "not in time: {what}; {stand} stand\n{}", logs.unwrap_or_default());
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn until_ready(&mut self, number: usize) {
        self.until(Duration::from_secs(15), "processes are ready", |t| t.front_end.number_ready() >= number)
            .await;
    }

    pub fn start(&mut self, index: usize) {
        self.is_back(index);
        self.processes[index].starts(&self.process_config);
    }

    /// From now on a process is blamed again; clients that are dealt to it in its first moments may find nobody yet.
    fn is_back(&self, index: usize) {
        let now = self.recorder.now();
        let mut observations = self.recorder.observations();
        let away = observations.away.iter_mut().rev().find(|away| away.0 == index && away.2 == Duration::MAX);
        away.into_iter().for_each(|away| away.2 = now + Duration::from_millis(300));
    }

    pub fn kill(&mut self, index: usize) {
        let now = self.recorder.now();
        self.recorder.observations().away.push((index, now, Duration::MAX));
        self.processes[index].is_killed();
    }

    /// Stops a process where it stands.
    pub fn stop(&mut self, index: usize) {
        let now = self.recorder.now();
        self.recorder.observations().away.push((index, now, Duration::MAX));
        self.processes[index].signal(Signal::STOP);
    }

    /// Has a stopped process go on; what it did meanwhile is nothing it can be blamed for.
    pub fn wake(&mut self, index: usize) {
        self.is_back(index);
        self.processes[index].signal(Signal::CONT);
    }

    /// The power goes: all processes are killed in the same instant, all servers and discovery are without.
    pub fn power_goes(&mut self) {
        (0..self.config.processes).for_each(|index| self.processes[index].signal(Signal::KILL));
        self.servers.iter().for_each(|server| server.loses_power());
        self.discovery.goes();
        (0..self.config.processes).for_each(|index| self.kill(index));
        // What drained is out of the trial: it starts anew.
        let now = self.recorder.now();
        self.recorder
            .observations()
            .drains
            .iter_mut()
            .filter(|d| d.2.is_none())
            .for_each(|d| d.2 = Some(now));
    }

    /// Servers start cold, and discovery says so.
    pub fn servers_start(&self) {
        self.servers.iter().for_each(|server| server.starts());
        self.discovery.is_back();
        self.discovery.says(&self.servers.iter().map(|s| &**s).collect::<Vec<_>>(), "in_service");
    }

    /// Discovery says that a server drains from now on.
    pub fn drains(&self, server: usize) {
        self.discovery.says(&[&self.servers[server]], "terminating");
        let now = self.recorder.now();
        self.recorder.observations().drains.push((server, now, None));
    }

    pub fn draws(&mut self, below: usize) -> usize {
        self.rng.generate_range(0..below.max(1))
    }

    /// Calls that began a new watch, or were the first on their connection, in a span.
    pub fn calls(&self, from: Duration, to: Duration) -> usize {
        let observations = self.recorder.observations();
        observations.calls.iter().filter(|(at, first)| *first && *at >= from && *at < to).count()
    }

    /// What each process logged, and what the servers and clients are at, for a trial that went wrong.
    pub fn logs(&self) -> String {
        let (now, observations) = (self.recorder.now(), self.recorder.observations());
        let recent = |at: Duration| now - at < Duration::from_secs(2);
        let mut answers: std::collections::BTreeMap<(usize, &str), usize> = Default::default();
        for asked in observations.requests.values().filter(|asked| recent(asked.at)) {
            let answer =
                asked.answers.first().map_or("nothing", |(_, answer)| answer.split(' ').next().unwrap_or(""));
            *answers.entry((asked.class, answer)).or_default() += 1;
        }
        let sent = observations.sent.iter().filter(|sent| recent(sent.at)).count();
        let held: Vec<_> = self.servers.iter().map(|server| server.holds()).collect();
        let state = format!(
            "held {held:?}, falls {:?}, of late {answers:?} and {sent} sent\n",
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

    /// Ends the trial: clients leave, processes are told to end, and all rules must have held.
    pub async fn ends(mut self) {
        self.clients.take().into_iter().for_each(|clients| clients.leave());
        sleep(Duration::from_millis(300)).await;
        let breaches = checks::rules(&self.recorder);
        let shown: Vec<String> = breaches.iter().take(12).map(ToString::to_string).collect();
        assert!(breaches.is_empty(), "{} breaches:\n{}\n{}", breaches.len(), shown.join("\n"), self.logs());
        for process in &self.processes {
            process.signal(Signal::CONT);
            process.signal(Signal::TERM);
        }
        let running = |trial: &mut Trial| {
            let ended = |process: &mut Process| {
                !process.runs()
                    || process
                        .has_ended()
                        .inspect(|code| {
                            assert_eq!(*code, Some(0), "{}", process.log());
                        })
                        .is_some()
            };
            trial.processes.iter_mut().all(ended)
        };
        self.until(Duration::from_secs(6), "all processes have ended", running).await;
        for process in &self.processes {
            let log = process.log();
            let broken = log.lines().any(|l| l.contains("panicked") || l.contains("invariant violated"));
            assert!(!broken, "{}:\n{log}", process.name);
        }
    }
}
