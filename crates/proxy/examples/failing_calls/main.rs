//! A library to preload into the program under test: system calls fail, or transfer less than was asked for, at the rates
//! of the plan in the file that `SHELFGRADE_FAILING_CALLS` names. Without the variable none fails.
//!
//! Only calls through the C library are intercepted; the event loop makes its own without it.
//!
//! This example needs unsafe code: it maps the plan into memory, and it defines and calls functions of the C library.

#![allow(unsafe_code)] // Interposing on the C library's functions needs raw pointers.

mod plan;

use libc::{c_char, c_int, c_void, clockid_t, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use plan::{Call, NAMED_BY, SIZE};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::OnceLock;

/// Descriptors up to this one are the standard streams, whose writes never fail.
const STANDARD_ERROR: c_int = 2;

/// The plan's cells, mapped into memory; none if no plan is named.
fn cells() -> Option<&'static [AtomicU64]> {
    static CELLS: OnceLock<Option<&'static [AtomicU64]>> = OnceLock::new();
    *CELLS.get_or_init(|| {
        let name = std::env::var_os(NAMED_BY)?;
        let path = std::ffi::CString::new(name.into_encoded_bytes()).ok()?;
        // SAFETY: the mapping is shared, as long as the file, and never unmapped.
        unsafe {
            let file = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDWR) as c_int;
            let (access, shared) = (libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED);
            let start = libc::mmap(std::ptr::null_mut(), SIZE, access, shared, file, 0);
            libc::close(file);
            (start != libc::MAP_FAILED).then(|| std::slice::from_raw_parts(start.cast(), SIZE / 8))
        }
    })
}

/// A random number below `below`.
fn draw(below: u64) -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);
    let mut x = STATE.load(Ordering::Relaxed);
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    STATE.store(x, Ordering::Relaxed);
    (x >> 11) % below
}

/// The outcome that the plan gives one call.
enum Outcome {
    Passes,
    Fails,
    Short,
}

/// Draws the outcome of a call; if it fails, `errno` is set.
fn draw_outcome(call: Call) -> Outcome {
    let Some(cells) = cells() else { return Outcome::Passes };
    let rule = cells[call.offset() / 8].load(Ordering::Relaxed);
    if draw(1000) >= rule >> 32 {
        return Outcome::Passes;
    }
    cells[call.offset() / 8 + 1].fetch_add(1, Ordering::Relaxed);
    match rule as u32 as c_int {
        0 => Outcome::Short,
        error => {
            // SAFETY: the pointer is to this thread's error number.
            unsafe { *libc::__errno_location() = error };
            Outcome::Fails
        }
    }
}

/// How many bytes a call transfers at most; none if it fails.
fn transfer_length(call: Call, asked: size_t) -> Option<size_t> {
    match draw_outcome(call) {
        Outcome::Passes => Some(asked),
        Outcome::Short => Some(asked.min(1 + draw(3) as usize)),
        Outcome::Fails => None,
    }
}

/// The function of this name that is called without this library.
macro_rules! next {
    ($name:literal as $form:ty) => {{
        static NEXT: OnceLock<usize> = OnceLock::new();
        let address = *NEXT.get_or_init(|| libc::dlsym(libc::RTLD_NEXT, $name.as_ptr()) as usize);
        std::mem::transmute::<usize, $form>(address)
    }};
}

/// Defines a function that fails by the plan, and otherwise calls the next one of its name.
macro_rules! failing {
    ($call:ident, $literal:literal, fn $name:ident($($argument:ident: $kind:ty),*) -> $result:ty) => {
        /// # Safety
        /// As the C library's function of this name.
        #[no_mangle]
        pub unsafe extern "C" fn $name($($argument: $kind),*) -> $result {
            match draw_outcome(Call::$call) {
                Outcome::Fails => -1,
                Outcome::Passes | Outcome::Short => {
                    next!($literal as unsafe extern "C" fn($($kind),*) -> $result)($($argument),*)
                }
            }
        }
    };
}

failing!(Accept, c"accept4", fn accept4(on: c_int, from: *mut sockaddr, size: *mut socklen_t, flags: c_int) -> c_int);
failing!(Socket, c"socket", fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int);
failing!(Connect, c"connect", fn connect(of: c_int, to: *const sockaddr, size: socklen_t) -> c_int);
failing!(SetOption, c"setsockopt",
    fn setsockopt(of: c_int, level: c_int, name: c_int, value: *const c_void, size: socklen_t) -> c_int);
failing!(Open, c"open64", fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int);
failing!(Sync, c"fsync", fn fsync(file: c_int) -> c_int);
failing!(Rename, c"rename", fn rename(old: *const c_char, new: *const c_char) -> c_int);

/// Defines a function that transfers bytes on a connection, and by the plan fails or transfers fewer than asked for.
macro_rules! transferring {
    ($call:ident, $literal:literal, fn $name:ident($bytes:ty)) => {
        /// # Safety
        /// As the C library's function of this name.
        #[no_mangle]
        pub unsafe extern "C" fn $name(on: c_int, bytes: $bytes, size: size_t, flags: c_int) -> ssize_t {
            type Form = unsafe extern "C" fn(c_int, $bytes, size_t, c_int) -> ssize_t;
            match transfer_length(Call::$call, size) {
                Some(size) => next!($literal as Form)(on, bytes, size, flags),
                None => -1,
            }
        }
    };
}

transferring!(Receive, c"recv", fn recv(*mut c_void));
transferring!(Send, c"send", fn send(*const c_void));

/// # Safety
/// As the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn write(to: c_int, bytes: *const c_void, size: size_t) -> ssize_t {
    type Form = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
    let passes = to <= STANDARD_ERROR;
    match if passes { Some(size) } else { transfer_length(Call::Write, size) } {
        Some(size) => next!(c"write" as Form)(to, bytes, size),
        None => -1,
    }
}

/// # Safety
/// As the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    type Form = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
    let result = next!(c"clock_gettime" as Form)(clock, time);
    let stepped = clock == libc::CLOCK_REALTIME && result == 0;
    if let Some(cells) = cells().filter(|_| stepped) {
        let cell = &cells[Call::WallClock.offset() / 8];
        // SAFETY: both types have one size and alignment, and any bits are a valid number.
        let ahead_ms = (*std::ptr::from_ref(cell).cast::<AtomicI64>()).load(Ordering::Relaxed);
        (*time).tv_sec += ahead_ms / 1000;
    }
    result
}
