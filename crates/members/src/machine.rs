//! The state machine of one member: probing, suspicion, gossip and anti-entropy.

use std::collections::VecDeque;
use std::net::SocketAddr;

use glenwood_datagram::Secret;
use serde::Serialize;

use crate::record::{Id, Member, Record, State};
use crate::rumours::Rumours;
use crate::settings::Settings;
use crate::table::{Change, Table};
use crate::wire::{cluster_number, Body, DatagramError, Draft, Message, DIGEST_BUCKETS, MAGIC, MAX_ACCUSERS};

/// Number of members asked to probe a target that did not answer the direct probe.
const INDIRECT_PROBES: usize = 3;
/// Number of members that each gossip round is sent to.
const GOSSIP_FAN_OUT: usize = 3;
/// Expected number of members, over the whole cluster, that probe a suspect themselves when they learn of the
/// suspicion. This confirms a loss quickly at a cost that is independent of the cluster size.
const SUSPECT_PROBES: usize = 8;
/// Upper limit of the local health penalty; probe intervals and timeouts are multiplied by the penalty plus
/// one.
const MAX_HEALTH_PENALTY: u32 = 8;
/// Maximum number of datagrams sent in answer to a comparison.
const MAX_COMPARE_DATAGRAMS: usize = 8;
/// A leaving member notifies this many times [`GOSSIP_FAN_OUT`] members at once.
const LEAVE_FAN_OUT_FACTOR: usize = 4;

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
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes in the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received and accepted.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Datagrams rejected: from another cluster, not authenticated, or malformed.
    pub refused: u64,
    /// Probes that failed.
    #[serde(rename = "failed")]
    pub failed_probes: u64,
    /// Members that this one declared lost when a suspicion timed out here.
    #[serde(rename = "declared")]
    pub declared_lost: u64,
    /// Suspicions of itself that it refuted.
    pub refuted: u64,
    /// Stalls of this process.
    pub stalls: u64,
    /// Datagrams of another process that uses this member's name.
    #[serde(rename = "taken")]
    pub name_conflicts: u64,
    /// Records ignored because the table of members was full.
    #[serde(rename = "beyond")]
    pub over_limit: u64,
}

/// One member as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MemberInfo {
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
    /// The members in `helpers` probe the target too; `nacks` of them reported that it did not answer.
    Indirect { helpers: Vec<Id>, nacks: usize },
}

/// An outgoing probe that has not been answered yet.
struct Probe {
    target: Id,
    start_id: u64,
    incarnation: u64,
    number: u64,
    sent: u64,
    stage: Stage,
}

/// A probe made on behalf of another member.
struct ForwardedProbe {
    number: u64,
    target: Id,
    requester: SocketAddr,
    requester_number: u64,
    expires_at: u64,
}

/// One member's view of the cluster. See the crate documentation.
pub struct Members {
    settings: Settings,
    cluster: u32,
    secret: Secret,
    own_record: Record,
    own_id: Id,
    random: fastrand::Rng,
    table: Table,
    rumours: Rumours,
    /// The order in which members are probed; reshuffled after each round.
    probe_order: Vec<Id>,
    next_in_order: usize,
    probes: Vec<Probe>,
    forwarded_probes: Vec<ForwardedProbe>,
    /// Local health penalty (Lifeguard): 0 is healthy, higher values mean that this member may itself be at
    /// fault.
    health_penalty: u32,
    next_probe: u64,
    next_gossip: u64,
    next_compare: u64,
    next_retry: u64,
    next_forget: u64,
    /// The latest time passed in.
    last_now: u64,
    /// The number of the last probe.
    last_probe_number: u64,
    outgoing: VecDeque<Transmit>,
    events: VecDeque<Event>,
    counters: Counters,
}

impl Members {
    /// Creates a member that knows no others. `incarnation` should be larger than in any earlier run, as the
    /// start time is; if it is not, the records that others hold of the earlier run raise it. `seed` seeds
    /// the random choices.
    ///
    /// # Errors
    /// The invalid setting and what was expected.
    pub fn new(
        settings: Settings,
        secret: Secret,
        incarnation: u64,
        seed: u64,
        now: u64,
    ) -> Result<Self, String> {
        settings.check()?;
        let mut random = fastrand::Rng::with_seed(seed);
        // A random offset keeps members that start together from probing in step.
        let first = now + random.u64(0..settings.probe_ms);
        let own_record = Record { member: settings.local_member.clone(), incarnation, state: State::Alive };
        Ok(Self {
            cluster: cluster_number(&settings.cluster),
            own_id: own_record.member.id(),
            secret,
            own_record,
            table: Table::default(),
            rumours: Rumours::default(),
            probe_order: Vec::new(),
            next_in_order: 0,
            probes: Vec::new(),
            forwarded_probes: Vec::new(),
            health_penalty: 0,
            next_probe: first,
            next_gossip: first,
            next_compare: now,
            next_retry: first + settings.retry_ms(),
            next_forget: first + settings.forget_ms / 10,
            last_now: now,
            last_probe_number: random.u64(..),
            random,
            outgoing: VecDeque::new(),
            events: VecDeque::new(),
            counters: Counters::default(),
            settings,
        })
    }

    /// Whether these bytes begin like a membership datagram; other protocols may share the socket.
    pub fn is_own(bytes: &[u8]) -> bool {
        bytes.starts_with(&MAGIC.to_be_bytes())
    }

    // ---- Queries ----

    /// This member.
    pub fn local_member(&self) -> &Member {
        &self.own_record.member
    }

    /// The other members considered alive, in no particular order.
    pub fn living(&self) -> impl Iterator<Item = &Member> {
        self.table.living().iter().filter_map(|id| self.table.get(*id)).map(|entry| &entry.record.member)
    }

    /// The member with this id and its state, this member included.
    pub fn get(&self, id: Id) -> Option<(&Member, State)> {
        let record = if id == self.own_id { &self.own_record } else { &self.table.get(id)?.record };
        Some((&record.member, record.state))
    }

    /// All other known members, ordered by id.
    pub fn all(&self) -> Vec<MemberInfo> {
        let shown = |record: &Record| MemberInfo {
            member: record.member.clone(),
            state: record.state,
            incarnation: record.incarnation,
        };
        self.table.iter().map(|(_, entry)| shown(&entry.record)).collect()
    }

    /// The counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The local health penalty: 0 (healthy) to 8.
    pub fn health(&self) -> u32 {
        self.health_penalty
    }

    // ---- Driving the state machine ----

    /// The next datagram to be sent.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.outgoing.pop_front()
    }

    /// The next event.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// The time at which [`Members::tick`] is to be called next.
    pub fn due(&self) -> u64 {
        let mut due = self.next_compare.min(self.next_retry).min(self.next_forget);
        if self.own_record.state == State::Alive {
            due = due.min(self.next_probe);
        }
        if !self.rumours.is_empty() {
            due = due.min(self.next_gossip);
        }
        for probe in &self.probes {
            due = due.min(self.probe_deadline(probe));
        }
        for forwarded in &self.forwarded_probes {
            due = due.min(forwarded.expires_at);
        }
        for id in self.table.suspects() {
            due = due.min(self.suspicion_deadline(*id));
        }
        due
    }

    /// Runs everything that is due at `now`.
    pub fn tick(&mut self, now: u64) {
        self.detect_stall(now);
        self.expire_forwarded_probes(now);
        self.check_probes(now);
        self.declare_lost(now);
        if self.own_record.state == State::Alive && now >= self.next_probe {
            self.next_probe = now + self.scaled_by_health(self.settings.probe_ms);
            self.probe_next(now);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + self.settings.gossip_ms();
            self.gossip(GOSSIP_FAN_OUT);
        }
        if now >= self.next_compare {
            // Jitter of 0.5 to 1.5 intervals spreads the comparisons of all members.
            self.next_compare =
                now + self.random.u64(0..=self.settings.compare_ms()) + self.settings.compare_ms() / 2;
            self.compare(now);
        }
        if now >= self.next_retry {
            self.next_retry =
                now + self.random.u64(0..=self.settings.retry_ms()) + self.settings.retry_ms() / 2;
            self.retry_lost_or_seed();
        }
        if now >= self.next_forget {
            self.next_forget = now + self.settings.forget_ms / 10;
            self.table.forget(now.saturating_sub(self.settings.forget_ms), self.settings.max_members);
        }
    }

    /// Handles a received datagram.
    ///
    /// # Errors
    /// When it is from another cluster, is not authenticated or is malformed. Nothing but the counter of
    /// rejected datagrams changes then.
    pub fn receive(&mut self, now: u64, bytes: &[u8]) -> Result<(), DatagramError> {
        self.detect_stall(now);
        let message =
            Message::read(bytes, self.cluster, &self.secret).inspect_err(|_| self.counters.refused += 1)?;
        self.counters.received += 1;
        let from = &message.from;
        let sender = from.member.id();
        if sender == self.own_id {
            if from.member.start_id != self.own_record.member.start_id
                && from.member.name == self.own_record.member.name
            {
                self.counters.name_conflicts += 1;
                if self.counters.name_conflicts == 1 {
                    self.events.push_back(Event::NameTaken(from.member.address));
                }
                self.handle_own_record(from);
            }
            return Ok(());
        }
        if matches!(from.state, State::Alive | State::Left) {
            self.apply_record(now, from, &[]);
        }
        for (record, accusers) in &message.rumours {
            self.apply_record(now, record, accusers);
        }
        let to = from.member.address;
        match message.body {
            Body::Ping(number) => self.send(to, &Body::Ack(number), Some(sender)),
            Body::PingFor(number, target) => self.start_forwarded_probe(now, to, number, target),
            Body::Ack(number) => self.handle_ack(sender, number),
            Body::Nack(number) => self.handle_nack(sender, number),
            Body::Compare(digests, reply) => self.handle_compare(now, to, &digests, reply),
            Body::Rumours => {}
        }
        Ok(())
    }

    /// Leaves the cluster and announces it. The member keeps answering until the caller stops driving it.
    pub fn leave(&mut self, now: u64) {
        self.detect_stall(now);
        if self.own_record.state == State::Alive {
            self.own_record.state = State::Left;
            self.probes.clear();
            self.rumours.queue(self.own_id, self.own_record.clone(), &[]);
            self.gossip(LEAVE_FAN_OUT_FACTOR * GOSSIP_FAN_OUT);
        }
    }

    // ---- Stalls and local health ----

    /// Detects that this process was stalled. Members that did not answer during the stall are not blamed for
    /// it: pending probes are dropped and suspicions are extended by the length of the stall.
    fn detect_stall(&mut self, now: u64) {
        let stalled_ms = now.saturating_sub(self.due().max(self.last_now));
        self.last_now = now.max(self.last_now);
        if stalled_ms <= self.settings.stall_ms() {
            return;
        }
        self.counters.stalls += 1;
        self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
        self.probes.clear();
        // The members that asked for these probes have given up on them by now.
        self.forwarded_probes.clear();
        self.table.extend_suspicions(stalled_ms);
        self.events.push_back(Event::Stalled(stalled_ms));
    }

    /// Multiplies a duration by the local health penalty plus one.
    fn scaled_by_health(&self, duration_ms: u64) -> u64 {
        duration_ms * u64::from(self.health_penalty + 1)
    }

    /// Raises the local health penalty, up to its limit.
    fn raise_health_penalty(&mut self, by: usize) {
        self.health_penalty = self.health_penalty.saturating_add(by as u32).min(MAX_HEALTH_PENALTY);
    }

    // ---- Probes ----

    /// The time at which the current stage of a probe times out.
    fn probe_deadline(&self, probe: &Probe) -> u64 {
        let timeouts = if probe.stage == Stage::Direct { 1 } else { 3 };
        probe.sent + timeouts * self.scaled_by_health(self.settings.ack_timeout_ms())
    }

    /// Probes the next living member of the order; reshuffles it at the end of a round.
    fn probe_next(&mut self, now: u64) {
        for _ in 0..=self.probe_order.len() {
            if self.next_in_order >= self.probe_order.len() {
                self.probe_order.clone_from(&self.table.living().to_vec());
                self.random.shuffle(&mut self.probe_order);
                self.next_in_order = 0;
            }
            let Some(target) = self.probe_order.get(self.next_in_order).copied() else { return };
            self.next_in_order += 1;
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
        let (start_id, incarnation) = (entry.record.member.start_id, entry.record.incarnation);
        let to = entry.record.member.address;
        self.last_probe_number = self.last_probe_number.wrapping_add(1);
        let number = self.last_probe_number;
        self.probes.push(Probe { target, start_id, incarnation, number, sent: now, stage: Stage::Direct });
        self.send(to, &Body::Ping(number), Some(target));
    }

    /// Starts indirect probes for direct probes that timed out, and fails those that timed out completely.
    fn check_probes(&mut self, now: u64) {
        let mut index = 0;
        while index < self.probes.len() {
            if now < self.probe_deadline(&self.probes[index]) {
                index += 1;
                continue;
            }
            let (target, number) = (self.probes[index].target, self.probes[index].number);
            if self.probes[index].stage == Stage::Direct {
                let helpers = self.choose_helpers(target);
                for helper in &helpers {
                    let to = self.table.get(*helper).map(|entry| entry.record.member.address);
                    to.into_iter().for_each(|to| self.send(to, &Body::PingFor(number, target), None));
                }
                let to = self.table.get(target).map(|entry| entry.record.member.address);
                to.into_iter().for_each(|to| self.send(to, &Body::Ping(number), Some(target)));
                self.probes[index].stage = Stage::Indirect { helpers, nacks: 0 };
                index += 1;
                continue;
            }
            let probe = self.probes.swap_remove(index);
            self.probe_failed(now, &probe);
        }
    }

    /// Chooses the members asked to probe `target`: one in the target's zone, one in this member's zone and
    /// one in another zone, as far as they exist, so that a broken link between two zones is not mistaken for
    /// a loss.
    fn choose_helpers(&mut self, target: Id) -> Vec<Id> {
        let zone_of = |id: Id| self.table.get(id).map(|entry| entry.record.member.zone.as_str());
        let target_zone = zone_of(target).unwrap_or_default().to_string();
        let mut candidates: Vec<Id> =
            self.table.living().iter().copied().filter(|id| *id != target).collect();
        self.random.shuffle(&mut candidates);
        let zone_of = |id: Id| self.table.get(id).map_or("", |entry| entry.record.member.zone.as_str());
        let own_zone = self.own_record.member.zone.as_str();
        let in_target_zone = candidates.iter().copied().find(|id| zone_of(*id) == target_zone);
        let in_own_zone =
            candidates.iter().copied().find(|id| Some(*id) != in_target_zone && zone_of(*id) == own_zone);
        let mut helpers: Vec<Id> = in_target_zone.into_iter().chain(in_own_zone).collect();
        let in_other_zone =
            candidates.iter().copied().find(|id| zone_of(*id) != target_zone && zone_of(*id) != own_zone);
        for id in in_other_zone.into_iter().chain(candidates.iter().copied()) {
            if helpers.len() < INDIRECT_PROBES && !helpers.contains(&id) {
                helpers.push(id);
            }
        }
        helpers
    }

    /// Handles a failed probe: adjusts the local health penalty and suspects the target.
    fn probe_failed(&mut self, now: u64, probe: &Probe) {
        self.counters.failed_probes += 1;
        // A live helper sends a nack even if the target is silent. Missing nacks suggest that this member
        // does not receive datagrams.
        let missing_nacks = match &probe.stage {
            Stage::Indirect { helpers, nacks } => helpers.len().saturating_sub(*nacks),
            Stage::Direct => 0,
        };
        self.raise_health_penalty(missing_nacks);
        let Some(entry) = self.table.get(probe.target) else { return };
        let record = &entry.record;
        let same_incarnation =
            record.member.start_id == probe.start_id && record.incarnation == probe.incarnation;
        // A newer incarnation of the target, received meanwhile, is as good as an answer.
        if same_incarnation && record.state.is_living() {
            let suspect = Record { state: State::Suspect, ..record.clone() };
            self.apply_record(now, &suspect, &[self.own_id]);
        }
    }

    /// Handles an ack: completes a probe of this member, or forwards the ack to the member that requested it.
    fn handle_ack(&mut self, by: Id, number: u64) {
        if let Some(index) = self.probes.iter().position(|probe| probe.number == number) {
            let from_helper =
                |stage: &Stage| matches!(stage, Stage::Indirect { helpers, .. } if helpers.contains(&by));
            if self.probes[index].target == by || from_helper(&self.probes[index].stage) {
                self.probes.swap_remove(index);
                self.health_penalty = self.health_penalty.saturating_sub(1);
            }
        } else if let Some(index) =
            self.forwarded_probes.iter().position(|e| e.number == number && e.target == by)
        {
            let forwarded = self.forwarded_probes.swap_remove(index);
            self.send(forwarded.requester, &Body::Ack(forwarded.requester_number), None);
        }
    }

    fn handle_nack(&mut self, by: Id, number: u64) {
        let Some(probe) = self.probes.iter_mut().find(|probe| probe.number == number) else { return };
        if let Stage::Indirect { helpers, nacks } = &mut probe.stage {
            if helpers.contains(&by) {
                *nacks += 1;
            }
        }
    }

    fn start_forwarded_probe(&mut self, now: u64, requester: SocketAddr, requester_number: u64, target: Id) {
        let Some(entry) = self.table.get(target).filter(|entry| entry.record.state.is_living()) else {
            self.send(requester, &Body::Nack(requester_number), None);
            return;
        };
        let to = entry.record.member.address;
        self.last_probe_number = self.last_probe_number.wrapping_add(1);
        let expires_at = now + self.settings.ack_timeout_ms();
        self.forwarded_probes.push(ForwardedProbe {
            number: self.last_probe_number,
            target,
            requester,
            requester_number,
            expires_at,
        });
        self.send(to, &Body::Ping(self.last_probe_number), Some(target));
    }

    fn expire_forwarded_probes(&mut self, now: u64) {
        while let Some(index) = self.forwarded_probes.iter().position(|forwarded| now >= forwarded.expires_at)
        {
            let forwarded = self.forwarded_probes.swap_remove(index);
            self.send(forwarded.requester, &Body::Nack(forwarded.requester_number), None);
        }
    }

    // ---- Suspicion ----

    /// The time at which a suspect is declared lost. The timeout shrinks logarithmically from the maximum to
    /// the minimum as more members confirm the suspicion independently.
    fn suspicion_deadline(&self, id: Id) -> u64 {
        let Some(suspicion) = self.table.get(id).and_then(|entry| entry.suspicion.as_ref()) else {
            return u64::MAX;
        };
        let (min, max) = (self.settings.min_suspect_ms(), self.settings.max_suspect_ms());
        // The number of possible accusers besides the first.
        let possible = (MAX_ACCUSERS - 1).min(self.table.living().len().saturating_sub(1));
        let confirmations = suspicion.accusers.len().saturating_sub(1).min(possible);
        let share = if possible == 0 {
            1.0
        } else {
            (confirmations as f64 + 1.0).ln() / (possible as f64 + 1.0).ln()
        };
        suspicion.since + max - ((max - min) as f64 * share) as u64
    }

    /// Declares the suspects lost whose suspicion has timed out.
    fn declare_lost(&mut self, now: u64) {
        let due: Vec<Id> =
            self.table.suspects().iter().copied().filter(|id| now >= self.suspicion_deadline(*id)).collect();
        for id in due {
            let Some(entry) = self.table.get(id) else { continue };
            let lost = Record { state: State::Lost, ..entry.record.clone() };
            self.counters.declared_lost += 1;
            self.apply_record(now, &lost, &[]);
        }
    }

    /// Applies a record about a member, queues it for gossip if it is new, and reports the resulting events.
    fn apply_record(&mut self, now: u64, record: &Record, accusers: &[Id]) {
        let id = record.member.id();
        if id == self.own_id {
            self.handle_own_record(record);
            return;
        }
        let old = self.table.get(id).map(|entry| entry.record.member.clone());
        match self.table.apply(now, record, accusers, self.settings.max_members) {
            Change::Unchanged => {}
            Change::Full => self.counters.over_limit += 1,
            Change::Confirmed => self.queue_rumour(id),
            Change::New { previous } => {
                self.queue_rumour(id);
                let was_living = previous.is_some_and(|(state, _)| state.is_living());
                let now_living = record.state.is_living();
                let other_process = previous.is_some_and(|(_, start_id)| start_id != record.member.start_id);
                if was_living && (other_process || !now_living) {
                    let old = old.unwrap_or_else(|| record.member.clone());
                    let left = record.state == State::Left;
                    self.events.push_back(if left { Event::Left(old) } else { Event::Lost(old) });
                }
                if now_living && (!was_living || other_process) {
                    self.events.push_back(Event::Joined(record.member.clone()));
                    self.insert_into_probe_order(id);
                }
                // A few randomly selected members probe the suspect themselves.
                let selected = self.random.usize(0..self.table.living().len().max(1)) < SUSPECT_PROBES;
                if record.state == State::Suspect && self.own_record.state == State::Alive && selected {
                    self.probe(now, id);
                }
            }
        }
    }

    /// Queues the current record of a member for gossip.
    fn queue_rumour(&mut self, id: Id) {
        if let Some(entry) = self.table.get(id) {
            let accusers = entry.suspicion.as_ref().map_or(&[][..], |suspicion| &suspicion.accusers);
            self.rumours.queue(id, entry.record.clone(), accusers);
        }
    }

    /// Inserts a new member at a random position in the rest of the current probe round.
    fn insert_into_probe_order(&mut self, id: Id) {
        if !self.probe_order.get(self.next_in_order..).is_some_and(|left| left.contains(&id)) {
            let at =
                self.random.usize(self.next_in_order.min(self.probe_order.len())..=self.probe_order.len());
            self.probe_order.insert(at, id);
        }
    }

    /// Handles a record about this member: a wrong one is refuted with a higher incarnation.
    fn handle_own_record(&mut self, record: &Record) {
        if self.own_record.state != State::Alive || record.member.name != self.own_record.member.name {
            return;
        }
        let same_process = record.member.start_id == self.own_record.member.start_id;
        if (same_process && record.state == State::Alive) || self.own_record.supersedes(record) {
            return;
        }
        if same_process {
            self.counters.refuted += 1;
            self.events.push_back(Event::Refuted);
            if record.state == State::Suspect {
                self.raise_health_penalty(1);
            }
        }
        self.own_record.incarnation = record.incarnation.saturating_add(1);
        self.rumours.queue(self.own_id, self.own_record.clone(), &[]);
    }

    // ---- Gossip and anti-entropy ----

    fn gossip(&mut self, member_count: usize) {
        if self.rumours.is_empty() {
            return;
        }
        for id in self.choose_living(member_count) {
            let address = self.table.get(id).map(|entry| entry.record.member.address);
            address.into_iter().for_each(|address| self.send(address, &Body::Rumours, None));
        }
    }

    /// Chooses up to `max_count` living members at random.
    fn choose_living(&mut self, max_count: usize) -> Vec<Id> {
        let living = self.table.living();
        if living.len() <= max_count {
            return living.to_vec();
        }
        let mut chosen = Vec::with_capacity(max_count);
        while chosen.len() < max_count {
            let id = living[self.random.usize(0..living.len())];
            if !chosen.contains(&id) {
                chosen.push(id);
            }
        }
        chosen
    }

    /// Starts a comparison with a random living member, or with the seeds if none is known.
    fn compare(&mut self, now: u64) {
        let body = Body::Compare(self.table.digests(&self.own_record), true);
        match self.choose_living(1).first().and_then(|id| self.table.get(*id)) {
            Some(entry) => self.send(entry.record.member.address, &body, None),
            None => {
                // No member is known: ask all seeds and try again soon.
                self.next_compare =
                    now + self.random.u64(0..=self.settings.probe_ms) + self.settings.probe_ms;
                for seed in self.settings.seeds.clone() {
                    if seed != self.own_record.member.address {
                        self.send(seed, &body, None);
                    }
                }
            }
        }
    }

    /// Handles another member's table digests: sends it the records of the buckets that differ.
    fn handle_compare(
        &mut self,
        now: u64,
        to: SocketAddr,
        their_digests: &[u32; DIGEST_BUCKETS],
        reply: bool,
    ) {
        let own_digests = self.table.digests(&self.own_record);
        let mut differ = [false; DIGEST_BUCKETS];
        for (bucket, differs) in differ.iter_mut().enumerate() {
            *differs = own_digests[bucket] != their_digests[bucket];
        }
        if !differ.contains(&true) {
            return;
        }
        // The tables differ by more than gossip has delivered, so compare again soon.
        self.next_compare = self.next_compare.min(now + self.settings.probe_ms);
        let mut drafts = vec![Draft::new(self.cluster, &self.own_record, &Body::Rumours)];
        let known: Vec<_> = self.table.in_buckets(&differ).collect();
        // A random start, so that records that do not fit this time are sent another time.
        let first = self.random.usize(0..known.len().max(1));
        for (_, entry) in known[first.min(known.len())..].iter().chain(&known[..first.min(known.len())]) {
            let accusers = entry.suspicion.as_ref().map_or(Vec::new(), |s| s.accusers.clone());
            let rumour = (entry.record.clone(), accusers);
            if drafts.last_mut().is_some_and(|draft| draft.add(&rumour)) {
                continue;
            }
            if drafts.len() == MAX_COMPARE_DATAGRAMS {
                break;
            }
            let mut draft = Draft::new(self.cluster, &self.own_record, &Body::Rumours);
            draft.add(&rumour);
            drafts.push(draft);
        }
        drafts.into_iter().for_each(|draft| self.transmit(to, draft));
        if reply {
            self.send(to, &Body::Compare(own_digests, false), None);
        }
    }

    /// Contacts a random lost member, or a seed that is not alive, in case it is back.
    fn retry_lost_or_seed(&mut self) {
        let gone = self.table.iter().filter(|(_, entry)| entry.record.state == State::Lost);
        let gone = gone.map(|(id, entry)| (Some(*id), entry.record.member.address));
        let is_known = |address: &SocketAddr| {
            *address == self.own_record.member.address
                || self.living().any(|member| member.address == *address)
        };
        let seeds = self.settings.seeds.iter().filter(|seed| !is_known(seed)).map(|seed| (None, *seed));
        let candidates: Vec<(Option<Id>, SocketAddr)> = gone.chain(seeds).collect();
        if let Some((receiver, to)) = self.random.choice(&candidates).copied() {
            let body = Body::Compare(self.table.digests(&self.own_record), true);
            self.send(to, &body, receiver);
        }
    }

    /// Sends a message together with queued rumours. If the receiver is not considered alive, its own record
    /// goes first, so that it can refute it.
    fn send(&mut self, to: SocketAddr, body: &Body, receiver: Option<Id>) {
        let mut draft = Draft::new(self.cluster, &self.own_record, body);
        let entry = receiver.and_then(|id| self.table.get(id));
        if let Some(entry) = entry.filter(|entry| entry.record.state != State::Alive) {
            let accusers = entry.suspicion.as_ref().map_or(Vec::new(), |s| s.accusers.clone());
            draft.add(&(entry.record.clone(), accusers));
        }
        self.rumours.fill(&mut draft, self.table.living().len() + 1);
        if *body != Body::Rumours || !draft.is_empty() {
            self.transmit(to, draft);
        }
    }

    fn transmit(&mut self, to: SocketAddr, draft: Draft) {
        let bytes = draft.seal(&self.secret);
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.outgoing.push_back(Transmit { to, bytes });
    }
}
