//! The server list by the number of servers: a full list, and a change of one server.

use std::hint::black_box;

use glenwood_list::{parse_update, Health, Update};
use glenwood_node::clock::Clock;
use glenwood_node::list::{MsgpackServers, Servers, UpdateTimes};
use glenwood_policy::{Action, Balancer, Event, Millis};
use glenwood_settings::NodeSettings;

use crate::deployment;
use crate::measure::{measure, median, Cost};
use crate::report::Report;
use crate::scenario::{megabytes, SAMPLES};
use crate::target;

/// Name of the scenario.
pub const NAME: &str = "list by servers";

/// Numbers of servers; the last is the full size.
pub const SIZES: [usize; 4] = [23, 100, 1_300, 13_000];

/// Runs the scenario at all sizes.
pub fn run(report: &mut Report, sizes: &[usize]) {
    for servers in sizes.iter().copied() {
        let mut pipeline = ListPipeline::new();
        let text = serde_json::to_vec(&deployment::server_list(servers)).expect("valid JSON");
        let (_, full_cost) = measure(|| pipeline.apply_full(&text));
        let changes: Vec<[Cost; 3]> =
            (0..2 * SAMPLES).map(|n| pipeline.apply_change(servers / 2, n as u64)).collect();
        let median_us = |step: usize| median(changes.iter().map(|cost| cost[step].cpu_us()).collect());
        report.add(
            NAME,
            servers as u64,
            &[
                ("whole list bytes", text.len() as f64),
                ("whole list ms", full_cost.cpu_ms()),
                ("kept MB", megabytes(full_cost.retained_bytes)),
                ("change: read us", median_us(0)),
                ("change: list us", median_us(1)),
                ("change: decisions us", median_us(2)),
                ("change: allocations", changes[2].iter().map(|cost| cost.allocations as f64).sum()),
            ],
        );
    }
}

/// The parts of a node that process the list: the server table and the decision module.
struct ListPipeline {
    clock: Clock,
    servers: Servers,
    warm_within: Millis,
    balancer: Balancer,
    actions: Vec<Action>,
}

impl ListPipeline {
    fn new() -> Self {
        let settings = deployment::settings(target::size("nodes") as usize, 10);
        let settings = NodeSettings::from_value(&settings).expect("valid settings").policy;
        Self {
            clock: Clock::default(),
            servers: Servers::new(MsgpackServers::default()),
            warm_within: settings.rules.warm_up_time,
            balancer: Balancer::new(settings, 1).expect("valid settings"),
            actions: Vec::new(),
        }
    }

    fn parse(text: &[u8]) -> Update {
        parse_update(text).expect("valid list")
    }

    fn apply_full(&mut self, text: &[u8]) {
        let update = Self::parse(text);
        let times = UpdateTimes { clock: &self.clock, before: None, warm_within: self.warm_within };
        let (entries, _) = self.servers.take(update, times);
        let event = Event::List { entries, saved: false };
        self.balancer.handle(self.clock.now(), event, &mut self.actions);
    }

    /// Applies a change of one server, which starts to drain or returns to service. Returns the costs of
    /// parsing it, updating the server table, and updating the decision module.
    fn apply_change(&mut self, server: usize, number: u64) -> [Cost; 3] {
        let mut host = deployment::list_entry(server);
        host.health = if number.is_multiple_of(2) { Health::Leaving } else { Health::Active };
        let change = Update { version: 2 + number, is_full: false, hosts: vec![host] };
        let text = serde_json::to_vec(&change).expect("valid JSON");
        let (update, parse_cost) = measure(|| Self::parse(&text));
        let times =
            UpdateTimes { clock: &self.clock, before: Some(self.clock.now()), warm_within: self.warm_within };
        let ((entries, _), table_cost) = measure(|| black_box(self.servers.take(update, times)));
        let (_, decision_cost) = measure(|| {
            self.balancer.handle(self.clock.now(), Event::ListChange(entries), &mut self.actions);
        });
        [parse_cost, table_cost, decision_cost]
    }
}
