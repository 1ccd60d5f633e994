//! The proxy on real sockets: reads its start-up file, and serves until a signal stops it.

use shelfgrade_proxy::lifecycle::serve::serve;
use shelfgrade_proxy::lifecycle::serve_error::ServeError;
use shelfgrade_proxy::lifecycle::startup::{Start, StartError};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Why the program exits other than on a signal.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Serve(#[from] ServeError),
}

impl RunError {
    /// Whether the same start may succeed a moment later.
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

/// Runs the proxy, retrying a start that the system refused for a moment.
fn run_with_retries() -> Result<(), RunError> {
    // A process that is not ready after thirty seconds counts as crashed, and a start itself takes most of them.
    const RETRY_FOR: Duration = Duration::from_secs(8);
    const RETRY_INTERVAL: Duration = Duration::from_millis(20);
    let started_at = Instant::now();
    let mut failures = 0_u32;
    loop {
        match run() {
            Err(error) if error.is_transient() && started_at.elapsed() < RETRY_FOR => {
                failures += 1;
                if failures.is_power_of_two() {
                    log::warn!("start retried: {error}");
                }
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info,calloop=error")).init();
    match run_with_retries() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
