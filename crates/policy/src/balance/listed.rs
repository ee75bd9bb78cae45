//! The list of servers as the module stores it; the cost of an update depends on the number of changed
//! entries.

use super::knowledge::Knowledge;
use super::subset::NODES_PER_SERVER;
use super::{Balancer, Server};
use crate::api::*;

impl Server {
    /// A newly listed server, of which nothing is known yet.
    fn new(entry: Entry, size: f64) -> Self {
        Self {
            entry,
            size,
            share: 1.0,
            turn: f64::NAN,
            turn_warmth: 1.0,
            in_flight: Vec::new(),
            limit: f64::NAN,
            last_sent: f64::NEG_INFINITY,
            last_duration: 0.0,
            consecutive_failures: 0,
            last_reset: f64::NEG_INFINITY,
            ejections: 0,
            ejected_until: None,
            down: false,
            next_check: f64::NEG_INFINITY,
            check_after: f64::NEG_INFINITY,
            known: Knowledge::default(),
            returned_at: None,
            stagger: 0.0,
        }
    }
}

impl Balancer {
    /// Applies a full list, or the changed entries of one. `answer`: it answers a call.
    pub(super) fn on_list(&mut self, entries: Vec<Entry>, answer: bool, full: bool) {
        if answer {
            let news = self.has_news(&entries, full);
            self.calls.on_answered(self.now, news);
        } else if full {
            self.calls.on_saved_list(self.now);
        }
        if full {
            for server in self.servers.values_mut() {
                server.entry.state = Listed::Gone;
            }
            self.gone = self.servers.keys().copied().collect();
        }
        let mut touched: Vec<ServerId> = entries.iter().map(|entry| entry.server).collect();
        touched.sort_unstable();
        touched.dedup();
        entries.into_iter().for_each(|entry| self.apply_entry(entry));
        // Gone servers are kept while attempts are in flight, so that their outcomes can be recorded.
        self.drop_gone();
        if full {
            self.rebuild_members();
        } else {
            self.update_members(&touched);
        }
        // Rest times and minimum limits of all sharing nodes add up: if they did not account for the number
        // of nodes, the sends of many nodes alone would keep a slow server from the rest that it needs.
        self.sharing_factor = (self.nodes_per_server() / NODES_PER_SERVER as f64).max(1.0);
        let limit = self.initial_limit();
        let is_news = !answer && !full;
        self.has_other_source |= is_news && !touched.is_empty();
        for id in touched {
            if let Some(server) = self.servers.get_mut(&id).filter(|_| is_news) {
                server.known.note_listed_elsewhere(self.now);
            }
            let server = self.servers.get_mut(&id).filter(|server| server.limit.is_nan());
            server.into_iter().for_each(|server| server.limit = limit);
        }
        self.choose_subset();
    }

    /// Applies the list's entry of one server.
    fn apply_entry(&mut self, mut entry: Entry) {
        if !entry.weight.is_finite() || entry.weight <= 0.0 {
            entry.weight = 1.0;
        }
        let id = entry.server;
        // Live weights reflect the load, with a delay and the same for all nodes. The size of a server is
        // the highest weight that it was ever listed with, when it was least busy.
        let largest_size = self.servers.get(&id).map_or(0.0, |s| s.size);
        let size = match self.config.weights {
            Weights::Listed => entry.weight,
            Weights::Live => entry.weight.max(largest_size),
            Weights::None => 1.0,
        };
        let server = self.servers.entry(id).or_insert_with(|| Server::new(entry.clone(), size));
        if entry.started_at != server.entry.started_at {
            // It restarted: what was observed of the previous process does not apply to this one.
            (server.consecutive_failures, server.ejections, server.down) = (0, 0, false);
            (server.ejected_until, server.returned_at, server.known) = (None, None, Knowledge::default());
        }
        let is_back = !server.listed_up() && entry.state == Listed::Up;
        if is_back {
            // What it refused while it drained does not count from now on.
            (server.consecutive_failures, server.ejections) = (0, 0);
            (server.ejected_until, server.known) = (None, Knowledge::default());
        }
        let begins = !server.listed_up() || entry.started_at != server.entry.started_at;
        server.size = size;
        server.entry = entry;
        let (is_gone, is_ejected) = (server.entry.state == Listed::Gone, server.ejected_until.is_some());
        if server.entry.started_at.is_some() {
            self.warming.insert(id);
        }
        if begins {
            self.set_turn(id, f64::NAN);
            self.without_turn.push(id);
        }
        if is_gone {
            self.gone.insert(id);
        } else {
            self.gone.remove(&id);
        }
        if !is_ejected {
            self.ejected.remove(&id);
        }
        self.schedule_probe(id);
    }

    /// Whether these entries contain anything that was not known.
    fn has_news(&self, entries: &[Entry], full: bool) -> bool {
        let listed = self.servers.values().filter(|s| s.entry.state != Listed::Gone);
        let is_new = |entry: &Entry| match self.servers.get(&entry.server) {
            Some(known) => (known.entry.state, known.entry.started_at) != (entry.state, entry.started_at),
            None => entry.state != Listed::Gone,
        };
        entries.iter().any(is_new) || (full && listed.count() > entries.len())
    }

    pub(super) fn on_list_failed(&mut self, failure: ListFailure) {
        if self.config.discovery == Discovery::Pushed {
            return;
        }
        let chance = self.random();
        self.calls.on_failed(self.now, failure, &self.config, chance);
    }

    /// Removes servers that are no longer listed and have no attempt in flight.
    pub(super) fn drop_gone(&mut self) {
        let is_removable =
            |id: &ServerId| self.servers.get(id).is_none_or(|server| server.in_flight.is_empty());
        let removable: Vec<ServerId> = self.gone.iter().copied().filter(is_removable).collect();
        for id in removable {
            self.servers.remove(&id);
            self.suspected.remove(&id);
            self.cold.remove(&id);
            self.warming.remove(&id);
            self.gone.remove(&id);
        }
    }

    // ---- The servers that are up ----

    fn is_up(&self, id: ServerId) -> bool {
        self.servers.get(&id).is_some_and(Server::listed_up)
    }

    /// Recomputes the members and their order of preference.
    pub(super) fn rebuild_members(&mut self) {
        let up = self.servers.values().filter(|server| server.listed_up());
        self.members = up.map(|server| server.entry.server).collect();
        self.order = self.preference(&self.members);
    }

    /// Updates the members and their order when only the given servers, sorted, have changed.
    fn update_members(&mut self, touched: &[ServerId]) {
        let is_member = |id: &ServerId| self.members.binary_search(id).is_ok();
        if touched.iter().all(|id| is_member(id) == self.is_up(*id)) {
            return;
        }
        let mut members = std::mem::take(&mut self.members);
        members.retain(|id| touched.binary_search(id).is_err());
        members.extend(touched.iter().copied().filter(|id| self.is_up(*id)));
        // Two sorted runs, which the sort merges.
        members.sort();
        self.members = members;
        self.order = self.preference(&self.members);
    }
}

#[cfg(test)]
mod tests {
    use proptest::collection::vec;
    use proptest::prelude::*;

    use super::*;
    use crate::discovery::tests::fleet;

    const SERVERS: u64 = 12;

    fn settings(nodes: usize) -> Settings {
        let (target_latency, client_timeout, effect) = (100.0, f64::INFINITY, Effect::Safe);
        let class = Class { target_latency, worth: 1.0, late_worth: 0.0, client_timeout, effect };
        Settings { classes: vec![class], discovery: Discovery::Pushed, ..fleet(nodes) }
    }

    fn entries() -> impl Strategy<Value = Vec<Entry>> {
        let state = prop_oneof![3 => Just(Listed::Up), 1 => Just(Listed::Draining), 1 => Just(Listed::Gone)];
        let entry = (0..SERVERS, state, any::<bool>()).prop_map(|(server, state, cold)| Entry {
            server: ServerId(server),
            zone: 0,
            cell: 0,
            kind: 0,
            state,
            weight: 1.0,
            started_at: cold.then_some(900.0),
        });
        vec(entry, 0..6)
    }

    /// Whether a list is full, its entries, and the outcome of an attempt after it.
    type Step = (bool, Vec<Entry>, Outcome);

    fn steps() -> impl Strategy<Value = Vec<Step>> {
        let outcome = prop_oneof![Just(Outcome::Done), Just(Outcome::ConnectFailed), Just(Outcome::TimedOut)];
        vec((prop::bool::weighted(0.1), entries(), outcome), 1..40)
    }

    /// Asserts that the incrementally updated state equals what a scan of all servers finds.
    fn assert_consistent(balancer: &Balancer) {
        let ids = |is: &dyn Fn(&Server) -> bool| -> Vec<ServerId> {
            balancer.servers.values().filter(|s| is(s)).map(|s| s.entry.server).collect()
        };
        assert_eq!(balancer.members, ids(&Server::listed_up));
        let gone: Vec<ServerId> = balancer.gone.iter().copied().collect();
        assert_eq!(gone, ids(&|s| s.entry.state == Listed::Gone));
        assert!(ids(&|s| s.ejected_until.is_some()).iter().all(|id| balancer.suspected.contains(id)));
        assert!(balancer.rotated().all(|s| !s.turn.is_nan() && s.listed_up()));
        let rotated = |is: &dyn Fn(&Server) -> bool| -> Vec<ServerId> {
            balancer.rotated().filter(|s| is(s)).map(|s| s.entry.server).collect()
        };
        let kept: Vec<ServerId> = balancer.ejected.iter().copied().collect();
        assert_eq!(kept, rotated(&|s| s.ejected_until.is_some()));
        let is_cold = |s: &Server| s.warmth(balancer.now, &balancer.config.rules) < 1.0;
        assert!(rotated(&is_cold).iter().all(|id| balancer.warming.contains(id)));
        let by_turn = |id: &ServerId| balancer.servers[id].turn;
        let turns: Vec<ServerId> = balancer.turns.iter().collect();
        assert!(turns.windows(2).all(|pair| by_turn(&pair[0]) <= by_turn(&pair[1])));
        assert_eq!(turns.len(), balancer.subset.len());
        let first = |due: f64, s: &Server| due.min(balancer.probe_due(s));
        assert_eq!(balancer.probes.first_time(), balancer.rotated().fold(f64::INFINITY, first));
        assert_eq!(balancer.subset, balancer.expected_subset());
        let cold: Vec<ServerId> =
            balancer.rotated().filter(|s| s.turn_warmth < 1.0).map(|s| s.entry.server).collect();
        assert!(cold.iter().all(|id| balancer.cold.contains(id)));
        assert_eq!(balancer.ejected_count(), ids(&|s| s.listed_up() && s.ejected_until.is_some()).len());
    }

    fn request(id: RequestId, deadline: Millis) -> Event {
        let (tenant, repeat_key, work, in_share, prior_attempts) = (None, None, None, None, None);
        Event::Request { id, class: 0, tenant, deadline, repeat_key, work, in_share, prior_attempts }
    }

    fn run_steps(nodes: usize, steps: Vec<Step>) {
        let mut balancer = Balancer::new(settings(nodes), 1).expect("valid settings");
        let (mut actions, mut out) = (Vec::new(), Vec::new());
        for (number, (full, entries, outcome)) in (0u64..).zip(steps) {
            let now = 1_000.0 + 20.0 * number as f64;
            let list = match full {
                true => Event::List { entries, saved: false },
                false => Event::ListChange(entries),
            };
            balancer.handle(now, list, &mut actions);
            assert_consistent(&balancer);
            balancer.handle(now, request(RequestId(number), now + 500.0), &mut actions);
            out.extend(actions.drain(..).filter_map(|action| match action {
                Action::Send { id, server, .. } => Some((id, server)),
                _ => None,
            }));
            // Some attempts stay in flight over several changes.
            if out.len() > 3 {
                let (id, server) = out.remove(0);
                let ended = Event::Ended { id, attempt: 0, server, outcome, duration: 30.0, finished: true };
                balancer.handle(now + 10.0, ended, &mut actions);
                assert_consistent(&balancer);
            }
        }
    }

    proptest! {
        #[test]
        fn a_change_leads_to_the_same_state_as_a_full_list(
            nodes in prop_oneof![Just(1), Just(40)],
            steps in steps(),
        ) {
            run_steps(nodes, steps);
        }
    }
}
