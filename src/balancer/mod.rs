//! The load balancing decisions.
//!
//! Create a [`LoadBalancer`], call [`LoadBalancer::start`] with the last known endpoint list, and then one method for
//! each event, with the current [`Timestamp`](crate::time::Timestamp) and the [`Host`](crate::host::Host), which
//! performs each decided action immediately.
//!
//! A new session is sent to the server at index hash(client key) modulo the number of servers, in the list sorted by
//! id. A server that is draining, removed or overfull is passed over for the next one in the list. Mid-flow sessions
//! are sent to the server that the flow table has for their key. See `docs/design.md`. By design there are no more
//! than six mechanisms beyond this:
//! 1. slow start: a server that has just started is sent only its share of what it can handle (`slow_start.rs`);
//! 2. outlier detection: a decaying score, raised by failed attempts and high latencies (`outlier_detection.rs`); a
//!    server to which this proxy has no connections is judged by the scores of its zone and kind
//!    (`failure_domains.rs`);
//! 3. a failure detector: an attempt is given up, and its server passed over, once its silence has become improbable
//!    (`failure_detector.rs`, `attempt_timeout.rs`);
//! 4. group affinity: a session is sent to the servers of its group if it reconnects, or if its server or the servers
//!    as a whole are overloaded or their load is not observed (`group_affinity.rs`, `health_checks.rs`);
//! 5. rebalancing: connections are migrated away from an overloaded server, first those of sessions outside their
//!    group's servers (`rebalancing.rs`);
//! 6. a concurrency limit: failed attempts reduce how many may be pending at once (`concurrency_limit.rs`).
//!
//! A session passes through a chain of filters: `FlowLookup`, `ConcurrencyLimit`, `Placement` and `AttemptDispatch`.
//! The outcomes of its attempts pass through the chain in reverse order.

mod attempt_timeout;
mod concurrency_limit;
mod drain;
mod failure_detector;
mod failure_domains;
mod filter;
mod fleet_load;
mod flow_table;
mod group_affinity;
mod health_checks;
mod load_balancer;
mod outlier_detection;
mod placement;
mod poll_schedule;
mod rebalancing;
mod retry_safety;
mod slow_start;

pub(crate) use concurrency_limit::ConcurrencyWindow;
pub(crate) use flow_table::FlowTable;
pub use load_balancer::LoadBalancer;
pub use slow_start::SlowStart;
