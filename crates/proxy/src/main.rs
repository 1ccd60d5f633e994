//! The real proxy: reads what it is told at its start, and serves until it is told to end.

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info,calloop=error")).init();
    let served = match shelfgrade_proxy::start::Start::from_environment() {
        Ok(start) => shelfgrade_proxy::proxy::serve(start).map_err(|fault| fault.to_string()),
        Err(fault) => Err(fault.to_string()),
    };
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            log::error!("{fault}");
            ExitCode::FAILURE
        }
    }
}
