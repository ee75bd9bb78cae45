//! The hub owns the core. It passes the core's outputs to fronts, backends and discovery, and their reports
//! back to the core. It calls none of them directly; see [`HubActions`].

mod answers;
mod servers;
mod settings;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use glenwood_core::{AttemptId, AttemptResult, Core, Final, Incoming, Output, Rejection};
use glenwood_list::{MergedList, SavedList, Source, VersionCheck};
use glenwood_operation::budget::Budget;
use glenwood_operation::figures::{End, Shared, Ticket};
use glenwood_operation::places::{Slot, Slots};
use glenwood_policy::{Discovery, Millis, Outcome, RequestId, ServerId, SettingsError};
use glenwood_settings::NodeSettings;
use glenwood_trace::{Answer, Record, TraceEvent};
use tokio::sync::Notify;

use crate::call::{Call, Reply};
use answers::LineBudget;
pub use answers::{AbandonedUpload, TruncatedAnswer, UnansweredClose};
use servers::{LastSeen, Origin};
pub use settings::{Overlay, SettingsChange};

use crate::clock::Clock;
use crate::config::Config;
use crate::inspect::Stage;
use crate::list::{Location, ServerAddress, Servers, Update};
use crate::log;
use crate::operator::Trace;
use crate::usage::Shares;

/// The actions that the hub has others carry out. None of these calls may block.
pub trait HubActions {
    /// Starts an attempt; [`Hub::attempt_ended`] must be called when it ends.
    fn start(&self, attempt: AttemptId, server: ServerId, end: Instant, call: Rc<Call>);
    /// Abandons an attempt, and reports its end before returning.
    fn abandon(&self, attempt: AttemptId);
    /// Was the attempt started, with its last byte not sent yet? Then no server has begun with it.
    fn is_unsent(&self, attempt: AttemptId) -> bool;
    /// Probes a server; [`Hub::probed`] must be called with the result.
    fn probe(&self, server: ServerId);
    /// Discards the connections to a server that moved, restarted or is gone.
    fn discard_connections(&self, server: ServerId);
    /// Subscribes to changes at discovery, in place of the subscription before.
    fn subscribe(&self);
    /// Ends the subscription at discovery.
    fn unsubscribe(&self);
}

/// Callback that takes a request's final answer.
pub type Waiter = Box<dyn FnOnce(Final<Reply>)>;

/// Identifies a request that a front has submitted, so that it can report that the client left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestHandle {
    /// The request is in the core.
    Core(RequestId),
    /// The request is with the gate, under this number.
    Gate(u64),
}

/// Intercepts requests before the core: it may delay a request, or answer it in the core's place.
pub trait Gate {
    /// Takes the request, under a number of its own, or returns it for the core.
    ///
    /// # Errors
    /// Returns the request where the gate does not handle it.
    #[allow(clippy::result_large_err)] // It is the request itself that comes back.
    fn take(&self, incoming: Incoming<Rc<Call>>, waiter: Waiter)
        -> Result<u64, (Incoming<Rc<Call>>, Waiter)>;
    /// The client of a request that it has taken has left.
    fn on_client_gone(&self, number: u64);
    /// An attempt has ended with this outcome.
    fn on_attempt_ended(&self, attempt: AttemptId, outcome: Outcome);
    /// The number of requests that await an answer and that the core does not know of.
    fn awaiting(&self) -> usize;
    /// Fails all of these requests.
    fn fail_all(&self);
}

/// Numbers of final answers so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Served or failed.
    pub answered: u64,
    /// Failed.
    pub failed: u64,
    /// Refused.
    pub refused: u64,
}

/// How a final answer is counted in the metrics.
pub fn metrics_outcome(answer: &Final<Reply>) -> End {
    match trace_answer(answer) {
        Answer::Served => End::Answered,
        Answer::Refused => End::Deferred,
        Answer::Failed => End::Errored,
    }
}

fn trace_answer(answer: &Final<Reply>) -> Answer {
    match answer {
        Final::Served(_) => Answer::Served,
        Final::Refused { .. } => Answer::Refused,
        Final::Failed | Final::DeadlineNear | Final::Rejected => Answer::Failed,
    }
}

/// One node without its sockets.
pub struct Hub {
    /// Its configuration.
    pub config: Config,
    /// Its clock.
    pub clock: Clock,
    /// The metrics for operators.
    pub figures: Shared,
    /// Memory budget for bodies that exceed the share of a connection.
    pub bodies: Budget,
    /// Tenants' usage over all nodes, where it is counted.
    pub usage_shares: Option<Rc<Shares>>,
    /// When the node was told to stop; it is not ready any more from then on.
    pub stopping: Cell<Option<Instant>>,
    /// The addresses for clients are open.
    pub listening: Cell<bool>,
    /// The node is to end and another process takes its new connections: clients are told with their
    /// answers to reconnect.
    pub handed_over: Cell<bool>,
    /// Set shortly before the node ends: connections are closed as soon as they can be.
    pub closing: Cell<bool>,
    /// Set when all open requests are failed: no new ones are taken.
    pub failing_all: Cell<bool>,
    /// The settings in force, with classes and tenants by their slots. The tenants' names are left out, as
    /// `tenants` has them.
    settings: RefCell<Rc<NodeSettings>>,
    classes: RefCell<Slots>,
    tenants: RefCell<Slots>,
    core: RefCell<Core<Rc<Call>, Reply>>,
    waiters: RefCell<HashMap<RequestId, Waiter>>,
    servers: RefCell<Servers>,
    /// Merges the lists of discovery and registrations, where there are both.
    merge: Option<RefCell<MergedList>>,
    /// Checks which list of discovery may follow on which.
    succession: RefCell<VersionCheck>,
    /// The version of the list; `None` requests the complete list.
    version: Cell<Option<u64>>,
    /// A source of the list has answered.
    list_received: Cell<bool>,
    /// The last discovery error that was logged; empty once discovery has answered again.
    last_discovery_error: RefCell<String>,
    /// When each source of the list was last seen.
    list_last_seen: LastSeen,
    /// Since when the list has not been followed, as logged.
    list_lost_since: Cell<Option<Millis>>,
    /// Since when the list has been too old for new requests, as logged.
    list_expired_since: Cell<Option<Millis>>,
    /// How often the list has expired.
    list_expirations: Cell<u64>,
    counts: Cell<Counts>,
    /// Limits the log lines about answers out of turn.
    answer_log_budget: LineBudget,
    actions: OnceCell<Rc<dyn HubActions>>,
    gate: OnceCell<Rc<dyn Gate>>,
    /// Applies changes on top of the settings of a file.
    overlay: OnceCell<Rc<dyn Overlay>>,
    /// Attempts that are over at their servers and not yet reported to the core.
    finished_attempts: RefCell<Vec<AttemptId>>,
    /// The core's outputs are being processed: nested calls return at once, and the loop handles what they
    /// caused.
    processing_outputs: Cell<bool>,
    /// When the timer is due.
    timer_due: Cell<Option<Millis>>,
    timer_changed: Notify,
}

impl Hub {
    /// Creates a node that knows no server yet.
    ///
    /// # Errors
    /// An error where the core refuses the settings.
    pub fn new(mut config: Config, shares: Option<Shares>) -> Result<Rc<Self>, SettingsError> {
        let tenant_names = std::mem::take(&mut config.settings.tenants);
        let mut settings = config.settings.clone();
        if !config.operator.uses_discovery() {
            // No call to discovery is made, so none can go unanswered and the list does not count as lost.
            settings.policy.discovery = Discovery::Pushed;
        }
        let mut core = Core::new(settings.policy.clone(), config.seed, settings.max_open_requests)?;
        core.limit_rotation(config.max_rotation());
        let (mut classes, mut tenants) = (Slots::default(), Slots::default());
        // All are new and take the slots in their order.
        classes.replace_names(&settings.classes);
        tenants.replace_names(&tenant_names);
        shares.iter().for_each(|shares| shares.follow(&tenant_names, &settings));
        let hub = Rc::new(Self {
            clock: Clock::default(),
            figures: Shared::default(),
            bodies: Budget::new(config.max_body_bytes(config.sockets)),
            usage_shares: shares.map(Rc::new),
            stopping: Cell::new(None),
            listening: Cell::new(false),
            handed_over: Cell::new(false),
            closing: Cell::new(false),
            failing_all: Cell::new(false),
            settings: RefCell::new(Rc::new(settings)),
            classes: RefCell::new(classes),
            tenants: RefCell::new(tenants),
            core: RefCell::new(core),
            waiters: RefCell::default(),
            servers: RefCell::new(Servers::new(config.operator.msgpack_servers())),
            merge: config.operator.has_additional_source().then(|| {
                let is_asked = config.operator.uses_discovery();
                let known_list_source = if is_asked { Source::Discovery } else { Source::Registrations };
                RefCell::new(MergedList::new(known_list_source))
            }),
            succession: RefCell::default(),
            version: Cell::new(None),
            list_received: Cell::new(false),
            last_discovery_error: RefCell::default(),
            list_last_seen: LastSeen::default(),
            list_lost_since: Cell::default(),
            list_expired_since: Cell::default(),
            list_expirations: Cell::default(),
            counts: Cell::default(),
            answer_log_budget: LineBudget::default(),
            actions: OnceCell::new(),
            gate: OnceCell::new(),
            overlay: OnceCell::new(),
            finished_attempts: RefCell::default(),
            processing_outputs: Cell::new(false),
            timer_due: Cell::new(None),
            timer_changed: Notify::new(),
            config,
        });
        let names = hub.settings().classes.clone();
        hub.figures.with(|figures| figures.set_classes(names.iter().map(String::as_str)));
        Ok(hub)
    }

    /// Sets who carries out the core's actions, and takes the saved list. To be called once, before
    /// anything else.
    pub fn start(&self, actions: Rc<dyn HubActions>, known: Option<Update>) {
        let _ = self.actions.set(actions);
        let saved = known.unwrap_or(Update { version: 0, is_full: true, hosts: Vec::new() });
        // No server is known yet and no list was taken before, so this one is accepted.
        let _ = self.succession.borrow_mut().accept(&saved, 0);
        self.version.set(Some(saved.version));
        let hosts = match &self.merge {
            Some(merge) => merge.borrow_mut().restore(SavedList::Known, saved.hosts),
            None => saved.hosts,
        };
        let update = Update { version: saved.version, is_full: true, hosts };
        self.apply_merged(Origin::Source(Source::Discovery), update, true);
    }

    /// Sets the gate that gets requests before the core. To be called once.
    pub fn open_gate(&self, gate: Rc<dyn Gate>) {
        let _ = self.gate.set(gate);
    }

    /// Runs the core's timer; never returns.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let due = self.core.borrow().poll_timeout();
            self.timer_due.set(due);
            let Some(due) = due else {
                self.timer_changed.notified().await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(due).into()) => {
                    self.update_core(|core, now| core.handle_timeout(now.max(due)));
                }
                () = self.timer_changed.notified() => {}
            }
        }
    }

    /// Can the node serve? It can once discovery has answered, or at once with a saved list: where most of
    /// a fleet starts at the same time, discovery answers late, and the few other nodes can't carry all
    /// clients meanwhile.
    pub fn ready(&self) -> bool {
        self.stopping.get().is_none() && (self.list_received.get() || !self.servers.borrow().is_empty())
    }

    /// Updates the core, and processes its outputs.
    fn update_core<T>(&self, update: impl FnOnce(&mut Core<Rc<Call>, Reply>, Millis) -> T) -> T {
        let result = update(&mut self.core.borrow_mut(), self.clock.now());
        self.report_finished_attempts();
        self.process_outputs();
        self.note_list_expiry();
        result
    }

    fn report_finished_attempts(&self) {
        loop {
            let Some(attempt) = self.finished_attempts.borrow_mut().pop() else { return };
            self.core.borrow_mut().attempt_finished_at_server(self.clock.now(), attempt);
        }
    }

    /// The rest of an answer has come, or nobody wants it any more. This may be called while the core is
    /// borrowed, as it drops an answer that came too late.
    pub fn answer_finished(&self, attempt: AttemptId) {
        self.finished_attempts.borrow_mut().push(attempt);
        if self.core.try_borrow_mut().is_ok() {
            self.report_finished_attempts();
            self.process_outputs();
        }
    }

    /// Processes the core's outputs until there are none.
    fn process_outputs(&self) {
        let Some(actions) = self.actions.get() else { return };
        if self.processing_outputs.replace(true) {
            return;
        }
        loop {
            let output = self.core.borrow_mut().poll_output();
            let Some(output) = output else { break };
            match output {
                Output::Answer { request, answer } => {
                    self.trace(|_| TraceEvent::Answer { request: request.0, answer: trace_answer(&answer) });
                    self.count(&answer);
                    let waiter = self.waiters.borrow_mut().remove(&request);
                    if let Some(waiter) = waiter {
                        waiter(answer);
                    }
                }
                Output::Explain { request, reason } => {
                    self.trace(|_| TraceEvent::AnswerReason {
                        request: request.0,
                        reason: format!("{reason:?}"),
                    });
                }
                Output::Start { attempt, server, end, payload } => {
                    self.trace(|name| TraceEvent::Send {
                        request: attempt.request.0,
                        attempt: attempt.number,
                        server: name(server),
                    });
                    self.trace_list_age(attempt);
                    actions.start(attempt, server, self.clock.instant(end), payload);
                }
                Output::Abandon(attempt) => actions.abandon(attempt),
                Output::Recall(attempt) if actions.is_unsent(attempt) => actions.abandon(attempt),
                Output::Recall(_) => {}
                Output::Subscribe => {
                    self.trace(|_| TraceEvent::Call);
                    actions.subscribe();
                }
                Output::Probe(server) => {
                    self.trace(|name| TraceEvent::Probe(name(server)));
                    actions.probe(server);
                }
            }
        }
        self.processing_outputs.set(false);
        let due = self.core.borrow().poll_timeout();
        if due.is_some_and(|due| self.timer_due.get().is_none_or(|timer_due| due < timer_due)) {
            self.timer_due.set(due);
            self.timer_changed.notify_one();
        }
    }

    fn count(&self, answer: &Final<Reply>) {
        let mut counts = self.counts.get();
        match answer {
            Final::Served(_) | Final::Rejected => counts.answered += 1,
            Final::Failed | Final::DeadlineNear => {
                counts.answered += 1;
                counts.failed += 1;
            }
            Final::Refused { .. } => counts.refused += 1,
        }
        self.counts.set(counts);
    }

    // ---- Tracing ----

    /// Logs what the node does, where the operator enabled tracing; `event` is only evaluated then. It gets
    /// a function that returns a server's name.
    pub(crate) fn trace(&self, event: impl FnOnce(&dyn Fn(ServerId) -> String) -> TraceEvent) {
        let trace = self.config.operator.trace;
        if !trace.is_on() {
            return;
        }
        let name = |server: ServerId| self.server_name(server);
        // The time is derived from the monotonic clock, so that a step of the wall clock does not break a
        // timeline.
        let at = self.clock.unix_ms();
        let record = Record { at, event: event(&name) };
        log::write_line(if trace == Trace::Json { record.to_json() } else { record.to_string() });
    }

    /// A server's name in the list, or its number in hex.
    fn server_name(&self, server: ServerId) -> String {
        let servers = self.servers.borrow();
        servers.name(server).map_or_else(|| format!("{:016x}", server.0), str::to_string)
    }

    fn trace_end(&self, attempt: AttemptId, outcome: Outcome) {
        if !self.config.operator.trace.is_on() {
            return;
        }
        let Some((server, sent)) = self.core.borrow().pending_attempt(attempt) else { return };
        self.trace(|name| TraceEvent::End {
            request: attempt.request.0,
            attempt: attempt.number,
            server: name(server),
            outcome: format!("{outcome:?}"),
            duration_ms: self.clock.now() - sent,
        });
    }

    /// A connection to a server is being opened.
    pub fn connecting(&self, server: ServerId) {
        self.trace(|name| TraceEvent::Connect(name(server)));
    }

    /// A connection to a server has been established; `local` returns the node's own address of it.
    pub fn connected(&self, server: ServerId, local: impl FnOnce() -> String) {
        self.trace(|name| TraceEvent::Connected { server: name(server), local: local() });
    }

    // ---- Metrics ----

    /// Counts a request of this class that was read; it counts as open until its ticket is returned.
    pub fn issue_ticket(&self, class: &Slot) -> Ticket {
        self.figures.take(&class.name)
    }

    /// Updates the metrics that are not counted as events happen.
    pub fn update_figures(&self) {
        // With a second source there are servers that its list allows.
        let can_send = self.list_expired_since.get().is_none() || self.merge.is_some();
        let ready = self.ready() && self.listening.get() && can_send;
        let listed = self.listed_servers() as u64;
        let saved = self.merge.as_ref().map_or(0, |merge| merge.borrow().saved_count()) as u64;
        let (avoided, send_counts, list_status) = {
            let core = self.core.borrow();
            (core.ejected_count() as u64, core.doubtful_sends(), core.list_status())
        };
        self.figures.with(|f| {
            (f.ready, f.listed, f.listed_saved, f.avoided) = (ready, listed, saved, avoided);
            (f.stale_sends, f.refused_sends) = (send_counts.stale, send_counts.refused);
            f.unreachable_calls = list_status.unreachable_calls;
            f.overloaded_calls = list_status.overloaded_calls;
            f.list_expirations = self.list_expirations.get();
        });
    }

    /// Begins to stop the node.
    pub fn stop(&self) {
        self.stopping.set(Some(Instant::now()));
        self.update_figures();
    }

    // ---- Inspection ----

    /// Numbers of final answers so far.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// The node's stage.
    pub fn stage(&self) -> Stage {
        match (self.stopping.get(), self.ready()) {
            (Some(_), _) => Stage::Stopping,
            (None, true) => Stage::Ready,
            (None, false) => Stage::Starting,
        }
    }

    /// The number of listed servers.
    pub fn listed_servers(&self) -> usize {
        self.servers.borrow().len()
    }

    /// How long ago any source of the list was last seen; `None` before that.
    pub fn list_age(&self) -> Option<Duration> {
        let latest = self.list_last_seen.latest()?;
        Some(Duration::from_secs_f64((self.clock.now() - latest).max(0.0) / 1000.0))
    }

    // ---- Fronts ----

    /// Takes a request; `waiter` gets its one final answer, unless [`Hub::client_left`] is called first.
    ///
    /// # Errors
    /// The reason why it was not taken; `waiter` is not called then.
    pub fn submit(
        &self,
        incoming: Incoming<Rc<Call>>,
        waiter: impl FnOnce(Final<Reply>) + 'static,
    ) -> Result<RequestHandle, Rejection> {
        let Some(gate) = self.gate.get() else {
            return self.submit_to_core(incoming, Box::new(waiter)).map(RequestHandle::Core);
        };
        match gate.take(incoming, Box::new(waiter)) {
            Ok(number) => Ok(RequestHandle::Gate(number)),
            Err((incoming, waiter)) => self.submit_to_core(incoming, waiter).map(RequestHandle::Core),
        }
    }

    /// The client left: its request needs no answer any more.
    pub fn client_left(&self, request: RequestHandle) {
        match request {
            RequestHandle::Core(id) => self.client_gone(id),
            RequestHandle::Gate(number) => {
                self.gate.get().into_iter().for_each(|gate| gate.on_client_gone(number))
            }
        }
    }

    /// Submits a request to the core; `waiter` gets its one final answer, unless [`Hub::client_gone`] is
    /// called first.
    ///
    /// # Errors
    /// The reason why it was not taken; `waiter` is not called then.
    pub fn submit_to_core(
        &self,
        incoming: Incoming<Rc<Call>>,
        waiter: Waiter,
    ) -> Result<RequestId, Rejection> {
        let (class, tenant) = (incoming.class, incoming.tenant);
        let payload = self.config.operator.trace.is_on().then(|| incoming.payload.clone());
        let allowed_by_share = || self.usage_shares.as_ref()?.count_request(tenant?);
        let id = self.core.borrow_mut().accept_with_usage(self.clock.now(), incoming, allowed_by_share)?;
        self.trace(|_| TraceEvent::Accept { request: id.0, class });
        if let Some(call) = payload {
            self.trace(|_| TraceEvent::RequestId { request: id.0, id: call.id.as_str().to_string() });
        }
        self.waiters.borrow_mut().insert(id, waiter);
        self.process_outputs();
        Ok(id)
    }

    /// The client left: its request needs no answer any more.
    pub fn client_gone(&self, id: RequestId) {
        self.waiters.borrow_mut().remove(&id);
        self.update_core(|core, now| core.client_disconnected(now, id));
    }

    /// The last client of a request left, but the result of what was sent is still wanted: no further attempt
    /// begins.
    pub fn client_detached(&self, id: RequestId) {
        self.update_core(|core, now| core.client_detached(now, id));
    }

    /// A client waits again for a request whose last client had left.
    pub fn client_attached(&self, id: RequestId) {
        self.update_core(|core, now| core.client_attached(now, id));
    }

    /// The number of requests that await their final answer.
    pub fn awaiting(&self) -> usize {
        self.core.borrow().awaiting_count() + self.gate.get().map_or(0, |gate| gate.awaiting())
    }

    /// Fails all open requests: the node ends, and an answer is better than a connection reset.
    pub fn fail_all(&self) {
        self.failing_all.set(true);
        self.update_core(|core, now| core.fail_open_requests(now));
        self.gate.get().into_iter().for_each(|gate| gate.fail_all());
    }

    /// The time that the client of a refused request of this class should stay away, for a request that the
    /// core does not get to see.
    pub fn retry_after(&self, class: usize) -> Millis {
        self.core.borrow().retry_after(class)
    }

    // ---- Backends ----

    /// An attempt has ended.
    pub fn attempt_ended(&self, attempt: AttemptId, ended: AttemptResult<Reply>) {
        let outcome = match &ended {
            AttemptResult::Served(_) | AttemptResult::Streaming(_) => Outcome::Done,
            AttemptResult::NoResponse(outcome) | AttemptResult::RunsOn(outcome) => *outcome,
        };
        self.trace_end(attempt, outcome);
        self.gate.get().into_iter().for_each(|gate| gate.on_attempt_ended(attempt, outcome));
        if self.merge.is_some() {
            let server = self.core.borrow().pending_attempt(attempt).map(|(server, _)| server);
            let now = self.clock.now();
            server
                .into_iter()
                .for_each(|server| self.servers.borrow_mut().record_outcome(server, now, outcome));
        }
        self.update_core(|core, now| core.attempt_ended(now, attempt, ended));
    }

    /// The body of a request is being read from its client, and can't be sent again.
    pub fn body_taken(&self, request: RequestId) {
        self.update_core(|core, now| core.body_consumed(now, request));
    }

    /// The last byte of a request with a streamed body was sent; its client may have written it at
    /// `last_byte_at`.
    pub fn body_sent(&self, request: RequestId, last_byte_at: Instant) {
        let last_byte_at = self.clock.millis_at(last_byte_at);
        self.update_core(|core, now| core.body_sent(now, request, last_byte_at));
    }

    /// A server has finished an attempt that had run on after its end here.
    pub fn attempt_left(&self, attempt: AttemptId) {
        self.update_core(|core, now| core.attempt_finished_at_server(now, attempt));
    }

    /// A probe has ended.
    pub fn probed(&self, server: ServerId, outcome: Outcome, took: Duration) {
        self.trace(|name| TraceEvent::ProbeEnded { server: name(server), outcome: format!("{outcome:?}") });
        self.update_core(|core, now| core.probed(now, server, outcome, took.as_secs_f64() * 1000.0));
    }

    /// A server has answered on a connection that was opened at `opened`.
    pub fn connection_answered(&self, server: ServerId, opened: Instant) {
        let opened = self.clock.millis_at(opened);
        self.update_core(|core, now| core.connection_answered(now, server, opened));
    }

    /// Where a server stands.
    pub fn location(&self, server: ServerId) -> Location {
        self.servers.borrow().location(server)
    }

    /// A server's address and incarnation, if it is listed as up.
    pub fn server_address(&self, server: ServerId) -> Option<ServerAddress> {
        self.servers.borrow().server_address(server)
    }

    /// Is a server in use, that is not ejected for its own answers?
    pub fn is_in_use(&self, server: ServerId) -> bool {
        !self.core.borrow().is_ejected(server)
    }

    /// May a request be sent to this incarnation of a server now? It may have begun to drain while the
    /// request waited for a connection.
    pub fn may_send_to(&self, server: ServerId, server_address: ServerAddress) -> bool {
        self.server_address(server) == Some(server_address)
            && self.core.borrow().accepts_new_attempts(self.clock.now(), server)
    }

    /// May an attempt that was started still be written? A keyed request may be repeated only for as long
    /// as servers remember its key.
    pub fn may_write(&self, attempt: AttemptId) -> bool {
        self.core.borrow().may_write(self.clock.now(), attempt)
    }
}
