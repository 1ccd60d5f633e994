//! The plan of which system calls fail, how often and how: a file that a test writes and the preloaded library reads.
//!
//! The file is an array of 64-bit words, two for each call. The first is the call's rule: the probability of a failure
//! in thousandths in the upper 32 bits, and in the lower 32 bits the error number, or 0 for a short transfer. The
//! second counts the failures.

/// The environment variable with the path of the file.
pub const PLAN_VARIABLE: &str = "SHELFGRADE_FAILING_CALLS";

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
    /// The wall clock, which does not fail: its rule is by how many milliseconds it is ahead, as a signed number.
    WallClock,
}

/// The number of variants of [`Call`].
const CALL_COUNT: usize = Call::WallClock as usize + 1;
/// The size of the file in bytes.
pub const SIZE: usize = CALL_COUNT * 2 * 8;

impl Call {
    /// The offset of the call's rule in the file, in bytes. The count of its failures follows it.
    pub fn offset(self) -> usize {
        self as usize * 2 * 8
    }
}
