//! The real proxy: reads what it is told at its start, and serves until it is told to end.

use shelfgrade_proxy::lifecycle::serve_error::ServeError;
use shelfgrade_proxy::lifecycle::startup::{Start, StartError};
use shelfgrade_proxy::proxy::serve;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Why the program ends other than as told.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Serve(#[from] ServeError),
}

impl RunError {
    fn is_transient(&self) -> bool {
        match self {
            RunError::Start(error) => error.is_transient(),
            RunError::Serve(error) => error.is_transient(),
        }
    }
}

fn run() -> Result<(), RunError> {
    Ok(serve(Start::from_environment()?)?)
}

/// Tries a start again whose calls the system refuses for a moment.
fn run_past_refusals() -> Result<(), RunError> {
    // A process that is not ready after thirty seconds counts as crashed; nine in ten have ten.
    const TRIED_FOR: Duration = Duration::from_secs(8);
    const PAUSE: Duration = Duration::from_millis(20);
    let began = Instant::now();
    let mut tries = 0_u32;
    loop {
        match run() {
            Err(error) if error.is_transient() && began.elapsed() < TRIED_FOR => {
                tries += 1;
                if tries.is_power_of_two() {
                    log::warn!("tried again: {error}");
                }
                std::thread::sleep(PAUSE);
            }
            ended => return ended,
        }
    }
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info,calloop=error")).init();
    match run_past_refusals() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
