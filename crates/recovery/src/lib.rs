//! The return of a process, or of a whole fleet: what is trusted from before ([`snapshot`], [`trust`]), whom to ask for
//! the list ([`asking`]), what a list says of those before it ([`counting`]), and in which order service comes back
//! ([`order`]). No I/O: time, bytes of a disk and what fellows know come in as arguments.
//!
//! `docs/recovery.md` has the table of every item and why it is trusted or not.

pub mod asking;
pub mod counting;
pub mod order;
pub mod snapshot;
pub mod trust;
