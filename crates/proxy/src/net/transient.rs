//! Which errors of system calls are transient: the same call may succeed a moment later, with nothing changed by an
//! operator.

use rustix::io::Errno;
use std::io;

/// Out of memory, buffers, descriptors or disk space, interrupted, or a device that failed to read or write: as Linux
/// documents them.
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

/// Those that a call on a connection may fail with while the connection stays intact.
const SHORTAGES: [Errno; 3] = [Errno::NOMEM, Errno::NOBUFS, Errno::INTR];

/// Whether a call on a connection failed for lack of memory or buffers, or was interrupted, which breaks no connection.
pub fn is_shortage(error: &io::Error) -> bool {
    is_one_of(&SHORTAGES, error)
}

/// Whether a call that failed with this error may be retried.
pub fn is_transient(error: &io::Error) -> bool {
    is_one_of(&TRANSIENT, error)
}

fn is_one_of(errnos: &[Errno], error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|number| errnos.iter().any(|errno| errno.raw_os_error() == number))
}
