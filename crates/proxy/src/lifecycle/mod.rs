//! The life cycle of the proxy: reading the configuration, startup, the startup gate, and the graceful shutdown
//! schedule.

pub mod serve;
pub mod serve_error;
pub mod shutdown_schedule;
pub mod startup;
pub mod startup_gate;
