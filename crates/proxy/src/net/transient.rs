//! Classifies errors of system calls as transient: the same call may succeed a moment later without any action of an
//! operator.

use rustix::io::Errno;
use std::io;

/// Lack of memory, buffers, descriptors or disk space, an interrupted call, and I/O errors of a device, as documented
/// for Linux.
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

/// Errors of a call on a connection that leave the connection intact.
const RESOURCE_SHORTAGES: [Errno; 3] = [Errno::NOMEM, Errno::NOBUFS, Errno::INTR];

/// Whether a call on a connection failed for lack of memory or buffers, or was interrupted. The connection stays
/// intact.
pub fn is_resource_shortage(error: &io::Error) -> bool {
    is_one_of(&RESOURCE_SHORTAGES, error)
}

/// Whether a call that failed with this error is worth retrying.
pub fn is_transient(error: &io::Error) -> bool {
    is_one_of(&TRANSIENT, error)
}

fn is_one_of(errnos: &[Errno], error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|number| errnos.iter().any(|errno| errno.raw_os_error() == number))
}
