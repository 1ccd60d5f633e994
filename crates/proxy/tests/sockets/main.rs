//! Stories of the program on sockets, one for each thing that could go wrong there.

mod calls;
mod clocks;
mod crossing;
mod ending;
mod faults;
mod folders;
mod gone;
mod leaving;
mod life;
mod listing;
mod migration;
mod moving;
mod passing;
mod peers;
mod plan;
mod ready;
mod rest;
mod room;
mod settings;
mod soak;
mod stand;
mod told;
mod watches;
