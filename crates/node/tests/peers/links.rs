//! Links between nodes, servers and discovery that are held, cut one way and broken, by seed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use glenwood_testkit::rig::relay::{End, Impairment, LinkImpairment, Net};

use super::dice::Dice;

/// For how long broken links break again at once.
const BROKEN: Duration = Duration::from_millis(60);
/// The relay tells links to a server apart by server alone: all nodes come by the same address.
const NODES: End = End::Node(usize::MAX);

/// The links of one run.
pub struct Links(Net);

impl Links {
    pub fn new(seed: u64) -> Self {
        Self(Net::new(seed))
    }

    /// Where nodes reach a server.
    pub fn to_server(&self, server: usize, target: SocketAddr) -> SocketAddr {
        self.0.link(NODES, End::Server(server), target)
    }

    /// Where one node reaches discovery.
    pub fn to_discovery(&self, node: usize, target: SocketAddr) -> SocketAddr {
        self.0.link(End::Node(node), End::Discovery, target)
    }

    fn lay(&self, from: End, to: End, impairment: Impairment) {
        self.0.impair(LinkImpairment { from: vec![from], to: vec![to], impairment });
    }

    fn break_between(&self, one: End, other: End) {
        self.lay(one, other, Impairment::Reset);
        self.lay(other, one, Impairment::Reset);
        std::thread::sleep(BROKEN);
    }

    /// What a server answers is held for that long, and then comes or is lost with its connections.
    fn hold_answers(&self, server: usize, dice: &mut Dice) {
        self.lay(End::Server(server), NODES, Impairment::Cut);
        std::thread::sleep(dice.between(200, 700));
        self.end(NODES, End::Server(server), dice);
    }

    /// What discovery tells a node is held, and then comes or is lost.
    fn hold_news(&self, node: usize, dice: &mut Dice) {
        self.lay(End::Discovery, End::Node(node), Impairment::Cut);
        std::thread::sleep(dice.between(200, 600));
        self.end(End::Node(node), End::Discovery, dice);
    }

    /// The connections to a server break, and new ones do at once.
    fn break_off(&self, server: usize) {
        self.break_between(NODES, End::Server(server));
        self.0.heal();
    }

    /// What is held comes, or is lost.
    fn end(&self, one: End, other: End, dice: &mut Dice) {
        if dice.one_in(2) {
            self.break_between(one, other);
        }
        self.0.heal();
    }

    /// One trouble after another: with the news of a start known, before discovery goes down, while it is down, and after it.
    pub fn trouble(&self, servers: usize, nodes: usize, dice: &mut Dice) {
        let began = Instant::now();
        let at = |ms: u64| std::thread::sleep(Duration::from_millis(ms).saturating_sub(began.elapsed()));
        let mut server = || dice.below(servers as u64) as usize;
        let (first, broken, last) = (server(), server(), server());
        at(200);
        self.break_off(broken);
        at(900);
        self.hold_answers(first, dice);
        at(2000);
        self.hold_news(dice.below(nodes as u64) as usize, dice);
        at(3200);
        self.hold_answers(last, dice);
        at(4600);
        self.break_off(first);
        at(5400);
        self.hold_answers(broken, dice);
    }
}
