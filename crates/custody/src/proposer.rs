//! The protocol state of one work at one node, from the first prepare to its end. It is independent of
//! time: [`Proposer::messages`] returns what has to be sent, repeatedly until it is answered, and the
//! driver decides when to send and when to retry.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::register::{About, Answer, Ballot, Effect, Life, NodeId, Record, Sent, Stamp, Verdict};
use crate::roster::Keepers;

/// An operation that a proposer requests from a keeper's register.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Question {
    /// Promise this ballot, unless a record was accepted already.
    Open(Ballot),
    /// Promise this ballot, even if a record was accepted.
    Seize(Ballot),
    /// Accept this record under this stamp.
    Accept(Stamp, Record),
    /// Return the accepted record.
    Look,
}

/// A result of the protocol that the driver must act on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// This node holds the work and may decide on attempts.
    Yours {
        /// Attempts that were intended before.
        earlier: Vec<Sent>,
        /// Another incarnation held the work before.
        adopted: bool,
    },
    /// The intent is stored at a majority. The attempt may be sent now, but not later.
    Go,
    /// Another node holds the work now. No further attempt may start, and an intent that was being
    /// written is void.
    Ousted,
    /// The final verdict on the work.
    Verdict(Verdict),
    /// The work was released without a verdict.
    LetGo,
}

/// The purpose of the record being written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Purpose {
    /// The claim that this node holds the work. Nothing waits for its completion.
    Claim,
    Intent,
    Verdict(Verdict),
    LetGo,
    /// The last record was accepted by a majority.
    Nothing,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum State {
    /// Collecting promises for a ballot.
    Asking {
        ballot: Ballot,
        /// Take the work over even if it has a holder.
        seizes: bool,
        promised: BTreeMap<NodeId, Option<(Stamp, Record)>>,
        outbid: BTreeSet<NodeId>,
    },
    /// Another node holds the work. Its register is polled for the outcome.
    Watching { said: BTreeMap<NodeId, Option<(Stamp, Record)>>, unsettled: u8 },
    /// This node holds the work.
    Holding {
        stamp: Stamp,
        record: Record,
        purpose: Purpose,
        accepted: BTreeSet<NodeId>,
        outbid: BTreeSet<NodeId>,
    },
    /// The work has ended at this node.
    Ended,
}

/// How many consecutive reads may find no majority for the latest record before this node takes over to
/// settle it.
const UNSETTLED: u8 = 3;

/// The protocol state of one work at one node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer {
    me: Life,
    keepers: Keepers,
    /// The fixed properties of the work, if it was submitted at this node.
    about: Option<About>,
    /// The highest round seen.
    round: u64,
    state: State,
    /// Indices of attempts of this holder that are proven never to have run, to be included in the next
    /// record.
    proven: BTreeSet<usize>,
    steps: VecDeque<Step>,
}

/// The record with the highest stamp among the keepers' replies.
fn latest(all: &BTreeMap<NodeId, Option<(Stamp, Record)>>) -> Option<&(Stamp, Record)> {
    all.values().flatten().max_by_key(|(stamp, _)| *stamp)
}

impl Proposer {
    /// Creates a proposer for a request that was submitted at this node, and starts the first round.
    pub fn asked(me: Life, keepers: Keepers, about: About) -> Self {
        let mut proposer = Self::seen(me, keepers);
        proposer.about = Some(about);
        proposer.ask(false);
        proposer
    }

    /// Creates a proposer for a work known only to have lost its holder, and starts a takeover.
    pub fn orphaned(me: Life, keepers: Keepers) -> Self {
        let mut proposer = Self::seen(me, keepers);
        proposer.ask(true);
        proposer
    }

    fn seen(me: Life, keepers: Keepers) -> Self {
        Self {
            me,
            keepers,
            about: None,
            round: 0,
            state: State::Ended,
            proven: BTreeSet::new(),
            steps: VecDeque::new(),
        }
    }

    /// Returns the next step.
    pub fn poll(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    /// Whether the work has ended at this node.
    pub fn is_over(&self) -> bool {
        self.state == State::Ended
    }

    /// Whether this node holds the work, as far as it knows.
    pub fn holds(&self) -> bool {
        matches!(self.state, State::Holding { .. })
    }

    /// Whether another node holds the work and its register is polled.
    pub fn watches(&self) -> bool {
        matches!(self.state, State::Watching { .. })
    }

    /// Whether the driver waits for a majority: for promises, or for a record other than the claim.
    pub fn waits(&self) -> bool {
        match &self.state {
            State::Asking { .. } => true,
            State::Holding { purpose, .. } => !matches!(purpose, Purpose::Nothing | Purpose::Claim),
            State::Watching { .. } | State::Ended => false,
        }
    }

    /// The last known holder of the work.
    pub fn holder(&self) -> Option<Life> {
        match &self.state {
            State::Watching { said, .. } => latest(said)?.1.holder,
            State::Holding { .. } => Some(self.me),
            State::Asking { .. } | State::Ended => None,
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
    pub fn messages(&self) -> Vec<(NodeId, Question)> {
        let to = |without: &dyn Fn(NodeId) -> bool, question: Question| {
            let all = self.keepers.all().into_iter().filter(|id| !without(*id));
            all.map(|id| (id, question.clone())).collect()
        };
        match &self.state {
            State::Asking { ballot, seizes, promised, outbid } => {
                let question = if *seizes { Question::Seize(*ballot) } else { Question::Open(*ballot) };
                to(&|id| promised.contains_key(&id) || outbid.contains(&id), question)
            }
            State::Watching { said, .. } => to(&|id| said.contains_key(&id), Question::Look),
            State::Holding { purpose: Purpose::Nothing, .. } | State::Ended => Vec::new(),
            State::Holding { stamp, record, accepted, outbid, .. } => {
                let question = Question::Accept(*stamp, record.clone());
                to(&|id| accepted.contains(&id) || outbid.contains(&id), question)
            }
        }
    }

    // ---- Preparing ----

    fn ask(&mut self, seizes: bool) {
        self.round += 1;
        let ballot = Ballot { round: self.round, life: self.me.life };
        self.state = State::Asking { ballot, seizes, promised: BTreeMap::new(), outbid: BTreeSet::new() };
    }

    /// Retries with a higher ballot after losing to another node or getting too few answers. While
    /// watching, clears the replies so that the register is read again.
    pub fn again(&mut self) {
        match &mut self.state {
            State::Asking { seizes, .. } => {
                let seizes = *seizes;
                self.ask(seizes);
            }
            State::Watching { said, .. } => said.clear(),
            State::Holding { .. } | State::Ended => {}
        }
    }

    /// Whether a keeper has promised a higher ballot than the one being prepared.
    pub fn is_outbid(&self) -> bool {
        matches!(&self.state, State::Asking { outbid, .. } if !outbid.is_empty())
    }

    /// The known holder is lost: starts a takeover.
    pub fn holder_lost(&mut self) {
        if self.watches() {
            self.ask(true);
        }
    }

    /// No client at this node waits for the work any more. Ends it here, unless this node holds it.
    pub fn give_up(&mut self) {
        if !self.holds() {
            self.state = State::Ended;
        }
    }

    /// Handles a keeper's answer.
    pub fn heard(&mut self, by: NodeId, answer: Answer) {
        if !self.keepers.all().contains(&by) {
            return;
        }
        match answer {
            Answer::Promised(ballot, accepted) => self.promised(by, ballot, accepted),
            Answer::Known(stamp, record) => self.known(by, Some((stamp, record))),
            Answer::Nothing => self.known(by, None),
            Answer::Accepted(stamp) => self.accepted(by, stamp),
            Answer::Outbid(ballot) => self.outbid(by, ballot),
        }
    }

    fn promised(&mut self, by: NodeId, promised_ballot: Ballot, accepted: Option<(Stamp, Record)>) {
        let State::Asking { ballot, promised, .. } = &mut self.state else { return };
        if *ballot != promised_ballot {
            return;
        }
        promised.insert(by, accepted);
        if !self.keepers.majority(|id| promised.contains_key(&id)) {
            return;
        }
        let ballot = *ballot;
        match latest(promised).cloned() {
            None => match self.about.clone() {
                Some(about) => {
                    let record = Record { holder: Some(self.me), sent: Vec::new(), verdict: None, about };
                    self.hold(ballot, record, Purpose::Claim);
                    self.steps.push_back(Step::Yours { earlier: Vec::new(), adopted: false });
                }
                // No record was ever accepted, and no request for the work was submitted here.
                None => self.state = State::Ended,
            },
            Some((_, mut record)) => {
                if record.verdict.is_none() && record.is_spent() {
                    record.verdict = Some(Verdict::MayHaveRun);
                }
                if let Some(verdict) = record.verdict {
                    self.hold(ballot, record, Purpose::Verdict(verdict));
                    return;
                }
                let adopted = record.holder.is_some_and(|holder| holder != self.me);
                record.holder = Some(self.me);
                let earlier = record.sent.clone();
                self.hold(ballot, record, Purpose::Claim);
                self.steps.push_back(Step::Yours { earlier, adopted });
            }
        }
    }

    fn hold(&mut self, ballot: Ballot, record: Record, purpose: Purpose) {
        let stamp = Stamp { ballot, version: 1 };
        self.state =
            State::Holding { stamp, record, purpose, accepted: BTreeSet::new(), outbid: BTreeSet::new() };
    }

    fn outbid(&mut self, by: NodeId, higher: Ballot) {
        self.round = self.round.max(higher.round);
        match &mut self.state {
            State::Asking { ballot, outbid, .. } if *ballot < higher => drop(outbid.insert(by)),
            State::Holding { stamp, outbid, .. } if stamp.ballot < higher => {
                outbid.insert(by);
                if self.keepers.blocked(|id| outbid.contains(&id)) {
                    self.watch();
                    self.steps.push_back(Step::Ousted);
                }
            }
            _ => {}
        }
    }

    // ---- Watching ----

    fn watch(&mut self) {
        self.state = State::Watching { said: BTreeMap::new(), unsettled: 0 };
    }

    fn known(&mut self, by: NodeId, known: Option<(Stamp, Record)>) {
        self.round = self.round.max(known.as_ref().map_or(0, |(stamp, _)| stamp.ballot.round));
        if matches!(self.state, State::Asking { seizes: false, .. }) && known.is_some() {
            self.watch();
        }
        let State::Watching { said, unsettled } = &mut self.state else { return };
        said.insert(by, known);
        if !self.keepers.majority(|id| said.contains_key(&id)) {
            return;
        }
        let Some((stamp, record)) = latest(said).cloned() else {
            // The node that started the work never stored a record.
            self.ask(false);
            return;
        };
        let at =
            |id: NodeId| said.get(&id).is_some_and(|known| known.as_ref().is_some_and(|(s, _)| *s == stamp));
        let settled = self.keepers.majority(at);
        if let Some(verdict) = record.verdict.filter(|_| settled) {
            self.end(Step::Verdict(verdict));
            return;
        }
        *unsettled = if settled { 0 } else { *unsettled + 1 };
        // The work was released, was held by this node before another superseded it, or has a release
        // that reached no majority.
        let free =
            record.holder.is_none_or(|holder| holder == self.me) && (settled || record.verdict.is_none());
        if free || *unsettled >= UNSETTLED {
            self.ask(true);
        }
    }

    fn end(&mut self, step: Step) {
        self.state = State::Ended;
        self.steps.push_back(step);
    }

    // ---- Holding ----

    fn accepted(&mut self, by: NodeId, word: Stamp) {
        let State::Holding { stamp, purpose, accepted, .. } = &mut self.state else { return };
        if word.ballot != stamp.ballot || word < *stamp {
            return;
        }
        accepted.insert(by);
        if !self.keepers.majority(|id| accepted.contains(&id)) {
            return;
        }
        match std::mem::replace(purpose, Purpose::Nothing) {
            Purpose::Claim | Purpose::Nothing => {}
            Purpose::Intent => self.steps.push_back(Step::Go),
            Purpose::Verdict(verdict) => self.end(Step::Verdict(verdict)),
            Purpose::LetGo => self.end(Step::LetGo),
        }
    }

    fn write(&mut self, what: Purpose, change: impl FnOnce(&mut Record)) -> bool {
        let State::Holding { stamp, record, purpose, accepted, .. } = &mut self.state else { return false };
        for number in std::mem::take(&mut self.proven) {
            record.sent.get_mut(number).into_iter().for_each(|sent| sent.never = true);
        }
        change(record);
        stamp.version += 1;
        *purpose = what;
        accepted.clear();
        true
    }

    /// Records the intent to send an attempt. [`Step::Go`] follows once it may be sent. Returns `false`
    /// if it may never be sent.
    pub fn intend(&mut self, sent: Sent) -> bool {
        let spent = self.record().is_none_or(|record| self.is_spent(record) || record.verdict.is_some());
        !spent && self.write(Purpose::Intent, |record| record.sent.push(sent))
    }

    /// Whether the work is unsafe and may have run, taking into account what is proven but not written
    /// yet.
    fn is_spent(&self, record: &Record) -> bool {
        let maybe = |(n, sent): (usize, &Sent)| !sent.never && !self.proven.contains(&n);
        record.about.effect == Effect::Unsafe && record.sent.iter().enumerate().any(maybe)
    }

    /// Records that an attempt of this holder is proven never to have run or was never sent. This is
    /// included in the next record, because a record must not change under the same stamp.
    pub fn never_ran(&mut self, number: usize) {
        if self.holds() {
            self.proven.insert(number);
        }
    }

    /// Cancels the intent being written. Its attempt is never sent, even if the record is accepted.
    pub fn deny(&mut self) {
        if let State::Holding { record, purpose: purpose @ Purpose::Intent, .. } = &mut self.state {
            *purpose = Purpose::Claim;
            self.proven.insert(record.sent.len().saturating_sub(1));
        }
    }

    /// Writes the final verdict. Returns `false` if this node does not hold the work.
    pub fn conclude(&mut self, verdict: Verdict) -> bool {
        self.write(Purpose::Verdict(verdict), |record| record.verdict = Some(verdict))
    }

    /// Releases the work without a verdict, so that the next node that is asked may take it over. Unsafe
    /// work that may have run gets the verdict [`Verdict::MayHaveRun`] instead.
    pub fn let_go(&mut self) -> bool {
        match self.record() {
            Some(record) if self.is_spent(record) => self.conclude(Verdict::MayHaveRun),
            _ => self.write(Purpose::LetGo, |record| record.holder = None),
        }
    }

    /// The effect of the work's class, if it is known.
    pub fn effect(&self) -> Option<Effect> {
        self.record().map(|record| &record.about).or(self.about.as_ref()).map(|about| about.effect)
    }
}
