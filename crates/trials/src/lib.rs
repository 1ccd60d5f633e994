//! What the fleet is tried with. Nothing here is part of the program.
//!
//! [`drawn`] has many cores in virtual time over a drawn network, in one thread and the same for the same seed.

pub mod drawn;
