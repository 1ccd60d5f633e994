//! Hosts any number of independent load balancers for the simulator, which communicates over standard input and
//! output.

#![deny(unsafe_code)]

mod adapter;
mod wire;

use adapter::Adapter;
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match Adapter::default().run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("shelfgrade-adapter: {error:#}");
            ExitCode::FAILURE
        }
    }
}
