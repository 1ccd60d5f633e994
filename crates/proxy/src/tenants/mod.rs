//! Per-customer load balancers and namespaces, and the maintenance windows of each site.

pub mod maintenance_windows;
pub mod replicated_store;
pub mod tenant_balancers;
pub mod tenant_namespaces;
