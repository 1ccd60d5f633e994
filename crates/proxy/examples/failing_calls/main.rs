//! A library to preload into the proxy under test. It makes system calls fail, or transfer fewer bytes than requested,
//! at the rates given by the plan in the file that `SHELFGRADE_FAILING_CALLS` names. Without the variable no call
//! fails.
//!
//! Only calls through the C library are intercepted. The event loop makes its system calls directly.
//!
//! This example needs unsafe code: it maps the plan into memory, and it defines and calls functions of the C library.

#![allow(unsafe_code)] // Interposing on the C library's functions needs raw pointers.

mod plan;

use libc::{c_char, c_int, c_void, clockid_t, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use plan::{Call, PLAN_VARIABLE, SIZE};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::OnceLock;

/// Descriptors up to this one are the standard streams, whose writes never fail.
const STANDARD_ERROR: c_int = 2;

/// The words of the plan, mapped into memory; none if the environment names no plan.
fn plan_words() -> Option<&'static [AtomicU64]> {
    static WORDS: OnceLock<Option<&'static [AtomicU64]>> = OnceLock::new();
    *WORDS.get_or_init(|| {
        let path = std::env::var_os(PLAN_VARIABLE)?;
        let path = std::ffi::CString::new(path.into_encoded_bytes()).ok()?;
        // SAFETY: the mapping is shared, has the length of the file, and is never unmapped.
        unsafe {
            let file = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDWR) as c_int;
            let (access, shared) = (libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED);
            let start = libc::mmap(std::ptr::null_mut(), SIZE, access, shared, file, 0);
            libc::close(file);
            (start != libc::MAP_FAILED).then(|| std::slice::from_raw_parts(start.cast(), SIZE / 8))
        }
    })
}

/// A pseudorandom number below `bound`.
fn random(bound: u64) -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);
    let mut x = STATE.load(Ordering::Relaxed);
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    STATE.store(x, Ordering::Relaxed);
    (x >> 11) % bound
}

/// The outcome of one call.
enum Outcome {
    Succeeds,
    /// Fails with the error in `errno`.
    Fails,
    /// Transfers fewer bytes than requested.
    Short,
}

/// Draws the outcome of a call by its rule in the plan. Sets `errno` if the call fails.
fn draw_outcome(call: Call) -> Outcome {
    let Some(words) = plan_words() else { return Outcome::Succeeds };
    let rule = words[call.offset() / 8].load(Ordering::Relaxed);
    if random(1000) >= rule >> 32 {
        return Outcome::Succeeds;
    }
    words[call.offset() / 8 + 1].fetch_add(1, Ordering::Relaxed);
    match rule as u32 as c_int {
        0 => Outcome::Short,
        error => {
            // SAFETY: the pointer is valid and refers to the error number of this thread.
            unsafe { *libc::__errno_location() = error };
            Outcome::Fails
        }
    }
}

/// The maximum number of bytes that a call may transfer; none if it fails.
fn transfer_length(call: Call, requested: size_t) -> Option<size_t> {
    match draw_outcome(call) {
        Outcome::Succeeds => Some(requested),
        Outcome::Short => Some(requested.min(1 + random(3) as usize)),
        Outcome::Fails => None,
    }
}

/// The function of this name that would be called without this library.
macro_rules! next {
    ($name:literal as $function_type:ty) => {{
        static NEXT: OnceLock<usize> = OnceLock::new();
        let address = *NEXT.get_or_init(|| libc::dlsym(libc::RTLD_NEXT, $name.as_ptr()) as usize);
        std::mem::transmute::<usize, $function_type>(address)
    }};
}

/// Defines a function that fails as planned, and otherwise calls the C library's function of the same name.
macro_rules! failing {
    ($call:ident, $symbol:literal, fn $name:ident($($argument:ident: $argument_type:ty),*) -> $result:ty) => {
        /// # Safety
        /// The same as for the C library's function of this name.
        #[no_mangle]
        pub unsafe extern "C" fn $name($($argument: $argument_type),*) -> $result {
            match draw_outcome(Call::$call) {
                Outcome::Fails => -1,
                Outcome::Succeeds | Outcome::Short => {
                    next!($symbol as unsafe extern "C" fn($($argument_type),*) -> $result)($($argument),*)
                }
            }
        }
    };
}

failing!(Accept, c"accept4", fn accept4(socket: c_int, address: *mut sockaddr, size: *mut socklen_t, flags: c_int) -> c_int);
failing!(Socket, c"socket", fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int);
failing!(Connect, c"connect", fn connect(socket: c_int, address: *const sockaddr, size: socklen_t) -> c_int);
failing!(SetOption, c"setsockopt",
    fn setsockopt(socket: c_int, level: c_int, name: c_int, value: *const c_void, size: socklen_t) -> c_int);
failing!(Open, c"open64", fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int);
failing!(Sync, c"fsync", fn fsync(file: c_int) -> c_int);
failing!(Rename, c"rename", fn rename(old: *const c_char, new: *const c_char) -> c_int);

/// Defines a function that transfers bytes on a connection, and as planned fails or transfers fewer bytes than
/// requested.
macro_rules! transferring {
    ($call:ident, $symbol:literal, fn $name:ident($bytes:ty)) => {
        /// # Safety
        /// The same as for the C library's function of this name.
        #[no_mangle]
        pub unsafe extern "C" fn $name(socket: c_int, bytes: $bytes, size: size_t, flags: c_int) -> ssize_t {
            type Function = unsafe extern "C" fn(c_int, $bytes, size_t, c_int) -> ssize_t;
            match transfer_length(Call::$call, size) {
                Some(size) => next!($symbol as Function)(socket, bytes, size, flags),
                None => -1,
            }
        }
    };
}

transferring!(Receive, c"recv", fn recv(*mut c_void));
transferring!(Send, c"send", fn send(*const c_void));

/// # Safety
/// The same as for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn write(file: c_int, bytes: *const c_void, size: size_t) -> ssize_t {
    type Function = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
    let is_standard_stream = file <= STANDARD_ERROR;
    match if is_standard_stream { Some(size) } else { transfer_length(Call::Write, size) } {
        Some(size) => next!(c"write" as Function)(file, bytes, size),
        None => -1,
    }
}

/// # Safety
/// The same as for the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    type Function = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
    let result = next!(c"clock_gettime" as Function)(clock, time);
    let is_wall_clock = clock == libc::CLOCK_REALTIME && result == 0;
    if let Some(words) = plan_words().filter(|_| is_wall_clock) {
        let word = &words[Call::WallClock.offset() / 8];
        // SAFETY: both types have the same size and alignment, and every bit pattern is a valid value.
        let ahead_ms = (*std::ptr::from_ref(word).cast::<AtomicI64>()).load(Ordering::Relaxed);
        (*time).tv_sec += ahead_ms / 1000;
    }
    result
}
