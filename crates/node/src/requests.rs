//! Follows the requests on a client's connection from the bytes that were received: where each ends, and what
//! its head says of its length. hyper's parsed headers can't tell, as it removes a content length that stands
//! beside a transfer coding, and it reads ahead.

use std::collections::VecDeque;

/// How much of a line is kept: names and values that give a length are short.
const MAX_LINE_BYTES: usize = 256;
/// How many requests may be read ahead of the one that is served before they are no longer followed.
const MAX_FOLLOWED_REQUESTS: usize = 1024;

/// What the head of a request says of its body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// How often a content length is given.
    pub lengths: usize,
    /// Whether a transfer coding is given.
    pub has_coding: bool,
    length: usize,
}

/// What is received next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// The first line of a request, or blank lines before it.
    FirstLine,
    /// A further line of the head.
    HeaderLine,
    /// The rest of a body of declared length.
    Body { left: usize },
    /// The line with the size of a chunk.
    ChunkSize,
    /// The rest of a chunk, and of the line end behind it.
    Chunk { left: usize },
    /// A line behind the last chunk.
    Trailer,
    /// What follows can't be told.
    Unknown,
}

/// The requests that were received on a connection and not yet answered.
#[derive(Debug)]
pub struct ReceivedRequests {
    part: Part,
    /// The current line so far, without its end.
    line: Vec<u8>,
    head: RequestHead,
    /// The heads of the requests that were received up to the end of their heads, the earliest first.
    heads: VecDeque<RequestHead>,
}

impl Default for ReceivedRequests {
    fn default() -> Self {
        Self { part: Part::FirstLine, line: Vec::new(), head: RequestHead::default(), heads: VecDeque::new() }
    }
}

impl ReceivedRequests {
    /// The head of the request that is served; `None` if it is not known.
    pub fn current(&self) -> Option<RequestHead> {
        self.heads.front().copied()
    }

    /// The request that is served has been answered.
    pub fn finish_current(&mut self) {
        self.heads.pop_front();
    }

    /// Returns whether bytes were received behind the request that is served, or what was can't be told.
    pub fn has_next(&self) -> bool {
        match (self.heads.len(), self.part) {
            (0, _) | (_, Part::Unknown) => true,
            (1, Part::FirstLine) => !self.line.is_empty(),
            (1, part) => part == Part::HeaderLine,
            _ => true,
        }
    }

    /// Follows received bytes.
    pub fn receive(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.part {
                Part::Unknown => return,
                Part::Body { left } => {
                    let taken = left.min(bytes.len());
                    bytes = &bytes[taken..];
                    self.part = after_body(left - taken);
                }
                Part::Chunk { left } => {
                    let taken = left.min(bytes.len());
                    bytes = &bytes[taken..];
                    self.part =
                        if left > taken { Part::Chunk { left: left - taken } } else { Part::ChunkSize };
                }
                Part::FirstLine | Part::HeaderLine | Part::ChunkSize | Part::Trailer => {
                    let end = bytes.iter().position(|byte| *byte == b'\n');
                    let taken = end.unwrap_or(bytes.len());
                    let room = MAX_LINE_BYTES.saturating_sub(self.line.len());
                    self.line.extend_from_slice(&bytes[..taken.min(room)]);
                    bytes = &bytes[end.map_or(taken, |end| end + 1)..];
                    if end.is_some() {
                        self.end_line();
                    }
                }
            }
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        self.part = match (self.part, line.is_empty()) {
            (Part::FirstLine, true) => Part::FirstLine,
            (Part::FirstLine, false) => {
                self.head = RequestHead::default();
                Part::HeaderLine
            }
            (Part::HeaderLine, false) => {
                self.read_header(line);
                Part::HeaderLine
            }
            (Part::HeaderLine, true) => self.end_head(),
            (Part::ChunkSize, _) => chunk_of(line),
            (Part::Trailer, false) => Part::Trailer,
            (Part::Trailer, true) => Part::FirstLine,
            (part, _) => part,
        };
    }

    fn read_header(&mut self, line: &[u8]) {
        let mut parts = line.splitn(2, |byte| *byte == b':');
        let name = parts.next().unwrap_or_default().trim_ascii();
        let value = parts.next().unwrap_or_default().trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            self.head.lengths += 1;
            self.head.length = decimal(value).unwrap_or(usize::MAX);
        }
        self.head.has_coding |= name.eq_ignore_ascii_case(b"transfer-encoding");
    }

    fn end_head(&mut self) -> Part {
        if self.heads.len() >= MAX_FOLLOWED_REQUESTS {
            return Part::Unknown;
        }
        self.heads.push_back(self.head);
        match self.head {
            RequestHead { lengths: 0, has_coding: true, .. } => Part::ChunkSize,
            RequestHead { lengths: 0, has_coding: false, .. } => Part::FirstLine,
            RequestHead { lengths: 1, has_coding: false, length } if length < usize::MAX => {
                after_body(length)
            }
            _ => Part::Unknown,
        }
    }
}

fn after_body(left: usize) -> Part {
    if left == 0 {
        Part::FirstLine
    } else {
        Part::Body { left }
    }
}

/// What follows the line with the size of a chunk.
fn chunk_of(line: &[u8]) -> Part {
    const LINE_END_BYTES: usize = 2;
    let digits = line.iter().position(|byte| !byte.is_ascii_hexdigit()).unwrap_or(line.len());
    let size =
        std::str::from_utf8(&line[..digits]).ok().and_then(|text| usize::from_str_radix(text, 16).ok());
    match size {
        Some(0) => Part::Trailer,
        Some(size) => size.checked_add(LINE_END_BYTES).map_or(Part::Unknown, |left| Part::Chunk { left }),
        None => Part::Unknown,
    }
}

fn decimal(value: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(value).ok().filter(|text| text.bytes().all(|b| b.is_ascii_digit()))?;
    text.parse().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    const PLAIN: &str = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    const SIZED: &str = "POST /a HTTP/1.1\r\nContent-Length: 6\r\n\r\n\r\n\r\nab";
    const CHUNKED: &str =
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nwork\r\n0\r\nX-End: 1\r\n\r\n";

    fn head(lengths: usize, has_coding: bool, length: usize) -> RequestHead {
        RequestHead { lengths, has_coding, length }
    }

    /// Guards against losing track of where requests end, however their bytes are divided.
    #[test]
    fn requests_are_told_apart_however_their_bytes_come() {
        let text = [PLAIN, SIZED, CHUNKED, "\r\n", SIZED, PLAIN].concat();
        for piece_bytes in [1, 2, 3, 7, 64, text.len()] {
            let mut requests = ReceivedRequests::default();
            text.as_bytes().chunks(piece_bytes).for_each(|piece| requests.receive(piece));
            for expected in
                [head(0, false, 0), head(1, false, 6), head(0, true, 0), head(1, false, 6), head(0, false, 0)]
            {
                let is_last = requests.heads.len() == 1;
                assert_eq!((requests.current(), requests.has_next()), (Some(expected), !is_last));
                requests.finish_current();
            }
            assert_eq!(requests.current(), None);
        }
    }

    /// Guards against taking a request for the last one while a part of another stands behind it.
    #[test]
    fn a_part_of_a_next_request_shows() {
        for text in [PLAIN, SIZED, CHUNKED] {
            for next in ["G", "GET / HTTP/1.1\r\n", "GET / HTTP/1.1\r\nHost: x\r\n"] {
                let mut requests = ReceivedRequests::default();
                requests.receive(text.as_bytes());
                assert!(!requests.has_next(), "{text:?}");
                requests.receive(next.as_bytes());
                assert!(requests.has_next(), "{text:?}, {next:?}");
            }
        }
    }

    /// Guards against following what has two lengths, or none that can be read.
    #[test]
    fn what_follows_an_ambiguous_request_is_unknown() {
        for fields in [
            "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
            "Content-Length: 4\r\ntransfer-encoding : chunked\r\n",
            "Content-Length: 4\r\nContent-Length: 4\r\n",
            "Content-Length: +4\r\n",
        ] {
            let mut requests = ReceivedRequests::default();
            requests.receive(format!("POST /a HTTP/1.1\r\n{fields}\r\nwork").as_bytes());
            assert!(requests.has_next(), "{fields}");
            assert!(requests.current().is_some_and(|head| head.lengths > 0), "{fields}");
        }
    }
}
