//! Versions, and digests that are chained over all changes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::Digest as _;

/// How many bytes of a SHA-256 are kept.
const BYTES: usize = 16;

/// Which state of the configuration. Within an epoch the number goes up by one with each change; a new epoch begins by an operator's
/// word alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// The epoch.
    pub epoch: u64,
    /// The change's number within it.
    pub number: u64,
}

impl Version {
    /// The version that the next change makes.
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
        let bad = || format!("EPOCH.NUMBER expected, not {text:?}");
        let (epoch, number) = text.split_once('.').ok_or_else(bad)?;
        Ok(Self { epoch: epoch.parse().map_err(|_| bad())?, number: number.parse().map_err(|_| bad())? })
    }
}

/// A digest of a change and of all before it.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; BYTES]);

impl Digest {
    /// The digest of some pieces of bytes; where one ends and the next begins makes a difference.
    pub fn of(pieces: &[&[u8]]) -> Self {
        let mut hash = sha2::Sha256::new();
        for piece in pieces {
            hash.update((piece.len() as u64).to_be_bytes());
            hash.update(piece);
        }
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hash.finalize()[..BYTES]);
        Self(bytes)
    }

    /// Its bytes.
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
        let bad = || format!("{} hex digits expected, not {text:?}", 2 * BYTES);
        let fits = text.len() == 2 * BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        fits.then_some(()).ok_or_else(bad)?;
        let mut bytes = [0; BYTES];
        for (place, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * place..2 * place + 2], 16).map_err(|_| bad())?;
        }
        Ok(Self(bytes))
    }
}

/// Writes and reads a type as its text.
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

/// A version and the digest of all that made it: two positions are one only where both are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Position {
    /// The version.
    pub version: Version,
    /// The digest of its change and all before.
    pub digest: Digest,
}
