//! A list service for thousands of servers, whose watches fall silent or end in place of telling, and whose calls may have no answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use glenwood_testkit::{http, runtime};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use super::lists::WATCH;
use super::{answer, line};

/// How often a watch with no news says that it stands.
const ALIVE: Duration = Duration::from_millis(500);

/// What becomes of watches that stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Watches {
    Stand,
    /// They say nothing more, and stay open.
    FallSilent,
    /// Every other one ends with the next change, and does not tell it.
    HalfEndUntold,
}

struct State {
    version: u64,
    whole: String,
    news: Vec<(u64, String)>,
    watches: Watches,
    /// Watches that began before this number are the ones that fall silent or end.
    troubled_before: usize,
    begun: usize,
    /// How many calls from now on have no answer.
    unanswered: usize,
    calls: usize,
}

/// The service.
#[derive(Clone)]
pub struct ListService {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
    accepting: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl ListService {
    /// Ends it.
    pub fn end(&self) {
        self.accepting.lock().expect("no panic").take().into_iter().for_each(|accepting| accepting.abort());
    }

    /// Starts one with a list.
    pub fn start(hosts: &[Value]) -> Self {
        let listener =
            glenwood_testkit::wait("a listener", TcpListener::bind("127.0.0.1:0")).expect("a port");
        let state = State {
            version: 1,
            whole: line(1, true, hosts),
            news: Vec::new(),
            watches: Watches::Stand,
            troubled_before: 0,
            begun: 0,
            unanswered: 0,
            calls: 0,
        };
        let service = Self {
            address: listener.local_addr().expect("bound"),
            state: Arc::new(Mutex::new(state)),
            changed: Arc::new(watch::channel(1).0),
            accepting: Arc::default(),
        };
        let this = service.clone();
        let accepting = runtime().spawn(async move {
            // Ended with this task.
            let mut serving = JoinSet::new();
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                let this = this.clone();
                serving.spawn(async move {
                    // It ends when the node has had enough.
                    let _ = this.serve(stream).await;
                });
                while serving.try_join_next().is_some() {}
            }
        });
        *service.accepting.lock().expect("no panic") = Some(accepting);
        service
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().expect("no panic"))
    }

    /// The list is this from now on, by these news.
    pub fn tell(&self, hosts: &[Value], news: &[Value]) {
        let version = self.with(|state| {
            state.version += 1;
            state.whole = line(state.version, true, hosts);
            state.news.push((state.version, line(state.version, false, news)));
            state.version
        });
        self.changed.send_replace(version);
    }

    /// All watches that stand fall silent, and so many calls from now on have no answer.
    pub fn fall_silent(&self, unanswered: usize) {
        self.trouble(Watches::FallSilent, unanswered);
    }

    /// With the next change every other watch ends, and does not tell it.
    pub fn end_half_untold(&self) {
        self.trouble(Watches::HalfEndUntold, 0);
    }

    fn trouble(&self, watches: Watches, unanswered: usize) {
        self.with(|state| {
            (state.watches, state.troubled_before, state.unanswered) = (watches, state.begun, unanswered);
        });
    }

    /// How many watches were ever begun, and how many calls came.
    pub fn counts(&self) -> (usize, usize) {
        self.with(|state| (state.begun, state.calls))
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        let Some(asked) = http::read(&mut stream).await? else { return Ok(()) };
        let is_answered = self.with(|state| {
            state.calls += 1;
            let is_answered = state.unanswered == 0;
            state.unanswered = state.unanswered.saturating_sub(1);
            is_answered
        });
        if !is_answered {
            return until_closed(stream).await;
        }
        if !asked.target().contains("watch") {
            let whole = self.with(|state| state.whole.clone());
            return stream.get_mut().write_all(&answer(200, "", &whole)).await;
        }
        self.watch(stream).await
    }

    async fn watch(&self, mut stream: BufReader<TcpStream>) -> std::io::Result<()> {
        let mut changed = self.changed.subscribe();
        let (number, mut version, whole) = self.with(|state| {
            state.begun += 1;
            (state.begun - 1, state.version, state.whole.clone())
        });
        stream.get_mut().write_all(WATCH).await?;
        say(&mut stream, &whole).await?;
        loop {
            let _ = tokio::time::timeout(ALIVE, changed.changed()).await;
            let (watches, news, newest) = self.with(|state| {
                let is_troubled = number < state.troubled_before;
                let watches = if is_troubled { state.watches } else { Watches::Stand };
                let new = state.news.iter().filter(|(at, _)| *at > version);
                let news: Vec<String> = new.map(|(_, news)| news.clone()).collect();
                (watches, news, state.version)
            });
            match watches {
                Watches::FallSilent => return until_closed(stream).await,
                Watches::HalfEndUntold if number % 2 == 0 && !news.is_empty() => return Ok(()),
                Watches::Stand | Watches::HalfEndUntold => {}
            }
            version = newest;
            for line in &news {
                say(&mut stream, line).await?;
            }
            if news.is_empty() {
                say(&mut stream, "").await?;
            }
        }
    }
}

async fn say(stream: &mut BufReader<TcpStream>, words: &str) -> std::io::Result<()> {
    let chunk = format!("{:x}\r\n{words}\n\r\n", words.len() + 1);
    stream.get_mut().write_all(chunk.as_bytes()).await
}

/// Says nothing until the node has had enough.
async fn until_closed(mut stream: BufReader<TcpStream>) -> std::io::Result<()> {
    let mut rest = [0; 256];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}
