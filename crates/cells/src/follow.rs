//! Keeping up with the log: what is newer is merged; where the log no longer reaches, all is taken anew.

use crate::packet::{Message, ROOM};
use crate::record::{Record, Scope, Version};
use crate::state::{Delta, DeltaError, Merged, State};

/// A state, and the one that takes its place once it is whole.
pub struct Follower {
    state: State,
    anew: Option<Anew>,
}

struct Anew {
    state: State,
    /// What was gone by then was not sent; what goes later must come.
    horizon: Version,
}

impl Follower {
    pub fn new(state: State) -> Self {
        Follower { state, anew: None }
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    pub(crate) fn state_mut(&mut self) -> &mut State {
        &mut self.state
    }

    pub fn pull(&self) -> Message {
        let (after, anew) = match &self.anew {
            Some(anew) => (anew.state.to(), true),
            None => (self.state.to(), false),
        };
        Message::Pull { scope: self.state.scope(), after, anew }
    }

    /// True while all is taken anew.
    pub fn renews(&self) -> bool {
        self.anew.is_some()
    }

    /// Takes in an answer. A state that takes the old one's place tells all of it as news.
    pub fn take(&mut self, delta: &Delta) -> Result<Merged, DeltaError> {
        if self.anew.is_none() && !self.state.needs_anew(delta) {
            return self.state.merge(delta);
        }
        let scope = self.state.scope();
        let head = self.state.head();
        let start = || {
            let mut state = State::new(scope);
            // Nothing goes back: what came ahead may have been told to others already.
            state.heard_of(head);
            Anew { state, horizon: delta.horizon }
        };
        let anew = self.anew.get_or_insert_with(start);
        if delta.horizon > anew.horizon.max(anew.state.to()) {
            // What went in between may have been forgotten by now: from the start.
            *anew = start();
        }
        let merged = anew.state.merge(delta)?;
        if anew.state.whole() {
            if let Some(anew) = self.anew.take() {
                self.state = anew.state;
            }
            let news: Vec<Record> = self.state.records().cloned().collect();
            return Ok(Merged { news, further: true });
        }
        Ok(Merged { news: Vec::new(), further: merged.further })
    }
}

impl State {
    /// True where the sender has forgotten some of what went since this state, or this one holds nothing.
    fn needs_anew(&self, delta: &Delta) -> bool {
        let lacks = self.to() == Version(0) || delta.horizon > self.to();
        lacks && delta.after == Version(0) && delta.to > Version(0)
    }

    /// The answer to a pull, in one datagram.
    pub fn answer(&self, scope: Scope, after: Version, anew: bool) -> Delta {
        let after = if !anew && self.needs_snapshot(after) { Version(0) } else { after };
        self.newer(scope, after, Version(u64::MAX), ROOM)
    }
}
