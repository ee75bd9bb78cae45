//! The table of requests, and what moves through it.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

use glenwood_policy::{
    Action, Balancer, DoubtfulSends, Earlier, Effect, Entry, Event, ListFailure, Millis, Outcome, Reason,
    RequestId, ServerId, Settings, SettingsError, TenantChange, Trust,
};

use crate::incoming::{Incoming, Token, ANSWER_MARGIN, GUARD_MARGIN};

/// The longest that an attempt may be let run, one day: more than any deadline, and within what clocks can hold.
const LONGEST_ATTEMPT: Millis = 86_400_000.0;
/// Timers that are due within this count as due: times that went through another unit lose a little.
const DUE_SLACK: Millis = 0.01;

/// The one final answer of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Final<R> {
    /// A server's answer.
    Served(R),
    /// Refused: trying again is harmless, after this time (0: no advice).
    Refused {
        /// How long to stay away.
        stay_away: Millis,
    },
    /// Failed; it may have run.
    Failed,
    /// Failed, as the time was nearly up and the module had not answered; it may have run.
    Overdue,
    /// The server finds the request itself bad.
    Rejected,
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, from 0.
    pub number: usize,
}

/// How an attempt ended, as its backend saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended<R> {
    /// The server's answer.
    Served(R),
    /// The server's answer, of which more is to come: it holds its place there until [`Core::attempt_left`].
    Flows(R),
    /// No answer that is the client's. [`Outcome::Done`] can't be meant, and counts as an error.
    Without(Outcome),
    /// Given up, but the server can't be told so and works on: it holds its place there until
    /// [`Core::attempt_left`].
    RunsOn(Outcome),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output<P, R> {
    /// Give a request its final answer. There is exactly one of these for each that was taken, but for those whose
    /// client left first.
    Answer {
        /// The request.
        request: RequestId,
        /// Its answer.
        answer: Final<R>,
    },
    /// Says why the answer that follows is a refusal or a failure.
    Explain {
        /// The request.
        request: RequestId,
        /// Why it is not served.
        reason: Reason,
    },
    /// Start an attempt; exactly one [`Ended`] is owed for it.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// Where to.
        server: ServerId,
        /// When to give it up.
        end: Millis,
        /// What to send.
        payload: P,
    },
    /// Give an attempt up, and report its end now.
    Abandon(AttemptId),
    /// Nobody waits for an attempt any more: give it up if its last byte has not gone out, whatever may be cancelled. It has
    /// not begun anywhere, and must not begin once its client has left or has its answer.
    Recall(AttemptId),
    /// Ask discovery for the list's changes from now on, once more where that was done before.
    Subscribe,
    /// Probe a server, and report with [`Core::probed`].
    Probe(ServerId),
}

/// Why a request was not taken. Nothing was sent, and nothing is owed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NotTaken {
    /// A request with this id is open: to send this one on would be to run that one again.
    IdOpen,
    /// Too many are open; the module's word on when to come back.
    NoRoom {
        /// How long to stay away.
        stay_away: Millis,
    },
    /// The settings have no such class.
    NoSuchClass,
    /// Its class is keyed, and it has no key.
    KeyMissing,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its outcome is awaited.
    Out,
    /// It has its outcome; the server still works on it.
    RunsOn,
    /// Nothing is left of it.
    Over,
}

struct Try {
    server: ServerId,
    sent: Millis,
    stage: Stage,
}

/// A request that awaits its answer, or has attempts out.
struct Open<P> {
    id: Token,
    payload: P,
    /// The final answer has been given, or none is owed any more.
    answered: bool,
    guard: Due,
    /// How long its client waits from its last byte on, where that has not come yet.
    coming: Option<Millis>,
    /// When its last byte had come, where that was after its first attempt began.
    whole: Millis,
    tries: Vec<Try>,
}

/// A point in time that can be sorted, in whole microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due(i64);

impl Due {
    fn at(time: Millis) -> Self {
        // Out-of-range times saturate; no clock comes near.
        Self((time * 1000.0).ceil() as i64)
    }

    fn time(self) -> Millis {
        self.0 as f64 / 1000.0
    }
}

/// All open requests of a node, and the module that decides on them.
pub struct Core<P, R> {
    balancer: Balancer,
    effects: Vec<Effect>,
    open_most: usize,
    requests: HashMap<RequestId, Open<P>>,
    /// The clients' ids of those that still await their answer.
    ids: HashSet<Token>,
    last: u64,
    /// When the answer is given in the module's place, for each that awaits one.
    guards: BTreeSet<(Due, RequestId)>,
    /// When the module wants to be woken.
    timer: Option<Millis>,
    actions: Vec<Action>,
    outputs: VecDeque<Output<P, R>>,
}

impl<P: Clone, R> Core<P, R> {
    /// A node's core, with no servers yet. `seed` is for the module's random numbers, `open_most` the most requests
    /// that may be open.
    ///
    /// # Errors
    /// Where the module refuses the settings.
    pub fn new(settings: Settings, seed: u64, open_most: usize) -> Result<Self, SettingsError> {
        let effects = settings.classes.iter().map(|c| c.effect).collect();
        Ok(Self {
            balancer: Balancer::new(settings, seed)?,
            effects,
            open_most,
            requests: HashMap::new(),
            ids: HashSet::new(),
            last: 0,
            guards: BTreeSet::new(),
            timer: None,
            actions: Vec::new(),
            outputs: VecDeque::new(),
        })
    }

    // ---- The driver's side ----

    /// The next thing to be done, in order; `None` until something else happens.
    pub fn poll_output(&mut self) -> Option<Output<P, R>> {
        self.outputs.pop_front()
    }

    /// When [`Core::handle_timeout`] is to be called; `None`: not by time alone.
    pub fn poll_timeout(&self) -> Option<Millis> {
        let guard = self.guards.first().map(|(due, _)| due.time());
        match (self.timer, guard) {
            (Some(timer), Some(guard)) => Some(timer.min(guard)),
            (timer, guard) => timer.or(guard),
        }
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Millis) {
        if self.timer.is_some_and(|due| due <= now + DUE_SLACK) {
            self.timer = None;
            self.feed(now, Event::Timer);
        }
        while let Some((due, request)) = self.guards.first().copied() {
            if due.time() > now + DUE_SLACK {
                break;
            }
            // Whatever becomes of the module's timers and attempts, the client is not kept waiting past that.
            self.give(request, Final::Overdue);
            self.feed(now, Event::ClientGone(request));
            self.drop_if_over(request);
        }
    }

    /// How many requests await their final answer.
    pub fn awaiting(&self) -> usize {
        self.ids.len()
    }

    /// How many listed servers the module avoids now.
    pub fn avoided(&self) -> usize {
        self.balancer.avoided()
    }

    /// How many requests are open: awaiting their answer, or with attempts that still hold a place at a server.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// New settings count from now on; see [`Event::Settings`].
    ///
    /// # Errors
    /// Where the module would refuse them; nothing changes then.
    pub fn new_settings(
        &mut self,
        now: Millis,
        settings: Settings,
        classes: Vec<bool>,
        tenants: Vec<bool>,
    ) -> Result<(), SettingsError> {
        settings.check()?;
        self.effects = settings.classes.iter().map(|c| c.effect).collect();
        self.feed(now, Event::Settings { settings: Box::new(settings), classes, tenants });
        Ok(())
    }

    /// Some tenants are otherwise from now on, and nothing else; see [`Event::Tenants`].
    pub fn change_tenants(&mut self, now: Millis, changes: Vec<TenantChange>) {
        self.feed(now, Event::Tenants(changes));
    }

    /// Fails all that still await an answer, and calls their attempts off: the node ends, and an answer is better than
    /// a reset.
    pub fn fail_all(&mut self, now: Millis) {
        let mut open: Vec<RequestId> = self.requests.keys().copied().collect();
        open.sort_unstable();
        for request in open {
            self.give(request, Final::Failed);
            self.feed(now, Event::ClientGone(request));
            self.drop_if_over(request);
        }
    }

    // ---- The front's side ----

    /// Takes a request in. From here on one final answer is owed, unless [`Core::client_gone`] comes first.
    ///
    /// # Errors
    /// Says why it was not taken; then it is the front that answers.
    pub fn take(&mut self, now: Millis, incoming: Incoming<P>) -> Result<RequestId, NotTaken> {
        self.take_within(now, incoming, || None)
    }

    /// The same, where a tenant's usage is counted over all nodes: `within` counts it, and says whether that is within its
    /// share. It is asked once, of a request that is taken and repeats no other.
    ///
    /// # Errors
    /// Says why it was not taken; then it is the front that answers.
    pub fn take_within(
        &mut self,
        now: Millis,
        incoming: Incoming<P>,
        within: impl FnOnce() -> Option<bool>,
    ) -> Result<RequestId, NotTaken> {
        let class = incoming.class;
        let effect = self.effects.get(class).ok_or(NotTaken::NoSuchClass)?;
        if matches!(effect, Effect::Keyed { .. }) && incoming.key.is_none() {
            return Err(NotTaken::KeyMissing);
        }
        if self.requests.len() >= self.open_most {
            return Err(NotTaken::NoRoom { stay_away: self.stay_away(class) });
        }
        if !self.ids.insert(incoming.id.clone()) {
            return Err(NotTaken::IdOpen);
        }
        self.last += 1;
        let request = RequestId(self.last);
        let (tenant, deadline) = (incoming.tenant, incoming.before_deadline(ANSWER_MARGIN));
        let (repeat_key, work) = (incoming.repeat_key, incoming.work);
        let coming = incoming.coming.then_some(incoming.deadline - incoming.began);
        let guard = if incoming.coming {
            // Until then it is its front that sees whether anything comes.
            Due::at(now + LONGEST_ATTEMPT)
        } else {
            Due::at(incoming.before_deadline(GUARD_MARGIN))
        };
        self.guards.insert((guard, request));
        // Nothing of them is awaited here.
        let before = |e: &Earlier| Try { server: e.server, sent: e.sent, stage: Stage::Over };
        let open = Open {
            id: incoming.id,
            payload: incoming.payload,
            answered: false,
            guard,
            coming,
            whole: now,
            tries: incoming.earlier.iter().flatten().map(before).collect(),
        };
        self.requests.insert(request, open);
        let within = if self.balancer.repeats(now, repeat_key) { None } else { within() };
        let earlier = incoming.earlier;
        self.feed(
            now,
            Event::Request { id: request, class, tenant, deadline, repeat_key, work, within, earlier },
        );
        Ok(request)
    }

    /// The module's word on when to come back, for a request of this class that it is not shown.
    pub fn stay_away(&self, class: usize) -> Millis {
        self.balancer.stay_away(class)
    }

    /// Nothing is owed any more: the client left.
    pub fn client_gone(&mut self, now: Millis, request: RequestId) {
        if !self.requests.contains_key(&request) {
            return;
        }
        if self.settle(request) {
            self.recall(request);
        }
        self.feed(now, Event::ClientGone(request));
        self.drop_if_over(request);
    }

    // ---- The backend's side ----

    /// Where an attempt is and when it was sent, while its end is still awaited.
    pub fn attempt(&self, attempt: AttemptId) -> Option<(ServerId, Millis)> {
        let tried = self.requests.get(&attempt.request)?.tries.get(attempt.number)?;
        (tried.stage == Stage::Out).then_some((tried.server, tried.sent))
    }

    /// An attempt has ended. Only the first word on each counts.
    pub fn attempt_ended(&mut self, now: Millis, attempt: AttemptId, ended: Ended<R>) {
        let AttemptId { request, number } = attempt;
        let Some(open) = self.requests.get_mut(&request) else { return };
        let Some(tried) = open.tries.get_mut(number).filter(|t| t.stage == Stage::Out) else { return };
        // A server begins with the last byte.
        let (server, took) = (tried.server, now - tried.sent.max(open.whole));
        let runs_on = matches!(ended, Ended::RunsOn(_) | Ended::Flows(_));
        tried.stage = if runs_on { Stage::RunsOn } else { Stage::Over };
        let outcome = match ended {
            Ended::Served(reply) | Ended::Flows(reply) => {
                self.give(request, Final::Served(reply));
                Outcome::Done
            }
            // An answer that nobody has can't have been served.
            Ended::Without(Outcome::Done) | Ended::RunsOn(Outcome::Done) => Outcome::Error,
            Ended::Without(outcome) | Ended::RunsOn(outcome) => outcome,
        };
        if outcome == Outcome::Rejected {
            self.give(request, Final::Rejected);
        }
        let finished = self.requests.get(&request).is_none_or(|open| open.answered);
        if runs_on {
            // First, so that its place is not given away by what the end brings about.
            self.feed(now, Event::RunsOn { id: request, attempt: number, server });
        }
        self.feed(now, Event::Ended { id: request, attempt: number, server, outcome, took, finished });
        self.drop_if_over(request);
    }

    /// The body of an attempt's request is being taken from its client: it can't be sent again.
    pub fn body_taken(&mut self, now: Millis, request: RequestId) {
        self.feed(now, Event::Spent(request));
    }

    /// The last byte of a request whose body was still coming has gone on; its client's time counts from now.
    pub fn body_sent(&mut self, now: Millis, request: RequestId) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        let Some(wait) = open.coming.take() else { return };
        open.whole = now;
        if !open.answered {
            self.guards.remove(&(open.guard, request));
            open.guard = Due::at(now + wait - GUARD_MARGIN.min(wait / 2.0));
            self.guards.insert((open.guard, request));
        }
    }

    /// The server has finished, or lost, what ended as [`Ended::RunsOn`].
    pub fn attempt_left(&mut self, now: Millis, attempt: AttemptId) {
        let AttemptId { request, number } = attempt;
        let Some(open) = self.requests.get_mut(&request) else { return };
        let Some(tried) = open.tries.get_mut(number).filter(|t| t.stage == Stage::RunsOn) else { return };
        tried.stage = Stage::Over;
        let server = tried.server;
        self.feed(now, Event::Left { id: request, attempt: number, server });
        self.drop_if_over(request);
    }

    /// A probe came back.
    pub fn probed(&mut self, now: Millis, server: ServerId, outcome: Outcome, took: Millis) {
        self.feed(now, Event::Probed { server, outcome, took });
    }

    /// Is the list not followed?
    pub fn has_lost_list(&self) -> bool {
        self.balancer.has_lost_list()
    }

    /// How the servers stand that the list had as up.
    pub fn trust(&self) -> Trust {
        self.balancer.trust()
    }

    /// A server has answered on a connection that was opened then.
    pub fn connection_answered(&mut self, now: Millis, server: ServerId, opened: Millis) {
        if self.balancer.has_lost_list() {
            self.feed(now, Event::ConnectionAnswered { server, opened });
        }
    }

    // ---- Discovery's side ----

    /// The whole list; `saved` for one that is from before the node's start.
    pub fn list(&mut self, now: Millis, entries: Vec<Entry>, saved: bool) {
        self.feed(now, Event::List { entries, saved });
    }

    /// Entries of the list that changed; none tells that the subscription stands.
    pub fn list_changed(&mut self, now: Millis, entries: Vec<Entry>) {
        self.feed(now, Event::ListChange(entries));
    }

    /// Rotates over no more servers than so many, where the node's part of the fleet is not more; from the next list on.
    pub fn bound_rotation(&mut self, most: usize) {
        self.balancer.bound_rotation(most);
    }

    /// Is a server ejected for what was seen of it?
    pub fn is_ejected(&self, server: ServerId) -> bool {
        self.balancer.is_ejected(server)
    }

    /// How many attempts were begun against what is known of their servers.
    pub fn doubtful_sends(&self) -> DoubtfulSends {
        self.balancer.doubtful_sends()
    }

    /// May something new be sent to a server that is listed as up, also what has waited for its connection?
    pub fn accepts(&self, server: ServerId) -> bool {
        self.balancer.accepts(server)
    }

    /// May an attempt that was started still be written, also where it has waited for its connection?
    pub fn may_write(&self, now: Millis, attempt: AttemptId) -> bool {
        self.balancer.may_write(now, attempt.request, attempt.number)
    }

    /// Entries that changed by another source than discovery: no answer to what was asked of that.
    pub fn list_news(&mut self, now: Millis, entries: Vec<Entry>) {
        self.feed(now, Event::ListNews(entries));
    }

    /// The answer to what was asked of discovery has begun.
    pub fn list_answering(&mut self, now: Millis) {
        self.feed(now, Event::ListAnswering);
    }

    /// Asking failed, or the subscription dropped.
    pub fn list_failed(&mut self, now: Millis, failure: ListFailure) {
        self.feed(now, Event::ListFailed(failure));
    }

    /// When discovery is to be called next, where no call is out and none is needed before.
    pub fn next_call(&self) -> Option<Millis> {
        self.balancer.next_call()
    }

    /// Discovery is elsewhere from now on.
    pub fn discovery_moved(&mut self, now: Millis) {
        self.feed(now, Event::DiscoveryMoved);
    }

    // ---- Inside ----

    /// Hands an event to the module, and notes what it says.
    fn feed(&mut self, now: Millis, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(now, action);
        }
        self.actions = actions;
    }

    fn act(&mut self, now: Millis, action: Action) {
        match action {
            Action::Send { id, server, timeout } => {
                let Some(open) = self.requests.get_mut(&id) else { return };
                let attempt = AttemptId { request: id, number: open.tries.len() };
                open.tries.push(Try { server, sent: now, stage: Stage::Out });
                let end = now + timeout.unwrap_or(LONGEST_ATTEMPT).clamp(0.0, LONGEST_ATTEMPT);
                let payload = open.payload.clone();
                self.outputs.push_back(Output::Start { attempt, server, end, payload });
            }
            Action::Cancel { id, attempt } => {
                let out = |open: &Open<P>| open.tries.get(attempt).is_some_and(|t| t.stage == Stage::Out);
                if self.requests.get(&id).is_some_and(out) {
                    self.outputs.push_back(Output::Abandon(AttemptId { request: id, number: attempt }));
                }
            }
            Action::Explain { id, reason } => {
                self.outputs.push_back(Output::Explain { request: id, reason });
            }
            Action::Refuse { id, stay_away } => {
                self.give(id, Final::Refused { stay_away });
                self.drop_if_over(id);
            }
            Action::Fail(id) => {
                self.give(id, Final::Failed);
                self.drop_if_over(id);
            }
            Action::SetTimer(after) => {
                let due = now + after.max(0.0);
                if self.timer.is_none_or(|timer| due < timer) {
                    self.timer = Some(due);
                }
            }
            Action::Subscribe => self.outputs.push_back(Output::Subscribe),
            Action::Probe(server) => self.outputs.push_back(Output::Probe(server)),
        }
    }

    /// Gives the final answer, if none has been given and one is owed.
    fn give(&mut self, request: RequestId, answer: Final<R>) {
        if self.settle(request) {
            self.outputs.push_back(Output::Answer { request, answer });
            self.recall(request);
        }
    }

    /// Calls back what has not gone out of a request to which nothing is owed any more.
    fn recall(&mut self, request: RequestId) {
        let Some(open) = self.requests.get(&request) else { return };
        let out = open.tries.iter().enumerate().filter(|(_, t)| t.stage == Stage::Out);
        self.outputs.extend(out.map(|(number, _)| Output::Recall(AttemptId { request, number })));
    }

    /// Notes that nothing more is owed; false where that was so before.
    fn settle(&mut self, request: RequestId) -> bool {
        let Some(open) = self.requests.get_mut(&request) else { return false };
        if std::mem::replace(&mut open.answered, true) {
            return false;
        }
        self.ids.remove(&open.id);
        self.guards.remove(&(open.guard, request));
        true
    }

    fn drop_if_over(&mut self, request: RequestId) {
        let over = |open: &Open<P>| open.answered && open.tries.iter().all(|t| t.stage == Stage::Over);
        if self.requests.get(&request).is_some_and(over) {
            self.requests.remove(&request);
        }
    }
}
