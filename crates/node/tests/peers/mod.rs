//! Runs the real program between scripted clients, servers and a discovery service on loopback sockets.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

pub mod answers;
pub mod calls;
pub mod dice;
pub mod links;
pub mod list_service;
pub mod lists;
pub mod many;
pub mod queued_list;
pub mod record;
pub mod strays;

/// Timeout of every wait for an expected event; far longer than any of them takes, even on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls a condition until it holds; panics after [`WAIT_TIMEOUT`].
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

// ---- Messages ----

/// An HTTP request or response.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
    /// Number of the connection on which it arrived, from 1.
    pub conn: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("invalid status line")
    }

    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).expect("invalid request line")
    }
}

/// Reads one message; `None` if the connection ends first.
fn read_message(reader: &mut BufReader<TcpStream>, conn: usize) -> Option<Message> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let mut message = Message { head, body: Vec::new(), conn };
    while message.header("transfer-encoding").is_some() {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        message.body.extend(&chunk[..size]);
        if size == 0 {
            return Some(message);
        }
    }
    let length = message.header("content-length").map_or(0, |v| v.parse().expect("invalid content length"));
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Formats a response with a body; each line of `headers` ends with CRLF.
pub fn answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

// ---- Servers ----

/// How a scripted server handles a request.
pub enum Reply {
    /// Responds at once.
    Now(Vec<u8>),
    /// Writes these bytes and closes the connection.
    ThenClose(Vec<u8>),
    /// Responds after a delay.
    After(Duration, Vec<u8>),
    /// Sends no response and keeps the connection open.
    Nothing,
    /// Responds in pieces.
    Pieces(Pieces),
}

/// A response that is written piece by piece.
pub struct Pieces {
    pub pieces: Vec<Vec<u8>>,
    /// How long the server pauses after each piece.
    pub pause: Duration,
    /// Whether the server closes the connection after the last piece.
    pub closes: bool,
}

/// Writes a response piece by piece; returns whether all of it was written.
fn write_pieces(writer: &mut TcpStream, response: &Pieces) -> bool {
    response.pieces.iter().all(|piece| {
        let is_written = writer.write_all(piece).is_ok();
        std::thread::sleep(response.pause);
        is_written
    })
}

/// An HTTP server whose responses are scripted; it records every request.
pub struct Peer {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Message>>>,
    open: Arc<AtomicUsize>,
}

impl Peer {
    /// Starts a server on a free port.
    pub fn new(script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        Self::with_listener(TcpListener::bind("127.0.0.1:0").expect("failed to bind"), script)
    }

    /// Starts a server on a listener.
    pub fn with_listener(
        listener: TcpListener,
        script: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("no local address");
        let (received, open) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicUsize::new(0)));
        let peer = Self { address, received: received.clone(), open: open.clone() };
        let script = Arc::new(script);
        std::thread::spawn(move || {
            for (conn, stream) in (1..).zip(listener.incoming()) {
                let (received, open, script) = (received.clone(), open.clone(), script.clone());
                let Ok(stream) = stream else { return };
                open.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    serve_connection(stream, conn, &received, &*script);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        peer
    }

    /// A server that answers every request with 200 and its name as the body.
    pub fn healthy(name: &'static str) -> Self {
        Self::new(move |_| Reply::Now(answer(200, "", name)))
    }

    /// The same, but its health check answers 503 once `drains` is set; other requests are still served.
    pub fn healthy_until(name: &'static str, drains: &Arc<AtomicBool>) -> Self {
        let drains = drains.clone();
        Self::new(move |message| {
            let is_draining = message.path() == "/health" && drains.load(Ordering::SeqCst);
            Reply::Now(answer(if is_draining { 503 } else { 200 }, "", name))
        })
    }

    /// The requests received so far, without health checks.
    pub fn seen(&self) -> Vec<Message> {
        let received = self.received.lock().expect("mutex poisoned");
        received.iter().filter(|m| m.path() != "/health").cloned().collect()
    }

    /// Number of health checks received.
    pub fn probe_count(&self) -> usize {
        self.received.lock().expect("mutex poisoned").len() - self.seen().len()
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

fn serve_connection(
    stream: TcpStream,
    conn: usize,
    received: &Mutex<Vec<Message>>,
    script: &dyn Fn(&Message) -> Reply,
) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader, conn) {
        received.lock().expect("mutex poisoned").push(message.clone());
        let (bytes, closes) = match script(&message) {
            Reply::Now(bytes) => (bytes, false),
            Reply::ThenClose(bytes) => (bytes, true),
            Reply::After(delay, bytes) => {
                std::thread::sleep(delay);
                (bytes, false)
            }
            Reply::Nothing => (Vec::new(), false),
            Reply::Pieces(response) => {
                if !write_pieces(&mut writer, &response) || response.closes {
                    break;
                }
                continue;
            }
        };
        if writer.write_all(&bytes).is_err() || closes {
            break;
        }
    }
    let _ = writer.shutdown(std::net::Shutdown::Both);
}

// ---- Discovery ----

/// An entry of the server list.
pub fn host(name: &str, dial: SocketAddr, health: &str, cell: u64) -> Value {
    json!({"host": name, "dial": dial.to_string(), "site": "a", "class": "m", "block": cell,
        "health": health, "share": 1.0, "born_ms": 0})
}

/// One line of discovery's stream: the full list, or the entries that changed.
pub fn list_line(seq: u64, is_full: bool, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": is_full, "hosts": hosts}).to_string()
}

#[derive(Default)]
struct RegistryState {
    /// The line with the full list, sent first on each watch.
    full_list: String,
    /// Lines sent to all open watches.
    updates: Vec<String>,
    down: bool,
    /// Watches stay open but send nothing.
    silent: bool,
    /// Incremented to end all watches.
    generation: usize,
    /// Paths of all requests.
    paths: Vec<String>,
    watch_count: usize,
}

/// A discovery service: it sends the full list first, then changes.
#[derive(Clone)]
pub struct Registry {
    pub address: SocketAddr,
    state: Arc<Mutex<RegistryState>>,
}

impl Registry {
    pub fn new(hosts: &[Value]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind");
        let state = Arc::new(Mutex::new(RegistryState {
            full_list: list_line(1, true, hosts),
            ..RegistryState::default()
        }));
        let registry = Self { address: listener.local_addr().expect("no local address"), state };
        let this = registry.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        registry
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut RegistryState) -> T) -> T {
        f(&mut self.state.lock().expect("mutex poisoned"))
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let request = read_message(&mut BufReader::new(stream), 0)?;
        let (full_list, down, generation, mut next_update) = self.with_state(|inner| {
            inner.paths.push(request.path().to_string());
            (inner.full_list.clone(), inner.down, inner.generation, inner.updates.len())
        });
        if down {
            return None;
        }
        if !request.path().contains("watch") {
            return writer.write_all(&answer(200, "", &full_list)).ok();
        }
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut write_line = |line: &str| write!(writer, "{:x}\r\n{line}\n\r\n", line.len() + 1);
        write_line(&full_list).ok()?;
        self.with_state(|inner| inner.watch_count += 1);
        let mut last_write = Instant::now();
        loop {
            if self.with_state(|inner| inner.silent) {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            let (current_generation, updates) =
                self.with_state(|inner| (inner.generation, inner.updates[next_update..].to_vec()));
            if current_generation != generation {
                return None;
            }
            next_update += updates.len();
            for line in &updates {
                write_line(line).ok()?;
            }
            if last_write.elapsed() > Duration::from_millis(500) {
                write_line("").ok()?;
                last_write = Instant::now();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Replaces the list by `hosts` and sends `changes` to all watches.
    pub fn publish(&self, seq: u64, hosts: &[Value], changes: &[Value]) {
        self.with_state(|inner| {
            inner.full_list = list_line(seq, true, hosts);
            inner.updates.push(list_line(seq, false, changes));
        });
    }

    /// Sends an arbitrary line to all watches.
    pub fn send_line(&self, data: &str) {
        self.with_state(|inner| inner.updates.push(data.to_string()));
    }

    /// Takes the service down or up; either ends all watches.
    pub fn set_down(&self, down: bool) {
        self.with_state(|inner| {
            (inner.down, inner.generation) = (down, inner.generation + 1);
        });
    }

    /// Stops sending on all watches but leaves them open, as a link does that fails unnoticed.
    pub fn go_silent(&self) {
        self.with_state(|inner| inner.silent = true);
    }

    /// The paths of all requests so far.
    pub fn paths(&self) -> Vec<String> {
        self.with_state(|inner| inner.paths.clone())
    }

    /// Number of watches opened so far.
    pub fn watch_count(&self) -> usize {
        self.with_state(|inner| inner.watch_count)
    }
}

// ---- The node ----

/// A node configuration with the classes `look` (safe), `pay` (keyed) and `slip` (unsafe).
pub fn config(discovery: SocketAddr) -> Value {
    let class = |name: &str, idempotency: &str| {
        json!({"Name": name, "Idempotency": idempotency, "DedupScope": "cell", "MemorySpan": 20000.0, "Slo": 3000.0,
            "Deadline": 20000.0, "Value": 1.0, "LateValue": 0.5, "Stream": false})
    };
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "known": null,
        "settings": {
            "Classes": [class("look", "pure"), class("pay", "token"), class("slip", "side_effect")],
            "Contract": {"AnswerSlack": 20.0, "AskWithin": 10000.0, "ColdShare": 0.14, "DrainGrace": 500.0,
                "Fall": 2000.0, "FallMultiple": 3.0, "WarmWithin": 24000.0},
            "Customers": [], "Discovery": "subscribe", "Family": "proxy",
            "Limits": {"AttemptsCap": 3, "Cancel": true, "ConnectTimeout": 2000.0, "Keepalive": 60000.0,
                "MaxRetryAfter": 2000.0, "MayDuplicate": true, "OpenCap": 20000, "Probes": true,
                "RetryAfter": true},
            "Me": 0, "PeersTotal": 1, "Tick": 5.0, "Weights": "nominal", "MyZone": "a", "Zones": ["a"]}})
}

/// A node process; it is killed when dropped.
pub struct Node {
    child: Child,
    /// Path of its configuration.
    config_path: String,
    pub address: SocketAddr,
    /// The lines that it has written to stderr.
    log: Arc<Mutex<Vec<String>>>,
}

/// Writes the configuration to a file of its own and prepares a command for the node; `descriptor_limit` is
/// its limit of open files. Also returns the path of the file.
fn command(config: &Value, descriptor_limit: Option<usize>) -> (Command, String) {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::SeqCst);
    let config_path = format!("{}/config-{}-{count}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&config_path, config.to_string()).expect("failed to write the configuration");
    let program = env!("CARGO_BIN_EXE_glenwood");
    let mut command = match descriptor_limit {
        None => Command::new(program),
        Some(limit) => {
            let mut shell = Command::new("sh");
            shell.arg("-c").arg(format!("ulimit -n {limit}; exec '{program}'"));
            shell
        }
    };
    command.env_remove("TMPDIR");
    for name in ["NAME", "LISTEN", "DISCOVERY", "MGMT"] {
        command.env_remove(format!("BALANCER_{name}"));
    }
    command
        .env("BALANCER_CONFIG", &config_path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    (command, config_path)
}

/// Runs a node that is expected to exit; returns its exit code and stderr.
pub fn run(config: &Value) -> (Option<i32>, String) {
    let output = command(config, None).0.output().expect("failed to run the node");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

/// The same, with an operator's settings file.
pub fn run_with_operator(config: &Value, operator: &std::path::Path) -> (Option<i32>, String) {
    let output =
        command(config, None).0.arg("--operator").arg(operator).output().expect("failed to run the node");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

impl Node {
    /// Starts a node with an operator's settings file; does not wait until it listens.
    pub fn started_with_operator(config: &Value, operator: &std::path::Path) -> Self {
        let (mut command, config_path) = command(config, None);
        command.arg("--operator").arg(operator);
        Self::spawn_child((command, config_path))
    }

    /// Starts a node whose system calls fail according to the plan, and waits until it is ready.
    pub fn ready_with_faults(config: &Value, plan: &glenwood_faults::Plan) -> Self {
        let (mut command, config_path) = command(config, None);
        command.env("LD_PRELOAD", glenwood_faults::library_path());
        command.env(glenwood_faults::ENV_VAR, plan.to_string());
        let node = Self::start((command, config_path));
        node.wait_ready();
        node
    }

    /// The same with an operator's settings file; waits only until it listens.
    pub fn listening_with_faults(
        config: &Value,
        operator: &std::path::Path,
        plan: &glenwood_faults::Plan,
    ) -> Self {
        let (mut command, config_path) = command(config, None);
        command.arg("--operator").arg(operator);
        command.env("LD_PRELOAD", glenwood_faults::library_path());
        command.env(glenwood_faults::ENV_VAR, plan.to_string());
        Self::start((command, config_path))
    }

    /// Starts a node, with a limit of open files if one is given, and waits until it listens.
    pub fn listening(config: &Value, descriptor_limit: Option<usize>) -> Self {
        Self::start(command(config, descriptor_limit))
    }

    /// Starts a node with discovery's address also in its environment, and waits until it is ready.
    pub fn ready_with_discovery(config: &Value, discovery: SocketAddr) -> Self {
        let (mut command, config_path) = command(config, None);
        command.env("BALANCER_DISCOVERY", discovery.to_string());
        let node = Self::start((command, config_path));
        node.wait_ready();
        node
    }

    fn start(prepared: (Command, String)) -> Self {
        let mut node = Self::spawn_child(prepared);
        node.address = node.wait_for_log(" listens at ").parse().expect("invalid address");
        node
    }

    /// Starts a node that shares a directory with others; does not wait until it listens.
    pub fn started_in(folder: &std::path::Path, config: &Value) -> Self {
        let (mut command, config_path) = command(config, None);
        command.env("TMPDIR", folder);
        Self::spawn_child((command, config_path))
    }

    /// Waits until the node listens.
    pub fn wait_listening(mut self) -> Self {
        self.address = self.wait_for_log(" listens at ").parse().expect("invalid address");
        self
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().expect("failed to kill the node");
        let _ = self.child.wait();
    }

    /// Starts a node; does not wait until it listens.
    pub fn started(config: &Value) -> Self {
        Self::spawn_child(command(config, None))
    }

    fn spawn_child((mut command, config_path): (Command, String)) -> Self {
        let mut child = command.spawn().expect("failed to start the node");
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = log.clone();
        let stderr_reader = BufReader::new(child.stderr.take().expect("stderr is not piped"));
        std::thread::spawn(move || {
            for line in stderr_reader.lines().map_while(Result::ok) {
                lines.lock().expect("mutex poisoned").push(line);
            }
        });
        Self { child, config_path, address: ([0, 0, 0, 0], 0).into(), log }
    }

    /// Waits until a line of the log contains the pattern; returns the rest of the line after it.
    pub fn wait_for_log(&self, pattern: &str) -> String {
        until(pattern, || self.log_contains(pattern));
        self.log_text_after(pattern)
    }

    /// The rest of the first line of the log that contains the pattern, after the pattern.
    pub fn log_text_after(&self, pattern: &str) -> String {
        let lines = self.log.lock().expect("mutex poisoned");
        let line = lines.iter().find_map(|l| Some(l.split_once(pattern)?.1.to_string()));
        line.expect("no such line in the log")
    }

    /// Starts a node and waits until it is ready.
    pub fn ready(config: &Value) -> Self {
        let node = Self::listening(config, None);
        node.wait_ready();
        node
    }

    pub fn wait_ready(&self) {
        until("the node is ready", || {
            Client::to(self).ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200
        });
    }

    /// Whether a line of the log contains the pattern.
    pub fn log_contains(&self, pattern: &str) -> bool {
        self.log.lock().expect("mutex poisoned").iter().any(|l| l.contains(pattern))
    }

    /// The lines of the log that the predicate selects.
    pub fn grep_log(&self, is_selected: impl Fn(&str) -> bool) -> Vec<String> {
        let log = self.log.lock().expect("mutex poisoned");
        log.iter().filter(|line| is_selected(line)).cloned().collect()
    }

    /// Waits until the predicate selects `count` lines of the log, or for [`WAIT_TIMEOUT`], and returns what it
    /// selects: a line reaches the test some time after what it tells of.
    pub fn wait_for_log_lines(&self, count: usize, is_selected: impl Fn(&str) -> bool) -> Vec<String> {
        let start = Instant::now();
        loop {
            let lines = self.grep_log(&is_selected);
            if lines.len() >= count || start.elapsed() >= WAIT_TIMEOUT {
                return lines;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Number of lines of the log that contain the pattern.
    pub fn count_log_lines(&self, pattern: &str) -> usize {
        self.log.lock().expect("mutex poisoned").iter().filter(|l| l.contains(pattern)).count()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file atomically and sends SIGHUP.
    pub fn reload(&self, contents: &str) {
        let new_file = format!("{}.next", self.config_path);
        std::fs::write(&new_file, contents).expect("failed to write the configuration");
        std::fs::rename(&new_file, &self.config_path).expect("failed to replace the configuration");
        self.signal("-HUP");
    }

    /// Stops the process (SIGSTOP) until [`Node::resume`].
    pub fn suspend(&self) {
        self.signal("-STOP");
    }

    /// The same; returns once all of its threads are stopped.
    pub fn suspend_and_wait(&self) {
        self.suspend();
        until("the process is stopped", || self.is_stopped());
    }

    /// Whether all threads of the process are stopped.
    fn is_stopped(&self) -> bool {
        let threads =
            std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("the node does not run");
        let is_stopped = |thread: std::fs::DirEntry| {
            let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
            stat.rsplit_once(") ").is_some_and(|(_, state)| state.starts_with('T'))
        };
        threads.flatten().all(is_stopped)
    }

    /// Continues a stopped process (SIGCONT).
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Sends a signal, named as the arguments of `kill` are.
    pub fn signal(&self, name: &str) {
        let signal = match name {
            "-TERM" => Signal::TERM,
            "-HUP" => Signal::HUP,
            "-STOP" => Signal::STOP,
            "-CONT" => Signal::CONT,
            "-KILL" => Signal::KILL,
            other => panic!("unsupported signal: {other}"),
        };
        // The id of a child that was not waited for is not reused, so no other process gets the signal.
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).expect("invalid process id");
        kill_process(pid, signal).expect("failed to send the signal");
    }

    /// Peak resident memory, in bytes.
    pub fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("the node does not run");
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("no VmHWM line");
        line.trim().split(' ').next().and_then(|n| n.parse::<usize>().ok()).expect("invalid VmHWM line")
            * 1024
    }

    /// CPU time used by all its threads so far.
    pub fn processor_time(&self) -> Duration {
        let threads =
            std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("the node does not run");
        let run_ns = |path| std::fs::read_to_string(path).ok()?.split(' ').next()?.parse::<u64>().ok();
        let of_thread = |thread: std::fs::DirEntry| run_ns(thread.path().join("schedstat"));
        Duration::from_nanos(threads.flatten().filter_map(of_thread).sum())
    }

    /// Number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("the node does not run").count()
    }

    pub fn running(&mut self) -> bool {
        self.child.try_wait().expect("failed to wait").is_none()
    }

    /// Waits until the process ends; its exit code, or `None` if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        until("the node ends", || !self.running());
        self.child.wait().expect("failed to wait").code()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---- Clients ----

/// Formats a request of a class; `remaining_ms` is the time that its client has left.
pub fn request(class: &str, txn: &str, remaining_ms: u64) -> String {
    let (method, key) = match class {
        "look" => ("GET", ""),
        "pay" => ("POST", "Idempotency-Key: k1\r\n"),
        _ => ("POST", ""),
    };
    let body = if method == "POST" { "Content-Length: 4\r\n\r\nwork" } else { "\r\n" };
    format!(
        "{method} /{class}/7?q=a%20b HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Remaining-Ms: {remaining_ms}\r\n{key}{body}"
    )
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    /// Closes the connection.
    Close,
    /// Shuts down its sending side (FIN) and keeps the socket open.
    HalfClose,
    /// Resets the connection (RST).
    Reset,
}

impl Disconnect {
    pub const ALL: [Self; 3] = [Self::Close, Self::HalfClose, Self::Reset];

    /// Disconnects. Keep the returned stream for as long as the node is to see this state: dropping it
    /// closes a half-closed connection.
    pub fn apply(self, stream: TcpStream) -> Option<TcpStream> {
        match self {
            Self::Close => None,
            Self::HalfClose => {
                stream.shutdown(std::net::Shutdown::Write).expect("failed to shut down");
                Some(stream)
            }
            Self::Reset => {
                socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .expect("failed to set linger");
                None
            }
        }
    }
}

/// Counts the sockets of this machine with these local and remote addresses, where given, that are connected
/// or connecting. One whose own side has closed does not count; one that only the remote side closed does.
pub fn count_sockets(local: Option<SocketAddr>, remote: Option<SocketAddr>) -> usize {
    // ESTABLISHED, SYN_SENT or CLOSE_WAIT.
    count_sockets_in(&["01", "02", "08"], local, remote)
}

/// Whether the socket with these addresses has seen nothing of its peer's end yet.
pub fn is_established(local: SocketAddr, remote: SocketAddr) -> bool {
    count_sockets_in(&["01"], Some(local), Some(remote)) > 0
}

fn count_sockets_in(states: &[&str], local: Option<SocketAddr>, remote: Option<SocketAddr>) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("failed to read the socket table");
    let address = |text: &str| {
        let (ip, port) = text.split_once(':').expect("invalid address");
        let ip = u32::from_str_radix(ip, 16).expect("invalid hex").to_le_bytes();
        SocketAddr::from((ip, u16::from_str_radix(port, 16).expect("invalid hex")))
    };
    let matches_address =
        |wanted: Option<SocketAddr>, text: &str| wanted.is_none_or(|wanted| wanted == address(text));
    let is_counted = |line: &&str| {
        let fields: Vec<&str> = line.split_ascii_whitespace().collect();
        matches_address(local, fields[1]) && matches_address(remote, fields[2]) && states.contains(&fields[3])
    };
    table.lines().skip(1).filter(is_counted).count()
}

/// A server that accepts no connections yet: its backlog is full, so connecting to it completes only after
/// [`FullBacklogServer::accept_with`] or [`FullBacklogServer::into_listener`].
pub struct FullBacklogServer {
    listener: TcpListener,
    pub address: SocketAddr,
    backlog_fillers: Vec<TcpStream>,
}

impl FullBacklogServer {
    pub fn new() -> Self {
        // While the backlog is full, the kernel completes no further connection until one is accepted.
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("failed to open a socket");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into()).expect("failed to bind");
        socket.listen(0).expect("failed to listen");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("no local address");
        let connect_filler = |_| TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok();
        Self { listener, address, backlog_fillers: (0..3).filter_map(connect_filler).collect() }
    }

    /// Number of connections in progress, without those that fill the backlog.
    pub fn pending_connections(&self) -> usize {
        count_sockets(None, Some(self.address)) - self.backlog_fillers.len()
    }

    /// Starts to accept, as a scripted server.
    pub fn accept_with(self, script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Peer {
        Peer::with_listener(self.into_listener(), script)
    }

    /// Frees the backlog and returns the listener, for the caller to accept on.
    pub fn into_listener(self) -> TcpListener {
        drop(self.backlog_fillers);
        self.listener
    }
}

/// An HTTP client on one connection.
pub struct Client {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn to(node: &Node) -> Self {
        Self::at(node.address)
    }

    pub fn at(address: SocketAddr) -> Self {
        Self::try_at(address).expect("failed to connect")
    }

    /// Connects; returns an error if the node accepts no connection.
    pub fn try_at(address: SocketAddr) -> std::io::Result<Self> {
        let writer = TcpStream::connect(address)?;
        writer.set_read_timeout(Some(WAIT_TIMEOUT)).expect("failed to set a timeout");
        let reader = BufReader::new(writer.try_clone().expect("failed to clone the socket"));
        Ok(Self { writer, reader })
    }

    /// Sends; returns an error if the connection is closed.
    pub fn try_send(&mut self, data: &str) -> std::io::Result<()> {
        self.writer.write_all(data.as_bytes())
    }

    pub fn send(&mut self, data: &str) {
        self.writer.write_all(data.as_bytes()).expect("failed to send");
    }

    /// Its own address, as the node sees it.
    pub fn address(&self) -> SocketAddr {
        self.writer.local_addr().expect("no local address")
    }

    /// The underlying stream.
    pub fn into_stream(self) -> TcpStream {
        self.writer
    }

    /// Closes the connection in both directions.
    pub fn disconnect(&self) {
        // Fails if the connection has ended already.
        let _ = self.writer.shutdown(std::net::Shutdown::Both);
    }

    /// Reads the next response; `None` if the connection ends first.
    pub fn receive(&mut self) -> Option<Message> {
        read_message(&mut self.reader, 0)
    }

    /// Sends a request and reads its response.
    pub fn ask(&mut self, data: &str) -> Message {
        self.send(data);
        self.receive().expect("no response")
    }

    /// Waits for the end of the connection; whether the node closed it, or reset it because of unread data.
    pub fn is_closed_or_reset(&mut self) -> bool {
        match self.reader.read(&mut [0; 64]) {
            Ok(n) => n == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    /// Waits for the end of the connection; whether the node closed it cleanly.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 64]), Ok(0))
    }
}
