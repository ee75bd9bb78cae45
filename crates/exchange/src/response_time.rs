//! Response times of servers, and what they say about a response that begins unusually soon.
//!
//! A response can't arrive sooner than the path to the server and back takes. One that begins well before the
//! shortest time in which the server has answered so far, and soon after the response before it, was most
//! likely not caused by the request written last, but is a late second response to an earlier one.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::connection::{PreviousResponse, ResponseMeaning};

/// For how long an observed response time counts: between one and two of these spans.
const OBSERVATION_SPAN: Duration = Duration::from_secs(60);
/// Number of responses from which their shortest time is a bound for further ones.
const MIN_RESPONSES: u32 = 8;
/// Share of the shortest observed time below which a response is implausibly early.
const PLAUSIBLE_SHARE: f64 = 0.75;
/// How long after a response a second one to the same request may arrive.
pub(crate) const MAX_SECOND_RESPONSE_DELAY: Duration = Duration::from_millis(25);
/// Weights of a new sample in the smoothed response time and in its variation, and how many variations a
/// response may take longer than usual (RFC 6298).
const SMOOTHING: f64 = 1.0 / 8.0;
const VARIATION_SMOOTHING: f64 = 1.0 / 4.0;
const MAX_VARIATIONS: f64 = 4.0;

/// The kinds of responses whose times are told apart, as a server takes different times for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The response to a health check.
    HealthCheck,
    /// The request was carried out.
    Served,
    /// The request was carried out, and the response is forwarded while it is being received. A server may
    /// begin such a response before its work is done.
    ServedLong,
    /// The request was refused, or is invalid.
    Unprocessed,
    /// Any other response.
    Failed,
}

/// When a response began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTiming {
    /// Time since the last byte of its request.
    pub after_request: Duration,
    /// Time since the response before it, or since the connection was established.
    pub after_previous: Duration,
    /// The response before it; `None` if it is the first on its connection.
    pub previous: Option<PreviousResponse>,
}

impl ResponseTiming {
    fn follows_long(&self) -> bool {
        self.previous.is_some_and(|previous| previous.is_long)
    }

    fn follows_refusal(&self) -> bool {
        self.previous.is_some_and(|previous| previous.meaning == ResponseMeaning::RefusedUnprocessed)
    }
}

impl From<ResponseMeaning> for ResponseKind {
    fn from(meaning: ResponseMeaning) -> Self {
        match meaning {
            ResponseMeaning::Served => Self::Served,
            ResponseMeaning::RefusedUnprocessed | ResponseMeaning::Rejected => Self::Unprocessed,
            ResponseMeaning::Failed => Self::Failed,
        }
    }
}

/// The shortest of several durations.
#[derive(Clone, Copy, Debug, Default)]
struct Minimum {
    shortest: Option<Duration>,
    count: u32,
}

impl Minimum {
    fn add(&mut self, sample: Duration) {
        self.shortest = Some(self.shortest.map_or(sample, |shortest| shortest.min(sample)));
        self.count = self.count.saturating_add(1);
    }

    fn merge(self, other: Self) -> Self {
        Self {
            shortest: self.shortest.into_iter().chain(other.shortest).min(),
            count: self.count.saturating_add(other.count),
        }
    }

    /// The shortest duration, if enough were observed to take it for a bound.
    fn bound(self) -> Option<Duration> {
        self.shortest.filter(|_| self.count >= MIN_RESPONSES)
    }
}

/// The usual duration of responses and how much it varies.
#[derive(Clone, Copy, Debug)]
struct SmoothedTime {
    mean: Duration,
    variation: Duration,
}

impl SmoothedTime {
    fn first(sample: Duration) -> Self {
        Self { mean: sample, variation: sample / 2 }
    }

    fn add(&mut self, sample: Duration) {
        let deviation = self.mean.abs_diff(sample);
        self.variation =
            self.variation.mul_f64(1.0 - VARIATION_SMOOTHING) + deviation.mul_f64(VARIATION_SMOOTHING);
        self.mean = self.mean.mul_f64(1.0 - SMOOTHING) + sample.mul_f64(SMOOTHING);
    }

    /// The time within which nearly all responses arrive.
    fn upper_bound(self) -> Duration {
        self.mean + self.variation.mul_f64(MAX_VARIATIONS)
    }
}

/// The shortest response times within a span.
#[derive(Clone, Copy, Debug, Default)]
struct ShortestTimes {
    /// Of responses without work.
    immediate: Minimum,
    /// Of requests that were carried out.
    served: Minimum,
    /// Of those with long responses.
    served_long: Minimum,
}

impl ShortestTimes {
    fn add(&mut self, kind: ResponseKind, sample: Duration) {
        let minimum = match kind {
            ResponseKind::Served => &mut self.served,
            ResponseKind::ServedLong => &mut self.served_long,
            // Without any work, so that the path alone bounds the time.
            ResponseKind::HealthCheck | ResponseKind::Unprocessed | ResponseKind::Failed => {
                &mut self.immediate
            }
        };
        minimum.add(sample);
    }

    fn merge(self, other: Self) -> Self {
        Self {
            immediate: self.immediate.merge(other.immediate),
            served: self.served.merge(other.served),
            served_long: self.served_long.merge(other.served_long),
        }
    }

    /// The time that a response of a kind takes at least; `None` if too little is known.
    fn bound(self, kind: ResponseKind) -> Option<Duration> {
        match kind {
            ResponseKind::Served => self.served.bound().or(self.immediate.bound()),
            // Times of other responses say nothing of one that begins before the work is done.
            ResponseKind::ServedLong => self.served_long.bound(),
            ResponseKind::HealthCheck => self.immediate.bound(),
            // While the server was not seen to refuse or to fail anything, the time of work is the only
            // evidence.
            ResponseKind::Unprocessed | ResponseKind::Failed => {
                self.immediate.bound().or(self.served.bound())
            }
        }
    }
}

/// The response times of one server.
#[derive(Clone, Copy, Debug)]
struct ServerTimes {
    /// When the current span of observations began.
    span_start: Instant,
    previous: ShortestTimes,
    current: ShortestTimes,
    /// The usual time of requests that were carried out.
    usual: Option<SmoothedTime>,
    /// The same for long responses.
    usual_long: Option<SmoothedTime>,
}

impl ServerTimes {
    fn new(now: Instant) -> Self {
        Self {
            span_start: now,
            previous: ShortestTimes::default(),
            current: ShortestTimes::default(),
            usual: None,
            usual_long: None,
        }
    }

    /// Begins a new span of observations if the current one is over.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.span_start);
        if elapsed < OBSERVATION_SPAN {
            return;
        }
        let last = std::mem::take(&mut self.current);
        self.previous = if elapsed < 2 * OBSERVATION_SPAN { last } else { ShortestTimes::default() };
        self.span_start = now;
    }
}

/// The response times of all servers. `K` identifies a server.
#[derive(Clone, Debug)]
pub struct ResponseTimes<K> {
    servers: HashMap<K, ServerTimes>,
}

impl<K> Default for ResponseTimes<K> {
    fn default() -> Self {
        Self { servers: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash> ResponseTimes<K> {
    /// Records how long a response that was trusted took, from the last byte of its request to its own first
    /// byte.
    pub fn record(&mut self, now: Instant, server: K, kind: ResponseKind, elapsed: Duration) {
        let times = self.servers.entry(server).or_insert_with(|| ServerTimes::new(now));
        times.advance(now);
        times.current.add(kind, elapsed);
        let usual = match kind {
            ResponseKind::Served => &mut times.usual,
            ResponseKind::ServedLong => &mut times.usual_long,
            ResponseKind::HealthCheck | ResponseKind::Unprocessed | ResponseKind::Failed => return,
        };
        match usual {
            Some(usual) => usual.add(elapsed),
            None => *usual = Some(SmoothedTime::first(elapsed)),
        }
    }

    /// If a response of this kind is implausibly early, or may be a copy of the one before it, returns the
    /// time after its request within which the true response would arrive.
    pub fn true_response_within(
        &self,
        server: K,
        kind: ResponseKind,
        timing: ResponseTiming,
    ) -> Option<Duration> {
        if timing.after_previous > MAX_SECOND_RESPONSE_DELAY {
            return None;
        }
        // A second response to an earlier request is as long as the first one was.
        if kind == ResponseKind::ServedLong && !timing.follows_long() {
            return None;
        }
        let times = self.servers.get(&server)?;
        let shortest = times.current.merge(times.previous).bound(kind);
        let is_early = shortest.is_some_and(|time| timing.after_request < time.mul_f64(PLAUSIBLE_SHARE));
        // A refusal takes no time to tell it from a second copy of the refusal before it.
        let may_be_copy = kind == ResponseKind::Unprocessed && timing.follows_refusal();
        let usual = if kind == ResponseKind::ServedLong { times.usual_long } else { times.usual };
        usual.filter(|_| is_early || may_be_copy).map(SmoothedTime::upper_bound)
    }

    /// Discards the times of a server, as another process has taken its place.
    pub fn forget(&mut self, server: K) {
        self.servers.remove(&server);
    }
}
