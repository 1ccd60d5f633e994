//! A library to preload into the program under test: system calls fail, or do part of what was asked for, as often as
//! the plan in the file says that `SHELFGRADE_FAILING_CALLS` names. Without the variable nothing fails.
//!
//! Only calls through the C library are reached; the event loop's own are made without it.

mod plan;

use libc::{c_char, c_int, c_void, clockid_t, mode_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use plan::{Call, NAMED_BY, SIZE};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::OnceLock;

/// Descriptors up to this one are the standard streams, whose writes never fail.
const STANDARD_ERROR: c_int = 2;

/// The plan's cells, mapped; none where no plan is named.
fn cells() -> Option<&'static [AtomicU64]> {
    static CELLS: OnceLock<Option<&'static [AtomicU64]>> = OnceLock::new();
    *CELLS.get_or_init(|| {
        let name = std::env::var_os(NAMED_BY)?;
        let path = std::ffi::CString::new(name.into_encoded_bytes()).ok()?;
        // SAFETY: the mapping is shared, as long as the file, and lives as long as the process.
        unsafe {
            let file = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDWR) as c_int;
            let (access, shared) = (libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED);
            let start = libc::mmap(std::ptr::null_mut(), SIZE, access, shared, file, 0);
            libc::close(file);
            (start != libc::MAP_FAILED).then(|| std::slice::from_raw_parts(start.cast(), SIZE / 8))
        }
    })
}

/// A drawn number below so many.
fn draw(below: u64) -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);
    let mut x = STATE.load(Ordering::Relaxed);
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    STATE.store(x, Ordering::Relaxed);
    (x >> 11) % below
}

/// What becomes of one call.
enum Fate {
    Passes,
    Fails,
    Short,
}

/// Draws it; where it fails, the error is set.
fn fate(call: Call) -> Fate {
    let Some(cells) = cells() else { return Fate::Passes };
    let rule = cells[call.offset() / 8].load(Ordering::Relaxed);
    if draw(1000) >= rule >> 32 {
        return Fate::Passes;
    }
    cells[call.offset() / 8 + 1].fetch_add(1, Ordering::Relaxed);
    match rule as u32 as c_int {
        0 => Fate::Short,
        error => {
            // SAFETY: the error number of this thread.
            unsafe { *libc::__errno_location() = error };
            Fate::Fails
        }
    }
}

/// A call's length, cut short where that is its fate; none where it fails.
fn length(call: Call, asked: size_t) -> Option<size_t> {
    match fate(call) {
        Fate::Passes => Some(asked),
        Fate::Short => Some(asked.min(1 + draw(3) as usize)),
        Fate::Fails => None,
    }
}

/// The function of this name that would have been called without this library.
macro_rules! next {
    ($name:literal as $form:ty) => {{
        static NEXT: OnceLock<usize> = OnceLock::new();
        let address = *NEXT.get_or_init(|| libc::dlsym(libc::RTLD_NEXT, $name.as_ptr()) as usize);
        std::mem::transmute::<usize, $form>(address)
    }};
}

/// Defines a function that fails by the plan, and else does what the next one of its name does.
macro_rules! failing {
    ($call:ident, $literal:literal, fn $name:ident($($argument:ident: $kind:ty),*) -> $result:ty) => {
        /// # Safety
        /// As the C library's function of this name.
        #[no_mangle]
        pub unsafe extern "C" fn $name($($argument: $kind),*) -> $result {
            match fate(Call::$call) {
                Fate::Fails => -1,
                Fate::Passes | Fate::Short => {
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

/// Defines a function that passes bytes on a connection, and by the plan fails or passes fewer than it was asked to.
macro_rules! passing {
    ($call:ident, $literal:literal, fn $name:ident($bytes:ty)) => {
        /// # Safety
        /// As the C library's function of this name.
        #[no_mangle]
        pub unsafe extern "C" fn $name(on: c_int, bytes: $bytes, size: size_t, flags: c_int) -> ssize_t {
            type Form = unsafe extern "C" fn(c_int, $bytes, size_t, c_int) -> ssize_t;
            match length(Call::$call, size) {
                Some(size) => next!($literal as Form)(on, bytes, size, flags),
                None => -1,
            }
        }
    };
}

passing!(Receive, c"recv", fn recv(*mut c_void));
passing!(Send, c"send", fn send(*const c_void));

/// # Safety
/// As the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn write(to: c_int, bytes: *const c_void, size: size_t) -> ssize_t {
    type Form = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
    let passes = to <= STANDARD_ERROR;
    match if passes { Some(size) } else { length(Call::Write, size) } {
        Some(size) => next!(c"write" as Form)(to, bytes, size),
        None => -1,
    }
}

/// # Safety
/// As the C library's function of this name.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    type Form = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
    let told = next!(c"clock_gettime" as Form)(clock, time);
    let stepped = clock == libc::CLOCK_REALTIME && told == 0;
    if let Some(cells) = cells().filter(|_| stepped) {
        let cell = &cells[Call::WallClock.offset() / 8];
        // SAFETY: the same size and alignment, and any bits are a number.
        let ahead_ms = (*std::ptr::from_ref(cell).cast::<AtomicI64>()).load(Ordering::Relaxed);
        (*time).tv_sec += ahead_ms / 1000;
    }
    told
}
