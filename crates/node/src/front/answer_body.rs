//! The body of an answer that is being written to an HTTP client.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use glenwood_core::Token;
use glenwood_operation::figures::{End, Ticket};
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{sleep_until, Sleep};

use crate::call::{Content, Truncated};
use crate::hub::{Hub, TruncatedAnswer};
use crate::pace::{Bound, Pace};
use crate::sock::TrackedSocket;
use crate::upload_progress::UploadProgress;

/// How long events that have come meanwhile are waited for before an answer is ended: after a process was
/// stopped, its timers run before it has looked for events.
const RECHECK_DELAY: Duration = Duration::from_millis(1);

/// What a client allows for its answer.
pub enum ClientTime {
    /// Its request is complete, and its time is up then.
    Until(Instant),
    /// Its request is still being forwarded; its time counts from the last byte.
    AfterUpload {
        /// The progress of the request.
        upload: Rc<UploadProgress>,
        /// How long it waits.
        wait: Duration,
    },
}

impl ClientTime {
    /// When the time is up; `None` while the client still sends.
    fn due(&self) -> Option<Instant> {
        match self {
            Self::Until(due) => Some(*due),
            Self::AfterUpload { upload, wait } => upload.last_byte_since().map(|since| since + *wait),
        }
    }
}

/// An answer that is forwarded while it arrives.
pub struct Forwarded {
    /// The node's hub.
    pub hub: Rc<Hub>,
    /// The client's connection.
    pub sock: Rc<TrackedSocket>,
    /// The client's id of its request.
    pub id: Token,
    /// The statistics ticket of the request; ended with the last byte.
    pub ticket: Option<Ticket>,
    /// What the client allows.
    pub client_time: ClientTime,
    /// Whether the end of the answer is the end of the connection.
    pub ends_with_connection: bool,
}

/// The progress of an answer that is forwarded while it arrives.
struct Forwarding {
    answer: Forwarded,
    began: Instant,
    /// How many bytes were passed on so far.
    bytes: usize,
    declared_bytes: Option<u64>,
    pace: Pace,
    /// Whether the server was waited for since this began.
    has_waited: bool,
    /// Expires when the answer may have to be ended, and when it is ended if nothing has come.
    timer: Option<Pin<Box<Sleep>>>,
    recheck_at: Option<Instant>,
    /// Why the answer ends before it is whole.
    truncated: Option<Truncated>,
}

impl Forwarding {
    fn new(answer: Forwarded, declared_bytes: Option<u64>, pace: Pace) -> Self {
        Self {
            answer,
            began: Instant::now(),
            bytes: 0,
            declared_bytes,
            pace,
            has_waited: false,
            timer: None,
            recheck_at: None,
            truncated: None,
        }
    }

    /// Records a part of the body.
    fn pass_on(&mut self, bytes: usize) {
        self.bytes += bytes;
        // What had come before this began is counted already.
        let received = self.bytes.saturating_sub(self.pace.bytes());
        if received > 0 {
            // Until the client has taken what had come before, its server isn't waited for.
            let now = if self.has_waited { Instant::now() } else { self.began };
            self.pace.receive(now, received, self.answer.client_time.due());
        }
        self.recheck_at = None;
    }

    /// Ready if the answer is to be ended because its server no longer gives.
    fn poll_overdue(&mut self, cx: &mut Context<'_>) -> Poll<Bound> {
        let now = Instant::now();
        self.has_waited = true;
        self.pace.wait(now);
        let Some(limit) = self.pace.limit(self.answer.client_time.due()) else { return Poll::Pending };
        let ends_at = limit.at;
        if ends_at > now {
            self.recheck_at = None;
        }
        let wake_at = match self.recheck_at {
            _ if ends_at > now => ends_at,
            None => *self.recheck_at.insert(now + RECHECK_DELAY),
            Some(recheck_at) if recheck_at > now => recheck_at,
            Some(_) => return Poll::Ready(limit.bound),
        };
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(wake_at.into())));
        if timer.deadline() != wake_at.into() {
            timer.as_mut().reset(wake_at.into());
        }
        timer.as_mut().poll(cx).map(|()| limit.bound)
    }

    fn end(&mut self, end: End) {
        self.answer.ticket.take().into_iter().for_each(|ticket| ticket.end(end));
    }

    /// Ends the answer before it is whole; `bound` is what ends it if its server's connection is intact.
    fn truncate(&mut self, reason: Truncated, bound: Option<Bound>) {
        self.truncated = Some(reason);
        if self.answer.ends_with_connection {
            self.answer.sock.reset_on_drop();
        }
        self.answer.sock.await_flush();
        self.end(End::Errored);
        let now = Instant::now();
        self.answer.hub.report_truncated_answer(&TruncatedAnswer {
            id: self.answer.id.as_str(),
            bytes: self.bytes,
            declared_bytes: self.declared_bytes,
            elapsed: now.saturating_duration_since(self.began),
            current_pause: self.pace.current_pause(now),
            longest_pause: self.pace.longest_pause(now),
            due: self.answer.client_time.due(),
            reason,
            bound,
        });
    }

    /// Ready with the error that ends the connection, once everything before it was written. hyper drops what
    /// it has buffered, even the head, when a body fails.
    fn poll_truncated(&self, cx: &mut Context<'_>, reason: Truncated) -> Poll<Truncated> {
        self.answer.sock.poll_flushed(cx).map(|()| reason)
    }
}

/// The body of an answer that is being written to a client.
#[derive(Default)]
pub struct AnswerBody {
    content: Content,
    /// Set if the answer is forwarded while it arrives.
    forwarding: Option<Forwarding>,
}

impl AnswerBody {
    /// Creates a body.
    pub fn new(content: Content) -> Self {
        Self { content, forwarding: None }
    }

    /// Returns whether more of the body is to come from its server.
    pub fn is_streamed(&self) -> bool {
        matches!(self.content, Content::Streamed(..))
    }

    /// Has a body that is forwarded while it arrives end in time.
    pub fn forward(&mut self, answer: Forwarded) {
        let Content::Streamed(_, pace) = &self.content else { return };
        let declared_bytes = self.content.size_hint().exact();
        self.forwarding = Some(Forwarding::new(answer, declared_bytes, pace.clone()));
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let this = self.get_mut();
        let Some(forwarding) = &mut this.forwarding else {
            return Pin::new(&mut this.content).poll_frame(cx);
        };
        if forwarding.truncated.is_none() {
            let (reason, bound) = match Pin::new(&mut this.content).poll_frame(cx) {
                Poll::Ready(Some(Err(reason))) => (reason, None),
                Poll::Ready(frame) => {
                    let data = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref());
                    forwarding.pass_on(data.map_or(0, Bytes::len));
                    if this.content.is_end_stream() {
                        forwarding.end(End::Answered);
                        forwarding.answer.sock.hand_over_answer();
                    }
                    return Poll::Ready(frame);
                }
                Poll::Pending => (Truncated::Stalled, Some(ready!(forwarding.poll_overdue(cx)))),
            };
            forwarding.truncate(reason, bound);
            // The server learns at once that nobody waits.
            this.content = Content::default();
        }
        match forwarding.truncated {
            Some(reason) => forwarding.poll_truncated(cx, reason).map(|reason| Some(Err(reason))),
            None => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        let is_truncated = self.forwarding.as_ref().is_some_and(|forwarding| forwarding.truncated.is_some());
        !is_truncated && self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}
