//! Scenarios of the decisions, each on a recording host in virtual time.

mod concurrency_limit;
mod final_answers;
mod group_affinity;
mod harness;
mod list_freshness;
mod outlier_detection;
mod placement;
mod poll_schedule;
mod random_events;
mod rebalancing;
mod simulated_fleet;
mod slow_start;
mod slow_start_fleet;
