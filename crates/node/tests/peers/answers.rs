//! Answers of servers in all forms of HTTP/1.1, and what a client sees of them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::{Pieces, Reply, WAIT_TIMEOUT};

/// How long after its client's time a final answer may come before the request counts as lost.
pub const LATE_ANSWER_SLACK: Duration = Duration::from_millis(500);

/// How a response of undeclared length ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    Chunked,
    UpToTheClose,
    Http10,
}

impl Form {
    pub const ALL: [Self; 3] = [Self::Chunked, Self::UpToTheClose, Self::Http10];

    pub fn head(self) -> &'static [u8] {
        match self {
            Self::Chunked => b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            Self::UpToTheClose => b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
            Self::Http10 => b"HTTP/1.0 200 OK\r\n\r\n",
        }
    }

    /// A response that is written in pieces of `piece_bytes` each.
    pub fn response(self, body_bytes: usize, piece_bytes: usize, pause: Duration) -> Reply {
        let mut pieces: Vec<Vec<u8>> =
            body(body_bytes).chunks(piece_bytes).map(|piece| self.framed(piece)).collect();
        pieces[0].splice(0..0, self.head().iter().copied());
        if self == Self::Chunked {
            pieces.last_mut().expect("a piece").extend(b"0\r\n\r\n");
        }
        Reply::Pieces(Pieces { pieces, pause, closes: self != Self::Chunked })
    }

    pub fn framed(self, piece: &[u8]) -> Vec<u8> {
        if self != Self::Chunked {
            return piece.to_vec();
        }
        [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat()
    }
}

/// A body in which a part that is missing or moved shows.
pub fn body(length: usize) -> Vec<u8> {
    (0..length as u32).map(|n| b'a' + ((n.wrapping_mul(2_654_435_761) >> 24) % 26) as u8).collect()
}

/// What a client saw of an answer.
#[derive(Debug)]
pub struct Outcome {
    /// 0 if the connection ended without an answer.
    pub status: u16,
    /// The body, if a client can tell that it is whole.
    pub body: Option<Vec<u8>>,
    /// When the first byte came, after the last byte of the request.
    pub first_byte: Duration,
    /// When the last byte came.
    pub last_byte: Duration,
    /// When the connection ended, or the client gave up reading.
    pub end: Duration,
}

/// The body of a message as far as it came, if it is whole.
fn whole_body(head: &str, mut rest: &[u8]) -> Option<Vec<u8>> {
    if let Some(length) = head.lines().find_map(|line| line.strip_prefix("content-length:")) {
        return (rest.len() == length.trim().parse::<usize>().ok()?).then(|| rest.to_vec());
    }
    let mut body = Vec::new();
    loop {
        let line = rest.windows(2).position(|w| w == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&rest[..line]).ok()?, 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend(rest.get(line + 2..line + 2 + size)?);
        rest = rest.get(line + 4 + size..)?;
    }
}

/// Reads an answer up to the end of its connection, which the request must have asked for.
pub fn read_outcome(stream: &mut TcpStream, sent: Instant) -> Outcome {
    read_outcome_until(stream, sent, sent + WAIT_TIMEOUT)
}

/// The same, for a client that waits until `give_up_at`.
pub fn read_outcome_until(stream: &mut TcpStream, sent: Instant, give_up_at: Instant) -> Outcome {
    let (mut raw, mut first_byte, mut last_byte) = (Vec::new(), None, sent.elapsed());
    let mut buffer = vec![0; 1 << 16];
    loop {
        let left = give_up_at.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left)).expect("a socket");
        let Ok(count @ 1..) = stream.read(&mut buffer) else { break };
        raw.extend(&buffer[..count]);
        last_byte = sent.elapsed();
        first_byte.get_or_insert(last_byte);
        if Instant::now() >= give_up_at {
            break;
        }
    }
    let end = raw.windows(4).position(|w| w == b"\r\n\r\n").unwrap_or(raw.len());
    let head = String::from_utf8_lossy(&raw[..end]).to_lowercase();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let body = whole_body(&head, raw.get(end + 4..).unwrap_or_default());
    let first_byte = first_byte.unwrap_or(last_byte);
    Outcome { status, body, first_byte, last_byte, end: sent.elapsed() }
}

/// Has the answer to a request end its connection.
pub fn closing(text: &str) -> String {
    text.replacen("\r\n", "\r\nConnection: close\r\n", 1)
}

/// Sends a request on a connection of its own and reads its answer.
pub fn ask(node: SocketAddr, text: &str) -> Outcome {
    let mut stream = TcpStream::connect(node).expect("the node listens");
    stream.write_all(closing(text).as_bytes()).expect("the node reads");
    read_outcome(&mut stream, Instant::now())
}
