//! Random orders of all events of sessions, attempts, health checks and the endpoint list: each session has one final
//! answer, no attempt follows once its client has closed, none goes to a draining server, and nothing stays outstanding.

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
    /// It waits for a health check, or to be placed.
    Waiting,
    Pending(ServerId),
    Established(ServerId),
    Over,
}

struct ModelSession {
    stage: Stage,
    final_answers: usize,
}

/// A host that checks the rules at each call, and fails some attempts at once.
struct Model {
    rng: WyRand,
    sessions: BTreeMap<u64, ModelSession>,
    list: BTreeMap<ServerId, EndpointState>,
    /// Attempts that fail before they begin, reported once the call that started them returns.
    immediate_failures: VecDeque<u64>,
    wakeups: Vec<Timestamp>,
    health_checks: Vec<ServerId>,
    migrated: Vec<u64>,
    health_checks_allowed: bool,
    attempts: usize,
}

impl Model {
    fn draw(&mut self, of: usize) -> usize {
        self.rng.generate_range(0..of)
    }

    fn in_stage(&self, wanted: impl Fn(&Stage) -> bool) -> Vec<u64> {
        self.sessions.iter().filter(|(_, session)| wanted(&session.stage)).map(|(id, _)| *id).collect()
    }

    fn one_of(&mut self, wanted: impl Fn(&Stage) -> bool) -> Option<u64> {
        let all = self.in_stage(wanted);
        (!all.is_empty()).then(|| all[self.draw(all.len())])
    }

    fn set_stage(&mut self, session: u64, stage: Stage) -> Stage {
        let session = self.sessions.get_mut(&session).expect("a session that arrived");
        std::mem::replace(&mut session.stage, stage)
    }

    fn answered(&mut self, session: SessionId) {
        let was = self.set_stage(session.0, Stage::Over);
        assert_eq!(was, Stage::Waiting, "answered while an attempt is open: {session:?}");
        let answers = &mut self.sessions.get_mut(&session.0).expect("a session").final_answers;
        *answers += 1;
        assert_eq!(*answers, 1, "one final answer: {session:?}");
    }
}

impl Host for Model {
    fn connect(&mut self, session: SessionId, server: &ServerId, _: Duration) {
        assert_eq!(self.list.get(server), Some(&EndpointState::Active), "{session:?} to {server}");
        let was = self.set_stage(session.0, Stage::Pending(server.clone()));
        assert_eq!(was, Stage::Waiting, "one attempt at a time, and none for a closed client: {session:?}");
        self.attempts += 1;
        if self.draw(8) == 0 {
            self.immediate_failures.push_back(session.0);
        }
    }
    fn reject(&mut self, session: SessionId, _: Duration) {
        self.answered(session);
    }
    fn fail(&mut self, session: SessionId) {
        self.answered(session);
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
    model: Model,
    now: Timestamp,
    last_session: u64,
}

impl Run {
    fn new(seed: u64) -> Self {
        // Few proxies, many that observe no load and health-check servers, and many that may not.
        let proxies = [3, 300, 300][seed as usize % 3];
        let list = TWELVE.map(server);
        let Proxy { balancer, now, .. } = Proxy::one_of(proxies, Some(8.0), seed, &list);
        let model = Model {
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

    /// Reports what the host has done since, as it does once a call returns.
    fn carry_out(&mut self) {
        while let Some(session) = self.model.immediate_failures.pop_front() {
            let outcome = [AttemptOutcome::NotSent, AttemptOutcome::Unreachable][self.model.draw(2)];
            self.on_attempt_ended(session, outcome, false);
        }
        for session in std::mem::take(&mut self.model.migrated) {
            if matches!(self.model.sessions[&session].stage, Stage::Established(_)) {
                self.on_attempt_ended(session, AttemptOutcome::Cancelled, true);
            }
        }
    }

    fn close_client(&mut self, session: u64) {
        let was = self.model.set_stage(session, Stage::Over);
        self.balancer.on_client_closed(SessionId(session));
        // With no attempt pending, not every host reports an end too.
        if was != Stage::Waiting || self.model.draw(2) == 0 {
            self.on_attempt_ended(session, AttemptOutcome::Cancelled, true);
        }
    }

    fn arrive(&mut self) {
        self.last_session += 1;
        let (key, group) = (format!("k{}", self.model.draw(40)), format!("g{}", self.model.draw(5)));
        let request_timeout = self.model.draw(2500) as u64;
        let arrival = Arrival {
            session: SessionId(self.last_session),
            class: [Some(IDEMPOTENT), Some(NON_IDEMPOTENT), Some(KEYED), None][self.model.draw(4)],
            group: (self.model.draw(3) > 0).then_some(&*group),
            deadline: self.now + Duration::from_millis(request_timeout),
            mid_flow: self.model.draw(5) == 0,
            reconnected: self.model.draw(3) == 0,
            ..arrival(&key)
        };
        self.model
            .sessions
            .insert(self.last_session, ModelSession { stage: Stage::Waiting, final_answers: 0 });
        self.balancer.on_request(&arrival, self.now, &mut self.model);
    }

    fn respond(&mut self, session: u64) {
        let outcomes = [
            AttemptOutcome::Failed,
            AttemptOutcome::Rejected,
            AttemptOutcome::TimedOut,
            AttemptOutcome::Unreachable,
            AttemptOutcome::ConnectionLost,
            AttemptOutcome::Cancelled,
        ];
        match self.model.draw(outcomes.len() * 2) {
            i if i < outcomes.len() => self.on_attempt_ended(session, outcomes[i], false),
            _ => {
                let Stage::Pending(server) = self.model.sessions[&session].stage.clone() else { return };
                self.model.set_stage(session, Stage::Established(server));
                self.balancer.on_established(SessionId(session), self.now);
            }
        }
    }

    fn change_list(&mut self) {
        let id = TWELVE[self.model.draw(TWELVE.len())];
        let state =
            [EndpointState::Active, EndpointState::Active, EndpointState::Draining, EndpointState::Removed];
        let state = state[self.model.draw(state.len())];
        let started = (self.model.draw(4) == 0).then_some(self.now);
        self.model.list.insert(id.into(), state);
        self.balancer.on_endpoints(&[Endpoint { state, started, ..server(id) }], false, self.now);
    }

    fn step(&mut self) {
        match self.model.draw(12) {
            0..=2 => self.arrive(),
            3..=4 => {
                if let Some(session) = self.model.one_of(|s| matches!(s, Stage::Pending(_))) {
                    self.respond(session);
                }
            }
            5 => {
                if let Some(session) = self.model.one_of(|s| matches!(s, Stage::Pending(_) | Stage::Waiting))
                {
                    self.close_client(session);
                }
            }
            6 => {
                if let Some(session) = self.model.one_of(|s| matches!(s, Stage::Established(_))) {
                    let outcome = [
                        AttemptOutcome::Completed,
                        AttemptOutcome::ConnectionLost,
                        AttemptOutcome::Cancelled,
                    ][self.model.draw(3)];
                    self.on_attempt_ended(session, outcome, true);
                }
            }
            7 => (0..1 + self.model.draw(3)).for_each(|_| self.change_list()),
            8 => {
                let health_checks = std::mem::take(&mut self.model.health_checks);
                for server in health_checks {
                    // In time for a waiting session in one case of eight, or in half of them.
                    let slowest = [400, 100][self.model.draw(2)];
                    let took = Duration::from_millis(self.model.draw(slowest) as u64);
                    self.balancer.on_health_check(&server, took, self.now, &mut self.model);
                    self.carry_out();
                }
            }
            9 => {
                if let Some(session) = self.model.one_of(|s| matches!(s, Stage::Established(_))) {
                    let took = Duration::from_millis(self.model.draw(4000) as u64);
                    self.balancer.on_message_latency(SessionId(session), took, self.now, &mut self.model);
                }
            }
            10 if self.model.draw(60) == 0 => self.balancer.migrate_sessions(3, &mut self.model),
            _ => self.pass_time(),
        }
        self.carry_out();
    }

    fn pass_time(&mut self) {
        self.now = self.now + Duration::from_millis(self.model.draw(300) as u64);
        let now = self.now;
        let due = self.model.wakeups.extract_if(.., |at| *at <= now).count();
        if due > 0 {
            self.balancer.on_timer(now, &mut self.model);
        }
    }

    /// Ends all that is open.
    fn finish(&mut self) {
        self.now = self.now + Duration::from_millis(5000);
        self.balancer.on_timer(self.now, &mut self.model);
        self.carry_out();
        while let Some(session) = self.model.one_of(|s| matches!(s, Stage::Pending(_))) {
            self.on_attempt_ended(session, AttemptOutcome::TimedOut, false);
            self.carry_out();
        }
        for session in self.model.in_stage(|s| matches!(s, Stage::Established(_))) {
            self.on_attempt_ended(session, AttemptOutcome::Completed, true);
        }
    }
}

#[test]
fn in_any_order_of_events_each_session_ends_once_and_nothing_is_left_outstanding() {
    let (mut attempts, mut answers, mut max_established) = (0, 0, 0);
    for seed in 0..300 {
        let mut run = Run::new(seed);
        for _ in 0..400 {
            run.step();
            max_established = max_established.max(run.balancer.outstanding().established_sessions);
        }
        run.finish();
        assert_eq!(run.balancer.outstanding(), Outstanding::default(), "seed {seed}");
        let open = run.model.in_stage(|s| *s != Stage::Over);
        assert!(open.is_empty(), "seed {seed}: never answered: {open:?}");
        attempts += run.model.attempts;
        answers += run.model.sessions.values().map(|session| session.final_answers).sum::<usize>();
    }
    // The runs exercise what they check.
    assert!(
        attempts > 5000 && answers > 2000 && max_established > 5,
        "{attempts} {answers} {max_established}"
    );
}
