//! Versions, and the digests that are chained over all changes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::Digest as _;

/// Length of a digest: the first bytes of a SHA-256 hash.
const DIGEST_BYTES: usize = 16;

/// A version of the configuration. Within an epoch, each change increments the number by one. Only an
/// operator can begin a new epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// The epoch.
    pub epoch: u64,
    /// The number of the change within the epoch.
    pub number: u64,
}

impl Version {
    /// The version after the next change of this epoch.
    #[must_use]
    pub fn next(self) -> Self {
        Self { number: self.number + 1, ..self }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

impl FromStr for Version {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let invalid = || format!("EPOCH.NUMBER expected, not {text:?}");
        let (epoch, number) = text.split_once('.').ok_or_else(invalid)?;
        Ok(Self {
            epoch: epoch.parse().map_err(|_| invalid())?,
            number: number.parse().map_err(|_| invalid())?,
        })
    }
}

/// A digest of a change and all changes before it.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of several byte strings. Each is hashed with its length, so the boundaries between
    /// them matter.
    pub fn of(pieces: &[&[u8]]) -> Self {
        let mut hash = sha2::Sha256::new();
        for piece in pieces {
            hash.update((piece.len() as u64).to_be_bytes());
            hash.update(piece);
        }
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Self(bytes)
    }

    /// The bytes of the digest.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl FromStr for Digest {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let invalid = || format!("{} hex digits expected, not {text:?}", 2 * DIGEST_BYTES);
        let is_valid = text.len() == 2 * DIGEST_BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        is_valid.then_some(()).ok_or_else(invalid)?;
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).map_err(|_| invalid())?;
        }
        Ok(Self(bytes))
    }
}

/// Implements serialization and deserialization of a type as its text form.
macro_rules! as_text {
    ($type:ty) => {
        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                to.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                String::deserialize(from)?.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

as_text!(Version);
as_text!(Digest);

/// A version with the digest of all changes up to it. Two positions are equal only if both parts are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Position {
    /// The version.
    pub version: Version,
    /// The digest of the version's change and all changes before it.
    pub digest: Digest,
}
