//! The state machine of one member: probing, suspicion, gossip and anti-entropy.

use std::collections::VecDeque;
use std::net::SocketAddr;

use glenwood_datagram::Secret;
use serde::Serialize;

use crate::record::{Id, Member, Record, State};
use crate::rumours::Rumours;
use crate::settings::Settings;
use crate::table::{Change, Table};
use crate::wire::{cluster_number, Bad, Draft, Message, Word, ACCUSERS_MOST, MAGIC, PARTS};

/// Number of members asked to probe a target that did not answer the direct probe.
const HELPERS: usize = 3;
/// Number of members that each gossip round is sent to.
const FAN_OUT: usize = 3;
/// Expected number of members, over the whole cluster, that probe a suspect themselves when they learn of the
/// suspicion. This confirms a loss quickly at a cost that is independent of the cluster size.
const LOOK: usize = 8;
/// Upper limit of the local health penalty; probe intervals and timeouts are multiplied by the penalty plus
/// one.
const HEALTH_MOST: u32 = 8;
/// Maximum number of datagrams sent in answer to a comparison.
const RECORDS_MOST: usize = 8;
/// A leaving member notifies this many times [`FAN_OUT`] members at once.
const FAREWELL: usize = 4;

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// The destination.
    pub to: SocketAddr,
    /// The payload.
    pub bytes: Vec<u8>,
}

/// A change reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member joined: for the first time, after a restart, or again after it was declared lost.
    Joined(Member),
    /// A process of a member was declared lost or was replaced by a restarted one.
    Lost(Member),
    /// A member announced that it leaves.
    Left(Member),
    /// This member refuted a suspicion of itself.
    Refuted,
    /// This process was stalled for this many milliseconds; that time does not count against the other
    /// members.
    Stalled(u64),
    /// Another process, with this address, uses this member's name.
    NameTaken(SocketAddr),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Figures {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes in the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received and accepted.
    pub heard: u64,
    /// Datagrams rejected: from another cluster, not authenticated, or malformed.
    pub refused: u64,
    /// Probes that failed.
    pub failed: u64,
    /// Members that this one declared lost when a suspicion timed out here.
    pub declared: u64,
    /// Suspicions of itself that it refuted.
    pub refuted: u64,
    /// Stalls of this process.
    pub stalls: u64,
    /// Datagrams of another process that uses this member's name.
    pub taken: u64,
    /// Records ignored because the table of members was full.
    pub beyond: u64,
}

/// One member as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Shown {
    /// The member.
    #[serde(flatten)]
    pub member: Member,
    /// Its state.
    pub state: State,
    /// The incarnation of the latest record about it.
    pub incarnation: u64,
}

/// The stage of an outgoing probe.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Waiting for the target's answer.
    Direct,
    /// The members in `asked` probe the target too; `refusals` of them reported that it did not answer.
    ByOthers { asked: Vec<Id>, refusals: usize },
}

/// An outgoing probe that has not been answered yet.
struct Probe {
    target: Id,
    life: u64,
    incarnation: u64,
    number: u64,
    sent: u64,
    stage: Stage,
}

/// A probe made on behalf of another member.
struct Errand {
    number: u64,
    target: Id,
    client: SocketAddr,
    client_number: u64,
    until: u64,
}

/// One member's view of the cluster. See the crate documentation.
pub struct Members {
    set: Settings,
    cluster: u32,
    secret: Secret,
    me: Record,
    id: Id,
    random: fastrand::Rng,
    table: Table,
    rumours: Rumours,
    /// The order in which members are probed; reshuffled after each round.
    order: Vec<Id>,
    turn: usize,
    probes: Vec<Probe>,
    errands: Vec<Errand>,
    /// Local health penalty (Lifeguard): 0 is healthy, higher values mean that this member may itself be at
    /// fault.
    health: u32,
    next_probe: u64,
    next_gossip: u64,
    next_compare: u64,
    next_again: u64,
    next_forget: u64,
    /// The latest time passed in.
    seen: u64,
    /// The number of the last probe.
    number: u64,
    out: VecDeque<Transmit>,
    events: VecDeque<Event>,
    figures: Figures,
}

impl Members {
    /// Creates a member that knows no others. `incarnation` should be larger than in any earlier run, as the
    /// start time is; if it is not, the records that others hold of the earlier run raise it. `seed` seeds
    /// the random choices.
    ///
    /// # Errors
    /// The invalid setting and what was expected.
    pub fn new(set: Settings, secret: Secret, incarnation: u64, seed: u64, now: u64) -> Result<Self, String> {
        set.check()?;
        let mut random = fastrand::Rng::with_seed(seed);
        // A random offset keeps members that start together from probing in step.
        let first = now + random.u64(0..set.probe_ms);
        let me = Record { member: set.me.clone(), incarnation, state: State::Alive };
        Ok(Self {
            cluster: cluster_number(&set.cluster),
            id: me.member.id(),
            secret,
            me,
            table: Table::default(),
            rumours: Rumours::default(),
            order: Vec::new(),
            turn: 0,
            probes: Vec::new(),
            errands: Vec::new(),
            health: 0,
            next_probe: first,
            next_gossip: first,
            next_compare: now,
            next_again: first + set.again_ms(),
            next_forget: first + set.forget_ms / 10,
            seen: now,
            number: random.u64(..),
            random,
            out: VecDeque::new(),
            events: VecDeque::new(),
            figures: Figures::default(),
            set,
        })
    }

    /// Whether these bytes begin like a membership datagram; other protocols may share the socket.
    pub fn is_own(bytes: &[u8]) -> bool {
        bytes.starts_with(&MAGIC.to_be_bytes())
    }

    // ---- Queries ----

    /// This member.
    pub fn me(&self) -> &Member {
        &self.me.member
    }

    /// The other members considered alive, in no particular order.
    pub fn living(&self) -> impl Iterator<Item = &Member> {
        self.table.living().iter().filter_map(|id| self.table.get(*id)).map(|entry| &entry.record.member)
    }

    /// The member with this id and its state, this member included.
    pub fn get(&self, id: Id) -> Option<(&Member, State)> {
        let record = if id == self.id { &self.me } else { &self.table.get(id)?.record };
        Some((&record.member, record.state))
    }

    /// All other known members, ordered by id.
    pub fn all(&self) -> Vec<Shown> {
        let shown = |record: &Record| Shown {
            member: record.member.clone(),
            state: record.state,
            incarnation: record.incarnation,
        };
        self.table.iter().map(|(_, entry)| shown(&entry.record)).collect()
    }

    /// The counters.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// The local health penalty: 0 (healthy) to 8.
    pub fn health(&self) -> u32 {
        self.health
    }

    // ---- Driving the state machine ----

    /// The next datagram to be sent.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.out.pop_front()
    }

    /// The next event.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// The time at which [`Members::tick`] is to be called next.
    pub fn due(&self) -> u64 {
        let mut due = self.next_compare.min(self.next_again).min(self.next_forget);
        if self.me.state == State::Alive {
            due = due.min(self.next_probe);
        }
        if !self.rumours.is_empty() {
            due = due.min(self.next_gossip);
        }
        for probe in &self.probes {
            due = due.min(self.probe_due(probe));
        }
        for errand in &self.errands {
            due = due.min(errand.until);
        }
        for id in self.table.suspects() {
            due = due.min(self.suspect_due(*id));
        }
        due
    }

    /// Runs everything that is due at `now`.
    pub fn tick(&mut self, now: u64) {
        self.catch_up(now);
        self.end_errands(now);
        self.follow_probes(now);
        self.declare(now);
        if self.me.state == State::Alive && now >= self.next_probe {
            self.next_probe = now + self.scaled(self.set.probe_ms);
            self.probe_next(now);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + self.set.gossip_ms();
            self.gossip(FAN_OUT);
        }
        if now >= self.next_compare {
            // Jitter of 0.5 to 1.5 intervals spreads the comparisons of all members.
            self.next_compare = now + self.random.u64(0..=self.set.compare_ms()) + self.set.compare_ms() / 2;
            self.compare(now);
        }
        if now >= self.next_again {
            self.next_again = now + self.random.u64(0..=self.set.again_ms()) + self.set.again_ms() / 2;
            self.try_again();
        }
        if now >= self.next_forget {
            self.next_forget = now + self.set.forget_ms / 10;
            self.table.forget(now.saturating_sub(self.set.forget_ms), self.set.most);
        }
    }

    /// Handles a received datagram.
    ///
    /// # Errors
    /// When it is from another cluster, is not authenticated or is malformed. Nothing but the counter of
    /// rejected datagrams changes then.
    pub fn hear(&mut self, now: u64, bytes: &[u8]) -> Result<(), Bad> {
        self.catch_up(now);
        let message =
            Message::read(bytes, self.cluster, &self.secret).inspect_err(|_| self.figures.refused += 1)?;
        self.figures.heard += 1;
        let from = &message.from;
        let sender = from.member.id();
        if sender == self.id {
            if from.member.life != self.me.member.life && from.member.name == self.me.member.name {
                self.figures.taken += 1;
                if self.figures.taken == 1 {
                    self.events.push_back(Event::NameTaken(from.member.address));
                }
                self.about_me(from);
            }
            return Ok(());
        }
        if matches!(from.state, State::Alive | State::Left) {
            self.take(now, from, &[]);
        }
        for (record, accusers) in &message.rumours {
            self.take(now, record, accusers);
        }
        let to = from.member.address;
        match message.word {
            Word::Ping(number) => self.send(to, &Word::Ack(number), Some(sender)),
            Word::PingFor(number, target) => self.run_errand(now, to, number, target),
            Word::Ack(number) => self.answered(sender, number),
            Word::Nack(number) => self.refused(sender, number),
            Word::Compare(parts, back) => self.compared(now, to, &parts, back),
            Word::Rumours => {}
        }
        Ok(())
    }

    /// Leaves the cluster and announces it. The member keeps answering until the caller stops driving it.
    pub fn leave(&mut self, now: u64) {
        self.catch_up(now);
        if self.me.state == State::Alive {
            self.me.state = State::Left;
            self.probes.clear();
            self.rumours.tell(self.id, self.me.clone(), &[]);
            self.gossip(FAREWELL * FAN_OUT);
        }
    }

    // ---- Stalls and local health ----

    /// Detects that this process was stalled. Members that did not answer during the stall are not blamed for
    /// it: pending probes are dropped and suspicions are extended by the length of the stall.
    fn catch_up(&mut self, now: u64) {
        let late = now.saturating_sub(self.due().max(self.seen));
        self.seen = now.max(self.seen);
        if late <= self.set.stall_ms() {
            return;
        }
        self.figures.stalls += 1;
        self.health = (self.health + 1).min(HEALTH_MOST);
        self.probes.clear();
        // The members that asked for these probes have given up on them by now.
        self.errands.clear();
        self.table.put_off(late);
        self.events.push_back(Event::Stalled(late));
    }

    /// Multiplies a duration by the local health penalty plus one.
    fn scaled(&self, span: u64) -> u64 {
        span * u64::from(self.health + 1)
    }

    fn worse(&mut self, by: usize) {
        self.health = self.health.saturating_add(by as u32).min(HEALTH_MOST);
    }

    // ---- Probes ----

    fn probe_due(&self, probe: &Probe) -> u64 {
        let spans = if probe.stage == Stage::Direct { 1 } else { 3 };
        probe.sent + spans * self.scaled(self.set.answer_ms())
    }

    fn probe_next(&mut self, now: u64) {
        for _ in 0..=self.order.len() {
            if self.turn >= self.order.len() {
                self.order.clone_from(&self.table.living().to_vec());
                self.random.shuffle(&mut self.order);
                self.turn = 0;
            }
            let Some(target) = self.order.get(self.turn).copied() else { return };
            self.turn += 1;
            // Members may have been lost since the order was shuffled.
            if self.is_living(target) {
                self.probe(now, target);
                return;
            }
        }
    }

    fn is_living(&self, id: Id) -> bool {
        self.table.get(id).is_some_and(|entry| entry.record.state.is_living())
    }

    fn probe(&mut self, now: u64, target: Id) {
        let Some(entry) = self.table.get(target) else { return };
        if self.probes.iter().any(|probe| probe.target == target) {
            return;
        }
        let (life, incarnation) = (entry.record.member.life, entry.record.incarnation);
        let to = entry.record.member.address;
        self.number = self.number.wrapping_add(1);
        let number = self.number;
        self.probes.push(Probe { target, life, incarnation, number, sent: now, stage: Stage::Direct });
        self.send(to, &Word::Ping(number), Some(target));
    }

    fn follow_probes(&mut self, now: u64) {
        let mut n = 0;
        while n < self.probes.len() {
            if now < self.probe_due(&self.probes[n]) {
                n += 1;
                continue;
            }
            let (target, number) = (self.probes[n].target, self.probes[n].number);
            if self.probes[n].stage == Stage::Direct {
                let asked = self.helpers(target);
                for helper in &asked {
                    let to = self.table.get(*helper).map(|entry| entry.record.member.address);
                    to.into_iter().for_each(|to| self.send(to, &Word::PingFor(number, target), None));
                }
                let to = self.table.get(target).map(|entry| entry.record.member.address);
                to.into_iter().for_each(|to| self.send(to, &Word::Ping(number), Some(target)));
                self.probes[n].stage = Stage::ByOthers { asked, refusals: 0 };
                n += 1;
                continue;
            }
            let probe = self.probes.swap_remove(n);
            self.failed(now, &probe);
        }
    }

    /// Chooses the members asked to probe `target`: one in the target's zone, one in this member's zone and
    /// one in another zone, as far as they exist, so that a broken link between two zones is not mistaken for
    /// a loss.
    fn helpers(&mut self, target: Id) -> Vec<Id> {
        let zone_of = |id: Id| self.table.get(id).map(|entry| entry.record.member.zone.as_str());
        let theirs = zone_of(target).unwrap_or_default().to_string();
        let mut order: Vec<Id> = self.table.living().iter().copied().filter(|id| *id != target).collect();
        self.random.shuffle(&mut order);
        let zone_of = |id: Id| self.table.get(id).map_or("", |entry| entry.record.member.zone.as_str());
        let own = self.me.member.zone.as_str();
        let beside = order.iter().copied().find(|id| zone_of(*id) == theirs);
        let mine = order.iter().copied().find(|id| Some(*id) != beside && zone_of(*id) == own);
        let mut asked: Vec<Id> = beside.into_iter().chain(mine).collect();
        let elsewhere = order.iter().copied().find(|id| zone_of(*id) != theirs && zone_of(*id) != own);
        for id in elsewhere.into_iter().chain(order.iter().copied()) {
            if asked.len() < HELPERS && !asked.contains(&id) {
                asked.push(id);
            }
        }
        asked
    }

    fn failed(&mut self, now: u64, probe: &Probe) {
        self.figures.failed += 1;
        // A live helper sends a nack even if the target is silent. Missing nacks suggest that this member
        // does not receive datagrams.
        let missing = match &probe.stage {
            Stage::ByOthers { asked, refusals } => asked.len().saturating_sub(*refusals),
            Stage::Direct => 0,
        };
        self.worse(missing);
        let Some(entry) = self.table.get(probe.target) else { return };
        let record = &entry.record;
        let same = record.member.life == probe.life && record.incarnation == probe.incarnation;
        // A newer incarnation of the target, received meanwhile, is as good as an answer.
        if same && record.state.is_living() {
            let suspect = Record { state: State::Suspect, ..record.clone() };
            self.take(now, &suspect, &[self.id]);
        }
    }

    fn answered(&mut self, by: Id, number: u64) {
        if let Some(n) = self.probes.iter().position(|probe| probe.number == number) {
            let by_helper =
                |stage: &Stage| matches!(stage, Stage::ByOthers { asked, .. } if asked.contains(&by));
            if self.probes[n].target == by || by_helper(&self.probes[n].stage) {
                self.probes.swap_remove(n);
                self.health = self.health.saturating_sub(1);
            }
        } else if let Some(n) = self.errands.iter().position(|e| e.number == number && e.target == by) {
            let errand = self.errands.swap_remove(n);
            self.send(errand.client, &Word::Ack(errand.client_number), None);
        }
    }

    fn refused(&mut self, by: Id, number: u64) {
        let Some(probe) = self.probes.iter_mut().find(|probe| probe.number == number) else { return };
        if let Stage::ByOthers { asked, refusals } = &mut probe.stage {
            if asked.contains(&by) {
                *refusals += 1;
            }
        }
    }

    fn run_errand(&mut self, now: u64, client: SocketAddr, client_number: u64, target: Id) {
        let Some(entry) = self.table.get(target).filter(|entry| entry.record.state.is_living()) else {
            self.send(client, &Word::Nack(client_number), None);
            return;
        };
        let to = entry.record.member.address;
        self.number = self.number.wrapping_add(1);
        let until = now + self.set.answer_ms();
        self.errands.push(Errand { number: self.number, target, client, client_number, until });
        self.send(to, &Word::Ping(self.number), Some(target));
    }

    fn end_errands(&mut self, now: u64) {
        while let Some(n) = self.errands.iter().position(|errand| now >= errand.until) {
            let errand = self.errands.swap_remove(n);
            self.send(errand.client, &Word::Nack(errand.client_number), None);
        }
    }

    // ---- Suspicion ----

    /// The time at which a suspect is declared lost. The timeout shrinks logarithmically from the maximum to
    /// the minimum as more members confirm the suspicion independently.
    fn suspect_due(&self, id: Id) -> u64 {
        let Some(suspicion) = self.table.get(id).and_then(|entry| entry.suspicion.as_ref()) else {
            return u64::MAX;
        };
        let (least, most) = (self.set.suspect_least_ms(), self.set.suspect_most_ms());
        // The number of possible accusers besides the first.
        let others = (ACCUSERS_MOST - 1).min(self.table.living().len().saturating_sub(1));
        let more = suspicion.accusers.len().saturating_sub(1).min(others);
        let part = if others == 0 { 1.0 } else { (more as f64 + 1.0).ln() / (others as f64 + 1.0).ln() };
        suspicion.since + most - ((most - least) as f64 * part) as u64
    }

    fn declare(&mut self, now: u64) {
        let due: Vec<Id> =
            self.table.suspects().iter().copied().filter(|id| now >= self.suspect_due(*id)).collect();
        for id in due {
            let Some(entry) = self.table.get(id) else { continue };
            let lost = Record { state: State::Lost, ..entry.record.clone() };
            self.figures.declared += 1;
            self.take(now, &lost, &[]);
        }
    }

    /// Applies a record about a member, queues it for gossip if it is new, and reports the resulting events.
    fn take(&mut self, now: u64, record: &Record, accusers: &[Id]) {
        let id = record.member.id();
        if id == self.id {
            self.about_me(record);
            return;
        }
        let old = self.table.get(id).map(|entry| entry.record.member.clone());
        match self.table.take(now, record, accusers, self.set.most) {
            Change::Nothing => {}
            Change::Full => self.figures.beyond += 1,
            Change::Confirmed => self.pass_on(id),
            Change::New { before } => {
                self.pass_on(id);
                let lived = before.is_some_and(|(state, _)| state.is_living());
                let lives = record.state.is_living();
                let another = before.is_some_and(|(_, life)| life != record.member.life);
                if lived && (another || !lives) {
                    let old = old.unwrap_or_else(|| record.member.clone());
                    let left = record.state == State::Left;
                    self.events.push_back(if left { Event::Left(old) } else { Event::Lost(old) });
                }
                if lives && (!lived || another) {
                    self.events.push_back(Event::Joined(record.member.clone()));
                    self.insert_turn(id);
                }
                // A few randomly selected members probe the suspect themselves.
                let looks = self.random.usize(0..self.table.living().len().max(1)) < LOOK;
                if record.state == State::Suspect && self.me.state == State::Alive && looks {
                    self.probe(now, id);
                }
            }
        }
    }

    fn pass_on(&mut self, id: Id) {
        if let Some(entry) = self.table.get(id) {
            let accusers = entry.suspicion.as_ref().map_or(&[][..], |suspicion| &suspicion.accusers);
            self.rumours.tell(id, entry.record.clone(), accusers);
        }
    }

    /// Inserts a new member at a random position in the rest of the current probe round.
    fn insert_turn(&mut self, id: Id) {
        if !self.order.get(self.turn..).is_some_and(|left| left.contains(&id)) {
            let at = self.random.usize(self.turn.min(self.order.len())..=self.order.len());
            self.order.insert(at, id);
        }
    }

    /// Handles a record about this member: a wrong one is refuted with a higher incarnation.
    fn about_me(&mut self, record: &Record) {
        if self.me.state != State::Alive || record.member.name != self.me.member.name {
            return;
        }
        let own = record.member.life == self.me.member.life;
        if (own && record.state == State::Alive) || self.me.beats(record) {
            return;
        }
        if own {
            self.figures.refuted += 1;
            self.events.push_back(Event::Refuted);
            if record.state == State::Suspect {
                self.worse(1);
            }
        }
        self.me.incarnation = record.incarnation.saturating_add(1);
        self.rumours.tell(self.id, self.me.clone(), &[]);
    }

    // ---- Gossip and anti-entropy ----

    fn gossip(&mut self, to: usize) {
        if self.rumours.is_empty() {
            return;
        }
        for id in self.some_living(to) {
            let address = self.table.get(id).map(|entry| entry.record.member.address);
            address.into_iter().for_each(|address| self.send(address, &Word::Rumours, None));
        }
    }

    fn some_living(&mut self, most: usize) -> Vec<Id> {
        let living = self.table.living();
        if living.len() <= most {
            return living.to_vec();
        }
        let mut chosen = Vec::with_capacity(most);
        while chosen.len() < most {
            let id = living[self.random.usize(0..living.len())];
            if !chosen.contains(&id) {
                chosen.push(id);
            }
        }
        chosen
    }

    fn compare(&mut self, now: u64) {
        let word = Word::Compare(self.table.digests(&self.me), true);
        match self.some_living(1).first().and_then(|id| self.table.get(*id)) {
            Some(entry) => self.send(entry.record.member.address, &word, None),
            None => {
                // No member is known: ask all seeds and try again soon.
                self.next_compare = now + self.random.u64(0..=self.set.probe_ms) + self.set.probe_ms;
                for seed in self.set.seeds.clone() {
                    if seed != self.me.member.address {
                        self.send(seed, &word, None);
                    }
                }
            }
        }
    }

    /// Handles another member's table digests: sends it the records of the buckets that differ.
    fn compared(&mut self, now: u64, to: SocketAddr, theirs: &[u32; PARTS], back: bool) {
        let own = self.table.digests(&self.me);
        let mut differ = [false; PARTS];
        for (part, differs) in differ.iter_mut().enumerate() {
            *differs = own[part] != theirs[part];
        }
        if !differ.contains(&true) {
            return;
        }
        // The tables differ by more than gossip has delivered, so compare again soon.
        self.next_compare = self.next_compare.min(now + self.set.probe_ms);
        let mut drafts = vec![Draft::new(self.cluster, &self.me, &Word::Rumours)];
        let known: Vec<_> = self.table.in_parts(&differ).collect();
        // A random start, so that records that do not fit this time are sent another time.
        let first = self.random.usize(0..known.len().max(1));
        for (_, entry) in known[first.min(known.len())..].iter().chain(&known[..first.min(known.len())]) {
            let accusers = entry.suspicion.as_ref().map_or(Vec::new(), |s| s.accusers.clone());
            let rumour = (entry.record.clone(), accusers);
            if drafts.last_mut().is_some_and(|draft| draft.add(&rumour)) {
                continue;
            }
            if drafts.len() == RECORDS_MOST {
                break;
            }
            let mut draft = Draft::new(self.cluster, &self.me, &Word::Rumours);
            draft.add(&rumour);
            drafts.push(draft);
        }
        drafts.into_iter().for_each(|draft| self.transmit(to, draft));
        if back {
            self.send(to, &Word::Compare(own, false), None);
        }
    }

    /// Contacts a random lost member, or a seed that is not alive, in case it is back.
    fn try_again(&mut self) {
        let gone = self.table.iter().filter(|(_, entry)| entry.record.state == State::Lost);
        let gone = gone.map(|(id, entry)| (Some(*id), entry.record.member.address));
        let known = |address: &SocketAddr| {
            *address == self.me.member.address || self.living().any(|member| member.address == *address)
        };
        let seeds = self.set.seeds.iter().filter(|seed| !known(seed)).map(|seed| (None, *seed));
        let all: Vec<(Option<Id>, SocketAddr)> = gone.chain(seeds).collect();
        if let Some((about, to)) = self.random.choice(&all).copied() {
            let word = Word::Compare(self.table.digests(&self.me), true);
            self.send(to, &word, about);
        }
    }

    /// Sends a message together with queued rumours. If the receiver is not considered alive, its own record
    /// goes first, so that it can refute it.
    fn send(&mut self, to: SocketAddr, word: &Word, receiver: Option<Id>) {
        let mut draft = Draft::new(self.cluster, &self.me, word);
        let entry = receiver.and_then(|id| self.table.get(id));
        if let Some(entry) = entry.filter(|entry| entry.record.state != State::Alive) {
            let accusers = entry.suspicion.as_ref().map_or(Vec::new(), |s| s.accusers.clone());
            draft.add(&(entry.record.clone(), accusers));
        }
        self.rumours.fill(&mut draft, self.table.living().len() + 1);
        if *word != Word::Rumours || !draft.is_empty() {
            self.transmit(to, draft);
        }
    }

    fn transmit(&mut self, to: SocketAddr, draft: Draft) {
        let bytes = draft.seal(&self.secret);
        self.figures.sent += 1;
        self.figures.sent_bytes += bytes.len() as u64;
        self.out.push_back(Transmit { to, bytes });
    }
}
