//! What differs between tenants: their balancers, their namespaces, and maintenance windows.

pub mod maintenance_windows;
pub mod tenant_balancers;
pub mod tenant_namespaces;
