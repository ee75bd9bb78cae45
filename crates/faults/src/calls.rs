//! Replacements for functions of the C library. Each injects the faults of the plan and otherwise calls the
//! real function. All unsafe code of the project is in this module: overriding a symbol that the dynamic
//! linker would otherwise resolve to the C library is not possible in safe Rust.

use std::ffi::CStr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::OnceLock;
use std::time::Duration;

use libc::{c_int, c_void, clockid_t, epoll_event, iovec, sockaddr, socklen_t, timespec};
use libc::{size_t, ssize_t, CLOCK_MONOTONIC, CLOCK_REALTIME};

use crate::plan::{Fault, Plan, ENV_VAR};

type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type Writev = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
type EpollWait = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;
type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

/// Number of file descriptors for which the table records whether this process opened the connection.
const TRACKED_FDS: usize = 1 << 16;
/// Descriptors that connect(2) was called on. Only these connections are broken by [`Fault::Disconnect`]: a
/// node that finds a client's connection broken owes this client no answer.
static CONNECTED: [AtomicBool; TRACKED_FDS] = [const { AtomicBool::new(false) }; TRACKED_FDS];

fn plan() -> &'static Plan {
    static PLAN: OnceLock<Plan> = OnceLock::new();
    PLAN.get_or_init(|| Plan::parse(&std::env::var(ENV_VAR).unwrap_or_default()))
}

fn connection_flag(fd: c_int) -> Option<&'static AtomicBool> {
    CONNECTED.get(usize::try_from(fd).ok()?)
}

fn is_connected(fd: c_int) -> bool {
    connection_flag(fd).is_some_and(|flag| flag.load(Ordering::Relaxed))
}

fn set_connected(fd: c_int, is_connected: bool) {
    connection_flag(fd).into_iter().for_each(|flag| flag.store(is_connected, Ordering::Relaxed));
}

/// Looks up the symbol that this library overrides.
fn next_symbol(name: &'static CStr) -> *mut c_void {
    // SAFETY: the name is NUL-terminated, and RTLD_NEXT searches only the libraries loaded after this one.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) }
}

/// The overridden function of the given name and type, looked up once.
macro_rules! real_fn {
    ($name:literal as $type:ty) => {{
        static REAL: OnceLock<$type> = OnceLock::new();
        // SAFETY: the C library's function of this name has this type.
        *REAL.get_or_init(|| unsafe { std::mem::transmute::<*mut c_void, $type>(next_symbol($name)) })
    }};
}

/// Sets `errno` and returns -1.
fn fail_with(error: c_int) -> c_int {
    // SAFETY: the pointer is to the `errno` of the current thread.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Sleeps if the plan has a stall for this call.
fn stall() {
    if let Some(ms) = plan().draw(Fault::Stall) {
        std::thread::sleep(Duration::from_millis(ms.unsigned_abs().into()));
    }
}

/// Returns the error of a call that reads or writes, if it has to fail.
fn transfer_error(fault: Fault, fd: c_int) -> Option<c_int> {
    plan().draw(fault).or_else(|| if is_connected(fd) { plan().draw(Fault::Disconnect) } else { None })
}

/// Returns how many of `length` bytes the call may transfer.
fn transfer_length(length: size_t) -> size_t {
    match plan().draw(Fault::ShortTransfer) {
        Some(max_length) if length > 0 => length.min(max_length.unsigned_abs().max(1) as size_t),
        _ => length,
    }
}

/// Replaces accept4(2).
///
/// # Safety
/// As for accept4(2): the pointers are null or valid.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    address_len: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(error) = plan().draw(Fault::Accept) {
        return fail_with(error);
    }
    let real = real_fn!(c"accept4" as Accept4);
    // SAFETY: the arguments are those of the caller, unchanged.
    let accepted_fd = unsafe { real(fd, address, address_len, flags) };
    set_connected(accepted_fd, false);
    accepted_fd
}

/// Replaces connect(2).
///
/// # Safety
/// As for connect(2): the address is valid for its length.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, address_len: socklen_t) -> c_int {
    if let Some(error) = plan().draw(Fault::Connect) {
        return fail_with(error);
    }
    set_connected(fd, true);
    let real = real_fn!(c"connect" as Connect);
    // SAFETY: the arguments are those of the caller, unchanged.
    unsafe { real(fd, address, address_len) }
}

/// Replaces socket(2).
///
/// # Safety
/// No requirements: all arguments are integers.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, socket_type: c_int, protocol: c_int) -> c_int {
    if let Some(error) = plan().draw(Fault::Socket) {
        return fail_with(error);
    }
    let real = real_fn!(c"socket" as Socket);
    // SAFETY: the arguments are those of the caller, unchanged.
    let new_fd = unsafe { real(domain, socket_type, protocol) };
    set_connected(new_fd, false);
    new_fd
}

/// Replaces recv(2).
///
/// # Safety
/// As for recv(2): the buffer has room for `length` bytes.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if let Some(error) = transfer_error(Fault::Recv, fd) {
        return fail_with(error) as ssize_t;
    }
    let real = real_fn!(c"recv" as Recv);
    // SAFETY: the arguments are those of the caller, except for a length that is at most the caller's.
    unsafe { real(fd, buffer, transfer_length(length), flags) }
}

/// Replaces send(2).
///
/// # Safety
/// As for send(2): the buffer holds `length` bytes.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, data: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    stall();
    if let Some(error) = transfer_error(Fault::Send, fd) {
        return fail_with(error) as ssize_t;
    }
    let real = real_fn!(c"send" as Send);
    // SAFETY: the arguments are those of the caller, except for a length that is at most the caller's.
    unsafe { real(fd, data, transfer_length(length), flags) }
}

/// Replaces writev(2).
///
/// # Safety
/// As for writev(2): there are `iov_count` buffers, each valid for its length.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, iov: *const iovec, iov_count: c_int) -> ssize_t {
    stall();
    if let Some(error) = transfer_error(Fault::Send, fd) {
        return fail_with(error) as ssize_t;
    }
    let real = real_fn!(c"writev" as Writev);
    if iov_count < 1 {
        // SAFETY: the arguments are those of the caller, unchanged.
        return unsafe { real(fd, iov, iov_count) };
    }
    // SAFETY: there is at least one buffer.
    let mut first = unsafe { *iov };
    let full_length = first.iov_len;
    first.iov_len = transfer_length(full_length);
    if first.iov_len < full_length {
        // SAFETY: the first buffer is at most as long as the caller's.
        return unsafe { real(fd, &first, 1) };
    }
    // SAFETY: the arguments are those of the caller, unchanged.
    unsafe { real(fd, iov, iov_count) }
}

/// Replaces epoll_wait(2).
///
/// # Safety
/// As for epoll_wait(2): there is room for `max_events` events.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout_ms: c_int,
) -> c_int {
    if let Some(error) = plan().draw(Fault::EpollWait) {
        return fail_with(error);
    }
    let real = real_fn!(c"epoll_wait" as EpollWait);
    // SAFETY: the arguments are those of the caller, unchanged.
    unsafe { real(fd, events, max_events, timeout_ms) }
}

/// Replaces clock_gettime(2). Only the wall clock (`CLOCK_REALTIME`) is stepped.
///
/// # Safety
/// As for clock_gettime(2): there is room for the time.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let real = real_fn!(c"clock_gettime" as ClockGettime);
    // SAFETY: the arguments are those of the caller, unchanged.
    let result = unsafe { real(clock, time) };
    if result != 0 || clock != CLOCK_REALTIME || plan().clock_steps.is_empty() {
        return result;
    }
    let mut monotonic = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `monotonic` has room for the time.
    unsafe { real(CLOCK_MONOTONIC, &mut monotonic) };
    static START: OnceLock<i64> = OnceLock::new();
    let now_ms = monotonic.tv_sec * 1000 + monotonic.tv_nsec / 1_000_000;
    let since_ms = now_ms - START.get_or_init(|| now_ms);
    // SAFETY: the call succeeded, so that `time` is valid and set.
    unsafe { (*time).tv_sec += plan().offset_s(since_ms) };
    result
}
