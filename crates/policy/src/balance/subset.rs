//! The servers that a node rotates over: all that are up, or a subset of them if many nodes share them.

use std::collections::BTreeSet;

use super::{Balancer, Server};
use crate::api::*;
use crate::table;

/// Intended number of nodes per server where there are many: enough to even out their uneven traffic, and
/// few enough for the server's connections and for each node to see the server often.
pub(super) const NODES_PER_SERVER: usize = 8;
/// Maximum number of servers that a node rotates over, unless its part of the fleet is larger; each needs a
/// connection.
pub(super) const MAX_ROTATION: usize = 256;
/// Minimum number of nodes per server, however many servers there are.
const MIN_NODES_PER_SERVER: usize = 2;
/// Minimum size of the subset, so that there is another server when one fails.
const MIN_SUBSET: usize = 2;

/// The elements of one sorted slice that another one does not contain.
fn difference<'a>(all: &'a [ServerId], others: &'a [ServerId]) -> impl Iterator<Item = ServerId> + 'a {
    let mut rest = others;
    all.iter().copied().filter(move |id| {
        let smaller = rest.iter().take_while(|other| *other < id).count();
        rest = &rest[smaller..];
        rest.first() != Some(id)
    })
}

impl Balancer {
    /// The servers of the subset.
    pub(super) fn rotated(&self) -> impl Iterator<Item = &Server> + Clone {
        self.subset.iter().filter_map(|id| self.servers.get(id)).inspect(|_| self.count_visit())
    }

    /// The servers of the subset in the order of their turns.
    pub(super) fn by_turn(&self) -> impl Iterator<Item = &Server> {
        self.turns.iter().filter_map(|id| self.servers.get(&id)).inspect(|_| self.count_visit())
    }

    fn count_visit(&self) {
        self.visited_servers.set(self.visited_servers.get() + 1);
    }

    /// Number of servers visited so far while walking over the rotation, to check that the cost of an event
    /// does not grow with the number of servers.
    pub fn visited_servers(&self) -> u64 {
        self.visited_servers.get()
    }

    /// Whether a server is in the subset.
    pub(super) fn is_in_subset(&self, id: ServerId) -> bool {
        self.subset.binary_search(&id).is_ok()
    }

    /// The given servers that are in the subset.
    pub(super) fn in_subset_of<'a>(
        &'a self,
        ids: &'a BTreeSet<ServerId>,
    ) -> impl Iterator<Item = &'a Server> {
        let rotated = ids.iter().filter(|id| self.is_in_subset(**id));
        rotated.filter_map(|id| self.servers.get(id)).inspect(|_| self.count_visit())
    }

    /// Limits the size of the rotation to the number of connections that the node can keep, unless the
    /// node's part of the fleet is larger. Applies from the next list on.
    pub fn limit_rotation(&mut self, max_servers: usize) {
        self.max_rotation = max_servers.clamp(MIN_SUBSET, MAX_ROTATION);
    }

    /// Number of warm servers that a node rotates over: all of them, unless that exceeds the number of
    /// nodes that a server should bear. Connections, and what a node must send to learn of each server,
    /// grow with both.
    pub(super) fn subset_size(&self, up: usize) -> usize {
        let shared_by = |nodes: usize| (nodes * up).div_ceil(self.config.nodes);
        let most = self.max_rotation.max(shared_by(MIN_NODES_PER_SERVER));
        shared_by(NODES_PER_SERVER).min(most).max(MIN_SUBSET).min(up)
    }

    /// Number of servers that it rotates over now: while it checks servers, no more than it can check.
    pub(super) fn rotation_size(&self) -> usize {
        let size = self.subset_size(self.order.len());
        if self.is_checking {
            size.min(self.max_checked())
        } else {
            size
        }
    }

    /// Average number of nodes that send to a server.
    pub(super) fn nodes_per_server(&self) -> f64 {
        let up = self.members.len().max(1);
        (self.config.nodes * self.subset_size(up)) as f64 / up as f64
    }

    /// This node's order of preference of the sorted `members`, chosen so that all nodes together cover the
    /// fleet evenly.
    pub(super) fn preference(&self, members: &[ServerId]) -> Vec<ServerId> {
        let is_full = self.subset_size(members.len()) == members.len();
        // With more members, the node uses only a part of them while the list is not followed, which must
        // not be the same part for all nodes.
        if is_full && members.len() <= self.max_checked() {
            return members.to_vec();
        }
        table::preference(members, self.config.node_index, self.config.nodes, MIN_SUBSET)
    }

    /// Chooses the subset: servers in order of preference until those not ejected add up to enough warm
    /// ones. If many are down or cold, the subset widens, so that the node's traffic does not fall on the
    /// few others.
    pub(super) fn choose_subset(&mut self) {
        let subset = self.wanted_subset();
        let left: Vec<ServerId> = difference(&self.subset, &subset).collect();
        let joined: Vec<ServerId> = difference(&subset, &self.subset).collect();
        (self.subset, self.chosen_at) = (subset, self.now);
        self.size = self.rotated().map(|server| server.size).sum();
        left.into_iter().for_each(|id| self.on_left_subset(id));
        joined.into_iter().for_each(|id| self.on_joined_subset(id));
        self.assign_first_turns();
        self.drop_warm();
    }

    /// Updates the subset when only the ejection of single servers has changed.
    pub(super) fn adapt_subset(&mut self) {
        let wanted = self.rotation_size();
        if self.cold_in_subset().next().is_some() {
            return self.choose_subset();
        }
        self.chosen_at = self.now;
        if wanted == self.order.len() {
            return;
        }
        while self.active_count() < wanted && self.subset.len() < self.order.len() {
            if self.warming.contains(&self.order[self.subset.len()]) {
                // A warming server counts for less than one.
                return self.choose_subset();
            }
            self.widen();
        }
        while self.is_last_spare(wanted) {
            self.narrow();
        }
        self.assign_first_turns();
    }

    /// Number of servers of the subset that are not ejected.
    fn active_count(&self) -> usize {
        self.subset.len() - self.ejected.len()
    }

    /// Whether the other servers suffice without the one that was added last.
    fn is_last_spare(&self, wanted: usize) -> bool {
        let Some(last) = self.subset.len().checked_sub(1).map(|position| self.order[position]) else {
            return false;
        };
        self.active_count() - usize::from(!self.ejected.contains(&last)) >= wanted
    }

    fn widen(&mut self) {
        let id = self.order[self.subset.len()];
        let Err(position) = self.subset.binary_search(&id) else { return };
        self.subset.insert(position, id);
        self.size += self.servers.get(&id).map_or(0.0, |server| server.size);
        self.on_joined_subset(id);
    }

    fn narrow(&mut self) {
        let id = self.order[self.subset.len() - 1];
        let Ok(position) = self.subset.binary_search(&id) else { return };
        self.subset.remove(position);
        self.size -= self.servers.get(&id).map_or(0.0, |server| server.size);
        self.on_left_subset(id);
    }

    /// Removes the state of a server that has left the subset; it may not be listed any more.
    fn on_left_subset(&mut self, id: ServerId) {
        self.set_turn(id, f64::NAN);
        self.ejected.remove(&id);
        self.proved.remove(id);
        self.seen.remove(id);
        self.refused.remove(&id);
        self.probes.remove(id);
    }

    /// Sets up a server that has joined the subset; its turn is assigned later.
    fn on_joined_subset(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        if self.is_checking {
            server.known.require_check();
            server.next_check = f64::NEG_INFINITY;
        }
        if server.ejected_until.is_some() {
            self.ejected.insert(id);
        }
        self.without_turn.push(id);
        self.update_proofs(id);
        self.schedule_probe(id);
    }

    fn wanted_subset(&self) -> Vec<ServerId> {
        let wanted = self.rotation_size();
        if wanted == self.order.len() {
            // No server counts for more than one.
            return self.members.clone();
        }
        let (mut warm, mut subset) = (0.0, Vec::new());
        for server in self.order.iter().filter_map(|id| self.servers.get(id)) {
            if warm >= wanted as f64 {
                break;
            }
            warm += if server.ejected_until.is_none() {
                server.warmth(self.now, &self.config.rules)
            } else {
                0.0
            };
            subset.push(server.entry.server);
        }
        subset.sort_unstable();
        subset
    }

    #[cfg(test)]
    pub(super) fn expected_subset(&self) -> Vec<ServerId> {
        self.wanted_subset()
    }

    /// Assigns the first turns of servers that are new to the rotation. A server of size w has its turns at
    /// (p + k) / w for k = 0, 1, ..., where p from 0 to 1 is its position after the cursor: with equal
    /// sizes this is the plain cyclic order, with unequal ones an even interleaving. The other servers keep
    /// their turns: if all began again at each change, the servers after the nodes' offsets would get all
    /// requests meanwhile.
    fn assign_first_turns(&mut self) {
        let count = self.subset.len().max(1);
        let after_cursor = self.cursor_server.map(|at| self.subset.partition_point(|id| *id <= at));
        let first = after_cursor.unwrap_or(self.config.node_index) % count;
        let mut newcomers = std::mem::take(&mut self.without_turn);
        newcomers.sort_unstable();
        newcomers.dedup();
        for id in newcomers {
            let Ok(position) = self.subset.binary_search(&id) else { continue };
            if !self.servers.get(&id).is_some_and(|server| server.turn.is_nan()) {
                continue;
            }
            let stagger = self.random();
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let after = (position + count - first) % count;
            let warmth = server.warmth(self.now, &self.config.rules);
            // Cold servers get a random position: by the cursors alone, many nodes would send at once.
            let part = if warmth < 1.0 { stagger } else { after as f64 / count as f64 };
            let turn = self.cursor + part / (server.size * warmth);
            server.turn_warmth = warmth;
            (server.stagger, server.last_sent) = (stagger, server.last_sent.max(self.now));
            self.set_turn(id, turn);
            self.mark_cold(id, warmth < 1.0);
        }
    }
}
