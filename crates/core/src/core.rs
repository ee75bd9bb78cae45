//! The table of open requests and the state machine of each.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

use glenwood_policy::{
    Action, Balancer, DoubtfulSends, Effect, Entry, Event, ListFailure, ListStatus, Millis, Outcome,
    PriorAttempt, Reason, RequestId, RotationStatus, ServerId, Settings, SettingsError, TenantChange,
};

use crate::incoming::{Incoming, Token, ANSWER_MARGIN, GUARD_MARGIN};

/// Maximum duration of an attempt, one day: longer than any deadline, and still representable by the clocks
/// of the backends.
const MAX_ATTEMPT_DURATION: Millis = 86_400_000.0;
/// Timers due within this time count as due, as rounding in another unit of time may shorten a wait slightly.
const TIMER_SLACK: Millis = 0.01;

/// The single final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Final<R> {
    /// The response of a server.
    Served(R),
    /// Refused: the request had no effect and may be sent again after `retry_after` (0: no advice).
    Refused {
        /// Time to wait before the request is sent again.
        retry_after: Millis,
    },
    /// Failed; the request may have run.
    Failed,
    /// Failed because the deadline was near and the decision module had not answered; the request may have
    /// run.
    DeadlineNear,
    /// A server rejected the request itself as invalid.
    Rejected,
}

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The index of the attempt within its request, from 0.
    pub number: usize,
}

/// How an attempt ended, as reported by its backend.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptResult<R> {
    /// The server sent its complete response.
    Served(R),
    /// The response has begun and its body is still streaming: the attempt occupies a slot at the server
    /// until [`Core::attempt_finished_at_server`].
    Streaming(R),
    /// No response that can be returned to the client. [`Outcome::Done`] is invalid here and is treated as an
    /// error.
    NoResponse(Outcome),
    /// The attempt was given up, but the server cannot be notified and keeps working: the attempt occupies a
    /// slot there until [`Core::attempt_finished_at_server`].
    RunsOn(Outcome),
}

/// An action to be carried out by the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Output<P, R> {
    /// Return the final answer to the front. Emitted exactly once for each accepted request, unless its
    /// client disconnects first.
    Answer {
        /// The request.
        request: RequestId,
        /// Its answer.
        answer: Final<R>,
    },
    /// The reason why the answer that follows is a refusal or a failure.
    Explain {
        /// The request.
        request: RequestId,
        /// Why the request is not served.
        reason: Reason,
    },
    /// Start an attempt. The backend must report exactly one [`AttemptResult`] for it.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// The server to send it to.
        server: ServerId,
        /// When to give the attempt up.
        end: Millis,
        /// What to send.
        payload: P,
    },
    /// Give an attempt up and report its end immediately.
    Abandon(AttemptId),
    /// The result of an attempt is no longer needed: drop the attempt if its last byte has not been sent,
    /// even where attempts may not be cancelled. The server has not begun it, and must not begin it after the
    /// client has disconnected or has its answer.
    Recall(AttemptId),
    /// Subscribe to changes of the server list, again if there was a subscription before.
    Subscribe,
    /// Probe a server and report the result with [`Core::probed`].
    Probe(ServerId),
}

/// Why a request was not accepted. Nothing was sent for it, and the core will emit no answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// A request with the same id is open; sending this one could execute that request twice.
    DuplicateId,
    /// The maximum number of open requests is reached.
    TooManyOpen {
        /// Time to wait before the request is sent again, as computed by the decision module.
        retry_after: Millis,
    },
    /// The settings have no such class.
    UnknownClass,
    /// The class is keyed and the request has no key.
    KeyMissing,
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The attempt has been started and its outcome is not known.
    Pending,
    /// The outcome is known, but the server still works on the attempt.
    RunsOn,
    /// The attempt has ended and occupies nothing.
    Finished,
}

struct Attempt {
    server: ServerId,
    sent: Millis,
    stage: Stage,
}

/// A request that awaits its answer or still has attempts in progress.
struct OpenRequest<P> {
    id: Token,
    /// What attempts send; `None` once the request is answered, as no further attempt begins then.
    payload: Option<P>,
    /// The final answer has been given, or the client has disconnected.
    answered: bool,
    guard: Timestamp,
    /// How long the client waits after the last byte of its request, while that byte has not arrived.
    wait_after_body: Option<Millis>,
    /// When the last byte of the request arrived, or when the request was accepted if it was complete then.
    completed_at: Millis,
    attempts: Vec<Attempt>,
}

/// A sortable point in time, in whole microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timestamp(i64);

impl Timestamp {
    fn at(time: Millis) -> Self {
        // Out-of-range times saturate; no clock reaches them.
        Self((time * 1000.0).ceil() as i64)
    }

    fn time(self) -> Millis {
        self.0 as f64 / 1000.0
    }
}

/// All open requests of a node, and the decision module that balances them.
pub struct Core<P, R> {
    balancer: Balancer,
    effects: Vec<Effect>,
    max_open: usize,
    requests: HashMap<RequestId, OpenRequest<P>>,
    /// The client-chosen ids of the requests that await their answer.
    ids: HashSet<Token>,
    last_id: u64,
    /// For each request that awaits its answer, when the core answers in place of the decision module.
    guards: BTreeSet<(Timestamp, RequestId)>,
    /// The time of the wake-up that the decision module has asked for.
    timer: Option<Millis>,
    actions: Vec<Action>,
    outputs: VecDeque<Output<P, R>>,
}

impl<P: Clone, R> Core<P, R> {
    /// Creates a node's core without servers. `seed` initializes the decision module's random numbers;
    /// `max_open` is the maximum number of open requests.
    ///
    /// # Errors
    /// When the decision module rejects the settings.
    pub fn new(settings: Settings, seed: u64, max_open: usize) -> Result<Self, SettingsError> {
        let effects = settings.classes.iter().map(|c| c.effect).collect();
        Ok(Self {
            balancer: Balancer::new(settings, seed)?,
            effects,
            max_open,
            requests: HashMap::new(),
            ids: HashSet::new(),
            last_id: 0,
            guards: BTreeSet::new(),
            timer: None,
            actions: Vec::new(),
            outputs: VecDeque::new(),
        })
    }

    // ---- Driver interface ----

    /// Returns the next output in order, or `None` until another event is handled.
    pub fn poll_output(&mut self) -> Option<Output<P, R>> {
        self.outputs.pop_front()
    }

    /// Returns when [`Core::handle_timeout`] must be called, or `None` if no timer is set.
    pub fn poll_timeout(&self) -> Option<Millis> {
        let guard = self.guards.first().map(|(due, _)| due.time());
        match (self.timer, guard) {
            (Some(timer), Some(guard)) => Some(timer.min(guard)),
            (timer, guard) => timer.or(guard),
        }
    }

    /// Runs the timers that are due by `now`.
    pub fn handle_timeout(&mut self, now: Millis) {
        if self.timer.is_some_and(|due| due <= now + TIMER_SLACK) {
            self.timer = None;
            self.feed(now, Event::Timer);
        }
        while let Some((due, request)) = self.guards.first().copied() {
            if due.time() > now + TIMER_SLACK {
                break;
            }
            // Whatever the state of the module's timers and attempts, the client does not wait longer than
            // this.
            self.emit_answer(request, Final::DeadlineNear);
            self.feed(now, Event::ClientGone(request));
            self.remove_if_finished(request);
        }
    }

    /// Number of requests that await their final answer.
    pub fn awaiting_count(&self) -> usize {
        self.ids.len()
    }

    /// Number of listed servers that the decision module currently avoids.
    pub fn ejected_count(&self) -> usize {
        self.balancer.ejected_count()
    }

    /// Number of open requests: those that await their answer and those whose attempts still occupy a slot at
    /// a server.
    pub fn open_count(&self) -> usize {
        self.requests.len()
    }

    /// Replaces the settings; see [`Event::Settings`].
    ///
    /// # Errors
    /// When the decision module rejects the new settings; nothing changes then.
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

    /// Applies changes to some tenants, leaving all other settings as they are; see [`Event::Tenants`].
    pub fn change_tenants(&mut self, now: Millis, changes: Vec<TenantChange>) {
        self.feed(now, Event::Tenants(changes));
    }

    /// Fails all requests that await an answer and cancels their attempts. Used at shutdown, where an answer
    /// is better for clients than a connection reset.
    pub fn fail_open_requests(&mut self, now: Millis) {
        let mut open: Vec<RequestId> = self.requests.keys().copied().collect();
        open.sort_unstable();
        for request in open {
            self.emit_answer(request, Final::Failed);
            self.feed(now, Event::ClientGone(request));
            self.remove_if_finished(request);
        }
    }

    // ---- Front interface ----

    /// Accepts a request. Exactly one final answer follows, unless [`Core::client_disconnected`] is called
    /// first.
    ///
    /// # Errors
    /// Returns why the request was not accepted; the front then answers it.
    pub fn accept(&mut self, now: Millis, incoming: Incoming<P>) -> Result<RequestId, Rejection> {
        self.accept_with_usage(now, incoming, || None)
    }

    /// Like [`Core::accept`], for a tenant whose usage is counted over all nodes: `count_usage` counts the
    /// request and returns whether the tenant is within its share. It is called once per accepted request
    /// that is not a client's repeat.
    ///
    /// # Errors
    /// Returns why the request was not accepted; the front then answers it.
    pub fn accept_with_usage(
        &mut self,
        now: Millis,
        incoming: Incoming<P>,
        count_usage: impl FnOnce() -> Option<bool>,
    ) -> Result<RequestId, Rejection> {
        let class = incoming.class;
        let effect = self.effects.get(class).ok_or(Rejection::UnknownClass)?;
        if matches!(effect, Effect::Keyed { .. }) && incoming.key.is_none() {
            return Err(Rejection::KeyMissing);
        }
        if self.requests.len() >= self.max_open {
            return Err(Rejection::TooManyOpen { retry_after: self.retry_after(class) });
        }
        if !self.ids.insert(incoming.id.clone()) {
            return Err(Rejection::DuplicateId);
        }
        self.last_id += 1;
        let request = RequestId(self.last_id);
        let (tenant, deadline) = (incoming.tenant, incoming.before_deadline(ANSWER_MARGIN));
        let (repeat_key, work) = (incoming.repeat_key, incoming.work);
        let wait_after_body = incoming.body_pending.then_some(incoming.deadline - incoming.began);
        let guard = if incoming.body_pending {
            // Until the last byte arrives, the front detects a body that has stalled.
            Timestamp::at(now + MAX_ATTEMPT_DURATION)
        } else {
            Timestamp::at(incoming.before_deadline(GUARD_MARGIN))
        };
        self.guards.insert((guard, request));
        // No result of these attempts is awaited here.
        let finished_attempt =
            |e: &PriorAttempt| Attempt { server: e.server, sent: e.sent, stage: Stage::Finished };
        let open = OpenRequest {
            id: incoming.id,
            payload: Some(incoming.payload),
            answered: false,
            guard,
            wait_after_body,
            completed_at: now,
            attempts: incoming.prior_attempts.iter().flatten().map(finished_attempt).collect(),
        };
        self.requests.insert(request, open);
        let in_share = if self.balancer.is_repeat(now, repeat_key) { None } else { count_usage() };
        let prior_attempts = incoming.prior_attempts;
        self.feed(
            now,
            Event::Request {
                id: request,
                class,
                tenant,
                deadline,
                repeat_key,
                work,
                in_share,
                prior_attempts,
            },
        );
        Ok(request)
    }

    /// Advice of the decision module on how long a client should wait before it sends a request of this class
    /// again, for requests that are refused without passing through the module.
    pub fn retry_after(&self, class: usize) -> Millis {
        self.balancer.retry_after(class)
    }

    /// The client has disconnected, so the request needs no answer.
    pub fn client_disconnected(&mut self, now: Millis, request: RequestId) {
        if !self.requests.contains_key(&request) {
            return;
        }
        if self.mark_answered(request) {
            self.recall_pending(request);
        }
        self.feed(now, Event::ClientGone(request));
        self.remove_if_finished(request);
    }

    /// The last client has disconnected, but the result of what has been sent is still wanted: whatever has
    /// not been sent is dropped, no further attempt begins, and the final answer follows as for any other
    /// request.
    pub fn client_detached(&mut self, now: Millis, request: RequestId) {
        if !self.requests.contains_key(&request) {
            return;
        }
        self.recall_pending(request);
        self.feed(now, Event::ClientDetached(request));
    }

    /// A client waits again for a request whose last client had disconnected.
    pub fn client_attached(&mut self, now: Millis, request: RequestId) {
        if self.requests.contains_key(&request) {
            self.feed(now, Event::ClientAttached(request));
        }
    }

    // ---- Backend interface ----

    /// Returns the server of an attempt and when the attempt was sent, while its end is awaited.
    pub fn pending_attempt(&self, attempt: AttemptId) -> Option<(ServerId, Millis)> {
        let record = self.requests.get(&attempt.request)?.attempts.get(attempt.number)?;
        (record.stage == Stage::Pending).then_some((record.server, record.sent))
    }

    /// Records the end of an attempt. Only the first report for each attempt counts.
    pub fn attempt_ended(&mut self, now: Millis, attempt: AttemptId, ended: AttemptResult<R>) {
        let AttemptId { request, number } = attempt;
        let Some(open) = self.requests.get_mut(&request) else { return };
        let Some(record) = open.attempts.get_mut(number).filter(|t| t.stage == Stage::Pending) else {
            return;
        };
        // A server begins a request when its last byte arrives.
        let (server, duration) = (record.server, now - record.sent.max(open.completed_at));
        let runs_on = matches!(ended, AttemptResult::RunsOn(_) | AttemptResult::Streaming(_));
        record.stage = if runs_on { Stage::RunsOn } else { Stage::Finished };
        let outcome = match ended {
            AttemptResult::Served(reply) | AttemptResult::Streaming(reply) => {
                self.emit_answer(request, Final::Served(reply));
                Outcome::Done
            }
            // `Done` without a response cannot be a success.
            AttemptResult::NoResponse(Outcome::Done) | AttemptResult::RunsOn(Outcome::Done) => Outcome::Error,
            AttemptResult::NoResponse(outcome) | AttemptResult::RunsOn(outcome) => outcome,
        };
        if outcome == Outcome::Rejected {
            self.emit_answer(request, Final::Rejected);
        }
        let finished = self.requests.get(&request).is_none_or(|open| open.answered);
        if runs_on {
            // Reported first, so that handling `Ended` does not reuse the slot that the attempt still
            // occupies.
            self.feed(now, Event::AttemptRunsOn { id: request, attempt: number, server });
        }
        self.feed(now, Event::Ended { id: request, attempt: number, server, outcome, duration, finished });
        self.remove_if_finished(request);
    }

    /// The body of a request is being consumed from its client, so the request cannot be sent again.
    pub fn body_consumed(&mut self, now: Millis, request: RequestId) {
        self.feed(now, Event::BodySent(request));
    }

    /// The last byte of a streamed body has been forwarded; the client's time counts from `last_byte_at`, when
    /// it may have written that byte.
    pub fn body_sent(&mut self, now: Millis, request: RequestId, last_byte_at: Millis) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        let Some(wait) = open.wait_after_body.take() else { return };
        open.completed_at = now;
        if !open.answered {
            self.guards.remove(&(open.guard, request));
            open.guard = Timestamp::at(last_byte_at + wait - GUARD_MARGIN.min(wait / 2.0));
            self.guards.insert((open.guard, request));
        }
    }

    /// The server has finished, or lost, an attempt that ended as [`AttemptResult::RunsOn`] or
    /// [`AttemptResult::Streaming`].
    pub fn attempt_finished_at_server(&mut self, now: Millis, attempt: AttemptId) {
        let AttemptId { request, number } = attempt;
        let Some(open) = self.requests.get_mut(&request) else { return };
        let Some(record) = open.attempts.get_mut(number).filter(|t| t.stage == Stage::RunsOn) else { return };
        record.stage = Stage::Finished;
        let server = record.server;
        self.feed(now, Event::AttemptFinishedAtServer { id: request, attempt: number, server });
        self.remove_if_finished(request);
    }

    /// Records the result of a probe.
    pub fn probed(&mut self, now: Millis, server: ServerId, outcome: Outcome, duration: Millis) {
        self.feed(now, Event::Probed { server, outcome, duration });
    }

    /// Whether the list of servers is currently not being followed.
    pub fn has_lost_list(&self) -> bool {
        self.balancer.has_lost_list()
    }

    /// How far the decision module trusts the servers that are listed as up.
    pub fn rotation_status(&self) -> RotationStatus {
        self.balancer.rotation_status()
    }

    /// A server has answered on a connection that was opened at `opened_at`.
    pub fn connection_answered(&mut self, now: Millis, server: ServerId, opened_at: Millis) {
        if self.balancer.has_lost_list() {
            self.feed(now, Event::ConnectionAnswered { server, opened_at });
        }
    }

    // ---- Discovery interface ----

    /// Handles a complete list; `saved` is set for a list stored before the node's start.
    pub fn handle_list(&mut self, now: Millis, entries: Vec<Entry>, saved: bool) {
        self.feed(now, Event::List { entries, saved });
    }

    /// Handles changed entries of the list; an empty change confirms that the subscription is active.
    pub fn list_changed(&mut self, now: Millis, entries: Vec<Entry>) {
        self.feed(now, Event::ListChange(entries));
    }

    /// Limits the rotation to `max_servers` servers, if the node's subset of the list is no larger; applies
    /// from the next list on.
    pub fn limit_rotation(&mut self, max_servers: usize) {
        self.balancer.limit_rotation(max_servers);
    }

    /// Whether a server is ejected because of its observed behaviour.
    pub fn is_ejected(&self, server: ServerId) -> bool {
        self.balancer.is_ejected(server)
    }

    /// Numbers of attempts that were started despite what is known of their servers.
    pub fn doubtful_sends(&self) -> DoubtfulSends {
        self.balancer.doubtful_sends()
    }

    /// Whether new attempts may be sent to a server listed as up, including attempts that have waited for a
    /// connection.
    pub fn accepts_new_attempts(&self, now: Millis, server: ServerId) -> bool {
        self.balancer.accepts_new_attempts(now, server)
    }

    /// Whether a started attempt may still be written, including one that has waited for its connection.
    pub fn may_write(&self, now: Millis, attempt: AttemptId) -> bool {
        self.balancer.may_write(now, attempt.request, attempt.number)
    }

    /// Handles changed entries from another source than discovery; they do not answer a call to discovery.
    pub fn list_changed_elsewhere(&mut self, now: Millis, entries: Vec<Entry>) {
        self.feed(now, Event::ListChangeElsewhere(entries));
    }

    /// Discovery has begun to answer the current call.
    pub fn list_answer_started(&mut self, now: Millis) {
        self.feed(now, Event::ListAnswerStarted);
    }

    /// The subscription has reported that nothing has changed.
    pub fn list_heartbeat(&mut self, now: Millis) {
        self.feed(now, Event::ListHeartbeat);
    }

    /// Whether the last known list is too old for new requests.
    pub fn has_list_expired(&self, now: Millis) -> bool {
        self.balancer.has_list_expired(now)
    }

    /// How old the last known list is, and how the calls to discovery have ended.
    pub fn list_status(&self) -> ListStatus {
        self.balancer.list_status()
    }

    /// The call to discovery failed, or the subscription was lost.
    pub fn list_failed(&mut self, now: Millis, failure: ListFailure) {
        self.feed(now, Event::ListFailed(failure));
    }

    /// When discovery is to be called next, if no call is in progress and none is needed before.
    pub fn next_call(&self) -> Option<Millis> {
        self.balancer.next_call()
    }

    /// The address of discovery has changed.
    pub fn discovery_moved(&mut self, now: Millis) {
        self.feed(now, Event::DiscoveryMoved);
    }

    // ---- Internals ----

    /// Passes an event to the decision module and carries out its actions.
    fn feed(&mut self, now: Millis, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(now, action);
        }
        self.actions = actions;
    }

    fn apply_action(&mut self, now: Millis, action: Action) {
        match action {
            Action::Send { id, server, timeout } => {
                let Some(open) = self.requests.get_mut(&id) else { return };
                let Some(payload) = open.payload.clone() else { return };
                let attempt = AttemptId { request: id, number: open.attempts.len() };
                open.attempts.push(Attempt { server, sent: now, stage: Stage::Pending });
                let end = now + timeout.unwrap_or(MAX_ATTEMPT_DURATION).clamp(0.0, MAX_ATTEMPT_DURATION);
                self.outputs.push_back(Output::Start { attempt, server, end, payload });
            }
            Action::Cancel { id, attempt } => {
                let out = |open: &OpenRequest<P>| {
                    open.attempts.get(attempt).is_some_and(|t| t.stage == Stage::Pending)
                };
                if self.requests.get(&id).is_some_and(out) {
                    self.outputs.push_back(Output::Abandon(AttemptId { request: id, number: attempt }));
                }
            }
            Action::Explain { id, reason } => {
                self.outputs.push_back(Output::Explain { request: id, reason });
            }
            Action::Refuse { id, retry_after } => {
                self.emit_answer(id, Final::Refused { retry_after });
                self.remove_if_finished(id);
            }
            Action::Fail(id) => {
                self.emit_answer(id, Final::Failed);
                self.remove_if_finished(id);
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

    /// Emits the final answer, unless the request has been answered or its client has disconnected.
    fn emit_answer(&mut self, request: RequestId, answer: Final<R>) {
        if self.mark_answered(request) {
            self.outputs.push_back(Output::Answer { request, answer });
            self.recall_pending(request);
        }
    }

    /// Emits `Recall` for all pending attempts of a request that needs no further answer.
    fn recall_pending(&mut self, request: RequestId) {
        let Some(open) = self.requests.get(&request) else { return };
        let out = open.attempts.iter().enumerate().filter(|(_, t)| t.stage == Stage::Pending);
        self.outputs.extend(out.map(|(number, _)| Output::Recall(AttemptId { request, number })));
    }

    /// Marks a request as answered; returns false if it already was or does not exist.
    fn mark_answered(&mut self, request: RequestId) -> bool {
        let Some(open) = self.requests.get_mut(&request) else { return false };
        if std::mem::replace(&mut open.answered, true) {
            return false;
        }
        // A response may be streamed for long, and the request may hold megabytes.
        open.payload = None;
        self.ids.remove(&open.id);
        self.guards.remove(&(open.guard, request));
        true
    }

    fn remove_if_finished(&mut self, request: RequestId) {
        let is_finished =
            |open: &OpenRequest<P>| open.answered && open.attempts.iter().all(|t| t.stage == Stage::Finished);
        if self.requests.get(&request).is_some_and(is_finished) {
            self.requests.remove(&request);
        }
    }
}
