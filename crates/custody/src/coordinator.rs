//! The coordinator manages every work that a node is involved in. It drives the proposers by time,
//! resends unanswered requests, enforces timeouts, stores blobs at keepers and fetches them, and tracks
//! which node incarnations membership reports as alive.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use glenwood_datagram::number_of;
use serde::Serialize;

use crate::keeper::{all_pieces, pieces_of, Reply, Request, BLOB_MOST, HEARD_MS, PIECE};
use crate::proposer::{Proposer, Question, Step};
use crate::register::{About, Answer, Blob, Effect, Life, NodeId, Sent, Verdict, Work};
use crate::roster::Rosters;

/// Upper limit of the exponential backoff between resends, as a multiple of the initial interval.
const BACK_OFF: u64 = 8;
/// Number of blob pieces sent to one keeper per round of sending.
const PIECES_AT_ONCE: usize = 16;
/// Interval between announcements to keepers that this incarnation is alive and holds works.
const HERE_MS: u64 = 100;
/// How long a work whose verdict missed its timeout keeps resending it to the keepers, as a multiple of
/// `patience_ms`.
const LINGER: u64 = 4;

/// Timing and capacity limits of a coordinator. All times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Timeout for reaching a majority of keepers.
    pub patience_ms: u64,
    /// Initial interval before an unanswered request is resent.
    pub resend_ms: u64,
    /// Polling interval for a work that another node holds.
    pub poll_ms: u64,
    /// How long a register lives after its last use. No attempt starts later than half of this time after
    /// the node acquired the work.
    pub life_ms: u64,
    /// Maximum number of works at a time.
    pub most: usize,
}

/// Handle of one work, valid for as long as this node is involved in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Ticket(pub u64);

/// How the identity of a request is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request is identified by its idempotency key.
    Keyed,
    /// The request has no key. Each one is a work of its own, unless it is marked as a repeat of an
    /// earlier equal request.
    Unsafe {
        /// Derived from the request id that the client sent.
        nonce: u64,
        /// The client marked the request as a repeat.
        marked: bool,
    },
}

/// A request to be guarded by custody.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Digest of the requested operation and its caller.
    pub slot: (u64, u64),
    /// How the request is identified.
    pub kind: Kind,
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
    LetGo,
}

/// Notifications from the coordinator to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This node holds the work. The caller decides how to proceed, given what is known of earlier
    /// attempts.
    Yours {
        /// The work.
        ticket: Ticket,
        /// Attempts that earlier holders intended to send, each with its age in milliseconds.
        earlier: Vec<(Sent, u64)>,
        /// Another node held the work before or released it.
        adopted: bool,
    },
    /// This node took over an orphaned work that no client here waits for.
    Adopt {
        /// The work.
        ticket: Ticket,
        /// Attempts that earlier holders intended to send, each with its age in milliseconds.
        earlier: Vec<(Sent, u64)>,
        /// The fixed properties of the work.
        about: About,
        /// The request as it was stored at the keepers.
        body: Bytes,
        /// Time left until the client's deadline.
        remaining_ms: u64,
    },
    /// The intended attempt may be sent now.
    Go(Ticket),
    /// The intended attempt must not be sent.
    Denied(Ticket),
    /// The final verdict on the work, with the answer if a server gave one that was stored.
    Verdict(Ticket, Verdict, Option<Bytes>),
    /// A verdict was not stored at a majority in time, or its answer could not be fetched. It must not be
    /// reported to any client.
    Unkept(Ticket),
    /// No majority answered in time, so the holder of the work is not known.
    Unknown(Ticket),
    /// An equal request marked as a repeat is in progress. It may be a repeat of this request, which must
    /// therefore not be sent as well.
    Twin(Ticket),
    /// The marked repeat could belong to more than one earlier request.
    Ambiguous(Ticket),
    /// The marked repeat (first ticket) repeats a work that this node already has under the second
    /// ticket.
    Same(Ticket, Ticket),
    /// The work has ended. No further events follow for this ticket.
    Over(Ticket),
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
struct Put {
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
    until: u64,
}

struct Entry {
    work: Work,
    proposer: Proposer,
    /// The request, if one was submitted at this node. `None` if the work was adopted as an orphan.
    asked: Option<Ask>,
    /// When the work began, estimated from the ages that keepers report.
    began: u64,
    /// Nonces of other works of the same slot, as reported by each keeper.
    others: BTreeMap<NodeId, Vec<u64>>,
    /// Deadline of the pending operation.
    until: u64,
    /// When the entry is removed in any case.
    ends: u64,
    next_send: u64,
    wait: u64,
    next_poll: u64,
    asked_last: Option<Question>,
    meant: Option<usize>,
    puts: Vec<Put>,
    fetch: Option<Fetch>,
    /// The answer that this node submitted with its verdict.
    answer: Option<(Blob, Bytes)>,
    /// [`Event::Unkept`] was already emitted for this work.
    unkept: bool,
}

/// Manages every work that this node is involved in.
pub struct Coordinator {
    set: Settings,
    me: Life,
    rosters: Rosters,
    random: fastrand::Rng,
    entries: BTreeMap<Ticket, Entry>,
    by_work: BTreeMap<Work, Ticket>,
    last: u64,
    /// The latest known incarnation of each node and whether it is alive.
    lives: BTreeMap<NodeId, (u64, bool)>,
    heard: BTreeMap<Life, u64>,
    timers: BTreeSet<(u64, Ticket)>,
    set_for: BTreeMap<Ticket, u64>,
    next_here: u64,
    out: VecDeque<(NodeId, Option<(Work, Request)>)>,
    events: VecDeque<Event>,
    figures: Figures,
}

/// Returns the digest and length of these bytes.
pub fn blob_of(bytes: &[u8]) -> Blob {
    Blob { digest: number_of(&[b"blob", bytes]), length: bytes.len() as u32 }
}

impl Coordinator {
    /// Creates a coordinator for this incarnation of the node.
    pub fn new(set: Settings, me: Life, rosters: Rosters, seed: u64, now: u64) -> Self {
        Self {
            set,
            me,
            rosters,
            random: fastrand::Rng::with_seed(seed),
            entries: BTreeMap::new(),
            by_work: BTreeMap::new(),
            last: 0,
            lives: BTreeMap::new(),
            heard: BTreeMap::new(),
            timers: BTreeSet::new(),
            set_for: BTreeMap::new(),
            next_here: now,
            out: VecDeque::new(),
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
        (self.entries.len(), self.entries.values().filter(|entry| entry.proposer.holds()).count())
    }

    /// The identity of the work with this ticket.
    pub fn work(&self, ticket: Ticket) -> Option<Work> {
        self.entries.get(&ticket).map(|entry| entry.work)
    }

    /// Whether this node holds the work.
    pub fn holds(&self, ticket: Ticket) -> bool {
        self.entries.get(&ticket).is_some_and(|entry| entry.proposer.holds())
    }

    /// The last known holder of the work.
    pub fn holder(&self, ticket: Ticket) -> Option<Life> {
        self.entries.get(&ticket).and_then(|entry| entry.proposer.holder())
    }

    // ---- Membership ----

    /// Records from membership the current incarnation of a node and whether it is alive.
    pub fn life(&mut self, life: Life, lives: bool) {
        let known = self.lives.get(&life.node).copied();
        // A late report that an older incarnation was lost says nothing about the current one.
        if lives || known.is_none_or(|(other, there)| other == life.life || !there) {
            self.lives.insert(life.node, (life.life, lives));
        }
    }

    /// Whether this incarnation is considered lost.
    pub fn is_lost(&self, now: u64, life: Life) -> bool {
        let gone = match self.lives.get(&life.node) {
            Some((other, lives)) => !(*lives && *other == life.life),
            None => false,
        };
        gone && life != self.me && self.heard.get(&life).is_none_or(|at| now - at > HEARD_MS)
    }

    // ---- Caller interface ----

    /// Returns the next event.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Returns the next message to send and its receiver. `None` in place of a work and request stands
    /// for the announcement that this incarnation is alive.
    pub fn poll_transmit(&mut self) -> Option<(NodeId, Option<(Work, Request)>)> {
        self.out.pop_front()
    }

    /// Submits a request. Returns its ticket and whether it joined a work already in progress here, or
    /// `None` if there are too many works.
    pub fn ask(&mut self, now: u64, ask: Ask) -> Option<(Ticket, bool)> {
        self.figures.asked += 1;
        let nonce = match ask.kind {
            Kind::Keyed => 0,
            Kind::Unsafe { marked: true, .. } => Work::REPEAT,
            Kind::Unsafe { nonce, .. } => nonce.max(Work::REPEAT + 1),
        };
        let work = Work { slot: ask.slot, nonce };
        if let Some(ticket) = self.by_work.get(&work) {
            self.figures.joined += 1;
            return Some((*ticket, true));
        }
        if self.entries.len() >= self.set.most {
            return None;
        }
        let ticket = self.next();
        self.begin(now, ticket, work, ask);
        Some((ticket, false))
    }

    fn next(&mut self) -> Ticket {
        self.last += 1;
        Ticket(self.last)
    }

    fn begin(&mut self, now: u64, ticket: Ticket, work: Work, ask: Ask) {
        let effect = if ask.kind == Kind::Keyed { Effect::Keyed } else { Effect::Unsafe };
        let body = ask.body.as_ref().filter(|body| body.len() <= BLOB_MOST);
        let about = About {
            effect,
            class: ask.class.clone(),
            remaining_ms: ask.remaining_ms,
            request: body.map(|body| blob_of(body)),
        };
        let proposer = Proposer::asked(self.me, self.rosters.keepers(work.slot), about);
        self.put_entry(now, ticket, work, proposer, Some(ask));
    }

    /// Takes over a work whose holder is lost, as found by a keeper, unless this node is involved in it
    /// already.
    pub fn adopt(&mut self, now: u64, work: Work) {
        if self.by_work.contains_key(&work) || self.entries.len() >= self.set.most {
            return;
        }
        let ticket = self.next();
        let proposer = Proposer::orphaned(self.me, self.rosters.keepers(work.slot));
        self.put_entry(now, ticket, work, proposer, None);
    }

    fn put_entry(&mut self, now: u64, ticket: Ticket, work: Work, proposer: Proposer, asked: Option<Ask>) {
        let entry = Entry {
            work,
            proposer,
            asked,
            began: now,
            others: BTreeMap::new(),
            until: now + self.set.patience_ms,
            ends: now + self.set.life_ms,
            next_send: now,
            wait: self.set.resend_ms,
            next_poll: u64::MAX,
            asked_last: None,
            meant: None,
            puts: Vec::new(),
            fetch: None,
            answer: None,
            unkept: false,
        };
        self.entries.insert(ticket, entry);
        self.by_work.insert(work, ticket);
        self.work_on(now, ticket);
    }

    /// Starts to store the intent to send an attempt. [`Event::Go`] or [`Event::Denied`] follows and must
    /// be awaited before the next call. Returns the index of the attempt among those of all holders, or
    /// `None` if no intent was recorded.
    pub fn intend(&mut self, now: u64, ticket: Ticket, server: u64, zone: u64, cell: u64) -> Option<usize> {
        let life = self.set.life_ms;
        let patience = self.set.patience_ms;
        let Some(entry) = self.entries.get_mut(&ticket) else {
            self.events.push_back(Event::Denied(ticket));
            return None;
        };
        let at = u32::try_from(now - entry.began).unwrap_or(u32::MAX);
        let number = entry.proposer.record().map_or(0, |record| record.sent.len());
        // By then the register may have expired at some keepers.
        let late = now + life / 2 > entry.ends;
        let full = number >= crate::wire::SENT_MOST;
        if late || full || !entry.proposer.intend(Sent { server, zone, cell, at, never: false }) {
            self.figures.denied += 1;
            self.events.push_back(Event::Denied(ticket));
            return None;
        }
        (entry.meant, entry.until) = (Some(number), now + patience);
        self.work_on(now, ticket);
        Some(number)
    }

    /// Records that this attempt, by its index among those of all holders, is proven never to have run.
    pub fn never_ran(&mut self, ticket: Ticket, number: usize) {
        self.entries.get_mut(&ticket).into_iter().for_each(|entry| entry.proposer.never_ran(number));
    }

    /// Submits the result of a work. [`Event::Verdict`] or [`Event::Unkept`] follows, or neither if the
    /// work is released.
    pub fn conclude(&mut self, now: u64, ticket: Ticket, conclusion: Conclusion) {
        let patience = self.set.patience_ms;
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        let held = match conclusion {
            Conclusion::Served(bytes) => match bytes.filter(|bytes| bytes.len() <= BLOB_MOST) {
                Some(bytes) => {
                    let blob = blob_of(&bytes);
                    let held = entry.proposer.conclude(Verdict::Served(blob));
                    if held {
                        entry.puts.push(Put { blob, bytes: bytes.clone(), have: BTreeMap::new() });
                        entry.answer = Some((blob, bytes));
                    }
                    held
                }
                None => entry.proposer.conclude(Verdict::ServedLong),
            },
            Conclusion::Rejected => entry.proposer.conclude(Verdict::Rejected),
            Conclusion::LetGo => entry.proposer.let_go(),
        };
        if held {
            (entry.until, entry.meant) = (now + patience, None);
        }
        self.work_on(now, ticket);
    }

    /// No client at this node waits for the work any more. If this node holds it, it continues.
    pub fn give_up(&mut self, now: u64, ticket: Ticket) {
        if let Some(entry) = self.entries.get_mut(&ticket) {
            entry.proposer.give_up();
            self.work_on(now, ticket);
        }
    }

    // ---- Keeper replies ----

    /// Handles a keeper's reply.
    pub fn hear(&mut self, now: u64, by: NodeId, work: Work, reply: Reply) {
        let Some(ticket) = self.by_work.get(&work).copied() else { return };
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        match reply {
            Reply::Answer { answer, age, fresh } => {
                let record = match &answer {
                    Answer::Promised(_, Some((_, record))) | Answer::Known(_, record) => Some(record),
                    _ => None,
                };
                if let Some(holder) = record.and_then(|record| record.holder).filter(|_| fresh) {
                    self.heard.insert(holder, now);
                }
                if record.is_some() {
                    // The highest reported age is the closest to the actual start of the work.
                    entry.began = entry.began.min(now.saturating_sub(u64::from(age)));
                }
                entry.proposer.heard(by, answer);
            }
            Reply::Others(nonces) => {
                entry.others.insert(by, nonces);
                self.other_works(now, ticket);
                return;
            }
            Reply::Have(blob, have) => {
                let put = entry.puts.iter_mut().find(|put| put.blob == blob);
                put.into_iter().for_each(|put| *put.have.entry(by).or_default() |= have);
            }
            Reply::Piece(blob, piece, bytes) => {
                if let Some(fetch) = entry.fetch.as_mut().filter(|fetch| fetch.blob == blob) {
                    fetch.pieces.insert(piece, bytes);
                }
            }
            Reply::Quiet | Reply::Full => {}
        }
        self.work_on(now, ticket);
    }

    /// Handles reports that keepers know other works of the same slot.
    fn other_works(&mut self, now: u64, ticket: Ticket) {
        let Some(entry) = self.entries.get(&ticket) else { return };
        let Some(ask) = entry.asked.clone() else { return };
        if !matches!(ask.kind, Kind::Unsafe { marked: true, .. }) {
            // Keepers report only marked repeats to an unmarked request. The repeat may be of this
            // request.
            self.finish(ticket);
            self.events.push_back(Event::Twin(ticket));
            return;
        }
        let all: BTreeSet<u64> = entry.others.values().flatten().copied().collect();
        if !entry.proposer.keepers().majority(|id| entry.others.contains_key(&id)) {
            // A single keeper may know the only earlier work, and further keepers may know others, which
            // makes the repeat ambiguous. So a majority of reports is awaited, up to the timeout.
            return;
        }
        self.finish(ticket);
        match all.first().copied().filter(|_| all.len() == 1) {
            None => self.events.push_back(Event::Ambiguous(ticket)),
            Some(nonce) => {
                let work = Work { slot: ask.slot, nonce };
                match self.by_work.get(&work) {
                    Some(other) => self.events.push_back(Event::Same(ticket, *other)),
                    None => {
                        self.figures.joined += 1;
                        self.begin(now, ticket, work, ask);
                    }
                }
            }
        }
    }

    // ---- Time ----

    /// When [`Coordinator::tick`] should be called next.
    pub fn due(&self) -> Option<u64> {
        let here = (!self.entries.is_empty()).then_some(self.next_here);
        let timer = self.timers.first().map(|(at, _)| *at);
        here.into_iter().chain(timer).min()
    }

    /// Processes expired timers.
    pub fn tick(&mut self, now: u64) {
        if now >= self.next_here {
            self.next_here = now + HERE_MS;
            let held = self.entries.values().filter(|entry| entry.proposer.holds());
            let keepers: BTreeSet<NodeId> = held.flat_map(|entry| entry.proposer.keepers().all()).collect();
            self.out.extend(keepers.into_iter().map(|id| (id, None)));
            self.heard.retain(|_, at| now - *at <= HEARD_MS);
        }
        while let Some((_, ticket)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.pop_first();
            self.set_for.remove(&ticket);
            self.work_on(now, ticket);
        }
    }

    fn finish(&mut self, ticket: Ticket) {
        if let Some(entry) = self.entries.remove(&ticket) {
            self.by_work.remove(&entry.work);
        }
        if let Some(at) = self.set_for.remove(&ticket) {
            self.timers.remove(&(at, ticket));
        }
    }

    /// Advances a work as far as possible at this time.
    fn work_on(&mut self, now: u64, ticket: Ticket) {
        self.steps(now, ticket);
        self.give_up_what_is_late(now, ticket);
        self.look_on(now, ticket);
        self.steps(now, ticket);
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        entry.send(now, &self.set, &mut self.out, &mut self.random);
        if entry.is_done(now) {
            self.finish(ticket);
            self.events.push_back(Event::Over(ticket));
            return;
        }
        let due = entry.due();
        if let Some(before) = self.set_for.insert(ticket, due) {
            self.timers.remove(&(before, ticket));
        }
        self.timers.insert((due, ticket));
    }

    /// Processes the pending steps of the proposer.
    fn steps(&mut self, now: u64, ticket: Ticket) {
        let set = self.set;
        loop {
            let Some(entry) = self.entries.get_mut(&ticket) else { return };
            let Some(step) = entry.proposer.poll() else { return };
            match step {
                Step::Yours { earlier, adopted } => {
                    let began = entry.began;
                    let earlier: Vec<(Sent, u64)> = earlier
                        .into_iter()
                        .map(|sent| (sent, (now - began).saturating_sub(u64::from(sent.at))))
                        .collect();
                    entry.ends = now + set.life_ms;
                    self.figures.adopted += u64::from(adopted);
                    if let Some(ask) = &entry.asked {
                        if let Some(body) = ask.body.clone().filter(|body| body.len() <= BLOB_MOST) {
                            let blob = blob_of(&body);
                            let known = entry.proposer.record().and_then(|record| record.about.request);
                            if known == Some(blob) {
                                entry.puts.push(Put { blob, bytes: body, have: BTreeMap::new() });
                            }
                        }
                        let adopted = adopted || !earlier.is_empty();
                        self.events.push_back(Event::Yours { ticket, earlier, adopted });
                        continue;
                    }
                    self.figures.orphans += 1;
                    let request = entry.proposer.record().and_then(|record| record.about.request);
                    match request {
                        Some(blob) => {
                            let until = now + set.patience_ms;
                            entry.fetch = Some(Fetch { blob, pieces: BTreeMap::new(), verdict: None, until });
                            entry.next_send = now;
                        }
                        None => {
                            self.figures.bodiless += 1;
                            entry.proposer.let_go();
                        }
                    }
                }
                Step::Go => {
                    let Some(number) = entry.meant.take() else { continue };
                    if now < entry.until {
                        self.figures.intents += 1;
                        self.events.push_back(Event::Go(ticket));
                    } else {
                        // The majority came after the timeout, for instance because this process was
                        // suspended. Another node may have taken the work over since, so the attempt is
                        // not sent.
                        entry.proposer.never_ran(number);
                        self.figures.denied += 1;
                        self.events.push_back(Event::Denied(ticket));
                    }
                }
                Step::Ousted => {
                    self.figures.ousted += 1;
                    if entry.meant.take().is_some() {
                        self.figures.denied += 1;
                        self.events.push_back(Event::Denied(ticket));
                    }
                    entry.next_poll = now;
                }
                Step::LetGo => {}
                Step::Verdict(verdict) => {
                    self.figures.kept += 1;
                    self.figures.may_have_run += u64::from(verdict == Verdict::MayHaveRun);
                    let own = entry.answer.as_ref();
                    match verdict {
                        Verdict::Served(blob) => match own.filter(|(own, _)| *own == blob) {
                            Some((_, bytes)) => {
                                let bytes = bytes.clone();
                                self.events.push_back(Event::Verdict(ticket, verdict, Some(bytes)));
                            }
                            None => {
                                let until = now + set.patience_ms;
                                let verdict = Some(verdict);
                                entry.fetch = Some(Fetch { blob, pieces: BTreeMap::new(), verdict, until });
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
    fn give_up_what_is_late(&mut self, now: u64, ticket: Ticket) {
        let set = self.set;
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        if let Some(fetch) = &entry.fetch {
            if let Some(bytes) = fetch.whole() {
                let verdict = fetch.verdict;
                entry.fetch = None;
                match verdict {
                    Some(verdict) => self.events.push_back(Event::Verdict(ticket, verdict, Some(bytes))),
                    None => {
                        let Some(record) = entry.proposer.record() else { return };
                        let (about, began) = (record.about.clone(), entry.began);
                        let ago = |sent: &Sent| (now - began).saturating_sub(u64::from(sent.at));
                        let earlier = record.sent.iter().map(|sent| (*sent, ago(sent))).collect();
                        let remaining_ms = u64::from(about.remaining_ms).saturating_sub(now - began);
                        let event = Event::Adopt { ticket, earlier, about, body: bytes, remaining_ms };
                        self.events.push_back(event);
                    }
                }
            } else if now >= fetch.until {
                match fetch.verdict {
                    // The work was served, but its answer can't be fetched.
                    Some(_) => self.events.push_back(Event::Unkept(ticket)),
                    None => {
                        self.figures.bodiless += 1;
                        entry.proposer.let_go();
                        entry.until = now + set.patience_ms;
                    }
                }
                entry.fetch = None;
            }
        }
        if !entry.proposer.waits() || now < entry.until {
            return;
        }
        if entry.meant.take().is_some() {
            entry.proposer.deny();
            self.figures.denied += 1;
            self.events.push_back(Event::Denied(ticket));
        } else if entry.proposer.holds() {
            // Keeps resending the verdict for a while, so that other nodes can learn it.
            if !std::mem::replace(&mut entry.unkept, true) {
                self.figures.unkept += 1;
                self.events.push_back(Event::Unkept(ticket));
                entry.until = now + LINGER * set.patience_ms;
            } else {
                entry.ends = now;
            }
        } else if let (Some(_), false) = (&entry.asked, entry.others.is_empty()) {
            // At least one keeper reported other works, but no majority did. Sending the request could
            // send it twice.
            self.finish(ticket);
            self.events.push_back(Event::Ambiguous(ticket));
        } else {
            self.figures.unknown += 1;
            self.finish(ticket);
            self.events.push_back(Event::Unknown(ticket));
        }
    }

    /// Polls a work that another node holds and takes it over if the holder is lost.
    fn look_on(&mut self, now: u64, ticket: Ticket) {
        let (set, jitter) = (self.set, self.random.u64(0..=self.set.poll_ms));
        let Some(entry) = self.entries.get(&ticket) else { return };
        let lost =
            entry.proposer.watches() && entry.proposer.holder().is_some_and(|life| self.is_lost(now, life));
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        if entry.proposer.watches() {
            if entry.next_poll == u64::MAX {
                entry.next_poll = now + jitter;
            } else if now >= entry.next_poll {
                entry.next_poll = now + set.poll_ms;
                if lost {
                    entry.proposer.holder_lost();
                } else {
                    entry.proposer.again();
                }
                // The repeated read equals the last request, so `send` would not treat it as new.
                (entry.next_send, entry.wait) = (now, set.resend_ms);
                entry.until = now + set.patience_ms;
            }
        } else {
            entry.next_poll = u64::MAX;
            if entry.proposer.is_outbid() {
                // Waits before the next round, so that the competing node can finish.
                if entry.next_send <= now {
                    entry.proposer.again();
                } else {
                    entry.next_send = entry.next_send.min(now + 1 + jitter / 2);
                }
            }
        }
    }
}

impl Fetch {
    fn whole(&self) -> Option<Bytes> {
        let count = pieces_of(self.blob);
        if self.pieces.len() < count {
            return None;
        }
        let bytes: Vec<u8> = self.pieces.values().flat_map(|piece| piece.iter().copied()).collect();
        Some(Bytes::from(bytes)).filter(|bytes| blob_of(bytes) == self.blob)
    }

    fn want(&self) -> u128 {
        let have: u128 = self.pieces.keys().map(|n| 1u128 << n).sum();
        all_pieces(self.blob) & !have
    }
}

impl Entry {
    /// Sends a new request at once and resends an unanswered one when its resend time has come.
    fn send(
        &mut self,
        now: u64,
        set: &Settings,
        out: &mut VecDeque<(NodeId, Option<(Work, Request)>)>,
        random: &mut fastrand::Rng,
    ) {
        let messages = self.proposer.messages();
        let question = messages.first().map(|(_, question)| question.clone());
        let new = question.is_some() && question != self.asked_last;
        if new {
            self.wait = set.resend_ms;
            self.asked_last = question;
        }
        if !new && now < self.next_send {
            return;
        }
        let marked = matches!(&self.asked, Some(Ask { kind: Kind::Unsafe { marked: true, .. }, .. }))
            && self.work.nonce == Work::REPEAT;
        let before = out.len();
        // Blobs are sent first, because keepers accept a verdict only if they have its answer.
        let answered = self.answer.is_some();
        for put in
            self.puts.iter().filter(|put| !answered || self.answer.as_ref().is_some_and(|a| a.0 == put.blob))
        {
            for id in self.proposer.keepers().all() {
                let missing = all_pieces(put.blob) & !put.have.get(&id).copied().unwrap_or(0);
                let missing = (0..pieces_of(put.blob)).filter(|n| missing >> n & 1 == 1);
                for n in missing.take(PIECES_AT_ONCE) {
                    let piece = put.bytes.slice(n * PIECE..put.bytes.len().min((n + 1) * PIECE));
                    out.push_back((id, Some((self.work, Request::Put(put.blob, n as u8, piece)))));
                }
            }
        }
        for (id, question) in messages {
            out.push_back((id, Some((self.work, Request::Ask(question, marked)))));
        }
        if let Some(fetch) = &self.fetch {
            let all: Vec<NodeId> = self.proposer.keepers().all().into_iter().collect();
            if let Some(id) = random.choice(&all) {
                out.push_back((*id, Some((self.work, Request::Get(fetch.blob, fetch.want())))));
            }
        }
        let any = out.len() > before;
        self.next_send = if any { now + self.wait } else { u64::MAX };
        let fetches = self.fetch.is_some();
        self.wait = if fetches { set.resend_ms } else { (2 * self.wait).min(BACK_OFF * set.resend_ms) };
    }

    fn is_done(&self, now: u64) -> bool {
        (self.proposer.is_over() && self.fetch.is_none()) || now >= self.ends
    }

    fn due(&self) -> u64 {
        let mut due = self.ends.min(self.next_send).min(self.next_poll);
        if self.proposer.waits() {
            due = due.min(self.until);
        }
        if let Some(fetch) = &self.fetch {
            due = due.min(fetch.until);
        }
        due
    }
}
