//! A TCP socket for hyper that tracks how much of a message the kernel has accepted, what was received, and
//! whether the peer has closed.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::{Duration, Instant};

use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;

use crate::arrival::{BodyArrival, HEAD_TIMEOUT};
use crate::requests::{ReceivedRequests, RequestHead};
use crate::upload_progress::UploadProgress;

/// The largest single read.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// The transfer progress of one HTTP message.
#[derive(Default)]
struct Progress {
    body_bytes: usize,
    /// The last four bytes of the head so far.
    head_tail: [u8; 4],
    /// The bytes of the body still to come; `None` until the head is complete.
    body_left: Option<usize>,
    any_bytes: bool,
    /// For a body of undeclared length: its progress, and the last bytes of the message.
    streamed_body: Option<Rc<UploadProgress>>,
    last_bytes: [u8; 5],
}

impl Progress {
    fn advance(&mut self, bytes: &[u8]) {
        self.any_bytes |= !bytes.is_empty();
        if self.streamed_body.is_some() {
            append_last_bytes(&mut self.last_bytes, bytes);
        }
        let mut rest = bytes;
        while self.body_left.is_none() {
            let Some((byte, after)) = rest.split_first() else { return };
            self.head_tail = [self.head_tail[1], self.head_tail[2], self.head_tail[3], *byte];
            rest = after;
            if &self.head_tail == b"\r\n\r\n" {
                self.body_left = Some(self.body_bytes);
            }
        }
        self.body_left = self.body_left.map(|left| left.saturating_sub(rest.len()));
    }

    fn is_complete(&self) -> bool {
        match &self.streamed_body {
            None => self.body_left == Some(0),
            Some(upload) => upload.ended.get() && &self.last_bytes == b"0\r\n\r\n",
        }
    }
}

/// Keeps the last five bytes of a stream.
fn append_last_bytes(last_bytes: &mut [u8; 5], bytes: &[u8]) {
    let tail = &bytes[bytes.len().saturating_sub(5)..];
    last_bytes.copy_within(tail.len().., 0);
    last_bytes[5 - tail.len()..].copy_from_slice(tail);
}

/// The offset of the first status digit in an answer's head.
const STATUS_OFFSET: usize = "HTTP/1.1 ".len();

/// What was received after a message: interim heads, a final head, and the number of bytes after it.
struct ReceivedAnswer {
    head: Progress,
    /// How many bytes of the current head were received, and the first digit of its status.
    head_bytes_read: usize,
    status_digit: Option<u8>,
    last_bytes: [u8; 5],
    /// Whether the answer began before its request was written completely.
    is_early: bool,
    /// When the first byte was received.
    first_byte_at: Option<Instant>,
}

impl Default for ReceivedAnswer {
    fn default() -> Self {
        let head = Progress { body_bytes: usize::MAX, ..Progress::default() };
        Self {
            head,
            head_bytes_read: 0,
            status_digit: None,
            last_bytes: [0; 5],
            is_early: false,
            first_byte_at: None,
        }
    }
}

impl ReceivedAnswer {
    fn receive(&mut self, bytes: &[u8]) {
        append_last_bytes(&mut self.last_bytes, bytes);
        let mut rest = bytes;
        while !rest.is_empty() {
            let taken = if self.head.body_left.is_some() { rest.len() } else { self.head_bytes(rest) };
            self.head.advance(&rest[..taken]);
            rest = &rest[taken..];
            if self.head.body_left.is_some() && self.status_digit == Some(b'1') {
                // An interim (1xx) answer: the final one follows.
                self.head = Progress { body_bytes: usize::MAX, any_bytes: true, ..Progress::default() };
                (self.head_bytes_read, self.status_digit) = (0, None);
            }
        }
    }

    /// How many of these bytes belong to the current head.
    fn head_bytes(&mut self, bytes: &[u8]) -> usize {
        if self.status_digit.is_none() {
            self.status_digit =
                STATUS_OFFSET.checked_sub(self.head_bytes_read).and_then(|at| bytes.get(at)).copied();
        }
        let mut tail = self.head.head_tail;
        let end = bytes.iter().position(|byte| {
            tail = [tail[1], tail[2], tail[3], *byte];
            &tail == b"\r\n\r\n"
        });
        let count = end.map_or(bytes.len(), |end| end + 1);
        self.head_bytes_read += count;
        count
    }
}

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Between requests.
    Idle,
    /// Receiving a request.
    Reading,
    /// Serving a request.
    Busy,
    /// Writing the answer.
    Answering,
}

/// What can be read from a connection on which nothing is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pending {
    /// Nothing, and the peer has not closed.
    Nothing,
    /// At least one byte.
    Bytes,
    /// The peer has closed, or the connection is broken.
    End,
}

/// A TCP socket that tracks the messages sent and received on it.
pub struct TrackedSocket {
    stream: TcpStream,
    outgoing: RefCell<Progress>,
    /// What was received since the current message was begun.
    answer: RefCell<ReceivedAnswer>,
    /// Called once the kernel has accepted the message's last byte.
    on_written: Cell<Option<Box<dyn FnOnce()>>>,
    phase: Cell<Phase>,
    /// When the phase began.
    phase_since: Cell<Instant>,
    /// When the head of the request being received must be complete; for the first one it counts from the
    /// start of the connection.
    request_due: Cell<Instant>,
    /// Whether this is a client's HTTP connection, whose requests are tracked here.
    tracks_requests: Cell<bool>,
    /// Whether any byte was ever received.
    has_received: Cell<bool>,
    /// How many answers were begun or completed.
    answer_count: Cell<usize>,
    /// Whether bytes of a next request arrived while one was being served.
    pipelined: Cell<bool>,
    /// The bytes received since the current request began, and when the last of them arrived.
    request_bytes: Cell<usize>,
    last_read_at: Cell<Instant>,
    /// Since when the bytes read last may have been waiting: when bytes were first read after the socket was
    /// last found empty.
    readable_since: Cell<Instant>,
    /// Whether the socket was found empty after the last read.
    is_empty: Cell<bool>,
    /// The body of the current request, once it has begun to arrive.
    body_arrival: Cell<Option<BodyArrival>>,
    /// When the call began by which the kernel last accepted bytes to write.
    last_write_at: Cell<Instant>,
    /// Whether writes are tried whatever the kernel has reported, and who waits to write.
    must_retry_write: Cell<bool>,
    blocked_writer: Cell<Option<Waker>>,
    /// The progress of the current request's body, if it is streamed.
    upload: RefCell<Option<Rc<UploadProgress>>>,
    /// The requests that were received and not yet answered.
    requests: RefCell<ReceivedRequests>,
    /// Whether a request is being processed whose answer is not available yet.
    answer_pending: Cell<bool>,
    /// Whether the last request was answered before all of it was read, so that more of it may arrive.
    answered_unread: Cell<bool>,
    /// Whether hyper's buffer of bytes to write has been empty since [`TrackedSocket::await_flush`], and who
    /// waits for that.
    is_flushed: Cell<bool>,
    flush_waker: Cell<Option<Waker>>,
    /// Whether all of an answer of undeclared length has been handed to hyper.
    is_answer_handed_over: Cell<bool>,
    /// Whether the connection is to be reset, as its regular end would pass for the end of an answer.
    must_reset: Cell<bool>,
}

impl TrackedSocket {
    /// Takes over a connected stream and disables Nagle's algorithm.
    ///
    /// # Errors
    /// If the socket is already broken.
    pub fn new(stream: TcpStream) -> io::Result<Rc<Self>> {
        Self::open(stream, false)
    }

    /// Takes over a client's connection, whose requests are tracked.
    ///
    /// # Errors
    /// If the socket is already broken.
    pub fn of_client(stream: TcpStream) -> io::Result<Rc<Self>> {
        Self::open(stream, true)
    }

    fn open(stream: TcpStream, tracks_requests: bool) -> io::Result<Rc<Self>> {
        stream.set_nodelay(true)?;
        let now = Instant::now();
        Ok(Rc::new(Self {
            stream,
            outgoing: RefCell::default(),
            answer: RefCell::default(),
            on_written: Cell::default(),
            phase: Cell::new(Phase::Idle),
            phase_since: Cell::new(now),
            request_due: Cell::new(now + HEAD_TIMEOUT),
            tracks_requests: Cell::new(tracks_requests),
            has_received: Cell::new(false),
            answer_count: Cell::new(0),
            pipelined: Cell::new(false),
            request_bytes: Cell::new(0),
            last_read_at: Cell::new(now),
            readable_since: Cell::new(now),
            is_empty: Cell::new(true),
            body_arrival: Cell::new(None),
            last_write_at: Cell::new(now),
            must_retry_write: Cell::new(false),
            blocked_writer: Cell::default(),
            upload: RefCell::default(),
            requests: RefCell::default(),
            answer_pending: Cell::new(false),
            answered_unread: Cell::new(false),
            is_flushed: Cell::new(true),
            flush_waker: Cell::default(),
            is_answer_handed_over: Cell::new(false),
            must_reset: Cell::new(false),
        }))
    }

    /// This node's own address of the connection; empty if the socket is broken.
    pub fn local_address(&self) -> String {
        self.stream.local_addr().map_or_else(|_| String::new(), |address| address.to_string())
    }

    /// Starts tracking a message with a body of `body_bytes` bytes that is about to be written.
    pub fn begin_message(&self, body_bytes: usize) {
        *self.outgoing.borrow_mut() = Progress { body_bytes, ..Progress::default() };
        *self.answer.borrow_mut() = ReceivedAnswer::default();
        self.on_written.take();
        self.is_answer_handed_over.set(false);
    }

    /// Starts tracking a message with a chunked body that is about to be written.
    pub fn begin_streamed_message(&self, upload: Rc<UploadProgress>) {
        self.begin_message(usize::MAX);
        self.outgoing.borrow_mut().streamed_body = Some(upload);
    }

    /// Registers a callback for when the kernel has accepted the last byte of the current message.
    pub fn on_written(&self, callback: impl FnOnce() + 'static) {
        self.on_written.set(Some(Box::new(callback)));
    }

    /// Returns whether the kernel has accepted any byte of the message.
    pub fn any_written(&self) -> bool {
        self.outgoing.borrow().any_bytes
    }

    /// Returns whether any byte was received since the message was begun.
    pub fn any_received(&self) -> bool {
        self.answer.borrow().head.any_bytes
    }

    /// When the first byte of the answer was received.
    pub fn answer_began_at(&self) -> Option<Instant> {
        self.answer.borrow().first_byte_at
    }

    /// How many bytes of the answer were received behind its head.
    pub fn answer_body_bytes(&self) -> usize {
        self.answer.borrow().head.body_left.map_or(0, |left| usize::MAX - left)
    }

    /// How long after the last byte of the message the answer began; `None` if there is no answer, or if it
    /// began before.
    pub fn answer_delay(&self) -> Option<Duration> {
        let began = self.answer_began_at().filter(|_| self.is_written() && !self.answered_early())?;
        Some(began.saturating_duration_since(self.last_write_at()))
    }

    /// Returns whether the answer began before the kernel had accepted the message's last byte.
    pub fn answered_early(&self) -> bool {
        self.answer.borrow().is_early
    }

    /// Returns whether the kernel has accepted the message's last byte.
    pub fn is_written(&self) -> bool {
        self.outgoing.borrow().is_complete()
    }

    /// The phase of a client's connection, and since when.
    pub fn phase(&self) -> (Phase, Instant) {
        (self.phase.get(), self.phase_since.get())
    }

    /// Enters a phase.
    pub fn enter_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_since.set(Instant::now());
        if phase == Phase::Answering {
            self.answer_count.set(self.answer_count.get() + 1);
        }
    }

    /// Returns whether the request being received is overdue. A head has a fixed deadline. A body may take
    /// long while it makes progress; one that pauses or trickles would occupy a connection and memory. Where
    /// requests are not tracked here, the front closes the connection itself.
    pub fn is_request_overdue(&self) -> bool {
        if self.phase.get() != Phase::Reading || !self.tracks_requests.get() {
            return false;
        }
        let Some(body) = self.body_arrival.get() else {
            return Instant::now() >= self.request_due.get();
        };
        // While the server accepts no more data, the client is not the slow side.
        if self.upload.borrow().as_ref().is_some_and(|u| u.ended.get() || !u.awaits_data.get()) {
            return false;
        }
        Instant::now() >= body.due(self.request_bytes.get(), self.last_read_at.get())
    }

    /// Marks the head of the current request as complete and its body as being read.
    pub fn begin_body(&self) {
        self.body_arrival.set(Some(BodyArrival::begin(Instant::now(), self.request_bytes.get())));
    }

    /// Marks the body of the current request as streamed.
    pub fn stream_body(self: &Rc<Self>, upload: Rc<UploadProgress>) {
        upload.follow(Rc::downgrade(self));
        upload.received(self.readable_since.get());
        self.upload.replace(Some(upload));
    }

    /// How many bytes have arrived and were not read; `None` if the kernel doesn't tell.
    pub fn unread(&self) -> Option<usize> {
        rustix::io::ioctl_fionread(&self.stream).ok()?.try_into().ok()
    }

    /// The earliest time at which the last byte read so far may have arrived.
    pub fn arrived_at(&self) -> Instant {
        self.readable_since.get().min(self.last_read_at.get())
    }

    /// Notes when bytes arrive while nobody reads; never returns. Must be polled by the task that serves the
    /// connection, after the reader.
    pub async fn watch_arrivals(&self) -> Infallible {
        std::future::poll_fn(|cx| {
            if self.is_empty.get() && self.poll_readable_or_closed(cx) == Poll::Ready(Pending::Bytes) {
                self.is_empty.set(false);
                self.readable_since.set(Instant::now());
            }
            Poll::Pending
        })
        .await
    }

    /// When the call began by which the kernel last accepted bytes to write.
    pub fn last_write_at(&self) -> Instant {
        self.last_write_at.get()
    }

    /// Returns whether any byte was ever received.
    pub fn has_received(&self) -> bool {
        self.has_received.get()
    }

    /// How many answers were begun or completed.
    pub fn answer_count(&self) -> usize {
        self.answer_count.get()
    }

    /// The head of the request that is served, as received; `None` if it is not known.
    pub fn request_head(&self) -> Option<RequestHead> {
        self.requests.borrow().current()
    }

    /// Determines whether bytes follow the request that is served. If that can't be told, they are assumed to.
    pub fn detect_pipelined(&self) {
        self.pipelined.set(self.requests.borrow().has_next());
    }

    /// Returns whether bytes of a next request have been read, as far as can be told.
    pub fn is_pipelined(&self) -> bool {
        self.pipelined.get()
    }

    /// Returns whether there is nothing to read and the peer has not closed.
    pub fn is_quiet(&self) -> bool {
        self.pending() == Pending::Nothing
    }

    /// What can be read. Asks the kernel, because the runtime's readiness may be one iteration of its loop
    /// old.
    pub fn pending(&self) -> Pending {
        let mut byte = [MaybeUninit::uninit(); 1];
        loop {
            match SockRef::from(&self.stream).peek(&mut byte) {
                Ok(0) => return Pending::End,
                Ok(_) => return Pending::Bytes,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Pending::Nothing,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Pending::End,
            }
        }
    }

    /// Ready once bytes can be read or the peer has closed. Must not be polled while another task reads.
    pub fn poll_readable_or_closed(&self, cx: &mut Context<'_>) -> Poll<Pending> {
        let mut byte = [MaybeUninit::uninit(); 1];
        loop {
            let peeked = ready!(self.stream.poll_peek(cx, &mut ReadBuf::uninit(&mut byte)));
            match peeked {
                Ok(0) => return Poll::Ready(Pending::End),
                Ok(_) => return Poll::Ready(Pending::Bytes),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Poll::Ready(Pending::End),
            }
        }
    }

    /// Sets whether a request is being processed whose answer is not available yet.
    pub fn set_answer_pending(&self, answer_pending: bool) {
        self.answer_pending.set(answer_pending);
    }

    /// Records that the last request was answered before all of it was read. The connection carries no other.
    pub fn set_answered_unread(&self) {
        self.answered_unread.set(true);
    }

    /// Returns whether the last request was answered before all of it was read. Closing the connection while
    /// the peer still sends would reset it, and the answer could be lost.
    pub fn is_answered_unread(&self) -> bool {
        self.answered_unread.get()
    }

    /// Starts to wait until the kernel has accepted everything that hyper has buffered so far.
    pub fn await_flush(&self) {
        self.is_flushed.set(false);
    }

    /// Ready once the kernel has accepted everything that hyper had buffered at [`TrackedSocket::await_flush`].
    pub fn poll_flushed(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.is_flushed.get() {
            return Poll::Ready(());
        }
        self.flush_waker.set(Some(cx.waker().clone()));
        Poll::Pending
    }

    /// The last part of an answer has been handed to hyper. One of undeclared length is written once hyper has
    /// nothing left to write.
    pub fn hand_over_answer(&self) {
        self.is_answer_handed_over.set(true);
    }

    /// Records that hyper has nothing left to write.
    fn record_flush(&self) {
        if self.is_answer_handed_over.take() && self.phase.get() == Phase::Answering {
            self.finish_answer();
        }
        if !self.is_flushed.replace(true) {
            self.flush_waker.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Has the connection reset when it is dropped.
    pub fn reset_on_drop(&self) {
        // Fails only if the socket is broken already.
        self.must_reset.set(SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).is_ok());
    }

    /// Returns whether the connection is to be reset.
    pub fn must_reset(&self) -> bool {
        self.must_reset.get()
    }

    /// Waits until the peer has closed or reset the connection. The kernel reports this even while earlier
    /// bytes are unread, which a reader would have to consume first.
    pub async fn wait_closed(&self) {
        // This interest covers only the end of the peer's stream and urgent data.
        while let Ok(ready) = self.stream.ready(Interest::PRIORITY).await {
            if ready.is_read_closed() {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Waits until the peer closes while an answer is pending. Must be polled together with the task that
    /// serves the connection, and after it.
    pub async fn closed_while_answer_pending(&self) {
        self.wait_closed().await;
        std::future::poll_fn(|_| if self.answer_pending.get() { Poll::Ready(()) } else { Poll::Pending })
            .await;
    }

    /// Peeks at the first readable byte without consuming it; `None` if the peer has closed.
    pub async fn peek(&self) -> Option<u8> {
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(1) => Some(byte[0]),
            _ => None,
        }
    }

    /// Turns off request tracking for a protocol other than HTTP, whose front sets the phase itself.
    pub fn track_phase_externally(&self) {
        self.tracks_requests.set(false);
    }

    /// Sets the phase if it changed, for a connection whose requests are not tracked here.
    pub fn set_phase(&self, phase: Phase) {
        if phase != Phase::Idle {
            self.has_received.set(true);
        }
        if self.phase.get() != phase {
            if self.phase.get() != Phase::Idle && phase == Phase::Idle {
                self.answer_count.set(self.answer_count.get() + 1);
            }
            self.phase.set(phase);
            self.phase_since.set(Instant::now());
        }
    }

    /// Waits until bytes can be read or the peer has closed.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Waits until bytes can be written.
    pub async fn writable(&self) -> io::Result<()> {
        self.stream.writable().await
    }

    /// Reads available bytes.
    pub fn try_read(&self, into: &mut [u8]) -> io::Result<usize> {
        uninterrupted(|| self.stream.try_read(into))
    }

    /// Writes as much as the kernel accepts.
    pub fn try_write(&self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        let written = uninterrupted(|| self.stream.try_write_vectored(parts));
        if !is_blocked(&written) || !self.must_retry_write.get() {
            return written;
        }
        let written = uninterrupted(|| SockRef::from(&self.stream).send_vectored(parts));
        self.must_retry_write.set(!is_blocked(&written));
        written
    }

    /// Has writes tried whether or not the kernel has reported room, until it accepts no more, and wakes who
    /// waits for that report. It comes only once a third of a send buffer of megabytes is free, which takes a
    /// client that reads slowly many seconds; the kernel accepts bytes long before.
    pub fn retry_write(&self) {
        self.must_retry_write.set(true);
        if let Some(writer) = self.blocked_writer.take() {
            writer.wake();
        }
    }

    /// Shuts down the write side and reads until the peer closes. Closing a socket with unread bytes sends a
    /// reset, which can overtake the answer.
    pub async fn linger(&self) {
        if SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        // Allocated on the heap, as an array would enlarge the task for its entire lifetime.
        let mut sink = vec![0; READ_CHUNK_BYTES];
        while self.stream.readable().await.is_ok() {
            match self.stream.try_read(&mut sink) {
                Ok(0) => return,
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => return,
                _ => {}
            }
        }
    }

    /// The last bytes received on a connection that this node opened.
    pub fn last_heard(&self) -> [u8; 5] {
        self.answer.borrow().last_bytes
    }

    /// Returns whether what was received is exactly one head and a body of this length or, if chunked, ends
    /// with the last chunk. Additional bytes would be taken for the answer to the next request.
    pub fn received_exactly(&self, body: usize, chunked: bool) -> bool {
        let answer = self.answer.borrow();
        if chunked {
            answer.head.body_left.is_some() && &answer.last_bytes == b"0\r\n\r\n"
        } else {
            answer.head.body_left.map(|left| usize::MAX - left) == Some(body)
        }
    }

    fn record_read(&self, bytes: &[u8]) {
        if !bytes.is_empty() && !self.any_received() {
            let is_early = !self.is_written();
            let mut answer = self.answer.borrow_mut();
            (answer.is_early, answer.first_byte_at) = (is_early, Some(Instant::now()));
        }
        self.answer.borrow_mut().receive(bytes);
        if bytes.is_empty() || !self.tracks_requests.get() {
            return;
        }
        let now = Instant::now();
        if self.is_empty.replace(false) {
            self.readable_since.set(now);
        }
        if let Some(upload) = &*self.upload.borrow() {
            upload.received(self.readable_since.get());
        }
        match self.phase.get() {
            Phase::Idle => {
                self.begin_request(self.has_received.replace(true));
            }
            // The bytes taken for the start of the next request were not part of one, or its rest has now
            // arrived: restart its timeout, once.
            Phase::Reading if self.request_bytes.get() == 0 => {
                self.begin_request(true);
            }
            Phase::Reading => {}
            Phase::Busy | Phase::Answering => self.pipelined.set(true),
        }
        self.request_bytes.set(self.request_bytes.get() + bytes.len());
        self.last_read_at.set(now);
        self.requests.borrow_mut().receive(bytes);
    }

    /// Starts tracking a request, the first on its connection or a later one.
    fn begin_request(&self, is_later: bool) {
        self.enter_phase(Phase::Reading);
        self.request_bytes.set(0);
        self.body_arrival.set(None);
        self.upload.take();
        if is_later {
            self.request_due.set(self.phase_since.get() + HEAD_TIMEOUT);
        }
    }

    /// Records bytes that the kernel accepted in a call that began at `at`.
    fn record_write(&self, bytes: &[u8], at: Instant) {
        self.outgoing.borrow_mut().advance(bytes);
        if !bytes.is_empty() {
            self.last_write_at.set(at);
        }
        if self.is_written() {
            if let Some(callback) = self.on_written.take() {
                callback();
            }
        }
        if self.phase.get() == Phase::Answering && self.is_written() {
            self.finish_answer();
        }
    }

    /// The answer has been written. Bytes that arrived early belong to the next request; a connection with a
    /// partial request is not idle.
    fn finish_answer(&self) {
        self.requests.borrow_mut().finish_current();
        if self.pipelined.take() {
            self.begin_request(true);
        } else {
            self.enter_phase(Phase::Idle);
        }
    }
}

fn is_blocked(written: &io::Result<usize>) -> bool {
    written.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Repeats a call while it is interrupted by a signal.
fn uninterrupted(mut call: impl FnMut() -> io::Result<usize>) -> io::Result<usize> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Returns whether nothing was transferred and the connection is intact.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// The adapter through which hyper reads and writes a [`TrackedSocket`].
pub struct Io(pub Rc<TrackedSocket>);

impl Read for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let sock = &self.0;
        let mut chunk = [0; READ_CHUNK_BYTES];
        let want = buf.remaining().min(READ_CHUNK_BYTES);
        loop {
            ready!(sock.stream.poll_read_ready(cx))?;
            match sock.stream.try_read(&mut chunk[..want]) {
                Ok(n) => {
                    sock.record_read(&chunk[..n]);
                    buf.put_slice(&chunk[..n]);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => sock.is_empty.set(true),
                Err(e) if is_retryable(&e) => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Write for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sock = &self.0;
        loop {
            let is_ready = sock.stream.poll_write_ready(cx)?.is_ready();
            if !is_ready {
                sock.blocked_writer.set(Some(cx.waker().clone()));
                if !sock.must_retry_write.get() {
                    return Poll::Pending;
                }
            }
            let at = Instant::now();
            match sock.try_write(parts) {
                Ok(n) => {
                    let mut left = n;
                    for part in parts {
                        let taken = left.min(part.len());
                        if taken > 0 {
                            sock.record_write(&part[..taken], at);
                        }
                        left -= taken;
                    }
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock && !is_ready => return Poll::Pending,
                Err(e) if is_retryable(&e) => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// Vectored writes save hyper from copying bodies into a buffer kept for each connection.
    fn is_write_vectored(&self) -> bool {
        true
    }

    /// hyper calls this whenever its buffer has become, or is, empty.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}
