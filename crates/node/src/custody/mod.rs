//! Custody: work in progress that survives the loss of its node. This module connects `glenwood-custody` to
//! the sockets and the hub: requests pass it before the core, attempts pass it before they are sent, and it
//! takes over the work of lost nodes.

mod attempts;
mod form;
mod guard;
mod report;
mod table;
mod traffic;
mod waiters;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use bytes::Bytes;
use glenwood_core::{AttemptId, Final, Incoming, GUARD_MARGIN};
use glenwood_custody::keeper::{self, Keeper};
use glenwood_custody::wire;
use glenwood_custody::{
    coordinator, Conclusion, Coordinator, Event, Incarnation, IntendedAttempt, NodeId, RequestIdentity,
    Ticket, Verdict, Work,
};
use glenwood_datagram::Secret;
use glenwood_members as members;
use glenwood_policy::{self as policy, Millis, Outcome, PriorAttempt, RequestId, ServerId};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

pub use guard::Guarded;
pub use table::{DeadlineTooLong, NoMajorityRule, Table};

use crate::call::{Call, Reply};
use crate::config::Config;
use crate::hub::{Gate, Hub, HubActions, Waiter};
use crate::identity;
use crate::members::{Membership, MembershipObserver};

/// The most works that a coordinator handles at a time.
const MAX_WORKS: usize = 65_536;
/// The least remaining client time for which an orphaned work is still taken over.
const MIN_ADOPTABLE_REMAINING_MS: u64 = 30;
/// The number of a client that was answered at once; those that wait are numbered from 1.
const NO_WAITER: u64 = 0;

/// Counters beyond those of the coordinator and the keeper.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
struct Counts {
    /// Requests of guarded classes.
    guarded: u64,
    /// Guarded requests that were served although no majority of keepers replied.
    unguarded: u64,
    /// Guarded requests that were refused because no majority of keepers replied.
    refused: u64,
    /// Requests answered with the verdict of an equal request.
    shared: u64,
    /// Requests that were not sent because an equal one is in progress or several candidates match.
    doubtful: u64,
    /// Answers that were too long for the keepers to store.
    long: u64,
    /// Datagrams rejected because their signature or format is invalid.
    forged: u64,
    /// Datagrams rejected because they belong to another roster epoch.
    other_epoch: u64,
    /// Datagrams rejected because their time is too far from this node's.
    stale: u64,
    /// Datagrams sent.
    sent: u64,
    /// Bytes of the datagrams sent.
    sent_bytes: u64,
}

/// A client that waits for the answer to a work.
struct WaitingClient {
    number: u64,
    waiter: Waiter,
    /// When the client is answered that no answer came in time.
    until: u64,
}

/// An attempt that waits for its intent to be written.
struct PendingAttempt {
    attempt: AttemptId,
    server: ServerId,
    end: std::time::Instant,
    call: Rc<Call>,
    /// The coordinator is writing its intent now.
    intent_requested: bool,
}

/// A work that this node takes part in, as its holder or on behalf of waiting clients.
struct LocalWork {
    incoming: Option<Incoming<Rc<Call>>>,
    class: usize,
    /// The name of the class.
    name: String,
    waiting: Vec<WaitingClient>,
    /// The core's request, while the core works on it.
    request: Option<RequestId>,
    /// This node's core has had the request.
    submitted: bool,
    /// Taken over from a lost node; no client of it is connected here.
    adopted: bool,
    pending_attempts: VecDeque<PendingAttempt>,
    /// Number of each attempt in the work's record, which counts the attempts of all holders.
    numbers: HashMap<AttemptId, usize>,
}

/// Guards the requests of this node and keeps records for other nodes.
pub struct Custody {
    table: Table,
    hub: Rc<Hub>,
    membership: Rc<Membership>,
    me: Incarnation,
    cluster: u32,
    secret: Secret,
    coordinator: RefCell<Coordinator>,
    keeper: RefCell<Keeper>,
    local_works: RefCell<HashMap<Ticket, LocalWork>>,
    /// The ticket of each call, by the call's address in memory: a call has no request number until the
    /// core has taken it.
    calls: RefCell<HashMap<usize, Ticket>>,
    /// The ticket of each waiting client, by the number given to the front.
    numbers: RefCell<BTreeMap<u64, Ticket>>,
    last_number: Cell<u64>,
    /// When this keeper first saw that the holder of a work was lost.
    orphans: RefCell<HashMap<Work, u64>>,
    next_orphans: Cell<u64>,
    socket: OnceCell<UdpSocket>,
    inner: OnceCell<Rc<dyn HubActions>>,
    /// Reference to itself, for callbacks.
    weak_self: Weak<Self>,
    counts: RefCell<Counts>,
    pumping: Cell<bool>,
    changed: Notify,
}

fn call_address(call: &Rc<Call>) -> usize {
    Rc::as_ptr(call) as usize
}

impl Custody {
    /// Creates custody from the configuration; `None` where it is off.
    ///
    /// # Errors
    /// One line with the field and the reason.
    pub fn new(hub: &Rc<Hub>, membership: Option<&Rc<Membership>>) -> Result<Option<Rc<Self>>, String> {
        let config: &Config = &hub.config;
        let Some(table) = config.operator.custody.clone() else { return Ok(None) };
        let membership = membership.ok_or("custody: needs the table members")?.clone();
        let members_table = config.operator.members.as_ref().ok_or("custody: needs the table members")?;
        table.check_deadline(hub.settings().max_deadline).map_err(|e| e.to_string())?;
        let known = hub.settings().classes.clone();
        let named = table.no_majority_rules.keys().chain(&table.unguarded_classes);
        if let Some(class) = named.into_iter().find(|class| !known.contains(class)) {
            return Err(format!("custody: class {class:?} does not exist in the settings"));
        }
        let secret = identity::secret("members", &members_table.secret)?;
        let me = Incarnation { node: table::node_id(&config.name), number: membership.life() };
        let now = hub.clock.now() as u64;
        let coordinator_settings = coordinator::Settings {
            majority_timeout_ms: table.patience_ms,
            resend_ms: table.resend_ms,
            poll_ms: table.poll_ms,
            entry_lifetime_ms: table.life_ms,
            max_works: MAX_WORKS,
        };
        let keeper_settings = keeper::Settings {
            entry_lifetime_ms: table.life_ms,
            max_works: table.works_most,
            max_bytes: table.memory_mb << 20,
        };
        Ok(Some(Rc::new_cyclic(|weak| Self {
            weak_self: weak.clone(),
            cluster: wire::cluster_number(&members_table.cluster),
            secret,
            coordinator: RefCell::new(Coordinator::new(
                coordinator_settings,
                me,
                table.rosters.clone(),
                me.number,
                now,
            )),
            keeper: RefCell::new(Keeper::new(keeper_settings, now)),
            local_works: RefCell::default(),
            calls: RefCell::default(),
            numbers: RefCell::default(),
            last_number: Cell::new(0),
            orphans: RefCell::default(),
            next_orphans: Cell::new(now),
            socket: OnceCell::new(),
            inner: OnceCell::new(),
            counts: RefCell::default(),
            pumping: Cell::new(false),
            changed: Notify::new(),
            table,
            hub: hub.clone(),
            membership,
            me,
        })))
    }

    fn now(&self) -> u64 {
        self.hub.clock.now() as u64
    }

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.counts.borrow_mut());
    }

    // ---- Events of the coordinator ----

    /// As [`Custody::pump`], for callers other than [`Custody::run`]: also wakes that loop, so that it
    /// computes its next timeout anew.
    fn pump_and_notify(&self) {
        self.pump();
        self.changed.notify_one();
    }

    /// Sends pending messages and handles events until there are none left.
    fn pump(&self) {
        if self.pumping.replace(true) {
            return;
        }
        loop {
            self.transmit();
            let event = self.coordinator.borrow_mut().poll_event();
            let Some(event) = event else { break };
            self.handle_event(event);
        }
        self.pumping.set(false);
    }

    fn handle_event(&self, event: Event) {
        match event {
            Event::Acquired { ticket, earlier, adopted } => {
                // The client may have left while the holder was looked up: the request is not started
                // then.
                let take_incoming =
                    |local: &mut LocalWork| local.incoming.take().filter(|_| !local.waiting.is_empty());
                let incoming = self.local_works.borrow_mut().get_mut(&ticket).and_then(take_incoming);
                match incoming {
                    Some(incoming) => {
                        let earlier = adopted.then(|| self.earlier_attempts(&earlier));
                        self.submit_to_core(ticket, Incoming { prior_attempts: earlier, ..incoming });
                    }
                    // The request was submitted before: the clients have been answered, or get the answer
                    // that comes now.
                    None => self.release_work(ticket),
                }
            }
            Event::OrphanAdopted { ticket, earlier, about, body, remaining_ms } => {
                let earlier = self.earlier_attempts(&earlier);
                match self.decode_request(&about, &body, remaining_ms) {
                    Some(incoming) => {
                        let name = about.class.clone();
                        let local = LocalWork { adopted: true, ..LocalWork::new(incoming.class, name, None) };
                        self.local_works.borrow_mut().insert(ticket, local);
                        self.submit_to_core(ticket, Incoming { prior_attempts: Some(earlier), ..incoming });
                    }
                    None => self.release_work(ticket),
                }
            }
            Event::SendAllowed(ticket) => {
                let pending = self.take_pending(ticket);
                // If there is none, the attempt was abandoned meanwhile and is not sent.
                if let (Some(pending), Some(inner)) = (pending, self.inner.get()) {
                    inner.start(pending.attempt, pending.server, pending.end, pending.call);
                }
                self.request_next_intent(ticket);
            }
            Event::SendDenied(ticket) => {
                if let Some(pending) = self.take_pending(ticket) {
                    self.hub.attempt_ended(
                        pending.attempt,
                        glenwood_core::AttemptResult::NoResponse(Outcome::NotSent),
                    );
                }
                self.request_next_intent(ticket);
            }
            Event::Verdict(ticket, verdict, bytes) => self.on_verdict(ticket, verdict, bytes.as_ref()),
            Event::VerdictNotStored(ticket) => self.answer(ticket, &|| Final::DeadlineNear),
            Event::NoMajority(ticket) => self.on_no_majority(ticket),
            Event::ConcurrentRepeat(ticket) | Event::AmbiguousRepeat(ticket) => {
                self.count(|counts| counts.doubtful += 1);
                self.answer(ticket, &|| Final::Failed);
                self.drop_local(ticket);
            }
            Event::AlreadyHere(ticket, other) => self.merge_waiters(ticket, other),
            Event::Ended(ticket) => {
                let open =
                    self.local_works.borrow().get(&ticket).is_some_and(|local| local.request.is_some());
                if !open {
                    self.answer(ticket, &|| Final::DeadlineNear);
                    self.drop_local(ticket);
                }
            }
        }
    }

    fn earlier_attempts(&self, earlier: &[(IntendedAttempt, u64)]) -> Vec<PriorAttempt> {
        let now = self.hub.clock.now();
        let to_earlier = |(sent, ago): &(IntendedAttempt, u64)| PriorAttempt {
            server: ServerId(sent.server),
            zone: sent.zone,
            cell: sent.cell,
            sent: now - *ago as Millis,
            outcome: if sent.never_ran { Outcome::NotSent } else { Outcome::Unheard },
        };
        earlier.iter().map(to_earlier).collect()
    }

    /// Decodes the request of a lost node; its deadline is what remains of its client's time.
    fn decode_request(
        &self,
        about: &glenwood_custody::WorkDescription,
        body: &Bytes,
        remaining_ms: u64,
    ) -> Option<Incoming<Rc<Call>>> {
        if remaining_ms < MIN_ADOPTABLE_REMAINING_MS || self.hub.stopping.get().is_some() {
            return None;
        }
        let class = self.hub.class(&about.class)?;
        let effect = self.hub.settings().policy.classes[class.number].effect;
        let call = form::read_call(
            body,
            class.clone(),
            effect,
            |name| self.hub.tenant(name),
            self.hub.bodies.share(),
        )?;
        let began = self.hub.clock.now();
        Some(Incoming {
            class: class.number,
            tenant: call.class_and_tenant.1.as_ref().map(|tenant| tenant.number),
            key: call.key.clone(),
            id: call.id.clone(),
            began,
            deadline: began + remaining_ms as Millis,
            repeat_key: Some(call.repeat_key(self.hub.config.seed)),
            work: call.estimated_work(),
            body_pending: false,
            prior_attempts: None,
            payload: Rc::new(call),
        })
    }

    /// Submits a work to the core.
    fn submit_to_core(&self, ticket: Ticket, incoming: Incoming<Rc<Call>>) {
        let (at, class) = (call_address(&incoming.payload), incoming.class);
        self.local_works.borrow_mut().get_mut(&ticket).into_iter().for_each(|local| local.submitted = true);
        self.calls.borrow_mut().insert(at, ticket);
        let Some(this) = self.weak_self.upgrade() else { return };
        let submission = self
            .hub
            .submit_to_core(incoming, Box::new(move |answer| this.on_final_answer(ticket, at, answer)));
        match submission {
            Ok(request) => {
                if let Some(local) = self.local_works.borrow_mut().get_mut(&ticket) {
                    // The request may have been answered already; its number is of no use then.
                    if self.calls.borrow().contains_key(&at) {
                        local.request = Some(request);
                    }
                }
            }
            Err(rejection) => {
                self.calls.borrow_mut().remove(&at);
                let retry_after = self.hub.retry_after(class);
                let refused = matches!(rejection, glenwood_core::Rejection::TooManyOpen { .. });
                self.release_work(ticket);
                self.answer(ticket, &|| {
                    if refused {
                        Final::Refused { retry_after }
                    } else {
                        Final::Rejected
                    }
                });
            }
        }
    }

    fn release_work(&self, ticket: Ticket) {
        self.coordinator.borrow_mut().submit_result(self.now(), ticket, Conclusion::Release);
    }

    /// Handles the core's final answer for a work. A served answer is stored by the keepers before any
    /// client gets it; other outcomes are answered at once.
    fn on_final_answer(&self, ticket: Ticket, at: usize, final_answer: Final<Reply>) {
        self.calls.borrow_mut().remove(&at);
        let guarded = self.coordinator.borrow().work(ticket).is_some();
        if let Some(local) = self.local_works.borrow_mut().get_mut(&ticket) {
            local.request = None;
            local.numbers.clear();
        }
        if guarded && !self.coordinator.borrow().is_holder(ticket) {
            // Another node holds it by now; clients that wait here get the verdict of that node.
            return self.pump_and_notify();
        }
        let now = self.now();
        match final_answer {
            Final::Served(reply) => match form::write_reply(&reply) {
                Some(bytes) if guarded => {
                    self.coordinator.borrow_mut().submit_result(now, ticket, Conclusion::Served(Some(bytes)));
                }
                Some(bytes) => {
                    self.answer(ticket, &|| form::read_reply(&bytes).map_or(Final::Failed, Final::Served));
                    self.drop_local(ticket);
                }
                None => {
                    // The body is streamed to the first client, so no other client can get it.
                    self.count(|counts| counts.long += 1);
                    let first = self.take_first_waiter(ticket);
                    self.coordinator.borrow_mut().submit_result(now, ticket, Conclusion::Served(None));
                    if let Some(waiter) = first {
                        waiter(Final::Served(reply));
                    }
                    self.answer(ticket, &|| Final::Failed);
                }
            },
            Final::Rejected if guarded => {
                self.coordinator.borrow_mut().submit_result(now, ticket, Conclusion::Rejected);
            }
            Final::Rejected => self.answer(ticket, &|| Final::Rejected),
            Final::Refused { retry_after } => {
                self.release_work(ticket);
                self.answer(ticket, &|| Final::Refused { retry_after });
            }
            Final::Failed => {
                self.release_work(ticket);
                self.answer(ticket, &|| Final::Failed);
            }
            Final::DeadlineNear => {
                self.release_work(ticket);
                self.answer(ticket, &|| Final::DeadlineNear);
            }
        }
        if !guarded {
            self.drop_local(ticket);
        }
        self.pump_and_notify();
    }

    fn on_verdict(&self, ticket: Ticket, verdict: Verdict, bytes: Option<&Bytes>) {
        let request = self.local_works.borrow_mut().get_mut(&ticket).and_then(|local| local.request.take());
        // The work is decided, so the attempts that this node still makes for it are abandoned.
        request.into_iter().for_each(|request| self.hub.client_gone(request));
        let sharing_clients = self.local_works.borrow().get(&ticket).map_or(0, |local| {
            // The first client of a request that was executed here gets its own answer and is not counted.
            local.waiting.len().saturating_sub(usize::from(local.submitted))
        });
        self.count(|counts| counts.shared += sharing_clients as u64);
        self.answer(ticket, &|| match verdict {
            Verdict::Served(_) => {
                bytes.and_then(|bytes| form::read_reply(bytes)).map_or(Final::Failed, Final::Served)
            }
            Verdict::Rejected => Final::Rejected,
            Verdict::ServedLong | Verdict::MayHaveRun => Final::Failed,
        });
        self.drop_local(ticket);
    }

    /// No majority of keepers reported in time which node holds the work.
    fn on_no_majority(&self, ticket: Ticket) {
        let Some((class, name, incoming)) = self
            .local_works
            .borrow_mut()
            .get_mut(&ticket)
            .map(|h| (h.class, h.name.clone(), h.incoming.take()))
        else {
            return;
        };
        match (self.no_majority_rule(class, &name), incoming) {
            (NoMajorityRule::Serve, Some(incoming)) => {
                self.count(|counts| counts.unguarded += 1);
                self.submit_to_core(ticket, incoming);
            }
            _ => {
                self.count(|counts| counts.refused += 1);
                let retry_after = self.hub.retry_after(class);
                self.answer(ticket, &|| Final::Refused { retry_after });
                self.drop_local(ticket);
            }
        }
    }

    /// The rule for a class whose keepers give no majority.
    fn no_majority_rule(&self, class: usize, name: &str) -> NoMajorityRule {
        let effect = self.hub.settings().policy.classes.get(class).map(|class| class.effect);
        let by_kind = if effect == Some(policy::Effect::Unsafe) {
            NoMajorityRule::Refuse
        } else {
            NoMajorityRule::Serve
        };
        self.table.no_majority_rules.get(name).copied().unwrap_or(by_kind)
    }
}

impl LocalWork {
    fn new(class: usize, name: String, incoming: Option<Incoming<Rc<Call>>>) -> Self {
        Self {
            incoming,
            class,
            name,
            waiting: Vec::new(),
            request: None,
            submitted: false,
            adopted: false,
            pending_attempts: VecDeque::new(),
            numbers: HashMap::new(),
        }
    }

    /// When the last of the waiting clients stops waiting, in milliseconds; `None` if none waits.
    fn waited_for_until(&self) -> Option<u64> {
        self.waiting.iter().map(|client| client.until).max()
    }
}

impl Gate for Custody {
    fn take(
        &self,
        incoming: Incoming<Rc<Call>>,
        waiter: Waiter,
    ) -> Result<u64, (Incoming<Rc<Call>>, Waiter)> {
        let settings = self.hub.settings();
        let effect = settings.policy.classes.get(incoming.class).map(|class| class.effect);
        let call = &incoming.payload;
        let name = call.class_and_tenant.0.name.to_string();
        let kind = match effect {
            Some(policy::Effect::Unsafe) => {
                RequestIdentity::Unsafe { nonce: form::nonce(call), is_marked_repeat: form::is_marked(call) }
            }
            Some(policy::Effect::Keyed { .. }) if call.key.is_some() => RequestIdentity::Keyed,
            _ => return Err((incoming, waiter)),
        };
        if self.table.unguarded_classes.contains(&name) {
            return Err((incoming, waiter));
        }
        if form::is_unidentified_repeat(call) {
            // It may be equal to any work or to none, and its first try may have run.
            self.count(|counts| {
                counts.guarded += 1;
                counts.doubtful += 1;
            });
            waiter(Final::Failed);
            return Ok(NO_WAITER);
        }
        let now = self.now();
        let left = (incoming.deadline - self.hub.clock.now()).max(0.0);
        let ask = glenwood_custody::SubmittedRequest {
            slot: form::slot(call),
            kind,
            class: name.clone(),
            remaining_ms: left as u32,
            body: form::write_call(call),
        };
        self.count(|counts| counts.guarded += 1);
        let class = incoming.class;
        let accepted = self.coordinator.borrow_mut().submit(now, ask);
        let Some((ticket, _)) = accepted else {
            // The coordinator is full: treated like a missing majority, as nothing is known of the work.
            if self.no_majority_rule(class, &name) == NoMajorityRule::Serve {
                self.count(|counts| counts.unguarded += 1);
                return Err((incoming, waiter));
            }
            self.count(|counts| counts.refused += 1);
            waiter(Final::Refused { retry_after: self.hub.retry_after(class) });
            return Ok(NO_WAITER);
        };
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        self.numbers.borrow_mut().insert(number, ticket);
        {
            let mut all = self.local_works.borrow_mut();
            let local = all.entry(ticket).or_insert_with(|| LocalWork::new(class, name, None));
            local.incoming = local.incoming.take().or(Some(incoming)).filter(|_| local.request.is_none());
            let until = now + (left - GUARD_MARGIN).max(left / 2.0) as u64;
            local.waiting.push(WaitingClient { number, waiter, until });
        }
        let request = self.local_works.borrow().get(&ticket).and_then(|local| local.request);
        request.into_iter().for_each(|request| self.on_client_returned(ticket, request));
        self.pump_and_notify();
        Ok(number)
    }

    fn on_client_gone(&self, number: u64) {
        let Some(ticket) = self.numbers.borrow_mut().remove(&number) else { return };
        if let Some(local) = self.local_works.borrow_mut().get_mut(&ticket) {
            local.waiting.retain(|waiting| waiting.number != number);
        }
        self.on_waiters_changed(ticket);
    }

    fn on_attempt_ended(&self, attempt: AttemptId, outcome: Outcome) {
        if !outcome.never_ran() {
            return;
        }
        let number = |local: &mut LocalWork| local.numbers.remove(&attempt);
        let found = self
            .local_works
            .borrow_mut()
            .iter_mut()
            .find_map(|(ticket, local)| Some((*ticket, number(local)?)));
        if let Some((ticket, number)) = found {
            self.coordinator.borrow_mut().mark_never_ran(ticket, number);
        }
    }

    fn awaiting(&self) -> usize {
        self.local_works.borrow().values().map(|local| local.waiting.len()).sum()
    }

    fn fail_all(&self) {
        let tickets: Vec<Ticket> = self.local_works.borrow().keys().copied().collect();
        tickets.into_iter().for_each(|ticket| self.answer(ticket, &|| Final::DeadlineNear));
    }
}

impl MembershipObserver for Custody {
    fn on_member_event(&self, event: &members::Event) {
        let incarnation =
            |member: &members::Member| Incarnation { node: NodeId(member.id().0), number: member.start_id };
        match event {
            members::Event::Joined(member) => {
                self.coordinator.borrow_mut().update_membership(incarnation(member), true)
            }
            members::Event::Lost(member) | members::Event::Left(member) => {
                self.coordinator.borrow_mut().update_membership(incarnation(member), false);
            }
            _ => return,
        }
        self.changed.notify_one();
    }

    fn on_datagram(&self, bytes: &[u8], source: SocketAddr) {
        self.receive_datagram(bytes, source);
        self.pump_and_notify();
    }
}
