//! A TCP socket that hyper drives and that we can watch: what the kernel took of a message, and whether the
//! other side has closed.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;

use crate::blocks::Uptake;

/// How much one read takes at the most.
const CHUNK: usize = 16 * 1024;

/// How long a request may take to come whole; that of a new connection counts from the connection's start.
pub const REQUEST_WITHIN: Duration = Duration::from_millis(2500);
/// How long a body may pause, and how many bytes a second it has to come with once its first moment is over: a quarter of
/// what a slow client sends.
const BODY_PAUSE: Duration = Duration::from_millis(2200);
const BODY_GRACE: Duration = Duration::from_millis(2500);
const BODY_PACE: f64 = 16_000.0;
/// How much of a request is kept for a look at its head.
const HEAD_KEPT: usize = 32 * 1024;

/// How much of one HTTP message the kernel has taken.
#[derive(Default)]
struct Progress {
    body: usize,
    /// The last four bytes of the head so far.
    tail: [u8; 4],
    /// What is missing of the body; `None` until the head is out.
    left: Option<usize>,
    any: bool,
    /// Of one whose length is not known: how far its body has come, and its last bytes.
    open: Option<Rc<Uptake>>,
    last: [u8; 5],
}

impl Progress {
    fn took(&mut self, bytes: &[u8]) {
        self.any |= !bytes.is_empty();
        if self.open.is_some() {
            push_last(&mut self.last, bytes);
        }
        let mut rest = bytes;
        while self.left.is_none() {
            let Some((byte, after)) = rest.split_first() else { return };
            self.tail = [self.tail[1], self.tail[2], self.tail[3], *byte];
            rest = after;
            if &self.tail == b"\r\n\r\n" {
                self.left = Some(self.body);
            }
        }
        self.left = self.left.map(|left| left.saturating_sub(rest.len()));
    }

    fn whole(&self) -> bool {
        match &self.open {
            None => self.left == Some(0),
            Some(uptake) => uptake.ended.get() && &self.last == b"0\r\n\r\n",
        }
    }
}

/// Where the head of a request ends. Blank lines ahead of it are passed over by the parser too.
fn head_end(head: &[u8]) -> Option<usize> {
    let mut end = head.iter().position(|b| !matches!(b, b'\r' | b'\n'))?;
    for line in head[end..].split_inclusive(|b| *b == b'\n') {
        end += line.len();
        if line == b"\n" || line == b"\r\n" {
            return Some(end);
        }
    }
    None
}

/// Keeps the last five bytes of a stream.
fn push_last(last: &mut [u8; 5], bytes: &[u8]) {
    let tail = &bytes[bytes.len().saturating_sub(5)..];
    last.copy_within(tail.len().., 0);
    last[5 - tail.len()..].copy_from_slice(tail);
}

/// How the first line of a head begins, up to the first digit of its status.
const STATUS_AT: usize = "HTTP/1.1 ".len();

/// What came back: interim heads, a final head, and how many bytes behind it.
struct Back {
    head: Progress,
    /// How many bytes of the present head have come, and the first digit of its status.
    head_came: usize,
    status: Option<u8>,
    last: [u8; 5],
    /// It began to come before the message that it answers had been taken whole.
    is_ahead: bool,
    /// When its first byte came.
    began: Option<Instant>,
}

impl Default for Back {
    fn default() -> Self {
        let head = Progress { body: usize::MAX, ..Progress::default() };
        Self { head, head_came: 0, status: None, last: [0; 5], is_ahead: false, began: None }
    }
}

impl Back {
    fn came(&mut self, bytes: &[u8]) {
        push_last(&mut self.last, bytes);
        let mut rest = bytes;
        while !rest.is_empty() {
            let taken = if self.head.left.is_some() { rest.len() } else { self.head_bytes(rest) };
            self.head.took(&rest[..taken]);
            rest = &rest[taken..];
            if self.head.left.is_some() && self.status == Some(b'1') {
                // An interim answer: the final one begins behind it.
                self.head = Progress { body: usize::MAX, any: true, ..Progress::default() };
                (self.head_came, self.status) = (0, None);
            }
        }
    }

    /// How many of these bytes belong to the present head.
    fn head_bytes(&mut self, bytes: &[u8]) -> usize {
        if self.status.is_none() {
            self.status = STATUS_AT.checked_sub(self.head_came).and_then(|at| bytes.get(at)).copied();
        }
        let mut tail = self.head.tail;
        let end = bytes.iter().position(|byte| {
            tail = [tail[1], tail[2], tail[3], *byte];
            &tail == b"\r\n\r\n"
        });
        let count = end.map_or(bytes.len(), |end| end + 1);
        self.head_came += count;
        count
    }
}

/// What a client's connection is in the middle of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Between requests.
    Idle,
    /// A request has begun to come.
    Reading,
    /// A request is being served.
    Busy,
    /// Its answer is on its way out.
    Answering,
}

/// What stands to be read on a connection of which nothing is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pending {
    /// Nothing, and the other side has not closed.
    Nothing,
    /// Bytes.
    Bytes,
    /// The other side has closed, or the connection is broken.
    End,
}

/// A watched socket.
pub struct Sock {
    stream: TcpStream,
    out: RefCell<Progress>,
    /// What came back since the message was begun.
    back: RefCell<Back>,
    /// Told once the kernel has the message's last byte.
    when_whole: Cell<Option<Box<dyn FnOnce()>>>,
    phase: Cell<Phase>,
    /// When the phase began.
    since: Cell<Instant>,
    /// By when a request that is coming must be whole.
    due: Cell<Instant>,
    /// A client's connection.
    serves: Cell<bool>,
    /// Anything ever came.
    spoke: Cell<bool>,
    /// How many requests have been answered, or are being.
    answers: Cell<usize>,
    /// Something came while a request was served: the next one, or a part of it.
    ahead: Cell<bool>,
    /// How many bytes came since the present request began to, when the last of them did, and the last five.
    came: Cell<usize>,
    came_at: Cell<Instant>,
    last: Cell<[u8; 5]>,
    /// When the body of the present request began to come, and how many bytes had come before it.
    body: Cell<Option<(Instant, usize)>>,
    /// When the other side last took anything.
    moved: Cell<Instant>,
    /// How far the body of the present request has come, where it goes on while it comes.
    uptake: RefCell<Option<Rc<Uptake>>>,
    /// What came of the present request, from its first byte on; `None` where that is not known.
    head: RefCell<Option<Vec<u8>>>,
    /// An answer is owed that is not there yet.
    owes: Cell<bool>,
}

impl Sock {
    /// Takes over a connected stream and turns off Nagle's delay.
    ///
    /// # Errors
    /// Where the socket is already broken.
    pub fn new(stream: TcpStream) -> io::Result<Rc<Self>> {
        Self::open(stream, false)
    }

    /// Takes over the connection of a client, whose requests are watched.
    ///
    /// # Errors
    /// Where the socket is already broken.
    pub fn of_client(stream: TcpStream) -> io::Result<Rc<Self>> {
        Self::open(stream, true)
    }

    fn open(stream: TcpStream, serves: bool) -> io::Result<Rc<Self>> {
        stream.set_nodelay(true)?;
        let now = Instant::now();
        Ok(Rc::new(Self {
            stream,
            out: RefCell::default(),
            back: RefCell::default(),
            when_whole: Cell::default(),
            phase: Cell::new(Phase::Idle),
            since: Cell::new(now),
            due: Cell::new(now + REQUEST_WITHIN),
            serves: Cell::new(serves),
            spoke: Cell::new(false),
            answers: Cell::new(0),
            ahead: Cell::new(false),
            came: Cell::new(0),
            came_at: Cell::new(now),
            last: Cell::default(),
            body: Cell::new(None),
            moved: Cell::new(now),
            uptake: RefCell::default(),
            head: RefCell::default(),
            owes: Cell::new(false),
        }))
    }

    /// A message with so long a body is about to be written.
    pub fn begin(&self, body: usize) {
        *self.out.borrow_mut() = Progress { body, ..Progress::default() };
        *self.back.borrow_mut() = Back::default();
        self.when_whole.take();
    }

    /// A message is about to be written whose body ends with its last chunk.
    pub fn begin_open(&self, uptake: Rc<Uptake>) {
        self.begin(usize::MAX);
        self.out.borrow_mut().open = Some(uptake);
    }

    /// Tells when the kernel has taken the last byte of the message that was begun.
    pub fn when_whole(&self, tell: impl FnOnce() + 'static) {
        self.when_whole.set(Some(Box::new(tell)));
    }

    /// Has the kernel taken any byte of the message?
    pub fn any(&self) -> bool {
        self.out.borrow().any
    }

    /// Has any byte come back?
    pub fn heard_any(&self) -> bool {
        self.back.borrow().head.any
    }

    /// When the first byte came back.
    pub fn heard_at(&self) -> Option<Instant> {
        self.back.borrow().began
    }

    /// Did what came back begin to come before the kernel had taken the message's last byte?
    pub fn heard_ahead(&self) -> bool {
        self.back.borrow().is_ahead
    }

    /// Has the kernel taken the message's last byte?
    pub fn whole(&self) -> bool {
        self.out.borrow().whole()
    }

    /// What a client's connection is in the middle of, and since when.
    pub fn phase(&self) -> (Phase, Instant) {
        (self.phase.get(), self.since.get())
    }

    /// Enters a phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
        if phase == Phase::Answering {
            self.answers.set(self.answers.get() + 1);
        }
        if phase != Phase::Reading {
            *self.head.borrow_mut() = None;
        }
    }

    /// Has the request that is coming taken too long? A head has its time. A body may take long, as long as it comes: what
    /// pauses, or trickles, holds a connection and memory for nothing.
    pub fn overdue(&self) -> bool {
        if self.phase.get() != Phase::Reading {
            return false;
        }
        let Some((began, before)) = self.body.get() else { return Instant::now() >= self.due.get() };
        // Where nobody asks for more it is not its client that is slow.
        if self.uptake.borrow().as_ref().is_some_and(|u| u.ended.get() || !u.waits.get()) {
            return false;
        }
        let came = self.came.get().saturating_sub(before) as f64;
        self.came_at.get().elapsed() >= BODY_PAUSE
            || began.elapsed() >= BODY_GRACE + Duration::from_secs_f64(came / BODY_PACE)
    }

    /// The head of the present request has come, and its body is being read.
    pub fn body_begins(&self) {
        self.body.set(Some((Instant::now(), self.came.get())));
    }

    /// The body of the present request goes on while it comes.
    pub fn body_goes_on(&self, uptake: Rc<Uptake>) {
        self.uptake.replace(Some(uptake));
    }

    /// When the last byte came that was read so far.
    pub fn came_at(&self) -> Instant {
        self.came_at.get()
    }

    /// When the other side last took anything of what is written.
    pub fn moved(&self) -> Instant {
        self.moved.get()
    }

    /// Has anything ever come?
    pub fn spoke(&self) -> bool {
        self.spoke.get()
    }

    /// How many requests have been answered, or are being.
    pub fn answers(&self) -> usize {
        self.answers.get()
    }

    /// Is it sure that the head of the present request, as it came, has no such header (named in lower case)?
    /// hyper drops a length that stands behind a transfer coding before anyone can see it.
    pub fn head_lacks(&self, name: &str) -> bool {
        let head = self.head.borrow();
        let Some(head) = head.as_deref() else { return false };
        let Some(end) = head_end(head) else { return false };
        head[..end].split(|b| *b == b'\n').all(|line| {
            let key = line.split(|b| *b == b':').next().unwrap_or_default();
            !key.trim_ascii().eq_ignore_ascii_case(name.as_bytes())
        })
    }

    /// The present request is whole, with a body of so many bytes as it came (`None`: not known). Has anything
    /// come behind it? Where that is not known it is taken to be so.
    pub fn look_ahead(&self, body: Option<usize>) {
        let end = self.head.borrow().as_deref().and_then(head_end);
        let whole = end.zip(body).map(|(head, body)| head + body);
        // One in chunks is over with a blank line, behind its last chunk or its trailers. A whole request behind it ends so
        // too, and is answered next; a part of one ends so only by chance.
        self.ahead.set(match body {
            Some(_) => whole != Some(self.came.get()),
            None => !self.last.get().ends_with(b"\r\n\r\n"),
        });
    }

    /// Nothing to read, and not closed by the other side.
    pub fn quiet(&self) -> bool {
        self.pending() == Pending::Nothing
    }

    /// What stands to be read. Asks the kernel, as what the runtime knows may be a turn of its loop old.
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

    /// Ready once something stands to be read, or the other side has closed. Must not be polled beside hyper's reading.
    pub fn poll_disturbed(&self, cx: &mut Context<'_>) -> Poll<Pending> {
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

    /// An answer is owed from now on, or not any more.
    pub fn owe(&self, owes: bool) {
        self.owes.set(owes);
    }

    /// Waits until the other side has closed, or broken the connection. The kernel tells that also where bytes ahead of it
    /// have not been read, as nobody wants them yet: whoever reads would learn of it only behind them.
    pub async fn closed(&self) {
        // Of what may be waited for, this is the end of what the other side sends, and urgent data.
        while let Ok(ready) = self.stream.ready(Interest::PRIORITY).await {
            if ready.is_read_closed() {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Waits until the other side has closed while an answer is owed to it. Must be polled with whatever serves the
    /// connection, and after it.
    pub async fn deserted(&self) {
        self.closed().await;
        std::future::poll_fn(|_| if self.owes.get() { Poll::Ready(()) } else { Poll::Pending }).await;
    }

    /// The first byte that can be read, which stays to be read; `None` where the other side has closed.
    pub async fn peek(&self) -> Option<u8> {
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(1) => Some(byte[0]),
            _ => None,
        }
    }

    /// This connection is not HTTP's: whoever serves it says what it is in the middle of.
    pub fn serve_otherwise(&self) {
        self.serves.set(false);
    }

    /// Is in this phase from now on, if it was not; of a connection that is served otherwise.
    pub fn be(&self, phase: Phase) {
        if phase != Phase::Idle {
            self.spoke.set(true);
        }
        if self.phase.get() != phase {
            if self.phase.get() != Phase::Idle && phase == Phase::Idle {
                self.answers.set(self.answers.get() + 1);
            }
            self.phase.set(phase);
            self.since.set(Instant::now());
        }
    }

    /// Waits until something may be read, or the other side has closed.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }

    /// Waits until something may be written.
    pub async fn writable(&self) -> io::Result<()> {
        self.stream.writable().await
    }

    /// Reads what has come.
    pub fn try_read(&self, into: &mut [u8]) -> io::Result<usize> {
        uninterrupted(|| self.stream.try_read(into))
    }

    /// Writes what the kernel takes.
    pub fn try_write(&self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        uninterrupted(|| self.stream.try_write_vectored(parts))
    }

    /// Says that nothing more will be written, and reads what still comes until the other side closes.
    /// Closing a socket with unread bytes resets it, and the reset can overtake the answer.
    pub async fn linger(&self) {
        if SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        // Not part of the task, which would be as much larger all its life.
        let mut sink = vec![0; CHUNK];
        while self.stream.readable().await.is_ok() {
            match self.stream.try_read(&mut sink) {
                Ok(0) => return,
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => return,
                _ => {}
            }
        }
    }

    /// The last bytes that came back, on a connection that this node opened.
    pub fn last_heard(&self) -> [u8; 5] {
        self.back.borrow().last
    }

    /// Was what came back one head and a body of this length as it stands, or else chunks up to the last? More
    /// than that would be taken for the answer to the next request.
    pub fn heard_just(&self, body: usize, chunked: bool) -> bool {
        let back = self.back.borrow();
        let came = back.head.left.map(|left| usize::MAX - left);
        if chunked {
            came.is_some() && &back.last == b"0\r\n\r\n"
        } else {
            came == Some(body)
        }
    }

    fn read(&self, came: &[u8]) {
        if !came.is_empty() && !self.heard_any() {
            let is_ahead = !self.whole();
            let mut back = self.back.borrow_mut();
            (back.is_ahead, back.began) = (is_ahead, Some(Instant::now()));
        }
        self.back.borrow_mut().came(came);
        if came.is_empty() || !self.serves.get() {
            return;
        }
        match self.phase.get() {
            Phase::Idle => {
                self.coming(self.spoke.replace(true));
                *self.head.borrow_mut() = Some(Vec::new());
            }
            // What was taken for a part of the next request was none, or its rest has come: its time begins anew, once.
            Phase::Reading if self.came.get() == 0 => {
                self.coming(true);
                *self.head.borrow_mut() = Some(Vec::new());
            }
            Phase::Reading => {}
            Phase::Busy | Phase::Answering => self.ahead.set(true),
        }
        self.came.set(self.came.get() + came.len());
        self.came_at.set(Instant::now());
        let mut last = self.last.get();
        push_last(&mut last, came);
        self.last.set(last);
        if let Some(head) = &mut *self.head.borrow_mut() {
            let room = HEAD_KEPT.saturating_sub(head.len());
            head.extend_from_slice(&came[..came.len().min(room)]);
        }
    }

    /// A request begins to come, the first of its connection or a later one.
    fn coming(&self, later: bool) {
        self.enter(Phase::Reading);
        self.came.set(0);
        self.body.set(None);
        self.uptake.take();
        if later {
            self.due.set(self.since.get() + REQUEST_WITHIN);
        }
    }

    fn took(&self, bytes: &[u8]) {
        self.out.borrow_mut().took(bytes);
        if !bytes.is_empty() {
            self.moved.set(Instant::now());
        }
        if self.whole() {
            if let Some(tell) = self.when_whole.take() {
                tell();
            }
        }
        if self.phase.get() == Phase::Answering && self.whole() {
            // What came ahead is the next request: half of one must not pass for an idle connection.
            if self.ahead.take() {
                self.coming(true);
            } else {
                self.enter(Phase::Idle);
            }
        }
    }
}

/// Makes a call again for as long as a signal interrupts it.
fn uninterrupted(mut call: impl FnMut() -> io::Result<usize>) -> io::Result<usize> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Nothing was read or written, and the connection stands.
fn is_to_be_repeated(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// hyper's side of a watched socket.
pub struct Io(pub Rc<Sock>);

impl Read for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let sock = &self.0;
        let mut chunk = [0; CHUNK];
        let want = buf.remaining().min(CHUNK);
        loop {
            ready!(sock.stream.poll_read_ready(cx))?;
            match sock.stream.try_read(&mut chunk[..want]) {
                Ok(n) => {
                    sock.read(&chunk[..n]);
                    buf.put_slice(&chunk[..n]);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if is_to_be_repeated(&e) => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Write for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let sock = &self.0;
        loop {
            ready!(sock.stream.poll_write_ready(cx))?;
            match sock.stream.try_write(buf) {
                Ok(n) => {
                    sock.took(&buf[..n]);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if is_to_be_repeated(&e) => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sock = &self.0;
        loop {
            ready!(sock.stream.poll_write_ready(cx))?;
            match sock.stream.try_write_vectored(parts) {
                Ok(n) => {
                    let mut left = n;
                    for part in parts {
                        let taken = left.min(part.len());
                        if taken > 0 {
                            sock.took(&part[..taken]);
                        }
                        left -= taken;
                    }
                    return Poll::Ready(Ok(n));
                }
                Err(e) if is_to_be_repeated(&e) => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// Pieces are written from where they are: hyper need not copy bodies into a buffer that each connection keeps.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}
