//! The network in virtual time does what it is told to.

use glenwood_scale::network::{Link, Network, Outbox, Process, Time};

/// Says one word a second to its neighbour, and counts what it hears.
struct Speaker {
    next: Time,
    to: usize,
    heard: usize,
}

impl Process for Speaker {
    fn due(&self) -> Option<Time> {
        Some(self.next)
    }

    fn wake(&mut self, now: Time, out: &mut Outbox) {
        self.next = now + 1_000;
        out.send(self.to, vec![7; 10]);
    }

    fn receive(&mut self, _now: Time, _from: usize, bytes: &[u8], _out: &mut Outbox) {
        assert_eq!(bytes, [7; 10]);
        self.heard += 1;
    }
}

fn pair(link: Link) -> Network<Speaker> {
    let mut network = Network::new(2, 1);
    network.link = link;
    for number in 0..2 {
        let speaker = Speaker { next: network.now + 1, to: 1 - number, heard: 0 };
        network.start(number, speaker);
    }
    network
}

fn heard(network: &Network<Speaker>, number: usize) -> usize {
    network.get(number).map_or(0, |speaker| speaker.heard)
}

#[test]
fn messages_arrive_once_and_are_counted() {
    let mut network = pair(Link::default());
    network.run(10_500);
    assert_eq!((heard(&network, 0), heard(&network, 1)), (11, 11));
    let traffic = network.traffic(0);
    assert_eq!((traffic.sent_messages, traffic.sent_bytes, traffic.received_messages), (11, 110, 11));
}

#[test]
fn some_are_lost_and_some_come_twice_by_seed() {
    let mut lossy = pair(Link { loss: 0.5, ..Link::default() });
    lossy.run(1_000_000);
    assert!((400..600).contains(&heard(&lossy, 0)), "{}", heard(&lossy, 0));
    let mut again = pair(Link { loss: 0.5, ..Link::default() });
    again.run(1_000_000);
    assert_eq!(heard(&lossy, 0), heard(&again, 0), "one seed, one course");
    let mut doubled = pair(Link { duplicated: 1.0, ..Link::default() });
    doubled.run(10_500);
    assert_eq!(heard(&doubled, 0), 22);
}

#[test]
fn a_partition_and_a_kill_let_nothing_through() {
    let mut network = pair(Link::default());
    network.partition(1, [1]);
    network.run(5_000);
    assert_eq!(heard(&network, 0), 0);
    network.partition(0, [1]);
    network.run(5_000);
    assert_eq!(heard(&network, 0), 5);
    network.kill(1);
    network.run(5_000);
    assert_eq!(heard(&network, 0), 5);
    assert!(network.get(1).is_none());
}
