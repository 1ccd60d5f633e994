//! Random sequences of all events of sessions, attempts, health checks and the endpoint list. Each session gets one
//! final answer, no attempt is started after its client has closed, none is sent to a draining server, and no attempt
//! or session is left open.

use crate::harness::*;
use nanorand::{Rng, WyRand};
use shelfgrade::balancer::LoadBalancer;
use shelfgrade::host::*;
use shelfgrade::outstanding::Outstanding;
use shelfgrade::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// The session waits for a health check or for its placement.
    Waiting,
    Pending(ServerId),
    Established(ServerId),
    Over,
}

struct SessionModel {
    stage: Stage,
    final_answers: usize,
}

/// A host that checks these rules at each call, and makes some attempts fail immediately.
struct ModelHost {
    rng: WyRand,
    sessions: BTreeMap<u64, SessionModel>,
    list: BTreeMap<ServerId, EndpointState>,
    /// Attempts that fail before they begin. They are reported once the call that started them has returned.
    immediate_failures: VecDeque<u64>,
    wakeups: Vec<Timestamp>,
    health_checks: Vec<ServerId>,
    migrated: Vec<u64>,
    health_checks_allowed: bool,
    attempts: usize,
}

impl ModelHost {
    fn random_below(&mut self, limit: usize) -> usize {
        self.rng.generate_range(0..limit)
    }

    fn in_stage(&self, matches_stage: impl Fn(&Stage) -> bool) -> Vec<u64> {
        self.sessions.iter().filter(|(_, session)| matches_stage(&session.stage)).map(|(id, _)| *id).collect()
    }

    fn random_session(&mut self, matches_stage: impl Fn(&Stage) -> bool) -> Option<u64> {
        let matching = self.in_stage(matches_stage);
        (!matching.is_empty()).then(|| matching[self.random_below(matching.len())])
    }

    fn set_stage(&mut self, session: u64, stage: Stage) -> Stage {
        let session = self.sessions.get_mut(&session).expect("a session that arrived");
        std::mem::replace(&mut session.stage, stage)
    }

    fn record_final_answer(&mut self, session: SessionId) {
        let previous = self.set_stage(session.0, Stage::Over);
        assert_eq!(previous, Stage::Waiting, "answered while an attempt is open: {session:?}");
        let answers = &mut self.sessions.get_mut(&session.0).expect("a session").final_answers;
        *answers += 1;
        assert_eq!(*answers, 1, "one final answer: {session:?}");
    }
}

impl Host for ModelHost {
    fn connect(&mut self, session: SessionId, server: &ServerId, _: Duration) {
        assert_eq!(self.list.get(server), Some(&EndpointState::Active), "{session:?} to {server}");
        let previous = self.set_stage(session.0, Stage::Pending(server.clone()));
        assert_eq!(
            previous,
            Stage::Waiting,
            "one attempt at a time, and none for a closed client: {session:?}"
        );
        self.attempts += 1;
        if self.random_below(8) == 0 {
            self.immediate_failures.push_back(session.0);
        }
    }
    fn reject(&mut self, session: SessionId, _: Duration) {
        self.record_final_answer(session);
    }
    fn fail(&mut self, session: SessionId) {
        self.record_final_answer(session);
    }
    fn migrate(&mut self, session: SessionId) {
        assert!(matches!(self.sessions[&session.0].stage, Stage::Established(_)), "{session:?}");
        self.migrated.push(session.0);
    }
    fn subscribe(&mut self) {}
    fn check_health(&mut self, server: &ServerId) -> bool {
        self.health_checks.extend(self.health_checks_allowed.then(|| server.clone()));
        self.health_checks_allowed
    }
    fn schedule_wakeup(&mut self, at: Timestamp) {
        self.wakeups.push(at);
    }
}

/// One run of random events.
struct Run {
    balancer: LoadBalancer,
    model: ModelHost,
    now: Timestamp,
    last_session: u64,
}

impl Run {
    fn new(seed: u64) -> Self {
        // Three cases: few proxies; many proxies, which observe no load and health-check servers; and many proxies
        // that are not allowed to do so.
        let proxies = [3, 300, 300][seed as usize % 3];
        let list = TWELVE_SERVERS.map(endpoint);
        let Proxy { balancer, now, .. } = Proxy::in_fleet(proxies, Some(8.0), seed, &list);
        let model = ModelHost {
            rng: WyRand::new_seed(seed),
            sessions: BTreeMap::new(),
            list: list.iter().map(|endpoint| (endpoint.server.clone(), endpoint.state)).collect(),
            immediate_failures: VecDeque::new(),
            wakeups: Vec::new(),
            health_checks: Vec::new(),
            migrated: Vec::new(),
            health_checks_allowed: seed % 3 < 2,
            attempts: 0,
        };
        let mut run = Run { balancer, model, now, last_session: 0 };
        run.balancer.start_periodic_checks(seed.is_multiple_of(2), now, &mut run.model);
        run
    }

    fn on_attempt_ended(&mut self, session: u64, outcome: AttemptOutcome, is_final: bool) {
        self.model.set_stage(session, if is_final { Stage::Over } else { Stage::Waiting });
        self.balancer.on_attempt_ended(SessionId(session), outcome, is_final, self.now, &mut self.model);
    }

    /// Reports the results of the actions that were requested of the host, as a host does once a call has returned.
    fn report_host_actions(&mut self) {
        while let Some(session) = self.model.immediate_failures.pop_front() {
            let outcome = [AttemptOutcome::NotSent, AttemptOutcome::Unreachable][self.model.random_below(2)];
            self.on_attempt_ended(session, outcome, false);
        }
        for session in std::mem::take(&mut self.model.migrated) {
            if matches!(self.model.sessions[&session].stage, Stage::Established(_)) {
                self.on_attempt_ended(session, AttemptOutcome::Cancelled, true);
            }
        }
    }

    fn close_client(&mut self, session: u64) {
        let previous = self.model.set_stage(session, Stage::Over);
        self.balancer.on_client_closed(SessionId(session));
        // If no attempt is pending, not every host also reports the end of an attempt.
        if previous != Stage::Waiting || self.model.random_below(2) == 0 {
            self.on_attempt_ended(session, AttemptOutcome::Cancelled, true);
        }
    }

    fn arrive(&mut self) {
        self.last_session += 1;
        let (key, group) =
            (format!("k{}", self.model.random_below(40)), format!("g{}", self.model.random_below(5)));
        let request_timeout = self.model.random_below(2500) as u64;
        let arrival = Arrival {
            session: SessionId(self.last_session),
            class: [Some(IDEMPOTENT), Some(NON_IDEMPOTENT), Some(KEYED), None][self.model.random_below(4)],
            group: (self.model.random_below(3) > 0).then_some(&*group),
            deadline: self.now + Duration::from_millis(request_timeout),
            mid_flow: self.model.random_below(5) == 0,
            reconnected: self.model.random_below(3) == 0,
            ..arrival(&key)
        };
        self.model
            .sessions
            .insert(self.last_session, SessionModel { stage: Stage::Waiting, final_answers: 0 });
        self.balancer.on_request(&arrival, self.now, &mut self.model);
    }

    fn resolve_attempt(&mut self, session: u64) {
        let outcomes = [
            AttemptOutcome::Failed,
            AttemptOutcome::Rejected,
            AttemptOutcome::TimedOut,
            AttemptOutcome::Unreachable,
            AttemptOutcome::ConnectionLost,
            AttemptOutcome::Cancelled,
        ];
        match self.model.random_below(outcomes.len() * 2) {
            i if i < outcomes.len() => self.on_attempt_ended(session, outcomes[i], false),
            _ => {
                let Stage::Pending(server) = self.model.sessions[&session].stage.clone() else { return };
                self.model.set_stage(session, Stage::Established(server));
                self.balancer.on_established(SessionId(session), self.now);
            }
        }
    }

    fn change_endpoint(&mut self) {
        let id = TWELVE_SERVERS[self.model.random_below(TWELVE_SERVERS.len())];
        let state =
            [EndpointState::Active, EndpointState::Active, EndpointState::Draining, EndpointState::Removed];
        let state = state[self.model.random_below(state.len())];
        let started = (self.model.random_below(4) == 0).then_some(self.now);
        self.model.list.insert(id.into(), state);
        self.balancer.on_endpoints(&[Endpoint { state, started, ..endpoint(id) }], false, self.now);
    }

    fn step(&mut self) {
        match self.model.random_below(12) {
            0..=2 => self.arrive(),
            3..=4 => {
                if let Some(session) = self.model.random_session(|stage| matches!(stage, Stage::Pending(_))) {
                    self.resolve_attempt(session);
                }
            }
            5 => {
                if let Some(session) =
                    self.model.random_session(|stage| matches!(stage, Stage::Pending(_) | Stage::Waiting))
                {
                    self.close_client(session);
                }
            }
            6 => {
                if let Some(session) =
                    self.model.random_session(|stage| matches!(stage, Stage::Established(_)))
                {
                    let outcome = [
                        AttemptOutcome::Completed,
                        AttemptOutcome::ConnectionLost,
                        AttemptOutcome::Cancelled,
                    ][self.model.random_below(3)];
                    self.on_attempt_ended(session, outcome, true);
                }
            }
            7 => (0..1 + self.model.random_below(3)).for_each(|_| self.change_endpoint()),
            8 => {
                let health_checks = std::mem::take(&mut self.model.health_checks);
                for server in health_checks {
                    // The answer is in time for a waiting session in one case of eight, or in half of the cases.
                    let slowest = [400, 100][self.model.random_below(2)];
                    let latency = Duration::from_millis(self.model.random_below(slowest) as u64);
                    self.balancer.on_health_check(&server, latency, self.now, &mut self.model);
                    self.report_host_actions();
                }
            }
            9 => {
                if let Some(session) =
                    self.model.random_session(|stage| matches!(stage, Stage::Established(_)))
                {
                    let latency = Duration::from_millis(self.model.random_below(4000) as u64);
                    self.balancer.on_message_latency(SessionId(session), latency, self.now, &mut self.model);
                }
            }
            10 if self.model.random_below(60) == 0 => self.balancer.migrate_sessions(3, &mut self.model),
            _ => self.pass_time(),
        }
        self.report_host_actions();
    }

    fn pass_time(&mut self) {
        self.now = self.now + Duration::from_millis(self.model.random_below(300) as u64);
        let now = self.now;
        let due = self.model.wakeups.extract_if(.., |at| *at <= now).count();
        if due > 0 {
            self.balancer.on_timer(now, &mut self.model);
        }
    }

    /// Ends all open attempts and sessions.
    fn finish(&mut self) {
        self.now = self.now + Duration::from_millis(5000);
        self.balancer.on_timer(self.now, &mut self.model);
        self.report_host_actions();
        while let Some(session) = self.model.random_session(|stage| matches!(stage, Stage::Pending(_))) {
            self.on_attempt_ended(session, AttemptOutcome::TimedOut, false);
            self.report_host_actions();
        }
        for session in self.model.in_stage(|stage| matches!(stage, Stage::Established(_))) {
            self.on_attempt_ended(session, AttemptOutcome::Completed, true);
        }
    }
}

#[test]
fn in_any_order_of_events_each_session_ends_once_and_nothing_is_left_open() {
    let (mut attempts, mut answers, mut max_established) = (0, 0, 0);
    for seed in 0..300 {
        let mut run = Run::new(seed);
        for _ in 0..400 {
            run.step();
            max_established = max_established.max(run.balancer.outstanding().established_sessions);
        }
        run.finish();
        assert_eq!(run.balancer.outstanding(), Outstanding::default(), "seed {seed}");
        let open = run.model.in_stage(|stage| *stage != Stage::Over);
        assert!(open.is_empty(), "seed {seed}: never answered: {open:?}");
        attempts += run.model.attempts;
        answers += run.model.sessions.values().map(|session| session.final_answers).sum::<usize>();
    }
    // Verifies that the runs exercise the checked rules.
    assert!(
        attempts > 5000 && answers > 2000 && max_established > 5,
        "{attempts} {answers} {max_established}"
    );
}
