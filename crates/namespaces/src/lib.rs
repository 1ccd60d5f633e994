//! Namespaces: the rules by which each customer spreads its sessions over the servers that it is granted. A namespace
//! belongs to one customer, and no rule can name another customer's.
//!
//! - [`rules`] and [`grants`]: what customers and the operator write, and its validation;
//! - [`table`]: the namespaces in force, and the look-up of a session's rule;
//! - [`chunks`]: how a value is replicated in pieces that fit in an entry of the replicated map.
//!
//! The crate does no I/O.

#![warn(missing_docs)]
#![deny(unsafe_code)]

pub mod chunks;
pub mod error;
pub mod grants;
pub mod rules;
pub mod selector;
pub mod table;
