//! The recovery settings that follow from the start-up file and the fleet file.

use crate::fleet::fleet_file::FleetFile;
use shelfgrade_recovery::admission::ClassPriority;
use shelfgrade_recovery::environment::RecoverySettings;
use shelfgrade_settings::Settings;

/// What the recovery of this process goes by.
pub fn recovery_settings(settings: &Settings, file: &FleetFile) -> RecoverySettings {
    let priorities = settings.owed.iter().map(|(connect_latency_objective, priority_weight)| ClassPriority {
        connect_latency_objective: *connect_latency_objective,
        priority_weight: *priority_weight,
    });
    RecoverySettings {
        classes: priorities.collect(),
        shares: settings.customers.iter().map(|(_, share)| *share).collect(),
        wait: file.list_wait,
        slow_start: settings.slow_start,
        most_pause: settings.most_pause,
    }
}
