//! All decisions of the balancer.
//!
//! Make a [`LoadBalancer`], call [`LoadBalancer::start`] with the list last held, then one method for each thing that
//! happens, with the present [`Timestamp`] and the [`Host`] that at once carries out what is decided (`host.rs`).
//! The design: a new session goes to hash(client key) modulo the id-sorted server list; a draining, gone or
//! overfull pick passes to the next in order; an aged table answers mid-flow sessions. See `docs/design.md`.
//! Mechanisms beside the design, six at most:
//! 1. warm-up budget: a server that just started gets only its share of what it can bear;
//! 2. distrust: a fading score from bad endings and lateness; where nothing is held, that of zone and kind;
//! 3. silence: an attempt is given up, and its server passed over, when the silence has become unusual;
//! 4. gathering: what comes back, or finds its pick or the fleet strained or out of sight, joins its group;
//! 5. relief: a server that is late so has connections sent away, first those that are not with their group;
//! 6. pacing: failed attempts narrow how many may be out at once.
//!
//! A session passes `Recall`, `Pacing`, `Placement` and `Dispatch`; news of its attempts comes in reverse.

mod again;
mod cold;
mod dispatch;
mod gathering;
mod pacing;
mod placement;
mod recall;
mod relief;
mod trust;

use crate::host::{Arrival, AttemptOutcome, Endpoint, Host, RequestClass, SessionId};
pub use crate::record::SlowStart;
use crate::record::{Attempt, Server, Session, Shelf};
use crate::time::{DurationExt, Timestamp};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// What a stage did with a session: passed it on, kept it, or ended it.
enum Step {
    Pass,
    Keep,
    End,
}

/// The server that the stages have settled on for the next attempt.
type Pick = Option<Rc<Server>>;

trait Stage {
    fn forth(&mut self, session: &Rc<Session>, pick: &mut Pick, now: Timestamp, host: &mut dyn Host) -> Step;
    /// The news of the session's last attempt: none when its connection stands, else how it ended.
    fn back(&mut self, _session: &Rc<Session>, _connect: &Attempt, _now: Timestamp) {}
}

/// The decisions of one proxy.
pub struct LoadBalancer {
    classes: Vec<RequestClass>,
    /// The most delicate request class's, as any may be held by a server; no sign of life in this time is strain.
    message_latency_objective: Duration,
    most_pause: Duration,
    pub(crate) shelf: Rc<Shelf>,
    /// How long a proxy may go without asking for the list; none where an agent of its own pushes it.
    must_ask_in: Option<Duration>,
    asks_at: Option<Timestamp>,
    /// Where calls fail, when all proxies have asked once; when what a lost watch may miss counts as told.
    list_calls: (Option<Timestamp>, Timestamp),
    /// When to look round next, and whether that probes.
    looks_at: Option<(Timestamp, bool)>,
    /// Sessions that wait for a sign of life, and until when.
    hailing: Vec<(Timestamp, Weak<Session>)>,
    stages: [Box<dyn Stage>; 4],
    /// The door: every session unanswered, standing or with an attempt still out.
    pub(crate) sessions: BTreeMap<SessionId, Rc<Session>>,
}

impl LoadBalancer {
    /// `most_pause`: the longest wait a client keeps to. `must_ask_in`: none where the list comes unasked.
    pub fn new(
        seed: u64,
        classes: Vec<RequestClass>,
        max_attempts: usize,
        most_pause: Duration,
        must_ask_in: Option<Duration>,
        slow_start: SlowStart,
    ) -> Self {
        let shelf = Rc::new(Shelf::new(max_attempts, seed, slow_start.proxies));
        let message_latency_objective = classes.iter().filter_map(|o| o.message_latency_objective).min();
        LoadBalancer {
            message_latency_objective: message_latency_objective.unwrap_or(Duration::from_millis(100)),
            classes,
            most_pause,
            must_ask_in,
            asks_at: None,
            list_calls: (None, Timestamp::NEVER),
            looks_at: None,
            hailing: Vec::new(),
            stages: [
                Box::new(recall::Recall { shelf: shelf.clone(), swept: Timestamp::default() }),
                Box::new(pacing::Pacing::new(shelf.clone())),
                Box::new(placement::Placement { shelf: shelf.clone(), slow_start }),
                Box::new(dispatch::Dispatch { shelf: shelf.clone() }),
            ],
            shelf,
            sessions: BTreeMap::new(),
        }
    }

    pub fn start(&mut self, last_held: &[Endpoint], now: Timestamp, host: &mut dyn Host) {
        self.on_endpoints(last_held, true, now);
        self.on_poll_failed(now, now, host);
    }

    /// Lines of the server list; a server absent from a `whole` list is gone.
    pub fn on_endpoints(&mut self, lines: &[Endpoint], whole: bool, now: Timestamp) {
        self.list_calls = (None, Timestamp::NEVER);
        self.shelf.follow(lines, whole, now);
        self.shelf.set_half_lives();
    }

    /// The watch is silent, or another service has the list: it is asked now, news counts as told at `due`.
    pub fn on_watch_lost(&mut self, due: Timestamp, host: &mut dyn Host) {
        self.list_calls = (None, due.min(self.list_calls.1));
        host.subscribe();
    }

    /// The time has come that the host was asked to wake this proxy at.
    pub fn on_timer(&mut self, now: Timestamp, host: &mut dyn Host) {
        if self.asks_at.take_if(|at| *at <= now).is_some() {
            host.subscribe();
        }
        if let Some((_, probing)) = self.looks_at.take_if(|looks| looks.0 <= now) {
            self.start_periodic_checks(probing, now, host);
        }
        let due: Vec<_> = self.hailing.extract_if(.., |h| h.0 <= now).collect();
        for session in due.iter().filter_map(|h| h.1.upgrade()).filter(|c| c.hails.take()) {
            self.offer(&session, None, now, host);
        }
    }

    pub fn on_request(&mut self, arrival: &Arrival, now: Timestamp, host: &mut dyn Host) {
        let session = self.enter(arrival);
        self.shelf.note_arrival(now);
        self.offer(&session, None, now, host);
    }

    /// A connection that was already open when this proxy started; connect 0 counts as made.
    pub fn restore_session(&mut self, arrival: &Arrival, server: &str, now: Timestamp) {
        let Some(server) = self.shelf.find(server) else { return };
        let session = self.enter(arrival);
        session.attempts.borrow_mut().push(Attempt { server, sent: now, outcome: None });
        self.bring_back(&session, None, now);
    }

    /// The session's connection is established.
    pub fn on_established(&mut self, session: SessionId, now: Timestamp) {
        self.sessions.get(&session).cloned().into_iter().for_each(|c| self.bring_back(&c, None, now));
    }

    /// An attempt has ended; `done` where the client has its final answer by now.
    pub fn on_attempt_ended(
        &mut self,
        session: SessionId,
        outcome: AttemptOutcome,
        done: bool,
        now: Timestamp,
        host: &mut dyn Host,
    ) {
        let Some(session) = self.sessions.get(&session).cloned() else { return };
        let over = done || session.stands.get() || session.answered.get();
        self.bring_back(&session, Some(outcome), now);
        if over {
            self.sessions.remove(&session.id);
        } else {
            self.offer(&session, None, now, host);
        }
    }

    /// Whether the session's connect that has just come up may carry its first line; else nothing is sent on it.
    pub fn may_send_request(&self, session: SessionId, now: Timestamp) -> bool {
        self.sessions.get(&session).is_none_or(|session| session.may_send_request(now))
    }

    /// The load of a standing connection, in work a second.
    pub fn on_load_report(&mut self, session: SessionId, load: f64) {
        self.sessions.get(&session).inspect(|c| c.load.set(load));
    }

    /// The client has left; nothing more may be sent for the session.
    pub fn on_client_closed(&mut self, session: SessionId) {
        // Guards against a sign of life sending on what nobody waits for: no attempt's end will remove it.
        if self.sessions.get(&session).inspect(|c| c.answered.set(true)).is_some_and(|c| c.hails.take()) {
            self.sessions.remove(&session);
        }
    }

    /// A call for the list, out since then, failed, or it starts. Guards against proxies asking in step: what cannot
    /// be done in time is given up, but still done, before what is asked then. All ask before any asks twice.
    pub fn on_poll_failed(&mut self, since: Timestamp, now: Timestamp, host: &mut dyn Host) {
        const LEAST: Duration = Duration::from_millis(200);
        // Of 40 and 80 ms a hundred proxies did as well with either; three ask about as they always did.
        const EACH: Duration = Duration::from_millis(40);
        // What can be had counts as told in six seconds: four to spread over, then room for a refusal.
        const MOST: [Duration; 2] = [Duration::from_millis(3800), Duration::from_millis(1400)];
        let (all_asked, due) = self.list_calls;
        let time = self.must_ask_in.unwrap_or(LEAST.scaled(2.5));
        // Guards against a pause after a refusal that outlasts that time; from then on: thrice a second.
        let most = due.since(now).max(LEAST.scaled(4.0)).min(time).scaled(0.4);
        let (least, spread) = (now + LEAST.min(most), EACH.scaled(self.shelf.proxies).min(most));
        let drawn = (since + spread.min(MOST[0])).since(now);
        self.list_calls.0 = all_asked.or(Some(least + drawn));
        let pause = (LEAST + spread.max(now.since(all_asked.unwrap_or(now)))).min(most).min(MOST[1]);
        let at = match all_asked {
            None if self.must_ask_in.is_none() => return host.subscribe(),
            None => least + drawn.scaled(self.shelf.luck()),
            Some(all) if now < all => (all + pause.scaled(self.shelf.luck())).min(now + most),
            Some(_) => least.max(since + pause),
        };
        host.schedule_wakeup(*self.asks_at.insert(at));
    }

    fn enter(&mut self, arrival: &Arrival) -> Rc<Session> {
        let class = arrival.class.and_then(|o| self.classes.get(o));
        let session = Rc::new(Session::arriving(arrival, class));
        self.shelf.note_group(&session);
        self.sessions.insert(arrival.session, session.clone());
        session
    }

    /// Runs a session through the chain; what the chain does not keep gets its final answer at once.
    fn offer(&mut self, session: &Rc<Session>, mut pick: Pick, now: Timestamp, host: &mut dyn Host) {
        for stage in &mut self.stages {
            match stage.forth(session, &mut pick, now, host) {
                Step::Pass => continue,
                Step::Keep if session.hails.get() => {
                    // Guards against a session held by servers that give no sign.
                    let until =
                        now + self.message_latency_objective.min(session.deadline.since(now).scaled(0.5));
                    self.hailing.push((until, Rc::downgrade(session)));
                    return host.schedule_wakeup(until);
                }
                Step::Keep => return,
                Step::End => break,
            }
        }
        self.sessions.remove(&session.id);
        if session.may_reject() {
            let again = || self.most_pause.scaled(0.5 + 0.5 * self.shelf.luck());
            host.reject(session.id, session.admission_turn.map_or_else(again, |turn| turn.retry_after));
        } else {
            host.fail(session.id);
        }
    }

    fn bring_back(&mut self, session: &Rc<Session>, outcome: Option<AttemptOutcome>, now: Timestamp) {
        let mut attempts = session.attempts.borrow_mut();
        let Some(attempt) = attempts.last_mut() else { return };
        // Guards against a session that no server can use costing all of them their trust: one error counts.
        let again = outcome == Some(AttemptOutcome::Failed) && session.errored.replace(true);
        attempt.outcome = if again { Some(AttemptOutcome::Cancelled) } else { outcome };
        for stage in self.stages.iter_mut().rev() {
            stage.back(session, attempt, now);
        }
        session.stands.set(outcome.is_none());
    }
}
