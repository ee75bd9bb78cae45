//! Test support: a node under test, and a checker of the four rules that the decision module must keep.
#![allow(dead_code)]

use std::collections::BTreeMap;

use glenwood_policy::*;

pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const UNSAFE: usize = 2;
/// How long servers remember the key of a keyed request, in ms.
pub const KEY_MEMORY_MS: f64 = 600.0;
/// How long clients wait for an answer, in ms.
pub const CLIENT_TIMEOUT_MS: f64 = 500.0;
/// The decision module stops sending to a draining server at once, so the checker allows no grace period, in
/// ms.
pub const DRAIN_GRACE_MS: f64 = 0.0;

/// Settings with a safe, a keyed and an unsafe class.
pub fn settings() -> Settings {
    let class = |target_latency, worth, effect| Class {
        target_latency,
        worth,
        late_worth: 0.0,
        client_timeout: f64::INFINITY,
        effect,
    };
    Settings {
        node_index: 0,
        nodes: 2,
        classes: vec![
            class(100.0, 1.0, Effect::Safe),
            class(200.0, 3.0, Effect::Keyed { group: Group::Cell, memory: KEY_MEMORY_MS }),
            class(100.0, 10.0, Effect::Unsafe),
        ],
        tenants: Vec::new(),
        by_work: false,
        over_share_worth: 0.2,
        goal: Goal { worth: 0.8, worst_class: 0.2, worst_tenant: 0.0 },
        limits: Limits {
            attempts: 4,
            second_copies: true,
            cancel: true,
            probes: true,
            connect_timeout: 50.0,
            max_retry_after: 1000.0,
        },
        rules: Rules {
            max_call_interval: 10_000.0,
            cold_capacity_share: 0.15,
            warm_up_time: 20_000.0,
            overload_factor: 3.0,
            overload_window: 1000.0,
        },
        discovery: Discovery::Pushed,
        weights: Weights::Listed,
        min_event_interval: 2.0,
    }
}

/// A listed server; servers of even and of odd number share a zone and a cell.
pub fn entry(server: u64, weight: f64) -> Entry {
    let state = Listed::Up;
    Entry {
        server: ServerId(server),
        zone: server % 2,
        cell: server % 2,
        kind: 0,
        state,
        weight,
        started_at: None,
    }
}

/// A balancer with a virtual clock that records the attempts it sends.
pub struct Node {
    pub balancer: Balancer,
    pub now: f64,
    next: u64,
    attempts: BTreeMap<RequestId, Vec<(ServerId, f64)>>,
}

impl Node {
    /// A node whose saved list has these entries.
    pub fn new(settings: Settings, entries: Vec<Entry>) -> Self {
        Self::new_seeded(settings, entries, 1)
    }

    pub fn new_seeded(settings: Settings, entries: Vec<Entry>, seed: u64) -> Self {
        let balancer = Balancer::new(settings, seed).expect("valid settings");
        let mut node = Self { balancer, now: 1000.0, next: 0, attempts: BTreeMap::new() };
        node.event(Event::List { entries, saved: true });
        node
    }

    /// A node with servers of equal weight.
    pub fn fleet(settings: Settings, servers: u64) -> Self {
        Self::new(settings, (0..servers).map(|id| entry(id, 1.0)).collect())
    }

    /// Passes an event to the balancer and returns its actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Send { id, server, .. } = action {
                self.attempts.entry(*id).or_default().push((*server, self.now));
            }
        }
        actions
    }

    /// Submits a request.
    pub fn submit(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.submit_for(class, None)
    }

    /// Submits a request of a tenant.
    pub fn submit_for(&mut self, class: usize, tenant: Option<usize>) -> (RequestId, Vec<Action>) {
        self.submit_with_timeout(class, tenant, CLIENT_TIMEOUT_MS)
    }

    /// Submits a request whose client gives up after `left` ms.
    pub fn submit_with_timeout(
        &mut self,
        class: usize,
        tenant: Option<usize>,
        timeout: f64,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next);
        self.next += 1;
        let deadline = self.now + timeout;
        (
            id,
            self.event(Event::Request {
                id,
                class,
                tenant,
                deadline,
                repeat_key: None,
                work: None,
                in_share: None,
                prior_attempts: None,
            }),
        )
    }

    /// Ends the latest attempt of a request.
    pub fn end(&mut self, id: RequestId, outcome: Outcome) -> Vec<Action> {
        let sent = &self.attempts[&id];
        let attempt = sent.len() - 1;
        let (server, at) = sent[attempt];
        let duration = self.now - at;
        let finished = outcome == Outcome::Done;
        self.event(Event::Ended { id, attempt, server, outcome, duration, finished })
    }

    /// Submits a request and has it served after `duration` ms if it is sent; returns its server.
    pub fn serve(&mut self, class: usize, duration: f64) -> Option<ServerId> {
        let submitted = self.submit(class);
        self.finish_submitted(submitted, duration)
    }

    /// Like [`Node::serve`], but waits while the request is queued.
    pub fn serve_queued(&mut self, class: usize, duration: f64) -> Option<ServerId> {
        let (id, mut actions) = self.submit(class);
        while sent_to(&actions).is_none() && !refused(&actions, id) && !failed(&actions, id) {
            actions = self.wait(5.0);
        }
        self.finish_submitted((id, actions), duration)
    }

    fn finish_submitted(
        &mut self,
        (id, actions): (RequestId, Vec<Action>),
        duration: f64,
    ) -> Option<ServerId> {
        let server = sent_to(&actions);
        self.now += duration;
        if server.is_some() {
            self.end(id, Outcome::Done);
        }
        server
    }

    /// Advances the clock by `span` ms in steps of 5 ms, with a timer event at each.
    pub fn wait(&mut self, span: f64) -> Vec<Action> {
        let until = self.now + span;
        let mut all = Vec::new();
        while self.now < until {
            self.now = (self.now + 5.0).min(until);
            all.extend(self.event(Event::Timer));
        }
        all
    }
}

/// The server of the first send among some actions.
pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None })
}

/// The requests that are sent by some actions.
pub fn sends(actions: &[Action]) -> Vec<RequestId> {
    actions.iter().filter_map(|a| if let Action::Send { id, .. } = a { Some(*id) } else { None }).collect()
}

/// Whether a request is refused by some actions.
pub fn refused(actions: &[Action], request: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { id, .. } if *id == request))
}

/// Whether a request is failed by some actions.
pub fn failed(actions: &[Action], request: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(id) if *id == request))
}

/// What the checker knows of a request.
struct TrackedRequest {
    class: usize,
    deadline: f64,
    over: bool,
    attempts: Vec<(ServerId, u64, f64, Option<Outcome>)>,
}

/// Observes the events and actions of a node and records each violation of the four rules.
#[derive(Default)]
pub struct RuleChecker {
    requests: BTreeMap<RequestId, TrackedRequest>,
    servers: BTreeMap<ServerId, (Entry, Option<f64>)>,
    sends_to_warm: Vec<(ServerId, f64)>,
    sends_to_cold: Vec<(ServerId, f64)>,
    pub violations: Vec<String>,
}

impl RuleChecker {
    /// Updates the state by an event that is passed to the node.
    pub fn observe_event(&mut self, now: f64, event: &Event) {
        match event {
            Event::List { entries, .. } => {
                for (entry, gone) in self.servers.values_mut() {
                    entry.state = Listed::Gone;
                    gone.get_or_insert(now);
                }
                self.update_entries(now, entries);
            }
            Event::ListChange(entries) => self.update_entries(now, entries),
            Event::Request { id, class, deadline, .. } => {
                let request_state =
                    TrackedRequest { class: *class, deadline: *deadline, over: false, attempts: Vec::new() };
                self.requests.insert(*id, request_state);
            }
            Event::Ended { id, attempt, outcome, finished, .. } => {
                if let Some(request_state) = self.requests.get_mut(id) {
                    request_state.attempts[*attempt].3 = Some(*outcome);
                    request_state.over |= *finished;
                }
            }
            Event::ClientGone(id) => {
                if let Some(request_state) = self.requests.get_mut(id) {
                    request_state.over = true;
                }
            }
            _ => {}
        }
    }

    fn update_entries(&mut self, now: f64, entries: &[Entry]) {
        for entry in entries {
            let gone = (entry.state != Listed::Up).then_some(now);
            let known = self.servers.entry(entry.server).or_insert((entry.clone(), gone));
            known.1 = if gone.is_some() { known.1.or(gone) } else { None };
            known.0 = entry.clone();
        }
    }

    /// Checks an action of the node against the rules.
    pub fn observe_action(&mut self, settings: &Settings, now: f64, action: &Action) {
        let mut report = |message: String| self.violations.push(message);
        match action {
            Action::Send { id, server, .. } => {
                let Some(request_state) = self.requests.get_mut(id) else {
                    return report(format!("{id:?} is unknown"));
                };
                let Some((entry, gone)) = self.servers.get(server) else {
                    return report("unknown server".into());
                };
                if request_state.over {
                    report(format!("rule 1: {id:?} sent after its end"));
                }
                if gone.is_some_and(|at| now > at + DRAIN_GRACE_MS) {
                    report(format!("rule 3: {server:?} got work after its drain"));
                }
                let mut ran = request_state.attempts.iter().filter(|a| !a.3.is_some_and(Outcome::never_ran));
                let may_run_again = match settings.classes[request_state.class].effect {
                    Effect::Safe => true,
                    Effect::Unsafe => ran.next().is_none(),
                    Effect::Keyed { memory, .. } => ran.all(|a| a.1 == entry.cell && now < a.2 + memory),
                };
                if !may_run_again {
                    report(format!("rule 2: {id:?} sent again"));
                }
                request_state.attempts.push((*server, entry.cell, now, None));
                let age = entry.started_at.map_or(f64::INFINITY, |t| now - t);
                let cold = age < settings.rules.warm_up_time;
                let sends = if cold { &mut self.sends_to_cold } else { &mut self.sends_to_warm };
                sends.push((*server, now));
                if cold {
                    self.check_cold_budget(settings, now, *server, age);
                }
            }
            Action::Refuse { id, .. } => {
                let Some(request_state) = self.requests.get_mut(id) else {
                    return report(format!("{id:?} is unknown"));
                };
                let ran = request_state.attempts.iter().any(|a| !a.3.is_some_and(Outcome::never_ran));
                if ran && settings.classes[request_state.class].effect != Effect::Safe {
                    report(format!("rule 2: {id:?} refused though it may have run"));
                }
                Self::check_answer(request_state, settings, now, *id, &mut self.violations);
            }
            Action::Fail(id) => {
                if let Some(request_state) = self.requests.get_mut(id) {
                    Self::check_answer(request_state, settings, now, *id, &mut self.violations);
                }
            }
            _ => {}
        }
    }

    /// Checks rule 1 for the answer to a request: a single one, in time.
    fn check_answer(
        request_state: &mut TrackedRequest,
        settings: &Settings,
        now: f64,
        id: RequestId,
        violations: &mut Vec<String>,
    ) {
        if request_state.over {
            violations.push(format!("rule 1: {id:?} answered twice"));
        }
        if now > request_state.deadline + 2.0 * settings.min_event_interval {
            violations.push(format!("rule 1: {id:?} answered late"));
        }
        request_state.over = true;
    }

    /// Checks rule 4: the sends to a cold server are limited relative to those to the busiest warm server.
    fn check_cold_budget(&mut self, settings: &Settings, now: f64, server: ServerId, age: f64) {
        let rules = &settings.rules;
        let recent = |sends: &[(ServerId, f64)], s: ServerId| {
            sends.iter().filter(|x| x.0 == s && x.1 > now - rules.overload_window).count()
        };
        let warm = self.sends_to_warm.iter().map(|x| recent(&self.sends_to_warm, x.0)).max().unwrap_or(0);
        let share = rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * age / rules.warm_up_time;
        let budget = rules.overload_factor * share * warm as f64;
        if recent(&self.sends_to_cold, server) as f64 > budget.max(1.0) + 1.0 {
            self.violations.push(format!("rule 4: {server:?} overloaded while cold"));
        }
    }

    /// Checks that all requests were answered; call it when all deadlines have passed.
    pub fn finish(&mut self) {
        for (id, request_state) in &self.requests {
            if !request_state.over {
                self.violations.push(format!("rule 1: {id:?} has no answer"));
            }
        }
    }
}
