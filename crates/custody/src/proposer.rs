//! The protocol state of one work at one node, from the first prepare to its end. It is independent of
//! time: [`Proposer::pending_requests`] returns what has to be sent, repeatedly until it is answered, and the
//! driver decides when to send and when to retry.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::register::{
    Answer, Ballot, Effect, Incarnation, IntendedAttempt, NodeId, Record, Stamp, Verdict, WorkDescription,
};
use crate::roster::Keepers;

/// An operation that a proposer requests from a keeper's register.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RegisterOp {
    /// Promise this ballot, unless a record was accepted already.
    PrepareNew(Ballot),
    /// Promise this ballot, even if a record was accepted.
    Prepare(Ballot),
    /// Accept this record under this stamp.
    Accept(Stamp, Record),
    /// Return the accepted record.
    Read,
}

/// A result of the protocol that the driver must act on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// This node holds the work and may decide on attempts.
    Acquired {
        /// Attempts that were intended before.
        earlier: Vec<IntendedAttempt>,
        /// Another incarnation held the work before.
        adopted: bool,
    },
    /// The intent is stored at a majority. The attempt may be sent now, but not later.
    SendAllowed,
    /// Another node holds the work now. No further attempt may start, and an intent that was being
    /// written is void.
    Superseded,
    /// The final verdict on the work.
    Verdict(Verdict),
    /// The work was released without a verdict.
    Released,
}

/// The purpose of the record being written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Purpose {
    /// The claim that this node holds the work. Nothing waits for its completion.
    Claim,
    Intent,
    Verdict(Verdict),
    Release,
    /// The last record was accepted by a majority.
    Idle,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum State {
    /// Collecting promises for a ballot.
    Preparing {
        ballot: Ballot,
        /// Take the work over even if it has a holder.
        takeover: bool,
        promised: BTreeMap<NodeId, Option<(Stamp, Record)>>,
        preempted: BTreeSet<NodeId>,
    },
    /// Another node holds the work. Its register is polled for the outcome.
    Watching { replies: BTreeMap<NodeId, Option<(Stamp, Record)>>, unsettled_reads: u8 },
    /// This node holds the work.
    Holding {
        stamp: Stamp,
        record: Record,
        purpose: Purpose,
        accepted: BTreeSet<NodeId>,
        preempted: BTreeSet<NodeId>,
    },
    /// The work has ended at this node.
    Ended,
}

/// How many consecutive reads may find no majority for the latest record before this node takes over to
/// settle it.
const MAX_UNSETTLED_READS: u8 = 3;

/// The protocol state of one work at one node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer {
    local: Incarnation,
    keepers: Keepers,
    /// The properties of the work, if it was submitted at this node.
    about: Option<WorkDescription>,
    /// The highest round seen.
    round: u64,
    state: State,
    /// Indices of attempts of this holder that are proven never to have run, to be included in the next
    /// record.
    proven_never_run: BTreeSet<usize>,
    steps: VecDeque<Step>,
}

/// The record with the highest stamp among the keepers' replies.
fn latest_record(all: &BTreeMap<NodeId, Option<(Stamp, Record)>>) -> Option<&(Stamp, Record)> {
    all.values().flatten().max_by_key(|(stamp, _)| *stamp)
}

impl Proposer {
    /// Creates a proposer for a request that was submitted at this node, and starts the first round.
    pub fn for_request(local: Incarnation, keepers: Keepers, about: WorkDescription) -> Self {
        let mut proposer = Self::new(local, keepers);
        proposer.about = Some(about);
        proposer.prepare(false);
        proposer
    }

    /// Creates a proposer for a work known only to have lost its holder, and starts a takeover.
    pub fn for_orphan(local: Incarnation, keepers: Keepers) -> Self {
        let mut proposer = Self::new(local, keepers);
        proposer.prepare(true);
        proposer
    }

    fn new(local: Incarnation, keepers: Keepers) -> Self {
        Self {
            local,
            keepers,
            about: None,
            round: 0,
            state: State::Ended,
            proven_never_run: BTreeSet::new(),
            steps: VecDeque::new(),
        }
    }

    /// Returns the next step.
    pub fn poll_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    /// Whether the work has ended at this node.
    pub fn has_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Whether this node holds the work, as far as it knows.
    pub fn is_holder(&self) -> bool {
        matches!(self.state, State::Holding { .. })
    }

    /// Whether another node holds the work and its register is polled.
    pub fn is_watching(&self) -> bool {
        matches!(self.state, State::Watching { .. })
    }

    /// Whether the driver waits for a majority: for promises, or for a record other than the claim.
    pub fn is_waiting(&self) -> bool {
        match &self.state {
            State::Preparing { .. } => true,
            State::Holding { purpose, .. } => !matches!(purpose, Purpose::Idle | Purpose::Claim),
            State::Watching { .. } | State::Ended => false,
        }
    }

    /// The last known holder of the work.
    pub fn holder(&self) -> Option<Incarnation> {
        match &self.state {
            State::Watching { replies, .. } => latest_record(replies)?.1.holder,
            State::Holding { .. } => Some(self.local),
            State::Preparing { .. } | State::Ended => None,
        }
    }

    /// The contents of the register, if this node holds the work.
    pub fn record(&self) -> Option<&Record> {
        match &self.state {
            State::Holding { record, .. } => Some(record),
            _ => None,
        }
    }

    /// The keepers of the work.
    pub fn keepers(&self) -> &Keepers {
        &self.keepers
    }

    /// The requests that are still unanswered, each with its keeper.
    pub fn pending_requests(&self) -> Vec<(NodeId, RegisterOp)> {
        let to_keepers = |exclude: &dyn Fn(NodeId) -> bool, op: RegisterOp| {
            let all = self.keepers.all().into_iter().filter(|id| !exclude(*id));
            all.map(|id| (id, op.clone())).collect()
        };
        match &self.state {
            State::Preparing { ballot, takeover, promised, preempted } => {
                let op =
                    if *takeover { RegisterOp::Prepare(*ballot) } else { RegisterOp::PrepareNew(*ballot) };
                to_keepers(&|id| promised.contains_key(&id) || preempted.contains(&id), op)
            }
            State::Watching { replies, .. } => to_keepers(&|id| replies.contains_key(&id), RegisterOp::Read),
            State::Holding { purpose: Purpose::Idle, .. } | State::Ended => Vec::new(),
            State::Holding { stamp, record, accepted, preempted, .. } => {
                let op = RegisterOp::Accept(*stamp, record.clone());
                to_keepers(&|id| accepted.contains(&id) || preempted.contains(&id), op)
            }
        }
    }

    // ---- Preparing ----

    fn prepare(&mut self, takeover: bool) {
        self.round += 1;
        let ballot = Ballot { round: self.round, incarnation: self.local.number };
        self.state =
            State::Preparing { ballot, takeover, promised: BTreeMap::new(), preempted: BTreeSet::new() };
    }

    /// Retries with a higher ballot after losing to another node or getting too few answers. While
    /// watching, clears the replies so that the register is read again.
    pub fn retry(&mut self) {
        match &mut self.state {
            State::Preparing { takeover, .. } => {
                let takeover = *takeover;
                self.prepare(takeover);
            }
            State::Watching { replies, .. } => replies.clear(),
            State::Holding { .. } | State::Ended => {}
        }
    }

    /// Whether a keeper has promised a higher ballot than the one being prepared.
    pub fn is_preempted(&self) -> bool {
        matches!(&self.state, State::Preparing { preempted, .. } if !preempted.is_empty())
    }

    /// The known holder is lost: starts a takeover.
    pub fn holder_lost(&mut self) {
        if self.is_watching() {
            self.prepare(true);
        }
    }

    /// No client at this node waits for the work any more. Ends it here, unless this node holds it.
    pub fn abandon(&mut self) {
        if !self.is_holder() {
            self.state = State::Ended;
        }
    }

    /// Handles a keeper's answer.
    pub fn handle_answer(&mut self, keeper: NodeId, answer: Answer) {
        if !self.keepers.all().contains(&keeper) {
            return;
        }
        match answer {
            Answer::Promised(ballot, accepted) => self.on_promised(keeper, ballot, accepted),
            Answer::Stored(stamp, record) => self.on_stored(keeper, Some((stamp, record))),
            Answer::Empty => self.on_stored(keeper, None),
            Answer::Accepted(stamp) => self.on_accepted(keeper, stamp),
            Answer::Preempted(ballot) => self.on_preempted(keeper, ballot),
        }
    }

    fn on_promised(&mut self, keeper: NodeId, promised_ballot: Ballot, accepted: Option<(Stamp, Record)>) {
        let State::Preparing { ballot, promised, .. } = &mut self.state else { return };
        if *ballot != promised_ballot {
            return;
        }
        promised.insert(keeper, accepted);
        if !self.keepers.is_majority(|id| promised.contains_key(&id)) {
            return;
        }
        let ballot = *ballot;
        match latest_record(promised).cloned() {
            None => match self.about.clone() {
                Some(about) => {
                    let record = Record { holder: Some(self.local), sent: Vec::new(), verdict: None, about };
                    self.become_holder(ballot, record, Purpose::Claim);
                    self.steps.push_back(Step::Acquired { earlier: Vec::new(), adopted: false });
                }
                // No record was ever accepted, and no request for the work was submitted here.
                None => self.state = State::Ended,
            },
            Some((_, mut record)) => {
                if record.verdict.is_none() && record.is_unsafe_to_resend() {
                    record.verdict = Some(Verdict::MayHaveRun);
                }
                if let Some(verdict) = record.verdict {
                    self.become_holder(ballot, record, Purpose::Verdict(verdict));
                    return;
                }
                let adopted = record.holder.is_some_and(|holder| holder != self.local);
                record.holder = Some(self.local);
                let earlier = record.sent.clone();
                self.become_holder(ballot, record, Purpose::Claim);
                self.steps.push_back(Step::Acquired { earlier, adopted });
            }
        }
    }

    fn become_holder(&mut self, ballot: Ballot, record: Record, purpose: Purpose) {
        let stamp = Stamp { ballot, version: 1 };
        self.state =
            State::Holding { stamp, record, purpose, accepted: BTreeSet::new(), preempted: BTreeSet::new() };
    }

    fn on_preempted(&mut self, keeper: NodeId, higher: Ballot) {
        self.round = self.round.max(higher.round);
        match &mut self.state {
            State::Preparing { ballot, preempted, .. } if *ballot < higher => drop(preempted.insert(keeper)),
            State::Holding { stamp, preempted, .. } if stamp.ballot < higher => {
                preempted.insert(keeper);
                if self.keepers.is_blocked(|id| preempted.contains(&id)) {
                    self.start_watching();
                    self.steps.push_back(Step::Superseded);
                }
            }
            _ => {}
        }
    }

    // ---- Watching ----

    fn start_watching(&mut self) {
        self.state = State::Watching { replies: BTreeMap::new(), unsettled_reads: 0 };
    }

    fn on_stored(&mut self, keeper: NodeId, known: Option<(Stamp, Record)>) {
        self.round = self.round.max(known.as_ref().map_or(0, |(stamp, _)| stamp.ballot.round));
        if matches!(self.state, State::Preparing { takeover: false, .. }) && known.is_some() {
            self.start_watching();
        }
        let State::Watching { replies, unsettled_reads } = &mut self.state else { return };
        replies.insert(keeper, known);
        if !self.keepers.is_majority(|id| replies.contains_key(&id)) {
            return;
        }
        let Some((stamp, record)) = latest_record(replies).cloned() else {
            // The node that started the work never stored a record.
            self.prepare(false);
            return;
        };
        let has_latest = |id: NodeId| {
            replies.get(&id).is_some_and(|known| known.as_ref().is_some_and(|(s, _)| *s == stamp))
        };
        let settled = self.keepers.is_majority(has_latest);
        if let Some(verdict) = record.verdict.filter(|_| settled) {
            self.finish(Step::Verdict(verdict));
            return;
        }
        *unsettled_reads = if settled { 0 } else { *unsettled_reads + 1 };
        // The work was released, was held by this node before another superseded it, or has a release
        // that reached no majority.
        let can_claim =
            record.holder.is_none_or(|holder| holder == self.local) && (settled || record.verdict.is_none());
        if can_claim || *unsettled_reads >= MAX_UNSETTLED_READS {
            self.prepare(true);
        }
    }

    fn finish(&mut self, step: Step) {
        self.state = State::Ended;
        self.steps.push_back(step);
    }

    // ---- Holding ----

    fn on_accepted(&mut self, keeper: NodeId, accepted_stamp: Stamp) {
        let State::Holding { stamp, purpose, accepted, .. } = &mut self.state else { return };
        if accepted_stamp.ballot != stamp.ballot || accepted_stamp < *stamp {
            return;
        }
        accepted.insert(keeper);
        if !self.keepers.is_majority(|id| accepted.contains(&id)) {
            return;
        }
        match std::mem::replace(purpose, Purpose::Idle) {
            Purpose::Claim | Purpose::Idle => {}
            Purpose::Intent => self.steps.push_back(Step::SendAllowed),
            Purpose::Verdict(verdict) => self.finish(Step::Verdict(verdict)),
            Purpose::Release => self.finish(Step::Released),
        }
    }

    fn write_record(&mut self, new_purpose: Purpose, change: impl FnOnce(&mut Record)) -> bool {
        let State::Holding { stamp, record, purpose, accepted, .. } = &mut self.state else { return false };
        for number in std::mem::take(&mut self.proven_never_run) {
            record.sent.get_mut(number).into_iter().for_each(|sent| sent.never_ran = true);
        }
        change(record);
        stamp.version += 1;
        *purpose = new_purpose;
        accepted.clear();
        true
    }

    /// Records the intent to send an attempt. [`Step::SendAllowed`] follows once it may be sent. Returns
    /// `false` if it may never be sent.
    pub fn write_intent(&mut self, sent: IntendedAttempt) -> bool {
        let must_not_send =
            self.record().is_none_or(|record| self.is_unsafe_to_resend(record) || record.verdict.is_some());
        !must_not_send && self.write_record(Purpose::Intent, |record| record.sent.push(sent))
    }

    /// Whether the work is unsafe and may have run, taking into account what is proven but not written
    /// yet.
    fn is_unsafe_to_resend(&self, record: &Record) -> bool {
        let may_have_run =
            |(n, sent): (usize, &IntendedAttempt)| !sent.never_ran && !self.proven_never_run.contains(&n);
        record.about.effect == Effect::Unsafe && record.sent.iter().enumerate().any(may_have_run)
    }

    /// Records that an attempt of this holder is proven never to have run or was never sent. This is
    /// included in the next record, because a record must not change under the same stamp.
    pub fn mark_never_ran(&mut self, number: usize) {
        if self.is_holder() {
            self.proven_never_run.insert(number);
        }
    }

    /// Cancels the intent being written. Its attempt is never sent, even if the record is accepted.
    pub fn cancel_intent(&mut self) {
        if let State::Holding { record, purpose: purpose @ Purpose::Intent, .. } = &mut self.state {
            *purpose = Purpose::Claim;
            self.proven_never_run.insert(record.sent.len().saturating_sub(1));
        }
    }

    /// Records for how long, counted from the beginning of the work, a client waits. What is being written
    /// stays so, and is written again with it. Returns `false` if this node does not hold the work, or is about
    /// to end it.
    pub fn write_client_wait(&mut self, wait_ms: u32) -> bool {
        let State::Holding { purpose, .. } = &self.state else { return false };
        let purpose = match *purpose {
            Purpose::Claim | Purpose::Idle => Purpose::Claim,
            Purpose::Intent => Purpose::Intent,
            Purpose::Verdict(_) | Purpose::Release => return false,
        };
        self.write_record(purpose, |record| record.about.remaining_ms = wait_ms)
    }

    /// Writes the final verdict. Returns `false` if this node does not hold the work.
    pub fn write_verdict(&mut self, verdict: Verdict) -> bool {
        self.write_record(Purpose::Verdict(verdict), |record| record.verdict = Some(verdict))
    }

    /// Releases the work without a verdict, so that the next node that is asked may take it over. Unsafe
    /// work that may have run gets the verdict [`Verdict::MayHaveRun`] instead.
    pub fn release(&mut self) -> bool {
        match self.record() {
            Some(record) if self.is_unsafe_to_resend(record) => self.write_verdict(Verdict::MayHaveRun),
            _ => self.write_record(Purpose::Release, |record| record.holder = None),
        }
    }

    /// The effect of the work's class, if it is known.
    pub fn effect(&self) -> Option<Effect> {
        self.record().map(|record| &record.about).or(self.about.as_ref()).map(|about| about.effect)
    }
}
