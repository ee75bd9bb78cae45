//! Links between nodes, servers and discovery that are delayed, cut in one direction and reset, as a seed
//! draws.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use glenwood_testkit::rig::relay::{End, Impairment, LinkImpairment, Net};

use super::dice::Rng;

/// How long new connections on a link that was reset are reset too.
const RESET_SPAN: Duration = Duration::from_millis(60);
/// The relay distinguishes links to servers by server only: all nodes reach a server by the same address.
const NODES: End = End::Node(usize::MAX);

/// The links of one run; all traffic passes through the relay.
pub struct Links(Net);

impl Links {
    pub fn new(seed: u64) -> Self {
        Self(Net::new(seed))
    }

    /// The address at which nodes reach a server.
    pub fn to_server(&self, server: usize, target: SocketAddr) -> SocketAddr {
        self.0.link(NODES, End::Server(server), target)
    }

    /// The address at which one node reaches discovery.
    pub fn to_discovery(&self, node: usize, target: SocketAddr) -> SocketAddr {
        self.0.link(End::Node(node), End::Discovery, target)
    }

    fn inject(&self, from: End, to: End, impairment: Impairment) {
        self.0.impair(LinkImpairment { from: vec![from], to: vec![to], impairment });
    }

    fn reset_between(&self, one: End, other: End) {
        self.inject(one, other, Impairment::Reset);
        self.inject(other, one, Impairment::Reset);
        std::thread::sleep(RESET_SPAN);
    }

    /// Holds a server's responses for 200 to 700 ms, then delivers them or resets its connections.
    fn hold_responses(&self, server: usize, rng: &mut Rng) {
        self.inject(End::Server(server), NODES, Impairment::Cut);
        std::thread::sleep(rng.between(200, 700));
        self.release_or_reset(NODES, End::Server(server), rng);
    }

    /// Holds the data from discovery to a node for 200 to 600 ms, then delivers it or resets the connections.
    fn hold_updates(&self, node: usize, rng: &mut Rng) {
        self.inject(End::Discovery, End::Node(node), Impairment::Cut);
        std::thread::sleep(rng.between(200, 600));
        self.release_or_reset(End::Node(node), End::Discovery, rng);
    }

    /// Resets the connections to a server, and new ones for [`RESET_SPAN`].
    fn reset_connections(&self, server: usize) {
        self.reset_between(NODES, End::Server(server));
        self.0.heal();
    }

    /// Delivers the data that is held, or, with probability 1/2, resets the connections first.
    fn release_or_reset(&self, one: End, other: End, rng: &mut Rng) {
        if rng.one_in(2) {
            self.reset_between(one, other);
        }
        self.0.heal();
    }

    /// Injects one fault after another: before and after the test restarts a server, before discovery goes
    /// down, while it is down, and after that.
    pub fn inject_faults(&self, servers: usize, nodes: usize, rng: &mut Rng) {
        let started = Instant::now();
        let wait_until =
            |ms: u64| std::thread::sleep(Duration::from_millis(ms).saturating_sub(started.elapsed()));
        let mut server = || rng.below(servers as u64) as usize;
        let (first, reset, last) = (server(), server(), server());
        wait_until(200);
        self.reset_connections(reset);
        wait_until(900);
        self.hold_responses(first, rng);
        wait_until(2000);
        self.hold_updates(rng.below(nodes as u64) as usize, rng);
        wait_until(3200);
        self.hold_responses(last, rng);
        wait_until(4600);
        self.reset_connections(first);
        wait_until(5400);
        self.hold_responses(reset, rng);
    }
}
