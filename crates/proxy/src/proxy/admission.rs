//! Admission of sessions: holds them at the startup gate, then passes them to the load balancer with their admission
//! turn and the rule of their customer's namespace.

use crate::proxy::Proxy;
use crate::session::{Session, Stage};
use crate::tenants::tenant_namespaces::RuleDecision;
use calloop::timer::{TimeoutAction, Timer};
use shelfgrade::host::{AdmissionTurn, Arrival};
use shelfgrade::time::{DurationExt, Timestamp};
use shelfgrade_recovery::Requester;
use std::rc::{Rc, Weak};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Retry delay of a session that is rejected because its namespace is over quota. Within a second some of the
/// namespace's connections end.
const RETRY_AFTER_OVER_QUOTA: Duration = Duration::from_millis(1000);
/// A value of [`AdmissionTurn::fraction_ahead`] with which a session is never admitted: any above 1.
const NOT_ADMITTED: f64 = 2.0;
/// The fraction of a session's request timeout for which the session may be held at the startup gate.
const MAX_HOLD_FRACTION: f64 = 0.5;

impl Proxy {
    /// Holds a session at the startup gate, for at most half of its request timeout.
    pub fn hold_at_startup_gate(&mut self, session: &Rc<Session>) {
        let max_hold = session.open_request.request_timeout.scaled(MAX_HOLD_FRACTION);
        self.startup_gate.hold(session, session.stage_entered_at.get(), max_hold);
        let timer = Timer::from_duration(max_hold);
        let registered = self.executor.handle.insert_source(timer, |_, _, proxy| {
            proxy.release_held_sessions();
            TimeoutAction::Drop
        });
        self.executor.metrics.check_invariant(registered.is_ok(), "a timer can be set");
    }

    /// Opens the startup gate: admits the held sessions in the order of their arrival, and answers pending health
    /// checks of this proxy.
    pub fn open_startup_gate(&mut self) {
        let Some(held) = self.startup_gate.open() else { return };
        for session in held {
            session.upgrade().inspect(|session| self.admit(session));
        }
        let is_ready = self.is_ready();
        self.listener
            .pending
            .values()
            .for_each(|pending_connection| pending_connection.respond_to_ping(is_ready));
    }

    /// Opens the startup gate if its time limit has passed; otherwise admits the sessions whose maximum hold time has
    /// passed. Called on each tick and when the hold time of a session ends.
    pub fn release_held_sessions(&mut self) {
        let now = self.now();
        if self.startup_gate.is_overdue(now) {
            log::warn!("no endpoint list received yet; serving with the list known at startup");
            return self.open_startup_gate();
        }
        for session in self.startup_gate.take_expired(now).iter().filter_map(Weak::upgrade) {
            self.admit(&session);
        }
    }

    /// Passes a session to the load balancer. Its request timeout counts from its arrival.
    pub fn admit(&mut self, session: &Rc<Session>) {
        if session.stage.get() != Stage::Connecting {
            return;
        }
        let now = self.now();
        let mut turn = self.admission_turn(session);
        let rule = self.rule_for(session);
        if let Some(rule) = rule.as_ref().filter(|rule| rule.is_over_quota) {
            log::debug!("session {}: customer {} is over its namespace quota", session.id.0, rule.customer);
            self.executor.metrics.count("sessions over namespace quota");
            let retry_after = turn.map_or(RETRY_AFTER_OVER_QUOTA, |turn| turn.retry_after);
            turn = Some(AdmissionTurn { fraction_ahead: NOT_ADMITTED, retry_after });
        }
        if let Some(rule) = &rule {
            self.ensure_balancer_of(&rule.customer, now);
        }
        let deadline = session.stage_entered_at.get() + session.open_request.request_timeout;
        let allowed_servers = rule.as_ref().map(|rule| &rule.servers);
        let arrival = Arrival { admission_turn: turn, allowed_servers, ..arrival(session, deadline) };
        *session.namespace_slot.borrow_mut() = rule.as_ref().map(|rule| rule.reservation.clone());
        let customer = rule.as_ref().map(|rule| &rule.customer);
        self.balancer.on_request(customer, &arrival, now, &mut self.executor);
        // A rejected session has already been answered and is no longer in the stage `Connecting`.
        let was_admitted = turn.is_some() && session.stage.get() == Stage::Connecting;
        self.peers.iter().filter(|_| was_admitted).for_each(|peers| peers.record_admission());
        self.run_deferred_actions();
    }

    /// Creates the load balancer of a customer with a namespace if it does not exist yet.
    fn ensure_balancer_of(&mut self, customer: &Rc<str>, now: Timestamp) {
        if !self.balancer.has_tenant(customer) {
            if let Some(update) = self.namespaces.update_for(customer) {
                self.balancer.add_tenant(update, now, &mut self.executor);
            }
        }
    }

    /// The session's admission turn during a recovery; none otherwise.
    fn admission_turn(&mut self, session: &Session) -> Option<AdmissionTurn> {
        let peers = self.peers.clone()?;
        let request = &session.open_request;
        let name = request.customer.as_ref();
        let customer = name.and_then(|name| self.customer_names.iter().position(|customer| customer == name));
        let requester = Requester { class: Some(request.class), customer };
        peers.admission_turn(requester, xxh3_64(request.key.as_bytes()), self)
    }

    /// The decision of the customer's namespace about a session; none if the customer has no namespace.
    fn rule_for(&mut self, session: &Session) -> Option<RuleDecision> {
        let request = &session.open_request;
        let class = self.class_names.get(request.class).map_or("", String::as_str);
        self.namespaces.decide(request.customer.as_deref(), class, request.group.as_deref())
    }
}

/// Describes a session's request to the load balancer.
pub fn arrival(session: &Session, deadline: Timestamp) -> Arrival<'_> {
    let request = &session.open_request;
    Arrival {
        session: session.id,
        class: Some(request.class),
        key: Some(&request.key),
        group: request.group.as_deref(),
        deadline,
        mid_flow: request.mid_flow,
        reconnected: request.reconnected,
        admission_turn: None,
        allowed_servers: None,
    }
}
