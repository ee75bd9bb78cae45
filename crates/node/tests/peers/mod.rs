//! The real program between scripted peers on loopback sockets.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

pub mod calls;
pub mod dice;
pub mod links;
pub mod list_service;
pub mod lists;
pub mod many;
pub mod queued_list;
pub mod record;
pub mod strays;

/// How long anything that should happen is waited for: far more than it takes, on a busy machine too.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until the condition holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

// ---- Messages ----

/// A request or an answer.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
    /// The connection that it came on, counted from 1.
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
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }

    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).expect("a request line")
    }
}

/// Reads one message; `None` where the connection ends.
fn read_message(from: &mut BufReader<TcpStream>, conn: usize) -> Option<Message> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let mut message = Message { head, body: Vec::new(), conn };
    while message.header("transfer-encoding").is_some() {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let mut chunk = vec![0; size + 2];
        from.read_exact(&mut chunk).ok()?;
        message.body.extend(&chunk[..size]);
        if size == 0 {
            return Some(message);
        }
    }
    let length = message.header("content-length").map_or(0, |v| v.parse().expect("a length"));
    message.body = vec![0; length];
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// An answer with a body.
pub fn answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

// ---- Servers ----

/// What a scripted server does with a request.
pub enum Say {
    /// Answers.
    This(Vec<u8>),
    /// Writes that and closes.
    Last(Vec<u8>),
    /// Answers after a while.
    Later(Duration, Vec<u8>),
    /// Stays silent.
    Nothing,
}

pub struct Peer {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Message>>>,
    open: Arc<AtomicUsize>,
}

impl Peer {
    /// A server that follows a script.
    pub fn new(script: impl Fn(&Message) -> Say + Send + Sync + 'static) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").expect("a port"), script)
    }

    pub fn on(listener: TcpListener, script: impl Fn(&Message) -> Say + Send + Sync + 'static) -> Self {
        let address = listener.local_addr().expect("bound");
        let (seen, open) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicUsize::new(0)));
        let peer = Self { address, seen: seen.clone(), open: open.clone() };
        let script = Arc::new(script);
        std::thread::spawn(move || {
            for (conn, stream) in (1..).zip(listener.incoming()) {
                let (seen, open, script) = (seen.clone(), open.clone(), script.clone());
                let Ok(stream) = stream else { return };
                open.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    converse(stream, conn, &seen, &*script);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        peer
    }

    /// A server that serves everything, and says who it is.
    pub fn good(name: &'static str) -> Self {
        Self::new(move |_| Say::This(answer(200, "", name)))
    }

    /// The same, until it drains: it goes on serving what comes, and its health check says 503.
    pub fn good_until(name: &'static str, drains: &Arc<AtomicBool>) -> Self {
        let drains = drains.clone();
        Self::new(move |message| {
            let unwell = message.path() == "/health" && drains.load(Ordering::SeqCst);
            Say::This(answer(if unwell { 503 } else { 200 }, "", name))
        })
    }

    /// The requests that came, without probes.
    pub fn seen(&self) -> Vec<Message> {
        let seen = self.seen.lock().expect("no panic");
        seen.iter().filter(|m| m.path() != "/health").cloned().collect()
    }

    /// How many probes came.
    pub fn probes(&self) -> usize {
        self.seen.lock().expect("no panic").len() - self.seen().len()
    }

    /// How many connections are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

fn converse(stream: TcpStream, conn: usize, seen: &Mutex<Vec<Message>>, script: &dyn Fn(&Message) -> Say) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut from = BufReader::new(stream);
    while let Some(message) = read_message(&mut from, conn) {
        seen.lock().expect("no panic").push(message.clone());
        let (bytes, last) = match script(&message) {
            Say::This(bytes) => (bytes, false),
            Say::Last(bytes) => (bytes, true),
            Say::Later(span, bytes) => {
                std::thread::sleep(span);
                (bytes, false)
            }
            Say::Nothing => (Vec::new(), false),
        };
        if out.write_all(&bytes).is_err() || last {
            break;
        }
    }
    let _ = out.shutdown(std::net::Shutdown::Both);
}

// ---- Discovery ----

/// An entry of the list.
pub fn host(name: &str, at: SocketAddr, health: &str, cell: u64) -> Value {
    json!({"host": name, "dial": at.to_string(), "site": "a", "class": "m", "block": cell,
        "health": health, "share": 1.0, "born_ms": 0})
}

pub fn line(seq: u64, whole: bool, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": whole, "hosts": hosts}).to_string()
}

#[derive(Default)]
struct Told {
    whole: String,
    /// Lines for the watches that are open.
    news: Vec<String>,
    down: bool,
    /// Watches stay open and say nothing.
    silent: bool,
    /// Raised to end all watches.
    epoch: usize,
    calls: Vec<String>,
    watches: usize,
}

/// Discovery: the whole list at first, then the news.
#[derive(Clone)]
pub struct Registry {
    pub address: SocketAddr,
    told: Arc<Mutex<Told>>,
}

impl Registry {
    pub fn new(hosts: &[Value]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let told = Arc::new(Mutex::new(Told { whole: line(1, true, hosts), ..Told::default() }));
        let registry = Self { address: listener.local_addr().expect("bound"), told };
        let this = registry.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        registry
    }

    fn with<T>(&self, f: impl FnOnce(&mut Told) -> T) -> T {
        f(&mut self.told.lock().expect("no panic"))
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut out = stream.try_clone().ok()?;
        let request = read_message(&mut BufReader::new(stream), 0)?;
        let (whole, down, epoch, mut place) = self.with(|t| {
            t.calls.push(request.path().to_string());
            (t.whole.clone(), t.down, t.epoch, t.news.len())
        });
        if down {
            return None;
        }
        if !request.path().contains("watch") {
            return out.write_all(&answer(200, "", &whole)).ok();
        }
        out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut say = |line: &str| write!(out, "{:x}\r\n{line}\n\r\n", line.len() + 1);
        say(&whole).ok()?;
        self.with(|t| t.watches += 1);
        let mut quiet = Instant::now();
        loop {
            if self.with(|t| t.silent) {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            let (now_epoch, news) = self.with(|t| (t.epoch, t.news[place..].to_vec()));
            if now_epoch != epoch {
                return None;
            }
            place += news.len();
            for line in &news {
                say(line).ok()?;
            }
            if quiet.elapsed() > Duration::from_millis(500) {
                say("").ok()?;
                quiet = Instant::now();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Tells all watches, and has the list as `hosts` from now on.
    pub fn tell(&self, seq: u64, hosts: &[Value], changes: &[Value]) {
        self.with(|t| {
            t.whole = line(seq, true, hosts);
            t.news.push(line(seq, false, changes));
        });
    }

    /// Says something else to all watches.
    pub fn say(&self, words: &str) {
        self.with(|t| t.news.push(words.to_string()));
    }

    /// Goes down, or comes back; watches end.
    pub fn down(&self, down: bool) {
        self.with(|t| {
            (t.down, t.epoch) = (down, t.epoch + 1);
        });
    }

    /// The link goes dead without a word.
    pub fn silent(&self) {
        self.with(|t| t.silent = true);
    }

    pub fn calls(&self) -> Vec<String> {
        self.with(|t| t.calls.clone())
    }

    /// How many watches were ever begun.
    pub fn watches(&self) -> usize {
        self.with(|t| t.watches)
    }
}

// ---- The node ----

/// A configuration whose classes are `look` (safe), `pay` (keyed) and `slip` (unsafe).
pub fn config(discovery: SocketAddr) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"Name": name, "Idempotency": effect, "DedupScope": "cell", "MemorySpan": 20000.0, "Slo": 3000.0,
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

pub struct Node {
    child: Child,
    file: String,
    pub address: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
}

fn command(config: &Value, descriptors: Option<usize>) -> (Command, String) {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::SeqCst);
    let file = format!("{}/config-{}-{count}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&file, config.to_string()).expect("a file");
    let program = env!("CARGO_BIN_EXE_glenwood");
    let mut command = match descriptors {
        None => Command::new(program),
        Some(n) => {
            let mut shell = Command::new("sh");
            shell.arg("-c").arg(format!("ulimit -n {n}; exec '{program}'"));
            shell
        }
    };
    command.env_remove("TMPDIR");
    for name in ["NAME", "LISTEN", "DISCOVERY", "MGMT"] {
        command.env_remove(format!("BALANCER_{name}"));
    }
    command.env("BALANCER_CONFIG", &file).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    (command, file)
}

/// Runs a node that should not come up: its exit code and what it says.
pub fn run(config: &Value) -> (Option<i32>, String) {
    let output = command(config, None).0.output().expect("it runs");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

/// The same, with an operator's file.
pub fn run_with_operator(config: &Value, operator: &std::path::Path) -> (Option<i32>, String) {
    let output = command(config, None).0.arg("--operator").arg(operator).output().expect("it runs");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

impl Node {
    /// Starts a node with an operator's file; it may not listen yet.
    pub fn started_with_operator(config: &Value, operator: &std::path::Path) -> Self {
        let (mut command, file) = command(config, None);
        command.arg("--operator").arg(operator);
        Self::spawned((command, file))
    }

    /// Starts a node whose system calls fail as the plan says, and waits until it is ready.
    pub fn ready_with_faults(config: &Value, plan: &glenwood_faults::Plan) -> Self {
        let (mut command, file) = command(config, None);
        command.env("LD_PRELOAD", glenwood_faults::library_path());
        command.env(glenwood_faults::ENV_VAR, plan.to_string());
        let node = Self::start((command, file));
        node.wait_ready();
        node
    }

    /// The same with an operator's file; waits until it listens.
    pub fn listening_with_faults(
        config: &Value,
        operator: &std::path::Path,
        plan: &glenwood_faults::Plan,
    ) -> Self {
        let (mut command, file) = command(config, None);
        command.arg("--operator").arg(operator);
        command.env("LD_PRELOAD", glenwood_faults::library_path());
        command.env(glenwood_faults::ENV_VAR, plan.to_string());
        Self::start((command, file))
    }

    /// Starts a node and waits until it listens.
    pub fn listening(config: &Value, descriptors: Option<usize>) -> Self {
        Self::start(command(config, descriptors))
    }

    /// Starts a node whose environment names discovery too, and waits until it is ready.
    pub fn ready_with_discovery(config: &Value, discovery: SocketAddr) -> Self {
        let (mut command, file) = command(config, None);
        command.env("BALANCER_DISCOVERY", discovery.to_string());
        let node = Self::start((command, file));
        node.wait_ready();
        node
    }

    fn start(what: (Command, String)) -> Self {
        let mut node = Self::spawned(what);
        node.address = node.wait_said(" listens at ").parse().expect("an address");
        node
    }

    /// Starts a node that has a folder in common with others, and may not listen yet.
    pub fn started_in(folder: &std::path::Path, config: &Value) -> Self {
        let (mut command, file) = command(config, None);
        command.env("TMPDIR", folder);
        Self::spawned((command, file))
    }

    /// Waits until it listens.
    pub fn wait_listening(mut self) -> Self {
        self.address = self.wait_said(" listens at ").parse().expect("an address");
        self
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        self.child.kill().expect("it runs");
        let _ = self.child.wait();
    }

    /// Starts a node that may not listen yet.
    pub fn started(config: &Value) -> Self {
        Self::spawned(command(config, None))
    }

    fn spawned((mut command, file): (Command, String)) -> Self {
        let mut child = command.spawn().expect("it starts");
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = log.clone();
        let errors = BufReader::new(child.stderr.take().expect("piped"));
        std::thread::spawn(move || {
            for line in errors.lines().map_while(Result::ok) {
                lines.lock().expect("no panic").push(line);
            }
        });
        Self { child, file, address: ([0, 0, 0, 0], 0).into(), log }
    }

    /// What the log says behind these words; waits for it.
    pub fn wait_said(&self, words: &str) -> String {
        until(words, || self.logged(words));
        self.said(words)
    }

    /// What the log says behind these words.
    pub fn said(&self, words: &str) -> String {
        let lines = self.log.lock().expect("no panic");
        let line = lines.iter().find_map(|l| Some(l.split_once(words)?.1.to_string()));
        line.expect("it was said")
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

    pub fn logged(&self, words: &str) -> bool {
        self.log.lock().expect("no panic").iter().any(|l| l.contains(words))
    }

    /// The lines of its log so far that are wanted.
    pub fn log_of(&self, wanted: impl Fn(&str) -> bool) -> Vec<String> {
        let log = self.log.lock().expect("no panic");
        log.iter().filter(|line| wanted(line)).cloned().collect()
    }

    /// How many lines of the log have these words.
    pub fn log_lines(&self, words: &str) -> usize {
        self.log.lock().expect("no panic").iter().filter(|l| l.contains(words)).count()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the file of the configuration, as a whole, and tells the node.
    pub fn reload(&self, words: &str) {
        let next = format!("{}.next", self.file);
        std::fs::write(&next, words).expect("a file");
        std::fs::rename(&next, &self.file).expect("the same folder");
        self.signal("-HUP");
    }

    /// Stands still until [`Node::go_on`].
    pub fn stand_still(&self) {
        self.signal("-STOP");
    }

    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        let signal = match name {
            "-TERM" => Signal::TERM,
            "-HUP" => Signal::HUP,
            "-STOP" => Signal::STOP,
            "-CONT" => Signal::CONT,
            "-KILL" => Signal::KILL,
            other => panic!("{other} is no signal of these"),
        };
        // A child that was not waited for keeps its number, so this reaches no other process.
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).expect("a process id");
        kill_process(pid, signal).expect("it is a process of this one");
    }

    /// The most memory that was ever resident, in bytes.
    pub fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("it is there");
        line.trim().split(' ').next().and_then(|n| n.parse::<usize>().ok()).expect("a number") * 1024
    }

    /// The processor time that its threads have used.
    pub fn processor_time(&self) -> Duration {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("it runs");
        let used = |path| std::fs::read_to_string(path).ok()?.split(' ').next()?.parse::<u64>().ok();
        let of = |thread: std::fs::DirEntry| used(thread.path().join("schedstat"));
        Duration::from_nanos(threads.flatten().filter_map(of).sum())
    }

    /// How many file descriptors the node holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("it runs").count()
    }

    pub fn running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        until("the node ends", || !self.running());
        self.child.wait().expect("it ended").code()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---- Clients ----

/// A request of a class as a client would send it.
pub fn request(class: &str, txn: &str, remaining: u64) -> String {
    let (method, key) = match class {
        "look" => ("GET", ""),
        "pay" => ("POST", "Idempotency-Key: k1\r\n"),
        _ => ("POST", ""),
    };
    let body = if method == "POST" { "Content-Length: 4\r\n\r\nwork" } else { "\r\n" };
    format!(
        "{method} /{class}/7?q=a%20b HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Remaining-Ms: {remaining}\r\n{key}{body}"
    )
}

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaving {
    /// It closes its connection.
    Closes,
    /// It says that it will send no more, and keeps its side open.
    SaysEnd,
    /// It breaks the connection.
    Resets,
}

impl Leaving {
    pub const ALL: [Self; 3] = [Self::Closes, Self::SaysEnd, Self::Resets];

    /// Leaves; what is given back is to be kept for as long as the client is to be seen as one that left in this way.
    pub fn by(self, stream: TcpStream) -> Option<TcpStream> {
        match self {
            Self::Closes => None,
            Self::SaysEnd => {
                stream.shutdown(std::net::Shutdown::Write).expect("it stands");
                Some(stream)
            }
            Self::Resets => {
                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
                None
            }
        }
    }
}

/// The sockets of this machine that are connected from one address to another, or are about to be, where either is given. A
/// side that has closed does not count; one whose other side has does.
pub fn sockets(from: Option<SocketAddr>, to: Option<SocketAddr>) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table of sockets");
    let address = |text: &str| {
        let (ip, port) = text.split_once(':').expect("an address");
        let ip = u32::from_str_radix(ip, 16).expect("hex").to_le_bytes();
        SocketAddr::from((ip, u16::from_str_radix(port, 16).expect("hex")))
    };
    let is = |wanted: Option<SocketAddr>, text: &str| wanted.is_none_or(|wanted| wanted == address(text));
    let counts = |line: &&str| {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        // Established, being opened, or closed by the other side alone.
        is(from, words[1]) && is(to, words[2]) && ["01", "02", "08"].contains(&words[3])
    };
    table.lines().skip(1).filter(counts).count()
}

/// A server whose machine lets nobody in yet: connections to it come up once it opens.
pub struct Shut {
    listener: TcpListener,
    pub address: SocketAddr,
    fillers: Vec<TcpStream>,
}

impl Shut {
    pub fn new() -> Self {
        // A listener whose backlog is full lets nobody in until it accepts.
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into()).expect("a port");
        socket.listen(0).expect("it listens");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("bound");
        let fill = |_| TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok();
        Self { listener, address, fillers: (0..3).filter_map(fill).collect() }
    }

    /// How many connections of others are on their way in.
    pub fn waiting(&self) -> usize {
        sockets(None, Some(self.address)) - self.fillers.len()
    }

    pub fn open(self, script: impl Fn(&Message) -> Say + Send + Sync + 'static) -> Peer {
        Peer::on(self.into_listener(), script)
    }

    /// Lets all in from now on that are accepted.
    pub fn into_listener(self) -> TcpListener {
        drop(self.fillers);
        self.listener
    }
}

pub struct Client {
    out: TcpStream,
    from: BufReader<TcpStream>,
}

impl Client {
    pub fn to(node: &Node) -> Self {
        Self::at(node.address)
    }

    pub fn at(address: SocketAddr) -> Self {
        Self::try_at(address).expect("the node listens")
    }

    /// A connection, if the node takes one.
    pub fn try_at(address: SocketAddr) -> std::io::Result<Self> {
        let out = TcpStream::connect(address)?;
        out.set_read_timeout(Some(PATIENCE)).expect("a socket");
        let from = BufReader::new(out.try_clone().expect("a socket"));
        Ok(Self { out, from })
    }

    /// Sends, where the connection still stands.
    pub fn try_send(&mut self, words: &str) -> std::io::Result<()> {
        self.out.write_all(words.as_bytes())
    }

    pub fn send(&mut self, words: &str) {
        self.out.write_all(words.as_bytes()).expect("the node reads");
    }

    /// Where it is, as the node sees it.
    pub fn address(&self) -> SocketAddr {
        self.out.local_addr().expect("bound")
    }

    /// The connection itself.
    pub fn stream(self) -> TcpStream {
        self.out
    }

    /// Leaves: the node sees that the connection is closed.
    pub fn leave(&self) {
        // Where it has ended already it can't be closed again.
        let _ = self.out.shutdown(std::net::Shutdown::Both);
    }

    /// The next answer; `None` where the connection ends first.
    pub fn hear(&mut self) -> Option<Message> {
        read_message(&mut self.from, 0)
    }

    pub fn ask(&mut self, words: &str) -> Message {
        self.send(words);
        self.hear().expect("an answer")
    }

    /// Has the node closed the connection, or broken it off with something unread? Waits for it.
    pub fn ended_or_reset(&mut self) -> bool {
        match self.from.read(&mut [0; 64]) {
            Ok(n) => n == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    /// Has the node closed the connection? Waits for it.
    pub fn ended(&mut self) -> bool {
        matches!(self.from.read(&mut [0; 64]), Ok(0))
    }
}
