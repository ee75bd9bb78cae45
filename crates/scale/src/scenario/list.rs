//! The list by servers: the whole of it, and a change to one server.

use std::hint::black_box;

use glenwood_list::{parse_update, Health, Update};
use glenwood_node::clock::Clock;
use glenwood_node::list::{MsgpackServers, Servers, UpdateTimes};
use glenwood_policy::{Action, Balancer, Event, Millis};
use glenwood_settings::NodeSettings;

use crate::deployment;
use crate::measure::{measure, median, Cost};
use crate::report::Report;
use crate::scenario::{megabytes, REPEATS};
use crate::target;

/// The name of the scenario.
pub const NAME: &str = "list by servers";

/// The sizes; the last is the full one.
pub const SIZES: [usize; 4] = [23, 100, 1_300, 13_000];

/// Measures all sizes.
pub fn run(report: &mut Report, sizes: &[usize]) {
    for servers in sizes.iter().copied() {
        let mut fleet = Holder::new();
        let text = serde_json::to_vec(&deployment::list(servers)).expect("JSON");
        let (_, whole) = measure(|| fleet.take(&text));
        let changes: Vec<[Cost; 3]> = (0..2 * REPEATS).map(|n| fleet.change(servers / 2, n as u64)).collect();
        let of = |step: usize| median(changes.iter().map(|cost| cost[step].microseconds()).collect());
        report.add(
            NAME,
            servers as u64,
            &[
                ("whole list bytes", text.len() as f64),
                ("whole list ms", whole.milliseconds()),
                ("kept MB", megabytes(whole.kept_bytes)),
                ("change: read us", of(0)),
                ("change: list us", of(1)),
                ("change: decisions us", of(2)),
                ("change: allocations", changes[2].iter().map(|cost| cost.allocations as f64).sum()),
            ],
        );
    }
}

/// What holds the list in a node: the table of servers, and the decision module.
struct Holder {
    clock: Clock,
    servers: Servers,
    warm_within: Millis,
    balancer: Balancer,
    actions: Vec<Action>,
}

impl Holder {
    fn new() -> Self {
        let settings = deployment::settings(target::size("nodes") as usize, 10);
        let settings = NodeSettings::from_value(&settings).expect("good settings").policy;
        Self {
            clock: Clock::default(),
            servers: Servers::new(MsgpackServers::default()),
            warm_within: settings.rules.warm_up_time,
            balancer: Balancer::new(settings, 1).expect("good settings"),
            actions: Vec::new(),
        }
    }

    fn read(text: &[u8]) -> Update {
        parse_update(text).expect("a list")
    }

    fn take(&mut self, text: &[u8]) {
        let update = Self::read(text);
        let heard = UpdateTimes { clock: &self.clock, before: None, warm_within: self.warm_within };
        let (entries, _) = self.servers.take(update, heard);
        let event = Event::List { entries, saved: false };
        self.balancer.handle(self.clock.now(), event, &mut self.actions);
    }

    /// One server begins to drain, or is back.
    fn change(&mut self, server: usize, number: u64) -> [Cost; 3] {
        let mut host = deployment::host(server);
        host.health = if number.is_multiple_of(2) { Health::Leaving } else { Health::Active };
        let change = Update { version: 2 + number, is_full: false, hosts: vec![host] };
        let text = serde_json::to_vec(&change).expect("JSON");
        let (update, reading) = measure(|| Self::read(&text));
        let heard =
            UpdateTimes { clock: &self.clock, before: Some(self.clock.now()), warm_within: self.warm_within };
        let ((entries, _), listing) = measure(|| black_box(self.servers.take(update, heard)));
        let (_, deciding) = measure(|| {
            self.balancer.handle(self.clock.now(), Event::ListChange(entries), &mut self.actions);
        });
        [reading, listing, deciding]
    }
}
