//! What comes before the list has been heard, where the list is pushed: what its service has counts as told from
//! the first moment of a process, so nobody is placed by the old list while the new one is on its way.

use crate::executor::Executor;
use crate::proxy::Proxy;
use crate::session::{Session, Stage};
use calloop::timer::{TimeoutAction, Timer};
use shelfgrade::host::{AdmissionTurn, Arrival};
use shelfgrade::time::{DurationExt, Timestamp};
use std::rc::{Rc, Weak};
use std::time::Duration;

// An agent on the same machine answers within milliseconds; one that has not by now does not run, and a client
// waits for a server no longer than this for the hope of it.
const WAITS: Duration = Duration::from_millis(1000);

// When one comes again whose namespace has no room or no rule for it: connections last minutes, and some end in a second.
const NO_ROOM: Duration = Duration::from_millis(1000);

/// Who waits for the first word of the list.
#[derive(Default)]
pub struct StartupGate {
    until: Option<Timestamp>,
    sessions: Vec<Weak<Session>>,
}

impl StartupGate {
    pub fn until_the_list_is_heard(now: Timestamp) -> Self {
        StartupGate { until: Some(now + WAITS), sessions: Vec::new() }
    }

    /// Where the list is asked for, and this proxy's turn to ask comes late among many. Guards against serving by a list
    /// from before it was started again: what changed while it was away counts as told six seconds after the change,
    /// whoever was there to hear it. Turns of up to a second are not waited for.
    pub fn until_its_turn(now: Timestamp, asks_at: Timestamp) -> Self {
        // An answer takes milliseconds, or is one among many that come at once; refused, it serves by the list it has.
        const ANSWERED_IN: Duration = Duration::from_millis(500);
        let late = asks_at.since(now) > WAITS;
        StartupGate { until: late.then_some(asks_at + ANSWERED_IN), sessions: Vec::new() }
    }

    /// Where the return says when: it has a bound of its own, and this one is for the case that it fails.
    pub fn until_the_return_serves(now: Timestamp, wait: Duration) -> Self {
        StartupGate { until: Some(now + wait + WAITS), sessions: Vec::new() }
    }

    pub fn is_closed(&self) -> bool {
        self.until.is_some()
    }

    /// Keeps a session until then, and no longer than half of its request timeout.
    pub fn holds(&mut self, session: &Rc<Session>, executor: &Executor) {
        self.sessions.push(Rc::downgrade(session));
        let timer = Timer::from_duration(longest_wait(session));
        let set = executor.handle.insert_source(timer, |_, _, proxy| {
            proxy.release_held_sessions();
            TimeoutAction::Drop
        });
        executor.metrics.invariant(set.is_ok(), "a timer can be set");
    }
}

/// How long a session may wait for the list.
fn longest_wait(session: &Session) -> Duration {
    session.opening.request_timeout.scaled(0.5)
}

impl Proxy {
    /// The list has been heard, or is waited for no longer: who came early has its turn, in the order of coming.
    pub fn open_startup_gate(&mut self) {
        if self.startup_gate.until.take().is_none() {
            return;
        }
        for session in std::mem::take(&mut self.startup_gate.sessions) {
            session.upgrade().inspect(|session| self.admit(session));
        }
        let ready = self.is_ready();
        self.listener.pending.values().for_each(|pending_connection| pending_connection.answer_ping(ready));
    }

    /// Called with each tick, and for each session when its time is up: nobody waits past the bound, and no session past
    /// half of its request timeout.
    pub fn release_held_sessions(&mut self) {
        let now = self.now();
        let Some(until) = self.startup_gate.until else { return };
        if now >= until {
            log::warn!("no list has come yet: serving with the one known at the start");
            return self.open_startup_gate();
        }
        let impatient = |c: &Rc<Session>| now.since(c.stage_entered_at.get()) >= longest_wait(c);
        let due = self.startup_gate.sessions.extract_if(.., |c| c.upgrade().as_ref().is_none_or(impatient));
        for session in due.collect::<Vec<_>>().iter().filter_map(Weak::upgrade) {
            self.admit(&session);
        }
    }

    /// Hands a session to the load balancer; its request timeout counts from when it came.
    pub fn admit(&mut self, session: &Rc<Session>) {
        if session.stage.get() == Stage::Connecting {
            let now = self.now();
            let mut turn = self.admission_turn(session);
            let ruled = self.rule_for(session);
            if let Some(ruled) = ruled.as_ref().filter(|ruled| ruled.is_over_quota) {
                log::debug!("session {}: no room for {}", session.id.0, ruled.customer);
                self.executor.metrics.count("sessions over namespace quota");
                turn = Some(turn.unwrap_or(AdmissionTurn { fraction_ahead: 2.0, retry_after: NO_ROOM }))
                    .map(|t| AdmissionTurn { fraction_ahead: 2.0, ..t });
            }
            if let Some(ruled) = ruled.as_ref().filter(|ruled| !self.balancer.has_tenant(&ruled.customer)) {
                if let Some(update) = self.namespaces.update_for(&ruled.customer) {
                    self.balancer.add_tenant(update, now, &mut self.executor);
                }
            }
            let among = ruled.as_ref().map(|ruled| &ruled.servers);
            let whose = ruled.as_ref().map(|ruled| &ruled.customer);
            let arrival = crate::proxy::arrival(
                session,
                session.stage_entered_at.get() + session.opening.request_timeout,
            );
            *session.namespace_slot.borrow_mut() = ruled.as_ref().map(|ruled| ruled.reservation.clone());
            self.balancer.on_request(
                whose,
                &Arrival { admission_turn: turn, allowed_servers: among, ..arrival },
                now,
                &mut self.executor,
            );
            // Not turned away: it was let in, or is about to be.
            let let_in = turn.is_some() && session.stage.get() == Stage::Connecting;
            self.peers.iter().filter(|_| let_in).for_each(|peers| peers.record_admission());
            self.run_deferred_actions();
        }
    }
}
