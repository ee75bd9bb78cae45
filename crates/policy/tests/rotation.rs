//! The rotation over servers: evenness, offsets of nodes, interleaving of weights, and the effect of list
//! changes.

mod common;
use common::*;
use glenwood_policy::*;

fn turns(node: &mut Node, count: usize) -> Vec<u64> {
    let turn = |node: &mut Node| {
        node.now += 5.0;
        node.serve(SAFE, 1.0).expect("sent").0
    };
    (0..count).map(|_| turn(node)).collect()
}

#[test]
fn equal_servers_take_turns_in_cyclic_order() {
    let mut node = Node::fleet(settings(), 4);
    assert_eq!(turns(&mut node, 8), [0, 1, 2, 3, 0, 1, 2, 3]);
}

#[test]
fn each_node_starts_at_its_own_number() {
    let mut node = Node::fleet(Settings { node_index: 1, nodes: 7, ..settings() }, 4);
    assert_eq!(turns(&mut node, 5), [1, 2, 3, 0, 1]);
    let mut node = Node::fleet(Settings { node_index: 6, nodes: 7, ..settings() }, 4);
    assert_eq!(turns(&mut node, 5), [2, 3, 0, 1, 2]);
}

#[test]
fn the_order_follows_server_ids_not_the_list() {
    let mut node = Node::new(settings(), vec![entry(9, 1.0), entry(2, 1.0), entry(5, 1.0)]);
    assert_eq!(turns(&mut node, 3), [2, 5, 9]);
}

#[test]
fn weights_interleave_instead_of_repeating() {
    let mut node = Node::new(settings(), vec![entry(0, 2.0), entry(1, 1.0), entry(2, 1.0)]);
    let order = turns(&mut node, 40);
    assert_eq!(order.iter().filter(|s| **s == 0).count(), 20);
    assert_eq!(order.iter().filter(|s| **s == 1).count(), 10);
    assert!(order.windows(3).all(|w| w.iter().any(|s| *s != w[0])), "{order:?}");
}

#[test]
fn a_weight_change_does_not_restart() {
    let mut node = Node::fleet(settings(), 4);
    turns(&mut node, 2);
    node.event(Event::ListChange(vec![entry(0, 1.1)]));
    assert_eq!(turns(&mut node, 2), [2, 3]);
}

/// Guards against list changes that come faster than the rotation completes a round: when each change reset
/// all nodes to their offsets, the servers right after the offsets got all requests.
#[test]
fn a_change_of_members_keeps_the_position() {
    let mut node = Node::fleet(Settings { node_index: 1, ..settings() }, 3);
    assert_eq!(turns(&mut node, 2), [1, 2]);
    node.event(Event::ListChange(vec![entry(3, 1.0)]));
    assert_eq!(turns(&mut node, 8), [3, 0, 1, 2, 3, 0, 1, 2]);
    node.event(Event::ListChange(vec![Entry { state: Listed::Gone, ..entry(1, 1.0) }]));
    assert_eq!(turns(&mut node, 4), [3, 0, 2, 3]);
}

#[test]
fn an_unready_server_is_skipped() {
    let mut node = Node::fleet(settings(), 4);
    turns(&mut node, 1);
    let (id, actions) = node.submit(SAFE);
    assert_eq!(sent_to(&actions), Some(ServerId(1)));
    let actions = node.end(id, Outcome::ConnectFailed);
    assert_eq!(sent_to(&actions), Some(ServerId(2)), "a further attempt takes the next turn");
    node.end(id, Outcome::Done);
    assert_eq!(turns(&mut node, 6), [3, 0, 2, 3, 0, 2]);
}

#[test]
fn live_weights_do_not_change_the_rotation() {
    let live = Settings { weights: Weights::Live, ..settings() };
    let mut node = Node::new(live, vec![entry(0, 1.0), entry(1, 1.0)]);
    node.event(Event::ListChange(vec![entry(0, 0.1)]));
    assert_eq!(turns(&mut node, 4), [0, 1, 0, 1], "a server listed as busy keeps its turns");
}

#[test]
fn a_server_with_late_answers_loses_turns_slowly() {
    let mut node = Node::fleet(settings(), 4);
    let mut sent = [0; 4];
    for round in 0..400 {
        let (id, actions) = node.submit(SAFE);
        let server = sent_to(&actions).expect("sent");
        // All weights are equal, but the answers of server 0 take most of the target latency.
        node.now += if server.0 == 0 { 90.0 } else { 10.0 };
        node.end(id, Outcome::Done);
        if round >= 300 {
            sent[server.0 as usize] += 1;
        }
    }
    assert!(sent[0] > 0 && sent[0] < sent[1] * 2 / 3, "{sent:?}");
}

/// The servers that each node sends to in 12 turns.
fn subsets(nodes: usize, servers: &[Entry]) -> Vec<Vec<u64>> {
    let subset_of = |number| {
        let mut node = Node::new(Settings { node_index: number, nodes, ..settings() }, servers.to_vec());
        let mut used = turns(&mut node, 12);
        used.sort_unstable();
        used.dedup();
        used
    };
    (0..nodes).map(subset_of).collect()
}

/// Guards against large deployments in which every node uses every server: the number of connections was
/// nodes times servers, full connection tables looked like dead processes, and no node used a server often
/// enough to learn its answer times.
#[test]
fn subsets_of_many_nodes_cover_the_fleet_evenly() {
    // With fewer servers, a server appears more often twice among the candidates of a node, and another
    // replaces it.
    for (nodes, servers, min_ratio) in [(305, 60, 0.75), (751, 123, 0.75), (49, 13, 0.55), (1800, 276, 0.75)]
    {
        let fleet: Vec<_> = (0..servers).map(|id| entry(id * id + 7, 1.0)).collect();
        let used = subsets(nodes, &fleet);
        let mut count = std::collections::BTreeMap::new();
        for id in used.iter().flatten() {
            *count.entry(*id).or_insert(0usize) += 1;
        }
        assert_eq!(count.len(), servers as usize, "every server is used by a node");
        let (least, most) = (count.values().min().expect("some"), count.values().max().expect("some"));
        assert!(used.iter().all(|m| m.len() <= 6), "subsets are small");
        assert!(
            *least as f64 > min_ratio * *most as f64,
            "{nodes} nodes, {servers} servers: {least} to {most}"
        );
    }
}

#[test]
fn a_change_of_the_list_changes_subsets_little() {
    let fleet: Vec<_> = (0..60).map(|id| entry(id * id + 7, 1.0)).collect();
    let (before, after) = (subsets(300, &fleet), subsets(300, &fleet[1..]));
    let kept: usize =
        before.iter().zip(&after).map(|(b, a)| b.iter().filter(|id| a.contains(id)).count()).sum();
    let all: usize = before.iter().map(Vec::len).sum();
    assert!(kept as f64 > 0.8 * all as f64, "{kept} of {all}");
}

#[test]
fn few_nodes_rotate_over_the_whole_fleet() {
    let fleet: Vec<_> = (0..12).map(|id| entry(id, 1.0)).collect();
    assert!(subsets(4, &fleet).iter().all(|m| m.len() == 12));
}

/// Guards against a node that refuses all requests because its whole subset is down while other servers are
/// idle.
#[test]
fn a_subset_that_is_down_is_extended() {
    let fleet: Vec<_> = (0..60).map(|id| entry(id, 1.0)).collect();
    let mut node = Node::new(Settings { nodes: 300, ..settings() }, fleet);
    let first = turns(&mut node, 8);
    let mut served = 0;
    for _ in 0..40 {
        node.wait(20.0);
        let (id, mut actions) = node.submit(UNSAFE);
        while let Some(server) = sent_to(&actions) {
            node.now += 0.3;
            let down = first.contains(&server.0);
            actions = node.end(id, if down { Outcome::ConnectFailed } else { Outcome::Done });
            served += usize::from(!down);
        }
    }
    assert!(served >= 38, "{served} of 40");
}
