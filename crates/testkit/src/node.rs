//! Nodes as separate processes.

use std::ffi::OsString;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rustix::process::{Pid, Signal};
use serde_json::{json, Value};

use crate::until;

/// The program that a node runs.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Arguments that precede the node's own.
    pub arguments: Vec<OsString>,
}

impl Program {
    /// A program without additional arguments.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into(), arguments: Vec::new() }
    }
}

/// Node settings with the classes that the test servers know, one per effect: `look` (safe), `pay` (keyed)
/// and `slip` (unsafe). `target_ms` is their latency objective in milliseconds.
pub fn settings(target_ms: f64) -> Value {
    json!({
        "Me": 0, "PeersTotal": 1, "Tick": 1.0, "Discovery": "subscribe", "Weights": "silent",
        "Classes": [
            {"Name": "look", "Slo": target_ms, "Deadline": 15000.0, "Idempotency": "pure", "Value": 1},
            {"Name": "pay", "Slo": target_ms, "Deadline": 15000.0, "Idempotency": "token", "DedupScope": "cell",
             "MemorySpan": 60000, "Value": 2},
            {"Name": "slip", "Slo": target_ms, "Deadline": 15000.0, "Idempotency": "side_effect", "Value": 2}
        ],
        "Customers": [],
        "Limits": {"AttemptsCap": 3, "MayDuplicate": false, "Cancel": true, "Probes": true, "ConnectTimeout": 2000.0,
                   "RetryAfter": true, "MaxRetryAfter": 2000.0, "Keepalive": 15000.0, "OpenCap": 20000},
        "Contract": {"AskWithin": 10000.0, "ColdShare": 0.2, "WarmWithin": 5000.0, "FallMultiple": 3.0, "Fall": 2000.0}
    })
}

/// Configuration of a node that finds its servers through `discovery`.
pub fn config(name: &str, discovery: SocketAddr, settings: Value) -> Value {
    json!({"name": name, "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "1",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings})
}

/// A running node. Dropping it kills the process.
pub struct Node {
    child: Child,
    folder: PathBuf,
    /// Address for clients: HTTP and, if the port is shared, MessagePack-RPC.
    pub address: SocketAddr,
    /// Address of a separate MessagePack-RPC listener, if there is one.
    pub rpc: Option<SocketAddr>,
    name: String,
    expects_rpc: bool,
    log: Arc<Mutex<Vec<String>>>,
}

fn folder() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("glenwood-{}-{number}", std::process::id()))
}

impl Node {
    /// Starts a node with a configuration and an optional operator file, and waits until it listens.
    ///
    /// # Panics
    /// If the node does not start to listen.
    pub fn start(program: &Program, config: &Value, operator: Option<&str>) -> Self {
        let mut node = Self::spawn(program, config, operator);
        node.wait_listening();
        node
    }

    /// Starts a node without waiting for it.
    ///
    /// # Panics
    /// If the process cannot be started.
    pub fn spawn(program: &Program, config: &Value, operator: Option<&str>) -> Self {
        let folder = folder();
        std::fs::create_dir_all(&folder).expect("cannot create the directory");
        std::fs::write(folder.join("config.json"), config.to_string()).expect("cannot write the file");
        let mut command = Command::new(&program.path);
        command.args(&program.arguments);
        if let Some(text) = operator {
            std::fs::write(folder.join("node.toml"), text).expect("cannot write the file");
            command.arg("--operator").arg(folder.join("node.toml"));
        }
        for name in ["BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY", "GLENWOOD_OPERATOR"] {
            command.env_remove(name);
        }
        command.env("BALANCER_CONFIG", folder.join("config.json"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("cannot start the process");
        let log = Arc::new(Mutex::new(Vec::new()));
        let (lines, stderr) = (log.clone(), BufReader::new(child.stderr.take().expect("stderr is piped")));
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
            }
        });
        let expects_rpc = operator.is_some_and(|text| text.contains("[msgpack]\nlisten"));
        let name = config["name"].as_str().unwrap_or_default().to_string();
        Self { child, folder, name, address: ([0, 0, 0, 0], 0).into(), rpc: None, expects_rpc, log }
    }

    /// Waits until the node listens.
    ///
    /// # Panics
    /// If the node exits or does not start to listen.
    pub fn wait_listening(&mut self) {
        let prefix = format!("{} listens at ", self.name);
        until("the node listens", || {
            assert!(self.is_running(), "the node exited: {:?}", self.log());
            let address = self.logged_address(&prefix);
            self.rpc = self.logged_address(" takes MessagePack-RPC at ");
            self.address = address.unwrap_or(self.address);
            address.is_some() && (self.rpc.is_some() || !self.expects_rpc)
        });
    }

    /// The address that the log shows after this text, up to a comma.
    pub fn logged_address(&self, text: &str) -> Option<SocketAddr> {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let after = |line: &String| line.split_once(text)?.1.split(',').next()?.parse().ok();
        log.iter().find_map(after)
    }

    /// Number of log lines that contain this text.
    pub fn count_log_lines(&self, text: &str) -> usize {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().filter(|line| line.contains(text)).count()
    }

    /// Waits until the node reports that it is ready.
    ///
    /// # Panics
    /// If the node does not become ready.
    pub fn wait_ready(&self) {
        until("the node is ready", || self.is_ready());
    }

    /// Queries the readiness endpoint once.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        crate::wait("an answer of the node", async {
            use tokio::io::{AsyncWriteExt, BufReader};
            let Ok(mut stream) = tokio::net::TcpStream::connect(self.address).await else { return false };
            if stream.write_all(request).await.is_err() {
                return false;
            }
            let answer = crate::http::read(&mut BufReader::new(stream)).await;
            matches!(answer, Ok(Some(answer)) if answer.status() == 200)
        })
    }

    /// Reads the report from a node's inspection socket; `None` if nothing answers there.
    pub fn inspect(socket: &Path) -> Option<Value> {
        crate::wait("an answer of the node", async {
            use tokio::io::AsyncReadExt;
            let mut stream = tokio::net::UnixStream::connect(socket).await.ok()?;
            let mut text = String::new();
            stream.read_to_string(&mut text).await.ok()?;
            serde_json::from_str(&text).ok()
        })
    }

    /// The log so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Address for clients of a protocol.
    ///
    /// # Panics
    /// If the node has no listener for the protocol.
    pub fn address_for(&self, protocol: crate::server::Protocol) -> SocketAddr {
        match protocol {
            crate::server::Protocol::Http => self.address,
            crate::server::Protocol::Rpc => self.rpc.expect("the node has no MessagePack-RPC listener"),
        }
    }

    /// Asks the node to shut down gracefully (SIGTERM), as for a planned restart.
    ///
    /// # Panics
    /// If the signal cannot be sent.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Replaces the configuration file and makes the node reload it (SIGHUP).
    ///
    /// # Panics
    /// If the file cannot be written or the signal cannot be sent.
    pub fn reload(&self, config: &Value) {
        std::fs::write(self.folder.join("config.json"), config.to_string()).expect("cannot write the file");
        self.signal(Signal::HUP);
    }

    /// Pauses the process (SIGSTOP).
    ///
    /// # Panics
    /// If the signal cannot be sent.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process (SIGCONT).
    ///
    /// # Panics
    /// If the signal cannot be sent.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn signal(&self, signal: Signal) {
        // The process id stays reserved until the child is waited for, so the signal cannot reach another
        // process.
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).expect("invalid process id");
        rustix::process::kill_process(pid, signal).expect("cannot send the signal");
    }

    /// Resident memory in bytes.
    pub fn resident_bytes(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.trim().split(' ').next()?.parse::<usize>().ok()).unwrap_or(0) * 1024
    }

    /// CPU time used so far, user and system, in clock ticks of 10 ms.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ');
        fields.skip(11).take(2).filter_map(|f| f.parse::<u64>().ok()).sum()
    }

    /// CPU time of the threads that are alive, with nanosecond resolution; threads that have ended are not
    /// included.
    pub fn cpu_time(&self) -> Duration {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let threads = threads.into_iter().flatten().flatten().map(|thread| thread.path().join("schedstat"));
        let used = |path| std::fs::read_to_string(path).ok()?.split(' ').next()?.parse::<u64>().ok();
        Duration::from_nanos(threads.filter_map(used).sum())
    }

    /// Number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process to end and returns its exit code.
    ///
    /// # Panics
    /// If the process does not end.
    pub fn exit_code(&mut self) -> Option<i32> {
        until("the node exits", || !self.is_running());
        self.child.wait().ok().and_then(|status| status.code())
    }

    /// Directory of the node's files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
