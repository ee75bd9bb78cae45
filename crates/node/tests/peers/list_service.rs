//! A list service for thousands of servers, whose watches may stop sending or end instead of sending a
//! change, and whose calls may get no response.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use glenwood_testkit::{http, runtime};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use super::lists::WATCH_HEAD;
use super::{answer, list_line};

/// Interval of the empty lines that keep an idle watch alive.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// How open watches behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchBehavior {
    /// They send every change.
    Open,
    /// They stay open but send nothing more.
    Silent,
    /// Every other one ends at the next change instead of sending it.
    HalfEndUnsent,
}

struct State {
    version: u64,
    /// The line with the full list.
    full_list: String,
    /// The line of each change, with its version.
    updates: Vec<(u64, String)>,
    watches: WatchBehavior,
    /// Watches with a number below this one are affected by `watches`.
    affected_below: usize,
    /// Number of watches opened so far.
    opened: usize,
    /// How many of the next calls get no response.
    unanswered: usize,
    calls: usize,
}

/// The service; clones share it.
#[derive(Clone)]
pub struct ListService {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
    accept_task: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl ListService {
    /// Stops the service; all connections to it end.
    pub fn stop(&self) {
        self.accept_task
            .lock()
            .expect("mutex poisoned")
            .take()
            .into_iter()
            .for_each(|accept_task| accept_task.abort());
    }

    /// Starts a service with this list.
    pub fn start(hosts: &[Value]) -> Self {
        let listener =
            glenwood_testkit::wait("a listener", TcpListener::bind("127.0.0.1:0")).expect("failed to bind");
        let state = State {
            version: 1,
            full_list: list_line(1, true, hosts),
            updates: Vec::new(),
            watches: WatchBehavior::Open,
            affected_below: 0,
            opened: 0,
            unanswered: 0,
            calls: 0,
        };
        let service = Self {
            address: listener.local_addr().expect("no local address"),
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(watch::channel(1).0),
            accept_task: Arc::default(),
        };
        let this = service.clone();
        let accept_task = runtime().spawn(async move {
            // Dropped, and so aborted, with this task.
            let mut tasks = JoinSet::new();
            loop {
                let (stream, _) = listener.accept().await.expect("failed to accept");
                let this = this.clone();
                tasks.spawn(async move {
                    // Ends with an error when the node closes the connection.
                    let _ = this.serve(stream).await;
                });
                while tasks.try_join_next().is_some() {}
            }
        });
        *service.accept_task.lock().expect("mutex poisoned") = Some(accept_task);
        service
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().expect("mutex poisoned"))
    }

    /// Replaces the list by `hosts`, and sends `updates` to all watches.
    pub fn publish(&self, hosts: &[Value], updates: &[Value]) {
        let version = self.with_state(|state| {
            state.version += 1;
            state.full_list = list_line(state.version, true, hosts);
            state.updates.push((state.version, list_line(state.version, false, updates)));
            state.version
        });
        self.changed.send_replace(version);
    }

    /// All open watches stop sending but stay open, and the next `unanswered` calls get no response.
    pub fn silence_watches(&self, unanswered: usize) {
        self.set_fault(WatchBehavior::Silent, unanswered);
    }

    /// Every other open watch ends at the next change instead of sending it.
    pub fn end_half_of_watches(&self) {
        self.set_fault(WatchBehavior::HalfEndUnsent, 0);
    }

    fn set_fault(&self, watches: WatchBehavior, unanswered: usize) {
        self.with_state(|state| {
            (state.watches, state.affected_below, state.unanswered) = (watches, state.opened, unanswered);
        });
    }

    /// Number of watches opened and of calls received so far.
    pub fn counts(&self) -> (usize, usize) {
        self.with_state(|state| (state.opened, state.calls))
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        let Some(request) = http::read(&mut stream).await? else { return Ok(()) };
        let is_answered = self.with_state(|state| {
            state.calls += 1;
            let is_answered = state.unanswered == 0;
            state.unanswered = state.unanswered.saturating_sub(1);
            is_answered
        });
        if !is_answered {
            return until_closed(stream).await;
        }
        if !request.target().contains("watch") {
            let full_list = self.with_state(|state| state.full_list.clone());
            return stream.get_mut().write_all(&answer(200, "", &full_list)).await;
        }
        self.watch(stream).await
    }

    async fn watch(&self, mut stream: BufReader<TcpStream>) -> std::io::Result<()> {
        let mut changed = self.changed.subscribe();
        let (number, mut version, full_list) = self.with_state(|state| {
            state.opened += 1;
            (state.opened - 1, state.version, state.full_list.clone())
        });
        stream.get_mut().write_all(WATCH_HEAD).await?;
        write_line(&mut stream, &full_list).await?;
        loop {
            let _ = tokio::time::timeout(KEEPALIVE_INTERVAL, changed.changed()).await;
            let (watches, updates, newest) = self.with_state(|state| {
                let is_affected = number < state.affected_below;
                let watches = if is_affected { state.watches } else { WatchBehavior::Open };
                let later = state.updates.iter().filter(|(changed_in, _)| *changed_in > version);
                let updates: Vec<String> = later.map(|(_, update)| update.clone()).collect();
                (watches, updates, state.version)
            });
            match watches {
                WatchBehavior::Silent => return until_closed(stream).await,
                WatchBehavior::HalfEndUnsent if number % 2 == 0 && !updates.is_empty() => return Ok(()),
                WatchBehavior::Open | WatchBehavior::HalfEndUnsent => {}
            }
            version = newest;
            for line in &updates {
                write_line(&mut stream, line).await?;
            }
            if updates.is_empty() {
                write_line(&mut stream, "").await?;
            }
        }
    }
}

async fn write_line(stream: &mut BufReader<TcpStream>, text: &str) -> std::io::Result<()> {
    let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    stream.get_mut().write_all(chunk.as_bytes()).await
}

/// Sends nothing until the node closes the connection.
async fn until_closed(mut stream: BufReader<TcpStream>) -> std::io::Result<()> {
    let mut buffer = [0; 256];
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}
