//! Which system calls fail, how often and how: a file that a test writes and the preloaded library reads.
//!
//! The file is an array of cells of eight bytes. Each call has two: the rule by which it fails, with the probability in
//! thousandths in the upper half and the error number in the lower, 0 for a short transfer; and how often it has failed.

/// The environment variable that names the file.
pub const NAMED_BY: &str = "SHELFGRADE_FAILING_CALLS";

/// The system calls that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq)]
#[repr(usize)]
pub enum Call {
    Accept,
    Socket,
    Connect,
    Receive,
    Send,
    SetOption,
    Open,
    Write,
    Sync,
    Rename,
    /// The wall clock, which does not fail: its rule is how far it is ahead, in milliseconds.
    WallClock,
}

/// The number of calls.
const CALLS: usize = Call::WallClock as usize + 1;
/// The size of the file in bytes.
pub const SIZE: usize = CALLS * 2 * 8;

impl Call {
    /// The offset of its rule in the file, in bytes; the count of its failures follows.
    pub fn offset(self) -> usize {
        self as usize * 2 * 8
    }
}
