//! The body of an answer that is being written to an HTTP client.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use glenwood_core::Token;
use glenwood_operation::figures::{End, Ticket};
use hyper::body::{Body, Frame, SizeHint};

use crate::call::{Content, Truncated};
use crate::hub::{Hub, TruncatedAnswer};
use crate::sock::TrackedSocket;

/// The progress of an answer that is forwarded while it arrives.
pub struct Forwarded {
    hub: Rc<Hub>,
    /// The client's connection.
    sock: Rc<TrackedSocket>,
    /// The client's id of its request.
    id: Option<Token>,
    /// The statistics ticket of the request; ended with the last byte.
    ticket: Option<Ticket>,
    began: Instant,
    /// How many bytes were passed on so far.
    bytes: usize,
    /// Why the answer ends before it is whole.
    truncated: Option<Truncated>,
}

impl Forwarded {
    /// Begins with an answer of which nothing was passed on.
    pub fn new(hub: Rc<Hub>, sock: Rc<TrackedSocket>, id: Option<Token>, ticket: Option<Ticket>) -> Self {
        Self { hub, sock, id, ticket, began: Instant::now(), bytes: 0, truncated: None }
    }

    fn end(&mut self, end: End) {
        self.ticket.take().into_iter().for_each(|ticket| ticket.end(end));
    }

    /// Ends the answer before it is whole.
    fn truncate(&mut self, reason: Truncated) {
        self.truncated = Some(reason);
        self.sock.await_flush();
        self.end(End::Errored);
        self.hub.report_truncated_answer(&TruncatedAnswer {
            id: self.id.as_ref().map_or("", Token::as_str),
            bytes: self.bytes,
            elapsed: self.began.elapsed(),
            reason,
        });
    }

    /// Ready with the error that ends the connection, once everything before it was written. hyper drops what
    /// it has buffered, even the head, when a body fails.
    fn poll_truncated(&self, cx: &mut Context<'_>, reason: Truncated) -> Poll<Truncated> {
        self.sock.poll_flushed(cx).map(|()| reason)
    }
}

/// The body of an answer that is being written to a client.
#[derive(Default)]
pub struct AnswerBody {
    content: Content,
    /// Set if the answer is forwarded while it arrives.
    forwarded: Option<Forwarded>,
}

impl AnswerBody {
    /// Creates a body.
    pub fn new(content: Content) -> Self {
        Self { content, forwarded: None }
    }

    /// Returns whether more of the body is to come from its server.
    pub fn is_streamed(&self) -> bool {
        matches!(self.content, Content::Streamed(_))
    }

    /// Follows the progress of a body that is forwarded while it arrives.
    pub fn forward(&mut self, forwarded: Forwarded) {
        self.forwarded = Some(forwarded);
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
        let Some(forwarded) = &mut this.forwarded else { return Pin::new(&mut this.content).poll_frame(cx) };
        if forwarded.truncated.is_none() {
            match ready!(Pin::new(&mut this.content).poll_frame(cx)) {
                Some(Err(reason)) => forwarded.truncate(reason),
                frame => {
                    let data = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref());
                    forwarded.bytes += data.map_or(0, Bytes::len);
                    if this.content.is_end_stream() {
                        forwarded.end(End::Answered);
                    }
                    return Poll::Ready(frame);
                }
            }
        }
        match forwarded.truncated {
            Some(reason) => forwarded.poll_truncated(cx, reason).map(|reason| Some(Err(reason))),
            None => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}
