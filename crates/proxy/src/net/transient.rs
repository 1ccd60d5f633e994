//! Which faults of system calls are over by themselves: the same call may succeed a moment later, with nothing changed by
//! an operator.

use rustix::io::Errno;
use std::io;

/// Out of memory, buffers, descriptors or room, interrupted, or a device that failed to read or write: as Linux documents.
const TRANSIENT: [Errno; 8] = [
    Errno::NOMEM,
    Errno::NOBUFS,
    Errno::NFILE,
    Errno::MFILE,
    Errno::AGAIN,
    Errno::INTR,
    Errno::IO,
    Errno::NOSPC,
];

/// Whether a call on a connection failed for want of memory or buffers, which breaks no connection.
pub fn is_shortage(error: &io::Error) -> bool {
    [Errno::NOMEM, Errno::NOBUFS, Errno::INTR]
        .iter()
        .any(|errno| error.raw_os_error() == Some(errno.raw_os_error()))
}

/// Whether a call that failed so may be tried again.
pub fn is_transient(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|number| TRANSIENT.iter().any(|errno| errno.raw_os_error() == number))
}
