//! Derives the settings of the recovery from the start-up file and the fleet file.

use crate::fleet::fleet_file::FleetFile;
use shelfgrade_recovery::{ClassPriority, RecoverySettings};
use shelfgrade_settings::Settings;

/// The settings of this process's recovery.
pub fn recovery_settings(settings: &Settings, file: &FleetFile) -> RecoverySettings {
    let priorities = settings.class_priorities.iter().map(|class| ClassPriority {
        connect_latency_objective: class.connect_latency_objective,
        priority_weight: class.priority_weight,
    });
    RecoverySettings {
        classes: priorities.collect(),
        customer_shares: settings.customers.iter().map(|customer| customer.share).collect(),
        list_wait: file.list_wait,
        slow_start: settings.slow_start,
        max_retry_after: settings.max_retry_after,
    }
}
