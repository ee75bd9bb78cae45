//! The rotation: whose turn it is, and how much capacity the servers have that have turns.

use super::{Balancer, Server};
use crate::api::*;

impl Balancer {
    /// Sets when the next turn of a server comes; no number takes its turn away.
    pub(super) fn set_turn(&mut self, id: ServerId, turn: f64) {
        self.turns.set(id, turn);
        self.servers.get_mut(&id).into_iter().for_each(|server| server.turn = turn);
    }

    /// Takes turns until one falls to a server that `ready` lets through; others are passed over in place.
    pub(super) fn next_turn(&mut self, ready: impl Fn(&Self, &Server) -> bool) -> Option<ServerId> {
        if !self.by_turn().any(|server| ready(self, server)) {
            return None;
        }
        self.bring_warming_closer();
        loop {
            let (id, turn) = self.turns.first()?;
            self.steps.set(self.steps.get() + 1);
            let passes = self.servers.get(&id).is_some_and(|server| ready(self, server));
            (self.cursor, self.cursor_at) = (turn, Some(id));
            let server = self.servers.get_mut(&id)?;
            server.turn_warmth = server.warmth(self.now, &self.set.rules);
            let next = turn + 1.0 / (server.size * server.share * server.turn_warmth);
            let cold = server.turn_warmth < 1.0;
            self.set_turn(id, next);
            self.note_cold(id, cold);
            if passes {
                return Some(id);
            }
        }
    }

    /// As a cold server warms up its turns come closer.
    fn bring_warming_closer(&mut self) {
        let (now, cursor) = (self.now, self.cursor);
        let mut turns = Vec::new();
        for id in &self.cold {
            if !self.is_rotated(*id) {
                continue;
            }
            let Some(server) = self.servers.get_mut(id).filter(|server| server.turn_warmth < 1.0) else {
                continue;
            };
            let warmth = server.warmth(now, &self.set.rules);
            turns.push((*id, cursor + (server.turn - cursor) * server.turn_warmth / warmth));
            server.turn_warmth = warmth;
        }
        turns.into_iter().for_each(|(id, turn)| self.set_turn(id, turn));
    }

    /// Servers of the subset that have less than their capacity by now.
    pub(super) fn cold_rotated(&self) -> impl Iterator<Item = &Server> {
        let is_cold = |server: &&Server| server.warmth(self.now, &self.set.rules) < 1.0;
        self.rotated_of(&self.warming).filter(is_cold)
    }

    /// The sizes of the subset's servers, each by what it has of its capacity by now.
    pub(super) fn present_size(&self) -> f64 {
        let missing = |s: &Server| s.size * (1.0 - s.warmth(self.now, &self.set.rules));
        self.size - self.cold_rotated().map(missing).sum::<f64>()
    }

    /// The sizes of those that have all of it.
    pub(super) fn warm_size(&self) -> f64 {
        self.size - self.cold_rotated().map(|server| server.size).sum::<f64>()
    }

    /// Forgets those as warming that have all of their capacity by now.
    pub(super) fn forget_warm(&mut self) {
        let (now, rules, servers) = (self.now, &self.set.rules, &self.servers);
        self.warming.retain(|id| servers.get(id).is_some_and(|server| server.warmth(now, rules) < 1.0));
    }
}
