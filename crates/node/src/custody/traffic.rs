//! Timers, and the datagrams between nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use glenwood_core::Final;
use glenwood_custody::keeper::Request;
use glenwood_custody::wire::{self, Message};
use glenwood_custody::{NodeId, Work};
use glenwood_datagram::MAX_DATAGRAM_BYTES;
use glenwood_members as members;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::Custody;
use crate::log;

/// How often a keeper looks for works whose holder is lost.
const ORPHAN_SCAN_INTERVAL_MS: u64 = 50;
/// How much later than the keeper before it each further keeper takes an orphaned work up.
const KEEPER_TAKEOVER_DELAY_MS: u64 = 250;
/// How long to wait before the socket is bound again.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The most datagrams that are read before due timers are handled.
const MAX_DATAGRAM_BATCH: usize = 512;
/// The tolerated clock difference and delay of a datagram: a register's lifetime divided by this.
const CLOCK_SKEW_DIVISOR: u64 = 4;

/// The number of keepers of a work: a position after all of them.
fn keeper_count() -> usize {
    glenwood_custody::roster::KEEPERS_PER_WORK
}

impl Custody {
    /// Sends requests to keepers and answers as one until the process ends.
    pub async fn run(self: Rc<Self>) {
        let socket = loop {
            match UdpSocket::bind((self.hub.config.listen.ip(), 0)).await {
                Ok(socket) => break socket,
                Err(error) => log::write_line(format!("custody: {error}; trying again")),
            }
            tokio::time::sleep(BIND_RETRY_DELAY).await;
        };
        if let Ok(at) = socket.local_addr() {
            log::write_line(format!("custody: asks from {at}, epoch {}", self.table.rosters.epoch));
        }
        let _ = self.socket.set(socket);
        let Some(socket) = self.socket.get() else { return };
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let now = self.now();
            let wait = Duration::from_millis(self.due().saturating_sub(now));
            tokio::select! {
                _ = socket.readable() => {}
                () = sleep(wait) => {}
                () = self.changed.notified() => {}
            }
            for _ in 0..MAX_DATAGRAM_BATCH {
                let Ok((length, from)) = socket.try_recv_from(&mut bytes) else { break };
                self.receive_datagram(&bytes[..length], from);
            }
            self.tick();
        }
    }

    fn due(&self) -> u64 {
        let waiting = self.local_works.borrow();
        let until = waiting.values().flat_map(|local| local.waiting.iter().map(|w| w.until)).min();
        let orphans = (self.keeper.borrow().figures().works > 0).then(|| self.next_orphans.get());
        let all =
            [self.coordinator.borrow().next_timeout(), self.keeper.borrow().next_timeout(), until, orphans];
        all.into_iter().flatten().min().unwrap_or(self.now() + 1000)
    }

    fn tick(&self) {
        let now = self.now();
        self.keeper.borrow_mut().handle_timeout(now);
        self.coordinator.borrow_mut().handle_timeout(now);
        self.adopt_orphans(now);
        self.pump();
        self.answer_overdue(now);
    }

    /// Answers the clients whose time has run out that no answer is known. This does not decide the work.
    fn answer_overdue(&self, now: u64) {
        let mut late = Vec::new();
        for (ticket, local) in self.local_works.borrow_mut().iter_mut() {
            let (over, left): (Vec<_>, Vec<_>) = local.waiting.drain(..).partition(|w| w.until <= now);
            local.waiting = left;
            late.extend(over.into_iter().map(|waiting| (*ticket, waiting)));
        }
        for (ticket, waiting) in late {
            self.numbers.borrow_mut().remove(&waiting.number);
            (waiting.waiter)(Final::DeadlineNear);
            self.on_waiters_changed(ticket);
        }
    }

    /// Adopts works of lost nodes: this node does if it is the first living keeper, or if the keepers
    /// before it have not done so in time.
    fn adopt_orphans(&self, now: u64) {
        if now < self.next_orphans.get() {
            return;
        }
        self.next_orphans.set(now + ORPHAN_SCAN_INTERVAL_MS);
        let works = {
            let coordinator = self.coordinator.borrow();
            self.keeper.borrow().orphans(now, |life| coordinator.is_lost(now, life))
        };
        let mut orphans = self.orphans.borrow_mut();
        orphans.retain(|work, _| works.contains(work));
        for work in works {
            let since = *orphans.entry(work).or_insert(now);
            let keepers = self.table.rosters.keepers(work.slot);
            let own_position = keepers.position(self.me.node).unwrap_or(keeper_count());
            let before = keepers
                .all()
                .into_iter()
                .filter(|id| keepers.position(*id).is_some_and(|p| p < own_position));
            let rank = before.filter(|id| self.is_member_living(*id)).count() as u64;
            if now >= since + rank * KEEPER_TAKEOVER_DELAY_MS {
                self.coordinator.borrow_mut().adopt(now, work);
            }
        }
    }

    fn is_member_living(&self, node: NodeId) -> bool {
        self.membership.get(members::Id(node.0)).is_some_and(|(_, state)| state.is_living())
    }

    /// Handles a datagram, from either socket.
    pub(super) fn receive_datagram(&self, bytes: &[u8], source: SocketAddr) {
        let Ok((from, messages)) = wire::read(bytes, self.cluster, &self.secret) else {
            return self.count(|counts| counts.forged += 1);
        };
        if !self.table.rosters.shares_majority_with(from.epoch.0, from.epoch.1) {
            return self.count(|counts| counts.other_epoch += 1);
        }
        if from.sent_at_ms.abs_diff(self.hub.clock.unix_now()) > self.table.life_ms / CLOCK_SKEW_DIVISOR {
            return self.count(|counts| counts.stale += 1);
        }
        let now = self.now();
        self.keeper.borrow_mut().mark_alive(now, from.sender);
        let mut replies = Vec::new();
        for message in messages {
            match message {
                Message::Request(work, request) => replies.extend(self.handle_request(now, work, request)),
                Message::Reply(work, reply) => {
                    self.coordinator.borrow_mut().handle_reply(now, from.sender.node, work, reply)
                }
                Message::Alive => {}
            }
        }
        self.send_messages(source, &replies, &|bytes, to| {
            // Nodes that ask this keeper know it by its membership address.
            self.membership.send(bytes, to);
        });
    }

    /// Handles a request as a keeper and returns the replies.
    fn handle_request(&self, now: u64, work: Work, request: Request) -> Vec<Message> {
        let mut keeper = self.keeper.borrow_mut();
        let replies = match request {
            Request::FetchPieces(blob, want) => keeper.fetch_pieces(now, work, blob, want),
            request => vec![keeper.handle_request(now, work, request)],
        };
        replies.into_iter().map(|reply| Message::Reply(work, reply)).collect()
    }

    fn send_messages(&self, to: SocketAddr, messages: &[Message], send: &dyn Fn(&[u8], SocketAddr)) {
        if messages.is_empty() {
            return;
        }
        let epoch = (self.table.rosters.epoch, self.table.rosters.previous.is_some());
        let time = self.hub.clock.unix_now();
        let from = wire::Header { cluster: self.cluster, sender: self.me, epoch, sent_at_ms: time };
        for bytes in wire::write(&from, messages, &self.secret) {
            self.count(|counts| {
                counts.sent += 1;
                counts.sent_bytes += bytes.len() as u64;
            });
            send(&bytes, to);
        }
    }

    pub(super) fn transmit(&self) {
        let mut by_node: BTreeMap<NodeId, Vec<Message>> = BTreeMap::new();
        loop {
            let next = self.coordinator.borrow_mut().poll_transmit();
            let Some((to, what)) = next else { break };
            match what {
                Some((work, request)) if to == self.me.node => {
                    // The keeper in this process is called without a datagram.
                    let now = self.now();
                    for message in self.handle_request(now, work, request) {
                        if let Message::Reply(work, reply) = message {
                            self.coordinator.borrow_mut().handle_reply(now, to, work, reply);
                        }
                    }
                }
                Some((work, request)) => by_node.entry(to).or_default().push(Message::Request(work, request)),
                None if to == self.me.node => {}
                None => by_node.entry(to).or_default().push(Message::Alive),
            }
        }
        let Some(socket) = self.socket.get() else { return };
        for (to, messages) in by_node {
            let Some((member, _)) = self.membership.get(members::Id(to.0)) else { continue };
            self.send_messages(member.address, &messages, &|bytes, to| {
                // A datagram is dropped when the socket's buffer is full, as the network may drop it.
                let _ = socket.try_send_to(bytes, to);
            });
        }
    }
}
