//! Namespaces: each customer's rules for assigning its sessions to the servers that it was granted. A namespace belongs
//! to one customer, and its rules cannot refer to other customers.
//!
//! - [`rules`] and [`grants`]: the files of customers and of the operator, and their validation;
//! - [`selector`]: name patterns, and the servers that they select;
//! - [`table`]: the namespaces in force, and the look-up of the rule for a session;
//! - [`chunks`]: replication of values that are too large for one entry of the replicated map.
//!
//! The crate performs no I/O.

#![warn(missing_docs)]
#![deny(unsafe_code)]

pub mod chunks;
pub mod error;
pub mod grants;
pub mod rules;
pub mod selector;
pub mod table;
