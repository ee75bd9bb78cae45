//! Test doubles for everything a node talks to, on loopback: servers and clients of both protocols,
//! discovery, and nodes as separate processes. For tests, benches and `glenctl`; the node itself does not use
//! it.
//!
//! Everything runs on one shared runtime. Callers may be on any thread outside that runtime: functions that
//! wait block the calling thread and panic after [`WAIT_TIMEOUT`].
#![warn(missing_docs)]

pub mod client;
pub mod coordination;
pub mod discovery;
pub mod fleet;
pub mod http;
pub mod node;
pub mod peer;
pub mod rig;
pub mod script;
pub mod server;

use std::future::Future;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use tokio::runtime::{Handle, Runtime};

/// Time limit for every wait. It is far longer than any wait takes, even on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the runtime that all test doubles of this process share.
///
/// # Panics
/// If the runtime cannot be created.
pub fn runtime() -> &'static Handle {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    let build = || tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    RUNTIME.get_or_init(|| build().expect("cannot create the runtime")).handle()
}

/// Runs a future on the shared runtime and blocks until it completes. Must not be called from a thread of
/// that runtime.
///
/// # Panics
/// If the future takes longer than [`WAIT_TIMEOUT`].
pub fn wait<T>(what: &str, future: impl Future<Output = T>) -> T {
    let result = runtime().block_on(async { tokio::time::timeout(WAIT_TIMEOUT, future).await });
    result.unwrap_or_else(|_| panic!("timed out waiting for: {what}"))
}

/// Polls a condition and blocks until it holds.
///
/// # Panics
/// If the condition does not hold within [`WAIT_TIMEOUT`].
pub fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}
