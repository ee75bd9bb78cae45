//! When an exchange with a server is given up.

use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::timeout_at;

use crate::blocks::RemainingBody;
use crate::sock::TrackedSocket;

/// How long a server may accept nothing of a streamed request body, and how often the limit is determined anew
/// until the body is written: what moves it, such as the client's last byte, wakes nobody.
const UPLOAD_STALL_TIMEOUT: Duration = Duration::from_secs(2);
const UPLOAD_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// When the last byte of a request was written; `None` until then.
pub type WrittenAt = Rc<Cell<Option<Instant>>>;

/// What gives an exchange up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadBound {
    /// Its client's time.
    Time,
    /// Its server accepted nothing for `UPLOAD_STALL_TIMEOUT`.
    Stall,
    /// Its client still sends: the exchange goes on.
    AwaitsClient,
}

impl UploadBound {
    /// The name in the metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Time => "time",
            Self::Stall => "stall",
            Self::AwaitsClient => "awaits-client",
        }
    }
}

impl fmt::Display for UploadBound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// A request body that is forwarded while it is being received.
pub struct Upload<'a> {
    /// The rest of the body.
    pub rest: &'a RemainingBody,
    /// When its last byte was written to the server.
    pub written_at: WrittenAt,
    /// The connection to the server.
    pub sock: Rc<TrackedSocket>,
}

/// The time limit of one exchange.
pub struct TimeLimit<'a> {
    /// When the exchange began.
    pub sent: Instant,
    /// When it ends, for a request that was complete when it began.
    pub deadline: Instant,
    /// The body of the request, if it was not complete.
    pub upload: Option<Upload<'a>>,
}

impl TimeLimit<'_> {
    /// When the exchange is given up, as things stand.
    pub fn current(&self) -> Instant {
        self.current_bound().0
    }

    /// When the exchange is given up, as things stand, and by what.
    pub fn current_bound(&self) -> (Instant, UploadBound) {
        let Some(upload) = &self.upload else { return (self.deadline, UploadBound::Time) };
        // The client's time counts from the last byte that it wrote.
        let wait = self.deadline.saturating_duration_since(self.sent);
        let progress = &upload.rest.upload;
        let times_up = progress.last_byte_since().map(|since| since + wait);
        match upload.written_at.get() {
            Some(written_at) => (times_up.unwrap_or(written_at + wait), UploadBound::Time),
            None if progress.awaits_data.get() => {
                (Instant::now() + UPLOAD_CHECK_INTERVAL, UploadBound::AwaitsClient)
            }
            None => {
                let stalled_at = upload.sock.last_write_at().max(self.sent) + UPLOAD_STALL_TIMEOUT;
                match times_up {
                    Some(times_up) if times_up <= stalled_at => (times_up, UploadBound::Time),
                    _ => (stalled_at, UploadBound::Stall),
                }
            }
        }
    }

    /// When the limit is to be determined anew.
    fn next_check(&self) -> Instant {
        let is_being_written = self.upload.as_ref().is_some_and(|upload| upload.written_at.get().is_none());
        let current = self.current();
        if is_being_written {
            current.min(Instant::now() + UPLOAD_CHECK_INTERVAL)
        } else {
            current
        }
    }

    /// Waits for a future; `None` once the time is up.
    pub async fn run<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let mut future = pin!(future);
        loop {
            match timeout_at(self.next_check().into(), &mut future).await {
                Ok(done) => return Some(done),
                Err(_) if self.current() <= Instant::now() => return None,
                Err(_) => {}
            }
        }
    }
}
