//! The owner of the core: it moves the core's outputs to fronts, backends and discovery, and their reports back. It
//! knows none of them by name; see [`Outside`].

mod answers;
mod servers;
mod settings;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use glenwood_core::{AttemptId, Core, Ended, Final, Incoming, NotTaken, Output};
use glenwood_list::{Merge, Source, Succession};
use glenwood_operation::budget::Budget;
use glenwood_operation::figures::{End, Shared, Ticket};
use glenwood_operation::places::{Place as Seat, Places};
use glenwood_policy::{Discovery, Millis, Outcome, RequestId, ServerId, SettingsError};
use glenwood_settings::NodeSettings;
use glenwood_trace::{Answer, Doing, Record};
use tokio::sync::Notify;

use crate::call::{Call, Reply};
use answers::LineBudget;
use servers::LastHeard;
pub use settings::{Overlay, SettingsChange};

use crate::clock::Clock;
use crate::config::Config;
use crate::inspect::Stage;
use crate::list::{Place, Servers, Update};
use crate::log;
use crate::operator::Trace;
use crate::usage::Shares;

/// What the hub makes others do. None of these may wait.
pub trait Outside {
    /// Starts an attempt; [`Hub::attempt_ended`] is owed for it.
    fn start(&self, attempt: AttemptId, server: ServerId, end: Instant, call: Rc<Call>);
    /// Gives an attempt up, and reports its end before it returns.
    fn abandon(&self, attempt: AttemptId);
    /// Is it out, with its last byte still here? Then no server has begun with it.
    fn unsent(&self, attempt: AttemptId) -> bool;
    /// Probes a server; [`Hub::probed`] is owed for it.
    fn probe(&self, server: ServerId);
    /// Connections to a server are of no more use: it moved, restarted or is gone.
    fn forget(&self, server: ServerId);
    /// Asks discovery for changes from now on, in place of what was asked before.
    fn subscribe(&self);
    /// Ends what was asked of discovery.
    fn unsubscribe(&self);
}

/// Where a final answer goes.
pub type Waiter = Box<dyn FnOnce(Final<Reply>)>;

/// What a front has asked, to say that its client left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Asked {
    /// The core has it.
    Core(RequestId),
    /// The gate has it, under this number.
    Gate(u64),
}

/// Whoever is asked before the core: it may keep a request for a while, or answer it in the core's place.
pub trait Gate {
    /// Takes the request, under a number of its own, or gives it back for the core.
    ///
    /// # Errors
    /// Where it is none of its business.
    #[allow(clippy::result_large_err)] // It is the request itself that comes back.
    fn take(&self, incoming: Incoming<Rc<Call>>, waiter: Waiter)
        -> Result<u64, (Incoming<Rc<Call>>, Waiter)>;
    /// The client of what it has taken left.
    fn on_client_gone(&self, number: u64);
    /// An attempt has ended so.
    fn on_attempt_ended(&self, attempt: AttemptId, outcome: Outcome);
    /// How many await an answer that the core does not know of.
    fn awaiting(&self) -> usize;
    /// Fails all of these.
    fn fail_all(&self);
}

/// Final answers so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Served or failed.
    pub answered: u64,
    /// Failed.
    pub failed: u64,
    /// Refused.
    pub refused: u64,
}

/// How a final answer counts for operators.
pub fn end_of(answer: &Final<Reply>) -> End {
    match word(answer) {
        Answer::Served => End::Answered,
        Answer::Refused => End::Deferred,
        Answer::Failed => End::Errored,
    }
}

fn word(answer: &Final<Reply>) -> Answer {
    match answer {
        Final::Served(_) => Answer::Served,
        Final::Refused { .. } => Answer::Refused,
        Final::Failed | Final::Overdue | Final::Rejected => Answer::Failed,
    }
}

/// One node, but for its sockets.
pub struct Hub {
    /// Its configuration.
    pub config: Config,
    /// Its clock.
    pub clock: Clock,
    /// What operators see of it.
    pub figures: Shared,
    /// What bodies may take that are longer than any may be.
    pub bodies: Budget,
    /// Tenants' usage over all nodes, where that is counted.
    pub shares: Option<Rc<Shares>>,
    /// Since when the node is to end: it is not ready any more.
    pub stopping: Cell<Option<Instant>>,
    /// Its clients' addresses are open.
    pub listening: Cell<bool>,
    /// It is to end, and another process takes what comes: clients are told to go there with their answers.
    pub leaving: Cell<bool>,
    /// Set shortly before the node ends: connections then close when they can.
    pub closing: Cell<bool>,
    /// Set when what is still open is failed: nothing more is taken.
    pub failing: Cell<bool>,
    /// The settings that count, by places; without the tenants' names, which their places have.
    settings: RefCell<Rc<NodeSettings>>,
    classes: RefCell<Places>,
    tenants: RefCell<Places>,
    core: RefCell<Core<Rc<Call>, Reply>>,
    waiters: RefCell<HashMap<RequestId, Waiter>>,
    servers: RefCell<Servers>,
    /// One list out of discovery and registrations, where both count.
    merge: Option<RefCell<Merge>>,
    /// Which lists of discovery may follow on which.
    succession: RefCell<Succession>,
    /// The version of the list; `None` asks for the whole.
    version: Cell<Option<u64>>,
    /// Discovery has answered.
    informed: Cell<bool>,
    /// What was last logged of discovery, if it has not been heard since.
    discovery_words: RefCell<String>,
    /// When each source of the list was last heard.
    list_heard: LastHeard,
    /// Since when the list has not been followed, as far as the log says.
    list_lost: Cell<Option<Millis>>,
    counts: Cell<Counts>,
    /// How much has been logged of answers out of turn.
    answer_lines: LineBudget,
    outside: OnceCell<Rc<dyn Outside>>,
    gate: OnceCell<Rc<dyn Gate>>,
    /// What lays changes of the settings over a file's.
    overlay: OnceCell<Rc<dyn Overlay>>,
    /// Attempts that are over at their servers, to be told when the core can hear it.
    left: RefCell<Vec<AttemptId>>,
    /// Outputs are being moved: what they bring about waits its turn.
    moving: Cell<bool>,
    /// For when the timer is set.
    armed: Cell<Option<Millis>>,
    rearmed: Notify,
}

impl Hub {
    /// A node that knows no server yet.
    ///
    /// # Errors
    /// Where the module refuses the settings.
    pub fn new(mut config: Config, shares: Option<Shares>) -> Result<Rc<Self>, SettingsError> {
        let tenant_names = std::mem::take(&mut config.settings.tenants);
        let mut settings = config.settings.clone();
        if !config.operator.asks_discovery() {
            // There is no call that could go unanswered: a list that is not asked for is not lost.
            settings.policy.discovery = Discovery::Pushed;
        }
        let mut core = Core::new(settings.policy.clone(), config.seed, settings.open_cap)?;
        core.bound_rotation(config.rotation_most());
        let (mut classes, mut tenants) = (Places::default(), Places::default());
        // All are new, and take the places in their order.
        classes.follow(&settings.classes);
        tenants.follow(&tenant_names);
        shares.iter().for_each(|shares| shares.follow(&tenant_names, &settings));
        let hub = Rc::new(Self {
            clock: Clock::default(),
            figures: Shared::default(),
            bodies: Budget::new(config.bodies_most(config.sockets)),
            shares: shares.map(Rc::new),
            stopping: Cell::new(None),
            listening: Cell::new(false),
            leaving: Cell::new(false),
            closing: Cell::new(false),
            failing: Cell::new(false),
            settings: RefCell::new(Rc::new(settings)),
            classes: RefCell::new(classes),
            tenants: RefCell::new(tenants),
            core: RefCell::new(core),
            waiters: RefCell::default(),
            servers: RefCell::new(Servers::new(config.operator.marks())),
            merge: config.operator.has_second_list().then(RefCell::default),
            succession: RefCell::default(),
            version: Cell::new(None),
            informed: Cell::new(false),
            discovery_words: RefCell::default(),
            list_heard: LastHeard::default(),
            list_lost: Cell::default(),
            counts: Cell::default(),
            answer_lines: LineBudget::default(),
            outside: OnceCell::new(),
            gate: OnceCell::new(),
            overlay: OnceCell::new(),
            left: RefCell::default(),
            moving: Cell::new(false),
            armed: Cell::new(None),
            rearmed: Notify::new(),
            config,
        });
        let names = hub.settings().classes.clone();
        hub.figures.with(|figures| figures.have_classes(names.iter().map(String::as_str)));
        Ok(hub)
    }

    /// Says who does what the core wants done, and takes the saved list. To be called once, before anything else.
    pub fn start(&self, outside: Rc<dyn Outside>, known: Option<Update>) {
        let _ = self.outside.set(outside);
        let saved = known.unwrap_or(Update { version: 0, whole: true, hosts: Vec::new() });
        // No server is known yet, and nothing is older: it is taken.
        let _ = self.succession.borrow_mut().take(&saved, 0);
        self.take_list(Source::Discovery, saved, true);
    }

    /// From now on this one is asked before the core. To be called once.
    pub fn open_gate(&self, gate: Rc<dyn Gate>) {
        let _ = self.gate.set(gate);
    }

    /// Runs the core's timer; never ends.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let due = self.core.borrow().poll_timeout();
            self.armed.set(due);
            let Some(due) = due else {
                self.rearmed.notified().await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(due).into()) => {
                    self.tell(|core, now| core.handle_timeout(now.max(due)));
                }
                () = self.rearmed.notified() => {}
            }
        }
    }

    /// Can the node serve? Once discovery has answered, or at once with a saved list: where most of a fleet starts at the
    /// same time, discovery is the last to answer, and the few others can't carry everyone's clients meanwhile.
    pub fn ready(&self) -> bool {
        self.stopping.get().is_none() && (self.informed.get() || !self.servers.borrow().is_empty())
    }

    /// Tells the core something, and moves what comes of it.
    fn tell<T>(&self, words: impl FnOnce(&mut Core<Rc<Call>, Reply>, Millis) -> T) -> T {
        let told = words(&mut self.core.borrow_mut(), self.clock.now());
        self.tell_left();
        self.run();
        told
    }

    fn tell_left(&self) {
        loop {
            let Some(attempt) = self.left.borrow_mut().pop() else { return };
            self.core.borrow_mut().attempt_left(self.clock.now(), attempt);
        }
    }

    /// The rest of an answer has come, or nobody wants it any more. This may be said while the core drops an answer that
    /// came too late.
    pub fn flowed(&self, attempt: AttemptId) {
        self.left.borrow_mut().push(attempt);
        if self.core.try_borrow_mut().is_ok() {
            self.tell_left();
            self.run();
        }
    }

    /// Moves outputs until there are none.
    fn run(&self) {
        let Some(outside) = self.outside.get() else { return };
        if self.moving.replace(true) {
            return;
        }
        loop {
            let output = self.core.borrow_mut().poll_output();
            let Some(output) = output else { break };
            match output {
                Output::Answer { request, answer } => {
                    self.trace(|_| Doing::Answer { request: request.0, answer: word(&answer) });
                    self.count(&answer);
                    let waiter = self.waiters.borrow_mut().remove(&request);
                    if let Some(waiter) = waiter {
                        waiter(answer);
                    }
                }
                Output::Explain { request, reason } => {
                    self.trace(|_| Doing::Explain { request: request.0, reason: format!("{reason:?}") });
                }
                Output::Start { attempt, server, end, payload } => {
                    self.trace(|name| Doing::Send {
                        request: attempt.request.0,
                        attempt: attempt.number,
                        server: name(server),
                    });
                    outside.start(attempt, server, self.clock.instant(end), payload);
                }
                Output::Abandon(attempt) => outside.abandon(attempt),
                Output::Recall(attempt) if outside.unsent(attempt) => outside.abandon(attempt),
                Output::Recall(_) => {}
                Output::Subscribe => {
                    self.trace(|_| Doing::Call);
                    outside.subscribe();
                }
                Output::Probe(server) => {
                    self.trace(|name| Doing::Probe(name(server)));
                    outside.probe(server);
                }
            }
        }
        self.moving.set(false);
        let due = self.core.borrow().poll_timeout();
        if due.is_some_and(|due| self.armed.get().is_none_or(|armed| due < armed)) {
            self.armed.set(due);
            self.rearmed.notify_one();
        }
    }

    fn count(&self, answer: &Final<Reply>) {
        let mut counts = self.counts.get();
        match answer {
            Final::Served(_) | Final::Rejected => counts.answered += 1,
            Final::Failed | Final::Overdue => {
                counts.answered += 1;
                counts.failed += 1;
            }
            Final::Refused { .. } => counts.refused += 1,
        }
        self.counts.set(counts);
    }

    // ---- Who counts ----

    /// Logs what the node does, where the operator wants that: it is worked out only then. `doing` is handed what names
    /// a server.
    pub(crate) fn trace(&self, doing: impl FnOnce(&dyn Fn(ServerId) -> String) -> Doing) {
        let trace = self.config.operator.trace;
        if !trace.is_on() {
            return;
        }
        let name = |server: ServerId| self.server_name(server);
        // A step of the wall clock must not tear a timeline apart.
        let at = self.clock.unix_ms();
        let record = Record { at, doing: doing(&name) };
        log::line(if trace == Trace::Json { record.json() } else { record.to_string() });
    }

    /// What the list calls a server.
    fn server_name(&self, server: ServerId) -> String {
        let servers = self.servers.borrow();
        servers.name(server).map_or_else(|| format!("{:016x}", server.0), str::to_string)
    }

    fn trace_end(&self, attempt: AttemptId, outcome: Outcome) {
        if !self.config.operator.trace.is_on() {
            return;
        }
        let Some((server, sent)) = self.core.borrow().attempt(attempt) else { return };
        self.trace(|name| Doing::End {
            request: attempt.request.0,
            attempt: attempt.number,
            server: name(server),
            outcome: format!("{outcome:?}"),
            took: self.clock.now() - sent,
        });
    }

    /// A connection to a server is being opened.
    pub fn connecting(&self, server: ServerId) {
        self.trace(|name| Doing::Connect(name(server)));
    }

    // ---- Who operates ----

    /// A request of this class was read, and may be answered at once; it ends with its ticket.
    pub fn ticket(&self, class: &Seat) -> Ticket {
        self.figures.take(&class.name)
    }

    /// Writes down what is not counted as it happens.
    pub fn show(&self) {
        let (ready, listed) = (self.ready() && self.listening.get(), self.listed_servers() as u64);
        let (avoided, doubtful) = {
            let core = self.core.borrow();
            (core.avoided() as u64, core.doubtful_sends())
        };
        self.figures.with(|f| {
            (f.ready, f.listed, f.avoided) = (ready, listed, avoided);
            (f.stale_sends, f.refused_sends) = (doubtful.stale, doubtful.refused);
        });
    }

    /// The node is to end.
    pub fn stop(&self) {
        self.stopping.set(Some(Instant::now()));
        self.show();
    }

    // ---- Who inspects ----

    /// Final answers so far.
    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// How far the node is.
    pub fn stage(&self) -> Stage {
        match (self.stopping.get(), self.ready()) {
            (Some(_), _) => Stage::Stopping,
            (None, true) => Stage::Ready,
            (None, false) => Stage::Starting,
        }
    }

    /// How many servers are listed.
    pub fn listed_servers(&self) -> usize {
        self.servers.borrow().len()
    }

    /// How long ago any source of the list was heard; `None` before any was.
    pub fn list_age(&self) -> Option<Duration> {
        let latest = self.list_heard.latest()?;
        Some(Duration::from_secs_f64((self.clock.now() - latest).max(0.0) / 1000.0))
    }

    // ---- Fronts ----

    /// Takes in a request; `waiter` is given its one final answer, unless [`Hub::gone`] comes first.
    ///
    /// # Errors
    /// Says why it was not taken; nothing is owed then.
    pub fn ask(
        &self,
        incoming: Incoming<Rc<Call>>,
        waiter: impl FnOnce(Final<Reply>) + 'static,
    ) -> Result<Asked, NotTaken> {
        let Some(gate) = self.gate.get() else {
            return self.request(incoming, Box::new(waiter)).map(Asked::Core);
        };
        match gate.take(incoming, Box::new(waiter)) {
            Ok(number) => Ok(Asked::Gate(number)),
            Err((incoming, waiter)) => self.request(incoming, waiter).map(Asked::Core),
        }
    }

    /// Nothing is owed any more: the client left.
    pub fn gone(&self, asked: Asked) {
        match asked {
            Asked::Core(id) => self.client_gone(id),
            Asked::Gate(number) => self.gate.get().into_iter().for_each(|gate| gate.on_client_gone(number)),
        }
    }

    /// Hands a request to the core; `waiter` is given its one final answer, unless [`Hub::client_gone`] comes first.
    ///
    /// # Errors
    /// Says why it was not taken; nothing is owed then.
    pub fn request(&self, incoming: Incoming<Rc<Call>>, waiter: Waiter) -> Result<RequestId, NotTaken> {
        let (class, tenant) = (incoming.class, incoming.tenant);
        let payload = self.config.operator.trace.is_on().then(|| incoming.payload.clone());
        let within = || self.shares.as_ref()?.within(tenant?);
        let id = self.core.borrow_mut().take_within(self.clock.now(), incoming, within)?;
        self.trace(|_| Doing::Ask { request: id.0, class });
        if let Some(call) = payload {
            self.trace(|_| Doing::Id { request: id.0, id: call.id.as_str().to_string() });
        }
        self.waiters.borrow_mut().insert(id, waiter);
        self.run();
        Ok(id)
    }

    /// Nothing is owed any more: the client left.
    pub fn client_gone(&self, id: RequestId) {
        self.waiters.borrow_mut().remove(&id);
        self.tell(|core, now| core.client_gone(now, id));
    }

    /// How many requests await their final answer.
    pub fn awaiting(&self) -> usize {
        self.core.borrow().awaiting() + self.gate.get().map_or(0, |gate| gate.awaiting())
    }

    /// Fails all that is still open: the node ends, and an answer is better than a reset.
    pub fn fail_all(&self) {
        self.failing.set(true);
        self.tell(|core, now| core.fail_all(now));
        self.gate.get().into_iter().for_each(|gate| gate.fail_all());
    }

    /// The module's word on when to come back, for a request of this class that it is not shown.
    pub fn stay_away(&self, class: usize) -> Millis {
        self.core.borrow().stay_away(class)
    }

    // ---- Backends ----

    /// An attempt has ended.
    pub fn attempt_ended(&self, attempt: AttemptId, ended: Ended<Reply>) {
        let outcome = match &ended {
            Ended::Served(_) | Ended::Flows(_) => Outcome::Done,
            Ended::Without(outcome) | Ended::RunsOn(outcome) => *outcome,
        };
        self.trace_end(attempt, outcome);
        self.gate.get().into_iter().for_each(|gate| gate.on_attempt_ended(attempt, outcome));
        if self.merge.is_some() {
            let server = self.core.borrow().attempt(attempt).map(|(server, _)| server);
            let now = self.clock.now();
            server.into_iter().for_each(|server| self.servers.borrow_mut().heard(server, now, outcome));
        }
        self.tell(|core, now| core.attempt_ended(now, attempt, ended));
    }

    /// The body of a request is being taken from its client, and can't be sent again.
    pub fn body_taken(&self, request: RequestId) {
        self.tell(|core, now| core.body_taken(now, request));
    }

    /// The last byte of a request whose body was still coming has gone on.
    pub fn body_sent(&self, request: RequestId) {
        self.tell(|core, now| core.body_sent(now, request));
    }

    /// A server is done with an attempt that ran on.
    pub fn attempt_left(&self, attempt: AttemptId) {
        self.tell(|core, now| core.attempt_left(now, attempt));
    }

    /// A probe came back.
    pub fn probed(&self, server: ServerId, outcome: Outcome, took: Duration) {
        self.trace(|name| Doing::Probed { server: name(server), outcome: format!("{outcome:?}") });
        self.tell(|core, now| core.probed(now, server, outcome, took.as_secs_f64() * 1000.0));
    }

    /// A server has answered on a connection that was opened then.
    pub fn connection_answered(&self, server: ServerId, opened: Instant) {
        let opened = self.clock.at(opened);
        self.tell(|core, now| core.connection_answered(now, server, opened));
    }

    /// The zone and the cell of a server, alike on all nodes.
    pub fn home(&self, server: ServerId) -> Option<(u64, u64)> {
        self.servers.borrow().home(server)
    }

    /// Where a server listens and which of its lives this is, if it is listed as up.
    pub fn place(&self, server: ServerId) -> Option<Place> {
        self.servers.borrow().place(server)
    }

    /// Is a server in use, as far as its own answers tell?
    pub fn uses(&self, server: ServerId) -> bool {
        !self.core.borrow().is_ejected(server)
    }

    /// May a request be sent to this life of a server now? It may have begun to drain while the request waited for a connection.
    pub fn accepts(&self, server: ServerId, place: Place) -> bool {
        self.place(server) == Some(place) && self.core.borrow().accepts(server)
    }

    /// May an attempt that was started still be written? Its request may be repeated for so long alone as servers remember it.
    pub fn may_write(&self, attempt: AttemptId) -> bool {
        self.core.borrow().may_write(self.clock.now(), attempt)
    }
}
