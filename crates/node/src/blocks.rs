//! Bodies stored in blocks of equal size. Bodies in single allocations of varying size fragment the heap, and
//! growing them needs twice the memory while they are copied.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::call::{Truncated, MAX_BODY_BYTES};
use crate::upload_progress::UploadProgress;

/// The size of a block.
const BLOCK_BYTES: usize = 16 * 1024;

/// A complete body; clones share its blocks.
#[derive(Clone, Debug, Default)]
pub struct Blocks {
    parts: Rc<[Bytes]>,
    len: usize,
}

impl Blocks {
    /// The length of the body.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The blocks, in order.
    pub fn iter(&self) -> impl Iterator<Item = &Bytes> {
        self.parts.iter()
    }

    /// The body as one contiguous buffer.
    pub fn to_contiguous(&self) -> Bytes {
        match &*self.parts {
            [] => Bytes::new(),
            [single] => single.clone(),
            parts => parts.concat().into(),
        }
    }
}

impl From<Bytes> for Blocks {
    fn from(bytes: Bytes) -> Self {
        Self { len: bytes.len(), parts: [bytes].into() }
    }
}

/// Collects a body while it is being read.
#[derive(Default)]
pub struct BlocksBuilder {
    full_blocks: Vec<Bytes>,
    last_block: BytesMut,
    len: usize,
}

impl BlocksBuilder {
    /// The number of bytes collected so far.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing was collected yet.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends bytes. They are copied, because the source may be a small part of a large buffer that would be
    /// kept alive.
    pub fn push(&mut self, mut bytes: &[u8]) {
        self.len += bytes.len();
        while !bytes.is_empty() {
            if self.last_block.len() == self.last_block.capacity() {
                self.seal_block();
                // Most bodies arrive in one piece that is shorter than a block.
                let first = self.full_blocks.is_empty();
                self.last_block =
                    BytesMut::with_capacity(if first { bytes.len().min(BLOCK_BYTES) } else { BLOCK_BYTES });
            }
            let room = (self.last_block.capacity() - self.last_block.len()).min(bytes.len());
            self.last_block.extend_from_slice(&bytes[..room]);
            bytes = &bytes[room..];
        }
    }

    fn seal_block(&mut self) {
        let last_block = std::mem::take(&mut self.last_block);
        if !last_block.is_empty() {
            self.full_blocks.push(last_block.freeze());
        }
    }

    /// Completes the body.
    pub fn finish(mut self) -> Blocks {
        self.seal_block();
        Blocks { parts: self.full_blocks.into(), len: self.len }
    }
}

/// The rest of a body, which can be consumed only once.
pub struct RemainingBody {
    body: RefCell<Option<Incoming>>,
    /// The length of the complete body, if declared.
    pub length: Option<usize>,
    /// The progress of the transfer.
    pub upload: Rc<UploadProgress>,
}

impl RemainingBody {
    /// Creates the rest of a body whose declared total is `length`.
    pub fn new(body: Incoming, length: Option<usize>) -> Self {
        Self { body: RefCell::new(Some(body)), length, upload: Rc::new(UploadProgress::new(length)) }
    }

    /// Returns whether it has not been consumed yet.
    pub fn is_available(&self) -> bool {
        self.body.borrow().is_some()
    }
}

/// A body that is being written to a server, once.
pub struct OutgoingBody {
    blocks: Blocks,
    next: usize,
    /// The bytes that remain to be sent; `None` if the length was not declared.
    left: Option<usize>,
    /// The bytes sent so far.
    sent_bytes: usize,
    rest: Option<(Incoming, Rc<UploadProgress>)>,
}

impl OutgoingBody {
    /// Creates a body of the buffered blocks followed by the rest.
    pub fn with_rest(blocks: Blocks, rest: &RemainingBody) -> Self {
        let body = rest.body.borrow_mut().take();
        let remaining = body.map(|body| (body, rest.upload.clone()));
        Self { blocks, next: 0, left: rest.length, sent_bytes: 0, rest: remaining }
    }

    fn count_sent(&mut self, bytes: usize) -> Result<(), Truncated> {
        self.sent_bytes += bytes;
        self.rest.iter().for_each(|(_, upload)| upload.passed_on(bytes));
        if let Some(left) = &mut self.left {
            *left = left.checked_sub(bytes).ok_or(Truncated::TooLong)?;
        }
        if self.sent_bytes > MAX_BODY_BYTES {
            return Err(Truncated::TooLong);
        }
        Ok(())
    }
}

impl From<Blocks> for OutgoingBody {
    fn from(blocks: Blocks) -> Self {
        Self { left: Some(blocks.len), blocks, next: 0, sent_bytes: 0, rest: None }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if let Some(block) = self.blocks.parts.get(self.next).cloned() {
            self.next += 1;
            return Poll::Ready(Some(self.count_sent(block.len()).map(|()| Frame::data(block))));
        }
        loop {
            let Some((body, upload)) = self.rest.as_mut() else { return Poll::Ready(None) };
            let frame = Pin::new(body).poll_frame(cx);
            upload.awaits_data.set(frame.is_pending());
            match ready!(frame) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => {
                        let taken = self.count_sent(data.len());
                        if let (Some(0), Some((_, upload))) = (self.left, self.rest.as_ref()) {
                            upload.ended.set(true);
                        }
                        return Poll::Ready(Some(taken.map(|()| Frame::data(data))));
                    }
                    _ => {}
                },
                // The server sees a truncated body and does not execute the request.
                Some(Err(_)) => return Poll::Ready(Some(Err(Truncated::Disconnected))),
                None => {
                    upload.ended.set(true);
                    return Poll::Ready(None);
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, |left| SizeHint::with_exact(left as u64))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pushed_bytes_are_returned_unchanged_in_blocks_of_limited_size() {
        let body: Vec<u8> = (0..100_000u32).map(|n| n as u8).collect();
        for piece in [1, 7, 4096, BLOCK_BYTES, BLOCK_BYTES + 1, 100_000] {
            let mut builder = BlocksBuilder::default();
            body.chunks(piece).for_each(|bytes| builder.push(bytes));
            let blocks = builder.finish();
            assert_eq!(
                (blocks.len(), blocks.to_contiguous()),
                (body.len(), Bytes::from(body.clone())),
                "{piece}"
            );
            assert!(blocks.iter().all(|b| b.len() <= BLOCK_BYTES));
            // A single byte first makes at most one small block.
            assert!(blocks.iter().count() <= 100_000 / BLOCK_BYTES + 2, "{piece}: {}", blocks.iter().count());
        }
        assert!(BlocksBuilder::default().finish().is_empty());
    }
}
