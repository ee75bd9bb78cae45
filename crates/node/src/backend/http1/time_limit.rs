//! When an exchange with a server is given up.

use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::timeout_at;

use crate::blocks::RemainingBody;
use crate::sock::TrackedSocket;

/// How long a server may accept nothing of a streamed request body, and how often it is checked whether the
/// transfer waits for the client or for the server.
const UPLOAD_STALL_TIMEOUT: Duration = Duration::from_secs(2);
const UPLOAD_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// When the last byte of a request was written; `None` until then.
pub type WrittenAt = Rc<Cell<Option<Instant>>>;

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
        let Some(upload) = &self.upload else { return self.deadline };
        // The client's time counts from the last byte that it wrote.
        let wait = self.deadline.saturating_duration_since(self.sent);
        let progress = &upload.rest.upload;
        let times_up = progress.last_byte_since().map(|since| since + wait);
        match upload.written_at.get() {
            Some(written_at) => times_up.unwrap_or(written_at + wait),
            None if progress.awaits_data.get() => Instant::now() + UPLOAD_CHECK_INTERVAL.min(wait),
            None => {
                let stalled_at = upload.sock.last_write_at().max(self.sent) + UPLOAD_STALL_TIMEOUT;
                times_up.map_or(stalled_at, |times_up| times_up.min(stalled_at))
            }
        }
    }

    /// Waits for a future; `None` once the time is up.
    pub async fn run<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let mut future = pin!(future);
        loop {
            match timeout_at(self.current().into(), &mut future).await {
                Ok(done) => return Some(done),
                Err(_) if self.current() <= Instant::now() => return None,
                Err(_) => {}
            }
        }
    }
}
