//! Authenticated datagrams between nodes that share a secret, and a reader of their fields.
//!
//! A datagram has at most [`MAX_DATAGRAM_BYTES`] bytes. Numbers are big-endian. It ends with an HMAC-SHA-256
//! over all preceding bytes, truncated to 16 bytes. The contents, and protection against replays, are left to
//! the caller.
#![warn(missing_docs)]

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

/// The maximum size of a datagram in bytes: small enough to avoid fragmentation on any path.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The size of the authentication tag in bytes.
pub const TAG_BYTES: usize = 16;

/// The secret key shared by all nodes.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// Too short to contain a tag.
    TooShort,
    /// The tag does not match the key and the contents.
    InvalidTag,
}

impl Secret {
    /// Creates a secret from its bytes.
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.to_vec())
    }

    fn mac(&self) -> Hmac<Sha256> {
        // HMAC accepts keys of any length.
        Hmac::<Sha256>::new_from_slice(&self.0)
            .unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length"))
    }

    /// Appends the tag to the contents.
    pub fn seal(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        let mut mac = self.mac();
        mac.update(&bytes);
        bytes.extend(&mac.finalize().into_bytes()[..TAG_BYTES]);
        bytes
    }

    /// Verifies the tag and returns the contents.
    ///
    /// # Errors
    /// If the tag is wrong, or the datagram is too long or too short.
    pub fn open<'a>(&self, bytes: &'a [u8]) -> Result<&'a [u8], OpenError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(OpenError::TooLong);
        }
        let at = bytes.len().checked_sub(TAG_BYTES).ok_or(OpenError::TooShort)?;
        let (contents, tag) = bytes.split_at(at);
        let mut mac = self.mac();
        mac.update(contents);
        mac.verify_truncated_left(tag).map_err(|_| OpenError::InvalidTag)?;
        Ok(contents)
    }
}

/// Hashes byte strings to a number that is the same on all nodes: the first eight bytes of their SHA-256.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut digest = Sha256::new();
    for part in parts {
        // The lengths are hashed too, so that different splits of the same bytes give different numbers.
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    digest.finalize().iter().take(8).fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// Reads fields from the front of a byte slice.
#[derive(Debug)]
pub struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    /// Creates a reader of these bytes.
    pub fn new(bytes: &'a [u8]) -> Self {
        Self(bytes)
    }

    /// Whether all bytes have been read.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Reads the next `n` bytes; `None` if there are fewer.
    pub fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(taken)
    }

    /// Reads a byte.
    pub fn u8(&mut self) -> Option<u8> {
        Some(self.take(1)?[0])
    }

    /// Reads a big-endian `u16`.
    pub fn u16(&mut self) -> Option<u16> {
        Some(u16::from_be_bytes(self.take(2)?.try_into().ok()?))
    }

    /// Reads a big-endian `u32`.
    pub fn u32(&mut self) -> Option<u32> {
        Some(u32::from_be_bytes(self.take(4)?.try_into().ok()?))
    }

    /// Reads a big-endian `u64`.
    pub fn u64(&mut self) -> Option<u64> {
        Some(u64::from_be_bytes(self.take(8)?.try_into().ok()?))
    }

    /// Reads a length byte and that many bytes.
    pub fn length_prefixed(&mut self) -> Option<&'a [u8]> {
        let length = usize::from(self.u8()?);
        self.take(length)
    }

    /// Reads a length byte and that many bytes of UTF-8 text.
    pub fn text(&mut self) -> Option<&'a str> {
        std::str::from_utf8(self.length_prefixed()?).ok()
    }
}

/// Writes a length byte and the bytes, as [`Reader::length_prefixed`] reads them. Bytes beyond the first 255
/// are dropped.
pub fn write_length_prefixed(out: &mut Vec<u8>, bytes: &[u8]) {
    let length = bytes.len().min(usize::from(u8::MAX));
    out.push(length as u8);
    out.extend(&bytes[..length]);
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn only_datagrams_sealed_with_the_same_key_are_opened(
            contents in proptest::collection::vec(any::<u8>(), 0..MAX_DATAGRAM_BYTES - TAG_BYTES),
            at in any::<prop::sample::Index>(),
            bit in 0..8u8,
        ) {
            let (ours, theirs) = (Secret::new(b"ours"), Secret::new(b"theirs"));
            let sealed = ours.seal(contents.clone());
            prop_assert_eq!(ours.open(&sealed), Ok(&contents[..]));
            prop_assert_eq!(theirs.open(&sealed), Err(OpenError::InvalidTag));
            let mut tampered = sealed.clone();
            tampered[at.index(sealed.len())] ^= 1 << bit;
            prop_assert_eq!(ours.open(&tampered), Err(OpenError::InvalidTag));
            prop_assert!(ours.open(&sealed[..sealed.len() - 1]).is_err());
        }
    }

    #[test]
    fn too_short_and_too_long_datagrams_are_rejected() {
        let secret = Secret::new(b"ours");
        assert_eq!(secret.open(&[0; TAG_BYTES - 1]), Err(OpenError::TooShort));
        assert_eq!(secret.open(&[0; MAX_DATAGRAM_BYTES + 1]), Err(OpenError::TooLong));
    }

    #[test]
    fn different_splits_of_the_same_bytes_give_different_numbers() {
        assert_ne!(stable_hash(&[b"ab", b"c"]), stable_hash(&[b"a", b"bc"]));
    }
}
