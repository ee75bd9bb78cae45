//! Receives signals reliably even when system calls fail. Tokio's signal driver aborts the process if a read
//! from its pipe fails, and loses a signal if a write to it fails. Here the handler sets a flag, which cannot
//! fail, and then writes to a pipe to wake the waiting task; the flag is also polled, in case that write
//! fails.
#![warn(missing_docs)]

use std::io;
use std::os::unix::net::UnixStream as Pipe;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use tokio::net::UnixStream;

/// How often the flag is polled without a wake-up.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The meaning of a signal for the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalKind {
    /// Stop: SIGTERM or SIGINT.
    Stop,
    /// Reload the configuration: SIGHUP.
    Reload,
}

impl SignalKind {
    fn signals(self) -> &'static [i32] {
        match self {
            Self::Stop => &[SIGTERM, SIGINT],
            Self::Reload => &[SIGHUP],
        }
    }
}

/// A receiver of signals of one kind. Signals that arrive before [`Signals::recv`] is called are merged into
/// one.
pub struct Signals {
    /// Set by the handlers.
    received: Arc<AtomicBool>,
    /// The read end of the pipe that the handlers write to.
    wake_reader: UnixStream,
}

impl Signals {
    /// Registers the handlers.
    ///
    /// # Errors
    /// If the process is out of descriptors or memory, or no runtime is running.
    pub fn new(kind: SignalKind) -> io::Result<Self> {
        let (wake_reader, wake_writer) = Pipe::pair()?;
        wake_reader.set_nonblocking(true)?;
        let received = Arc::new(AtomicBool::new(false));
        for signal in kind.signals() {
            // The flag is registered first, so that it is set before the task is woken.
            flag::register(*signal, received.clone())?;
            pipe::register(*signal, wake_writer.try_clone()?)?;
        }
        let wake_reader = UnixStream::from_std(wake_reader)?;
        Ok(Self { received, wake_reader })
    }

    /// Waits for the next signal.
    pub async fn recv(&mut self) {
        while !self.received.swap(false, Ordering::SeqCst) {
            tokio::select! {
                () = self.wait_for_wake() => {}
                () = tokio::time::sleep(POLL_INTERVAL) => {}
            }
        }
    }

    /// Waits until a handler has written to the pipe and drains it. A failed read is ignored, since the flag
    /// tells whether a signal has arrived.
    async fn wait_for_wake(&self) {
        if self.wake_reader.readable().await.is_ok() {
            let _ = self.wake_reader.try_read(&mut [0; 64]);
        }
    }
}
