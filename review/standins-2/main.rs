//! Runs one case, named by the first argument. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run.

mod addresses;
mod common;
mod endless;
mod wire;

use std::time::Duration;

fn main() {
    // A case that hangs ends here, before the limit of 120 s.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(110));
        println!("not done after 110 s");
        common::kill_all();
        std::process::exit(common::CANNOT_RUN);
    });
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let code = match arguments.first().map(String::as_str) {
        Some("relay") => addresses::relay(&arguments[1..]),
        Some("endless") => endless::run(),
        Some("addresses") => addresses::run(),
        Some("wire") => wire::run(),
        _ => common::CANNOT_RUN,
    };
    std::process::exit(code);
}
