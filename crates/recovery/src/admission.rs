//! In which order service comes back: the list, then rooms at cold servers, then sessions by what is owed first.
//!
//! The decision module goes on saying which server, whether to try again and what is turned away. It is handed, for each
//! session, the part of the crowd that goes before it and a time to come again, and lets a cold server have those that
//! come before its share of the crowd is used up.

use shelfgrade::host::AdmissionTurn;
use shelfgrade::time::{DurationExt, Timestamp};
use std::collections::VecDeque;
use std::time::Duration;

/// The states of a return, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryState {
    /// The list has yet to be agreed, and a bound on the wait for it to pass.
    AwaitingList,
    /// Servers are cold: sessions are let in as rooms come up.
    RampingUp,
    /// All as ever.
    Serving,
}

impl RecoveryState {
    /// As the log has it.
    pub fn name(self) -> &'static str {
        match self {
            RecoveryState::AwaitingList => "waiting for the list",
            RecoveryState::RampingUp => "letting clients in as servers warm up",
            RecoveryState::Serving => "serving",
        }
    }
}

/// What a request class is owed.
#[derive(Debug, Clone, Copy)]
pub struct ClassPriority {
    pub connect_latency_objective: Option<Duration>,
    /// priority weight of a connection's second; any unit, the same for all.
    pub priority_weight: f64,
}

/// Who sends a request, as far as admission distinguishes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Requester {
    /// The index of its request class in the settings.
    pub class: Option<usize>,
    /// The index of its customer in the settings.
    pub customer: Option<usize>,
}

/// How long what came counts as the crowd: as long as the module's own.
const CROWD: Duration = Duration::from_millis(2000);
/// The most arrivals that are remembered.
const SAMPLES: usize = 4096;
/// A customer that has had less than this part of its share of what was let in goes first. Guards against one whose
/// request classes are all owed later getting nothing at all; half leaves room for what is owed first.
const SURE: f64 = 0.5;

struct Came {
    at: Timestamp,
    class: Option<usize>,
    customer: Option<usize>,
    let_in: bool,
}

pub struct RecoveryRamp {
    state: RecoveryState,
    until: Timestamp,
    classes: Vec<ClassPriority>,
    /// Shares of the customers, by their places in the settings.
    shares: Vec<f64>,
    slow_start: Duration,
    max_retry_after: Duration,
    warm_at: Option<Timestamp>,
    /// When the first session came that might be let in.
    opened: Option<Timestamp>,
    came: VecDeque<Came>,
}

impl RecoveryRamp {
    /// `wait`: how long the list is waited for. `slow_start`: how long a server takes to be warm. `max_retry_after`: the longest
    /// that a client stays away when told to.
    pub fn new(
        classes: Vec<ClassPriority>,
        shares: Vec<f64>,
        (wait, slow_start, max_retry_after): (Duration, Duration, Duration),
        now: Timestamp,
    ) -> Self {
        RecoveryRamp {
            state: RecoveryState::AwaitingList,
            until: now + wait,
            classes,
            shares,
            slow_start,
            max_retry_after,
            warm_at: None,
            opened: None,
            came: VecDeque::new(),
        }
    }

    pub fn state(&self) -> RecoveryState {
        self.state
    }

    /// The list is agreed, or the bound on the wait has passed: `starts` are those of the servers that may be sent to.
    pub fn list_is_here(&mut self, starts: impl Iterator<Item = Option<Timestamp>>, now: Timestamp) {
        let warm = starts.flatten().map(|start| start + self.slow_start).filter(|warm| *warm > now);
        self.warm_at = warm.max();
        self.state = if self.warm_at.is_some() { RecoveryState::RampingUp } else { RecoveryState::Serving };
    }

    /// True where the bound on the wait for the list has passed just now, and what is known has to do.
    pub fn waited(&self, now: Timestamp) -> bool {
        self.state == RecoveryState::AwaitingList && now >= self.until
    }

    /// Looks at the clock; true where the state has changed.
    pub fn on_timer(&mut self, now: Timestamp) -> bool {
        let over = self.state == RecoveryState::RampingUp && self.warm_at.is_none_or(|warm| now >= warm);
        if over {
            self.state = RecoveryState::Serving;
            self.came.clear();
        }
        over
    }

    /// A session has come: its turn, or none where all is as ever. `key` is any number of the client's, by which those
    /// that are owed alike take turns; `luck` is from 0 to 1.
    pub fn admission_turn(
        &mut self,
        Requester { class, customer }: Requester,
        key: u64,
        luck: f64,
        now: Timestamp,
    ) -> Option<AdmissionTurn> {
        let past = self.came.iter().take_while(|came| now.since(came.at) > CROWD).count();
        self.came.drain(..past);
        if self.state == RecoveryState::Serving {
            return None;
        }
        let before = match self.state {
            // Beyond the whole crowd: nobody is let in.
            RecoveryState::AwaitingList => 2.0,
            _ => {
                // Guards against the first of a crowd being taken for all of it: what comes in the first moments stands
                // for what comes in the whole of its time, and only as much of the room is given as of that has passed.
                const LEAST: Duration = Duration::from_millis(50);
                let past = now.since(*self.opened.get_or_insert(now)).max(LEAST);
                let whole = past >= CROWD;
                self.before((class, customer), whole, key) * CROWD.ratio_to(past).max(1.0)
            }
        };
        self.came.push_back(Came { at: now, class, customer, let_in: false });
        self.came.drain(..self.came.len().saturating_sub(SAMPLES));
        Some(AdmissionTurn { fraction_ahead: before, retry_after: self.again(luck, now) })
    }

    /// The session that came last was let in.
    pub fn record_admission(&mut self) {
        self.came.back_mut().into_iter().for_each(|came| came.let_in = true);
    }

    /// The part of the crowd that goes before such a session, from 0 to 1; `whole` where that is a whole crowd's time.
    fn before(&self, (class, customer): (Option<usize>, Option<usize>), whole: bool, key: u64) -> f64 {
        if whole && self.is_sure(customer) {
            return 0.0;
        }
        let mine = self.rank(class);
        let earlier = self.came.iter().filter(|came| self.rank(came.class) < mine).count() as f64;
        let alike = self.came.iter().filter(|came| self.rank(came.class) == mine).count() as f64 + 1.0;
        // Who is owed alike takes turns by key, so that no client gets in by asking often.
        let place = (key >> 11) as f64 / (1u64 << 53) as f64;
        (earlier + alike * place) / (self.came.len() as f64 + 1.0)
    }

    /// The tightest connect latency objective first, then the highest priority weight; what is not known comes last.
    fn rank(&self, class: Option<usize>) -> (u64, i64) {
        let owed = class.and_then(|o| self.classes.get(o));
        let limit = owed
            .and_then(|o| o.connect_latency_objective)
            .map_or(u64::MAX, |limit| (limit.as_ms() * 1000.0) as u64);
        (limit, owed.map_or(0, |o| -(o.priority_weight * 1000.0) as i64))
    }

    fn is_sure(&self, customer: Option<usize>) -> bool {
        let Some((customer, share)) = customer.and_then(|c| Some((c, *self.shares.get(c)?))) else {
            return false;
        };
        let let_in = self.came.iter().filter(|came| came.let_in);
        let (all, its) = let_in.fold((0.0, 0.0), |(all, its), came| {
            (all + 1.0, its + f64::from(u8::from(came.customer == Some(customer))))
        });
        // Before anybody was let in nobody has had less than its share.
        all > 0.0 && its < SURE * share * all
    }

    /// When to come again: some time while the servers warm up, so that the crowd is spread over that.
    fn again(&self, luck: f64, now: Timestamp) -> Duration {
        const LEAST: Duration = Duration::from_millis(100);
        let left = match self.state {
            RecoveryState::AwaitingList => self.until.since(now) + self.slow_start,
            _ => self.warm_at.map_or(Duration::ZERO, |warm| warm.since(now)),
        };
        LEAST + left.min(self.max_retry_after.scaled(0.95)).scaled(luck)
    }
}

#[cfg(test)]
#[path = "../tests/unit/admission.rs"]
mod tests;
