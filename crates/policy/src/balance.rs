//! The decisions; interface: `crates/policy/src/api.rs`.
//!
//! Each request goes to the server whose turn it is: a smooth weighted rotation over the sorted servers,
//! begun at the node's own offset, one send per turn, blind to load. A server that is not ready is passed
//! over in place. All else here settles who is ready, when an attempt is given up or repeated, and when a
//! request is refused.

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

/// Part of the cold budget that is used; the rest is for chance and for uneven nodes.
const SLOW_START_CAUTION: f64 = 0.5;
/// Further attempts that may have cost work, as a part of the first ones.
const RETRY_BUDGET_SHARE: f64 = 0.1;
/// The retry budget that may be saved up, in attempts.
const RETRY_BUDGET_MAX: f64 = 10.0;
/// After how many times its usual time a second copy is sent, and how many copies each answer allows that got
/// lost. One that comes first was worth itself and no more: in an overload, copies would else feed copies.
const COPY_AFTER: f64 = 2.0;
const COPIES: f64 = 2.0;
/// What each other end takes away: where fewer than one in a hundred got lost, no copies are sent.
const COPIES_FADE: f64 = 0.02;

/// In how many steps the subset follows the warmth of its servers.
const WARMTH_STEPS: f64 = 32.0;

/// Part of its aim that an answer should take on average: what is more makes too many late.
const PACE_TARGET: f64 = 0.35;
/// What an answer that came too late, or never, counts as, in parts of its aim.
const LATE: f64 = 1.25;
/// What an attempt that was cut off at its aim counts as: it would have taken about as long again.
const CUT: f64 = 2.0;
/// How strongly one answer moves the limit of its server.
const LIMIT_GAIN: f64 = 0.25;
/// Part of its aim beyond which an answer tells that its server has too many turns.
const SHARE_FROM: f64 = 0.25;
/// How strongly one answer moves the learned share of its server, and how much of it is forgotten.
const SHARE_GAIN: (f64, f64) = (0.05, 0.005);
/// How strongly one answer moves the usual time of its class on its kind of machine.
const TIME_GAIN: f64 = 0.02;
/// How much of a limit that is far from reached an answer takes away.
const LIMIT_FADE: f64 = 0.02;
/// Attempts of all nodes out at a server at first, and the least own limit; below one, it rests between them.
const LIMITS: (f64, f64) = (8.0, 0.05);
/// From how many sharing nodes on the first of these is less than one for each: as they all may send at once,
/// they would crowd a server before any has heard of it.
const CROWD: f64 = 16.0;
/// How far it may fall: with too little out, the answers that would tell of the recovery are too few.
const FLEET_LEAST: f64 = 0.25;
/// How far the fleet's factor may rise above 1, so that a few late answers do not make it act.
const FLEET_RESERVE: f64 = 2.0;
/// From which part of the longest aim on an attempt that is out takes no place in its server's limit, and how
/// many times the limit may be out with those.
const STUCK: f64 = 0.6;
const STUCK_MOST: f64 = 4.0;
/// The number of an attempt that runs on is this much higher: far above any limit on attempts.
const RUNS_ON: usize = 1 << 20;
/// Part of its aim that a request may be held at the node: in a burst, and in a lasting overload.
const HOLD: (f64, f64) = (0.25, 0.1);
/// From how many servers on the last place is left to the best classes, from which part of the best gain and
/// of what is asked for a class is one of them.
const RESERVE_FROM: usize = 4;
const LESSER: f64 = 0.5;
const RARE: f64 = 0.02;

/// Part of its aim that the client of a refused request should stay away.
const STAY_AWAY: f64 = 0.25;

/// The most work that a guess is believed, in aims of its class.
const WORK_MOST: f64 = 8.0;

/// Over which time it is counted who is served how well.
const MEMORY: Millis = 60_000.0;
/// How far above the worst served part a class or tenant still counts nearly as the worst.
const NEAR_WORST: f64 = 0.05;

/// The decision module of one node.
pub struct Balancer {
    set: Settings,
    random: u64,
    now: Millis,
    servers: BTreeMap<ServerId, Server>,
    /// Servers that are listed no more, and are kept for their attempts that are out.
    gone: BTreeSet<ServerId>,
    /// All that are ejected, and some that were.
    suspected: BTreeSet<ServerId>,
    /// Those of the subset that are ejected.
    ejected: BTreeSet<ServerId>,
    /// When each server of the subset is to be probed that is to be.
    probes: Queue<ServerId>,
    /// Those that are being asked now.
    asked: BTreeSet<ServerId>,
    /// The loss of the list for which the servers of the subset are being asked.
    checked_for: Option<Lost>,
    /// The loss of the list as of the last look.
    lost_before: Option<Lost>,
    /// Servers are asked whether they drain, and those in use are as many as can be.
    is_checking: bool,
    /// Until when servers of the subset are proved to be as they were when the list was lost.
    proved: Queue<ServerId>,
    /// Until when they are proved to be as they were shortly after.
    seen: Queue<ServerId>,
    /// Those of the subset that have refused, or ended, since the list was lost.
    refused: BTreeSet<ServerId>,
    /// See [`Balancer::steps`].
    steps: Cell<u64>,
    /// Sends against what is known of their servers.
    sends: DoubtfulSends,
    /// All that have less than their capacity as yet, and some that have all of it by now.
    warming: BTreeSet<ServerId>,
    /// All whose turn was set when they were cold, and some that have left the subset since.
    cold: BTreeSet<ServerId>,
    /// All servers that are up, sorted.
    members: Vec<ServerId>,
    /// The same, in the order in which this node would rather use them.
    order: Vec<ServerId>,
    /// Those that it rotates over, sorted.
    subset: Vec<ServerId>,
    /// Of these, those that have lost their turn and have not been given another.
    without_turn: Vec<ServerId>,
    /// How many there are at the most, where the node's part of the fleet is not more.
    rotation_most: usize,
    /// The sum of their sizes.
    size: f64,
    /// Their turns.
    turns: Queue<ServerId>,
    /// When the subset was last chosen.
    chosen: Millis,
    requests: BTreeMap<RequestId, Request>,
    /// What went unserved and may be asked for again.
    unserved: Unserved,
    /// Requests held at the node.
    waiting: Vec<RequestId>,
    /// The turn that was taken last.
    cursor: f64,
    /// The server that it fell to.
    cursor_at: Option<ServerId>,
    /// How many times more nodes share a server than are wanted, where a subset can be no smaller.
    crowd: f64,
    /// Since when some have been held without a break.
    held_since: Option<Millis>,
    classes: Vec<ClassStats>,
    /// Factor to all limits where it is below 1: how far the fleet as a whole has slowed down.
    fleet: f64,
    /// How well each class, and each tenant within its share, is served.
    class_served: Vec<Served>,
    tenant_served: Vec<Served>,
    /// Own part of each tenant's share, in requests that may still come within it.
    quotas: Vec<(f64, Millis)>,
    /// Requests answered a second, for one unit of weight.
    pace: Rate,
    /// Requests that came a second, for one unit of weight; stands in until one has been answered.
    arrivals: Rate,
    /// For each kind of machine, the usual time of each class on a server that has nothing else of ours.
    times: BTreeMap<u64, Vec<Millis>>,
    retry_budget: f64,
    /// Second copies that what got lost allows.
    copies: f64,
    /// When the timer comes that was asked for last.
    timer_due: Millis,
    /// When what time brings was last looked at.
    swept: Millis,
    calls: Calls,
}

/// A server of the list, and what this node has seen of it.
struct Server {
    entry: Entry,
    /// Its size as far as the list tells.
    size: f64,
    /// Learned factor to its size.
    share: f64,
    /// When its next turn comes; the rotation takes the least.
    turn: f64,
    /// Its warmth when the turn was set.
    turn_warmth: f64,
    /// Own attempts that are out: request, attempt, time of the send.
    out: Vec<(RequestId, usize, Millis)>,
    /// How many own attempts may be out while the fleet as a whole is not slow.
    limit: f64,
    last_sent: Millis,
    /// How long its last answer took.
    last_took: Millis,
    /// Failures in a row.
    consecutive_failures: u32,
    /// When a connection last broke, with nothing served since.
    last_reset: Millis,
    /// Ejections in a row.
    ejections: u32,
    /// Ejected; looked at again from then on.
    ejected: Option<Millis>,
    /// Ejected for refused or broken connections: a process that will come back cold.
    down: bool,
    /// What has been seen of it.
    known: Knowledge,
    /// When it is next to be asked whether it drains, where the list is not followed.
    next_check: Millis,
    /// When it is to be asked after that, where that is not in the usual rhythm.
    check_after: Millis,
    /// Came back at that time from what looked like a restart.
    returned: Option<Millis>,
    /// A part of 1, by which the first send to it is put off while it is cold.
    stagger: f64,
}

struct Request {
    class: usize,
    /// What its class allowed when it came.
    effect: Effect,
    tenant: Option<usize>,
    in_share: bool,
    /// What a repeat of it has in common with it.
    repeat_key: Option<u64>,
    /// Its work, where worth goes by that.
    work: f64,
    /// When the client first asked, as far as its deadline tells.
    asked: Millis,
    /// When this try of it came.
    came: Millis,
    deadline: Millis,
    attempts: Vec<Attempt>,
    bound: Bound,
}

/// What binds a request to the attempt that is out: its body, which can't be sent again, or its answer.
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
    /// The server was at half its limit at least with it, or had rested for less than twice its time.
    at_limit: bool,
    /// The server held nothing else of ours.
    alone: bool,
    /// How it ended; `None` while it is out.
    outcome: Option<Outcome>,
}

/// What is usual for a class.
struct ClassStats {
    /// Mean time to an answer.
    mean: Millis,
    seen: u32,
    /// By how much of its aim answers exceed the target, on average.
    excess: f64,
    /// The most time that a request had left when it came.
    most_left: Millis,
    /// Mean work, by the clients' guesses.
    work: Option<f64>,
}

impl ClassStats {
    fn new(class: &Class) -> Self {
        Self { mean: class.aim / 4.0, seen: 0, excess: 0.0, most_left: f64::NEG_INFINITY, work: None }
    }
}

/// Worth asked for and served.
#[derive(Default)]
struct Served {
    asked: Rate,
    served: Rate,
}

impl Server {
    fn listed_up(&self) -> bool {
        self.entry.state == Listed::Up
    }

    /// How many own attempts may be out, with the fleet's factor and the least limit.
    fn allowed(&self, fleet: f64, least: f64) -> f64 {
        (self.limit * fleet.min(1.0)).max(least)
    }

    /// The part of its capacity that it has at the least, by the time since its start.
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
    /// Rule 2, for every further attempt and every refusal: is it harmless by what is known of the earlier
    /// ones? `to` is the server to send to; `None` asks about a refusal.
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

    /// Calls off what is out but for `one`, where that may be done.
    fn cancel_all(&self, id: RequestId, one: Option<usize>, limits: &Limits, actions: &mut Vec<Action>) {
        let out = |n: &usize| limits.cancel && Some(*n) != one && self.attempts[*n].outcome.is_none();
        actions.extend((0..self.attempts.len()).filter(out).map(|attempt| Action::Cancel { id, attempt }));
    }
}

impl Balancer {
    /// A node at its start. `seed` is for its random numbers and should differ from node to node.
    ///
    /// # Errors
    /// Where the settings make no sense; see [`Settings::check`].
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

    /// Takes one event and appends what is to be done, in order.
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
                // Under a number that its end does not find.
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
        // Timers cost CPU, of which a node has little: none is set but for what is to be done then.
        let due = self.next_due().max(now + self.set.tick.max(1.0));
        if due < self.timer_due {
            self.timer_due = due;
            actions.push(Action::SetTimer(due - now));
        }
    }

    /// Takes over new settings. Whoever keeps its place keeps what was learned of it; the others begin anew.
    fn on_settings(&mut self, settings: Settings, classes: &[bool], tenants: &[bool]) {
        self.set = settings;
        renew(&mut self.classes, classes, |n| ClassStats::new(&self.set.classes[n]));
        renew(&mut self.class_served, classes, |_| Served::default());
        renew(&mut self.tenant_served, tenants, |_| Served::default());
        renew(&mut self.quotas, tenants, |_| (0.0, f64::NEG_INFINITY));
        self.times.values_mut().for_each(|times| renew(times, classes, |_| 0.0));
        // There may be another count of nodes: the order of the servers is made anew.
        self.remember_members();
        self.on_list(Vec::new(), false, false);
    }

    /// Takes one tenant over, at a cost that does not grow with the others.
    fn on_tenant(&mut self, TenantChange { place, tenant, anew }: TenantChange) {
        put(&mut self.set.tenants, place, tenant);
        if anew {
            put(&mut self.tenant_served, place, Served::default());
            put(&mut self.quotas, place, (0.0, f64::NEG_INFINITY));
        }
    }

    /// For how long the client of a refused request of this class should stay away.
    pub fn stay_away(&self, class: usize) -> Millis {
        let aim = self.set.classes.get(class).map_or(0.0, |c| c.aim);
        (STAY_AWAY * aim).min(self.set.limits.max_retry_after)
    }

    /// Does a request like that repeat another one, which is counted already?
    pub fn repeats(&self, now: Millis, repeat_key: Option<u64>) -> bool {
        repeat_key.is_some_and(|repeat_key| self.unserved.knows(now, repeat_key))
    }

    /// How many listed servers this node sends nothing to, as they seem to be down or to fail.
    pub fn avoided(&self) -> usize {
        let known = self.suspected.iter().filter_map(|id| self.servers.get(id));
        known.filter(|server| server.listed_up() && server.ejected.is_some()).count()
    }

    /// Is the list not followed, so that what is seen of servers counts?
    pub fn has_lost_list(&self) -> bool {
        self.calls.lost().is_some()
    }

    /// When discovery is to be called next, where that is settled.
    pub fn next_call(&self) -> Option<Millis> {
        self.calls.next()
    }

    /// When time alone next calls for something.
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

    /// Is any server of the subset cold, as far as its turn was set by that?
    fn any_cold(&self) -> bool {
        self.rotated_of(&self.cold).any(|server| server.turn_warmth < 1.0)
    }

    /// How often the subset follows the warmth of its servers.
    fn warmth_step(&self) -> Millis {
        self.set.rules.warm_within / WARMTH_STEPS
    }

    /// How often requests that wait are looked at: far below every aim, and within the slack of a deadline.
    fn period(&self) -> Millis {
        let aim = self.set.classes.iter().map(|c| c.aim).fold(f64::INFINITY, f64::min);
        (aim / 20.0).max(self.set.tick).max(1.0)
    }

    fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_add(GOLDEN);
        (mix(self.random) >> 11) as f64 / (1u64 << 53) as f64
    }

    // ---- The rotation ----

    /// The concurrency limit that a server begins with. Below one only for more nodes than a server bears: a
    /// node would rest from servers to which nobody sends, and refuse what an idle fleet could serve.
    fn first_limit(&self) -> f64 {
        (LIMITS.0 / self.sharing()).max((CROWD / self.sharing()).min(1.0))
    }

    /// The least that a server's limit can fall to.
    fn least_limit(&self) -> f64 {
        LIMITS.1 / self.crowd
    }

    // ---- Which servers are ready ----

    fn ready(&self, server: &Server) -> bool {
        server.ejected.is_none() && self.within_slow_start(server) && self.has_room(server)
    }

    /// A server full with our own attempts is passed over: on turns alone a slow one keeps its full turn
    /// while its queue grows until nothing that it is sent comes in time. What has been out for long takes no
    /// place, up to a bound: a few requests of enormous work, or whose answers got lost, would else keep an
    /// idle server full. A server this slow with everything has a limit that falls with each late answer.
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

    /// How long a server with a limit below one rests from one send to the next: so long that on average no
    /// more is out than the limit, but never so long that its recovery would go unseen.
    fn rest(&self, server: &Server) -> Millis {
        let most = self.set.classes.iter().map(|c| 2.0 * c.aim).fold(0.0, f64::max);
        (server.last_took / server.allowed(self.fleet, self.least_limit())).min(most * self.crowd)
    }

    /// Rule 4: what all nodes send to a cold server in one window must stay below a multiple of what it can
    /// do by now. What a warm one of its size is seen to answer is the measure, and nodes space their sends
    /// by their own traffic; a random part of the space is waited first, or all would send at once.
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
            // An id never comes twice: to answer the repeat would answer the first, which is still owed.
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
        // A client that comes back is served by the time of its first asking or not at all, and counts once:
        // else, where more is refused than served, most work would be spent on what is too late.
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
            // It counts as a repeat: what a lost tenth of the fleet had must not all come at once.
            self.further(id, Outcome::Reset, actions);
        } else {
            self.waiting.push(id);
        }
        self.serve_waiting(actions);
    }

    /// A request's work as it counts: the client's guess, where it gives one that makes sense. None can take
    /// longer than its client waits: a guess beyond that would weigh for as long as anything is remembered.
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

    /// Notes that a request goes unserved, for when its client comes back.
    fn remember(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if let Some(repeat_key) = request.repeat_key {
            let until = request.asked + self.set.classes[request.class].patience.min(MEMORY);
            let first = First { asked: request.asked, in_share: request.in_share };
            self.unserved.put(self.now, repeat_key, first, until);
        }
    }

    /// How long ago the client first asked: one that comes back after a refusal still gives up when the time
    /// of its first asking ends. The most time that a class's requests ever had left is that of new ones.
    /// Where clients may repeat what they have given up, the deadline is that of the try and tells nothing.
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

    /// Is a request within its tenant's share? The share of all nodes is taken to come evenly to each.
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

    /// What serving one unit of worth adds to the part of the goal that goes by the worst served, for each of
    /// `cares`: all of it for the worst, less for those above it.
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

    /// May the request go to this server? Not again to the one that just failed it, unless it may go to no
    /// other: one that is bound to the cell of its first attempt would else be held for nothing.
    fn may_go(&self, id: RequestId, to: &Server) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let may = |s: &Server| request.may_repeat(&self.set.limits, self.now, Some(&s.entry));
        let last = request.attempts.last().map(|a| a.server);
        let again = last == Some(to.entry.server);
        may(to) && !(again && self.rotated().any(|s| Some(s.entry.server) != last && may(s)))
    }

    /// May an attempt that was decided on still be written now? Servers may have forgotten the attempts
    /// before it while it waited for its connection.
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

    /// Until when an answer has its full worth, less the way back to the client.
    fn useful_until(&self, request: &Request) -> Millis {
        let aim = self.set.classes[request.class].aim;
        (request.asked + aim - self.set.tick).min(request.deadline)
    }

    fn on_streaming(&mut self, id: RequestId, attempt: usize, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.bound = Bound::Answer;
        request.cancel_all(id, Some(attempt), &self.set.limits, actions);
    }

    /// An attempt takes no more place at its server.
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
        // Called off with its request, it would tell nothing of a server that hangs.
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

    /// What the end of an attempt says of its server's pace, for the limit, the share and the usual times.
    fn learn(&mut self, class: usize, attempt: Attempt, outcome: Outcome, took: Millis) {
        let Attempt { server: id, at_limit, alone, .. } = attempt;
        let (now, rules, done) = (self.now, &self.set.rules, outcome == Outcome::Done);
        let (first, least_limit) = (self.first_limit(), self.least_limit());
        let late = self.set.classes[class].late_worth > 0.0;
        let part = match outcome {
            Outcome::Done => (took / self.set.classes[class].aim).min(LATE),
            // Where answers get lost, one that does not come says nothing of its server's pace.
            Outcome::TimedOut if self.copies >= 1.0 => return,
            // Cut off when it was of no more use. One that had little time says little, and nothing good.
            Outcome::TimedOut if !late => {
                let part = CUT * (took / self.set.classes[class].aim).min(1.0).powi(2);
                part.max(PACE_TARGET.next_up())
            }
            Outcome::TimedOut | Outcome::Full => LATE,
            _ => return,
        };
        let warm = |s: &Server| s.warmth(now, rules) >= 1.0;
        if done && self.servers.get(&id).is_some_and(warm) {
            // Measured on warm servers alone: measured on cold ones too, a cold budget would feed on itself.
            let size = self.warm_size();
            self.pace.add(now, rules.fall_window, 1.0 / size.max(f64::MIN_POSITIVE));
        }
        let count = self.set.classes.len();
        let pace = &mut self.classes[class];
        if done {
            pace.seen = pace.seen.saturating_add(1);
            pace.mean += (took - pace.mean) / f64::from(pace.seen.min(200));
        }
        // A fleet that slows down at once is seen by all its answers long before each limit has heard enough
        // of its own. Where half as many are late as come well in time, there is too much out.
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
        // Sizes that the list does not tell: a server whose answers come later than the fleet's beyond a
        // part of the aim has too many turns. In calm nothing is beyond it, and turns stay even.
        let excess = (part - SHARE_FROM).max(0.0);
        pace.excess += (excess - pace.excess) * SHARE_GAIN.0;
        s.share = s.share.powf(1.0 - SHARE_GAIN.1) * (SHARE_GAIN.0 * (pace.excess - excess)).exp();
        let unused = s.allowed(self.fleet, least_limit) > 2.0 * (s.out.len() as f64 + 1.0);
        if unused || (s.limit < 1.0 && !at_limit) {
            // A limit that was never reached protects nobody when the fleet slows down at once.
            s.limit *= 1.0 - LIMIT_FADE;
        }
        if s.limit < first && part <= PACE_TARGET && at_limit {
            // Answers are rare below one: without a quick way back a server that was slow for seconds would
            // stay out for minutes. Only to where limits begin: from there on many nodes would crowd it.
            s.limit *= (LIMIT_GAIN * (LATE - PACE_TARGET)).exp();
        } else if at_limit {
            // One attempt at a time that still comes in time is not too much, even where the whole fleet is
            // so slow that it misses the target.
            let least = if part < 1.0 { s.limit.min(1.0) } else { least_limit };
            s.limit = (s.limit * (LIMIT_GAIN * (PACE_TARGET - part)).exp()).max(least);
        }
    }

    /// What becomes of a request whose attempts have all failed.
    fn further(&mut self, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.set.classes[request.class];
        let end = if class.late_worth > 0.0 { request.deadline } else { self.useful_until(request) };
        let time = end - self.now > self.classes[request.class].mean;
        let cost = if outcome.never_ran() { 0.0 } else { 1.0 };
        let may_go = |s: &Server| request.may_repeat(&self.set.limits, self.now, Some(&s.entry));
        let is_bound = matches!(request.effect, Effect::Keyed { group: Group::Zone | Group::Cell, .. });
        // Where no zone or cell binds it, one server is as good as any other.
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

    /// The final answer of a request that is not served: refused where rule 2 lets it, else failed.
    fn conclude(&mut self, id: RequestId, reason: Reason, actions: &mut Vec<Action>) {
        self.remember(id);
        let Some(request) = self.requests.get(&id) else { return };
        let stay_away = self.stay_away(request.class);
        let harmless = request.may_repeat(&self.set.limits, self.now, None);
        actions.push(Action::Explain { id, reason });
        actions.push(if harmless { Action::Refuse { id, stay_away } } else { Action::Fail(id) });
        self.forget(id, actions);
    }

    /// Drops a request that is over; attempts that are still out are of no use any more.
    fn forget(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.remove(&id).filter(|r| r.bound != Bound::Answer) {
            request.cancel_all(id, None, &self.set.limits, actions);
        }
    }

    /// Sends what is held, in the order of what it adds to the goal for the work it takes, and answers what
    /// has waited too long. First come, first served would shed by the length of the aims, not by worth.
    fn serve_waiting(&mut self, actions: &mut Vec<Action>) {
        let last = 2.0 * self.period();
        let mut held = Vec::new();
        for id in std::mem::take(&mut self.waiting) {
            let Some(request) = self.requests.get(&id) else { continue };
            let class = request.class;
            // As long as an answer may still come in time.
            let spare = self.useful_until(request) - self.classes[class].mean;
            // Sent with less, it would most likely be cut off, and its work be lost. A new one is always let
            // try, or a class that has once become slow would never be seen to recover.
            let hopeless = self.set.classes[class].late_worth == 0.0 && self.now > spare.max(request.asked);
            let end = if hopeless {
                f64::NEG_INFINITY
            } else if request.attempts.is_empty() {
                // In a lasting overload a long hold helps nobody: all that is served has lost its time.
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
        // No turn is taken but for a request that may go, and the last place is left to the classes that gain
        // most: a node that sends little is full for moments all the time, and who can't be held is refused.
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

    /// Which classes add much less to the goal, for the time they take, than the best one does.
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

    /// Sends second copies of what has long been out, where answers get lost: at the end of its use this
    /// leaves no time for another. None goes in the place of one that waits; heavy work has more time.
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

    /// Could so many more be sent now?
    fn has_places(&self, wanted: usize) -> bool {
        let least = self.least_limit();
        let free = |s: &Server| (s.allowed(self.fleet, least) as usize).saturating_sub(s.out.len()).max(1);
        // By their turns, as those that come first are the ones that are ready.
        let mut places =
            self.by_turn().filter(|s| self.is_usable(s) && self.ready(s)).map(free).scan(0, |sum, places| {
                *sum += places;
                Some(*sum)
            });
        places.any(|sum| sum >= wanted)
    }

    /// Which held request this server's turn goes to: the one that adds most to the goal for the time that
    /// its class takes there; of equal ones the newest, as the oldest has lost the time of its hold.
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

    // ---- What time brings ----

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
