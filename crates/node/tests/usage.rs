//! Four real nodes that share a tenant's allowance, over a relay that loses, delays and reorders what they say.

mod peers;

use std::collections::BTreeMap;
use std::io::Read;
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use peers::{config, host, request, until, Client, Node, Peer, Registry};
use serde_json::{json, Value};

const NODES: usize = 4;
const WINDOW: u64 = 1000;
const ALLOWED: u64 = 80;

/// Takes the datagrams for one node, and gives them to it if at all.
fn relay(socket: UdpSocket, to: SocketAddr, loss: Arc<AtomicU64>, over: Arc<AtomicBool>) {
    socket.set_read_timeout(Some(Duration::from_millis(5))).expect("a socket");
    let (mut seed, mut held): (u64, Vec<(Instant, Vec<u8>)>) = (u64::from(to.port()), Vec::new());
    let mut bytes = [0; 2048];
    while !over.load(Ordering::SeqCst) {
        if let Ok((length, _)) = socket.recv_from(&mut bytes) {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            if (seed >> 33) % 100 >= loss.load(Ordering::SeqCst) {
                // Those that wait longer come behind the next ones; every eighth comes twice.
                let copies = 1 + usize::from((seed >> 40).is_multiple_of(8));
                for copy in 0..copies as u64 {
                    let wait = Duration::from_millis((seed >> 48) % 40 + 20 * copy);
                    held.push((Instant::now() + wait, bytes[..length].to_vec()));
                }
            }
        }
        held.retain(|(due, words)| {
            let waits = *due > Instant::now();
            if !waits {
                let _ = socket.send_to(words, to);
            }
            waits
        });
    }
}

/// What a node says of its usage.
fn usage_at(socket: &Path) -> Option<Value> {
    let mut text = String::new();
    UnixStream::connect(socket).ok()?.read_to_string(&mut text).ok()?;
    let report: Value = serde_json::from_str(&text).ok()?;
    Some(report["usage"].clone()).filter(|usage| !usage.is_null())
}

/// The most that was seen spent in each window, by each node in each of its lives.
type Spent = BTreeMap<(u64, usize, usize), u64>;

struct Fleet {
    folder: PathBuf,
    told: Value,
    nodes: Vec<Option<Node>>,
    operator: Vec<PathBuf>,
    loss: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
    spent: Mutex<Spent>,
    lives: Vec<usize>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    fn new(name: &str, registry: &Registry) -> Self {
        let folder = std::env::temp_dir().join(format!("glenwood-usage-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("secret"), "sixteen bytes and more").expect("a file");
        let (loss, over) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let bind = || UdpSocket::bind("127.0.0.1:0").expect("a port");
        let relays: Vec<UdpSocket> = (0..NODES).map(|_| bind()).collect();
        // The nodes' own ports are free again once these are dropped.
        let own: Vec<SocketAddr> = {
            let held: Vec<UdpSocket> = (0..NODES).map(|_| bind()).collect();
            held.iter().map(|socket| socket.local_addr().expect("bound")).collect()
        };
        let list: String = (0..NODES)
            .map(|n| {
                let at = relays[n].local_addr().expect("bound");
                format!("[[usage.instance]]\nname = 'n{n}'\naddress = '{at}'\n")
            })
            .collect();
        let operator = (0..NODES)
            .map(|n| {
                let text = format!(
                    "[inspect]\nsocket = '{0}/n{n}.sock'\n[usage]\nlist = 1\nsecret = '{0}/secret'\nlisten = '{1}'\n\
                     window_ms = {WINDOW}\nexchange_ms = 50\ngone_ms = 2000\n{list}",
                    folder.display(),
                    own[n]
                );
                let path = folder.join(format!("n{n}.toml"));
                std::fs::write(&path, text).expect("a file");
                path
            })
            .collect();
        for (socket, to) in relays.into_iter().zip(own) {
            let (loss, over) = (loss.clone(), over.clone());
            std::thread::spawn(move || relay(socket, to, loss, over));
        }
        let mut told = config(registry.address);
        told["settings"]["Customers"] =
            json!([{"Name": "acme", "QuotaPerS": ALLOWED as f64 * 1000.0 / WINDOW as f64}]);
        let mut fleet = Self {
            folder,
            told,
            nodes: (0..NODES).map(|_| None).collect(),
            operator,
            loss,
            over,
            spent: Mutex::default(),
            lives: vec![0; NODES],
        };
        (0..NODES).for_each(|n| fleet.start(n));
        fleet
    }

    fn start(&mut self, n: usize) {
        let mut told = self.told.clone();
        (told["name"], told["seed"]) = (json!(format!("n{n}")), json!(format!("{n}{}", self.lives[n])));
        self.lives[n] += 1;
        let node = Node::started_with_operator(&told, &self.operator[n]).wait_listening();
        node.wait_ready();
        self.nodes[n] = Some(node);
    }

    fn socket(&self, n: usize) -> PathBuf {
        self.folder.join(format!("n{n}.sock"))
    }

    /// Notes what each node says that it has spent.
    fn look(&self) {
        for n in (0..NODES).filter(|n| self.nodes[*n].is_some()) {
            let Some(usage) = usage_at(&self.socket(n)) else { continue };
            let (Some(window), Some(tenants)) = (usage["window"].as_u64(), usage["tenants"].as_array())
            else {
                continue;
            };
            let mut spent = self.spent.lock().expect("no panic");
            for tenant in tenants {
                for (window, said) in [(window, &tenant["spent"]), (window - 1, &tenant["before"][0])] {
                    let most = spent.entry((window, n, self.lives[n])).or_default();
                    *most = (*most).max(said.as_u64().unwrap_or(0));
                }
            }
        }
    }

    /// Asks for the tenant at these nodes for so long, with more than it may have; how much was spent in each window that was
    /// whole in it.
    fn ask(&self, ms: u64, at: &[usize]) -> Vec<u64> {
        let over = AtomicBool::new(false);
        let asked = AtomicUsize::new(0);
        let window = || usage_at(&self.socket(at[0])).and_then(|u| u["window"].as_u64()).expect("it counts");
        let first = window() + 1;
        std::thread::scope(|scope| {
            for n in at {
                let address = self.nodes[*n].as_ref().expect("it runs").address;
                let (over, asked, share) = (&over, &asked, at.len() as u64);
                scope.spawn(move || {
                    let mut client = Client::at(address);
                    while !over.load(Ordering::SeqCst) {
                        let number = asked.fetch_add(1, Ordering::SeqCst);
                        let words = request("look", &format!("t{n}-{number}-{ms}"), 5000);
                        let words = words.replace("X-Txn", "X-Org: acme\r\nX-Txn");
                        assert_eq!(
                            client.ask(&words).status(),
                            200,
                            "beyond its share it is served too, on an idle fleet"
                        );
                        // Twice its allowance, from all of them together.
                        std::thread::sleep(Duration::from_millis(WINDOW * share / (2 * ALLOWED)));
                    }
                });
            }
            let until = Instant::now() + Duration::from_millis(ms);
            while Instant::now() < until {
                self.look();
                std::thread::sleep(Duration::from_millis(60));
            }
            over.store(true, Ordering::SeqCst);
        });
        let last = window();
        self.look();
        let spent = self.spent.lock().expect("no panic");
        let sum = |window: u64| spent.iter().filter(|((w, ..), _)| *w == window).map(|(_, n)| *n).sum();
        (first..last).map(sum).collect()
    }
}

fn one_server(peer: &Peer) -> Registry {
    Registry::new(&[host("s0", peer.address, "active", 0)])
}

#[test]
fn four_nodes_give_a_tenant_its_allowance_once_whatever_is_lost_between_them() {
    let peer = Peer::good("s0");
    let registry = one_server(&peer);
    let mut fleet = Fleet::new("allowance", &registry);
    until("all have their parts", || {
        (0..NODES).all(|n| usage_at(&fleet.socket(n)).is_some_and(|u| u["own_part"] == true))
    });
    // Rights for the next window are asked for by what was asked for in this one.
    fleet.ask(2 * WINDOW, &[0, 1]);
    for (loss, least) in [(0, 0.9), (30, 0.8), (50, 0.7)] {
        fleet.loss.store(loss, Ordering::SeqCst);
        for at in [&[0, 1, 2, 3][..], &[2]] {
            let windows = fleet.ask(3 * WINDOW + WINDOW / 2, at);
            assert!(
                windows.len() >= 2 && windows.iter().all(|spent| *spent <= ALLOWED),
                "{loss}%: {windows:?}"
            );
            let most = *windows.iter().max().expect("there are some") as f64;
            assert!(most >= least * ALLOWED as f64, "{loss}% at {at:?}: {windows:?}");
        }
    }
    fleet.loss.store(10, Ordering::SeqCst);
    if let Some(mut node) = fleet.nodes[1].take() {
        fleet.look();
        node.kill();
    }
    let windows = fleet.ask(2 * WINDOW, &[0, 2, 3]);
    fleet.start(1);
    let more = fleet.ask(5 * WINDOW, &[0, 1, 2, 3]);
    assert!([windows, more].concat().iter().all(|spent| *spent <= ALLOWED));
    until("it has its part again", || usage_at(&fleet.socket(1)).is_some_and(|u| u["own_part"] == true));
    assert!(fleet.ask(3 * WINDOW, &[1]).iter().any(|spent| *spent >= ALLOWED * 7 / 10));
}

#[test]
fn what_cannot_be_shared_is_said_in_one_line() {
    let registry = Registry::new(&[]);
    let folder = std::env::temp_dir().join(format!("glenwood-usage-{}-bad", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let secret = folder.join("secret");
    std::fs::write(&secret, "short").expect("a file");
    let file = |name: &str, secret: &Path| {
        let path = folder.join("node.toml");
        let text = format!(
            "[usage]\nsecret = '{}'\n[[usage.instance]]\nname = '{name}'\naddress = '127.0.0.1:1'\n",
            secret.display()
        );
        std::fs::write(&path, text).expect("a file");
        path
    };
    let none = folder.join("none");
    for (name, secret, words) in [
        ("n0", &secret, "16 bytes are needed"),
        ("n0", &none, "usage.secret: "),
        ("n7", &secret, "usage.instance: n0 is not among them"),
    ] {
        let (code, said) = peers::run_with_operator(&config(registry.address), &file(name, secret));
        assert_eq!(code, Some(1));
        assert!(said.contains(words) && said.trim().lines().count() == 1, "{said}");
    }
    let _ = std::fs::remove_dir_all(folder);
}
