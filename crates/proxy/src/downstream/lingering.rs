//! Lingering close: after the final response the sending direction is shut down, and the connection is kept open for a
//! short time while incoming bytes are read and discarded. Closing a connection with unread or still arriving bytes
//! resets it, and the client may receive the reset before it has read the response.

use crate::net::socket::{Socket, StreamEnd};
use shelfgrade::time::Timestamp;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long a connection lingers: longer than bytes that the peer sent before reading its response take to arrive.
/// Together with the 2 s timeout of the first line this stays below the 3 s within which a silent client must receive
/// a response or a close.
const LINGER_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of bytes that are discarded: more than a well-behaved client sends before it has a response.
const MAX_DISCARDED_BYTES: usize = 256 << 10;

/// The owner of the lingering connections, through which socket events access them.
pub trait LingeringOwner: Sized + 'static {
    fn lingering(&mut self) -> &mut LingeringCloses<Self>;
}

struct LingeringClose<T: 'static> {
    socket: Rc<Socket<T>>,
    since: Timestamp,
    discarded: usize,
}

impl<T> LingeringClose<T> {
    /// Writes pending lines and discards input. Returns whether the connection can be closed.
    fn advance(&mut self) -> bool {
        self.discarded += self.socket.discard(MAX_DISCARDED_BYTES - self.discarded);
        let is_flushed = self.socket.flush_lines();
        let end = self.socket.peer_end.get();
        end == Some(StreamEnd::Reset)
            || is_flushed && (end.is_some() || self.discarded >= MAX_DISCARDED_BYTES)
    }
}

/// The lingering connections, oldest first.
pub struct LingeringCloses<T: 'static> {
    closes: BTreeMap<u64, LingeringClose<T>>,
    last_id: u64,
}

impl<T> Default for LingeringCloses<T> {
    fn default() -> Self {
        LingeringCloses { closes: BTreeMap::new(), last_id: 0 }
    }
}

impl<T: LingeringOwner> LingeringCloses<T> {
    /// Shuts down the sending direction of a connection after its pending lines. The connection is closed when the
    /// peer has closed it too, when too many bytes have been discarded, or after [`LINGER_TIMEOUT`].
    pub fn close(&mut self, socket: Rc<Socket<T>>, now: Timestamp) {
        socket.end_stream(StreamEnd::Fin);
        let mut close = LingeringClose { socket, since: now, discarded: 0 };
        if close.advance() {
            return;
        }
        self.last_id += 1;
        let id = self.last_id;
        close.socket.set_on_ready(move |owner: &mut T| owner.lingering().on_ready(id));
        self.closes.insert(id, close);
    }

    fn on_ready(&mut self, id: u64) {
        if self.closes.get_mut(&id).is_some_and(LingeringClose::advance) {
            self.closes.remove(&id);
        }
    }

    /// Closes the connections whose timeout has expired; called on each tick.
    pub fn close_expired(&mut self, now: Timestamp) {
        self.closes.retain(|_, close| now.since(close.since) < LINGER_TIMEOUT);
    }

    /// Closes the connection that has been lingering longest, to free its descriptor. Returns false if there is none.
    pub fn close_oldest(&mut self) -> bool {
        self.closes.pop_first().is_some()
    }

    pub fn len(&self) -> usize {
        self.closes.len()
    }
}
