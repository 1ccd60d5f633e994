//! Records of discovery in the form that peers share.

use crate::discovery::endpoint_list::{EndpointList, EndpointRecord, Health};
use shelfgrade_recovery::restore::{self, ServerRecord};

/// The records of a list, each under its host's name.
pub fn server_records(list: &EndpointList) -> Vec<(String, ServerRecord)> {
    list.records.iter().map(|record| (record.host.clone(), server_record(record))).collect()
}

fn server_record(record: &EndpointRecord) -> ServerRecord {
    ServerRecord {
        dial: record.address,
        site: record.zone.clone(),
        kind: record.kind.clone(),
        block: record.cell,
        health: match record.health {
            Health::InService => restore::Health::InService,
            Health::Terminating => restore::Health::Terminating,
            Health::Terminated => restore::Health::Terminated,
        },
        born_ms: record.started_ms,
    }
}
