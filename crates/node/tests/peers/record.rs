//! Records many requests as clients and servers saw them, and checks the record against the rules.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use super::strays::UnsolicitedSend;
use super::Message;

/// How long after its deadline a request may be answered before it counts as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// By how much the remaining time that a server is given may exceed what its client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// How long after its client left an attempt may still start.
const LEFT_SLACK: Duration = Duration::from_millis(100);
/// How long new requests may still go to a server after the node must know that it drains.
pub const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// How long a process may be paused before a write.
pub const MAX_PAUSE: Duration = Duration::from_millis(150);
/// Delay allowed to the clients, servers and threads of the test itself, on a busy machine.
const MIN_TEST_DELAY: Duration = Duration::from_millis(100);

/// The outcome of a request for its client.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    /// It got a final response. `is_own`: the body is the one that a server sends for this request.
    Answered { status: u16, at: Instant, is_own: bool },
    /// Its connection ended before the response.
    Closed { at: Instant, node_stops: bool },
    /// Its client disconnected.
    Left { at: Instant },
}

impl Outcome {
    /// The outcome of a request that ended just now: with this response, or without one if its connection
    /// closed first.
    pub fn from_response(answer: Option<&Message>, id: &str, node_stops: bool) -> Self {
        let at = Instant::now();
        match answer {
            Some(answer) => {
                Self::Answered { status: answer.status(), at, is_own: answer.body == id.as_bytes() }
            }
            None => Self::Closed { at, node_stops },
        }
    }
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub id: String,
    pub class: &'static str,
    pub at: Instant,
    pub remaining: Duration,
    pub node: SocketAddr,
    pub end: Outcome,
}

/// An attempt as a server saw it: a request that it received completely.
#[derive(Clone, Debug)]
pub struct ServerAttempt {
    pub id: String,
    pub server: usize,
    /// The node's address of the connection, where the server records it.
    pub peer: Option<SocketAddr>,
    /// Servers of one cell share their memory of idempotency keys.
    pub cell: u64,
    pub at: Instant,
    /// The remaining time that the server was given.
    pub time_given: Duration,
    /// Whether the server executes the request; otherwise it rejected it.
    pub is_executed: bool,
    /// How long, by then, the node has had to know that the server drains; `None` if it need not know.
    pub drains_for: Option<Duration>,
}

/// A pause of a node's process.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    pub node: SocketAddr,
    pub from: Instant,
    pub until: Instant,
}

impl Pause {
    /// By how much a pause within that time exceeds [`MAX_PAUSE`]: the test was late to continue the process.
    fn excess(&self, node: SocketAddr, from: Instant, until: Instant) -> Duration {
        if self.node != node || self.until < from || until < self.from {
            return Duration::ZERO;
        }
        (self.until - self.from).saturating_sub(MAX_PAUSE)
    }
}

/// The rules that a request may violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Every request gets one final response before its deadline.
    Lost,
    /// No client is served a response that no server produced for its request.
    Foreign,
    /// No request is executed more often than its class allows.
    Duplicate,
    /// A request that may have run is not rejected as one that has not.
    Refused,
    /// A draining server gets no new requests after the grace.
    Drain,
    /// No server is given more time than the client has left.
    Deadline,
    /// No attempt starts for a client that has disconnected.
    Left,
}

impl Rule {
    /// Whether a response that answered another request than its own can break the rule.
    pub fn depends_on_attribution(self) -> bool {
        matches!(self, Self::Foreign | Self::Duplicate | Self::Refused)
    }
}

/// A violation of a rule by a request.
#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub id: String,
    pub node: SocketAddr,
    /// When the request ended.
    pub ended_at: Instant,
    details: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: request {} at {}: {}", self.rule, self.id, self.node, self.details)
    }
}

/// The load that a newly started server may get, according to the settings.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    pub server: usize,
    pub at: Instant,
    /// The largest load within `window`, as a multiple of its current capacity.
    pub max_multiple: f64,
    pub window: Duration,
    /// The share of its capacity that it has at its start, and the time until it has all of it.
    pub cold_share: f64,
    pub warm_within: Duration,
}

impl SlowStart {
    /// The share of its capacity that it has at that time.
    fn capacity_share(&self, at: Instant) -> f64 {
        let part = at.saturating_duration_since(self.at).as_secs_f64() / self.warm_within.as_secs_f64();
        (self.cold_share + (1.0 - self.cold_share) * part).min(1.0)
    }
}

/// All requests and attempts of a run.
#[derive(Default)]
pub struct Record {
    requests: Mutex<Vec<ClientRequest>>,
    attempts: Mutex<Vec<ServerAttempt>>,
    pauses: Mutex<Vec<Pause>>,
    unsolicited: Mutex<Vec<UnsolicitedSend>>,
    measured_delay: Mutex<Duration>,
}

impl Record {
    /// Sets the delay of the test itself, as measured.
    pub fn set_test_delay(&self, delay: Duration) {
        *self.measured_delay.lock().expect("mutex poisoned") = delay;
    }

    /// The delay allowed to the test itself.
    pub fn test_delay(&self) -> Duration {
        MIN_TEST_DELAY.max(*self.measured_delay.lock().expect("mutex poisoned"))
    }

    pub fn add_request(&self, request: ClientRequest) {
        self.requests.lock().expect("mutex poisoned").push(request);
    }

    pub fn add_attempt(&self, received: ServerAttempt) {
        self.attempts.lock().expect("mutex poisoned").push(received);
    }

    /// All attempts.
    pub fn all_attempts(&self) -> Vec<ServerAttempt> {
        self.attempts.lock().expect("mutex poisoned").clone()
    }

    pub fn add_unsolicited(&self, sent: UnsolicitedSend) {
        self.unsolicited.lock().expect("mutex poisoned").push(sent);
    }

    /// All responses that no request asked for.
    pub fn all_unsolicited(&self) -> Vec<UnsolicitedSend> {
        self.unsolicited.lock().expect("mutex poisoned").clone()
    }

    pub fn add_pause(&self, pause: Pause) {
        self.pauses.lock().expect("mutex poisoned").push(pause);
    }

    /// The number of requests, and of those that were served.
    pub fn counts(&self) -> (usize, usize) {
        let requests = self.requests.lock().expect("mutex poisoned");
        let is_served =
            |request: &&ClientRequest| matches!(request.end, Outcome::Answered { status: 200, .. });
        (requests.len(), requests.iter().filter(is_served).count())
    }

    /// Describes the first window in which a newly started server got more requests than it may. Its full
    /// capacity is taken to be the mean number of requests that the other servers got in the same window.
    pub fn find_overload(&self, start: SlowStart, servers: usize) -> Option<String> {
        let attempts = self.attempts.lock().expect("mutex poisoned");
        let to_cold: Vec<&ServerAttempt> =
            attempts.iter().filter(|s| s.server == start.server && s.at >= start.at).collect();
        to_cold.iter().find_map(|last| {
            let in_window = |s: &ServerAttempt| s.at <= last.at && last.at - s.at < start.window;
            let count = to_cold.iter().filter(|s| in_window(s)).count() as f64;
            let others = attempts.iter().filter(|s| s.server != start.server && in_window(s)).count();
            let mean = others as f64 / (servers - 1) as f64;
            let allowed = start.max_multiple * start.capacity_share(last.at) * mean;
            let limit = if allowed < 30.0 {
                allowed + 3.0 * allowed.sqrt() + 3.0
            } else {
                allowed + 2.0 * allowed.sqrt() + 2.0
            };
            let description = || {
                format!(
                    "server {} got {count} requests within {:?}, {:?} after its start; its limit is {limit:.1}",
                    start.server,
                    start.window,
                    last.at - start.at
                )
            };
            (count > limit).then(description)
        })
    }

    /// All violations. `is_accepted` tells whether a node has accepted a request of that id.
    pub fn violations(&self, is_accepted: impl Fn(SocketAddr, &str) -> bool) -> Vec<Violation> {
        let mut by_id: HashMap<String, Vec<ServerAttempt>> = HashMap::new();
        for attempt in self.attempts.lock().expect("mutex poisoned").iter() {
            by_id.entry(attempt.id.clone()).or_default().push(attempt.clone());
        }
        let requests = self.requests.lock().expect("mutex poisoned");
        let pauses = self.pauses.lock().expect("mutex poisoned");
        let delay = self.test_delay();
        let violations_of = |request: &ClientRequest| {
            let attempts = by_id.get(&request.id).map_or(&[][..], Vec::as_slice);
            let is_accepted = || !attempts.is_empty() || is_accepted(request.node, &request.id);
            let of_response =
                check_lost(request, delay, is_accepted).into_iter().chain(check_response(request, attempts));
            of_response.chain(check_attempts(request, attempts, &pauses, delay)).collect::<Vec<_>>()
        };
        requests.iter().flat_map(violations_of).collect()
    }
}

fn failure(request: &ClientRequest, rule: Rule, details: String) -> Violation {
    let ended_at = match request.end {
        Outcome::Answered { at, .. } | Outcome::Closed { at, .. } | Outcome::Left { at } => at,
    };
    Violation { rule, id: request.id.clone(), node: request.node, ended_at, details }
}

/// Checks that a request got a response in time.
fn check_lost(request: &ClientRequest, delay: Duration, is_accepted: impl Fn() -> bool) -> Option<Violation> {
    let time_limit = request.remaining + ANSWER_SLACK + delay;
    let details = match request.end {
        Outcome::Answered { at, status, .. } if at - request.at > time_limit => {
            format!("answered with {status} after {:?} of {:?}", at - request.at, request.remaining)
        }
        // A node that stops closes idle connections, and a request may be on its way then: it counts as lost
        // only if the node accepted it.
        Outcome::Closed { at, node_stops } if !node_stops || is_accepted() => {
            format!(
                "closed after {:?} of {:?}, the node stops: {node_stops}",
                at - request.at,
                request.remaining
            )
        }
        _ => return None,
    };
    Some(failure(request, Rule::Lost, details))
}

/// The class that may be rejected even if it has run.
const SAFE_CLASS: &str = "look";

/// Checks the response.
fn check_response(request: &ClientRequest, attempts: &[ServerAttempt]) -> Option<Violation> {
    let Outcome::Answered { status, at, is_own } = request.end else { return None };
    let after = at - request.at;
    match status {
        200 if !is_own => Some(failure(request, Rule::Foreign, format!("after {after:?} {}", request.class))),
        429 | 503 if request.class != SAFE_CLASS && attempts.iter().any(|attempt| attempt.is_executed) => {
            Some(failure(
                request,
                Rule::Refused,
                format!("{status} after {after:?}, {}: {attempts:?}", request.class),
            ))
        }
        _ => None,
    }
}

/// Checks the attempts of a request.
fn check_attempts(
    request: &ClientRequest,
    attempts: &[ServerAttempt],
    pauses: &[Pause],
    delay: Duration,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut add = |rule, details| violations.push(failure(request, rule, details));
    let executed: Vec<&ServerAttempt> = attempts.iter().filter(|attempt| attempt.is_executed).collect();
    let in_several_cells = executed.iter().any(|attempt| attempt.cell != executed[0].cell);
    if (request.class == "slip" && executed.len() > 1) || (request.class == "pay" && in_several_cells) {
        add(Rule::Duplicate, format!("{} attempts of {}: {attempts:?}", attempts.len(), request.class));
    }
    for attempt in attempts {
        let after = attempt.at.saturating_duration_since(request.at);
        if attempt.drains_for.is_some_and(|span| span > DRAIN_GRACE + delay) {
            add(
                Rule::Drain,
                format!("to server {} that drained for {:?}", attempt.server, attempt.drains_for),
            );
        }
        let excess: Duration =
            pauses.iter().map(|pause| pause.excess(request.node, request.at, attempt.at)).sum();
        if attempt.time_given + after > request.remaining + DEADLINE_SLACK + delay + excess {
            let left = request.remaining.saturating_sub(after);
            add(
                Rule::Deadline,
                format!("server {} was given {:?} of {left:?}", attempt.server, attempt.time_given),
            );
        }
        if let Outcome::Left { at } = request.end {
            let since = attempt.at.saturating_duration_since(at);
            if since > LEFT_SLACK + MAX_PAUSE + delay {
                add(Rule::Left, format!("to server {} {since:?} after its client left", attempt.server));
            }
        }
    }
    violations
}
