//! Fault injection for tests: a library for `LD_PRELOAD` that makes system calls of one process fail in the
//! ways that Linux documents. The environment of the process defines which calls fail, how often and with
//! which errors; see [`Plan`]. Nothing that is shipped depends on this crate.
#![warn(missing_docs)]

mod calls;
mod plan;

pub use plan::{ClockStep, Fault, PerMille, Plan, Rule, ENV_VAR};

use std::path::PathBuf;

/// Returns the path of the shared library, which cargo builds next to the running test executable.
///
/// # Panics
/// If the library does not exist.
pub fn library_path() -> PathBuf {
    let test_executable = std::env::current_exe().expect("path of the test executable");
    let path = test_executable.with_file_name("libglenwood_faults.so");
    assert!(path.exists(), "fault injection library {} does not exist", path.display());
    path
}
