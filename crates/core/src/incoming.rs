//! Requests as fronts pass them to the core.

use std::fmt;
use std::rc::Rc;

use glenwood_policy::{Millis, PriorAttempt};

/// The decision module's deadline ends this long before the client's, as the answer still has to be written
/// and delivered.
pub const ANSWER_MARGIN: Millis = 20.0;
/// The core answers in place of the decision module this long before the client's deadline.
pub const GUARD_MARGIN: Millis = 9.0;
/// Maximum wait of a client; longer waits are cut to it.
pub const MAX_CLIENT_WAIT: Millis = 600_000.0;

/// The id or the key of a request: 1 to 256 visible ASCII characters.
///
/// The text is shared, not copied: the table, the request and the messages to servers refer to the same
/// allocation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Token(Rc<str>);

/// The text given for a [`Token`] is empty, too long, or has characters that are not visible ASCII.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadToken;

impl fmt::Display for BadToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("1 to 256 visible ASCII characters expected")
    }
}

impl std::error::Error for BadToken {}

impl Token {
    /// Maximum length in characters.
    pub const MAX_LENGTH: usize = 256;

    /// Validates `text` and creates a token.
    ///
    /// # Errors
    /// When it is not 1 to 256 visible ASCII characters.
    pub fn new(text: &str) -> Result<Self, BadToken> {
        let fits = (1..=Self::MAX_LENGTH).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
        if fits {
            Ok(Self(text.into()))
        } else {
            Err(BadToken)
        }
    }

    /// The text of the token.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A request that a front has validated and read.
#[derive(Clone, Debug)]
pub struct Incoming<P> {
    /// Index of the class in the settings.
    pub class: usize,
    /// Index of the tenant in the settings, if the request names a known tenant.
    pub tenant: Option<usize>,
    /// The key; required in a keyed class.
    pub key: Option<Token>,
    /// The id that the client chose.
    pub id: Token,
    /// When the request began to arrive.
    pub began: Millis,
    /// When the client stops waiting.
    pub deadline: Millis,
    /// A value that a client's repeat of this request shares with it; `None` if repeats cannot be recognized.
    pub repeat_key: Option<u64>,
    /// The client's estimate of the work, as time on a standard core.
    pub work: Option<Millis>,
    /// The body is still arriving: the client's time counts from when its last byte may have been written, as
    /// [`crate::Core::body_sent`] reports.
    pub body_pending: bool,
    /// For a request taken over from another node: the attempts that other nodes have made or intended.
    /// Attempts of this node are numbered after them.
    pub prior_attempts: Option<Vec<PriorAttempt>>,
    /// What the backends send; opaque to the core and cloned for each attempt.
    pub payload: P,
}

impl<P> Incoming<P> {
    /// The deadline less a margin, which is at most half of the wait.
    pub(crate) fn before_deadline(&self, margin: Millis) -> Millis {
        let wait = (self.deadline - self.began).clamp(0.0, MAX_CLIENT_WAIT);
        self.began + wait - margin.min(wait / 2.0)
    }
}
