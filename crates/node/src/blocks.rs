//! Bodies in blocks of one size. Bodies of all sizes in one piece each leave holes in the heap that the next one does not
//! fit into, and growing ones are held twice.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::call::{Cut, LARGE_MOST};

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

/// How far the rest of a body has come that goes on while it comes.
#[derive(Debug, Default)]
pub struct Uptake {
    /// The other side could take more, and nothing has come.
    pub waits: Cell<bool>,
    /// Its last byte has been handed on.
    pub ended: Cell<bool>,
}

/// The rest of a body, which can be had once.
pub struct Rest {
    body: RefCell<Option<Incoming>>,
    /// How long the whole body is, where its head says so.
    pub length: Option<usize>,
    /// How far it has come.
    pub uptake: Rc<Uptake>,
}

impl Rest {
    /// What is still to come of a body that is so long in all.
    pub fn new(body: Incoming, length: Option<usize>) -> Self {
        Self { body: RefCell::new(Some(body)), length, uptake: Rc::default() }
    }

    /// Is it still there?
    pub fn is_there(&self) -> bool {
        self.body.borrow().is_some()
    }
}

/// A body on its way out, once.
pub struct Sending {
    blocks: Blocks,
    next: usize,
    /// What is left of the whole; `None` where only its end tells.
    left: Option<usize>,
    /// How much has gone.
    gone: usize,
    rest: Option<(Incoming, Rc<Uptake>)>,
}

impl Sending {
    /// The blocks, and the rest behind them.
    pub fn with_rest(blocks: Blocks, rest: &Rest) -> Self {
        let body = rest.body.borrow_mut().take();
        let rest_of = body.map(|body| (body, rest.uptake.clone()));
        Self { blocks, next: 0, left: rest.length, gone: 0, rest: rest_of }
    }

    fn took(&mut self, bytes: usize) -> Result<(), Cut> {
        self.gone += bytes;
        if let Some(left) = &mut self.left {
            *left = left.checked_sub(bytes).ok_or(Cut)?;
        }
        if self.gone > LARGE_MOST {
            return Err(Cut);
        }
        Ok(())
    }
}

impl From<Blocks> for Sending {
    fn from(blocks: Blocks) -> Self {
        Self { left: Some(blocks.len), blocks, next: 0, gone: 0, rest: None }
    }
}

impl Body for Sending {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if let Some(block) = self.blocks.all.get(self.next).cloned() {
            self.next += 1;
            return Poll::Ready(Some(self.took(block.len()).map(|()| Frame::data(block))));
        }
        loop {
            let Some((body, uptake)) = self.rest.as_mut() else { return Poll::Ready(None) };
            let frame = Pin::new(body).poll_frame(cx);
            uptake.waits.set(frame.is_pending());
            match ready!(frame) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => {
                        let taken = self.took(data.len());
                        if let (Some(0), Some((_, uptake))) = (self.left, self.rest.as_ref()) {
                            uptake.ended.set(true);
                        }
                        return Poll::Ready(Some(taken.map(|()| Frame::data(data))));
                    }
                    _ => {}
                },
                // The server sees a body that ends before its end, and does not begin.
                Some(Err(_)) => return Poll::Ready(Some(Err(Cut))),
                None => {
                    uptake.ended.set(true);
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
