//! Classification of system call errors. accept(2), connect(2) and socket(2) can fail because of one
//! connection, this machine or the peer, and the node reacts differently to each.

use std::io;
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// How long acquiring a resource at start is retried, and the delay between two tries.
const START_TIMEOUT: Duration = Duration::from_secs(3);
const START_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why no connection was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The next connection had already failed, or the call was interrupted: the next accept may succeed.
    Connection,
    /// This process has reached its limit of descriptors.
    Descriptors,
    /// The machine is temporarily out of resources.
    Machine,
}

/// Classifies a failed accept(2). Linux also returns network errors that are pending on the new connection.
pub fn accept_failure(error: &io::Error) -> AcceptFailure {
    match errno(error) {
        Some(Errno::MFILE) => AcceptFailure::Descriptors,
        Some(Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => AcceptFailure::Machine,
        _ => AcceptFailure::Connection,
    }
}

/// Returns whether a connect failed for a local reason, such as descriptors, ports, memory or routes, which
/// says nothing about the server.
pub fn is_own_connect_failure(error: &io::Error) -> bool {
    matches!(
        errno(error),
        Some(
            Errno::NFILE
                | Errno::MFILE
                | Errno::ADDRNOTAVAIL
                | Errno::NOBUFS
                | Errno::NOMEM
                | Errno::NETUNREACH
                | Errno::NETDOWN
                | Errno::AGAIN
                | Errno::INTR
        )
    )
}

/// Returns whether a call failed for a reason that may pass within moments.
fn is_transient(error: &io::Error) -> bool {
    use Errno as E;
    matches!(errno(error), Some(E::NFILE | E::MFILE | E::NOBUFS | E::NOMEM | E::AGAIN | E::INTR))
}

/// Acquires a resource that a process needs to start, and retries transient failures: a supervisor may take
/// an early exit for a permanent failure. Blocks the thread, as nothing else is running yet.
///
/// # Errors
/// The last failure.
pub fn retry_at_start<T>(mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let began = Instant::now();
    loop {
        match attempt() {
            Err(error) if is_transient(&error) && began.elapsed() < START_TIMEOUT => {
                std::thread::sleep(START_RETRY_DELAY);
            }
            result => return result,
        }
    }
}

fn errno(error: &io::Error) -> Option<Errno> {
    error.raw_os_error().map(Errno::from_raw_os_error)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn error_of(errno: Errno) -> io::Error {
        io::Error::from_raw_os_error(errno.raw_os_error())
    }

    #[test]
    fn only_a_process_descriptor_limit_is_reported_as_descriptors() {
        assert_eq!(accept_failure(&error_of(Errno::MFILE)), AcceptFailure::Descriptors);
        for errno in [Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
            assert_eq!(accept_failure(&error_of(errno)), AcceptFailure::Machine, "{errno}");
        }
        for errno in [Errno::CONNABORTED, Errno::PROTO, Errno::INTR, Errno::NETDOWN, Errno::HOSTUNREACH] {
            assert_eq!(accept_failure(&error_of(errno)), AcceptFailure::Connection, "{errno}");
        }
    }

    #[test]
    fn start_retries_transient_failures_and_returns_permanent_ones_at_once() {
        let mut failures = vec![Errno::NOBUFS, Errno::NFILE, Errno::INTR];
        assert_eq!(
            retry_at_start(|| failures.pop().map_or(Ok(1), |errno| Err(error_of(errno)))).ok(),
            Some(1)
        );
        let mut tries = 0;
        let refused = retry_at_start(|| {
            tries += 1;
            Err::<(), _>(error_of(Errno::ADDRINUSE))
        });
        assert_eq!((refused.is_err(), tries), (true, 1));
    }

    #[test]
    fn refused_and_unreachable_connects_are_not_local_failures() {
        for errno in [Errno::CONNREFUSED, Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::CONNRESET] {
            assert!(!is_own_connect_failure(&error_of(errno)), "{errno}");
        }
        for errno in [Errno::ADDRNOTAVAIL, Errno::NETUNREACH, Errno::NOBUFS, Errno::MFILE] {
            assert!(is_own_connect_failure(&error_of(errno)), "{errno}");
        }
    }
}
