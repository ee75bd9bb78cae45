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
use crate::discovery::{Calls, Lost, Sweep};
use crate::places::{put, renew};
use crate::queue::Queue;
use crate::rate::Rate;
use crate::table::{mix, GOLDEN};
use crate::unserved::{First, Unserved};
use knowledge::{Cleared, Knowledge};

/// Share of the slow-start budget that is used; the rest absorbs chance and uneven traffic between nodes.
const SLOW_START_CAUTION: f64 = 0.5;
/// Retries that may have cost a server work, as a share of the first attempts.
const RETRY_BUDGET_SHARE: f64 = 0.1;
/// Upper bound of the retry budget, in attempts.
const RETRY_BUDGET_MAX: f64 = 10.0;
/// A second copy is sent after this many times the usual response time; each lost answer adds this many
/// copies to the copy budget. A copy that wins adds only one: otherwise copies would feed more copies in an
/// overload.
const COPY_AFTER: f64 = 2.0;
const COPIES: f64 = 2.0;
/// Taken from the copy budget by every other end of an attempt: with fewer than one answer in a hundred
/// lost, no copies are sent.
const COPIES_FADE: f64 = 0.02;

/// Number of steps in which the subset is recomputed while its servers warm up.
const WARMTH_STEPS: f64 = 32.0;

/// Target for the average response time, as a share of the aim; above it too many answers are late.
const PACE_TARGET: f64 = 0.35;
/// Response time that is assumed for a late or missing answer, as a multiple of the aim.
const LATE: f64 = 1.25;
/// Response time that is assumed for an attempt cut off at its aim, as a multiple of the aim: it would have
/// taken about as long again.
const CUT: f64 = 2.0;
/// How strongly one answer moves the concurrency limit of its server.
const LIMIT_GAIN: f64 = 0.25;
/// Response time, as a share of the aim, above which a server is taken to get too many turns.
const SHARE_FROM: f64 = 0.25;
/// How strongly one answer moves the learned share of its server, and how much of the share decays with it.
const SHARE_GAIN: (f64, f64) = (0.05, 0.005);
/// How strongly one answer moves the usual response time of its class on its kind of machine.
const TIME_GAIN: f64 = 0.02;
/// Share of a mostly unused limit that each answer removes.
const LIMIT_FADE: f64 = 0.02;
/// The initial limit, in attempts of all nodes at one server, and the minimum limit of one node. Below a
/// limit of one, the node rests between two sends to the server.
const LIMITS: (f64, f64) = (8.0, 0.05);
/// Largest number of nodes per server that each start with a limit of at least one. With more, simultaneous
/// first sends would overload a server before any node has seen an answer.
const CROWD: f64 = 16.0;
/// Minimum of the fleet factor: with too little in flight, there are too few answers to see a recovery.
const FLEET_LEAST: f64 = 0.25;
/// Maximum of the fleet factor; the reserve above 1 keeps a few late answers from lowering the limits.
const FLEET_RESERVE: f64 = 2.0;
/// An attempt that has been in flight for longer than this share of the longest aim no longer counts
/// against its server's limit; all attempts together may reach this multiple of the limit.
const STUCK: f64 = 0.6;
const STUCK_MOST: f64 = 4.0;
/// Added to the number of an attempt that runs on at its server; far above any limit on attempts.
const RUNS_ON: usize = 1 << 20;
/// How long a request may wait at the node, as a share of its aim: in a burst, and in a lasting overload.
const HOLD: (f64, f64) = (0.25, 0.1);
/// From this number of servers on, the last free slot is reserved for the best classes. A class is not one
/// of them if its gain is below this ratio of the best gain; a class below this share of the requested
/// worth does not set the best gain.
const RESERVE_FROM: usize = 4;
const LESSER: f64 = 0.5;
const RARE: f64 = 0.02;

/// How long the client of a refused request should wait before it tries again, as a share of the aim.
const STAY_AWAY: f64 = 0.25;

/// Upper bound of a client's estimate of the work, in aims of its class.
const WORK_MOST: f64 = 8.0;

/// Averaging window for how much of the requested worth each class and tenant is served.
const MEMORY: Millis = 60_000.0;
/// How far above the worst served ratio a class or tenant still counts nearly as the worst.
const NEAR_WORST: f64 = 0.05;

/// The load-balancing state of one node; see the module's documentation.
pub struct Balancer {
    set: Settings,
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
    asked: BTreeSet<ServerId>,
    /// The loss of the list for which the subset is being checked.
    checked_for: Option<Lost>,
    /// The loss of the list as seen by the last call of `follow_list`.
    lost_before: Option<Lost>,
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
    /// See [`Balancer::steps`].
    steps: Cell<u64>,
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
    rotation_most: usize,
    /// Sum of the sizes of the subset's servers.
    size: f64,
    /// The next turn of each server of the subset.
    turns: Queue<ServerId>,
    /// When the subset was last chosen.
    chosen: Millis,
    requests: BTreeMap<RequestId, Request>,
    /// Recent requests that were not served, to recognize their repeats.
    unserved: Unserved,
    /// Requests that wait at the node for a server.
    waiting: Vec<RequestId>,
    /// Position of the last turn taken.
    cursor: f64,
    /// Server that had the last turn.
    cursor_at: Option<ServerId>,
    /// How many times more nodes share a server than intended, where the subset can't be smaller; at least
    /// 1.
    crowd: f64,
    /// Since when requests have been waiting without interruption.
    held_since: Option<Millis>,
    classes: Vec<ClassStats>,
    /// Factor on all limits where it is below 1: how far the fleet as a whole has slowed down.
    fleet: f64,
    /// How much of its requested worth each class is served, and each tenant within its share.
    class_served: Vec<Served>,
    tenant_served: Vec<Served>,
    /// This node's part of each tenant's share: requests left within it, and when that was computed.
    quotas: Vec<(f64, Millis)>,
    /// Requests answered per second and unit of weight.
    pace: Rate,
    /// Requests received per second and unit of weight; used until one has been answered.
    arrivals: Rate,
    /// For each kind of machine, the usual response time of each class at a server with no other attempt of
    /// this node.
    times: BTreeMap<u64, Vec<Millis>>,
    retry_budget: f64,
    /// Copy budget: second copies that may be sent because of lost answers.
    copies: f64,
    /// When the timer that was set last is due.
    timer_due: Millis,
    /// When `sweep` last ran.
    swept: Millis,
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
    out: Vec<(RequestId, usize, Millis)>,
    /// Limit on this node's attempts in flight while the fleet as a whole is not slow.
    limit: f64,
    last_sent: Millis,
    /// Response time of its last answer.
    last_took: Millis,
    /// Consecutive failures.
    consecutive_failures: u32,
    /// When a connection last broke, if nothing has been served since.
    last_reset: Millis,
    /// Consecutive ejections.
    ejections: u32,
    /// Set while the server is ejected; when it is probed next.
    ejected: Option<Millis>,
    /// Ejected for refused or broken connections: its process will come back cold.
    down: bool,
    /// What has been observed of its process.
    known: Knowledge,
    /// When its next health check is due while the list is not followed.
    next_check: Millis,
    /// When the check after that is due, if not after the usual interval.
    check_after: Millis,
    /// When it came back from what looked like a restart.
    returned: Option<Millis>,
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
    came: Millis,
    deadline: Millis,
    attempts: Vec<Attempt>,
    bound: Bound,
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
    /// Average of how far response times exceed the share threshold, as a share of the aim.
    excess: f64,
    /// The most time that a request had left when it arrived.
    most_left: Millis,
    /// Mean work by the clients' estimates.
    work: Option<f64>,
}

impl ClassStats {
    fn new(class: &Class) -> Self {
        Self { mean: class.aim / 4.0, seen: 0, excess: 0.0, most_left: f64::NEG_INFINITY, work: None }
    }
}

/// Rates of requested and served worth.
#[derive(Default)]
struct Served {
    asked: Rate,
    served: Rate,
}

impl Server {
    fn listed_up(&self) -> bool {
        self.entry.state == Listed::Up
    }

    /// How many attempts of this node may be in flight, with the fleet factor and the minimum limit
    /// applied.
    fn allowed(&self, fleet: f64, least: f64) -> f64 {
        (self.limit * fleet.min(1.0)).max(least)
    }

    /// The share of its capacity that it has at least, by the time since its start.
    fn warmth(&self, now: Millis, rules: &Rules) -> f64 {
        let start = self.entry.started.into_iter().chain(self.returned).fold(f64::NEG_INFINITY, f64::max);
        let age = (now - start).max(0.0);
        if age >= rules.warm_within {
            return 1.0;
        }
        rules.cold_share + (1.0 - rules.cold_share) * age / rules.warm_within
    }
}

impl Request {
    /// Rule 2, for every retry and every refusal: whether it is harmless by what is known of the earlier
    /// attempts. `to` is the server to send to; `None` asks about a refusal.
    fn may_repeat(&self, limits: &Limits, now: Millis, to: Option<&Entry>) -> bool {
        let mut ran = self.attempts.iter().filter(|a| !a.outcome.is_some_and(Outcome::never_ran));
        if to.is_some() {
            let bound = self.bound != Bound::Free || self.attempts.len() >= limits.attempts;
            if bound || (self.pending() && !limits.second_copies) {
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

    fn pending(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }

    /// Cancels all attempts in flight except `one`, if cancelling is permitted.
    fn cancel_all(&self, id: RequestId, one: Option<usize>, limits: &Limits, actions: &mut Vec<Action>) {
        let out = |n: &usize| limits.cancel && Some(*n) != one && self.attempts[*n].outcome.is_none();
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
            set: settings,
            random: seed,
            now: 0.0,
            servers: BTreeMap::new(),
            gone: BTreeSet::new(),
            suspected: BTreeSet::new(),
            ejected: BTreeSet::new(),
            probes: Queue::new(),
            asked: BTreeSet::new(),
            checked_for: None,
            lost_before: None,
            is_checking: false,
            proved: Queue::new(),
            seen: Queue::new(),
            refused: BTreeSet::new(),
            steps: Cell::new(0),
            sends: DoubtfulSends::default(),
            warming: BTreeSet::new(),
            cold: BTreeSet::new(),
            members: Vec::new(),
            order: Vec::new(),
            subset: Vec::new(),
            without_turn: Vec::new(),
            rotation_most: subset::ROTATION_MOST,
            size: 0.0,
            turns: Queue::new(),
            chosen: f64::NEG_INFINITY,
            requests: BTreeMap::new(),
            unserved: Unserved::default(),
            waiting: Vec::new(),
            cursor: 0.0,
            cursor_at: None,
            crowd: 1.0,
            held_since: None,
            classes,
            fleet: 1.0,
            class_served,
            tenant_served,
            quotas,
            pace: Rate::default(),
            arrivals: Rate::default(),
            times: BTreeMap::new(),
            retry_budget: RETRY_BUDGET_MAX,
            copies: 0.0,
            timer_due: f64::INFINITY,
            swept: f64::NEG_INFINITY,
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
            Event::ListNews(entries) => self.on_list(entries, false, false),
            Event::ListAnswering => self.calls.answering(now, &self.set),
            Event::ListFailed(failure) => self.on_list_failed(failure),
            Event::DiscoveryMoved if self.set.discovery == Discovery::Asked => self.calls.moved(now),
            event @ Event::Request { .. } => self.on_request(event, actions),
            Event::Settings { settings, classes, tenants } => self.on_settings(*settings, &classes, &tenants),
            Event::Tenants(changes) => changes.into_iter().for_each(|change| self.on_tenant(change)),
            Event::Spent(id) => self.requests.get_mut(&id).into_iter().for_each(|r| r.bound = Bound::Body),
            Event::Streaming { id, attempt } => self.on_streaming(id, attempt, actions),
            event @ Event::Ended { .. } => self.on_ended(event, actions),
            Event::RunsOn { id, attempt, server } => {
                let out = self.servers.get_mut(&server).into_iter().flat_map(|s| &mut s.out);
                // Renumbered so that the end of the attempt does not remove it.
                out.filter(|o| (o.0, o.1) == (id, attempt)).for_each(|o| o.1 = RUNS_ON + attempt);
            }
            Event::Left { id, attempt, server } => {
                self.free(server, id, RUNS_ON + attempt);
                self.drop_gone();
                self.serve_waiting(actions);
            }
            Event::Probed { server, outcome, took } => self.on_probed(server, outcome, took),
            Event::ConnectionAnswered { server, opened } => self.on_connection_answered(server, opened),
            Event::ClientGone(id) => {
                self.remember(id);
                self.forget(id, actions);
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
        let due = self.next_due().max(now + self.set.tick.max(1.0));
        if due < self.timer_due {
            self.timer_due = due;
            actions.push(Action::SetTimer(due - now));
        }
    }

    /// Applies new settings. Classes and tenants that keep their index keep what was learned of them; the
    /// others are reset.
    fn on_settings(&mut self, settings: Settings, classes: &[bool], tenants: &[bool]) {
        self.set = settings;
        renew(&mut self.classes, classes, |n| ClassStats::new(&self.set.classes[n]));
        renew(&mut self.class_served, classes, |_| Served::default());
        renew(&mut self.tenant_served, tenants, |_| Served::default());
        renew(&mut self.quotas, tenants, |_| (0.0, f64::NEG_INFINITY));
        self.times.values_mut().for_each(|times| renew(times, classes, |_| 0.0));
        // The number of nodes may have changed, so the order of the servers is recomputed.
        self.remember_members();
        self.on_list(Vec::new(), false, false);
    }

    /// Applies a change of one tenant; the cost does not depend on the number of tenants.
    fn on_tenant(&mut self, TenantChange { place, tenant, anew }: TenantChange) {
        put(&mut self.set.tenants, place, tenant);
        if anew {
            put(&mut self.tenant_served, place, Served::default());
            put(&mut self.quotas, place, (0.0, f64::NEG_INFINITY));
        }
    }

    /// How long the client of a refused request of this class should wait before it tries again.
    pub fn stay_away(&self, class: usize) -> Millis {
        let aim = self.set.classes.get(class).map_or(0.0, |c| c.aim);
        (STAY_AWAY * aim).min(self.set.limits.max_retry_after)
    }

    /// Whether a request with this key repeats one that is already counted.
    pub fn repeats(&self, now: Millis, repeat_key: Option<u64>) -> bool {
        repeat_key.is_some_and(|repeat_key| self.unserved.knows(now, repeat_key))
    }

    /// Number of servers that are listed as up but ejected, because they seem to be down or to fail.
    pub fn avoided(&self) -> usize {
        let known = self.suspected.iter().filter_map(|id| self.servers.get(id));
        known.filter(|server| server.listed_up() && server.ejected.is_some()).count()
    }

    /// Whether the list is not being followed, so that health checks of the servers count.
    pub fn has_lost_list(&self) -> bool {
        self.calls.lost().is_some()
    }

    /// When discovery is to be called next, if a call is scheduled.
    pub fn next_call(&self) -> Option<Millis> {
        self.calls.next()
    }

    /// When `sweep` is next due, if no event comes before.
    fn next_due(&self) -> Millis {
        let looks = !self.waiting.is_empty() || (self.copies >= 1.0 && !self.requests.is_empty());
        let held = if looks { self.swept + self.period() } else { f64::INFINITY };
        let warms = if self.any_cold() { self.chosen + self.warmth_step() } else { f64::INFINITY };
        self.calls.due(&self.set).min(held).min(warms).min(self.next_probe())
    }

    fn note_cold(&mut self, id: ServerId, cold: bool) {
        if cold {
            self.cold.insert(id);
        } else {
            self.cold.remove(&id);
        }
    }

    /// Whether the turn of any server of the subset was computed while it was cold.
    fn any_cold(&self) -> bool {
        self.rotated_of(&self.cold).any(|server| server.turn_warmth < 1.0)
    }

    /// How often the subset is recomputed while servers warm up.
    fn warmth_step(&self) -> Millis {
        self.set.rules.warm_within / WARMTH_STEPS
    }

    /// Interval at which waiting requests are examined: far below every aim, and within the slack of a
    /// deadline.
    fn period(&self) -> Millis {
        let aim = self.set.classes.iter().map(|c| c.aim).fold(f64::INFINITY, f64::min);
        (aim / 20.0).max(self.set.tick).max(1.0)
    }

    fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_add(GOLDEN);
        (mix(self.random) >> 11) as f64 / (1u64 << 53) as f64
    }

    // ---- The rotation ----

    /// The initial concurrency limit of a server. It is below one only if more nodes share a server than it
    /// can bear: otherwise nodes would rest from servers that get no requests at all, and refuse what an
    /// idle fleet could serve.
    fn first_limit(&self) -> f64 {
        (LIMITS.0 / self.sharing()).max((CROWD / self.sharing()).min(1.0))
    }

    /// The minimum of a server's limit.
    fn least_limit(&self) -> f64 {
        LIMITS.1 / self.crowd
    }

    // ---- Which servers are ready ----

    fn ready(&self, server: &Server) -> bool {
        server.ejected.is_none() && self.within_slow_start(server) && self.has_room(server)
    }

    /// Whether the server is below its limit of this node's attempts. By turns alone, a slow server would
    /// keep its full share while its queue grows until no answer comes in time. Attempts in flight for long
    /// are not counted, up to a bound: otherwise a few requests with enormous work, or with lost answers,
    /// would keep an idle server full. If a server is this slow with all requests, each late answer lowers
    /// its limit.
    fn has_room(&self, server: &Server) -> bool {
        let limit = server.allowed(self.fleet, self.least_limit());
        if limit >= 1.0 {
            let stuck_from = self.now - STUCK * self.set.classes.iter().map(|c| c.aim).fold(0.0, f64::max);
            let moving = server.out.iter().filter(|(_, _, sent)| *sent > stuck_from).count();
            return (moving as f64) < limit.floor()
                && (server.out.len() as f64) < STUCK_MOST * self.first_limit().max(limit);
        }
        server.out.is_empty() && self.now - server.last_sent >= self.rest(server)
    }

    /// How long a server with a limit below one rests between two sends: long enough that the average
    /// number in flight stays within the limit, but never so long that its recovery would go unnoticed.
    fn rest(&self, server: &Server) -> Millis {
        let most = self.set.classes.iter().map(|c| 2.0 * c.aim).fold(0.0, f64::max);
        (server.last_took / server.allowed(self.fleet, self.least_limit())).min(most * self.crowd)
    }

    /// Rule 4: what all nodes together send to a cold server in one window must stay below a multiple of
    /// its present capacity. The capacity is derived from what a warm server of its size answers. Each node
    /// spaces its sends by its own traffic, and waits a random part of the first interval: otherwise all
    /// nodes would send at once.
    fn within_slow_start(&self, server: &Server) -> bool {
        let rules = &self.set.rules;
        let warmth = server.warmth(self.now, rules);
        if warmth >= 1.0 {
            return true;
        }
        let part = SLOW_START_CAUTION * rules.fall_multiple * warmth;
        let pace = if self.pace.per_s > 0.0 { self.pace.per_s } else { self.arrivals.per_s };
        let space = 1000.0 / (part * pace * server.size);
        self.now - server.last_sent >= space * server.stagger
    }

    // ---- Requests ----

    fn on_request(&mut self, event: Event, actions: &mut Vec<Action>) {
        let Event::Request { id, class, tenant, deadline, repeat_key, work, within, earlier } = event else {
            return;
        };
        if self.requests.contains_key(&id) {
            // Ids are unique: answering the duplicate would answer the first request, which is still open.
            return;
        }
        let Some(effect) = self.set.classes.get(class).map(|c| c.effect) else {
            actions.push(Action::Explain { id, reason: Reason::NoSuchClass });
            return actions.push(Action::Fail(id));
        };
        let work = if self.set.by_work { self.work_of(class, work) } else { 1.0 };
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_SHARE).min(RETRY_BUDGET_MAX);
        let size = self.present_size();
        self.arrivals.add(self.now, self.set.rules.fall_window, 1.0 / size.max(1.0));
        let tenant = tenant.filter(|t| *t < self.set.tenants.len());
        // A client's repeat is served by the time of its first try or not at all, and counts once:
        // otherwise, when more is refused than served, most work would be spent on answers that are too
        // late.
        let first = repeat_key.and_then(|repeat_key| self.unserved.take(self.now, repeat_key));
        let in_share = match &first {
            Some(first) => first.in_share,
            None => within.unwrap_or_else(|| tenant.is_none_or(|t| self.take_quota(t))),
        };
        let before = |e: &Earlier| {
            let Earlier { server, zone, cell, sent, outcome } = *e;
            Attempt { server, zone, cell, sent, at_limit: false, alone: false, outcome: Some(outcome) }
        };
        let attempts = earlier.iter().flatten().map(before).collect();
        let (came, bound) = (self.now, Bound::Free);
        let asked = (came - self.age(class, deadline)).min(first.as_ref().map_or(came, |u| u.asked));
        let request = Request {
            class,
            effect,
            tenant,
            in_share,
            repeat_key,
            work,
            asked,
            came,
            deadline,
            attempts,
            bound,
        };
        self.requests.insert(id, request);
        if first.is_none() {
            self.tally(id, |care| &mut care.asked);
        }
        if earlier.is_some() {
            // It counts as a retry, against the retry budget: the requests of a lost tenth of the fleet
            // must not all be sent at once.
            self.further(id, Outcome::Reset, actions);
        } else {
            self.waiting.push(id);
        }
        self.serve_waiting(actions);
    }

    /// A request's work: the client's estimate if it is valid, else the usual one. It is capped, as no
    /// request can take longer than its client waits, and a larger estimate would distort the averages for
    /// their whole window.
    fn work_of(&mut self, class: usize, guess: Option<f64>) -> f64 {
        let Some(told) = self.set.classes.get(class) else { return 1.0 };
        let most = told.patience.min(WORK_MOST * told.aim);
        let usual = &mut self.classes[class].work;
        let Some(guess) = guess.filter(|w| w.is_finite() && *w > 0.0) else {
            return usual.unwrap_or(told.aim / 8.0);
        };
        let work = guess.min(most);
        *usual = Some(usual.map_or(work, |usual| usual + (work - usual) * TIME_GAIN));
        work
    }

    /// Records that a request is not served, to recognize the client's repeat.
    fn remember(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if let Some(repeat_key) = request.repeat_key {
            let until = request.asked + self.set.classes[request.class].patience.min(MEMORY);
            let first = First { asked: request.asked, in_share: request.in_share };
            self.unserved.put(self.now, repeat_key, first, until);
        }
    }

    /// How long ago the client first sent the request: a repeat after a refusal still has the deadline of
    /// the first try. The most time left that was ever seen in a class is taken for that of a new request.
    /// Where clients may repeat what they have given up, the deadline belongs to the latest try and shows
    /// nothing.
    fn age(&mut self, class: usize, deadline: Millis) -> Millis {
        let left = deadline - self.now;
        let most = &mut self.classes[class].most_left;
        if left.is_finite() {
            *most = most.max(left);
        }
        match self.set.classes[class].effect {
            Effect::Safe | Effect::Keyed { group: Group::All, .. } => 0.0,
            _ => (*most - left).max(0.0),
        }
    }

    /// Whether a request is within its tenant's share, and takes it from there. The share is assumed to be
    /// spread evenly over the nodes.
    fn take_quota(&mut self, tenant: usize) -> bool {
        let own = self.set.tenants[tenant].quota_per_s / self.set.nodes as f64;
        let (left, since) = self.quotas[tenant];
        let left = (left + own * (self.now - since) / 1000.0).min(own.max(1.0));
        let within = left >= 1.0;
        self.quotas[tenant] = (if within { left - 1.0 } else { left }, self.now);
        within
    }

    fn worth(&self, request: &Request) -> f64 {
        let share = if request.in_share { 1.0 } else { self.set.over_share_worth };
        self.set.classes[request.class].worth * share * request.work
    }

    fn tally(&mut self, id: RequestId, of: impl Fn(&mut Served) -> &mut Rate) {
        let Some(request) = self.requests.get(&id) else { return };
        let (now, worth) = (self.now, self.worth(request));
        of(&mut self.class_served[request.class]).add(now, MEMORY, worth);
        if let (Some(tenant), true) = (request.tenant, request.in_share) {
            of(&mut self.tenant_served[tenant]).add(now, MEMORY, worth);
        }
    }

    /// The gain per unit of served worth, for each entry, in the part of the goal that goes by the worst
    /// served one: the full weight for the worst, less for those above it.
    fn goal_weights(&self, cares: &[Served], goal: f64) -> Vec<f64> {
        let asked: Vec<f64> = cares.iter().map(|c| c.asked.at(self.now, MEMORY)).collect();
        let part = |(c, a): (&Served, &f64)| if *a > 0.0 { c.served.at(self.now, MEMORY) / a } else { 1.0 };
        let parts: Vec<f64> = cares.iter().zip(&asked).map(part).collect();
        let worst = parts.iter().copied().fold(f64::INFINITY, f64::min);
        let near: Vec<f64> = parts.iter().map(|p| (-(p - worst) / NEAR_WORST).exp()).collect();
        let sum: f64 = near.iter().sum();
        let weight = |(n, a): (&f64, &f64)| if *a > 0.0 { goal * n / sum / a } else { 0.0 };
        near.iter().zip(&asked).map(weight).collect()
    }

    /// Whether the request may be sent to this server. The server that just failed it is excluded unless no
    /// other is permitted: a request bound to the cell of its first attempt would otherwise wait in vain.
    fn may_go(&self, id: RequestId, to: &Server) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let may = |s: &Server| request.may_repeat(&self.set.limits, self.now, Some(&s.entry));
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

    fn send(&mut self, id: RequestId, to: Cleared, actions: &mut Vec<Action>) {
        self.count_send(to);
        let to = to.server();
        let Some(request) = self.requests.get(&id) else { return };
        let late = self.set.classes[request.class].late_worth > 0.0;
        let timeout = if late { request.deadline } else { self.useful_until(request) } - self.now;
        let (rest, least) = (self.servers.get(&to).map_or(0.0, |s| self.rest(s)), self.least_limit());
        let (Some(request), Some(server)) = (self.requests.get_mut(&id), self.servers.get_mut(&to)) else {
            return;
        };
        let (zone, cell) = (server.entry.zone, server.entry.cell);
        server.out.push((id, request.attempts.len(), self.now));
        let allowed = server.allowed(self.fleet, least);
        let rested = self.now - server.last_sent;
        (server.last_sent, server.stagger) = (self.now, 1.0);
        let alone = server.out.len() == 1;
        let at_limit =
            if allowed < 1.0 { rested <= 2.0 * rest } else { 2.0 * server.out.len() as f64 >= allowed };
        let (server, sent) = (to, self.now);
        request.attempts.push(Attempt { server, zone, cell, sent, at_limit, alone, outcome: None });
        actions.push(Action::Send { id, server: to, timeout: Some(timeout.max(0.001)) });
    }

    /// Until when an answer has its full worth, less the time for its way back to the client.
    fn useful_until(&self, request: &Request) -> Millis {
        let aim = self.set.classes[request.class].aim;
        (request.asked + aim - self.set.tick).min(request.deadline)
    }

    fn on_streaming(&mut self, id: RequestId, attempt: usize, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.bound = Bound::Answer;
        request.cancel_all(id, Some(attempt), &self.set.limits, actions);
    }

    /// Removes an attempt from its server's attempts in flight.
    fn free(&mut self, server: ServerId, id: RequestId, attempt: usize) {
        let out = self.servers.get_mut(&server).into_iter().map(|s| &mut s.out);
        out.for_each(|out| out.retain(|o| (o.0, o.1) != (id, attempt)));
    }

    fn on_ended(&mut self, event: Event, actions: &mut Vec<Action>) {
        let Event::Ended { id, attempt, server, outcome, took, finished } = event else { return };
        let now = self.now;
        let took = if took.is_finite() { took.max(0.0) } else { 0.0 };
        self.free(server, id, attempt);
        self.detect_outlier(server, outcome, took);
        self.drop_gone();
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(ended) = request.attempts.get_mut(attempt).filter(|a| a.outcome.is_none()) else { return };
        ended.outcome = Some(outcome);
        let (class, ended, asked) = (request.class, *ended, request.asked);
        let open = request.pending() || request.bound == Bound::Answer;
        let done = outcome == Outcome::Done;
        let overtaken = request.attempts.iter().find(|a| done && a.outcome.is_none()).copied();
        let lost = self.set.limits.second_copies && outcome == Outcome::Unheard;
        let gain = if lost { COPIES } else { overtaken.map_or(-COPIES_FADE, |_| 1.0) };
        self.copies = (self.copies + gain).clamp(0.0, RETRY_BUDGET_MAX);
        self.learn(class, ended, outcome, took);
        // Recorded now, as the attempt is cancelled with its request and would show nothing of a server
        // that hangs.
        let slow = |a: Attempt| self.detect_outlier(a.server, Outcome::TimedOut, now - a.sent);
        overtaken.into_iter().for_each(slow);
        if finished {
            if now - asked <= self.set.classes[class].aim {
                self.tally(id, |care| &mut care.served);
            }
            self.forget(id, actions);
        } else if !open {
            self.further(id, outcome, actions);
        }
        self.serve_waiting(actions);
    }

    /// Updates the limit, the share and the usual response times from the end of an attempt.
    fn learn(&mut self, class: usize, attempt: Attempt, outcome: Outcome, took: Millis) {
        let Attempt { server: id, at_limit, alone, .. } = attempt;
        let (now, rules, done) = (self.now, &self.set.rules, outcome == Outcome::Done);
        let (first, least_limit) = (self.first_limit(), self.least_limit());
        let late = self.set.classes[class].late_worth > 0.0;
        let part = match outcome {
            Outcome::Done => (took / self.set.classes[class].aim).min(LATE),
            // If answers get lost, a missing one shows nothing of its server's speed.
            Outcome::TimedOut if self.copies >= 1.0 => return,
            // It was cut off at the end of its usefulness. An attempt that had little time shows little,
            // and nothing good.
            Outcome::TimedOut if !late => {
                let part = CUT * (took / self.set.classes[class].aim).min(1.0).powi(2);
                part.max(PACE_TARGET.next_up())
            }
            Outcome::TimedOut | Outcome::Full => LATE,
            _ => return,
        };
        let warm = |s: &Server| s.warmth(now, rules) >= 1.0;
        if done && self.servers.get(&id).is_some_and(warm) {
            // Measured on warm servers only: if it included cold ones, a low slow-start budget would lower
            // itself further.
            let size = self.warm_size();
            self.pace.add(now, rules.fall_window, 1.0 / size.max(f64::MIN_POSITIVE));
        }
        let count = self.set.classes.len();
        let pace = &mut self.classes[class];
        if done {
            pace.seen = pace.seen.saturating_add(1);
            pace.mean += (took - pace.mean) / f64::from(pace.seen.min(200));
        }
        // When the whole fleet slows down at once, its answers together show it long before each server's
        // limit has had enough answers of its own. The factor falls when more than half as many answers are
        // late as are well in time.
        let step = LIMIT_GAIN * (LATE - PACE_TARGET) / (self.subset.len().max(1) as f64).sqrt();
        if part >= 1.0 && outcome != Outcome::Full {
            self.fleet = (self.fleet * (-2.0 * step).exp()).max(FLEET_LEAST);
        } else if part <= PACE_TARGET {
            self.fleet = (self.fleet * step.exp()).min(FLEET_RESERVE);
        }
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.last_took = took;
        if done && alone {
            let time = &mut self.times.entry(s.entry.kind).or_insert_with(|| vec![0.0; count])[class];
            *time += (took - *time) * if *time > 0.0 { TIME_GAIN } else { 1.0 };
        }
        // Learns sizes that the list does not tell: a server whose answers exceed the threshold by more
        // than the average gets too many turns. At low load none exceeds it, and the turns stay even.
        let excess = (part - SHARE_FROM).max(0.0);
        pace.excess += (excess - pace.excess) * SHARE_GAIN.0;
        s.share = s.share.powf(1.0 - SHARE_GAIN.1) * (SHARE_GAIN.0 * (pace.excess - excess)).exp();
        let unused = s.allowed(self.fleet, least_limit) > 2.0 * (s.out.len() as f64 + 1.0);
        if unused || (s.limit < 1.0 && !at_limit) {
            // A limit that is never reached gives no protection when the fleet slows down at once.
            s.limit *= 1.0 - LIMIT_FADE;
        }
        if s.limit < first && part <= PACE_TARGET && at_limit {
            // Answers are rare below a limit of one: without a quick recovery, a server that was slow for
            // seconds would stay out for minutes. The quick recovery ends at the initial limit, as beyond
            // it many nodes would overload the server.
            s.limit *= (LIMIT_GAIN * (LATE - PACE_TARGET)).exp();
        } else if at_limit {
            // One attempt at a time that is answered in time is not too much, even if the whole fleet is so
            // slow that it misses the target.
            let least = if part < 1.0 { s.limit.min(1.0) } else { least_limit };
            s.limit = (s.limit * (LIMIT_GAIN * (PACE_TARGET - part)).exp()).max(least);
        }
    }

    /// Queues a request whose attempts have all failed for a retry, or concludes it.
    fn further(&mut self, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.set.classes[request.class];
        let end = if class.late_worth > 0.0 { request.deadline } else { self.useful_until(request) };
        let time = end - self.now > self.classes[request.class].mean;
        let cost = if outcome.never_ran() { 0.0 } else { 1.0 };
        let may_go = |s: &Server| request.may_repeat(&self.set.limits, self.now, Some(&s.entry));
        let is_bound = matches!(request.effect, Effect::Keyed { group: Group::Zone | Group::Cell, .. });
        // Unless the request is bound to a zone or cell, all servers are equivalent.
        let may = self.by_turn().take(if is_bound { usize::MAX } else { 1 }).any(may_go);
        let reason = if !time {
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
        self.remember(id);
        let Some(request) = self.requests.get(&id) else { return };
        let stay_away = self.stay_away(request.class);
        let harmless = request.may_repeat(&self.set.limits, self.now, None);
        actions.push(Action::Explain { id, reason });
        actions.push(if harmless { Action::Refuse { id, stay_away } } else { Action::Fail(id) });
        self.forget(id, actions);
    }

    /// Removes a finished request and cancels its attempts that are still in flight.
    fn forget(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.remove(&id).filter(|r| r.bound != Bound::Answer) {
            request.cancel_all(id, None, &self.set.limits, actions);
        }
    }

    /// Sends waiting requests in the order of their gain in the goal per unit of work, and concludes those
    /// that have waited too long. First come, first served would shed by the length of the aims, not by
    /// worth.
    fn serve_waiting(&mut self, actions: &mut Vec<Action>) {
        let last = 2.0 * self.period();
        let mut held = Vec::new();
        for id in std::mem::take(&mut self.waiting) {
            let Some(request) = self.requests.get(&id) else { continue };
            let class = request.class;
            // An answer may still come in time until then.
            let spare = self.useful_until(request) - self.classes[class].mean;
            // With less time it would most likely be cut off and its work lost. A new request is always
            // tried: otherwise a class that was slow once would never be seen to recover.
            let hopeless = self.set.classes[class].late_worth == 0.0 && self.now > spare.max(request.asked);
            let end = if hopeless {
                f64::NEG_INFINITY
            } else if request.attempts.is_empty() {
                // In a lasting overload a long wait helps nobody: every request that is served has lost
                // that time.
                let aim = self.set.classes[class].aim;
                let lasting = self.held_since.is_some_and(|since| self.now - since > aim);
                (request.came + aim * if lasting { HOLD.1 } else { HOLD.0 }).min(spare).max(request.came)
            } else {
                spare
            };
            if self.now <= end.min(request.deadline - last) {
                held.push(id);
            } else {
                let reason = match (self.subset.is_empty(), hopeless) {
                    (true, _) => Reason::NoServer,
                    (false, true) => Reason::NoTime,
                    (false, false) => Reason::NoRoom,
                };
                self.conclude(id, reason, actions);
            }
        }
        // A turn is taken only for a request that may be sent, and the last free slot is left to the
        // classes with the highest gain: a node that sends little is full for moments all the time, and a
        // request that can't wait is refused.
        let lesser = if held.is_empty() { Vec::new() } else { self.lesser() };
        while !held.is_empty() {
            let last = self.subset.len() >= RESERVE_FROM && !self.has_places(2);
            let goes = |r: &Request| !last || !r.attempts.is_empty() || !lesser[r.class];
            let goes = |id: &&RequestId| self.requests.get(id).is_some_and(goes);
            let eager: Vec<RequestId> = held.iter().filter(goes).copied().collect();
            let turn = self.next_known(|b, s| b.ready(s) && eager.iter().any(|id| b.may_go(*id, s)));
            let Some(server) = turn else { break };
            let Some(place) = self.best_held(&eager, server.server()) else { break };
            held.retain(|id| *id != eager[place]);
            self.send(eager[place], server, actions);
        }
        self.held_since = if held.is_empty() { None } else { self.held_since.or(Some(self.now)) };
        self.waiting = held;
    }

    /// Marks the classes whose gain in the goal per unit of time is much lower than that of the best one.
    fn lesser(&self) -> Vec<bool> {
        let asked: Vec<f64> = self.class_served.iter().map(|c| c.asked.at(self.now, MEMORY)).collect();
        let sum: f64 = asked.iter().sum();
        let mut gains = self.goal_weights(&self.class_served, self.set.goal.worst_class);
        for (n, gain) in gains.iter_mut().enumerate() {
            let worth = if asked[n] > RARE * sum { self.set.classes[n].worth } else { 0.0 };
            *gain = worth * (*gain + self.set.goal.worth / sum) / self.classes[n].mean.max(f64::MIN_POSITIVE);
        }
        let best = gains.iter().copied().fold(0.0, f64::max);
        gains.into_iter().map(|gain| gain < LESSER * best).collect()
    }

    /// Sends second copies of requests that have been in flight for long, where answers get lost: a retry
    /// at the end of their useful time would come too late. No copy is sent while requests wait, and heavy
    /// requests get more time.
    fn send_copies(&mut self, actions: &mut Vec<Action>) {
        let slow = |r: &Request| {
            let heavy = self.classes[r.class].work.map_or(1.0, |mean| (r.work / mean).max(1.0));
            let (usual, end) = (heavy * self.classes[r.class].mean, self.useful_until(r) - self.now);
            let out = r.pending() && r.attempts.len() == 1 && end > usual;
            out && self.now - r.attempts[0].sent >= COPY_AFTER * usual
        };
        let slow: Vec<RequestId> = self.requests.iter().filter(|(_, r)| slow(r)).map(|(id, _)| *id).collect();
        let most = if self.waiting.is_empty() { self.copies as usize } else { 0 };
        for id in slow.into_iter().take(most) {
            let Some(server) = self.next_known(|b, s| b.ready(s) && b.may_go(id, s)) else { continue };
            self.copies -= 1.0;
            self.send(id, server, actions);
        }
    }

    /// Whether at least `wanted` more attempts could be sent now.
    fn has_places(&self, wanted: usize) -> bool {
        let least = self.least_limit();
        let free = |s: &Server| (s.allowed(self.fleet, least) as usize).saturating_sub(s.out.len()).max(1);
        // In the order of turns, as the first ones are the likeliest to be ready.
        let mut places =
            self.by_turn().filter(|s| self.is_usable(s) && self.ready(s)).map(free).scan(0, |sum, places| {
                *sum += places;
                Some(*sum)
            });
        places.any(|sum| sum >= wanted)
    }

    /// The waiting request that gets this server's turn: the one with the highest gain in the goal per unit
    /// of time that its class takes there. Among equals the newest is taken, as the oldest has lost the
    /// time of its wait.
    fn best_held(&self, held: &[RequestId], server: ServerId) -> Option<usize> {
        let to = self.servers.get(&server)?;
        let mut may = (0..held.len()).filter(|i| self.may_go(held[*i], to));
        if held.len() == 1 {
            return may.next_back();
        }
        let goal = &self.set.goal;
        let asked: f64 = self.class_served.iter().map(|c| c.asked.at(self.now, MEMORY)).sum();
        let by_class = self.goal_weights(&self.class_served, goal.worst_class);
        let by_tenant = self.goal_weights(&self.tenant_served, goal.worst_tenant);
        let times = self.times.get(&to.entry.kind);
        let key = |place: usize| {
            let r = self.requests.get(&held[place])?;
            let tenant = r.tenant.filter(|_| r.in_share).map_or(0.0, |t| by_tenant[t]);
            let slope = goal.worth / asked.max(f64::MIN_POSITIVE) + by_class[r.class] + tenant;
            let usual = self.classes[r.class].mean;
            let time = times.map_or(usual, |t| if t[r.class] > 0.0 { t[r.class] } else { usual });
            let time = if self.set.by_work { r.work } else { time };
            Some((self.worth(r) * slope / time.max(f64::MIN_POSITIVE), r.came))
        };
        let keyed = may.filter_map(|place| Some((place, key(place)?)));
        let best = keyed.max_by(|(_, a), (_, b)| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(place, _)| place)
    }

    // ---- Periodic work ----

    fn sweep(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        self.swept = now;
        match self.calls.sweep(now, &self.set) {
            Sweep::Call => actions.push(Action::Subscribe),
            Sweep::Overdue => self.on_list_failed(ListFailure::Unanswered),
            Sweep::Nothing => {}
        }
        self.follow_list();
        self.probe(actions);
        if now >= self.chosen + self.warmth_step() && self.any_cold() {
            self.choose_subset();
        }
        self.serve_waiting(actions);
        self.send_copies(actions);
    }
}
