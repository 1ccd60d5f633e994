//! Lingering closes: after its final answer a client's connection is kept for a moment past the end of our sending, and
//! what still comes on it is read and dropped. A close with bytes unread, or still on their way, resets the connection,
//! and the reset may overtake the answer.

use crate::net::socket::{End, Socket};
use shelfgrade::time::Timestamp;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long a connection lingers: longer than bytes take that were sent before the peer read its answer. With the two
/// seconds for a first line it stays under the three in which a silent client is owed an answer or a close.
const LINGER_TIMEOUT: Duration = Duration::from_millis(600);
/// How much is read and dropped: more than a well-behaved client sends without an answer.
const MAX_DISCARDED_BYTES: usize = 256 << 10;

/// What owns the lingering connections, so that their socket events find them.
pub trait LingeringOwner: Sized + 'static {
    /// The connections that are lingering.
    fn lingering(&mut self) -> &mut LingeringCloses<Self>;
}

struct LingeringClose<T: 'static> {
    socket: Rc<Socket<T>>,
    since: Timestamp,
    discarded: usize,
}

impl<T> LingeringClose<T> {
    /// Writes and reads what is left; whether the connection can be closed.
    fn advance(&mut self) -> bool {
        self.discarded += self.socket.discard(MAX_DISCARDED_BYTES - self.discarded);
        let flushed = self.socket.flush_lines();
        let end = self.socket.peer_end.get();
        end == Some(End::Reset) || flushed && (end.is_some() || self.discarded >= MAX_DISCARDED_BYTES)
    }
}

/// The connections that are lingering, in the order in which that began.
pub struct LingeringCloses<T: 'static> {
    closes: BTreeMap<u64, LingeringClose<T>>,
    last_number: u64,
}

impl<T> Default for LingeringCloses<T> {
    fn default() -> Self {
        LingeringCloses { closes: BTreeMap::new(), last_number: 0 }
    }
}

impl<T: LingeringOwner> LingeringCloses<T> {
    /// Ends our side of a connection after its last line, and closes it once its peer has ended too, or after a timeout.
    pub fn close(&mut self, socket: Rc<Socket<T>>, now: Timestamp) {
        socket.end(End::Fin);
        let mut close = LingeringClose { socket, since: now, discarded: 0 };
        if close.advance() {
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        close.socket.set_on_ready(move |owner: &mut T| owner.lingering().on_ready(number));
        self.closes.insert(number, close);
    }

    fn on_ready(&mut self, number: u64) {
        if self.closes.get_mut(&number).is_some_and(LingeringClose::advance) {
            self.closes.remove(&number);
        }
    }

    /// Called with each tick: closes the connections whose time is up.
    pub fn close_expired(&mut self, now: Timestamp) {
        self.closes.retain(|_, close| now.since(close.since) < LINGER_TIMEOUT);
    }

    /// Closes the connection that has lingered longest, to free its descriptor; false if there is none.
    pub fn close_oldest(&mut self) -> bool {
        self.closes.pop_first().is_some()
    }

    /// How many connections linger.
    pub fn len(&self) -> usize {
        self.closes.len()
    }
}
