//! Decides to which server a proxy sends each long-lived connection.
//!
//! The crate performs no I/O and reads no clock. [`balancer`] makes every decision, [`host`] is the interface to the
//! program that carries them out, [`time`] defines the time types, [`warm_restart`] saves and restores state across
//! restarts, and [`outstanding`] counts open attempts and sessions. A host implements [`host::Host`] and calls the
//! methods of a [`balancer::LoadBalancer`]:
//!
//! ```
//! use shelfgrade::balancer::{LoadBalancer, SlowStart};
//! use shelfgrade::host::*;
//! use shelfgrade::time::Timestamp;
//! use std::time::Duration;
//!
//! struct Printer(Vec<String>);
//! impl Host for Printer {
//!     fn connect(&mut self, session: SessionId, server: &ServerId, _: Duration) {
//!         self.0.push(format!("session {} to {server}", session.0));
//!     }
//!     fn reject(&mut self, _: SessionId, _: Duration) {}
//!     fn fail(&mut self, _: SessionId) {}
//!     fn migrate(&mut self, _: SessionId) {}
//!     fn subscribe(&mut self) {}
//!     fn check_health(&mut self, _: &ServerId) -> bool { false }
//!     fn schedule_wakeup(&mut self, _: Timestamp) {}
//! }
//!
//! let now = Timestamp::from_ms(1000.0);
//! let mut host = Printer(Vec::new());
//! let slow_start = SlowStart {
//!     initial_fraction: 0.3,
//!     duration: Duration::from_millis(8000),
//!     overload_factor: 3.0,
//!     overload_window: Duration::from_millis(2000),
//!     total_capacity: None,
//!     server_capacity: 30.0,
//!     proxy_count: 3.0,
//! };
//! let class = RequestClass {
//!     idempotency: Idempotency::Idempotent,
//!     connect_latency_objective: None,
//!     message_latency_objective: None,
//! };
//! let max_retry_after = Duration::from_millis(2000);
//! let mut balancer = LoadBalancer::new(7, vec![class], 4, max_retry_after, None, slow_start);
//! let server = Endpoint {
//!     server: "192.0.2.1:80".into(),
//!     zone: "a".into(),
//!     kind: "m2".into(),
//!     cell: 0,
//!     started: None,
//!     state: EndpointState::Active,
//! };
//! balancer.start(&[server], now, &mut host);
//! let arrival = Arrival {
//!     session: SessionId(1),
//!     class: Some(0),
//!     key: Some("lift-12"),
//!     group: None,
//!     deadline: now + Duration::from_millis(3000),
//!     mid_flow: false,
//!     reconnected: false,
//!     admission_turn: None,
//!     allowed_servers: None,
//! };
//! balancer.on_request(&arrival, now, &mut host);
//! assert_eq!(host.0, ["session 1 to 192.0.2.1:80"]);
//! ```

#![warn(missing_docs)]
#![deny(unsafe_code)]

pub mod balancer;
pub mod host;
pub mod outstanding;
mod state;
pub mod time;
pub mod warm_restart;
