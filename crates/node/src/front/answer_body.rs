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

/// The progress of an answer that is forwarded while it arrives.
pub struct Forwarded {
    hub: Rc<Hub>,
    /// The client's id of its request.
    id: Option<Token>,
    /// The statistics ticket of the request; ended with the last byte.
    ticket: Option<Ticket>,
    began: Instant,
    /// How many bytes were passed on so far.
    bytes: usize,
}

impl Forwarded {
    /// Begins with an answer of which nothing was passed on.
    pub fn new(hub: Rc<Hub>, id: Option<Token>, ticket: Option<Ticket>) -> Self {
        Self { hub, id, ticket, began: Instant::now(), bytes: 0 }
    }

    fn end(&mut self, end: End) {
        self.ticket.take().into_iter().for_each(|ticket| ticket.end(end));
    }

    /// The client sees the answer cut short.
    fn truncate(&mut self, reason: Truncated) {
        self.end(End::Errored);
        self.hub.report_truncated_answer(&TruncatedAnswer {
            id: self.id.as_ref().map_or("", Token::as_str),
            bytes: self.bytes,
            elapsed: self.began.elapsed(),
            reason,
        });
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
        let frame = ready!(Pin::new(&mut this.content).poll_frame(cx));
        let Some(forwarded) = &mut this.forwarded else { return Poll::Ready(frame) };
        match &frame {
            Some(Err(reason)) => forwarded.truncate(*reason),
            Some(Ok(frame)) => forwarded.bytes += frame.data_ref().map_or(0, Bytes::len),
            None => {}
        }
        if this.content.is_end_stream() {
            forwarded.end(End::Answered);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}
