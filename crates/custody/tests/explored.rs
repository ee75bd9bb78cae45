//! Model checking of the proposer and the acceptor in small cases: every interleaving of three keepers, a
//! holder, nodes that take over, a network that loses, duplicates and reorders messages, false suspicions
//! at any time, answers, crashes (a node that takes no further step) and one keeper that restarts.
//!
//! A message may be delivered at any later time or never, in any order. A resend equals a delayed message
//! and is not modelled. A duplicate made by the network gets the same answer as the first copy, or is
//! answered as preempted.

use std::collections::BTreeSet;

use glenwood_custody::proposer::{Proposer, RegisterOp};
use glenwood_custody::register::Acceptor;
use glenwood_custody::register::{
    Answer, Blob, Effect, Incarnation, IntendedAttempt, NodeId, Verdict, WorkDescription,
};
use glenwood_custody::{Keepers, Step};
use stateright::{Checker, Model, Property};

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request(usize, NodeId, RegisterOp),
    Reply(NodeId, usize, Answer),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// It has no request yet.
    Idle,
    /// It waits for promises or polls the register.
    Preparing,
    /// Its intent is being written.
    WritingIntent,
    /// Its attempt has been sent.
    IntendedAttempt,
    /// It has finished.
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    proposer: Option<Proposer>,
    phase: Phase,
    /// The last request sent to each keeper.
    last_requests: [Option<RegisterOp>; 3],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Node>,
    keepers: Vec<Option<Acceptor>>,
    net: BTreeSet<Message>,
    /// Number of attempts sent by each node.
    sent_attempts: Vec<usize>,
    /// Verdicts that any node reported.
    reported: BTreeSet<Verdict>,
    restarted: bool,
    /// The clients of the first node have left.
    has_left: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// A request is submitted at this node.
    Begin(usize),
    Deliver(Message),
    /// The keeper handles the message, but its answer is lost.
    DeliverWithoutAnswer(Message),
    /// This node suspects that the holder it watches is lost.
    SuspectHolder(usize),
    /// This node retries with a higher ballot.
    Retry(usize),
    /// A server answers this node's attempt.
    Answered(usize),
    /// This node's attempt is proven never to have run, and the node releases the work.
    NeverRan(usize),
    /// This keeper loses its state.
    Restart(usize),
    /// The clients of this node, which holds the work, leave.
    ClientsLeave(usize),
}

/// A safeguard that is disabled to check that the properties detect its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disabled {
    Nothing,
    /// Attempts are sent before their intent is stored.
    IntentStorage,
    /// A restarted keeper votes at once.
    RestartDelay,
    /// A holder reports its verdict before it is stored at a majority.
    VerdictStorage,
    /// Intents of earlier holders are ignored.
    EarlierIntents,
}

struct Case {
    effect: Effect,
    nodes: usize,
    max_rounds: u64,
    /// Maximum number of attempts by all holders together.
    max_attempts: usize,
    restarts: bool,
    /// Delivers keepers' answers at any later time as well. Otherwise they are delivered at once or
    /// never, which leaves far fewer states: a node reacts to an answer by sending requests, and those
    /// are delayed in either case.
    delay_answers: bool,
    /// The clients of the first node may leave at any time.
    clients_leave: bool,
    disabled: Disabled,
}

fn incarnation(node: usize) -> Incarnation {
    Incarnation { node: NodeId(100 + node as u64), number: node as u64 + 1 }
}

impl Case {
    fn keepers() -> Keepers {
        Keepers::single_group((0..3).map(NodeId).collect())
    }

    /// Processes a node's steps and sends its pending requests.
    fn process_node(&self, state: &mut State, n: usize) {
        let State { nodes, net, sent_attempts, reported, .. } = state;
        let Node { proposer, phase, last_requests } = &mut nodes[n];
        let Some(proposer) = proposer else { return };
        while let Some(step) = proposer.poll_step() {
            match step {
                Step::Acquired { earlier, .. } => {
                    let at_limit = earlier.len() >= self.max_attempts;
                    let sent =
                        IntendedAttempt { server: n as u64, zone: 0, cell: 0, at_ms: 0, never_ran: false };
                    if !at_limit && proposer.write_intent(sent) {
                        *phase = Phase::WritingIntent;
                        if self.disabled == Disabled::IntentStorage {
                            (sent_attempts[n], *phase) = (sent_attempts[n] + 1, Phase::IntendedAttempt);
                        }
                    } else {
                        proposer.release();
                        *phase = Phase::Done;
                    }
                }
                Step::SendAllowed if *phase == Phase::WritingIntent => {
                    (sent_attempts[n], *phase) = (sent_attempts[n] + 1, Phase::IntendedAttempt)
                }
                Step::SendAllowed => {}
                Step::Superseded if *phase != Phase::Done => *phase = Phase::Preparing,
                Step::Superseded => {}
                Step::Verdict(verdict) => {
                    reported.insert(verdict);
                    *phase = Phase::Done;
                }
                Step::Released => *phase = Phase::Done,
            }
        }
        for (to, op) in proposer.pending_requests() {
            let last = &mut last_requests[to.0 as usize];
            // A repeated read is a new request.
            if last.as_ref() != Some(&op) || op == RegisterOp::Read {
                *last = Some(op.clone());
                net.insert(Message::Request(n, to, op));
            }
        }
    }

    /// The answer as the node sees it.
    fn as_seen(&self, answer: Answer) -> Answer {
        match answer {
            Answer::Promised(ballot, Some((stamp, mut record)))
                if self.disabled == Disabled::EarlierIntents =>
            {
                record.sent.clear();
                Answer::Promised(ballot, Some((stamp, record)))
            }
            other => other,
        }
    }

    /// Drops messages that can have no further effect, to reduce the number of states. Ballots only grow,
    /// so a request that a keeper would reject now, with an answer that the sender would ignore, stays
    /// without effect. A read that is dropped here is sent again when needed.
    fn drop_ineffective_messages(state: &mut State) {
        let State { nodes, keepers, net, .. } = state;
        net.retain(|message| {
            let Message::Request(n, to, op) = message else { return true };
            let (Some(proposer), Some(acceptor)) = (&nodes[*n].proposer, &keepers[to.0 as usize]) else {
                return false;
            };
            let (mut after, mut asker) = (acceptor.clone(), proposer.clone());
            let answer = match op {
                RegisterOp::PrepareNew(ballot) => after.prepare_new(*ballot),
                RegisterOp::Prepare(ballot) => after.prepare(*ballot),
                RegisterOp::Accept(stamp, record) => after.accept(*stamp, record),
                RegisterOp::Read => return proposer.is_watching(),
            };
            asker.handle_answer(*to, answer);
            after != *acceptor || asker != *proposer
        });
    }

    fn highest_round(proposer: &Proposer) -> u64 {
        proposer
            .pending_requests()
            .iter()
            .map(|(_, q)| match q {
                RegisterOp::PrepareNew(b) | RegisterOp::Prepare(b) => b.round,
                RegisterOp::Accept(stamp, _) => stamp.ballot.round,
                RegisterOp::Read => 0,
            })
            .max()
            .unwrap_or(0)
    }
}

impl Model for Case {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            nodes: vec![
                Node { proposer: None, phase: Phase::Idle, last_requests: [None, None, None] };
                self.nodes
            ],
            keepers: vec![Some(Acceptor::default()); 3],
            net: BTreeSet::new(),
            sent_attempts: vec![0; self.nodes],
            reported: BTreeSet::new(),
            restarted: false,
            has_left: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for message in &state.net {
            actions.push(Action::Deliver(message.clone()));
            let may_be_lost = matches!(message, Message::Request(_, _, op) if *op != RegisterOp::Read);
            if !self.delay_answers && may_be_lost {
                actions.push(Action::DeliverWithoutAnswer(message.clone()));
            }
        }
        for (n, node) in state.nodes.iter().enumerate() {
            match &node.proposer {
                // The nodes are symmetric, so they receive their requests in order of their numbers.
                None if n == 0 || state.nodes[n - 1].proposer.is_some() => actions.push(Action::Begin(n)),
                None => {}
                Some(proposer) if proposer.is_watching() && proposer.holder().is_some() => {
                    actions.push(Action::SuspectHolder(n))
                }
                Some(proposer) if proposer.is_preempted() => actions.push(Action::Retry(n)),
                Some(_) => {}
            }
            if node.phase == Phase::IntendedAttempt {
                actions.push(Action::Answered(n));
                actions.push(Action::NeverRan(n));
            }
        }
        if self.restarts && !state.restarted {
            actions.push(Action::Restart(0));
        }
        let is_held = || state.nodes[0].proposer.as_ref().is_some_and(Proposer::is_holder);
        if self.clients_leave && !state.has_left && is_held() {
            actions.push(Action::ClientsLeave(0));
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        if let Action::Deliver(message) | Action::DeliverWithoutAnswer(message) = &action {
            state.net.remove(message);
        }
        match action {
            Action::Begin(n) => {
                let about = WorkDescription {
                    effect: self.effect,
                    class: String::new(),
                    remaining_ms: 1000,
                    request: None,
                };
                state.nodes[n].proposer = Some(Proposer::for_request(incarnation(n), Self::keepers(), about));
                state.nodes[n].phase = Phase::Preparing;
                self.process_node(&mut state, n);
            }
            Action::Deliver(Message::Request(n, to, ref op))
            | Action::DeliverWithoutAnswer(Message::Request(n, to, ref op)) => {
                // A restarted keeper gives no votes.
                let acceptor = state.keepers[to.0 as usize].as_mut()?;
                let answer = match op {
                    RegisterOp::PrepareNew(ballot) => acceptor.prepare_new(*ballot),
                    RegisterOp::Prepare(ballot) => acceptor.prepare(*ballot),
                    RegisterOp::Accept(stamp, record) => acceptor.accept(*stamp, record),
                    RegisterOp::Read => acceptor.read(),
                };
                if self.delay_answers {
                    state.net.insert(Message::Reply(to, n, answer));
                } else if matches!(action, Action::Deliver(_)) {
                    state.nodes[n].proposer.as_mut()?.handle_answer(to, self.as_seen(answer));
                    self.process_node(&mut state, n);
                }
            }
            Action::Deliver(Message::Reply(by, n, answer))
            | Action::DeliverWithoutAnswer(Message::Reply(by, n, answer)) => {
                state.nodes[n].proposer.as_mut()?.handle_answer(by, self.as_seen(answer));
                self.process_node(&mut state, n);
            }
            Action::SuspectHolder(n) => {
                state.nodes[n].proposer.as_mut()?.holder_lost();
                self.process_node(&mut state, n);
            }
            Action::Retry(n) => {
                state.nodes[n].proposer.as_mut()?.retry();
                self.process_node(&mut state, n);
            }
            Action::Answered(n) => {
                let verdict = Verdict::Served(Blob { digest: n as u64, length: 1 });
                if self.disabled == Disabled::VerdictStorage {
                    state.reported.insert(verdict);
                }
                state.nodes[n].proposer.as_mut()?.write_verdict(verdict);
                state.nodes[n].phase = Phase::Done;
                self.process_node(&mut state, n);
            }
            Action::NeverRan(n) => {
                let proposer = state.nodes[n].proposer.as_mut()?;
                let last = proposer.record().map_or(0, |record| record.sent.len() - 1);
                proposer.mark_never_ran(last);
                proposer.release();
                // An attempt that never ran counts as not sent.
                state.sent_attempts[n] -= 1;
                state.nodes[n].phase = Phase::Done;
                self.process_node(&mut state, n);
            }
            Action::Restart(k) => {
                state.keepers[k] = (self.disabled == Disabled::RestartDelay).then(Acceptor::default);
                state.restarted = true;
            }
            Action::ClientsLeave(n) => {
                state.nodes[n].proposer.as_mut()?.write_client_wait(0);
                state.has_left = true;
                self.process_node(&mut state, n);
            }
        }
        Self::drop_ineffective_messages(&mut state);
        (state != *before).then_some(state)
    }

    fn within_boundary(&self, state: &State) -> bool {
        state
            .nodes
            .iter()
            .filter_map(|node| node.proposer.as_ref())
            .all(|c| Self::highest_round(c) <= self.max_rounds)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("unsafe work is sent at most once", |case: &Case, state: &State| {
                case.effect == Effect::Keyed || state.sent_attempts.iter().sum::<usize>() <= 1
            }),
            Property::always(
                "all holders together stay within the attempt limit",
                |case: &Case, state: &State| state.sent_attempts.iter().sum::<usize>() <= case.max_attempts,
            ),
            Property::always("at most one verdict is reported", |_, state: &State| state.reported.len() <= 1),
            Property::sometimes("a work is taken over and finishes", |_, state: &State| {
                state.sent_attempts[0] <= 1
                    && state.nodes[1].phase == Phase::Done
                    && !state.reported.is_empty()
            }),
        ]
    }
}

/// Explores a case up to the given number of states. Returns the number of states and the violated
/// properties.
fn explore(case: Case, state_limit: usize) -> (usize, Vec<&'static str>) {
    let name = format!(
        "{:?}, {} nodes, {} rounds, restart {}, disabled {:?}",
        case.effect, case.nodes, case.max_rounds, case.restarts, case.disabled
    );
    // Breadth-first search finds violations close to the initial state soonest. Depth-first search needs
    // the least memory to visit all states.
    let breadth_first = case.disabled != Disabled::Nothing;
    let finish_condition = stateright::HasDiscoveries::AnyFailures;
    let builder = case.checker().threads(6).target_state_count(state_limit).finish_when(finish_condition);
    let checker: Box<dyn FinishedChecker> = if breadth_first {
        Box::new(builder.spawn_bfs().join())
    } else {
        Box::new(builder.spawn_dfs().join())
    };
    let (states, all, depth) = checker.counts();
    println!("{name}: {states} unique states, {all} generated, depth {depth}");
    let mut failed = Vec::new();
    for (what, path) in checker.found() {
        if what != "a work is taken over and finishes" {
            println!("  {what}: {path}");
            failed.push(what);
        }
    }
    (states, failed)
}

/// A finished checker of either search order.
trait FinishedChecker {
    fn counts(&self) -> (usize, usize, usize);
    fn found(&self) -> Vec<(&'static str, String)>;
}

impl<C: Checker<Case>> FinishedChecker for C {
    fn counts(&self) -> (usize, usize, usize) {
        (self.unique_state_count(), self.state_count(), self.max_depth())
    }

    fn found(&self) -> Vec<(&'static str, String)> {
        let path = |(name, path): (&'static str, stateright::Path<State, Action>)| {
            (name, format!("{:?}", path.into_actions()))
        };
        self.discoveries().into_iter().map(path).collect()
    }
}

/// Maximum number of generated states: GLENWOOD_STATES or the default.
fn max_states(default: usize) -> usize {
    std::env::var("GLENWOOD_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

#[test]
fn properties_hold_for_three_nodes_up_to_the_state_limit() {
    for effect in [Effect::Unsafe, Effect::Keyed] {
        let case = Case {
            effect,
            nodes: 3,
            max_rounds: 3,
            max_attempts: 2,
            restarts: true,
            delay_answers: true,
            clients_leave: false,
            disabled: Disabled::Nothing,
        };
        let (states, failed) = explore(case, max_states(300_000));
        assert!(failed.is_empty() && states > 1000, "{failed:?}");
    }
}

#[test]
fn disabling_each_safeguard_violates_a_property() {
    for (disabled, effect, property) in [
        (Disabled::IntentStorage, Effect::Unsafe, "unsafe work is sent at most once"),
        (Disabled::EarlierIntents, Effect::Unsafe, "unsafe work is sent at most once"),
        (Disabled::RestartDelay, Effect::Unsafe, "unsafe work is sent at most once"),
        (Disabled::EarlierIntents, Effect::Keyed, "all holders together stay within the attempt limit"),
        (Disabled::VerdictStorage, Effect::Unsafe, "at most one verdict is reported"),
    ] {
        let restarts = disabled == Disabled::RestartDelay;
        let case = Case {
            effect,
            nodes: 2,
            max_rounds: 3,
            max_attempts: 1,
            restarts,
            delay_answers: false,
            clients_leave: false,
            disabled,
        };
        let (_, failed) = explore(case, max_states(3_000_000));
        assert!(failed.contains(&property), "{disabled:?} {effect:?}: {failed:?}");
    }
}

#[test]
fn properties_hold_for_two_nodes_in_every_state() {
    for effect in [Effect::Unsafe, Effect::Keyed] {
        for restarts in [false, true] {
            let case = Case {
                effect,
                nodes: 2,
                max_rounds: 2,
                max_attempts: 2,
                restarts,
                delay_answers: false,
                clients_leave: false,
                disabled: Disabled::Nothing,
            };
            let (states, failed) = explore(case, max_states(1_000_000));
            assert!(failed.is_empty() && states > 1000, "{failed:?}");
        }
    }
}

/// Guards against an intent, a verdict or a takeover that goes wrong where the record is written again amid
/// it, as the clients leave.
#[test]
fn properties_hold_where_the_clients_leave_at_any_step() {
    for effect in [Effect::Unsafe, Effect::Keyed] {
        let case = Case {
            effect,
            nodes: 2,
            max_rounds: 2,
            max_attempts: 2,
            restarts: false,
            delay_answers: false,
            clients_leave: true,
            disabled: Disabled::Nothing,
        };
        let (states, failed) = explore(case, max_states(1_000_000));
        assert!(failed.is_empty() && states > 1000, "{failed:?}");
    }
}
