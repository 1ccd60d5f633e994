//! The simulator's wire, mapped to the terms of the decisions: lines in [`line`], what they mean in [`event`], and the
//! lines written for decisions in [`reply`].

pub mod event;
pub mod line;
pub mod reply;
