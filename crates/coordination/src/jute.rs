//! Jute's primitive types: big-endian numbers, length-prefixed buffers and strings, count-prefixed vectors.

use std::fmt;

use bytes::{Buf, Bytes};

/// Why a record can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JuteError {
    /// The record ends too early.
    Truncated,
    /// A length or count is negative, or exceeds the remaining bytes.
    InvalidLength,
    /// A string is not valid UTF-8.
    InvalidUtf8,
    /// A number has no meaning in its place, such as an unknown operation.
    UnknownValue(i32),
    /// There are bytes after the end of the record.
    TrailingBytes,
}

impl fmt::Display for JuteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated => f.write_str("the record ends too early"),
            Self::InvalidLength => f.write_str("a length or count is negative or exceeds the record"),
            Self::InvalidUtf8 => f.write_str("a string is not valid UTF-8"),
            Self::UnknownValue(n) => write!(f, "unknown value {n}"),
            Self::TrailingBytes => f.write_str("unexpected bytes after the end of the record"),
        }
    }
}

impl std::error::Error for JuteError {}

/// Reads a record from its beginning. A length is checked against the remaining bytes before memory is
/// allocated for it.
#[derive(Clone, Debug)]
pub struct Reader {
    unread: Bytes,
}

impl Reader {
    /// Creates a reader of this record.
    pub fn new(record: Bytes) -> Self {
        Self { unread: record }
    }

    /// Number of bytes not read yet.
    pub fn remaining(&self) -> usize {
        self.unread.len()
    }

    fn check_remaining(&self, bytes: usize) -> Result<(), JuteError> {
        if self.unread.len() < bytes {
            Err(JuteError::Truncated)
        } else {
            Ok(())
        }
    }

    /// Reads an `int`.
    ///
    /// # Errors
    /// [`JuteError::Truncated`].
    pub fn int(&mut self) -> Result<i32, JuteError> {
        self.check_remaining(4)?;
        Ok(self.unread.get_i32())
    }

    /// Reads a `long`.
    ///
    /// # Errors
    /// [`JuteError::Truncated`].
    pub fn long(&mut self) -> Result<i64, JuteError> {
        self.check_remaining(8)?;
        Ok(self.unread.get_i64())
    }

    /// Reads a `boolean`: 0 or 1.
    ///
    /// # Errors
    /// [`JuteError::Truncated`], or [`JuteError::UnknownValue`] for any other byte.
    pub fn boolean(&mut self) -> Result<bool, JuteError> {
        self.check_remaining(1)?;
        match self.unread.get_u8() {
            0 => Ok(false),
            1 => Ok(true),
            other => Err(JuteError::UnknownValue(i32::from(other))),
        }
    }

    /// Reads a `buffer`; a length of -1 means null and is read as empty.
    ///
    /// # Errors
    /// [`JuteError::Truncated`], [`JuteError::InvalidLength`].
    pub fn buffer(&mut self) -> Result<Bytes, JuteError> {
        let length = match self.int()? {
            -1 => return Ok(Bytes::new()),
            n => usize::try_from(n).map_err(|_| JuteError::InvalidLength)?,
        };
        if length > self.unread.len() {
            return Err(JuteError::InvalidLength);
        }
        Ok(self.unread.split_to(length))
    }

    /// Reads a `ustring`; a length of -1 means null and is read as empty.
    ///
    /// # Errors
    /// [`JuteError::Truncated`], [`JuteError::InvalidLength`], [`JuteError::InvalidUtf8`].
    pub fn string(&mut self) -> Result<String, JuteError> {
        let bytes = self.buffer()?;
        std::str::from_utf8(&bytes).map(str::to_string).map_err(|_| JuteError::InvalidUtf8)
    }

    /// Reads a `vector` whose elements `item` reads; a count of -1 means null and is read as empty.
    ///
    /// # Errors
    /// [`JuteError::Truncated`], [`JuteError::InvalidLength`] if the remaining bytes can't hold that many, or
    /// an error of `item`.
    pub fn vector<T>(
        &mut self,
        mut item: impl FnMut(&mut Self) -> Result<T, JuteError>,
    ) -> Result<Vec<T>, JuteError> {
        let count = match self.int()? {
            -1 => return Ok(Vec::new()),
            n => usize::try_from(n).map_err(|_| JuteError::InvalidLength)?,
        };
        // The smallest element takes four bytes.
        if count > self.unread.len() / 4 {
            return Err(JuteError::InvalidLength);
        }
        (0..count).map(|_| item(self)).collect()
    }

    /// Checks that the record has been read to its end.
    ///
    /// # Errors
    /// [`JuteError::TrailingBytes`] if bytes are left.
    pub fn expect_end(&self) -> Result<(), JuteError> {
        if self.unread.is_empty() {
            Ok(())
        } else {
            Err(JuteError::TrailingBytes)
        }
    }
}

/// Builds a record.
#[derive(Clone, Debug, Default)]
pub struct Writer {
    out: Vec<u8>,
}

impl Writer {
    /// Appends an `int`.
    pub fn int(&mut self, n: i32) -> &mut Self {
        self.out.extend_from_slice(&n.to_be_bytes());
        self
    }

    /// Appends a `long`.
    pub fn long(&mut self, n: i64) -> &mut Self {
        self.out.extend_from_slice(&n.to_be_bytes());
        self
    }

    /// Appends a `boolean`.
    pub fn boolean(&mut self, value: bool) -> &mut Self {
        self.out.push(u8::from(value));
        self
    }

    /// Appends a `buffer`, truncated to 2 GiB less one byte; no frame may be that long.
    pub fn buffer(&mut self, bytes: &[u8]) -> &mut Self {
        let length = bytes.len().min(i32::MAX as usize);
        self.int(length as i32);
        self.out.extend_from_slice(&bytes[..length]);
        self
    }

    /// Appends a `ustring`.
    pub fn string(&mut self, value: &str) -> &mut Self {
        self.buffer(value.as_bytes())
    }

    /// Appends a `vector`; `item` writes each element.
    pub fn vector<T>(&mut self, items: &[T], mut item: impl FnMut(&mut Self, &T)) -> &mut Self {
        self.int(items.len().min(i32::MAX as usize) as i32);
        for i in items {
            item(self, i);
        }
        self
    }

    /// Returns the finished record.
    pub fn finish(self) -> Vec<u8> {
        self.out
    }
}
