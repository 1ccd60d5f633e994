//! The return of a process, or of a whole fleet: what is trusted from before ([`snapshot`], [`trust`]), whom to ask for
//! the list ([`asking`]), what a list says of those before it ([`counting`]), and in which order service comes back
//! ([`order`]); [`comeback`] puts them together over what the fleet shares. No I/O: time, datagrams, bytes of a disk and
//! lists come in as arguments.
//!
//! `docs/recovery.md` has the table of every item and why it is trusted or not.

pub mod around;
pub mod asking;
pub mod comeback;
pub mod counting;
pub mod order;
pub mod snapshot;
pub mod trust;
