//! Clients of a rig: requests at a fixed rate, from clients that repeat a request whose answer was lost.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use crate::client::{Answer, Ask, Client};
use crate::runtime;
use crate::server::Protocol;

/// Sends one request on a new connection; [`Answer::Lost`] if the node cannot be reached.
pub async fn ask_at(address: SocketAddr, ask: &Ask) -> Answer {
    match Client::connect(Protocol::Http, address).await {
        Ok(mut client) => client.ask(ask).await,
        Err(_) => Answer::Lost,
    }
}

/// Result of sending a request once.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Number of the request.
    pub number: u64,
    /// How often the client had sent the request before: 0 for the first time.
    pub repeat: usize,
    /// The node that it was sent to.
    pub node: usize,
    /// The answer.
    pub answer: Answer,
    /// Time until the answer.
    pub took: Duration,
    /// When the answer arrived.
    pub answered_at: Instant,
}

/// Requests sent at a fixed rate to some nodes in turn, until stopped.
pub struct Load {
    stopped: Arc<AtomicBool>,
    asked: Arc<AtomicU64>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    task: JoinHandle<()>,
}

/// Decides where a client repeats a request whose answer was lost: from the request's number, the number of
/// earlier repeats and the node, to the nodes that are asked next.
pub type RepeatTargets = Arc<dyn Fn(u64, usize, usize) -> Vec<usize> + Send + Sync>;

impl Load {
    /// Starts the load. `build` makes the request from its number and repeat count, and `address_of` gives
    /// the current address of a node. When an answer is lost, `repeat_targets` names the nodes to which the
    /// client sends the repeat, to all of them at once; an empty list makes the client give up.
    pub fn start(
        nodes: Vec<usize>,
        per_second: f64,
        address_of: Arc<dyn Fn(usize) -> SocketAddr + Send + Sync>,
        build: Arc<dyn Fn(u64, usize) -> Ask + Send + Sync>,
        repeat_targets: RepeatTargets,
    ) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let asked = Arc::new(AtomicU64::new(0));
        let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
        let (stopping, counter, results) = (stopped.clone(), asked.clone(), outcomes.clone());
        let task = runtime().spawn(async move {
            let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / per_second));
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
            let mut clients = tokio::task::JoinSet::new();
            while !stopping.load(Ordering::SeqCst) {
                ticks.tick().await;
                let number = counter.fetch_add(1, Ordering::SeqCst);
                let node = nodes[number as usize % nodes.len()];
                let (address_of, build, repeat_targets, results) =
                    (address_of.clone(), build.clone(), repeat_targets.clone(), results.clone());
                clients.spawn(async move {
                    let mut targets = vec![node];
                    for repeat in 0.. {
                        let sends = targets.iter().map(|node| {
                            let (request, address, node) = (build(number, repeat), address_of(*node), *node);
                            async move {
                                let sent_at = Instant::now();
                                let answer = ask_at(address, &request).await;
                                Outcome {
                                    number,
                                    repeat,
                                    node,
                                    answer,
                                    took: sent_at.elapsed(),
                                    answered_at: Instant::now(),
                                }
                            }
                        });
                        let mut pending: tokio::task::JoinSet<Outcome> = sends.collect();
                        let (mut lost_node, mut answered) = (None, false);
                        while let Some(Ok(outcome)) = pending.join_next().await {
                            answered |= outcome.answer != Answer::Lost;
                            lost_node = Some(outcome.node);
                            results.lock().unwrap_or_else(PoisonError::into_inner).push(outcome);
                        }
                        targets = if answered {
                            Vec::new()
                        } else {
                            repeat_targets(number, repeat, lost_node.unwrap_or(node))
                        };
                        if targets.is_empty() {
                            return;
                        }
                    }
                });
                while clients.try_join_next().is_some() {}
            }
            while clients.join_next().await.is_some() {}
        });
        Self { stopped, asked, outcomes, task }
    }

    /// Number of requests sent so far, without repeats.
    pub fn asked(&self) -> u64 {
        self.asked.load(Ordering::SeqCst)
    }

    /// Results so far.
    pub fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Stops sending and waits for the answers that are still outstanding.
    ///
    /// # Panics
    /// If that takes longer than [`crate::WAIT_TIMEOUT`].
    pub fn end(self) -> Vec<Outcome> {
        self.stopped.store(true, Ordering::SeqCst);
        crate::wait("the last answers", self.task).expect("a client panicked");
        let outcomes = std::mem::take(&mut *self.outcomes.lock().unwrap_or_else(PoisonError::into_inner));
        outcomes
    }
}
