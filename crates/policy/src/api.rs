//! The interface of the decision module: settings, events and actions. All times are in milliseconds.

use std::fmt;

/// A point in time or a duration, in milliseconds. The clock may start at any value but never runs
/// backwards.
pub type Millis = f64;

/// Identifies a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// Identifies a client request; never reused while a node runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The servers that recognize and drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// It may run any number of times.
    Safe,
    /// Repeats are dropped by the servers of one group, for `memory` after the first send.
    Keyed {
        /// The servers that share their memory of keys.
        group: Group,
        /// How long they remember a key.
        memory: Millis,
    },
    /// It must never run again.
    Unsafe,
}

/// A class of requests with the same value and timing.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time has its full worth.
    pub target_latency: Millis,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Share of the worth that a later answer still has, from 0 to 1.
    pub late_worth: f64,
    /// Total time that a client waits, over all its tries; infinite if unknown.
    pub client_timeout: Millis,
    /// Whether a request may run more than once.
    pub effect: Effect,
}

/// A tenant and its share of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within its share, over all nodes.
    pub quota_per_s: f64,
}

/// The operators' goal: the weights of its parts.
#[derive(Clone, Debug, Default)]
pub struct Goal {
    /// Weight of the worth served, overall and in the worst period.
    pub worth: f64,
    /// Weight of the class that is served worst.
    pub worst_class: f64,
    /// Weight of the tenant that is served worst, within its share.
    pub worst_tenant: f64,
}

/// Limits that the deployment sets.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of attempts of one request.
    pub attempts: usize,
    /// Whether two attempts of a request may be in flight at the same time.
    pub second_copies: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether servers may be probed.
    pub probes: bool,
    /// Time after which opening a connection has failed.
    pub connect_timeout: Millis,
    /// Longest time that a refused client can be asked to stay away; 0 if it can't be asked.
    pub max_retry_after: Millis,
}

/// The parameters of the four rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// If the list has to be requested: the longest time that a node may go without a request.
    pub max_call_interval: Millis,
    /// Share of its capacity that a server has at least when it starts.
    pub cold_capacity_share: f64,
    /// Time after its start by which it has its full capacity.
    pub warm_up_time: Millis,
    /// A cold server fails when it is sent more than this many times its present capacity ...
    pub overload_factor: f64,
    /// ... over a window of this length.
    pub overload_window: Millis,
}

/// How a call to discovery failed, or a subscription ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListFailure {
    /// No answer began. For an established subscription this is its end.
    Unanswered,
    /// No connection to discovery could be established.
    Unreachable,
    /// The call could not be made for a reason on this machine, which shows nothing of discovery.
    NotSent,
    /// An answer had begun that can't be read to its end: discovery is running and not overloaded.
    Unreadable,
    /// An established subscription ended, perhaps with a change that was being sent: such a change counts
    /// as notified.
    Ended,
    /// An established subscription went silent.
    Silent {
        /// Time within which discovery has to be called again, as missed changes count as notified then.
        told_in: Millis,
    },
}

/// What a failed call shows of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallVerdict {
    /// It could not be reached when the call began, or does not work.
    Unreachable,
    /// It could be reached, but did not answer in time.
    Overloaded,
}

/// How changes of the list reach the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// They are pushed without a request.
    Pushed,
    /// They are sent once the node has subscribed or asked.
    Asked,
}

/// What the listed weights mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// Nothing; they are ignored.
    None,
    /// The size of the server, exact or nearly so.
    Listed,
    /// The size divided by one plus the number of requests per core a while ago.
    Live,
}

/// The settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's own number, counted from 0.
    pub node_index: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// The request classes; events refer to them by index.
    pub classes: Vec<Class>,
    /// The tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Whether worth counts per unit of a request's work instead of per request.
    pub by_work: bool,
    /// Worth of a request beyond its tenant's share, as a share of its class's worth.
    pub over_share_worth: f64,
    /// The weights of the operators' goal.
    pub goal: Goal,
    /// Limits that the deployment sets.
    pub limits: Limits,
    /// The parameters of the four rules.
    pub rules: Rules,
    /// How the list reaches the node.
    pub discovery: Discovery,
    /// What the listed weights mean.
    pub weights: Weights,
    /// Shortest interval between two events.
    pub min_event_interval: Millis,
}

/// Says which setting is invalid and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bad settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that the settings are valid.
    ///
    /// # Errors
    /// Names the first invalid field and its bound: no classes, a time or amount that is negative or not
    /// finite, an own number that is not below the number of nodes, a share outside 0 to 1.
    pub fn check(&self) -> Result<(), SettingsError> {
        let invalid = |message: String| Err(SettingsError(message));
        if self.classes.is_empty() {
            return invalid("classes: no classes, at least one is required".into());
        }
        if self.node_index >= self.nodes {
            return invalid("number: own number must be below the number of nodes".into());
        }
        if self.limits.attempts == 0 {
            return invalid("limits.attempts: no attempts allowed, at least one is required".into());
        }
        let (l, r, g) = (&self.limits, &self.rules, &self.goal);
        let mut amounts = vec![
            ("limits.connect_timeout".to_string(), l.connect_timeout),
            ("limits.max_retry_after".into(), l.max_retry_after),
            ("rules.ask_within".into(), r.max_call_interval),
            ("rules.warm_within".into(), r.warm_up_time),
            ("rules.fall_multiple".into(), r.overload_factor),
            ("rules.fall_window".into(), r.overload_window),
            ("tick".into(), self.min_event_interval),
            ("goal.worth".into(), g.worth),
            ("goal.worst_class".into(), g.worst_class),
            ("goal.worst_tenant".into(), g.worst_tenant),
        ];
        let mut shares = vec![
            ("rules.cold_share".to_string(), r.cold_capacity_share),
            ("over_share_worth".into(), self.over_share_worth),
        ];
        for (n, class) in self.classes.iter().enumerate() {
            amounts.push((format!("classes[{n}].aim"), class.target_latency));
            amounts.push((format!("classes[{n}].worth"), class.worth));
            if let Effect::Keyed { memory, .. } = class.effect {
                amounts.push((format!("classes[{n}].effect.memory"), memory));
            }
            shares.push((format!("classes[{n}].late_worth"), class.late_worth));
            if class.client_timeout.is_nan() || class.client_timeout < 0.0 {
                return invalid(format!(
                    "classes[{n}].patience: {} is negative or not a number",
                    class.client_timeout
                ));
            }
            if class.target_latency <= 0.0 {
                return invalid(format!("classes[{n}].aim: must be greater than 0"));
            }
        }
        for (n, tenant) in self.tenants.iter().enumerate() {
            amounts.push((format!("tenants[{n}].quota_per_s"), tenant.quota_per_s));
        }
        if let Some((name, value)) = amounts.iter().find(|(_, v)| !v.is_finite() || *v < 0.0) {
            return invalid(format!("{name}: {value} is negative or not finite"));
        }
        if let Some((name, value)) = shares.iter().find(|(_, v)| !(0.0..=1.0).contains(v)) {
            return invalid(format!("{name}: {value} is a share outside the range 0 to 1"));
        }
        Ok(())
    }
}

/// State of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// In service.
    Up,
    /// Finishing its work; it gets no new requests.
    Draining,
    /// No longer listed.
    Gone,
}

/// One entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The server.
    pub server: ServerId,
    /// Number of its zone.
    pub zone: u64,
    /// Number of its cell, whose servers share their memory of keys.
    pub cell: u64,
    /// Number of its kind of machine.
    pub kind: u64,
    /// Its state.
    pub state: Listed,
    /// Its weight relative to the other servers; see [`Weights`].
    pub weight: f64,
    /// When it last started; `None` if that is long ago.
    pub started_at: Option<Millis>,
}

/// A tenant that is new or has another share.
#[derive(Clone, Debug)]
pub struct TenantChange {
    /// Its index: an existing one, or the next one.
    pub index: usize,
    /// The tenant's new settings.
    pub tenant: Tenant,
    /// Whether it is a new tenant, so that the counts kept at that index are reset.
    pub is_new: bool,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Done,
    /// Answered with an error; it may have run.
    Error,
    /// Turned away before it ran.
    Full,
    /// No answer in time; it may have run, or may still run.
    TimedOut,
    /// Lost with its connection, which shows nothing more of its server; it may have run. Either no byte
    /// came in time on a kept connection while the server answered what was sent later, or several attempts
    /// were open on a connection that broke, and the end of another one reports that.
    Unheard,
    /// The connection could not be opened; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The server rejects the request as invalid, and its client has been informed.
    Rejected,
}

impl Outcome {
    /// Whether this outcome proves that the request never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::NotSent)
    }
}

/// An attempt that another node made, or intended to make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorAttempt {
    /// The server it was sent to.
    pub server: ServerId,
    /// That server's zone.
    pub zone: u64,
    /// That server's cell.
    pub cell: u64,
    /// When it was sent, by this node's clock.
    pub sent: Millis,
    /// How it ended; `Unheard` if that is not known.
    pub outcome: Outcome,
}

/// Input of the decision module.
#[derive(Clone, Debug)]
pub enum Event {
    /// The full list; servers that it does not contain are gone.
    List {
        /// Its entries.
        entries: Vec<Entry>,
        /// Whether this is a copy saved before a restart: it may be out of date, and is no answer to a
        /// call.
        saved: bool,
    },
    /// The entries that changed, from the source that was called.
    ListChange(Vec<Entry>),
    /// Changed entries from another source than the one that was called, so no answer to a call.
    ListChangeElsewhere(Vec<Entry>),
    /// The answer to a call has begun; its delay shows how busy discovery is.
    ListAnswerStarted,
    /// The established subscription has reported that nothing has changed. If such reports stay away, the
    /// list ages even while the subscription seems to be established.
    ListHeartbeat,
    /// A call failed, or the subscription ended.
    ListFailed(ListFailure),
    /// The address of discovery has changed: calls made so far are void.
    DiscoveryMoved,
    /// New settings, which apply from now on, also to attempts of open requests. Only the effect of a class
    /// is kept by each request as it was when it arrived. How the list arrives does not change.
    Settings {
        /// The settings. Classes and tenants that stay keep their index.
        settings: Box<Settings>,
        /// Which classes are reset, by index: those that replaced another one, and new ones at the end.
        classes: Vec<bool>,
        /// The same for tenants.
        tenants: Vec<bool>,
    },
    /// Some tenants have changed, and nothing else.
    Tenants(Vec<TenantChange>),
    /// A client's request has arrived and has to get one final answer.
    Request {
        /// The request.
        id: RequestId,
        /// Index of its class in the settings.
        class: usize,
        /// Index of its tenant, if it has one.
        tenant: Option<usize>,
        /// When the client gives up. If the client of a refused request counts its time from the first try,
        /// a repeat has less time left than a new request, and is treated as being as old as the first try.
        deadline: Millis,
        /// A hash of the request's key, or of its content and sender, that a client's repeat shares with
        /// the original and hardly any other request has. `None` if repeats can't be recognized.
        repeat_key: Option<u64>,
        /// The client's estimate of its work, as time on a standard core; `None` if it gives none.
        work: Option<Millis>,
        /// Whether it is within its tenant's share, if that is counted over all nodes; `None` if this node
        /// counts its own part. Ignored for a repeat.
        in_share: Option<bool>,
        /// If it was taken over from another node: the attempts that others made or intended to make. They
        /// count as its own attempts, and the request counts as a retry.
        prior_attempts: Option<Vec<PriorAttempt>>,
    },
    /// The body of this request is being sent and can't be sent again, so no other attempt can be made.
    BodySent(RequestId),
    /// A streamed answer has begun, so the client is bound to this attempt.
    Streaming {
        /// The request.
        id: RequestId,
        /// The attempt's number, counted from 0.
        attempt: usize,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        id: RequestId,
        /// The attempt's number, counted from 0.
        attempt: usize,
        /// The server it was sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        duration: Millis,
        /// Whether the client has its final answer.
        finished: bool,
    },
    /// An attempt is about to end at the node while its server can't be stopped and keeps running it:
    /// it counts as in flight there until [`Event::AttemptFinishedAtServer`]. Its [`Event::Ended`] follows,
    /// and rule 2 goes by that.
    AttemptRunsOn {
        /// The request.
        id: RequestId,
        /// The attempt's number, counted from 0.
        attempt: usize,
        /// The server it was sent to.
        server: ServerId,
    },
    /// The server has finished, or lost, an attempt that ran on.
    AttemptFinishedAtServer {
        /// The request, which may be over already.
        id: RequestId,
        /// The attempt's number, counted from 0.
        attempt: usize,
        /// The server it was sent to.
        server: ServerId,
    },
    /// A probe ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        duration: Millis,
    },
    /// A server has answered an attempt or a probe on a connection that was opened at `opened_at`, so it is
    /// still the same process as then. Comes before the event of the answer itself.
    ConnectionAnswered {
        /// The server.
        server: ServerId,
        /// When the connection was opened.
        opened_at: Millis,
    },
    /// The client disconnected and needs no answer any more.
    ClientGone(RequestId),
    /// No client waits for the request any more, but the result of its attempts in flight is still wanted: no
    /// further attempt is made.
    ClientDetached(RequestId),
    /// A client waits again for a request without one.
    ClientAttached(RequestId),
    /// The timer that was set is due.
    Timer,
}

/// What is known of the servers in a node's rotation while the list is not followed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RotationStatus {
    /// Number of servers in the rotation.
    pub in_rotation: usize,
    /// Number of servers proved to be the processes that were listed.
    pub proved: usize,
    /// Number of servers proved to be the processes that ran shortly after the loss of the list.
    pub seen: usize,
    /// Number of servers that have refused or ended since the loss.
    pub refusing: usize,
}

/// A call to discovery that failed before an answer began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailedCall {
    /// What it shows of discovery; `None` if nothing.
    pub verdict: Option<CallVerdict>,
    /// Time until it failed.
    pub waited: Millis,
}

impl FailedCall {
    /// Whether discovery could be reached, but is overloaded.
    pub fn is_overload(&self) -> bool {
        self.verdict == Some(CallVerdict::Overloaded)
    }
}

/// How old the last known list is, and how the calls since the last answer have ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListStatus {
    /// When discovery last sent something, or the node started.
    pub confirmed_at: Millis,
    /// Until when new requests may be sent by the list; infinite if it does not age.
    pub usable_until: Millis,
    /// Number of calls since the node's start that could not reach discovery.
    pub unreachable_calls: u64,
    /// Number of calls since the node's start that reached discovery, but were not answered in time.
    pub overloaded_calls: u64,
    /// The last failure, if it was that of a call.
    pub last_failed_call: Option<FailedCall>,
}

/// Attempts since the node's start that were sent despite doubtful knowledge of their servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DoubtfulSends {
    /// The knowledge was too old, and no server with fresher knowledge had room.
    pub stale: u64,
    /// The server or the list had reported that it accepts no new requests, or the list had expired. This
    /// must stay 0.
    pub refused: u64,
}

/// Why a request is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its class is unknown.
    NoSuchClass,
    /// There is no server to send it to.
    NoServer,
    /// No server had room for it for as long as it may wait.
    NoRoom,
    /// The last known list is too old for new requests.
    ListExpired,
    /// Too little time is left for an answer.
    NoTime,
    /// It may have run, and must not run again.
    MayHaveRun,
    /// Its attempts have failed, and a retry would exceed the retry budget.
    NoRetryBudget,
    /// No client waits for it any more.
    ClientLeft,
}

/// Output of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt; attempts are numbered from 0.
    Send {
        /// The request.
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Time after which to give it up; `None` if it ends only when the client gives up.
        timeout: Option<Millis>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number, counted from 0.
        attempt: usize,
    },
    /// Gives the reason for the final refusal or failure that follows.
    Explain {
        /// The request.
        id: RequestId,
        /// Why it is not served.
        reason: Reason,
    },
    /// Final answer: refused; it is safe to send the request again.
    Refuse {
        /// The request.
        id: RequestId,
        /// Time after which the client may try again; 0 for no advice.
        retry_after: Millis,
    },
    /// Final answer: failed.
    Fail(RequestId),
    /// Send [`Event::Timer`] after this time; an earlier timer stays set.
    SetTimer(Millis),
    /// Subscribe to the list's changes.
    Subscribe,
    /// Probe a server.
    Probe(ServerId),
}
