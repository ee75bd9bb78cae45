//! Four real nodes that share a tenant's allowance, over a relay that loses, delays and reorders what they say.

mod peers;

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use glenwood_testkit::client::{Answer, Ask, Effect};
use glenwood_testkit::node::Program;
use glenwood_testkit::rig::load::Load;
use glenwood_testkit::rig::relay::{Impairment, LinkImpairment};
use glenwood_testkit::rig::schedule::Fault;
use glenwood_testkit::rig::{Plan, Rig};
use glenwood_testkit::script::{always, Step};
use glenwood_testkit::until;
use peers::{config, Registry};
use serde_json::{json, Value};

const NODES: usize = 4;
const WINDOW: u64 = 1000;
const ALLOWED: u64 = 80;
/// What a node logs before the address of its socket.
const USAGE: &str = "usage: counted with 4 nodes at ";

/// The most that was seen spent in each window, by each node in each of its lives.
type Spent = BTreeMap<(u64, usize, usize), u64>;

struct Fleet {
    rig: Arc<Rig>,
    spent: Spent,
    lives: [usize; NODES],
}

impl Fleet {
    fn new() -> Self {
        let program = Program::new(env!("CARGO_BIN_EXE_glenwood"));
        let mut plan = Plan::new(program, NODES, 1, always(Step::Serve));
        (plan.probe_ms, plan.sockets) = (0, vec![USAGE]);
        plan.adjust_settings = |settings| {
            settings["Customers"] =
                json!([{"Name": "acme", "QuotaPerS": ALLOWED as f64 * 1000.0 / WINDOW as f64}]);
        };
        plan.operator = Box::new(|rig, _| {
            let one = |n| {
                format!("[[usage.instance]]\nname = 'n{n}'\naddress = '{}'\n", rig.stable_address(USAGE, n))
            };
            format!(
                "[usage]\nlist = 1\nsecret = '{}/secret'\nlisten = '127.0.0.1:0'\nwindow_ms = {WINDOW}\n\
                 exchange_ms = 50\ngone_ms = 2000\n{}",
                rig.folder().display(),
                (0..NODES).map(one).collect::<String>()
            )
        });
        Self { rig: Arc::new(Rig::start(plan)), spent: Spent::new(), lives: [0; NODES] }
    }

    /// All datagrams go through that from now on; so many in a hundred are lost.
    fn trouble(&self, loss: u8) {
        self.rig.net.heal();
        for impairment in [Impairment::Loss(loss), Impairment::Duplicated(12), Impairment::Delay(0, 40)] {
            self.rig.net.impair(LinkImpairment { from: Vec::new(), to: Vec::new(), impairment });
        }
    }

    /// What a node says of its usage.
    fn usage(&self, n: usize) -> Option<Value> {
        self.rig.report(n).map(|report| report["usage"].clone()).filter(|usage| !usage.is_null())
    }

    fn window(&self, n: usize) -> u64 {
        self.usage(n).and_then(|usage| usage["window"].as_u64()).expect("it counts")
    }

    /// Notes what each node says that it has spent.
    fn look(&mut self) {
        for n in self.rig.running() {
            let Some(usage) = self.usage(n) else { continue };
            let (Some(window), Some(tenants)) = (usage["window"].as_u64(), usage["tenants"].as_array())
            else {
                continue;
            };
            for tenant in tenants {
                for (window, said) in [(window, &tenant["spent"]), (window - 1, &tenant["before"][0])] {
                    let most = self.spent.entry((window, n, self.lives[n])).or_default();
                    *most = (*most).max(said.as_u64().unwrap_or(0));
                }
            }
        }
    }

    /// Asks for the tenant at these nodes, for twice of what it may have, until so many windows were whole in it; how much was
    /// spent in each of them.
    fn ask(&mut self, windows: u64, at: &[usize]) -> Vec<u64> {
        static LAST: AtomicUsize = AtomicUsize::new(0);
        let round = LAST.fetch_add(1, Ordering::SeqCst);
        let rig = self.rig.clone();
        let make = move |number: u64, _| Ask::new("look", Effect::Safe, &format!("t{round}-{number}"), 5000);
        let load = Load::start(
            at.to_vec(),
            2.0 * ALLOWED as f64 * 1000.0 / WINDOW as f64,
            Arc::new(move |n| rig.address(n)),
            Arc::new(make),
            Arc::new(|_, _, _| Vec::new()),
        );
        let first = self.window(at[0]) + 1;
        let mut now = first;
        until("the windows go by", || {
            self.look();
            now = self.window(at[0]);
            now >= first + windows
        });
        let outcomes = load.end();
        self.look();
        let served = |answer: &Answer| matches!(answer, Answer::Served(_));
        let all = outcomes.iter().all(|outcome| served(&outcome.answer));
        assert!(all, "beyond its share it is served too, on an idle fleet");
        let sum = |window: u64| self.spent.iter().filter(|((w, ..), _)| *w == window).map(|(_, n)| *n).sum();
        (first..now).map(sum).collect()
    }
}

#[test]
fn four_nodes_give_a_tenant_its_allowance_once_whatever_is_lost_between_them() {
    let mut fleet = Fleet::new();
    until("all have their parts", || {
        (0..NODES).all(|n| fleet.usage(n).is_some_and(|usage| usage["own_part"] == true))
    });
    // Rights for the next window are asked for by what was asked for in this one.
    fleet.trouble(0);
    fleet.ask(1, &[0, 1]);
    for (loss, least) in [(0, 0.9), (30, 0.8), (50, 0.7)] {
        fleet.trouble(loss);
        for at in [&[0, 1, 2, 3][..], &[2]] {
            let windows = fleet.ask(3, at);
            assert!(windows.iter().all(|spent| *spent <= ALLOWED), "{loss}%: {windows:?}");
            let most = *windows.iter().max().expect("there are some") as f64;
            assert!(most >= least * ALLOWED as f64, "{loss}% at {at:?}: {windows:?}");
        }
    }
    fleet.trouble(10);
    fleet.look();
    fleet.rig.apply_fault(&Fault::Kill(1));
    let windows = fleet.ask(2, &[0, 2, 3]);
    fleet.rig.apply_fault(&Fault::Start(1));
    fleet.lives[1] += 1;
    let more = fleet.ask(5, &[0, 1, 2, 3]);
    assert!([windows, more].concat().iter().all(|spent| *spent <= ALLOWED));
    until("it has its part again", || fleet.usage(1).is_some_and(|usage| usage["own_part"] == true));
    assert!(fleet.ask(3, &[1]).iter().any(|spent| *spent >= ALLOWED * 7 / 10));
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
