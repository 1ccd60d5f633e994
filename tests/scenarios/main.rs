//! One short story for each failure met.

mod answers;
mod books;
mod cold;
mod fake;
mod gathering;
mod jams;
mod listing;
mod order;
mod ramp;
mod relief;
mod told;
mod trust;
