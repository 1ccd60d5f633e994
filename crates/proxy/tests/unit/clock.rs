//! Unit tests of `clock.rs`.

use super::*;

#[test]
fn the_clock_reads_unix_time_and_advances() {
    let clock = Clock::start();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0;
    let first = clock.now();
    assert!((first.as_ms() - unix).abs() < 1000.0);
    std::thread::sleep(Duration::from_millis(3));
    assert!((3.0..1000.0).contains(&clock.now().since(first).as_ms()));
}
