//! Scenario tests of the load balancer, each in virtual time with a host that records the decisions.

mod concurrency_limit;
mod final_answers;
mod group_affinity;
mod harness;
mod health_check_waits;
mod list_freshness;
mod outlier_detection;
mod placement;
mod poll_schedule;
mod random_events;
mod rebalancing;
mod simulated_fleet;
mod slow_start;
mod slow_start_fleet;
