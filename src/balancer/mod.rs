//! All decisions of the balancer.
//!
//! Make a [`LoadBalancer`], call [`LoadBalancer::start`] with the last known endpoint list, then one method for each
//! event, with the present [`Timestamp`](crate::time::Timestamp) and the [`Host`](crate::host::Host), which carries out
//! at once what is decided.
//!
//! A new session goes to hash(client key) modulo the id-sorted server list; a draining, gone or overfull server passes
//! it to the next in order; an aged table answers mid-flow sessions. See `docs/design.md`. Besides this there are six
//! mechanisms at most:
//! 1. slow start: a server that just started gets only its share of what it can bear (`slow_start.rs`);
//! 2. outlier detection: a decaying score from failed attempts and lateness (`outlier_detection.rs`), and for servers
//!    where this proxy holds nothing, that of their zone and kind (`failure_domains.rs`);
//! 3. a failure detector: an attempt is given up, and its server passed over, when the silence has become improbable
//!    (`failure_detector.rs`, `attempt_timeout.rs`);
//! 4. group affinity: a session that reconnects, or whose server or fleet is overloaded or unobserved, meets its group
//!    (`group_affinity.rs`, `health_checks.rs`);
//! 5. rebalancing: an overloaded server has connections migrated, first those outside their group (`rebalancing.rs`);
//! 6. a concurrency limit: failed attempts narrow how many may be pending at once (`concurrency_limit.rs`).
//!
//! A session passes a chain of filters: `FlowLookup`, `ConcurrencyLimit`, `Placement` and `AttemptDispatch`.
//! Outcomes of its attempts pass the chain in reverse.

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
