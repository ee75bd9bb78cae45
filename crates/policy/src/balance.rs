//! The load-balancing decisions of one node; the interface is in `crates/policy/src/api.rs`.
//!
//! Requests follow a smooth weighted round-robin over the sorted servers that starts at an offset of the
//! node's own. Each turn is one send, and load does not change the order. A server that is not ready is
//! skipped and loses that turn. The rest of this module decides which servers are ready, when an attempt is
//! given up or repeated, and when a request is refused.

mod checks;
mod ejection;
mod knowledge;
mod listed;
mod rotation;
mod subset;

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use crate::api::*;
use crate::discovery::{Calls, ListLoss, Sweep};
use crate::indexed::{reset_marked, set_at};
use crate::queue::Queue;
use crate::rate::Rate;
use crate::table::{mix, GOLDEN};
use crate::unserved::{Original, Unserved};
use knowledge::{ApprovedServer, Knowledge};

/// Share of the slow-start budget that is used; the rest absorbs chance and uneven traffic between nodes.
const SLOW_START_BUDGET_SHARE: f64 = 0.5;
/// Retries that may have cost a server work, as a share of the first attempts.
const RETRY_BUDGET_SHARE: f64 = 0.1;
/// Upper bound of the retry budget, in attempts.
const MAX_RETRY_BUDGET: f64 = 10.0;
/// A second copy is sent after this many times the usual response time; each lost answer adds this many
/// copies to the copy budget. A copy that wins adds only one: otherwise copies would feed more copies in an
/// overload.
const COPY_AFTER_FACTOR: f64 = 2.0;
const COPIES_PER_LOST_ANSWER: f64 = 2.0;
/// Taken from the copy budget by every other end of an attempt: with fewer than one answer in a hundred
/// lost, no copies are sent.
const COPY_BUDGET_DECAY: f64 = 0.02;

/// Number of steps in which the subset is recomputed while its servers warm up.
const WARMTH_STEPS: f64 = 32.0;

/// Target for the average response time, as a share of the target latency; above it too many answers are
/// late.
const TARGET_TIME_SHARE: f64 = 0.35;
/// Response time that is assumed for a late or missing answer, as a multiple of the target latency.
const LATE_TIME_SHARE: f64 = 1.25;
/// Response time that is assumed for an attempt cut off at its target latency, as a multiple of the target
/// latency: it would have taken about as long again.
const CUT_OFF_FACTOR: f64 = 2.0;
/// How strongly one answer moves the concurrency limit of its server.
const LIMIT_GAIN: f64 = 0.25;
/// Response time, as a share of the target latency, above which a server is taken to get too many turns.
const EXCESS_TIME_SHARE: f64 = 0.25;
/// How strongly one answer moves the learned share of its server, and how much of the share decays with it.
const LEARNED_SHARE_GAIN_AND_DECAY: (f64, f64) = (0.05, 0.005);
/// How strongly one answer moves the usual response time of its class on its kind of machine.
const USUAL_TIME_GAIN: f64 = 0.02;
/// Share of a mostly unused limit that each answer removes.
const UNUSED_LIMIT_DECAY: f64 = 0.02;
/// The initial limit, in attempts of all nodes at one server, and the minimum limit of one node. Below a
/// limit of one, the node rests between two sends to the server.
const INITIAL_AND_MIN_LIMIT: (f64, f64) = (8.0, 0.05);
/// Largest number of nodes per server that each start with a limit of at least one. With more, simultaneous
/// first sends would overload a server before any node has seen an answer.
const MAX_NODES_AT_LIMIT_ONE: f64 = 16.0;
/// Minimum of the fleet factor: with too little in flight, there are too few answers to see a recovery.
const MIN_FLEET_FACTOR: f64 = 0.25;
/// Maximum of the fleet factor; the reserve above 1 keeps a few late answers from lowering the limits.
const MAX_FLEET_FACTOR: f64 = 2.0;
/// An attempt that has been in flight for longer than this share of the longest target latency no longer
/// counts against its server's limit; all attempts together may reach this multiple of the limit.
const STUCK_AFTER_SHARE: f64 = 0.6;
const MAX_STUCK_FACTOR: f64 = 4.0;
/// Added to the number of an attempt that runs on at its server; far above any limit on attempts.
const RUNS_ON_OFFSET: usize = 1 << 20;
/// How long a request may wait at the node, as a share of its target latency: in a burst, and in a lasting
/// overload.
const MAX_WAIT_SHARES: (f64, f64) = (0.25, 0.1);
/// From this number of servers on, the last free slot is reserved for the best classes. A class is not one
/// of them if its gain is below this ratio of the best gain; a class below this share of the requested
/// worth does not set the best gain.
const MIN_SERVERS_FOR_RESERVE: usize = 4;
const LOW_GAIN_RATIO: f64 = 0.5;
const RARE_CLASS_SHARE: f64 = 0.02;

/// How long the client of a refused request should wait before it tries again, as a share of the target
/// latency.
const RETRY_AFTER_SHARE: f64 = 0.25;

/// Upper bound of a client's estimate of the work, in aims of its class.
const MAX_WORK_FACTOR: f64 = 8.0;

/// Averaging window for how much of the requested worth each class and tenant is served.
const SERVED_WINDOW: Millis = 60_000.0;
/// How far above the worst served ratio a class or tenant still counts nearly as the worst.
const NEAR_WORST_MARGIN: f64 = 0.05;

/// The load-balancing state of one node; see the module's documentation.
pub struct Balancer {
    config: Settings,
    random: u64,
    now: Millis,
    servers: BTreeMap<ServerId, Server>,
    /// Servers that are no longer listed and are kept until their attempts have ended.
    gone: BTreeSet<ServerId>,
    /// All ejected servers; may also contain some that no longer are.
    suspected: BTreeSet<ServerId>,
    /// Ejected servers of the subset.
    ejected: BTreeSet<ServerId>,
    /// When the servers of the subset are due for a health check.
    probes: Queue<ServerId>,
    /// Servers with a health check in flight.
    probing: BTreeSet<ServerId>,
    /// The loss of the list for which the subset is being checked.
    checked_loss: Option<ListLoss>,
    /// The loss of the list as seen by the last call of `follow_list`.
    previous_loss: Option<ListLoss>,
    /// The servers of the subset are health-checked for drains, and the subset is limited to what can be
    /// checked.
    is_checking: bool,
    /// Servers of the subset proved to be the processes that were listed when the list was lost, and until
    /// when each proof is valid.
    proved: Queue<ServerId>,
    /// The same for the processes that ran shortly after the loss.
    seen: Queue<ServerId>,
    /// Servers of the subset that have refused or ended since the list was lost.
    refused: BTreeSet<ServerId>,
    /// See [`Balancer::visited_servers`].
    visited_servers: Cell<u64>,
    /// Counts of sends that were made despite doubtful knowledge of their servers.
    sends: DoubtfulSends,
    /// All servers that are still warming up; may also contain some that are warm by now.
    warming: BTreeSet<ServerId>,
    /// All servers whose turn was computed while they were cold; may also contain some that have left the
    /// subset.
    cold: BTreeSet<ServerId>,
    /// All servers that are listed as up, sorted.
    members: Vec<ServerId>,
    /// The members in this node's order of preference.
    order: Vec<ServerId>,
    /// The servers that the node rotates over, sorted.
    subset: Vec<ServerId>,
    /// Servers of the subset that have lost their turn and not been assigned another.
    without_turn: Vec<ServerId>,
    /// Maximum size of the subset, unless the node's part of the fleet is larger.
    max_rotation: usize,
    /// Sum of the sizes of the subset's servers.
    size: f64,
    /// The next turn of each server of the subset.
    turns: Queue<ServerId>,
    /// When the subset was last chosen.
    chosen_at: Millis,
    requests: BTreeMap<RequestId, Request>,
    /// Recent requests that were not served, to recognize their repeats.
    unserved: Unserved,
    /// Requests that wait at the node for a server.
    waiting: Vec<RequestId>,
    /// Position of the last turn taken.
    cursor: f64,
    /// Server that had the last turn.
    cursor_server: Option<ServerId>,
    /// How many times more nodes share a server than intended, where the subset can't be smaller; at least
    /// 1.
    sharing_factor: f64,
    /// Since when requests have been waiting without interruption.
    waiting_since: Option<Millis>,
    classes: Vec<ClassStats>,
    /// Factor on all limits where it is below 1: how far the fleet as a whole has slowed down.
    fleet_factor: f64,
    /// How much of its requested worth each class is served, and each tenant within its share.
    class_served: Vec<Served>,
    tenant_served: Vec<Served>,
    /// This node's part of each tenant's share: requests left within it, and when that was computed.
    quotas: Vec<(f64, Millis)>,
    /// Requests answered per second and unit of weight.
    answer_rate: Rate,
    /// Requests received per second and unit of weight; used until one has been answered.
    arrival_rate: Rate,
    /// For each kind of machine, the usual response time of each class at a server with no other attempt of
    /// this node.
    usual_times: BTreeMap<u64, Vec<Millis>>,
    retry_budget: f64,
    /// Copy budget: second copies that may be sent because of lost answers.
    copy_budget: f64,
    /// When the timer that was set last is due.
    timer_due: Millis,
    /// Another source than the one that is called has listed servers.
    has_other_source: bool,
    /// When `sweep` last ran.
    swept_at: Millis,
    calls: Calls,
}

/// A listed server, and what this node has observed of it.
struct Server {
    entry: Entry,
    /// Its size by the list's weights.
    size: f64,
    /// Learned factor on its size.
    share: f64,
    /// Position of its next turn; the rotation takes the lowest.
    turn: f64,
    /// Its warmth when the turn was computed.
    turn_warmth: f64,
    /// This node's attempts in flight: request, attempt number, time of the send.
    in_flight: Vec<(RequestId, usize, Millis)>,
    /// Limit on this node's attempts in flight while the fleet as a whole is not slow.
    limit: f64,
    last_sent: Millis,
    /// Response time of its last answer.
    last_duration: Millis,
    /// Consecutive failures.
    consecutive_failures: u32,
    /// When a connection last broke, if nothing has been served since.
    last_reset: Millis,
    /// Consecutive ejections.
    ejections: u32,
    /// Set while the server is ejected; when it is probed next.
    ejected_until: Option<Millis>,
    /// Ejected for refused or broken connections: its process will come back cold.
    down: bool,
    /// What has been observed of its process.
    known: Knowledge,
    /// When its next health check is due while the list is not followed.
    next_check: Millis,
    /// When the check after that is due, if not after the usual interval.
    check_after: Millis,
    /// When it arrived back from what looked like a restart.
    returned_at: Option<Millis>,
    /// Random factor from 0 to 1 on the delay before the first send to it while it is cold.
    stagger: f64,
}

struct Request {
    class: usize,
    /// The effect of its class when the request arrived.
    effect: Effect,
    tenant: Option<usize>,
    in_share: bool,
    /// Key that a client's repeat of this request shares with it.
    repeat_key: Option<u64>,
    /// Its estimated work, if worth is counted by work; else 1.
    work: f64,
    /// When the client first sent it, as far as its deadline shows.
    asked: Millis,
    /// When this try of it arrived.
    arrived: Millis,
    deadline: Millis,
    attempts: Vec<Attempt>,
    bound: Bound,
    /// No client waits for it; its attempts in flight go on for their result.
    is_detached: bool,
}

/// Why a request can have no other attempt: its body has been sent and can't be sent again, or its answer
/// has begun to stream.
#[derive(PartialEq)]
enum Bound {
    Free,
    Body,
    Answer,
}

#[derive(Clone, Copy)]
struct Attempt {
    server: ServerId,
    zone: u64,
    cell: u64,
    sent: Millis,
    /// The server was at half its limit or more with it, or had rested for less than twice its rest time.
    at_limit: bool,
    /// The server had no other attempt of this node in flight.
    alone: bool,
    /// How it ended; `None` while it is in flight.
    outcome: Option<Outcome>,
}

/// Response-time statistics of a class.
struct ClassStats {
    /// Mean response time.
    mean: Millis,
    seen: u32,
    /// Average of how far response times exceed `EXCESS_TIME_SHARE`, as a share of the target latency.
    excess: f64,
    /// The most time that a request had left when it arrived.
    most_left: Millis,
    /// Mean work by the clients' estimates.
    work: Option<f64>,
}

impl ClassStats {
    fn new(class: &Class) -> Self {
        Self {
            mean: class.target_latency / 4.0,
            seen: 0,
            excess: 0.0,
            most_left: f64::NEG_INFINITY,
            work: None,
        }
    }
}

/// Rates of requested and served worth.
#[derive(Default)]
struct Served {
    requested: Rate,
    served: Rate,
}

impl Server {
    fn listed_up(&self) -> bool {
        self.entry.state == Listed::Up
    }

    /// How many attempts of this node may be in flight, with the fleet factor and the minimum limit
    /// applied.
    fn max_in_flight(&self, fleet_factor: f64, least: f64) -> f64 {
        (self.limit * fleet_factor.min(1.0)).max(least)
    }

    /// The share of its capacity that it has at least, by the time since its start.
    fn warmth(&self, now: Millis, rules: &Rules) -> f64 {
        let start =
            self.entry.started_at.into_iter().chain(self.returned_at).fold(f64::NEG_INFINITY, f64::max);
        let age = (now - start).max(0.0);
        if age >= rules.warm_up_time {
            return 1.0;
        }
        rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * age / rules.warm_up_time
    }
}

impl Request {
    /// Rule 2, for every retry and every refusal: whether it is harmless by what is known of the earlier
    /// attempts. `to` is the server to send to; `None` asks about a refusal.
    fn may_repeat(&self, limits: &Limits, now: Millis, to: Option<&Entry>) -> bool {
        let mut ran = self.attempts.iter().filter(|a| !a.outcome.is_some_and(Outcome::never_ran));
        if to.is_some() {
            let bound =
                self.is_detached || self.bound != Bound::Free || self.attempts.len() >= limits.attempts;
            if bound || (self.has_pending() && !limits.second_copies) {
                return false;
            }
        }
        match self.effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            Effect::Keyed { group, memory } => ran.all(|a| match to {
                None => group == Group::All,
                Some(entry) => {
                    let known = match group {
                        Group::All => true,
                        Group::Zone => a.zone == entry.zone,
                        Group::Cell => a.cell == entry.cell,
                    };
                    known && now - a.sent < memory
                }
            }),
        }
    }

    fn has_pending(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }

    /// Cancels all attempts in flight except `one`, if cancelling is permitted.
    fn cancel_except(&self, id: RequestId, kept: Option<usize>, limits: &Limits, actions: &mut Vec<Action>) {
        let out = |n: &usize| limits.cancel && Some(*n) != kept && self.attempts[*n].outcome.is_none();
        actions.extend((0..self.attempts.len()).filter(out).map(|attempt| Action::Cancel { id, attempt }));
    }
}

impl Balancer {
    /// Creates the state of a node at its start. `seed` initializes its random numbers and should differ
    /// from node to node.
    ///
    /// # Errors
    /// If the settings are invalid; see [`Settings::check`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let calls = Calls::new(settings.discovery);
        let classes = settings.classes.iter().map(ClassStats::new).collect();
        let class_served = settings.classes.iter().map(|_| Served::default()).collect();
        let tenant_served = settings.tenants.iter().map(|_| Served::default()).collect();
        let quotas = settings.tenants.iter().map(|_| (0.0, f64::NEG_INFINITY)).collect();
        Ok(Self {
            config: settings,
            random: seed,
            now: 0.0,
            servers: BTreeMap::new(),
            gone: BTreeSet::new(),
            suspected: BTreeSet::new(),
            ejected: BTreeSet::new(),
            probes: Queue::new(),
            probing: BTreeSet::new(),
            checked_loss: None,
            previous_loss: None,
            is_checking: false,
            proved: Queue::new(),
            seen: Queue::new(),
            refused: BTreeSet::new(),
            visited_servers: Cell::new(0),
            sends: DoubtfulSends::default(),
            warming: BTreeSet::new(),
            cold: BTreeSet::new(),
            members: Vec::new(),
            order: Vec::new(),
            subset: Vec::new(),
            without_turn: Vec::new(),
            max_rotation: subset::MAX_ROTATION,
            size: 0.0,
            turns: Queue::new(),
            chosen_at: f64::NEG_INFINITY,
            requests: BTreeMap::new(),
            unserved: Unserved::default(),
            waiting: Vec::new(),
            cursor: 0.0,
            cursor_server: None,
            sharing_factor: 1.0,
            waiting_since: None,
            classes,
            fleet_factor: 1.0,
            class_served,
            tenant_served,
            quotas,
            answer_rate: Rate::default(),
            arrival_rate: Rate::default(),
            usual_times: BTreeMap::new(),
            retry_budget: MAX_RETRY_BUDGET,
            copy_budget: 0.0,
            timer_due: f64::INFINITY,
            has_other_source: false,
            swept_at: f64::NEG_INFINITY,
            calls,
        })
    }

    /// Processes one event and appends the resulting actions in order.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.expire_proofs();
        match event {
            Event::List { entries, saved } => self.on_list(entries, !saved, true),
            Event::ListChange(entries) => self.on_list(entries, true, false),
            Event::ListChangeElsewhere(entries) => self.on_list(entries, false, false),
            Event::ListAnswerStarted => self.calls.on_answering(now, &self.config),
            Event::ListHeartbeat => self.calls.on_heartbeat(now),
            Event::ListFailed(failure) => self.on_list_failed(failure),
            Event::DiscoveryMoved if self.config.discovery == Discovery::Asked => self.calls.on_moved(now),
            event @ Event::Request { .. } => self.on_request(event, actions),
            Event::Settings { settings, classes, tenants } => self.on_settings(*settings, &classes, &tenants),
            Event::Tenants(changes) => changes.into_iter().for_each(|change| self.on_tenant(change)),
            Event::BodySent(id) => self.requests.get_mut(&id).into_iter().for_each(|r| r.bound = Bound::Body),
            Event::Streaming { id, attempt } => self.on_streaming(id, attempt, actions),
            event @ Event::Ended { .. } => self.on_ended(event, actions),
            Event::AttemptRunsOn { id, attempt, server } => {
                let out = self.servers.get_mut(&server).into_iter().flat_map(|s| &mut s.in_flight);
                // Renumbered so that the end of the attempt does not remove it.
                out.filter(|o| (o.0, o.1) == (id, attempt)).for_each(|o| o.1 = RUNS_ON_OFFSET + attempt);
            }
            Event::AttemptFinishedAtServer { id, attempt, server } => {
                self.release(server, id, RUNS_ON_OFFSET + attempt);
                self.drop_gone();
                self.serve_waiting(actions);
            }
            Event::Probed { server, outcome, duration } => self.on_probed(server, outcome, duration),
            Event::ConnectionAnswered { server, opened_at } => self.on_connection_answered(server, opened_at),
            Event::ClientGone(id) => {
                self.remember_unserved(id);
                self.forget(id, actions);
            }
            Event::ClientDetached(id) => self.on_client_detached(id, actions),
            Event::ClientAttached(id) => {
                self.requests.get_mut(&id).into_iter().for_each(|request| request.is_detached = false);
            }
            Event::DiscoveryMoved | Event::Timer => {}
        }
        self.follow_list();
        if now >= self.timer_due {
            self.timer_due = f64::INFINITY;
        }
        if now >= self.next_due() {
            self.sweep(actions);
        }
        // Timers cost CPU time, of which a node has little: one is set only if something will be due.
        let due = self.next_due().max(now + self.config.min_event_interval.max(1.0));
        if due < self.timer_due {
            self.timer_due = due;
            actions.push(Action::SetTimer(due - now));
        }
    }

    /// Applies new settings. Classes and tenants that keep their index keep what was learned of them; the
    /// others are reset.
    fn on_settings(&mut self, settings: Settings, classes: &[bool], tenants: &[bool]) {
        self.config = settings;
        reset_marked(&mut self.classes, classes, |n| ClassStats::new(&self.config.classes[n]));
        reset_marked(&mut self.class_served, classes, |_| Served::default());
        reset_marked(&mut self.tenant_served, tenants, |_| Served::default());
        reset_marked(&mut self.quotas, tenants, |_| (0.0, f64::NEG_INFINITY));
        self.usual_times.values_mut().for_each(|times| reset_marked(times, classes, |_| 0.0));
        // The number of nodes may have changed, so the order of the servers is recomputed.
        self.rebuild_members();
        self.on_list(Vec::new(), false, false);
    }

    /// Applies a change of one tenant; the cost does not depend on the number of tenants.
    fn on_tenant(&mut self, TenantChange { index, tenant, is_new }: TenantChange) {
        set_at(&mut self.config.tenants, index, tenant);
        if is_new {
            set_at(&mut self.tenant_served, index, Served::default());
            set_at(&mut self.quotas, index, (0.0, f64::NEG_INFINITY));
        }
    }

    /// How long the client of a refused request of this class should wait before it tries again.
    pub fn retry_after(&self, class: usize) -> Millis {
        let target_latency = self.config.classes.get(class).map_or(0.0, |c| c.target_latency);
        (RETRY_AFTER_SHARE * target_latency).min(self.config.limits.max_retry_after)
    }

    /// Whether a request with this key repeats one that is already counted.
    pub fn is_repeat(&self, now: Millis, repeat_key: Option<u64>) -> bool {
        repeat_key.is_some_and(|repeat_key| self.unserved.contains(now, repeat_key))
    }

    /// Number of servers that are listed as up but ejected, because they seem to be down or to fail.
    pub fn ejected_count(&self) -> usize {
        let known = self.suspected.iter().filter_map(|id| self.servers.get(id));
        known.filter(|server| server.listed_up() && server.ejected_until.is_some()).count()
    }

    /// Whether the list is not being followed, so that health checks of the servers count.
    pub fn has_lost_list(&self) -> bool {
        self.calls.lost().is_some()
    }

    /// How old the last known list is, and how the calls to discovery have ended.
    pub fn list_status(&self) -> ListStatus {
        ListStatus { usable_until: self.list_usable_until(), ..self.calls.list_status() }
    }

    /// When discovery is to be called next, if a call is scheduled.
    pub fn next_call(&self) -> Option<Millis> {
        self.calls.next_call()
    }

    /// When `sweep` is next due, if no event comes before.
    fn next_due(&self) -> Millis {
        let needs_sweep = !self.waiting.is_empty() || (self.copy_budget >= 1.0 && !self.requests.is_empty());
        let waiting_due = if needs_sweep { self.swept_at + self.sweep_interval() } else { f64::INFINITY };
        let warm_up_due =
            if self.has_cold_servers() { self.chosen_at + self.warmth_step() } else { f64::INFINITY };
        // At its expiry the list's state is reported, though nothing is sent or called.
        let expiry = Some(self.list_usable_until()).filter(|until| *until >= self.now);
        let expiry = expiry.unwrap_or(f64::INFINITY).next_up();
        self.calls.due(&self.config).min(expiry).min(waiting_due).min(warm_up_due).min(self.next_probe_due())
    }

    fn mark_cold(&mut self, id: ServerId, cold: bool) {
        if cold {
            self.cold.insert(id);
        } else {
            self.cold.remove(&id);
        }
    }

    /// Whether the turn of any server of the subset was computed while it was cold.
    fn has_cold_servers(&self) -> bool {
        self.in_subset_of(&self.cold).any(|server| server.turn_warmth < 1.0)
    }

    /// How often the subset is recomputed while servers warm up.
    fn warmth_step(&self) -> Millis {
        self.config.rules.warm_up_time / WARMTH_STEPS
    }

    /// Interval at which waiting requests are examined: far below every target latency, and within the slack
    /// of a deadline.
    fn sweep_interval(&self) -> Millis {
        let target_latency =
            self.config.classes.iter().map(|c| c.target_latency).fold(f64::INFINITY, f64::min);
        (target_latency / 20.0).max(self.config.min_event_interval).max(1.0)
    }

    fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_add(GOLDEN);
        (mix(self.random) >> 11) as f64 / (1u64 << 53) as f64
    }

    // ---- The rotation ----

    /// The initial concurrency limit of a server. It is below one only if more nodes share a server than it
    /// can bear: otherwise nodes would rest from servers that get no requests at all, and refuse what an
    /// idle fleet could serve.
    fn initial_limit(&self) -> f64 {
        (INITIAL_AND_MIN_LIMIT.0 / self.nodes_per_server())
            .max((MAX_NODES_AT_LIMIT_ONE / self.nodes_per_server()).min(1.0))
    }

    /// The minimum of a server's limit.
    fn min_limit(&self) -> f64 {
        INITIAL_AND_MIN_LIMIT.1 / self.sharing_factor
    }

    // ---- Which servers are ready ----

    fn is_ready(&self, server: &Server) -> bool {
        server.ejected_until.is_none() && self.is_allowed_by_slow_start(server) && self.has_room(server)
    }

    /// Whether the server is below its limit of this node's attempts. By turns alone, a slow server would
    /// keep its full share while its queue grows until no answer comes in time. Attempts in flight for long
    /// are not counted, up to a bound: otherwise a few requests with enormous work, or with lost answers,
    /// would keep an idle server full. If a server is this slow with all requests, each late answer lowers
    /// its limit.
    fn has_room(&self, server: &Server) -> bool {
        let limit = server.max_in_flight(self.fleet_factor, self.min_limit());
        if limit >= 1.0 {
            let stuck_from = self.now
                - STUCK_AFTER_SHARE
                    * self.config.classes.iter().map(|c| c.target_latency).fold(0.0, f64::max);
            let counted = server.in_flight.iter().filter(|(_, _, sent)| *sent > stuck_from).count();
            return (counted as f64) < limit.floor()
                && (server.in_flight.len() as f64) < MAX_STUCK_FACTOR * self.initial_limit().max(limit);
        }
        server.in_flight.is_empty() && self.now - server.last_sent >= self.rest_time(server)
    }

    /// How long a server with a limit below one rests between two sends: long enough that the average
    /// number in flight stays within the limit, but never so long that its recovery would go unnoticed.
    fn rest_time(&self, server: &Server) -> Millis {
        let max_rest = self.config.classes.iter().map(|c| 2.0 * c.target_latency).fold(0.0, f64::max);
        (server.last_duration / server.max_in_flight(self.fleet_factor, self.min_limit()))
            .min(max_rest * self.sharing_factor)
    }

    /// Rule 4: what all nodes together send to a cold server in one window must stay below a multiple of
    /// its present capacity. The capacity is derived from what a warm server of its size answers. Each node
    /// spaces its sends by its own traffic, and waits a random part of the first interval: otherwise all
    /// nodes would send at once.
    fn is_allowed_by_slow_start(&self, server: &Server) -> bool {
        let rules = &self.config.rules;
        let warmth = server.warmth(self.now, rules);
        if warmth >= 1.0 {
            return true;
        }
        let load_factor = SLOW_START_BUDGET_SHARE * rules.overload_factor * warmth;
        let rate_per_size =
            if self.answer_rate.per_s > 0.0 { self.answer_rate.per_s } else { self.arrival_rate.per_s };
        let interval = 1000.0 / (load_factor * rate_per_size * server.size);
        self.now - server.last_sent >= interval * server.stagger
    }

    // ---- Requests ----

    fn on_request(&mut self, event: Event, actions: &mut Vec<Action>) {
        let Event::Request { id, class, tenant, deadline, repeat_key, work, in_share, prior_attempts } =
            event
        else {
            return;
        };
        if self.requests.contains_key(&id) {
            // Ids are unique: answering the duplicate would answer the first request, which is still open.
            return;
        }
        let Some(effect) = self.config.classes.get(class).map(|c| c.effect) else {
            actions.push(Action::Explain { id, reason: Reason::NoSuchClass });
            return actions.push(Action::Fail(id));
        };
        let work = if self.config.by_work { self.estimated_work(class, work) } else { 1.0 };
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_SHARE).min(MAX_RETRY_BUDGET);
        let size = self.current_size();
        self.arrival_rate.add(self.now, self.config.rules.overload_window, 1.0 / size.max(1.0));
        let tenant = tenant.filter(|t| *t < self.config.tenants.len());
        // A client's repeat is served by the time of its first try or not at all, and counts once:
        // otherwise, when more is refused than served, most work would be spent on answers that are too
        // late.
        let original = repeat_key.and_then(|repeat_key| self.unserved.take(self.now, repeat_key));
        let in_share = match &original {
            Some(original) => original.in_share,
            None => in_share.unwrap_or_else(|| tenant.is_none_or(|t| self.take_quota(t))),
        };
        let to_attempt = |e: &PriorAttempt| {
            let PriorAttempt { server, zone, cell, sent, outcome } = *e;
            Attempt { server, zone, cell, sent, at_limit: false, alone: false, outcome: Some(outcome) }
        };
        let attempts = prior_attempts.iter().flatten().map(to_attempt).collect();
        let (arrived, bound) = (self.now, Bound::Free);
        let asked =
            (arrived - self.client_age(class, deadline)).min(original.as_ref().map_or(arrived, |u| u.asked));
        let request = Request {
            class,
            effect,
            tenant,
            in_share,
            repeat_key,
            work,
            asked,
            arrived,
            deadline,
            attempts,
            bound,
            is_detached: false,
        };
        self.requests.insert(id, request);
        if original.is_none() {
            self.tally(id, |counts| &mut counts.requested);
        }
        if prior_attempts.is_some() {
            // It counts as a retry, against the retry budget: the requests of a lost tenth of the fleet
            // must not all be sent at once.
            self.retry_or_conclude(id, Outcome::Reset, actions);
        } else {
            self.waiting.push(id);
        }
        self.serve_waiting(actions);
    }

    /// A request's work: the client's estimate if it is valid, else the usual one. It is capped, as no
    /// request can take longer than its client waits, and a larger estimate would distort the averages for
    /// their whole window.
    fn estimated_work(&mut self, class: usize, estimate: Option<f64>) -> f64 {
        let Some(class_settings) = self.config.classes.get(class) else { return 1.0 };
        let max_work = class_settings.client_timeout.min(MAX_WORK_FACTOR * class_settings.target_latency);
        let usual = &mut self.classes[class].work;
        let Some(estimate) = estimate.filter(|w| w.is_finite() && *w > 0.0) else {
            return usual.unwrap_or(class_settings.target_latency / 8.0);
        };
        let work = estimate.min(max_work);
        *usual = Some(usual.map_or(work, |usual| usual + (work - usual) * USUAL_TIME_GAIN));
        work
    }

    /// Records that a request is not served, to recognize the client's repeat.
    fn remember_unserved(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if let Some(repeat_key) = request.repeat_key {
            let until = request.asked + self.config.classes[request.class].client_timeout.min(SERVED_WINDOW);
            let original = Original { asked: request.asked, in_share: request.in_share };
            self.unserved.add(self.now, repeat_key, original, until);
        }
    }

    /// How long ago the client first sent the request: a repeat after a refusal still has the deadline of
    /// the first try. The most time left that was ever seen in a class is taken for that of a new request.
    /// Where clients may repeat what they have given up, the deadline belongs to the latest try and shows
    /// nothing.
    fn client_age(&mut self, class: usize, deadline: Millis) -> Millis {
        let left = deadline - self.now;
        let most = &mut self.classes[class].most_left;
        if left.is_finite() {
            *most = most.max(left);
        }
        match self.config.classes[class].effect {
            Effect::Safe | Effect::Keyed { group: Group::All, .. } => 0.0,
            _ => (*most - left).max(0.0),
        }
    }

    /// Whether a request is within its tenant's share, and takes it from there. The share is assumed to be
    /// spread evenly over the nodes.
    fn take_quota(&mut self, tenant: usize) -> bool {
        let own = self.config.tenants[tenant].quota_per_s / self.config.nodes as f64;
        let (left, since) = self.quotas[tenant];
        let left = (left + own * (self.now - since) / 1000.0).min(own.max(1.0));
        let within = left >= 1.0;
        self.quotas[tenant] = (if within { left - 1.0 } else { left }, self.now);
        within
    }

    fn worth(&self, request: &Request) -> f64 {
        let share = if request.in_share { 1.0 } else { self.config.over_share_worth };
        self.config.classes[request.class].worth * share * request.work
    }

    fn tally(&mut self, id: RequestId, rate_of: impl Fn(&mut Served) -> &mut Rate) {
        let Some(request) = self.requests.get(&id) else { return };
        let (now, worth) = (self.now, self.worth(request));
        rate_of(&mut self.class_served[request.class]).add(now, SERVED_WINDOW, worth);
        if let (Some(tenant), true) = (request.tenant, request.in_share) {
            rate_of(&mut self.tenant_served[tenant]).add(now, SERVED_WINDOW, worth);
        }
    }

    /// The gain per unit of served worth, for each entry, in the part of the goal that goes by the worst
    /// served one: the full weight for the worst, less for those above it.
    fn goal_weights(&self, tallies: &[Served], goal: f64) -> Vec<f64> {
        let requested: Vec<f64> = tallies.iter().map(|c| c.requested.at(self.now, SERVED_WINDOW)).collect();
        let part =
            |(c, a): (&Served, &f64)| if *a > 0.0 { c.served.at(self.now, SERVED_WINDOW) / a } else { 1.0 };
        let parts: Vec<f64> = tallies.iter().zip(&requested).map(part).collect();
        let worst = parts.iter().copied().fold(f64::INFINITY, f64::min);
        let near: Vec<f64> = parts.iter().map(|p| (-(p - worst) / NEAR_WORST_MARGIN).exp()).collect();
        let sum: f64 = near.iter().sum();
        let weight = |(n, a): (&f64, &f64)| if *a > 0.0 { goal * n / sum / a } else { 0.0 };
        near.iter().zip(&requested).map(weight).collect()
    }

    /// Whether the request may be sent to this server. The server that just failed it is excluded unless no
    /// other is permitted: a request bound to the cell of its first attempt would otherwise wait in vain.
    fn may_send_to(&self, id: RequestId, to: &Server) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let may = |s: &Server| request.may_repeat(&self.config.limits, self.now, Some(&s.entry));
        let last = request.attempts.last().map(|a| a.server);
        let again = last == Some(to.entry.server);
        may(to) && !(again && self.rotated().any(|s| Some(s.entry.server) != last && may(s)))
    }

    /// Whether an attempt that was decided on may still be written now. While it waited for its connection,
    /// servers may have forgotten the keys of the earlier attempts.
    pub fn may_write(&self, now: Millis, id: RequestId, attempt: usize) -> bool {
        let Some(request) = self.requests.get(&id) else { return true };
        let Effect::Keyed { memory, .. } = request.effect else { return true };
        let mut ran =
            request.attempts.iter().take(attempt).filter(|a| !a.outcome.is_some_and(Outcome::never_ran));
        ran.all(|a| now - a.sent < memory)
    }

    fn send(&mut self, id: RequestId, to: ApprovedServer, actions: &mut Vec<Action>) {
        self.count_send(to);
        let to = to.server();
        let Some(request) = self.requests.get(&id) else { return };
        let late = self.config.classes[request.class].late_worth > 0.0;
        let timeout = if late { request.deadline } else { self.useful_until(request) } - self.now;
        let (rest, least) = (self.servers.get(&to).map_or(0.0, |s| self.rest_time(s)), self.min_limit());
        let (Some(request), Some(server)) = (self.requests.get_mut(&id), self.servers.get_mut(&to)) else {
            return;
        };
        let (zone, cell) = (server.entry.zone, server.entry.cell);
        server.in_flight.push((id, request.attempts.len(), self.now));
        let allowed = server.max_in_flight(self.fleet_factor, least);
        let rested = self.now - server.last_sent;
        (server.last_sent, server.stagger) = (self.now, 1.0);
        let alone = server.in_flight.len() == 1;
        let at_limit =
            if allowed < 1.0 { rested <= 2.0 * rest } else { 2.0 * server.in_flight.len() as f64 >= allowed };
        let (server, sent) = (to, self.now);
        request.attempts.push(Attempt { server, zone, cell, sent, at_limit, alone, outcome: None });
        actions.push(Action::Send { id, server: to, timeout: Some(timeout.max(0.001)) });
    }

    /// Until when an answer has its full worth, less the time for its way back to the client.
    fn useful_until(&self, request: &Request) -> Millis {
        let target_latency = self.config.classes[request.class].target_latency;
        (request.asked + target_latency - self.config.min_event_interval).min(request.deadline)
    }

    fn on_streaming(&mut self, id: RequestId, attempt: usize, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.bound = Bound::Answer;
        request.cancel_except(id, Some(attempt), &self.config.limits, actions);
    }

    /// No client waits for the request any more: it has no further attempt, and ends with those in flight.
    fn on_client_detached(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_detached = true;
        if !request.has_pending() && request.bound != Bound::Answer {
            self.waiting.retain(|waiting| *waiting != id);
            self.conclude(id, Reason::ClientLeft, actions);
        }
    }

    /// Removes an attempt from its server's attempts in flight.
    fn release(&mut self, server: ServerId, id: RequestId, attempt: usize) {
        let out = self.servers.get_mut(&server).into_iter().map(|s| &mut s.in_flight);
        out.for_each(|out| out.retain(|o| (o.0, o.1) != (id, attempt)));
    }

    fn on_ended(&mut self, event: Event, actions: &mut Vec<Action>) {
        let Event::Ended { id, attempt, server, outcome, duration, finished } = event else { return };
        let now = self.now;
        let duration = if duration.is_finite() { duration.max(0.0) } else { 0.0 };
        self.release(server, id, attempt);
        self.record_outcome(server, outcome, duration);
        self.drop_gone();
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(ended) = request.attempts.get_mut(attempt).filter(|a| a.outcome.is_none()) else { return };
        ended.outcome = Some(outcome);
        let (class, ended, asked) = (request.class, *ended, request.asked);
        let open = request.has_pending() || request.bound == Bound::Answer;
        let done = outcome == Outcome::Done;
        let overtaken = request.attempts.iter().find(|a| done && a.outcome.is_none()).copied();
        let lost = self.config.limits.second_copies && outcome == Outcome::Unheard;
        let gain = if lost { COPIES_PER_LOST_ANSWER } else { overtaken.map_or(-COPY_BUDGET_DECAY, |_| 1.0) };
        self.copy_budget = (self.copy_budget + gain).clamp(0.0, MAX_RETRY_BUDGET);
        self.update_estimates(class, ended, outcome, duration);
        // Recorded now, as the attempt is cancelled with its request and would show nothing of a server
        // that hangs.
        let slow = |a: Attempt| self.record_outcome(a.server, Outcome::TimedOut, now - a.sent);
        overtaken.into_iter().for_each(slow);
        if finished {
            if now - asked <= self.config.classes[class].target_latency {
                self.tally(id, |counts| &mut counts.served);
            }
            self.forget(id, actions);
        } else if !open {
            self.retry_or_conclude(id, outcome, actions);
        }
        self.serve_waiting(actions);
    }

    /// Updates the limit, the share and the usual response times from the end of an attempt.
    fn update_estimates(&mut self, class: usize, attempt: Attempt, outcome: Outcome, duration: Millis) {
        let Attempt { server: id, at_limit, alone, .. } = attempt;
        let (now, rules, done) = (self.now, &self.config.rules, outcome == Outcome::Done);
        let (initial, min_limit) = (self.initial_limit(), self.min_limit());
        let late = self.config.classes[class].late_worth > 0.0;
        let time_share = match outcome {
            Outcome::Done => (duration / self.config.classes[class].target_latency).min(LATE_TIME_SHARE),
            // If answers get lost, a missing one shows nothing of its server's speed.
            Outcome::TimedOut if self.copy_budget >= 1.0 => return,
            // It was cut off at the end of its usefulness. An attempt that had little time shows little,
            // and nothing good.
            Outcome::TimedOut if !late => {
                let time_share =
                    CUT_OFF_FACTOR * (duration / self.config.classes[class].target_latency).min(1.0).powi(2);
                time_share.max(TARGET_TIME_SHARE.next_up())
            }
            Outcome::TimedOut | Outcome::Full => LATE_TIME_SHARE,
            _ => return,
        };
        let warm = |s: &Server| s.warmth(now, rules) >= 1.0;
        if done && self.servers.get(&id).is_some_and(warm) {
            // Measured on warm servers only: if it included cold ones, a low slow-start budget would lower
            // itself further.
            let size = self.warm_size();
            self.answer_rate.add(now, rules.overload_window, 1.0 / size.max(f64::MIN_POSITIVE));
        }
        let count = self.config.classes.len();
        let stats = &mut self.classes[class];
        if done {
            stats.seen = stats.seen.saturating_add(1);
            stats.mean += (duration - stats.mean) / f64::from(stats.seen.min(200));
        }
        // When the whole fleet slows down at once, its answers together show it long before each server's
        // limit has had enough answers of its own. The factor falls when more than half as many answers are
        // late as are well in time.
        let step =
            LIMIT_GAIN * (LATE_TIME_SHARE - TARGET_TIME_SHARE) / (self.subset.len().max(1) as f64).sqrt();
        if time_share >= 1.0 && outcome != Outcome::Full {
            self.fleet_factor = (self.fleet_factor * (-2.0 * step).exp()).max(MIN_FLEET_FACTOR);
        } else if time_share <= TARGET_TIME_SHARE {
            self.fleet_factor = (self.fleet_factor * step.exp()).min(MAX_FLEET_FACTOR);
        }
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.last_duration = duration;
        if done && alone {
            let time = &mut self.usual_times.entry(s.entry.kind).or_insert_with(|| vec![0.0; count])[class];
            *time += (duration - *time) * if *time > 0.0 { USUAL_TIME_GAIN } else { 1.0 };
        }
        // Learns sizes that the list does not tell: a server whose answers exceed the threshold by more
        // than the average gets too many turns. At low load none exceeds it, and the turns stay even.
        let excess = (time_share - EXCESS_TIME_SHARE).max(0.0);
        stats.excess += (excess - stats.excess) * LEARNED_SHARE_GAIN_AND_DECAY.0;
        s.share = s.share.powf(1.0 - LEARNED_SHARE_GAIN_AND_DECAY.1)
            * (LEARNED_SHARE_GAIN_AND_DECAY.0 * (stats.excess - excess)).exp();
        let unused = s.max_in_flight(self.fleet_factor, min_limit) > 2.0 * (s.in_flight.len() as f64 + 1.0);
        if unused || (s.limit < 1.0 && !at_limit) {
            // A limit that is never reached gives no protection when the fleet slows down at once.
            s.limit *= 1.0 - UNUSED_LIMIT_DECAY;
        }
        if s.limit < initial && time_share <= TARGET_TIME_SHARE && at_limit {
            // Answers are rare below a limit of one: without a quick recovery, a server that was slow for
            // seconds would stay out for minutes. The quick recovery ends at the initial limit, as beyond
            // it many nodes would overload the server.
            s.limit *= (LIMIT_GAIN * (LATE_TIME_SHARE - TARGET_TIME_SHARE)).exp();
        } else if at_limit {
            // One attempt at a time that is answered in time is not too much, even if the whole fleet is so
            // slow that it misses the target.
            let least = if time_share < 1.0 { s.limit.min(1.0) } else { min_limit };
            s.limit = (s.limit * (LIMIT_GAIN * (TARGET_TIME_SHARE - time_share)).exp()).max(least);
        }
    }

    /// Queues a request whose attempts have all failed for a retry, or concludes it.
    fn retry_or_conclude(&mut self, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.config.classes[request.class];
        let end = if class.late_worth > 0.0 { request.deadline } else { self.useful_until(request) };
        let time = end - self.now > self.classes[request.class].mean;
        let cost = if outcome.never_ran() { 0.0 } else { 1.0 };
        let may_send_to = |s: &Server| request.may_repeat(&self.config.limits, self.now, Some(&s.entry));
        let is_bound = matches!(request.effect, Effect::Keyed { group: Group::Zone | Group::Cell, .. });
        // Unless the request is bound to a zone or cell, all servers are equivalent.
        let may = self.by_turn().take(if is_bound { usize::MAX } else { 1 }).any(may_send_to);
        let reason = if request.is_detached {
            Reason::ClientLeft
        } else if !time {
            Reason::NoTime
        } else if !may {
            Reason::MayHaveRun
        } else if self.retry_budget < cost {
            Reason::NoRetryBudget
        } else {
            self.retry_budget -= cost;
            return self.waiting.push(id);
        };
        self.conclude(id, reason, actions);
    }

    /// Gives the final answer of a request that is not served: refused if rule 2 allows it, else failed.
    fn conclude(&mut self, id: RequestId, reason: Reason, actions: &mut Vec<Action>) {
        self.remember_unserved(id);
        let Some(request) = self.requests.get(&id) else { return };
        let retry_after = self.retry_after(request.class);
        let harmless = request.may_repeat(&self.config.limits, self.now, None);
        actions.push(Action::Explain { id, reason });
        actions.push(if harmless { Action::Refuse { id, retry_after } } else { Action::Fail(id) });
        self.forget(id, actions);
    }

    /// Removes a finished request and cancels its attempts that are still in flight.
    fn forget(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.remove(&id).filter(|r| r.bound != Bound::Answer) {
            request.cancel_except(id, None, &self.config.limits, actions);
        }
    }

    /// Sends waiting requests in the order of their gain in the goal per unit of work, and concludes those
    /// that have waited too long. First come, first served would shed by the length of the target latencies,
    /// not by worth.
    fn serve_waiting(&mut self, actions: &mut Vec<Action>) {
        let last = 2.0 * self.sweep_interval();
        let mut waiting_ids = Vec::new();
        for id in std::mem::take(&mut self.waiting) {
            let Some(request) = self.requests.get(&id) else { continue };
            let class = request.class;
            // An answer may still come in time until then.
            let spare = self.useful_until(request) - self.classes[class].mean;
            // With less time it would most likely be cut off and its work lost. A new request is always
            // tried: otherwise a class that was slow once would never be seen to recover.
            let hopeless =
                self.config.classes[class].late_worth == 0.0 && self.now > spare.max(request.asked);
            let end = if hopeless {
                f64::NEG_INFINITY
            } else if request.attempts.is_empty() {
                // In a lasting overload a long wait helps nobody: every request that is served has lost
                // that time.
                let target_latency = self.config.classes[class].target_latency;
                let lasting = self.waiting_since.is_some_and(|since| self.now - since > target_latency);
                (request.arrived
                    + target_latency * if lasting { MAX_WAIT_SHARES.1 } else { MAX_WAIT_SHARES.0 })
                .min(spare)
                .max(request.arrived)
            } else {
                spare
            };
            if self.now <= end.min(request.deadline - last) {
                waiting_ids.push(id);
            } else {
                let reason = match (self.subset.is_empty(), hopeless) {
                    (true, _) => Reason::NoServer,
                    _ if self.has_list_expired(self.now) => Reason::ListExpired,
                    (false, true) => Reason::NoTime,
                    (false, false) => Reason::NoRoom,
                };
                self.conclude(id, reason, actions);
            }
        }
        // A turn is taken only for a request that may be sent, and the last free slot is left to the
        // classes with the highest gain: a node that sends little is full for moments all the time, and a
        // request that can't wait is refused.
        let low_gain = if waiting_ids.is_empty() { Vec::new() } else { self.low_gain_classes() };
        while !waiting_ids.is_empty() {
            let last = self.subset.len() >= MIN_SERVERS_FOR_RESERVE && !self.has_free_slots(2);
            let may_use_slot = |r: &Request| !last || !r.attempts.is_empty() || !low_gain[r.class];
            let may_use_slot = |id: &&RequestId| self.requests.get(id).is_some_and(may_use_slot);
            let eligible: Vec<RequestId> = waiting_ids.iter().filter(may_use_slot).copied().collect();
            let turn =
                self.next_approved(|b, s| b.is_ready(s) && eligible.iter().any(|id| b.may_send_to(*id, s)));
            let Some(server) = turn else { break };
            let Some(index) = self.best_waiting(&eligible, server.server()) else { break };
            waiting_ids.retain(|id| *id != eligible[index]);
            self.send(eligible[index], server, actions);
        }
        self.waiting_since =
            if waiting_ids.is_empty() { None } else { self.waiting_since.or(Some(self.now)) };
        self.waiting = waiting_ids;
    }

    /// Marks the classes whose gain in the goal per unit of time is much lower than that of the best one.
    fn low_gain_classes(&self) -> Vec<bool> {
        let requested: Vec<f64> =
            self.class_served.iter().map(|c| c.requested.at(self.now, SERVED_WINDOW)).collect();
        let sum: f64 = requested.iter().sum();
        let mut gains = self.goal_weights(&self.class_served, self.config.goal.worst_class);
        for (n, gain) in gains.iter_mut().enumerate() {
            let worth =
                if requested[n] > RARE_CLASS_SHARE * sum { self.config.classes[n].worth } else { 0.0 };
            *gain =
                worth * (*gain + self.config.goal.worth / sum) / self.classes[n].mean.max(f64::MIN_POSITIVE);
        }
        let best = gains.iter().copied().fold(0.0, f64::max);
        gains.into_iter().map(|gain| gain < LOW_GAIN_RATIO * best).collect()
    }

    /// Sends second copies of requests that have been in flight for long, where answers get lost: a retry
    /// at the end of their useful time would come too late. No copy is sent while requests wait, and heavy
    /// requests get more time.
    fn send_copies(&mut self, actions: &mut Vec<Action>) {
        let slow = |r: &Request| {
            let heavy = self.classes[r.class].work.map_or(1.0, |mean| (r.work / mean).max(1.0));
            let (usual, end) = (heavy * self.classes[r.class].mean, self.useful_until(r) - self.now);
            let out = r.has_pending() && r.attempts.len() == 1 && end > usual;
            out && self.now - r.attempts[0].sent >= COPY_AFTER_FACTOR * usual
        };
        let slow: Vec<RequestId> = self.requests.iter().filter(|(_, r)| slow(r)).map(|(id, _)| *id).collect();
        let max_copies = if self.waiting.is_empty() { self.copy_budget as usize } else { 0 };
        for id in slow.into_iter().take(max_copies) {
            let Some(server) = self.next_approved(|b, s| b.is_ready(s) && b.may_send_to(id, s)) else {
                continue;
            };
            self.copy_budget -= 1.0;
            self.send(id, server, actions);
        }
    }

    /// Whether at least `wanted` more attempts could be sent now.
    fn has_free_slots(&self, wanted: usize) -> bool {
        if self.allows_no_server() {
            return false;
        }
        let least = self.min_limit();
        let free = |s: &Server| {
            (s.max_in_flight(self.fleet_factor, least) as usize).saturating_sub(s.in_flight.len()).max(1)
        };
        // In the order of turns, as the first ones are the likeliest to be ready.
        let mut slots = self.by_turn().filter(|s| self.is_usable(s) && self.is_ready(s)).map(free).scan(
            0,
            |sum, slots| {
                *sum += slots;
                Some(*sum)
            },
        );
        slots.any(|sum| sum >= wanted)
    }

    /// The waiting request that gets this server's turn: the one with the highest gain in the goal per unit
    /// of time that its class takes there. Among equals the newest is taken, as the oldest has lost the
    /// time of its wait.
    fn best_waiting(&self, waiting_ids: &[RequestId], server: ServerId) -> Option<usize> {
        let to = self.servers.get(&server)?;
        let mut allowed_indexes = (0..waiting_ids.len()).filter(|i| self.may_send_to(waiting_ids[*i], to));
        if waiting_ids.len() == 1 {
            return allowed_indexes.next_back();
        }
        let goal = &self.config.goal;
        let requested: f64 = self.class_served.iter().map(|c| c.requested.at(self.now, SERVED_WINDOW)).sum();
        let by_class = self.goal_weights(&self.class_served, goal.worst_class);
        let by_tenant = self.goal_weights(&self.tenant_served, goal.worst_tenant);
        let times = self.usual_times.get(&to.entry.kind);
        let key = |index: usize| {
            let r = self.requests.get(&waiting_ids[index])?;
            let tenant = r.tenant.filter(|_| r.in_share).map_or(0.0, |t| by_tenant[t]);
            let marginal_gain = goal.worth / requested.max(f64::MIN_POSITIVE) + by_class[r.class] + tenant;
            let usual = self.classes[r.class].mean;
            let time = times.map_or(usual, |t| if t[r.class] > 0.0 { t[r.class] } else { usual });
            let time = if self.config.by_work { r.work } else { time };
            Some((self.worth(r) * marginal_gain / time.max(f64::MIN_POSITIVE), r.arrived))
        };
        let keyed = allowed_indexes.filter_map(|index| Some((index, key(index)?)));
        let best = keyed.max_by(|(_, a), (_, b)| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(index, _)| index)
    }

    // ---- Periodic work ----

    fn sweep(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        self.swept_at = now;
        match self.calls.sweep(now, &self.config) {
            Sweep::Call => actions.push(Action::Subscribe),
            Sweep::Overdue => self.on_list_failed(ListFailure::Unanswered),
            Sweep::Nothing => {}
        }
        self.follow_list();
        self.start_due_probes(actions);
        if now >= self.chosen_at + self.warmth_step() && self.has_cold_servers() {
            self.choose_subset();
        }
        self.serve_waiting(actions);
        self.send_copies(actions);
    }
}
