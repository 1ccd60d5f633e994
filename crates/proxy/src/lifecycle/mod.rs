//! From the start-up file to the exit: startup, readiness, reload and graceful shutdown.

pub mod graceful_shutdown;
pub mod reload;
pub mod serve_error;
pub mod startup;
pub mod startup_gate;
