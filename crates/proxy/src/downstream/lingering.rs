//! Lingering closes: a connection that has been told its last line is kept for a moment after the end of our sending,
//! and what still comes on it is read and dropped. A close over unread bytes, or over bytes that are still on their
//! way, resets the connection, and the reset may overtake that line.

use crate::net::socket::{End, Socket};
use crate::proxy::Proxy;
use shelfgrade::time::Timestamp;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// More than bytes take that were sent before the peer read its answer; with the two seconds after which a silent
/// client is put out it is under the three in which such a client is owed an answer or a close.
const LONGEST: Duration = Duration::from_millis(600);
/// More than a client sends that means no harm; whoever sends on is not read without end.
const MOST_BYTES: usize = 256 << 10;

struct Closing {
    socket: Rc<Socket<Proxy>>,
    since: Timestamp,
    dropped: usize,
}

impl Closing {
    /// Goes on with what is left to write and read; whether nothing is left.
    fn go_on(&mut self) -> bool {
        self.dropped += self.socket.discard(MOST_BYTES - self.dropped);
        let written = self.socket.write_own();
        let ended = self.socket.ended.get();
        ended == Some(End::Reset) || written && (ended.is_some() || self.dropped >= MOST_BYTES)
    }
}

/// The connections that are being closed, in the order in which that began.
#[derive(Default)]
pub struct LingeringCloses {
    closing: BTreeMap<u64, Closing>,
    last_number: u64,
}

impl LingeringCloses {
    /// Ends our side of a connection after its last line, and closes it once its peer has ended too, or in time.
    pub fn close(&mut self, socket: Rc<Socket<Proxy>>, now: Timestamp) {
        socket.end(End::Fin);
        let mut closing = Closing { socket, since: now, dropped: 0 };
        if closing.go_on() {
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        closing.socket.on_ready(move |proxy| proxy.executor.lingering.ready(number));
        self.closing.insert(number, closing);
    }

    fn ready(&mut self, number: u64) {
        if self.closing.get_mut(&number).is_some_and(Closing::go_on) {
            self.closing.remove(&number);
        }
    }

    /// Called with each tick: closes those whose time is up.
    pub fn sweep(&mut self, now: Timestamp) {
        self.closing.retain(|_, closing| now.since(closing.since) < LONGEST);
    }

    /// Closes the one that has lingered for longest, for want of descriptors; false where there is none.
    pub fn close_oldest(&mut self) -> bool {
        self.closing.pop_first().is_some()
    }

    /// How many descriptors are held so.
    pub fn count(&self) -> usize {
        self.closing.len()
    }
}
