//! From the start-up file to the exit: startup, the startup gate, and the schedule of a graceful shutdown.

pub mod serve;
pub mod serve_error;
pub mod shutdown_schedule;
pub mod startup;
pub mod startup_gate;
