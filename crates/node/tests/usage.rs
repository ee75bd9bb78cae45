//! Four real nodes share a tenant's allowance, over a relay that loses, duplicates, delays and reorders their
//! datagrams.

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
/// The length of a usage window, in milliseconds.
const WINDOW_MS: u64 = 1000;
/// The requests that the tenant may spend per window.
const ALLOWANCE: u64 = 80;
/// What a node logs before the address of its usage socket.
const USAGE: &str = "usage: counted with 4 nodes at ";

/// The most that a node has reported as spent, by window, node and number of restarts of the node.
type MaxSpent = BTreeMap<(u64, usize, usize), u64>;

struct Fleet {
    rig: Arc<Rig>,
    spent: MaxSpent,
    restarts: [usize; NODES],
}

impl Fleet {
    fn new() -> Self {
        let program = Program::new(env!("CARGO_BIN_EXE_glenwood"));
        let mut plan = Plan::new(program, NODES, 1, always(Step::Serve));
        (plan.probe_ms, plan.sockets) = (0, vec![USAGE]);
        plan.adjust_settings = |settings| {
            settings["Customers"] =
                json!([{"Name": "acme", "QuotaPerS": ALLOWANCE as f64 * 1000.0 / WINDOW_MS as f64}]);
        };
        plan.operator = Box::new(|rig, _| {
            let one = |n| {
                format!("[[usage.instance]]\nname = 'n{n}'\naddress = '{}'\n", rig.stable_address(USAGE, n))
            };
            format!(
                "[usage]\nlist = 1\nsecret = '{}/secret'\nlisten = '127.0.0.1:0'\nwindow_ms = {WINDOW_MS}\n\
                 exchange_ms = 50\ngone_ms = 2000\n{}",
                rig.folder().display(),
                (0..NODES).map(one).collect::<String>()
            )
        });
        Self { rig: Arc::new(Rig::start(plan)), spent: MaxSpent::new(), restarts: [0; NODES] }
    }

    /// From now on the relay loses `loss` percent of all datagrams, and duplicates and delays some.
    fn impair_network(&self, loss: u8) {
        self.rig.net.heal();
        for impairment in [Impairment::Loss(loss), Impairment::Duplicated(12), Impairment::Delay(0, 40)] {
            self.rig.net.impair(LinkImpairment { from: Vec::new(), to: Vec::new(), impairment });
        }
    }

    /// The usage section of a node's report.
    fn usage(&self, n: usize) -> Option<Value> {
        self.rig.report(n).map(|report| report["usage"].clone()).filter(|usage| !usage.is_null())
    }

    fn window(&self, n: usize) -> u64 {
        self.usage(n).and_then(|usage| usage["window"].as_u64()).expect("a usage report")
    }

    /// Records what each node reports as spent.
    fn record_spent(&mut self) {
        for n in self.rig.running() {
            let Some(usage) = self.usage(n) else { continue };
            let (Some(window), Some(tenants)) = (usage["window"].as_u64(), usage["tenants"].as_array())
            else {
                continue;
            };
            for tenant in tenants {
                for (window, reported) in [(window, &tenant["spent"]), (window - 1, &tenant["before"][0])] {
                    let max_spent = self.spent.entry((window, n, self.restarts[n])).or_default();
                    *max_spent = (*max_spent).max(reported.as_u64().unwrap_or(0));
                }
            }
        }
    }

    /// Sends requests for the tenant to the nodes `at`, at twice its allowance, until `windows` full windows
    /// have passed; returns how much was spent in each of them.
    fn run_load(&mut self, windows: u64, at: &[usize]) -> Vec<u64> {
        static LOADS: AtomicUsize = AtomicUsize::new(0);
        let load_number = LOADS.fetch_add(1, Ordering::SeqCst);
        let rig = self.rig.clone();
        let make_request =
            move |number: u64, _| Ask::new("look", Effect::Safe, &format!("t{load_number}-{number}"), 5000);
        let load = Load::start(
            at.to_vec(),
            2.0 * ALLOWANCE as f64 * 1000.0 / WINDOW_MS as f64,
            Arc::new(move |n| rig.address(n)),
            Arc::new(make_request),
            Arc::new(|_, _, _| Vec::new()),
        );
        let first = self.window(at[0]) + 1;
        let mut current = first;
        until("the windows pass", || {
            self.record_spent();
            current = self.window(at[0]);
            current >= first + windows
        });
        let outcomes = load.end();
        self.record_spent();
        let served = |answer: &Answer| matches!(answer, Answer::Served(_));
        let all = outcomes.iter().all(|outcome| served(&outcome.answer));
        assert!(all, "an idle fleet serves the tenant beyond its allowance too");
        let sum = |window: u64| self.spent.iter().filter(|((w, ..), _)| *w == window).map(|(_, n)| *n).sum();
        (first..current).map(sum).collect()
    }
}

#[test]
fn four_nodes_give_a_tenant_its_allowance_once_whatever_is_lost_between_them() {
    let mut fleet = Fleet::new();
    until("all nodes have their parts", || {
        (0..NODES).all(|n| fleet.usage(n).is_some_and(|usage| usage["own_part"] == true))
    });
    // A node claims its part of the next window by the demand in the current one, so the first load only sets
    // that.
    fleet.impair_network(0);
    fleet.run_load(1, &[0, 1]);
    for (loss, least) in [(0, 0.9), (30, 0.8), (50, 0.7)] {
        fleet.impair_network(loss);
        for at in [&[0, 1, 2, 3][..], &[2]] {
            let windows = fleet.run_load(3, at);
            assert!(windows.iter().all(|spent| *spent <= ALLOWANCE), "{loss}%: {windows:?}");
            let most = *windows.iter().max().expect("there are some") as f64;
            assert!(most >= least * ALLOWANCE as f64, "{loss}% at {at:?}: {windows:?}");
        }
    }
    fleet.impair_network(10);
    fleet.record_spent();
    fleet.rig.apply_fault(&Fault::Kill(1));
    let windows = fleet.run_load(2, &[0, 2, 3]);
    fleet.rig.apply_fault(&Fault::Start(1));
    fleet.restarts[1] += 1;
    let more = fleet.run_load(5, &[0, 1, 2, 3]);
    assert!([windows, more].concat().iter().all(|spent| *spent <= ALLOWANCE));
    until("the node has its part again", || fleet.usage(1).is_some_and(|usage| usage["own_part"] == true));
    assert!(fleet.run_load(3, &[1]).iter().any(|spent| *spent >= ALLOWANCE * 7 / 10));
}

#[test]
fn settings_that_cannot_be_shared_are_reported_in_one_line() {
    let registry = Registry::new(&[]);
    let folder = std::env::temp_dir().join(format!("glenwood-usage-{}-bad", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let secret = folder.join("secret");
    std::fs::write(&secret, "short").expect("a file");
    let operator_file = |name: &str, secret: &Path| {
        let path = folder.join("node.toml");
        let text = format!(
            "[usage]\nsecret = '{}'\n[[usage.instance]]\nname = '{name}'\naddress = '127.0.0.1:1'\n",
            secret.display()
        );
        std::fs::write(&path, text).expect("a file");
        path
    };
    let missing_file = folder.join("none");
    for (name, secret, expected) in [
        ("n0", &secret, "16 bytes are needed"),
        ("n0", &missing_file, "usage.secret: "),
        ("n7", &secret, "usage.instance: n0 is not among them"),
    ] {
        let (code, output) =
            peers::run_with_operator(&config(registry.address), &operator_file(name, secret));
        assert_eq!(code, Some(1));
        assert!(output.contains(expected) && output.trim().lines().count() == 1, "{output}");
    }
    let _ = std::fs::remove_dir_all(folder);
}
