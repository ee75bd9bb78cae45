//! The coordinator manages every work that a node is involved in. It drives the proposers by time,
//! resends unanswered requests, enforces timeouts, stores blobs at keepers and fetches them, and tracks
//! which node incarnations membership reports as alive.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use glenwood_datagram::stable_hash;
use serde::Serialize;

use crate::keeper::{all_pieces_mask, piece_count, Reply, Request, LIVENESS_MS, MAX_BLOB_BYTES, PIECE_BYTES};
use crate::proposer::{Proposer, RegisterOp, Step};
use crate::register::{
    Answer, Blob, Effect, Incarnation, IntendedAttempt, NodeId, Verdict, Work, WorkDescription,
};
use crate::roster::Rosters;

/// Upper limit of the exponential backoff between resends, as a multiple of the initial interval.
const MAX_BACKOFF_FACTOR: u64 = 8;
/// Number of blob pieces sent to one keeper per round of sending.
const PIECES_PER_ROUND: usize = 16;
/// Interval between announcements to keepers that this incarnation is alive and holds works.
const ALIVE_INTERVAL_MS: u64 = 100;
/// How long a work whose verdict missed its timeout keeps resending it to the keepers, as a multiple of
/// `majority_timeout_ms`.
const LINGER_FACTOR: u64 = 4;

/// Timing and capacity limits of a coordinator. All times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Timeout for reaching a majority of keepers.
    pub majority_timeout_ms: u64,
    /// Initial interval before an unanswered request is resent.
    pub resend_ms: u64,
    /// Polling interval for a work that another node holds.
    pub poll_ms: u64,
    /// How long a register lives after its last use. No attempt starts later than half of this time after
    /// the node acquired the work.
    pub entry_lifetime_ms: u64,
    /// Maximum number of works at a time.
    pub max_works: usize,
}

/// Handle of one work, valid for as long as this node is involved in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Ticket(pub u64);

/// How the identity of a request is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestIdentity {
    /// The request is identified by its idempotency key.
    Keyed,
    /// The request has no key. Each one is a work of its own, unless it is marked as a repeat of an
    /// earlier equal request.
    Unsafe {
        /// Derived from the request id that the client sent.
        nonce: u64,
        /// The client marked the request as a repeat.
        is_marked_repeat: bool,
    },
}

/// A request to be guarded by custody.
#[derive(Clone, Debug)]
pub struct SubmittedRequest {
    /// Digest of the requested operation and its caller.
    pub slot: (u64, u64),
    /// How the request is identified.
    pub kind: RequestIdentity,
    /// Name of the request's class.
    pub class: String,
    /// Time left until the client's deadline.
    pub remaining_ms: u32,
    /// The serialized request, if it is to be stored at the keepers.
    pub body: Option<Bytes>,
}

/// The result that the holder of a work reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// A server's answer. `None` if the answer is too long to be stored.
    Served(Option<Bytes>),
    /// The server rejected the request as invalid.
    Rejected,
    /// Releases the work without a verdict. The next node may take it over, unless it is unsafe and may
    /// have run.
    Release,
}

/// Notifications from the coordinator to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This node holds the work. The caller decides how to proceed, given what is known of earlier
    /// attempts.
    Acquired {
        /// The work.
        ticket: Ticket,
        /// Attempts that earlier holders intended to send, each with its age in milliseconds.
        earlier: Vec<(IntendedAttempt, u64)>,
        /// Another node held the work before or released it.
        adopted: bool,
    },
    /// This node took over an orphaned work that no client here waits for.
    OrphanAdopted {
        /// The work.
        ticket: Ticket,
        /// Attempts that earlier holders intended to send, each with its age in milliseconds.
        earlier: Vec<(IntendedAttempt, u64)>,
        /// The properties of the work.
        about: WorkDescription,
        /// The request as it was stored at the keepers.
        body: Bytes,
        /// Time left until the client's deadline.
        remaining_ms: u64,
    },
    /// The intended attempt may be sent now.
    SendAllowed(Ticket),
    /// The intended attempt must not be sent.
    SendDenied(Ticket),
    /// The final verdict on the work, with the answer if a server gave one that was stored.
    Verdict(Ticket, Verdict, Option<Bytes>),
    /// A verdict was not stored at a majority in time, or its answer could not be fetched. It must not be
    /// reported to any client.
    VerdictNotStored(Ticket),
    /// No majority answered in time, so the holder of the work is not known.
    NoMajority(Ticket),
    /// An equal request marked as a repeat is in progress. It may be a repeat of this request, which must
    /// therefore not be sent as well.
    ConcurrentRepeat(Ticket),
    /// The marked repeat could belong to more than one earlier request.
    AmbiguousRepeat(Ticket),
    /// The marked repeat (first ticket) repeats a work that this node already has under the second
    /// ticket.
    AlreadyHere(Ticket, Ticket),
    /// The work has ended. No further events follow for this ticket.
    Ended(Ticket),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Figures {
    /// Requests that were submitted.
    pub asked: u64,
    /// Requests that joined a work that was already in progress.
    pub joined: u64,
    /// Works taken over from another holder.
    pub adopted: u64,
    /// Works acquired that no client at this node waits for.
    pub orphans: u64,
    /// Works that were released because no keeper had the request's bytes.
    pub bodiless: u64,
    /// Intents that were stored at a majority.
    pub intents: u64,
    /// Attempts that were denied.
    pub denied: u64,
    /// Works that another node took over from this one.
    pub ousted: u64,
    /// Works for which no majority answered in time.
    pub unknown: u64,
    /// Verdicts stored at a majority.
    pub kept: u64,
    /// Verdicts that were not stored in time.
    pub unkept: u64,
    /// "May have run" verdicts.
    pub may_have_run: u64,
}

/// A blob being stored at the keepers.
struct Upload {
    blob: Blob,
    bytes: Bytes,
    /// Bitmask of the pieces that each keeper has.
    have: BTreeMap<NodeId, u128>,
}

/// A blob being fetched from the keepers.
struct Fetch {
    blob: Blob,
    pieces: BTreeMap<u8, Bytes>,
    /// The verdict whose answer is fetched. `None` if the request itself is fetched.
    verdict: Option<Verdict>,
    deadline: u64,
}

struct Entry {
    work: Work,
    proposer: Proposer,
    /// The request, if one was submitted at this node. `None` if the work was adopted as an orphan.
    submitted: Option<SubmittedRequest>,
    /// When the work began, estimated from the ages that keepers report.
    began: u64,
    /// Nonces of other works of the same slot, as reported by each keeper.
    reported_nonces: BTreeMap<NodeId, Vec<u64>>,
    /// Deadline of the pending operation.
    deadline: u64,
    /// When the entry is removed in any case.
    expires: u64,
    next_send: u64,
    resend_wait: u64,
    next_poll: u64,
    last_request: Option<RegisterOp>,
    pending_attempt: Option<usize>,
    uploads: Vec<Upload>,
    fetch: Option<Fetch>,
    /// The answer that this node submitted with its verdict.
    own_answer: Option<(Blob, Bytes)>,
    /// [`Event::VerdictNotStored`] was already emitted for this work.
    unkept_reported: bool,
}

/// Manages every work that this node is involved in.
pub struct Coordinator {
    settings: Settings,
    local: Incarnation,
    rosters: Rosters,
    random: fastrand::Rng,
    entries: BTreeMap<Ticket, Entry>,
    by_work: BTreeMap<Work, Ticket>,
    last_ticket: u64,
    /// The latest known incarnation of each node and whether it is alive.
    incarnations: BTreeMap<NodeId, (u64, bool)>,
    last_seen: BTreeMap<Incarnation, u64>,
    timers: BTreeSet<(u64, Ticket)>,
    scheduled: BTreeMap<Ticket, u64>,
    next_announcement: u64,
    outgoing: VecDeque<(NodeId, Option<(Work, Request)>)>,
    events: VecDeque<Event>,
    figures: Figures,
}

/// Returns the digest and length of these bytes.
pub fn blob_of(bytes: &[u8]) -> Blob {
    Blob { digest: stable_hash(&[b"blob", bytes]), length: bytes.len() as u32 }
}

impl Coordinator {
    /// Creates a coordinator for this incarnation of the node.
    pub fn new(settings: Settings, local: Incarnation, rosters: Rosters, seed: u64, now: u64) -> Self {
        Self {
            settings,
            local,
            rosters,
            random: fastrand::Rng::with_seed(seed),
            entries: BTreeMap::new(),
            by_work: BTreeMap::new(),
            last_ticket: 0,
            incarnations: BTreeMap::new(),
            last_seen: BTreeMap::new(),
            timers: BTreeSet::new(),
            scheduled: BTreeMap::new(),
            next_announcement: now,
            outgoing: VecDeque::new(),
            events: VecDeque::new(),
            figures: Figures::default(),
        }
    }

    // ---- State queries ----

    /// Counters since the start.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// Number of works this node is involved in, and number of them that it holds.
    pub fn counts(&self) -> (usize, usize) {
        (self.entries.len(), self.entries.values().filter(|entry| entry.proposer.is_holder()).count())
    }

    /// The identity of the work with this ticket.
    pub fn work(&self, ticket: Ticket) -> Option<Work> {
        self.entries.get(&ticket).map(|entry| entry.work)
    }

    /// Whether this node holds the work.
    pub fn is_holder(&self, ticket: Ticket) -> bool {
        self.entries.get(&ticket).is_some_and(|entry| entry.proposer.is_holder())
    }

    /// The last known holder of the work.
    pub fn holder(&self, ticket: Ticket) -> Option<Incarnation> {
        self.entries.get(&ticket).and_then(|entry| entry.proposer.holder())
    }

    // ---- Membership ----

    /// Records from membership the current incarnation of a node and whether it is alive.
    pub fn update_membership(&mut self, incarnation: Incarnation, alive: bool) {
        let recorded = self.incarnations.get(&incarnation.node).copied();
        // A late report that an older incarnation was lost says nothing about the current one.
        if alive || recorded.is_none_or(|(other, was_alive)| other == incarnation.number || !was_alive) {
            self.incarnations.insert(incarnation.node, (incarnation.number, alive));
        }
    }

    /// Whether this incarnation is considered lost.
    pub fn is_lost(&self, now: u64, incarnation: Incarnation) -> bool {
        let considered_dead = match self.incarnations.get(&incarnation.node) {
            Some((other, alive)) => !(*alive && *other == incarnation.number),
            None => false,
        };
        considered_dead
            && incarnation != self.local
            && self.last_seen.get(&incarnation).is_none_or(|at| now - at > LIVENESS_MS)
    }

    // ---- Caller interface ----

    /// Returns the next event.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Returns the next message to send and its receiver. `None` in place of a work and request stands
    /// for the announcement that this incarnation is alive.
    pub fn poll_transmit(&mut self) -> Option<(NodeId, Option<(Work, Request)>)> {
        self.outgoing.pop_front()
    }

    /// Submits a request. Returns its ticket and whether it joined a work already in progress here, or
    /// `None` if there are too many works.
    pub fn submit(&mut self, now: u64, submitted: SubmittedRequest) -> Option<(Ticket, bool)> {
        self.figures.asked += 1;
        let nonce = match submitted.kind {
            RequestIdentity::Keyed => 0,
            RequestIdentity::Unsafe { is_marked_repeat: true, .. } => Work::REPEAT,
            RequestIdentity::Unsafe { nonce, .. } => nonce.max(Work::REPEAT + 1),
        };
        let work = Work { slot: submitted.slot, nonce };
        if let Some(ticket) = self.by_work.get(&work) {
            self.figures.joined += 1;
            return Some((*ticket, true));
        }
        if self.entries.len() >= self.settings.max_works {
            return None;
        }
        let ticket = self.next_ticket();
        self.start_work(now, ticket, work, submitted);
        Some((ticket, false))
    }

    fn next_ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        Ticket(self.last_ticket)
    }

    fn start_work(&mut self, now: u64, ticket: Ticket, work: Work, submitted: SubmittedRequest) {
        let effect = if submitted.kind == RequestIdentity::Keyed { Effect::Keyed } else { Effect::Unsafe };
        let body = submitted.body.as_ref().filter(|body| body.len() <= MAX_BLOB_BYTES);
        let about = WorkDescription {
            effect,
            class: submitted.class.clone(),
            remaining_ms: submitted.remaining_ms,
            request: body.map(|body| blob_of(body)),
        };
        let proposer = Proposer::for_request(self.local, self.rosters.keepers(work.slot), about);
        self.insert_entry(now, ticket, work, proposer, Some(submitted));
    }

    /// Takes over a work whose holder is lost, as found by a keeper, unless this node is involved in it
    /// already.
    pub fn adopt(&mut self, now: u64, work: Work) {
        if self.by_work.contains_key(&work) || self.entries.len() >= self.settings.max_works {
            return;
        }
        let ticket = self.next_ticket();
        let proposer = Proposer::for_orphan(self.local, self.rosters.keepers(work.slot));
        self.insert_entry(now, ticket, work, proposer, None);
    }

    fn insert_entry(
        &mut self,
        now: u64,
        ticket: Ticket,
        work: Work,
        proposer: Proposer,
        submitted: Option<SubmittedRequest>,
    ) {
        let entry = Entry {
            work,
            proposer,
            submitted,
            began: now,
            reported_nonces: BTreeMap::new(),
            deadline: now + self.settings.majority_timeout_ms,
            expires: now + self.settings.entry_lifetime_ms,
            next_send: now,
            resend_wait: self.settings.resend_ms,
            next_poll: u64::MAX,
            last_request: None,
            pending_attempt: None,
            uploads: Vec::new(),
            fetch: None,
            own_answer: None,
            unkept_reported: false,
        };
        self.entries.insert(ticket, entry);
        self.by_work.insert(work, ticket);
        self.advance(now, ticket);
    }

    /// Starts to store the intent to send an attempt. [`Event::SendAllowed`] or [`Event::SendDenied`] follows and must
    /// be awaited before the next call. Returns the index of the attempt among those of all holders, or
    /// `None` if no intent was recorded.
    pub fn write_intent(
        &mut self,
        now: u64,
        ticket: Ticket,
        server: u64,
        zone: u64,
        cell: u64,
    ) -> Option<usize> {
        let ttl = self.settings.entry_lifetime_ms;
        let majority_timeout = self.settings.majority_timeout_ms;
        let Some(entry) = self.entries.get_mut(&ticket) else {
            self.events.push_back(Event::SendDenied(ticket));
            return None;
        };
        let at = u32::try_from(now - entry.began).unwrap_or(u32::MAX);
        let number = entry.proposer.record().map_or(0, |record| record.sent.len());
        // By then the register may have expired at some keepers.
        let too_late = now + ttl / 2 > entry.expires;
        let is_full = number >= crate::wire::MAX_ATTEMPTS;
        if too_late
            || is_full
            || !entry.proposer.write_intent(IntendedAttempt {
                server,
                zone,
                cell,
                at_ms: at,
                never_ran: false,
            })
        {
            self.figures.denied += 1;
            self.events.push_back(Event::SendDenied(ticket));
            return None;
        }
        (entry.pending_attempt, entry.deadline) = (Some(number), now + majority_timeout);
        self.advance(now, ticket);
        Some(number)
    }

    /// Records that this attempt, by its index among those of all holders, is proven never to have run.
    pub fn mark_never_ran(&mut self, ticket: Ticket, number: usize) {
        self.entries.get_mut(&ticket).into_iter().for_each(|entry| entry.proposer.mark_never_ran(number));
    }

    /// Submits the result of a work. [`Event::Verdict`] or [`Event::VerdictNotStored`] follows, or neither if the
    /// work is released.
    pub fn submit_result(&mut self, now: u64, ticket: Ticket, conclusion: Conclusion) {
        let majority_timeout = self.settings.majority_timeout_ms;
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        let was_holder = match conclusion {
            Conclusion::Served(bytes) => match bytes.filter(|bytes| bytes.len() <= MAX_BLOB_BYTES) {
                Some(bytes) => {
                    let blob = blob_of(&bytes);
                    let was_holder = entry.proposer.write_verdict(Verdict::Served(blob));
                    if was_holder {
                        entry.uploads.push(Upload { blob, bytes: bytes.clone(), have: BTreeMap::new() });
                        entry.own_answer = Some((blob, bytes));
                    }
                    was_holder
                }
                None => entry.proposer.write_verdict(Verdict::ServedLong),
            },
            Conclusion::Rejected => entry.proposer.write_verdict(Verdict::Rejected),
            Conclusion::Release => entry.proposer.release(),
        };
        if was_holder {
            (entry.deadline, entry.pending_attempt) = (now + majority_timeout, None);
        }
        self.advance(now, ticket);
    }

    /// No client at this node waits for the work any more. If this node holds it, it continues.
    pub fn abandon(&mut self, now: u64, ticket: Ticket) {
        if let Some(entry) = self.entries.get_mut(&ticket) {
            entry.proposer.abandon();
            self.advance(now, ticket);
        }
    }

    /// No client at this node waits for a work that it holds any more. Whoever takes the work over is told so
    /// by the keepers, and sends nothing for a client that has gone.
    pub fn client_left(&mut self, now: u64, ticket: Ticket) {
        self.write_client_wait(now, ticket, |elapsed, recorded| (recorded > elapsed).then_some(elapsed));
    }

    /// A client waits again, for this long, for a work that this node holds.
    pub fn client_returned(&mut self, now: u64, ticket: Ticket, remaining_ms: u64) {
        self.write_client_wait(now, ticket, |elapsed, recorded| {
            (recorded <= elapsed).then_some(elapsed + remaining_ms)
        });
    }

    /// Records how long a client waits, if `new_wait` returns that, given the time since the work began and
    /// what is recorded.
    fn write_client_wait(
        &mut self,
        now: u64,
        ticket: Ticket,
        new_wait: impl FnOnce(u64, u64) -> Option<u64>,
    ) {
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        let Some(recorded) = entry.proposer.record().map(|record| record.about.remaining_ms) else { return };
        let Some(wait) = new_wait(now.saturating_sub(entry.began), u64::from(recorded)) else { return };
        if entry.proposer.write_client_wait(u32::try_from(wait).unwrap_or(u32::MAX)) {
            self.advance(now, ticket);
        }
    }

    // ---- Keeper replies ----

    /// Handles a keeper's reply.
    pub fn handle_reply(&mut self, now: u64, keeper: NodeId, work: Work, reply: Reply) {
        let Some(ticket) = self.by_work.get(&work).copied() else { return };
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        match reply {
            Reply::Answer { answer, age, holder_alive } => {
                let record = match &answer {
                    Answer::Promised(_, Some((_, record))) | Answer::Stored(_, record) => Some(record),
                    _ => None,
                };
                if let Some(holder) = record.and_then(|record| record.holder).filter(|_| holder_alive) {
                    self.last_seen.insert(holder, now);
                }
                if record.is_some() {
                    // The highest reported age is the closest to the actual start of the work.
                    entry.began = entry.began.min(now.saturating_sub(u64::from(age)));
                }
                entry.proposer.handle_answer(keeper, answer);
            }
            Reply::OtherWorks(nonces) => {
                entry.reported_nonces.insert(keeper, nonces);
                self.handle_other_works(now, ticket);
                return;
            }
            Reply::HavePieces(blob, have) => {
                let upload = entry.uploads.iter_mut().find(|upload| upload.blob == blob);
                upload.into_iter().for_each(|upload| *upload.have.entry(keeper).or_default() |= have);
            }
            Reply::Piece(blob, piece, bytes) => {
                if let Some(fetch) = entry.fetch.as_mut().filter(|fetch| fetch.blob == blob) {
                    fetch.pieces.insert(piece, bytes);
                }
            }
            Reply::NotVoting | Reply::AtCapacity => {}
        }
        self.advance(now, ticket);
    }

    /// Handles reports that keepers know other works of the same slot.
    fn handle_other_works(&mut self, now: u64, ticket: Ticket) {
        let Some(entry) = self.entries.get(&ticket) else { return };
        let Some(submitted) = entry.submitted.clone() else { return };
        if !matches!(submitted.kind, RequestIdentity::Unsafe { is_marked_repeat: true, .. }) {
            // Keepers report only marked repeats to an unmarked request. The repeat may be of this
            // request.
            self.remove_entry(ticket);
            self.events.push_back(Event::ConcurrentRepeat(ticket));
            return;
        }
        let all: BTreeSet<u64> = entry.reported_nonces.values().flatten().copied().collect();
        if !entry.proposer.keepers().is_majority(|id| entry.reported_nonces.contains_key(&id)) {
            // A single keeper may know the only earlier work, and further keepers may know others, which
            // makes the repeat ambiguous. So a majority of reports is awaited, up to the timeout.
            return;
        }
        self.remove_entry(ticket);
        match all.first().copied().filter(|_| all.len() == 1) {
            None => self.events.push_back(Event::AmbiguousRepeat(ticket)),
            Some(nonce) => {
                let work = Work { slot: submitted.slot, nonce };
                match self.by_work.get(&work) {
                    Some(other) => self.events.push_back(Event::AlreadyHere(ticket, *other)),
                    None => {
                        self.figures.joined += 1;
                        self.start_work(now, ticket, work, submitted);
                    }
                }
            }
        }
    }

    // ---- Time ----

    /// When [`Coordinator::handle_timeout`] should be called next.
    pub fn next_timeout(&self) -> Option<u64> {
        let announcement = (!self.entries.is_empty()).then_some(self.next_announcement);
        let timer = self.timers.first().map(|(at, _)| *at);
        announcement.into_iter().chain(timer).min()
    }

    /// Processes expired timers.
    pub fn handle_timeout(&mut self, now: u64) {
        if now >= self.next_announcement {
            self.next_announcement = now + ALIVE_INTERVAL_MS;
            let held = self.entries.values().filter(|entry| entry.proposer.is_holder());
            let keepers: BTreeSet<NodeId> = held.flat_map(|entry| entry.proposer.keepers().all()).collect();
            self.outgoing.extend(keepers.into_iter().map(|id| (id, None)));
            self.last_seen.retain(|_, at| now - *at <= LIVENESS_MS);
        }
        while let Some((_, ticket)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.pop_first();
            self.scheduled.remove(&ticket);
            self.advance(now, ticket);
        }
    }

    fn remove_entry(&mut self, ticket: Ticket) {
        if let Some(entry) = self.entries.remove(&ticket) {
            self.by_work.remove(&entry.work);
        }
        if let Some(at) = self.scheduled.remove(&ticket) {
            self.timers.remove(&(at, ticket));
        }
    }

    /// Advances a work as far as possible at this time.
    fn advance(&mut self, now: u64, ticket: Ticket) {
        self.process_steps(now, ticket);
        self.handle_timeouts(now, ticket);
        self.poll_holder(now, ticket);
        self.process_steps(now, ticket);
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        entry.send_due(now, &self.settings, &mut self.outgoing, &mut self.random);
        if entry.is_done(now) {
            self.remove_entry(ticket);
            self.events.push_back(Event::Ended(ticket));
            return;
        }
        let due = entry.due();
        if let Some(before) = self.scheduled.insert(ticket, due) {
            self.timers.remove(&(before, ticket));
        }
        self.timers.insert((due, ticket));
    }

    /// Processes the pending steps of the proposer.
    fn process_steps(&mut self, now: u64, ticket: Ticket) {
        let settings = self.settings;
        loop {
            let Some(entry) = self.entries.get_mut(&ticket) else { return };
            let Some(step) = entry.proposer.poll_step() else { return };
            match step {
                Step::Acquired { earlier, adopted } => {
                    let began = entry.began;
                    let earlier: Vec<(IntendedAttempt, u64)> = earlier
                        .into_iter()
                        .map(|sent| (sent, (now - began).saturating_sub(u64::from(sent.at_ms))))
                        .collect();
                    entry.expires = now + settings.entry_lifetime_ms;
                    self.figures.adopted += u64::from(adopted);
                    if let Some(submitted) = &entry.submitted {
                        if let Some(body) = submitted.body.clone().filter(|body| body.len() <= MAX_BLOB_BYTES)
                        {
                            let blob = blob_of(&body);
                            let recorded = entry.proposer.record().and_then(|record| record.about.request);
                            if recorded == Some(blob) {
                                entry.uploads.push(Upload { blob, bytes: body, have: BTreeMap::new() });
                            }
                        }
                        let adopted = adopted || !earlier.is_empty();
                        self.events.push_back(Event::Acquired { ticket, earlier, adopted });
                        continue;
                    }
                    self.figures.orphans += 1;
                    let request = entry.proposer.record().and_then(|record| record.about.request);
                    match request {
                        Some(blob) => {
                            let deadline = now + settings.majority_timeout_ms;
                            entry.fetch =
                                Some(Fetch { blob, pieces: BTreeMap::new(), verdict: None, deadline });
                            entry.next_send = now;
                        }
                        None => {
                            self.figures.bodiless += 1;
                            entry.proposer.release();
                        }
                    }
                }
                Step::SendAllowed => {
                    let Some(number) = entry.pending_attempt.take() else { continue };
                    if now < entry.deadline {
                        self.figures.intents += 1;
                        self.events.push_back(Event::SendAllowed(ticket));
                    } else {
                        // The majority came after the timeout, for instance because this process was
                        // suspended. Another node may have taken the work over since, so the attempt is
                        // not sent.
                        entry.proposer.mark_never_ran(number);
                        self.figures.denied += 1;
                        self.events.push_back(Event::SendDenied(ticket));
                    }
                }
                Step::Superseded => {
                    self.figures.ousted += 1;
                    if entry.pending_attempt.take().is_some() {
                        self.figures.denied += 1;
                        self.events.push_back(Event::SendDenied(ticket));
                    }
                    entry.next_poll = now;
                }
                Step::Released => {}
                Step::Verdict(verdict) => {
                    self.figures.kept += 1;
                    self.figures.may_have_run += u64::from(verdict == Verdict::MayHaveRun);
                    let own = entry.own_answer.as_ref();
                    match verdict {
                        Verdict::Served(blob) => match own.filter(|(own, _)| *own == blob) {
                            Some((_, bytes)) => {
                                let bytes = bytes.clone();
                                self.events.push_back(Event::Verdict(ticket, verdict, Some(bytes)));
                            }
                            None => {
                                let deadline = now + settings.majority_timeout_ms;
                                let verdict = Some(verdict);
                                entry.fetch =
                                    Some(Fetch { blob, pieces: BTreeMap::new(), verdict, deadline });
                                entry.next_send = now;
                            }
                        },
                        _ => self.events.push_back(Event::Verdict(ticket, verdict, None)),
                    }
                }
            }
        }
    }

    /// Handles completed fetches and expired timeouts.
    fn handle_timeouts(&mut self, now: u64, ticket: Ticket) {
        let settings = self.settings;
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        if let Some(fetch) = &entry.fetch {
            if let Some(bytes) = fetch.complete_bytes() {
                let verdict = fetch.verdict;
                entry.fetch = None;
                match verdict {
                    Some(verdict) => self.events.push_back(Event::Verdict(ticket, verdict, Some(bytes))),
                    None => {
                        let Some(record) = entry.proposer.record() else { return };
                        let (about, began) = (record.about.clone(), entry.began);
                        let ago =
                            |sent: &IntendedAttempt| (now - began).saturating_sub(u64::from(sent.at_ms));
                        let earlier = record.sent.iter().map(|sent| (*sent, ago(sent))).collect();
                        let remaining_ms = u64::from(about.remaining_ms).saturating_sub(now - began);
                        let event =
                            Event::OrphanAdopted { ticket, earlier, about, body: bytes, remaining_ms };
                        self.events.push_back(event);
                    }
                }
            } else if now >= fetch.deadline {
                match fetch.verdict {
                    // The work was served, but its answer can't be fetched.
                    Some(_) => self.events.push_back(Event::VerdictNotStored(ticket)),
                    None => {
                        self.figures.bodiless += 1;
                        entry.proposer.release();
                        entry.deadline = now + settings.majority_timeout_ms;
                    }
                }
                entry.fetch = None;
            }
        }
        if !entry.proposer.is_waiting() || now < entry.deadline {
            return;
        }
        if entry.pending_attempt.take().is_some() {
            entry.proposer.cancel_intent();
            self.figures.denied += 1;
            self.events.push_back(Event::SendDenied(ticket));
        } else if entry.proposer.is_holder() {
            // Keeps resending the verdict for a while, so that other nodes can learn it.
            if !std::mem::replace(&mut entry.unkept_reported, true) {
                self.figures.unkept += 1;
                self.events.push_back(Event::VerdictNotStored(ticket));
                entry.deadline = now + LINGER_FACTOR * settings.majority_timeout_ms;
            } else {
                entry.expires = now;
            }
        } else if let (Some(_), false) = (&entry.submitted, entry.reported_nonces.is_empty()) {
            // At least one keeper reported other works, but no majority did. Sending the request could
            // send it twice.
            self.remove_entry(ticket);
            self.events.push_back(Event::AmbiguousRepeat(ticket));
        } else {
            self.figures.unknown += 1;
            self.remove_entry(ticket);
            self.events.push_back(Event::NoMajority(ticket));
        }
    }

    /// Polls a work that another node holds and takes it over if the holder is lost.
    fn poll_holder(&mut self, now: u64, ticket: Ticket) {
        let (settings, jitter) = (self.settings, self.random.u64(0..=self.settings.poll_ms));
        let Some(entry) = self.entries.get(&ticket) else { return };
        let lost = entry.proposer.is_watching()
            && entry.proposer.holder().is_some_and(|incarnation| self.is_lost(now, incarnation));
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        if entry.proposer.is_watching() {
            if entry.next_poll == u64::MAX {
                entry.next_poll = now + jitter;
            } else if now >= entry.next_poll {
                entry.next_poll = now + settings.poll_ms;
                if lost {
                    entry.proposer.holder_lost();
                } else {
                    entry.proposer.retry();
                }
                // The repeated read equals the last request, so `send_due` would not treat it as new.
                (entry.next_send, entry.resend_wait) = (now, settings.resend_ms);
                entry.deadline = now + settings.majority_timeout_ms;
            }
        } else {
            entry.next_poll = u64::MAX;
            if entry.proposer.is_preempted() {
                // Waits before the next round, so that the competing node can finish.
                if entry.next_send <= now {
                    entry.proposer.retry();
                } else {
                    entry.next_send = entry.next_send.min(now + 1 + jitter / 2);
                }
            }
        }
    }
}

impl Fetch {
    fn complete_bytes(&self) -> Option<Bytes> {
        let count = piece_count(self.blob);
        if self.pieces.len() < count {
            return None;
        }
        let bytes: Vec<u8> = self.pieces.values().flat_map(|piece| piece.iter().copied()).collect();
        Some(Bytes::from(bytes)).filter(|bytes| blob_of(bytes) == self.blob)
    }

    fn missing_mask(&self) -> u128 {
        let have: u128 = self.pieces.keys().map(|n| 1u128 << n).sum();
        all_pieces_mask(self.blob) & !have
    }
}

impl Entry {
    /// Sends a new request at once and resends an unanswered one when its resend time has come.
    fn send_due(
        &mut self,
        now: u64,
        settings: &Settings,
        outgoing: &mut VecDeque<(NodeId, Option<(Work, Request)>)>,
        random: &mut fastrand::Rng,
    ) {
        let pending = self.proposer.pending_requests();
        let op = pending.first().map(|(_, op)| op.clone());
        let is_new = op.is_some() && op != self.last_request;
        if is_new {
            self.resend_wait = settings.resend_ms;
            self.last_request = op;
        }
        if !is_new && now < self.next_send {
            return;
        }
        let marked = matches!(
            &self.submitted,
            Some(SubmittedRequest { kind: RequestIdentity::Unsafe { is_marked_repeat: true, .. }, .. })
        ) && self.work.nonce == Work::REPEAT;
        let before = outgoing.len();
        // Blobs are sent first, because keepers accept a verdict only if they have its answer.
        let answered = self.own_answer.is_some();
        for upload in self
            .uploads
            .iter()
            .filter(|upload| !answered || self.own_answer.as_ref().is_some_and(|a| a.0 == upload.blob))
        {
            for id in self.proposer.keepers().all() {
                let missing = all_pieces_mask(upload.blob) & !upload.have.get(&id).copied().unwrap_or(0);
                let missing = (0..piece_count(upload.blob)).filter(|n| missing >> n & 1 == 1);
                for n in missing.take(PIECES_PER_ROUND) {
                    let piece =
                        upload.bytes.slice(n * PIECE_BYTES..upload.bytes.len().min((n + 1) * PIECE_BYTES));
                    outgoing
                        .push_back((id, Some((self.work, Request::StorePiece(upload.blob, n as u8, piece)))));
                }
            }
        }
        for (id, op) in pending {
            outgoing.push_back((id, Some((self.work, Request::Register(op, marked)))));
        }
        if let Some(fetch) = &self.fetch {
            let all: Vec<NodeId> = self.proposer.keepers().all().into_iter().collect();
            if let Some(id) = random.choice(&all) {
                outgoing.push_back((
                    *id,
                    Some((self.work, Request::FetchPieces(fetch.blob, fetch.missing_mask()))),
                ));
            }
        }
        let sent_any = outgoing.len() > before;
        self.next_send = if sent_any { now + self.resend_wait } else { u64::MAX };
        let is_fetching = self.fetch.is_some();
        self.resend_wait = if is_fetching {
            settings.resend_ms
        } else {
            (2 * self.resend_wait).min(MAX_BACKOFF_FACTOR * settings.resend_ms)
        };
    }

    fn is_done(&self, now: u64) -> bool {
        (self.proposer.has_ended() && self.fetch.is_none()) || now >= self.expires
    }

    fn due(&self) -> u64 {
        let mut due = self.expires.min(self.next_send).min(self.next_poll);
        if self.proposer.is_waiting() {
            due = due.min(self.deadline);
        }
        if let Some(fetch) = &self.fetch {
            due = due.min(fetch.deadline);
        }
        due
    }
}
