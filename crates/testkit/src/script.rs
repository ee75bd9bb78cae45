//! Scripts for the behaviour of test servers of both protocols, and the ledger of what the servers executed.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Executes it and answers.
    Serve,
    /// Executes it and answers after a delay.
    ServeAfter(Duration),
    /// Answers with an error.
    Error {
        /// Whether the request is executed first.
        executed: bool,
    },
    /// Turns it away without processing it.
    TurnAway,
    /// Rejects it as an invalid request.
    Reject,
    /// Executes it and never answers.
    Hold,
    /// Closes the connection without executing it.
    DropBefore,
    /// Executes it and closes the connection.
    DropAfter,
    /// Executes it, writes a part of the answer and closes the connection.
    DropMidway,
    /// Executes it and answers with invalid bytes.
    Garble,
    /// Executes it and answers after the next answer on its connection, or after this time if there is none.
    Reorder(Duration),
}

/// A request as a server receives it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Name of the server.
    pub server: String,
    /// Class.
    pub class: String,
    /// Path and query after the class.
    pub path: String,
    /// Transaction id.
    pub txn: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Tenant, if any.
    pub org: Option<String>,
    /// User, if any.
    pub user: Option<String>,
    /// Remaining time that the node announces, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// Body.
    pub body: Vec<u8>,
    /// Number of earlier attempts with this id at servers of the same ledger.
    pub earlier_attempts: usize,
}

/// Decides what a server does with a request.
pub type Script = Arc<dyn Fn(&ReceivedRequest) -> Step + Send + Sync>;

/// A script that does the same with every request.
pub fn always(step: Step) -> Script {
    Arc::new(move |_| step)
}

/// Counts for one transaction id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Attempts that reached a server completely.
    pub attempts: usize,
    /// Number of executions.
    pub executions: usize,
}

#[derive(Default)]
struct Counts {
    by_id: BTreeMap<String, Count>,
    /// Time of the last execution of each key in each cell. The key is not executed again within the
    /// retention time.
    by_key: BTreeMap<(u64, String), Instant>,
    /// Number of executions of each key, over all cells.
    key_runs: BTreeMap<String, usize>,
    /// Number of executions of each class and path, under any id.
    path_runs: BTreeMap<String, usize>,
    probes: usize,
}

/// What all servers of a fleet received and executed.
#[derive(Clone)]
pub struct Ledger {
    counts: Arc<Mutex<Counts>>,
    key_retention: Duration,
}

impl Ledger {
    /// An empty ledger. The servers of a cell do not execute a key again within `key_retention`.
    pub fn new(key_retention: Duration) -> Self {
        Self { counts: Arc::default(), key_retention }
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an attempt that arrived completely, and returns the number of earlier attempts with this id.
    pub fn record_attempt(&self, txn: &str) -> usize {
        let mut counts = self.counts();
        let count = counts.by_id.entry(txn.to_string()).or_default();
        count.attempts += 1;
        count.attempts - 1
    }

    /// Executes a request, unless its key was executed in this cell within the retention time.
    pub fn execute(&self, seen: &ReceivedRequest, cell: u64) {
        let mut counts = self.counts();
        if let Some(key) = &seen.key {
            let now = Instant::now();
            let last_execution = counts.by_key.get(&(cell, key.clone()));
            if last_execution.is_some_and(|at| now - *at < self.key_retention) {
                return;
            }
            counts.by_key.insert((cell, key.clone()), now);
            *counts.key_runs.entry(key.clone()).or_default() += 1;
        }
        counts.by_id.entry(seen.txn.clone()).or_default().executions += 1;
        *counts.path_runs.entry(format!("{}{}", seen.class, seen.path)).or_default() += 1;
    }

    /// Records a probe.
    pub fn record_probe(&self) {
        self.counts().probes += 1;
    }

    /// Number of probes received.
    pub fn probes(&self) -> usize {
        self.counts().probes
    }

    /// Counts for one id.
    pub fn count_of(&self, txn: &str) -> Count {
        self.counts().by_id.get(txn).cloned().unwrap_or_default()
    }

    /// Number of executions of a key, over all cells.
    pub fn runs_of_key(&self, key: &str) -> usize {
        self.counts().key_runs.get(key).copied().unwrap_or(0)
    }

    /// Number of executions of a class and path under any id: a client's repeat has a new id.
    pub fn runs_of_path(&self, class: &str, path: &str) -> usize {
        self.counts().path_runs.get(&format!("{class}{path}")).copied().unwrap_or(0)
    }

    /// Number of ids that reached servers.
    pub fn ids(&self) -> usize {
        self.counts().by_id.len()
    }

    /// All ids that were executed more than once.
    pub fn executed_repeatedly(&self) -> Vec<(String, Count)> {
        let counts = self.counts();
        counts.by_id.iter().filter(|(_, c)| c.executions > 1).map(|(id, c)| (id.clone(), c.clone())).collect()
    }
}
