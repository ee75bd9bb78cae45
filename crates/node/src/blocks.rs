//! Bodies in blocks of one size. Bodies of all sizes in one piece each leave holes in the heap that the next one does not
//! fit into, and growing ones are held twice.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};

/// How large a block is.
const BLOCK: usize = 16 * 1024;

/// A body that is there whole; its clones share it.
#[derive(Clone, Debug, Default)]
pub struct Blocks {
    all: Rc<[Bytes]>,
    len: usize,
}

impl Blocks {
    /// How long it is.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Is there none?
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The blocks, in their order.
    pub fn iter(&self) -> impl Iterator<Item = &Bytes> {
        self.all.iter()
    }

    /// All in one piece.
    pub fn whole(&self) -> Bytes {
        match &*self.all {
            [] => Bytes::new(),
            [one] => one.clone(),
            all => all.concat().into(),
        }
    }
}

impl From<Bytes> for Blocks {
    fn from(bytes: Bytes) -> Self {
        Self { len: bytes.len(), all: [bytes].into() }
    }
}

/// A body that is being read.
#[derive(Default)]
pub struct Reading {
    full: Vec<Bytes>,
    last: BytesMut,
    len: usize,
}

impl Reading {
    /// How much there is so far.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Is there nothing yet?
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds what came. It is copied: what came may be a byte of a buffer that would be held whole.
    pub fn push(&mut self, mut bytes: &[u8]) {
        self.len += bytes.len();
        while !bytes.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.turn();
                // Most bodies come in one piece, and are shorter than a block.
                let first = self.full.is_empty();
                self.last = BytesMut::with_capacity(if first { bytes.len().min(BLOCK) } else { BLOCK });
            }
            let room = (self.last.capacity() - self.last.len()).min(bytes.len());
            self.last.extend_from_slice(&bytes[..room]);
            bytes = &bytes[room..];
        }
    }

    fn turn(&mut self) {
        let last = std::mem::take(&mut self.last);
        if !last.is_empty() {
            self.full.push(last.freeze());
        }
    }

    /// It is whole.
    pub fn end(mut self) -> Blocks {
        self.turn();
        Blocks { all: self.full.into(), len: self.len }
    }
}

/// A body on its way out, once.
pub struct Sending {
    blocks: Blocks,
    next: usize,
    left: usize,
}

impl From<Blocks> for Sending {
    fn from(blocks: Blocks) -> Self {
        Self { left: blocks.len, blocks, next: 0 }
    }
}

impl Body for Sending {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let block = self.blocks.all.get(self.next).cloned();
        self.next += 1;
        self.left -= block.as_ref().map_or(0, Bytes::len);
        Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_pushed_comes_out_whole_and_no_block_is_larger_than_one() {
        let body: Vec<u8> = (0..100_000u32).map(|n| n as u8).collect();
        for piece in [1, 7, 4096, BLOCK, BLOCK + 1, 100_000] {
            let mut reading = Reading::default();
            body.chunks(piece).for_each(|bytes| reading.push(bytes));
            let blocks = reading.end();
            assert_eq!((blocks.len(), blocks.whole()), (body.len(), Bytes::from(body.clone())), "{piece}");
            assert!(blocks.iter().all(|b| b.len() <= BLOCK));
            // One byte first makes one small block at the most.
            assert!(blocks.iter().count() <= 100_000 / BLOCK + 2, "{piece}: {}", blocks.iter().count());
        }
        assert!(Reading::default().end().is_empty());
    }
}
