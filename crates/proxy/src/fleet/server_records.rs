//! Converts the records of an endpoint list into the format that peers exchange.

use crate::discovery::endpoint_list::{EndpointList, EndpointRecord, Health};
use shelfgrade_recovery::{ServerHealth, ServerRecord};

/// The records of a list, each with the server's name.
pub fn server_records(list: &EndpointList) -> Vec<(String, ServerRecord)> {
    list.records.iter().map(|record| (record.host.clone(), server_record(record))).collect()
}

fn server_record(record: &EndpointRecord) -> ServerRecord {
    ServerRecord {
        address: record.address,
        zone: record.zone.clone(),
        kind: record.kind.clone(),
        cell: record.cell,
        health: match record.health {
            Health::InService => ServerHealth::InService,
            Health::Terminating => ServerHealth::Terminating,
            Health::Terminated => ServerHealth::Terminated,
        },
        started_ms: record.started_ms,
    }
}
