//! A test discovery service: the server list, and watches on its changes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::http;
use crate::runtime;
use crate::server::{Protocol, StandIn};

/// Interval at which a watch without changes sends an empty line to show that it is alive.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// One entry of the server list.
pub fn host(
    name: &str,
    address: SocketAddr,
    protocol: Protocol,
    cell: u64,
    health: &str,
    started_ms: u64,
) -> Value {
    let dial = match protocol {
        Protocol::Http => address.to_string(),
        Protocol::Rpc => format!("msgpack-rpc://{address}"),
    };
    json!({"host": name, "dial": dial, "site": "a", "class": "m1", "block": cell, "health": health, "share": 1.0,
           "born_ms": started_ms})
}

/// The entry of a test server that is active.
pub fn active(server: &StandIn) -> Value {
    let identity = &server.identity;
    host(&identity.name, server.address, identity.protocol, identity.cell, "active", 0)
}

#[derive(Default)]
struct State {
    hosts: Vec<Value>,
    /// Each change with the version that it produced.
    changes: Vec<(u64, Value)>,
    version: u64,
}

/// A running discovery service. Dropping it ends the service.
pub struct Discovery {
    /// Address it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    accepting: JoinHandle<()>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Discovery {
    /// Starts a service with this list on a free port of 127.0.0.1.
    ///
    /// # Panics
    /// If no port is free.
    pub fn start(hosts: &[Value]) -> Self {
        Self::start_at("127.0.0.1:0".parse().expect("a valid address"), hosts)
    }

    /// Starts a service with this list at an address.
    ///
    /// # Panics
    /// If the address is not available.
    pub fn start_at(address: SocketAddr, hosts: &[Value]) -> Self {
        let listener =
            crate::wait("binding a listener", TcpListener::bind(address)).expect("cannot bind the listener");
        let address = listener.local_addr().expect("a bound socket has an address");
        let state = Arc::new(Mutex::new(State { hosts: hosts.to_vec(), changes: Vec::new(), version: 1 }));
        let (changed, changes) = watch::channel(1);
        let accepting = runtime().spawn(accept(listener, state.clone(), changes));
        Self { address, state, changed, accepting }
    }

    /// Changes or adds one entry and notifies all watches. An entry with the health `left` is removed from
    /// the list.
    pub fn update(&self, host: Value) {
        let mut state = lock(&self.state);
        state.version += 1;
        let version = state.version;
        let name = host["host"].clone();
        state.hosts.retain(|h| h["host"] != name);
        if host["health"] != "left" {
            state.hosts.push(host.clone());
        }
        state.changes.push((version, host));
        drop(state);
        self.changed.send_replace(version);
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(listener: TcpListener, state: Arc<Mutex<State>>, changed: watch::Receiver<u64>) {
    let mut conns = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let (state, changed) = (state.clone(), changed.clone());
        conns.spawn(async move {
            // An I/O error only ends this connection.
            let _ = serve(stream, state, changed).await;
        });
        while conns.try_join_next().is_some() {}
    }
}

async fn serve(
    stream: TcpStream,
    state: Arc<Mutex<State>>,
    mut changed: watch::Receiver<u64>,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    while let Some(request) = http::read(&mut stream).await? {
        let Some(from_version) = request.target().split("from=").nth(1) else {
            let full_list = {
                let state = lock(&state);
                json!({"seq": state.version, "whole": true, "hosts": state.hosts}).to_string()
            };
            stream.get_mut().write_all(&http::answer(200, "", full_list.as_bytes())).await?;
            continue;
        };
        let mut from_version: u64 = from_version.parse().unwrap_or(0);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.get_mut().write_all(head.as_bytes()).await?;
        loop {
            let line = {
                let state = lock(&state);
                changed.mark_unchanged();
                let new: Vec<&Value> =
                    state.changes.iter().filter(|(v, _)| *v > from_version).map(|(_, h)| h).collect();
                let line = if from_version == 0 {
                    // A watch from version 0 has nothing yet and gets the full list.
                    json!({"seq": state.version, "whole": true, "hosts": state.hosts}).to_string()
                } else if new.is_empty() {
                    String::new()
                } else {
                    json!({"seq": state.version, "whole": false, "hosts": new}).to_string()
                };
                from_version = state.version;
                line + "\n"
            };
            let chunk = format!("{:x}\r\n{line}\r\n", line.len());
            stream.get_mut().write_all(chunk.as_bytes()).await?;
            let _ = tokio::time::timeout(KEEPALIVE_INTERVAL, changed.changed()).await;
        }
    }
    Ok(())
}
