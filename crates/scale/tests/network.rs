//! Tests of the simulated network.

use glenwood_scale::network::{Link, Network, Outbox, Process, Time};

/// Sends a message to its neighbour every second, and counts the messages it receives.
struct Pinger {
    next_send: Time,
    to: usize,
    received: usize,
}

impl Process for Pinger {
    fn wake_at(&self) -> Option<Time> {
        Some(self.next_send)
    }

    fn wake(&mut self, now: Time, out: &mut Outbox) {
        self.next_send = now + 1_000;
        out.send(self.to, vec![7; 10]);
    }

    fn receive(&mut self, _now: Time, _from: usize, bytes: &[u8], _out: &mut Outbox) {
        assert_eq!(bytes, [7; 10]);
        self.received += 1;
    }
}

fn pair(link: Link) -> Network<Pinger> {
    let mut network = Network::new(2, 1);
    network.link = link;
    for index in 0..2 {
        let pinger = Pinger { next_send: network.now + 1, to: 1 - index, received: 0 };
        network.start(index, pinger);
    }
    network
}

fn received(network: &Network<Pinger>, index: usize) -> usize {
    network.get(index).map_or(0, |pinger| pinger.received)
}

#[test]
fn messages_arrive_once_and_are_counted() {
    let mut network = pair(Link::default());
    network.run(10_500);
    assert_eq!((received(&network, 0), received(&network, 1)), (11, 11));
    let traffic = network.traffic(0);
    assert_eq!((traffic.sent_messages, traffic.sent_bytes, traffic.received_messages), (11, 110, 11));
}

#[test]
fn messages_are_lost_and_duplicated_reproducibly_by_seed() {
    let mut lossy = pair(Link { loss_rate: 0.5, ..Link::default() });
    lossy.run(1_000_000);
    assert!((400..600).contains(&received(&lossy, 0)), "{}", received(&lossy, 0));
    let mut same_seed = pair(Link { loss_rate: 0.5, ..Link::default() });
    same_seed.run(1_000_000);
    assert_eq!(received(&lossy, 0), received(&same_seed, 0), "the same seed gives the same run");
    let mut doubled = pair(Link { duplicate_rate: 1.0, ..Link::default() });
    doubled.run(10_500);
    assert_eq!(received(&doubled, 0), 22);
}

#[test]
fn no_message_passes_a_partition_or_reaches_a_killed_process() {
    let mut network = pair(Link::default());
    network.partition(1, [1]);
    network.run(5_000);
    assert_eq!(received(&network, 0), 0);
    network.partition(0, [1]);
    network.run(5_000);
    assert_eq!(received(&network, 0), 5);
    network.kill(1);
    network.run(5_000);
    assert_eq!(received(&network, 0), 5);
    assert!(network.get(1).is_none());
}
