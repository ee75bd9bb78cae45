//! Splitting of a byte stream into messages.
//!
//! The scanner parses values as their bytes arrive and buffers no more than the maximum message length: an
//! announced length of 4 GB is rejected immediately, and no memory is allocated for bytes that have not
//! arrived. A single message that is too long, but within the limit for skipping, is skipped; its first bytes
//! are kept so that its call can be answered.

use std::fmt;

use bytes::{Buf, Bytes, BytesMut};
use rmp::Marker;

/// Limits on received messages.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum message length in bytes.
    pub longest: usize,
    /// Maximum length in bytes of a message that is skipped; a longer one ends the connection.
    pub skipped: usize,
    /// Maximum nesting depth of values; the message itself is the first level.
    pub depth: usize,
}

impl Default for Bounds {
    /// A message length of 96 KiB, for a body of 64 KiB and its metadata; 1 MiB skipped; 8 levels.
    fn default() -> Self {
        Self { longest: 96 * 1024, skipped: 1024 * 1024, depth: 8 }
    }
}

/// Bytes kept of a message that is too long: enough for its kind and msgid.
const PREFIX_BYTES: usize = 64;

/// One message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A complete value.
    Whole(Bytes),
    /// The first bytes of a message that was too long.
    TooLong(Bytes),
}

/// How much of an incomplete message has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartialMessage {
    /// Number of bytes.
    pub bytes: usize,
    /// Whether a binary value in it has begun: only bodies are binary.
    pub has_begun_body: bool,
}

/// Why the stream cannot be decoded any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// A byte that begins no value (0xc1).
    Reserved,
    /// Values are nested deeper than the limit.
    TooDeep,
    /// A message exceeds the limit for skipping.
    TooLong,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Reserved => "reserved byte 0xc1 where a value was expected",
            Self::TooDeep => "values are nested deeper than the limit",
            Self::TooLong => "a message exceeds the limit for skipped messages",
        })
    }
}

impl std::error::Error for FrameError {}

/// The state of the scanner within a message.
#[derive(Clone, Debug, Default)]
struct Scan {
    /// Number of values still to come at each open level.
    open: Vec<u64>,
    /// Number of payload bytes of the current value still to skip.
    skip_bytes: u64,
    /// The marker whose length field is being read, and the number of bytes missing from the field.
    length: Option<(Marker, u8)>,
    /// The value of the length field as read so far.
    partial_length: u64,
    has_begun: bool,
    /// Whether a binary value has begun.
    has_begun_binary: bool,
}

/// The content that follows a marker byte.
enum MarkerContent {
    /// A number of bytes without structure.
    Payload(u64),
    /// A length field of a number of bytes.
    Length(u8),
    /// A number of nested values.
    Values(u64),
}

fn marker_content(marker: Marker) -> Option<MarkerContent> {
    Some(match marker {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::True | Marker::False => {
            MarkerContent::Payload(0)
        }
        Marker::U8 | Marker::I8 => MarkerContent::Payload(1),
        Marker::U16 | Marker::I16 | Marker::FixExt1 => MarkerContent::Payload(2),
        Marker::FixExt2 => MarkerContent::Payload(3),
        Marker::U32 | Marker::I32 | Marker::F32 => MarkerContent::Payload(4),
        Marker::FixExt4 => MarkerContent::Payload(5),
        Marker::U64 | Marker::I64 | Marker::F64 => MarkerContent::Payload(8),
        Marker::FixExt8 => MarkerContent::Payload(9),
        Marker::FixExt16 => MarkerContent::Payload(17),
        Marker::FixStr(n) => MarkerContent::Payload(u64::from(n)),
        Marker::FixArray(n) => MarkerContent::Values(u64::from(n)),
        Marker::FixMap(n) => MarkerContent::Values(2 * u64::from(n)),
        Marker::Bin8 | Marker::Str8 | Marker::Ext8 => MarkerContent::Length(1),
        Marker::Bin16 | Marker::Str16 | Marker::Ext16 | Marker::Array16 | Marker::Map16 => {
            MarkerContent::Length(2)
        }
        Marker::Bin32 | Marker::Str32 | Marker::Ext32 | Marker::Array32 | Marker::Map32 => {
            MarkerContent::Length(4)
        }
        Marker::Reserved => return None,
    })
}

impl Scan {
    /// Scans `bytes`; returns how many belong to the message, and whether it is complete with them. `room` is
    /// the number of further bytes that the message may have.
    fn scan_bytes(&mut self, bytes: &[u8], depth: usize, room: u64) -> Result<(usize, bool), FrameError> {
        let mut position = 0;
        loop {
            // Announced bytes count immediately, so that the result does not depend on how the stream is
            // split.
            if (position as u64).saturating_add(self.announced()) > room {
                return Err(FrameError::TooLong);
            }
            if self.skip_bytes > 0 {
                let step = self.skip_bytes.min((bytes.len() - position) as u64);
                position += step as usize;
                self.skip_bytes -= step;
                if self.skip_bytes > 0 {
                    return Ok((position, false));
                }
            }
            if self.length.is_none() {
                // A value has ended, or none has begun: remove the levels that are complete.
                while self.open.last() == Some(&0) {
                    self.open.pop();
                }
                if self.has_begun && self.open.is_empty() {
                    *self = Self { open: std::mem::take(&mut self.open), ..Self::default() };
                    return Ok((position, true));
                }
            }
            let Some(byte) = bytes.get(position).copied() else { return Ok((position, false)) };
            position += 1;
            if let Some((marker, missing)) = self.length {
                self.partial_length = self.partial_length << 8 | u64::from(byte);
                self.length = (missing > 1).then_some((marker, missing - 1));
                if self.length.is_none() {
                    let n = std::mem::take(&mut self.partial_length);
                    self.has_begun_binary |= matches!(marker, Marker::Bin8 | Marker::Bin16 | Marker::Bin32);
                    match marker {
                        Marker::Array16 | Marker::Array32 => self.enter_level(n, depth)?,
                        Marker::Map16 | Marker::Map32 => self.enter_level(2 * n, depth)?,
                        // An extension has a type byte before its data.
                        Marker::Ext8 | Marker::Ext16 | Marker::Ext32 => self.skip_bytes = n + 1,
                        _ => self.skip_bytes = n,
                    }
                }
                continue;
            }
            self.has_begun = true;
            if let Some(left) = self.open.last_mut() {
                *left -= 1;
            }
            let marker = Marker::from_u8(byte);
            match marker_content(marker).ok_or(FrameError::Reserved)? {
                MarkerContent::Payload(n) => self.skip_bytes = n,
                MarkerContent::Length(n) => self.length = Some((marker, n)),
                MarkerContent::Values(n) => self.enter_level(n, depth)?,
            }
        }
    }

    fn enter_level(&mut self, values: u64, depth: usize) -> Result<(), FrameError> {
        if self.open.len() >= depth {
            return Err(FrameError::TooDeep);
        }
        self.open.push(values);
        Ok(())
    }

    /// Minimum number of bytes that must still arrive: one for each announced value.
    fn announced(&self) -> u64 {
        self.open.iter().fold(self.skip_bytes, |sum, n| sum.saturating_add(*n))
    }
}

/// Splits a stream into messages.
#[derive(Debug)]
pub struct Frames {
    bounds: Bounds,
    /// Bytes received and not yet returned, beginning with the scanned part of the current message.
    buffer: BytesMut,
    /// Number of bytes of `buffer` that have been scanned.
    scanned: usize,
    /// Length of the current message so far.
    length: usize,
    /// The first bytes of the current message, if it is too long.
    oversized: Option<Bytes>,
    scan: Scan,
    broken: Option<FrameError>,
}

impl Frames {
    /// Creates a splitter at the beginning of a stream.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            buffer: BytesMut::new(),
            scanned: 0,
            length: 0,
            oversized: None,
            scan: Scan::default(),
            broken: None,
        }
    }

    /// Appends received bytes. The buffer then contains at most one message and the bytes pushed since
    /// messages were last polled.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.broken.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Number of buffered bytes.
    pub fn held(&self) -> usize {
        self.buffer.len()
    }

    /// The part of the current message that has been received; `None` between messages.
    pub fn partial_message(&self) -> Option<PartialMessage> {
        let bytes = self.length + self.buffer.len() - self.scanned;
        (bytes > 0).then_some(PartialMessage { bytes, has_begun_body: self.scan.has_begun_binary })
    }

    /// Returns the next message, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// When the stream cannot be decoded any further; later calls return the same error.
    pub fn poll(&mut self) -> Result<Option<Frame>, FrameError> {
        match self.broken {
            Some(error) => Err(error),
            None => self.scan_next().inspect_err(|error| {
                self.broken = Some(*error);
                self.buffer = BytesMut::new();
            }),
        }
    }

    fn scan_next(&mut self) -> Result<Option<Frame>, FrameError> {
        let room = (self.bounds.skipped.max(self.bounds.longest) - self.length) as u64;
        let (taken, is_complete) =
            self.scan.scan_bytes(&self.buffer[self.scanned..], self.bounds.depth, room)?;
        self.scanned += taken;
        self.length += taken;
        if self.oversized.is_none() && self.length > self.bounds.longest {
            self.oversized = Some(Bytes::copy_from_slice(&self.buffer[..PREFIX_BYTES.min(self.scanned)]));
        }
        if self.oversized.is_some() {
            self.buffer.advance(self.scanned);
            self.scanned = 0;
        }
        if !is_complete {
            return Ok(None);
        }
        self.length = 0;
        if let Some(prefix) = self.oversized.take() {
            return Ok(Some(Frame::TooLong(prefix)));
        }
        let message = self.buffer.split_to(self.scanned).freeze();
        self.scanned = 0;
        if self.buffer.is_empty() {
            // The returned bytes share the buffer; a new one is allocated when more bytes arrive.
            self.buffer = BytesMut::new();
        }
        Ok(Some(Frame::Whole(message)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn poll_all(frames: &mut Frames) -> Result<Vec<Frame>, FrameError> {
        let mut out = Vec::new();
        while let Some(frame) = frames.poll()? {
            out.push(frame);
        }
        Ok(out)
    }

    #[test]
    fn a_length_of_four_gigabytes_is_rejected_without_buffering() {
        for marker in [0xc6, 0xdb, 0xc9, 0xdd, 0xdf] {
            let mut frames = Frames::new(Bounds::default());
            frames.push(&[0x94, 0x00, marker, 0xff, 0xff, 0xff, 0xff]);
            assert_eq!(poll_all(&mut frames), Err(FrameError::TooLong), "{marker:x}");
            assert_eq!(frames.held(), 0);
            frames.push(&[0; 1000]);
            assert_eq!((frames.held(), frames.poll()), (0, Err(FrameError::TooLong)));
        }
    }

    #[test]
    fn a_million_levels_are_rejected_at_the_depth_limit() {
        let mut frames = Frames::new(Bounds::default());
        frames.push(&vec![0x91; 1_000_000]);
        assert_eq!(poll_all(&mut frames), Err(FrameError::TooDeep));
        assert!(frames.scan.open.capacity() <= 16);
    }

    #[test]
    fn an_oversized_message_is_skipped_without_being_buffered() {
        let bounds = Bounds { longest: 100, skipped: 10_000, depth: 4 };
        let mut frames = Frames::new(bounds);
        let mut oversized = vec![0x92, 0x07, 0xc5, 0x0f, 0xff];
        oversized.extend_from_slice(&[9; 4095]);
        let mut max_buffered = 0;
        let mut found = Vec::new();
        for piece in [&oversized[..], &[0x05, 0xc0]].concat().chunks(50) {
            frames.push(piece);
            found.extend(poll_all(&mut frames).expect("bounded"));
            max_buffered = max_buffered.max(frames.held());
        }
        let prefix = Bytes::copy_from_slice(&oversized[..PREFIX_BYTES]);
        let complete = |b: &'static [u8]| Frame::Whole(Bytes::from_static(b));
        assert_eq!(found, [Frame::TooLong(prefix), complete(&[0x05]), complete(&[0xc0])]);
        assert!(max_buffered <= 150, "{max_buffered}");
    }

    #[test]
    fn a_partial_message_tells_its_length_and_whether_its_body_has_begun() {
        let bounds = Bounds { longest: 8, skipped: 10_000, depth: 4 };
        // A text and a body, the latter beyond the longest message that is kept; then the next message.
        let message = [&[0x92, 0xa2, b'a', b'b', 0xc4, 20][..], &[0; 20]].concat();
        let mut frames = Frames::new(bounds);
        assert_eq!(frames.partial_message(), None);
        for (n, byte) in message.iter().enumerate() {
            frames.push(&[*byte]);
            let is_complete = frames.poll().expect("bounded").is_some();
            let partial = PartialMessage { bytes: n + 1, has_begun_body: n >= 5 };
            assert_eq!(is_complete, n + 1 == message.len());
            assert_eq!(frames.partial_message(), (!is_complete).then_some(partial));
        }
        frames.push(&message[..2]);
        assert_eq!(frames.poll(), Ok(None));
        assert_eq!(frames.partial_message(), Some(PartialMessage { bytes: 2, has_begun_body: false }));
    }

    #[test]
    fn a_reserved_byte_ends_the_stream_after_the_preceding_message() {
        let mut frames = Frames::new(Bounds::default());
        frames.push(&[0x91, 0x01, 0xc1, 0x02]);
        assert_eq!(frames.poll(), Ok(Some(Frame::Whole(Bytes::from_static(&[0x91, 0x01])))));
        assert_eq!(frames.poll(), Err(FrameError::Reserved));
    }
}
