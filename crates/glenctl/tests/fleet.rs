//! Real instances under an agent, changed by `glenctl fleet` while clients of both protocols ask them all the while.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use glenwood_fleet::audit::{digest, Trail};
use glenwood_testkit::client::{Answer, Ask, Client, Effect};
use glenwood_testkit::discovery::{active, Discovery};
use glenwood_testkit::node::{config, settings};
use glenwood_testkit::script::{Ledger, Script, Step};
use glenwood_testkit::server::{Identity, Protocol, StandIn};
use glenwood_testkit::{runtime, until, wait};
use serde_json::Value;

const GLENCTL: &str = env!("CARGO_BIN_EXE_glenctl");

/// One machine: a folder, an agent, and what its instances need.
struct Machine {
    folder: PathBuf,
    agent: Option<Child>,
    addresses: Vec<SocketAddr>,
    ledger: Ledger,
    _servers: Vec<StandIn>,
    _discovery: Discovery,
}

impl Machine {
    fn new(name: &str, instances: usize, more: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("glenwood-fleet-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let folder = folder.canonicalize().expect("it is there");
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
        // Instances keep their addresses over restarts, so these are chosen here; all are held until all are known.
        let held: Vec<TcpListener> =
            (0..instances).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        let addresses: Vec<SocketAddr> = held.iter().map(|l| l.local_addr().expect("bound")).collect();
        drop(held);
        let program = digest(&std::fs::read(GLENCTL).expect("the program"));
        let shell = digest(&std::fs::read("/bin/sh").expect("a shell"));
        let mut text = format!(
            "[fleet]\npause_ms = 100\nready_within_ms = 10000\nstop_within_ms = 8000\ncanary_requests = 20\n\
             canary_ms = 400\n{more}\n"
        );
        for release in ["r1", "r2"] {
            text += &format!(
                "[releases.{release}]\npath = '{GLENCTL}'\nsha256 = '{program}'\narguments = ['node']\n"
            );
        }
        // One that starts and never answers.
        text += &format!(
            "[releases.hangs]\npath = '/bin/sh'\nsha256 = '{shell}'\narguments = ['-c', 'sleep 600']\n"
        );
        text += &format!("[releases.other]\npath = '/bin/sh'\nsha256 = '{program}'\n");
        std::fs::write(folder.join("own.toml"), "[msgpack]\nshared = true\n").expect("a file");
        for (n, address) in addresses.iter().enumerate() {
            let mut settings = settings(400.0);
            (settings["Me"], settings["PeersTotal"]) = (n.into(), instances.into());
            for class in settings["Classes"].as_array_mut().into_iter().flatten() {
                // A node that ends takes its time by the longest of these.
                class["Deadline"] = 2000.0.into();
            }
            let mut config = config(&format!("n{n}"), discovery.address, settings);
            config["listen"] = address.to_string().into();
            let file = folder.join(format!("n{n}.json"));
            std::fs::write(&file, config.to_string()).expect("a file");
            text += &format!(
                "[[instance]]\nname = 'n{n}'\nrelease = 'r1'\nconfig = '{}'\noperator = '{}'\n",
                file.display(),
                folder.join("own.toml").display()
            );
        }
        std::fs::write(folder.join("fleet.toml"), text).expect("a file");
        let mut machine =
            Self { folder, agent: None, addresses, ledger, _servers: servers, _discovery: discovery };
        machine.start_agent();
        assert!(machine.fleet(&["apply"]).status.success());
        machine.until_well();
        machine
    }

    fn socket(&self) -> PathBuf {
        self.folder.join("run").join("agent.sock")
    }

    fn start_agent(&mut self) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("agent.log"));
        let child = Command::new(GLENCTL)
            .args(["agent", "--fleet"])
            .arg(self.folder.join("fleet.toml"))
            .arg("--folder")
            .arg(self.folder.join("run"))
            .stdin(Stdio::null())
            .stderr(log.expect("a file"))
            .spawn();
        self.agent = Some(child.expect("it starts"));
        until("the agent answers", || self.status().is_some());
    }

    /// Ends the agent with no warning.
    fn kill_agent(&mut self) {
        if let Some(mut agent) = self.agent.take() {
            agent.kill().expect("it runs");
            agent.wait().expect("it has ended");
        }
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(GLENCTL);
        command.args(["fleet", "--who", "ada", "--agents"]).arg(self.socket()).args(arguments);
        command
    }

    fn fleet(&self, arguments: &[&str]) -> Output {
        self.command(arguments).output().expect("it runs")
    }

    /// What the agent says of all.
    fn status(&self) -> Option<Value> {
        let output = self.fleet(&["status", "--json"]);
        let all: Value = serde_json::from_slice(&output.stdout).ok()?;
        Some(all["agents"][0]["status"].clone())
    }

    fn until_well(&self) {
        until("all is as it should be", || {
            let status = self.status();
            status.is_some_and(|s| {
                let all = s["instances"].as_object().expect("instances");
                all.len() == self.addresses.len() && all.values().all(|i| i["drift"] == serde_json::json!([]))
            })
        });
    }

    fn of(&self, name: &str) -> Value {
        self.status().expect("it answers")["instances"][name].clone()
    }

    fn pids(&self) -> Vec<u64> {
        let status = self.status().expect("it answers");
        let all = status["instances"].as_object().expect("instances").clone();
        all.values().filter_map(|i| i["pid"].as_u64()).collect()
    }

    fn agent_log(&self) -> String {
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

/// Fronts and clients: each goes to a node that says that it is ready, and leaves one that does not any more, as fronts do
/// that look at `/ready`.
struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<tokio::task::JoinHandle<Counts>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    asked: usize,
    served: usize,
    refused: usize,
    lost: usize,
    other: usize,
    /// No node was ready when one was needed.
    nowhere: usize,
}

async fn is_ready(address: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let ask = async {
        let mut stream = tokio::net::TcpStream::connect(address).await?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await?;
        Ok::<bool, std::io::Error>(head.ends_with(b"200"))
    };
    matches!(tokio::time::timeout(Duration::from_secs(1), ask).await, Ok(Ok(true)))
}

impl Load {
    fn start(addresses: &[SocketAddr]) -> Self {
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
        let turn = Arc::new(AtomicUsize::new(0));
        let clients = (0..12)
            .map(|client| {
                let (stop, ready, addresses) = (stop.clone(), ready.clone(), addresses.to_vec());
                runtime().spawn(drive(client, addresses, ready, stop, turn.clone()))
            })
            .collect();
        Self { stop, clients }
    }

    fn end(self) -> Counts {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.into_iter().fold(Counts::default(), |sum, client| {
            let c = wait("a client ends", client).expect("it ended well");
            Counts {
                asked: sum.asked + c.asked,
                served: sum.served + c.served,
                refused: sum.refused + c.refused,
                lost: sum.lost + c.lost,
                other: sum.other + c.other,
                nowhere: sum.nowhere + c.nowhere,
            }
        })
    }
}

async fn drive(
    client: usize,
    addresses: Vec<SocketAddr>,
    ready: Arc<Vec<AtomicBool>>,
    stop: Arc<AtomicBool>,
    turn: Arc<AtomicUsize>,
) -> Counts {
    let classes = [("look", Effect::Safe), ("pay", Effect::Keyed), ("slip", Effect::Unsafe)];
    let mut counts = Counts::default();
    let mut open: Option<(usize, Client)> = None;
    while !stop.load(Ordering::Relaxed) {
        open = open.filter(|(node, _)| ready[*node].load(Ordering::Relaxed));
        if open.is_none() {
            let from = turn.fetch_add(1, Ordering::Relaxed);
            let all = (0..addresses.len()).map(|n| (from + n) % addresses.len());
            let Some(node) = all.into_iter().find(|n| ready[*n].load(Ordering::Relaxed)) else {
                counts.nowhere += 1;
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let conn = Client::connect(Protocol::BOTH[client % 2], addresses[node]).await;
            open = conn.ok().map(|conn| (node, conn));
        }
        let Some((_, conn)) = &mut open else {
            // Its listener is closed by now: the next look at it tells.
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

fn no_effect_twice(ledger: &Ledger) {
    let twice: Vec<_> = ledger.repeated().into_iter().collect();
    assert!(twice.is_empty(), "carried out more than once: {twice:?}");
}

/// Eight instances under load are changed to another release and another configuration; the agent is killed in the middle.
#[test]
fn eight_instances_are_rolled_under_load_while_the_agent_is_killed() {
    let mut machine = Machine::new("eight", 8, "");
    let before = machine.pids();
    let versions: Vec<String> =
        (0..8).map(|n| machine.of(&format!("n{n}"))["config"].as_str().expect("a version").into()).collect();
    // The files are other ones, too.
    std::fs::write(machine.folder.join("own.toml"), "[msgpack]\nshared = true\nopen_calls = 16\n")
        .expect("a file");
    let load = Load::start(&machine.addresses);
    let mut roll = machine.command(&["roll", "--to", "r2", "--no-wait"]);
    assert!(roll.stdout(Stdio::null()).status().is_ok_and(|s| s.success()));
    until("some are through", || {
        machine.status().is_some_and(|s| s["change"][1].as_u64().is_some_and(|done| done >= 3))
    });
    machine.kill_agent();
    let serving = machine.addresses.iter().filter(|a| wait("an answer", is_ready(**a))).count();
    assert!(serving >= 7, "{serving} serve while the agent is dead");
    machine.start_agent();
    for more in [5, 7] {
        until("more are through", || {
            machine.status().is_some_and(|s| s["change"][1].as_u64().is_none_or(|done| done >= more))
        });
    }
    until("the change is over", || machine.status().is_some_and(|s| s["change"].is_null()));
    let status = machine.status().expect("it answers");
    assert_eq!(status["outcome"][0], "Done", "{}", machine.agent_log());
    let counts = load.end();
    for (n, version) in versions.iter().enumerate() {
        let instance = machine.of(&format!("n{n}"));
        assert_eq!(instance["release"], "r2");
        assert_ne!(instance["config"].as_str(), Some(version.as_str()));
    }
    let after = machine.pids();
    assert!(after.len() == 8 && after.iter().all(|pid| !before.contains(pid)), "{before:?} {after:?}");
    assert!(counts.asked > 1000, "{counts:?}");
    assert_eq!((counts.served, counts.nowhere), (counts.asked, 0), "{counts:?}");
    no_effect_twice(&machine.ledger);
}

/// The new release starts and never answers: it is undone, and nobody notices.
#[test]
fn a_release_that_hangs_is_undone_under_load() {
    let machine = Machine::new("hangs", 3, "");
    let text = std::fs::read_to_string(machine.folder.join("fleet.toml")).expect("it is there");
    let shorter = text.replace("ready_within_ms = 10000", "ready_within_ms = 1500");
    std::fs::write(machine.folder.join("fleet.toml"), shorter).expect("a file");
    assert!(machine.fleet(&["apply"]).status.success());
    let load = Load::start(&machine.addresses);
    let output = machine.fleet(&["roll", "--to", "hangs"]);
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert!(said.contains("RolledBack: n0 was not ready in time"), "{said}");
    machine.until_well();
    let counts = load.end();
    assert_eq!((counts.served, counts.nowhere), (counts.asked, 0), "{counts:?}");
    no_effect_twice(&machine.ledger);
    for n in 0..3 {
        assert_eq!(machine.of(&format!("n{n}"))["release"], "r1");
    }
    // One whose file is not what its digest says is not even started.
    let output = machine.fleet(&["roll", "--to", "other"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(machine.agent_log().contains("not the file with the digest of other"));
    machine.until_well();
}

/// A crashed instance is back; a stopped one is not; a protected one is not stopped without a reason; a second operator is
/// told who has the lease; the trail has it all.
#[test]
fn instances_are_kept_started_and_stopped() {
    let machine = Machine::new("kept", 2, "[[protect]]\nnames = ['n1']");
    let pid = machine.of("n0")["pid"].as_u64().expect("it runs");
    assert!(Command::new("kill").arg("-KILL").arg(pid.to_string()).status().is_ok_and(|s| s.success()));
    until("it is back", || machine.of("n0")["pid"].as_u64().is_some_and(|now| now != pid));
    machine.until_well();
    assert!(machine.fleet(&["stop", "n0"]).status.success());
    until("it is stopped", || machine.of("n0")["pid"].is_null());
    assert!(machine.fleet(&["start", "n0"]).status.success());
    machine.until_well();
    let refused = machine.fleet(&["stop", "n1"]);
    assert_eq!(refused.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&refused.stderr).contains("n1 is protected at this time"));
    assert!(machine.fleet(&["stop", "n1", "--override", "the disk fails"]).status.success());
    let unknown = machine.fleet(&["stop", "n7"]);
    assert_eq!(unknown.status.code(), Some(3));
    until("it is stopped", || machine.of("n1")["pid"].is_null());
    assert_eq!(machine.fleet(&["status"]).status.code(), Some(0), "stopped as wanted is no drift");
    // What a change would do is said, and not done; one that runs is not forgotten, one that is stopped is.
    let plan = machine.fleet(&["plan", "--to", "r2"]);
    let plan = String::from_utf8_lossy(&plan.stdout).into_owned();
    assert!(plan.starts_with("1. n0: r1 -> r2: stop, start, wait until ready, compare\n2. n1: "), "{plan}");
    assert!(plan.contains("noted only; protected now"), "{plan}");
    assert_eq!(machine.fleet(&["retire", "n0"]).status.code(), Some(3));
    assert_eq!(machine.fleet(&["retire", "n1"]).status.code(), Some(0));
    assert!(machine.of("n1").is_null());
    assert!(machine.fleet(&["apply"]).status.success(), "the file has it still");
    machine.until_well();
    assert!(machine.fleet(&["stop", "n1", "--override", "again"]).status.success());
    until("it is stopped", || machine.of("n1")["pid"].is_null());
    // Another operator holds the lease.
    let lease = glenwood_agent::talk::Ask::Lease {
        who: "ben".into(),
        why: "a look".into(),
        epoch: None,
        span_ms: 60_000.0,
    };
    let granted = glenwood_agent::talk::ask(&machine.socket(), &lease);
    assert!(matches!(granted, Ok(glenwood_agent::talk::Reply::Granted(_))), "{granted:?}");
    let refused = machine.fleet(&["start", "n1"]);
    assert_eq!(refused.status.code(), Some(3));
    let said = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(said.contains("held by ben (uid ") && said.contains("(a look)"), "{said}");
    let trail = std::fs::read_to_string(machine.folder.join("run").join("audit")).expect("a trail");
    let (_, entries) = Trail::read(&trail).expect("whole");
    let what: Vec<&str> = entries.iter().map(|e| e.what.as_str()).collect();
    let all = [
        "apply",
        "stop n0",
        "start n0",
        "stop n1 the disk fails",
        "retire n0",
        "retire n1",
        "apply",
        "stop n1 again",
    ];
    assert_eq!(what, all);
    // A second agent in the same folder ends at once.
    let second = Command::new(GLENCTL)
        .args(["agent", "--fleet"])
        .arg(machine.folder.join("fleet.toml"))
        .arg("--folder")
        .arg(machine.folder.join("run"))
        .output()
        .expect("it runs");
    assert!(String::from_utf8_lossy(&second.stderr).contains("another agent has this folder"));
    let nobody = Command::new(GLENCTL).args(["fleet", "--agents", "/nowhere/agent.sock", "status"]).output();
    assert_eq!(nobody.expect("it runs").status.code(), Some(4));
    assert!(Path::new(&machine.folder).exists());
}

/// Three machines, one agent out of reach: the lease is the other two's, they are changed, and the third is said. A lease
/// that somebody has at two of three is nobody else's.
#[test]
fn many_agents_are_changed_under_one_lease_and_one_out_of_reach_is_said() {
    let mut machines: Vec<Machine> = (0..3).map(|n| Machine::new(&format!("many{n}"), 1, "")).collect();
    let agents: Vec<String> = machines.iter().map(|m| m.socket().display().to_string()).collect();
    let agents = agents.join(",");
    let fleet = |arguments: &[&str]| {
        let mut command = Command::new(GLENCTL);
        command
            .args(["fleet", "--who", "ada", "--agents", &agents])
            .args(arguments)
            .output()
            .expect("it runs")
    };
    machines[2].kill_agent();
    let output = fleet(&["roll", "--to", "r2"]);
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(4), "{said}");
    assert!(said.contains("many2"), "{said}");
    machines[2].start_agent();
    let releases: Vec<Value> = machines.iter().map(|m| m.of("n0")["release"].clone()).collect();
    assert_eq!(releases, ["r2", "r2", "r1"]);
    // Ben has two of three.
    for machine in &machines[..2] {
        let epoch = machine.status().expect("it answers")["epoch"].as_u64().map(|e| e + 1);
        let (who, why) = ("ben".to_string(), "a look".to_string());
        let lease = glenwood_agent::talk::Ask::Lease { who, why, epoch, span_ms: 60_000.0 };
        let granted = glenwood_agent::talk::ask(&machine.socket(), &lease);
        assert!(matches!(granted, Ok(glenwood_agent::talk::Reply::Granted(_))), "{granted:?}");
    }
    let output = fleet(&["roll", "--to", "r2"]);
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.code() == Some(3) && said.contains("held by ben"), "{said}");
    assert_eq!(machines[2].of("n0")["release"], "r1", "the third alone is not enough");
    assert!(machines[2].status().expect("it answers")["lease"].is_null(), "what it granted was given back");
    // Alone it is a majority of one.
    assert!(machines[2].fleet(&["roll", "--to", "r2"]).status.success());
    assert_eq!(machines[2].of("n0")["release"], "r2");
}
