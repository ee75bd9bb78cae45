//! The rotation: which server has the next turn, and how much capacity the servers in it have.

use super::{Balancer, Server};
use crate::api::*;

impl Balancer {
    /// Sets the position of a server's next turn; NaN removes it from the rotation.
    pub(super) fn set_turn(&mut self, id: ServerId, turn: f64) {
        self.turns.set(id, turn);
        self.servers.get_mut(&id).into_iter().for_each(|server| server.turn = turn);
    }

    /// Takes turns until one falls to a server that satisfies the predicate; the others are skipped and
    /// lose that turn.
    pub(super) fn next_turn(&mut self, is_ready: impl Fn(&Self, &Server) -> bool) -> Option<ServerId> {
        if !self.by_turn().any(|server| is_ready(self, server)) {
            return None;
        }
        self.advance_warming_turns();
        loop {
            let (id, turn) = self.turns.first()?;
            self.visited_servers.set(self.visited_servers.get() + 1);
            let passes = self.servers.get(&id).is_some_and(|server| is_ready(self, server));
            (self.cursor, self.cursor_server) = (turn, Some(id));
            let server = self.servers.get_mut(&id)?;
            server.turn_warmth = server.warmth(self.now, &self.config.rules);
            let next = turn + 1.0 / (server.size * server.share * server.turn_warmth);
            let cold = server.turn_warmth < 1.0;
            self.set_turn(id, next);
            self.mark_cold(id, cold);
            if passes {
                return Some(id);
            }
        }
    }

    /// Moves the turns of cold servers closer as they warm up.
    fn advance_warming_turns(&mut self) {
        let (now, cursor) = (self.now, self.cursor);
        let mut turns = Vec::new();
        for id in &self.cold {
            if !self.is_in_subset(*id) {
                continue;
            }
            let Some(server) = self.servers.get_mut(id).filter(|server| server.turn_warmth < 1.0) else {
                continue;
            };
            let warmth = server.warmth(now, &self.config.rules);
            turns.push((*id, cursor + (server.turn - cursor) * server.turn_warmth / warmth));
            server.turn_warmth = warmth;
        }
        turns.into_iter().for_each(|(id, turn)| self.set_turn(id, turn));
    }

    /// Servers of the subset that are still warming up.
    pub(super) fn cold_in_subset(&self) -> impl Iterator<Item = &Server> {
        let is_cold = |server: &&Server| server.warmth(self.now, &self.config.rules) < 1.0;
        self.in_subset_of(&self.warming).filter(is_cold)
    }

    /// Total size of the subset, each server weighted by its present share of its capacity.
    pub(super) fn current_size(&self) -> f64 {
        let missing = |s: &Server| s.size * (1.0 - s.warmth(self.now, &self.config.rules));
        self.size - self.cold_in_subset().map(missing).sum::<f64>()
    }

    /// Total size of the subset's warm servers.
    pub(super) fn warm_size(&self) -> f64 {
        self.size - self.cold_in_subset().map(|server| server.size).sum::<f64>()
    }

    /// Removes servers that are warm by now from the set of warming ones.
    pub(super) fn drop_warm(&mut self) {
        let (now, rules, servers) = (self.now, &self.config.rules, &self.servers);
        self.warming.retain(|id| servers.get(id).is_some_and(|server| server.warmth(now, rules) < 1.0));
    }
}
