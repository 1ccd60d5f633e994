//! The proxy process: reads its start-up file and serves connections until a signal stops it.

use shelfgrade_proxy::lifecycle::serve::serve;
use shelfgrade_proxy::lifecycle::serve_error::ServeError;
use shelfgrade_proxy::lifecycle::startup::{StartupConfig, StartupError};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Why the program exits without having received a signal.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error(transparent)]
    Startup(#[from] StartupError),
    #[error(transparent)]
    Serve(#[from] ServeError),
}

impl RunError {
    /// Whether starting again may succeed without an operator's intervention.
    fn is_transient(&self) -> bool {
        match self {
            RunError::Startup(error) => error.is_transient(),
            RunError::Serve(error) => error.is_transient(),
        }
    }
}

fn run() -> Result<(), RunError> {
    Ok(serve(StartupConfig::from_environment()?)?)
}

/// Runs the proxy, and starts it again after transient errors.
fn run_with_retries() -> Result<(), RunError> {
    // A process that is not ready after 30 s is considered crashed. A start can take most of that time, so retries may
    // use only a part of it.
    const RETRY_FOR: Duration = Duration::from_secs(8);
    const RETRY_INTERVAL: Duration = Duration::from_millis(20);
    let started_at = Instant::now();
    let mut failures = 0_u32;
    loop {
        match run() {
            Err(error) if error.is_transient() && started_at.elapsed() < RETRY_FOR => {
                failures += 1;
                if failures.is_power_of_two() {
                    log::warn!("start failed, retrying: {error}");
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
