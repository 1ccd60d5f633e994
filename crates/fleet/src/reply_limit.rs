//! Limits the rate of replies, so that a peer's requests cannot cause more traffic than the member's own messages.

use shelfgrade::time::{DurationExt, Timestamp};

/// Replies per second, and the burst size: four complete anti-entropy exchanges.
const REPLIES_PER_SECOND: f64 = 32.0;

/// A token bucket.
pub(crate) struct ReplyLimit {
    tokens: f64,
    updated: Timestamp,
}

impl ReplyLimit {
    pub(crate) fn new(now: Timestamp) -> Self {
        ReplyLimit { tokens: REPLIES_PER_SECOND, updated: now }
    }

    /// Takes a token if one is available. Returns whether a reply may be sent.
    pub(crate) fn try_take(&mut self, now: Timestamp) -> bool {
        let elapsed_seconds = now.since(self.updated).as_ms() / 1000.0;
        let tokens = (self.tokens + elapsed_seconds * REPLIES_PER_SECOND).min(REPLIES_PER_SECOND);
        let is_allowed = tokens >= 1.0;
        self.tokens = if is_allowed { tokens - 1.0 } else { tokens };
        self.updated = now;
        is_allowed
    }
}
