//! Real node instances under an agent that is controlled through `glenctl` as a process, and clients that
//! send requests meanwhile.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rustix::process::{prlimit, Pid, Resource, Rlimit};
use serde_json::Value;

use crate::client::{Answer, Ask, Client, Effect};
use crate::discovery::{active, Discovery};
use crate::node::{config, settings};
use crate::script::{Ledger, Script, Step};
use crate::server::{Identity, Protocol, StandIn};
use crate::{runtime, until, wait};

/// One machine: a directory, an agent, and everything that its instances need.
pub struct Machine {
    /// Directory of the machine; the agent's own directory is `run` in it.
    pub folder: PathBuf,
    /// Addresses that the instances listen on.
    pub addresses: Vec<SocketAddr>,
    /// What the servers executed.
    pub ledger: Ledger,
    glenctl: PathBuf,
    agent: Option<Child>,
    _servers: Vec<StandIn>,
    _discovery: Discovery,
}

/// The loopback address of this process's instances. No other socket uses it, so that an instance finds its
/// port free again after a restart: connections have their own ends at 127.0.0.1.
fn instance_ip() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 3, high, low.max(1))
}

/// Chooses free addresses that no other machine of this process has. Instances share their ports with their
/// successors (`SO_REUSEPORT`), so two machines with one port would get each other's connections unnoticed.
fn choose_addresses(count: usize) -> Vec<SocketAddr> {
    static CHOSEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    let mut chosen = CHOSEN.lock().unwrap_or_else(PoisonError::into_inner);
    // All listeners stay bound until every port is chosen, so that the ports differ.
    let (mut listeners, mut addresses) = (Vec::new(), Vec::new());
    while addresses.len() < count {
        let listener = TcpListener::bind((instance_ip(), 0)).expect("cannot bind to a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        listeners.push(listener);
        if chosen.insert(address) {
            addresses.push(address);
        }
    }
    addresses
}

impl Machine {
    /// Starts a machine with this many instances of the release `r1` and waits until they are ready.
    /// `glenctl` is the path of that program, and `sha256` computes the digest of a file; `extra` is added to
    /// the fleet file, after the keys of its table `fleet`.
    ///
    /// # Panics
    /// If the instances do not become ready.
    pub fn new(
        glenctl: &Path,
        sha256: impl Fn(&Path) -> String,
        name: &str,
        instances: usize,
        extra: &str,
    ) -> Self {
        let folder = std::env::temp_dir().join(format!("glenwood-fleet-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("cannot create the directory");
        let folder = folder.canonicalize().expect("cannot resolve the directory");
        let ledger = Ledger::new(Duration::from_secs(8));
        let script: Script = Arc::new(|_| Step::ServeAfter(Duration::from_millis(3)));
        let servers: Vec<StandIn> = (0..4)
            .map(|n| {
                let protocol = Protocol::BOTH[n % 2];
                let identity = Identity { name: format!("s{n}"), cell: 0, protocol };
                StandIn::start(identity, script.clone(), ledger.clone())
            })
            .collect();
        let discovery = Discovery::start(&servers.iter().map(active).collect::<Vec<_>>());
        // Instances keep their addresses over restarts, so the ports are chosen here.
        let addresses = choose_addresses(instances);
        let (program, shell) = (sha256(glenctl), sha256(Path::new("/bin/sh")));
        let mut text = format!(
            "[fleet]\npause_ms = 100\nready_within_ms = 10000\nstop_within_ms = 8000\ncanary_requests = 20\n\
             canary_ms = 400\n{extra}\n"
        );
        let path = glenctl.display();
        for release in ["r1", "r2"] {
            text += &format!("[releases.{release}]\npath = '{path}'\n");
            text += &format!("sha256 = '{program}'\narguments = ['node']\n");
        }
        // A release that starts but never answers.
        text += &format!(
            "[releases.hangs]\npath = '/bin/sh'\nsha256 = '{shell}'\narguments = ['-c', 'sleep 600']\n"
        );
        text += &format!("[releases.other]\npath = '/bin/sh'\nsha256 = '{program}'\n");
        std::fs::write(folder.join("own.toml"), "[msgpack]\nshared = true\n").expect("cannot write the file");
        for (n, address) in addresses.iter().enumerate() {
            let mut settings = settings(400.0);
            (settings["Me"], settings["PeersTotal"]) = (n.into(), instances.into());
            for class in settings["Classes"].as_array_mut().into_iter().flatten() {
                // A node's shutdown takes as long as the longest of these.
                class["Deadline"] = 2000.0.into();
            }
            let mut config = config(&format!("n{n}"), discovery.address, settings);
            config["listen"] = address.to_string().into();
            let file = folder.join(format!("n{n}.json"));
            std::fs::write(&file, config.to_string()).expect("cannot write the file");
            text += &format!(
                "[[instance]]\nname = 'n{n}'\nrelease = 'r1'\nconfig = '{}'\noperator = '{}'\n",
                file.display(),
                folder.join("own.toml").display()
            );
        }
        std::fs::write(folder.join("fleet.toml"), text).expect("cannot write the file");
        let mut machine = Self {
            folder,
            addresses,
            ledger,
            glenctl: glenctl.to_path_buf(),
            agent: None,
            _servers: servers,
            _discovery: discovery,
        };
        machine.start_agent();
        assert!(machine.fleet(&["apply"]).status.success());
        machine.wait_converged();
        machine
    }

    /// Path of the agent's socket.
    pub fn socket(&self) -> PathBuf {
        self.folder.join("run").join("agent.sock")
    }

    /// Starts the agent and waits until it answers.
    ///
    /// # Panics
    /// If the agent does not answer.
    pub fn start_agent(&mut self) {
        self.spawn_agent(Command::new(&self.glenctl));
    }

    /// Starts the agent with a limit on the size of files, in blocks of 512 bytes, which makes the disk look
    /// full once a file reaches it. [`Machine::lift_file_size_limit`] lifts the limit.
    ///
    /// # Panics
    /// If the agent does not answer.
    pub fn start_agent_with_file_size_limit(&mut self, blocks: usize) {
        let mut command = Command::new("/bin/sh");
        let script = format!("trap '' XFSZ; ulimit -S -f {blocks}; exec \"$0\" \"$@\"");
        command.arg("-c").arg(script).arg(&self.glenctl);
        self.spawn_agent(command);
    }

    /// Lifts the limit on the size of files of the running agent.
    ///
    /// # Panics
    /// If no agent is running.
    pub fn lift_file_size_limit(&self) {
        let pid = self.agent_pid().and_then(|pid| Pid::from_raw(pid as i32));
        let unlimited = Rlimit { current: None, maximum: None };
        prlimit(Some(pid.expect("no agent is running")), Resource::Fsize, unlimited)
            .expect("cannot set the limit");
    }

    fn spawn_agent(&mut self, mut command: Command) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("agent.log"));
        command.args(["agent", "--fleet"]).arg(self.folder.join("fleet.toml"));
        command.arg("--folder").arg(self.folder.join("run"));
        command.stdin(Stdio::null()).stderr(log.expect("cannot open the log"));
        self.agent = Some(command.spawn().expect("cannot start the agent"));
        until("the agent answers", || self.status().is_some());
    }

    /// Whether the agent has exited by itself.
    pub fn agent_ended(&mut self) -> bool {
        let ended = self.agent.as_mut().is_some_and(|agent| matches!(agent.try_wait(), Ok(Some(_))));
        if ended {
            self.agent = None;
        }
        ended
    }

    /// Process id of the agent, if it runs.
    pub fn agent_pid(&self) -> Option<u32> {
        self.agent.as_ref().map(Child::id)
    }

    /// Kills the agent (SIGKILL).
    ///
    /// # Panics
    /// If it cannot be killed.
    pub fn kill_agent(&mut self) {
        if let Some(mut agent) = self.agent.take() {
            agent.kill().expect("cannot kill the agent");
            agent.wait().expect("cannot wait for the agent");
        }
    }

    /// A `glenctl fleet` command with these arguments for this machine's agent.
    pub fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(&self.glenctl);
        command.args(["fleet", "--who", "ada", "--agents"]).arg(self.socket()).args(arguments);
        command
    }

    /// Runs a `glenctl fleet` command to completion.
    ///
    /// # Panics
    /// If it cannot be run.
    pub fn fleet(&self, arguments: &[&str]) -> Output {
        self.command(arguments).output().expect("cannot run glenctl")
    }

    /// The agent's status; `None` if the agent does not answer.
    ///
    /// # Panics
    /// If `glenctl` cannot be run.
    pub fn status(&self) -> Option<Value> {
        let output = self.fleet(&["status", "--json"]);
        let all: Value = serde_json::from_slice(&output.stdout).ok()?;
        Some(all["agents"][0]["status"].clone())
    }

    /// Waits until all instances match the desired state.
    ///
    /// # Panics
    /// If they do not get there.
    pub fn wait_converged(&self) {
        until("all instances match the desired state", || {
            let status = self.status();
            status.is_some_and(|s| {
                let all = s["instances"].as_object().expect("the status has no instances");
                all.len() == self.addresses.len() && all.values().all(|i| i["drift"] == serde_json::json!([]))
            })
        });
    }

    /// The agent's status of one instance.
    ///
    /// # Panics
    /// If the agent does not answer.
    pub fn instance(&self, name: &str) -> Value {
        self.status().expect("the agent does not answer")["instances"][name].clone()
    }

    /// Process ids of all instances.
    ///
    /// # Panics
    /// If the agent does not answer.
    pub fn pids(&self) -> Vec<u64> {
        let status = self.status().expect("the agent does not answer");
        let all = status["instances"].as_object().expect("the status has no instances").clone();
        all.values().filter_map(|i| i["pid"].as_u64()).collect()
    }

    /// The agent's log.
    pub fn agent_log(&self) -> String {
        std::fs::read_to_string(self.folder.join("agent.log")).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let pids = if self.agent.is_some() { self.pids() } else { Vec::new() };
        self.kill_agent();
        for pid in pids {
            let _ = Command::new("kill").arg("-KILL").arg(pid.to_string()).status();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Clients behind a front: each sends to a node that reports itself ready, and leaves a node that no longer
/// does, like a front that polls `/ready`.
pub struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<tokio::task::JoinHandle<Counts>>,
}

/// Counts of requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests sent.
    pub asked: usize,
    /// Served.
    pub served: usize,
    /// Refused.
    pub refused: usize,
    /// Requests whose connection ended before the answer.
    pub lost: usize,
    /// Any other answer.
    pub other: usize,
    /// Times that no node was ready when a client needed one.
    pub no_node_ready: usize,
}

/// Whether the node at this address reports itself ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let probe = async {
        let mut stream = tokio::net::TcpStream::connect(address).await?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await?;
        Ok::<bool, std::io::Error>(head.ends_with(b"200"))
    };
    matches!(tokio::time::timeout(Duration::from_secs(1), probe).await, Ok(Ok(true)))
}

impl Load {
    /// Starts twelve clients that use both protocols and all classes.
    pub fn start(addresses: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let ready: Arc<Vec<AtomicBool>> = Arc::new(addresses.iter().map(|_| AtomicBool::new(true)).collect());
        for (n, address) in addresses.iter().copied().enumerate() {
            let (ready, stop) = (ready.clone(), stop.clone());
            runtime().spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    ready[n].store(is_ready(address).await, Ordering::Relaxed);
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            });
        }
        let next_node = Arc::new(AtomicUsize::new(0));
        let clients = (0..12)
            .map(|client| {
                let (stop, ready, addresses) = (stop.clone(), ready.clone(), addresses.to_vec());
                runtime().spawn(run_client(client, addresses, ready, stop, next_node.clone()))
            })
            .collect();
        Self { stop, clients }
    }

    /// Stops the clients and returns their total counts.
    ///
    /// # Panics
    /// If a client does not end.
    pub fn end(self) -> Counts {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().fold(Counts::default(), |total, client| {
            let counts = wait("a client ends", client).expect("a client panicked");
            Counts {
                asked: total.asked + counts.asked,
                served: total.served + counts.served,
                refused: total.refused + counts.refused,
                lost: total.lost + counts.lost,
                other: total.other + counts.other,
                no_node_ready: total.no_node_ready + counts.no_node_ready,
            }
        })
    }
}

async fn run_client(
    client: usize,
    addresses: Vec<SocketAddr>,
    ready: Arc<Vec<AtomicBool>>,
    stop: Arc<AtomicBool>,
    next_node: Arc<AtomicUsize>,
) -> Counts {
    let classes = [("look", Effect::Safe), ("pay", Effect::Keyed), ("slip", Effect::Unsafe)];
    let mut counts = Counts::default();
    let mut open: Option<(usize, Client)> = None;
    while !stop.load(Ordering::Relaxed) {
        open = open.filter(|(node, _)| ready[*node].load(Ordering::Relaxed));
        if open.is_none() {
            let first = next_node.fetch_add(1, Ordering::Relaxed);
            let all = (0..addresses.len()).map(|n| (first + n) % addresses.len());
            let Some(node) = all.into_iter().find(|n| ready[*n].load(Ordering::Relaxed)) else {
                counts.no_node_ready += 1;
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let conn = Client::connect(Protocol::BOTH[client % 2], addresses[node]).await;
            open = conn.ok().map(|conn| (node, conn));
        }
        let Some((_, conn)) = &mut open else {
            // The node's listener is closed already; the next readiness poll will notice it.
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        let (class, effect) = classes[(client + counts.asked) % classes.len()];
        let ask = Ask::new(class, effect, &format!("c{client}-{}", counts.asked), 2000);
        counts.asked += 1;
        match conn.ask(&ask).await {
            Answer::Served(_) => counts.served += 1,
            Answer::Refused(_) => counts.refused += 1,
            Answer::Lost => {
                counts.lost += 1;
                open = None;
            }
            _ => counts.other += 1,
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    counts
}
