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
    pub time: usize,
    /// The node that it was sent to.
    pub node: usize,
    /// The answer.
    pub answer: Answer,
    /// Time until the answer.
    pub took: Duration,
    /// When the answer arrived.
    pub at: Instant,
}

/// Requests sent at a fixed rate to some nodes in turn, until stopped.
pub struct Load {
    over: Arc<AtomicBool>,
    asked: Arc<AtomicU64>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    asking: JoinHandle<()>,
}

/// Decides where a client repeats a request whose answer was lost: from the request's number, the number of
/// earlier repeats and the node, to the nodes that are asked next.
pub type Again = Arc<dyn Fn(u64, usize, usize) -> Vec<usize> + Send + Sync>;

impl Load {
    /// Starts the load. `make` builds the request from its number and repeat count, and `to` gives the
    /// current address of a node. When an answer is lost, `again` names the nodes to which the client sends
    /// the repeat, to all of them at once; an empty list makes the client give up.
    pub fn start(
        nodes: Vec<usize>,
        per_second: f64,
        to: Arc<dyn Fn(usize) -> SocketAddr + Send + Sync>,
        make: Arc<dyn Fn(u64, usize) -> Ask + Send + Sync>,
        again: Again,
    ) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let asked = Arc::new(AtomicU64::new(0));
        let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
        let (ended, counted, noted) = (over.clone(), asked.clone(), outcomes.clone());
        let asking = runtime().spawn(async move {
            let mut pace = tokio::time::interval(Duration::from_secs_f64(1.0 / per_second));
            pace.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
            let mut clients = tokio::task::JoinSet::new();
            while !ended.load(Ordering::SeqCst) {
                pace.tick().await;
                let number = counted.fetch_add(1, Ordering::SeqCst);
                let node = nodes[number as usize % nodes.len()];
                let (to, make, again, noted) = (to.clone(), make.clone(), again.clone(), noted.clone());
                clients.spawn(async move {
                    let mut next = vec![node];
                    for time in 0.. {
                        let asks = next.iter().map(|node| {
                            let (ask, address, node) = (make(number, time), to(*node), *node);
                            async move {
                                let began = Instant::now();
                                let answer = ask_at(address, &ask).await;
                                Outcome {
                                    number,
                                    time,
                                    node,
                                    answer,
                                    took: began.elapsed(),
                                    at: Instant::now(),
                                }
                            }
                        });
                        let mut waiting: tokio::task::JoinSet<Outcome> = asks.collect();
                        let (mut lost, mut any) = (None, false);
                        while let Some(Ok(outcome)) = waiting.join_next().await {
                            any |= outcome.answer != Answer::Lost;
                            lost = Some(outcome.node);
                            noted.lock().unwrap_or_else(PoisonError::into_inner).push(outcome);
                        }
                        next = if any { Vec::new() } else { again(number, time, lost.unwrap_or(node)) };
                        if next.is_empty() {
                            return;
                        }
                    }
                });
                while clients.try_join_next().is_some() {}
            }
            while clients.join_next().await.is_some() {}
        });
        Self { over, asked, outcomes, asking }
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
    /// If that takes longer than [`crate::PATIENCE`].
    pub fn end(self) -> Vec<Outcome> {
        self.over.store(true, Ordering::SeqCst);
        crate::wait("the last answers", self.asking).expect("no client panics");
        let outcomes = std::mem::take(&mut *self.outcomes.lock().unwrap_or_else(PoisonError::into_inner));
        outcomes
    }
}
