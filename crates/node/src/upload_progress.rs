//! How far a request body has come that is forwarded while it is being received, and when its client may have
//! written the last byte: its time counts from then on.
//!
//! A client has written what its own socket has taken. So while a server accepts no more, the rest of a body
//! may stand in two places that the node has not read from: at the node's socket, of which the kernel tells how
//! much has arrived, and in the client's socket, of which nobody tells, and which holds no more than
//! `MAX_SEND_BUFFER_BYTES`. What is still to come and fits there counts as written, though it may not be: a
//! final answer that comes too late is lost, and one that comes too early is a refusal.

use std::cell::{Cell, OnceCell};
use std::rc::Weak;
use std::time::Instant;

use crate::sock::TrackedSocket;

/// How much a client's socket may hold: the default maximum of Linux for a send buffer.
const MAX_SEND_BUFFER_BYTES: usize = 4 << 20;
/// How much hyper may have read from the client and not passed on.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// How much of a body the sockets of a connection may hold if the kernel doesn't tell: the default maximum of
/// Linux for a send buffer (4 MiB) and for a receive buffer (6 MiB).
const MAX_BYTES_IN_SOCKETS: usize = 10 << 20;

/// The progress of a body that is forwarded while it is being received.
#[derive(Debug)]
pub struct UploadProgress {
    /// Set while the receiver could accept more but nothing has arrived.
    pub awaits_data: Cell<bool>,
    /// Set once the last byte has been passed on.
    pub ended: Cell<bool>,
    /// The bytes that remain to be passed on, if the length was declared.
    left: Cell<Option<usize>>,
    /// The client's socket.
    source: OnceCell<Weak<TrackedSocket>>,
    /// Since when the bytes received last may have been waiting to be read.
    readable_since: Cell<Option<Instant>>,
    /// Since when the client may have written its last byte, as far as sockets can hold the rest.
    may_be_sent_since: Cell<Option<Instant>>,
}

impl UploadProgress {
    /// Begins with a body of which nothing was passed on; `length` is its declared length.
    pub fn new(length: Option<usize>) -> Self {
        Self {
            awaits_data: Cell::default(),
            ended: Cell::default(),
            left: Cell::new(length),
            source: OnceCell::new(),
            readable_since: Cell::default(),
            may_be_sent_since: Cell::default(),
        }
    }

    /// Begins to follow the client's socket.
    pub fn follow(&self, source: Weak<TrackedSocket>) {
        // A body has one source.
        let _ = self.source.set(source);
        self.update();
    }

    /// Records that bytes were received which may have been waiting to be read since `readable_since`.
    pub fn received(&self, readable_since: Instant) {
        self.readable_since.set(Some(readable_since));
    }

    /// Records that bytes were passed on.
    pub fn passed_on(&self, bytes: usize) {
        self.left.set(self.left.get().map(|left| left.saturating_sub(bytes)));
        self.update();
    }

    /// The bytes that remain to be passed on, if the length was declared.
    pub fn left(&self) -> Option<usize> {
        self.left.get()
    }

    /// The bytes that have arrived of the body and were not read.
    fn unread(&self) -> Option<usize> {
        self.source.get()?.upgrade()?.unread()
    }

    /// The earliest time at which the client may have written its last byte; `None` if it can't have written
    /// it yet.
    pub fn last_byte_since(&self) -> Option<Instant> {
        if self.awaits_data.get() && !self.ended.get() {
            return None;
        }
        self.update();
        Some(self.readable_since.get()?.max(self.may_be_sent_since.get()?))
    }

    /// Determines anew whether the client may have written its last byte.
    fn update(&self) {
        if self.may_be_sent_since.get().is_none() {
            let may_be_sent = self.left.get().is_none_or(|left| may_be_in_sockets(left, self.unread()));
            self.may_be_sent_since.set(may_be_sent.then(Instant::now));
        }
    }
}

/// Whether sockets may hold what was not passed on of a body, of which `unread` bytes have arrived.
fn may_be_in_sockets(left: usize, unread: Option<usize>) -> bool {
    match unread {
        None => left <= MAX_BYTES_IN_SOCKETS,
        Some(unread) => left.saturating_sub(unread) <= MAX_SEND_BUFFER_BYTES + MAX_READ_AHEAD_BYTES,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MB: usize = 1_000_000;

    /// Guards against counting a client's time too late: what stands in sockets has been written, however much
    /// it is.
    #[test]
    fn what_sockets_can_hold_may_have_been_written() {
        assert!(may_be_in_sockets(30 * MB, Some(26 * MB)));
        assert!(may_be_in_sockets(30 * MB, Some(30 * MB)));
        assert!(may_be_in_sockets(4 * MB, Some(0)));
    }

    /// Guards against counting a client's time too early: what no socket can hold has not been written.
    #[test]
    fn what_no_socket_can_hold_has_not_been_written() {
        assert!(!may_be_in_sockets(8 * MB, Some(3 * MB)), "5 MB are in no send buffer");
        assert!(!may_be_in_sockets(30 * MB, Some(25 * MB)));
    }

    /// Guards against a wrong bound where the kernel doesn't tell what is unread.
    #[test]
    fn without_the_kernels_word_the_default_sizes_of_sockets_count() {
        assert!(!may_be_in_sockets(11 * MB, None));
        assert!(may_be_in_sockets(10 * MB, None));
    }
}
