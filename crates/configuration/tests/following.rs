//! One publisher and one subscriber, message by message: lost, duplicated, reordered and corrupted messages,
//! and the offers of a replica.

use std::collections::BTreeSet;

use glenwood_configuration::feed::{Feed, Freshness, Settings, MAX_CREDIT};
use glenwood_configuration::resource::{Service, Tenant};
use glenwood_configuration::resources::Resources;
use glenwood_configuration::*;

const NODE: u64 = 7;

fn tenant(number: usize, quota_per_s: f64, service: &str) -> Entry {
    let body = Body::Tenant(Tenant { quota_per_s, services: vec![service.into()] });
    Entry { name: format!("t{number}"), owner: "sales".into(), body }
}

fn service(name: &str) -> Entry {
    Entry { name: name.into(), owner: "ops".into(), body: Body::Service(Service {}) }
}

fn settings() -> Settings {
    Settings { max_log_changes: 50, piece_entries: 10, ..Settings::default() }
}

fn source(tenants: usize) -> Source {
    let tenants = (0..tenants).map(|n| tenant(n, 1.0, if n % 2 == 0 { "a" } else { "b" }));
    let resources = Resources::from_entries([service("a"), service("b")].into_iter().chain(tenants));
    Source::new(settings(), resources, 1, 0).expect("valid")
}

fn change(source: &mut Source, number: usize, quota: f64) -> Position {
    let service = if number.is_multiple_of(2) { "a" } else { "b" };
    source.push(vec![Operation::Put(tenant(number, quota, service))], None).expect("valid")
}

fn scope_a() -> Scope {
    Scope::Services(BTreeSet::from(["a".to_string()]))
}

struct Pair {
    now: u64,
    source: Source,
    replica: Replica,
}

impl Pair {
    fn new(tenants: usize, scope: Scope) -> Self {
        let mut pair = Self { now: 0, source: source(tenants), replica: Replica::new("n0", scope, 1, 1, 0) };
        pair.run_ten_seconds(|message| vec![message]);
        pair
    }

    /// Accepts all offers of the replica.
    fn accept_all(&mut self) {
        while let Some(offer) = self.replica.poll_offer() {
            self.replica.accept(self.now, offer);
        }
    }

    /// Delivers the replica's requests to the source.
    fn deliver_requests(&mut self) {
        while let Some(request) = self.replica.poll_request() {
            self.source.receive(self.now, NODE, request);
        }
    }

    /// Returns everything that the source has to send now.
    fn drain_publications(&mut self) -> Vec<Publication> {
        let mut all = Vec::new();
        while let Some((to, publication)) = self.source.poll_transmit(self.now) {
            assert_eq!(to, NODE);
            self.source.release_credit(NODE, 1);
            all.push(publication);
        }
        all
    }

    /// Simulates ten seconds of message exchange. `link` maps each publication to those that are delivered.
    fn run_ten_seconds(&mut self, mut link: impl FnMut(Publication) -> Vec<Publication>) {
        for _ in 0..1_000 {
            self.now += 10;
            self.replica.tick(self.now);
            self.deliver_requests();
            self.source.tick(self.now);
            for publication in self.drain_publications().into_iter().flat_map(&mut link) {
                self.replica.receive(self.now, publication);
            }
            self.accept_all();
        }
    }

    /// Returns whether the replica has in force exactly the source's resources within the scope.
    fn is_in_sync(&self, scope: &Scope) -> bool {
        let wanted = self.source.resources().iter().filter(|(key, e)| scope.includes(&key.name, &e.body));
        self.replica.version_in_force() == Some(self.source.head().version)
            && wanted.eq(self.replica.resources().iter())
    }
}

#[test]
fn a_replica_has_exactly_the_resources_in_its_scope() {
    for scope in [Scope::All, scope_a()] {
        let mut pair = Pair::new(101, scope.clone());
        assert!(pair.is_in_sync(&scope));
        change(&mut pair.source, 2, 9.0);
        change(&mut pair.source, 3, 9.0);
        pair.run_ten_seconds(|message| vec![message]);
        assert!(pair.is_in_sync(&scope));
    }
}

#[test]
fn a_resource_that_leaves_the_scope_is_removed_and_one_that_enters_it_is_added() {
    let mut pair = Pair::new(4, scope_a());
    pair.source.push(vec![Operation::Put(tenant(0, 1.0, "b"))], None).expect("valid");
    pair.source.push(vec![Operation::Put(tenant(1, 1.0, "a"))], None).expect("valid");
    let removal = Operation::Remove { key: tenant(2, 1.0, "a").key(), owner: "sales".into() };
    pair.source.push(vec![removal], None).expect("valid");
    pair.run_ten_seconds(|message| vec![message]);
    assert!(pair.is_in_sync(&scope_a()));
    let names: Vec<&str> = pair.replica.resources().iter().map(|(key, _)| key.name.as_str()).collect();
    assert_eq!(names, ["a", "t1"]);
}

#[test]
fn a_replica_recovers_from_lost_and_duplicated_messages() {
    for seed in 0..50 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut pair = Pair::new(60, scope_a());
        for n in 0..20 {
            change(&mut pair.source, n, 5.0);
        }
        pair.run_ten_seconds(|message| match random.u32(0..10) {
            0..3 => vec![],
            3..5 => vec![message.clone(), message],
            _ => vec![message],
        });
        assert!(pair.is_in_sync(&scope_a()), "seed {seed}: {:?}", pair.replica.version_in_force());
    }
}

#[test]
fn changes_that_arrive_out_of_order_are_applied_in_order() {
    let mut pair = Pair::new(10, Scope::All);
    for n in 0..5 {
        change(&mut pair.source, n, 5.0);
    }
    pair.now += 1;
    let mut changes = pair.drain_publications();
    changes.reverse();
    let before = pair.replica.version_in_force();
    let last = changes.pop().expect("five changes");
    for early_change in changes {
        pair.replica.receive(pair.now, early_change);
        assert_eq!(pair.replica.poll_offer(), None, "a change that does not follow is not offered");
    }
    assert_eq!(pair.replica.version_in_force(), before);
    pair.replica.receive(pair.now, last);
    pair.accept_all();
    pair.run_ten_seconds(|message| vec![message]);
    assert!(pair.is_in_sync(&Scope::All));
}

#[test]
fn a_change_that_is_truncated_or_has_a_corrupted_byte_is_rejected() {
    let mut pair = Pair::new(10, Scope::All);
    change(&mut pair.source, 3, 5.25);
    pair.now += 1;
    let message = pair
        .drain_publications()
        .into_iter()
        .find(|m| matches!(m, Publication::Change(_)))
        .expect("the change");
    let text = serde_json::to_string(&message).expect("JSON");
    for cut in 0..text.len() {
        assert!(serde_json::from_str::<Publication>(&text[..cut]).is_err(), "cut at {cut}");
    }
    let mut corrupted_count = 0;
    for byte_index in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[byte_index] = if bytes[byte_index] == b'1' { b'2' } else { b'1' };
        let Ok(corrupted) = serde_json::from_slice::<Publication>(&bytes) else { continue };
        if corrupted == message {
            continue;
        }
        corrupted_count += 1;
        pair.replica.receive(pair.now, corrupted);
        assert_eq!(pair.replica.poll_offer(), None, "byte {byte_index}: {}", String::from_utf8_lossy(&bytes));
    }
    assert!(corrupted_count > 50, "only {corrupted_count} corrupted changes were still valid JSON messages");
    pair.replica.receive(pair.now, message);
    assert!(pair.replica.poll_offer().is_some(), "the intact change is offered");
}

#[test]
fn a_corrupted_piece_of_a_snapshot_is_requested_again() {
    let mut corruptions = 0;
    let mut pair = Pair { now: 0, source: source(100), replica: Replica::new("n0", Scope::All, 1, 1, 0) };
    pair.run_ten_seconds(|message| match message {
        Publication::Piece(mut piece) if piece.index == 4 && corruptions < 3 => {
            corruptions += 1;
            piece.entries.pop();
            vec![Publication::Piece(piece)]
        }
        other => vec![other],
    });
    assert_eq!(corruptions, 3);
    assert!(pair.is_in_sync(&Scope::All));
}

#[test]
fn a_subscriber_beyond_the_end_of_the_log_is_sent_a_snapshot_in_bounded_pieces() {
    let mut pair = Pair::new(100, Scope::All);
    pair.run_ten_seconds(|_| vec![]);
    for n in 0..80 {
        change(&mut pair.source, n, 7.0);
    }
    let mut pieces = 0;
    pair.run_ten_seconds(|message| {
        if let Publication::Piece(piece) = &message {
            pieces += 1;
            assert!(piece.entries.len() <= settings().piece_entries);
        }
        vec![message]
    });
    assert!(pieces >= 11, "{pieces} pieces");
    assert!(pair.is_in_sync(&Scope::All));
}

#[test]
fn changes_made_during_a_snapshot_are_sent_after_it() {
    let mut pair = Pair { now: 0, source: source(100), replica: Replica::new("n0", Scope::All, 1, 1, 0) };
    let mut next = 0;
    for _ in 0..200 {
        pair.now += 10;
        pair.replica.tick(pair.now);
        pair.deliver_requests();
        // Delivers one message at a time, with a change between any two.
        if let Some((to, publication)) = pair.source.poll_transmit(pair.now) {
            pair.source.release_credit(to, 1);
            pair.replica.receive(pair.now, publication);
        }
        if next < 40 {
            change(&mut pair.source, next, 3.0);
            next += 1;
        }
        pair.accept_all();
    }
    pair.run_ten_seconds(|message| vec![message]);
    assert!(pair.is_in_sync(&Scope::All));
}

#[test]
fn a_rejected_change_takes_effect_only_once_a_later_change_corrects_it() {
    let mut pair = Pair::new(10, Scope::All);
    let accepted = pair.replica.version_in_force();
    let rejected_change = change(&mut pair.source, 1, 666.0);
    pair.now += 1;
    for message in pair.drain_publications() {
        pair.replica.receive(pair.now, message);
    }
    let offer = pair.replica.poll_offer().expect("offered");
    assert_eq!(offer.version, rejected_change.version);
    pair.replica.reject(pair.now, offer.version, "too many".into());
    assert_eq!(pair.replica.version_in_force(), accepted);
    assert_eq!(pair.replica.poll_offer(), None, "not offered again without a new change");
    pair.deliver_requests();
    assert_eq!(pair.source.summary().rejections.len(), 1);
    let untouched = change(&mut pair.source, 2, 3.0);
    pair.now += 1;
    for message in pair.drain_publications() {
        pair.replica.receive(pair.now, message);
    }
    let offer = pair.replica.poll_offer().expect("offered together with the later change");
    assert_eq!(
        (offer.version, offer.changes.len()),
        (untouched.version, 2),
        "the offer still contains the rejected change"
    );
    pair.replica.reject(pair.now, offer.version, "too many".into());
    let corrected = change(&mut pair.source, 1, 6.0);
    pair.now += 1;
    for message in pair.drain_publications() {
        pair.replica.receive(pair.now, message);
    }
    let offer = pair.replica.poll_offer().expect("offered with the correction");
    assert_eq!((offer.version, offer.changes.len()), (corrected.version, 2));
    pair.replica.accept(pair.now, offer);
    assert!(pair.is_in_sync(&Scope::All) && pair.replica.last_rejection().is_none());
    pair.deliver_requests();
    assert!(pair.source.summary().rejections.is_empty());
}

#[test]
fn a_source_with_an_older_log_moves_no_replica_backwards_before_a_new_epoch() {
    let mut pair = Pair::new(10, Scope::All);
    for n in 0..5 {
        change(&mut pair.source, n, 5.0);
    }
    pair.run_ten_seconds(|message| vec![message]);
    let (later, kept) = (pair.replica.version_in_force(), pair.replica.resources().clone());
    pair.source = source(10);
    change(&mut pair.source, 9, 1.5);
    pair.run_ten_seconds(|message| vec![message]);
    assert_eq!((pair.replica.version_in_force(), pair.replica.resources()), (later, &kept));
    assert_eq!(pair.replica.publisher_behind(), Some(Version { epoch: 1, number: 1 }));
    pair.source.begin_epoch();
    pair.run_ten_seconds(|message| vec![message]);
    assert!(pair.is_in_sync(&Scope::All), "the replica follows the new epoch");
    assert_eq!(pair.replica.version_in_force(), Some(Version { epoch: 2, number: 0 }));
}

#[test]
fn a_slow_subscriber_does_not_delay_the_others() {
    let mut feed = Feed::new(settings(), Freshness::Source, 0);
    feed.replace(
        Position { version: Version { epoch: 1, number: 0 }, digest: Digest::default() },
        Resources::default(),
    );
    let subscribe = || Request::Subscribe { name: "n".into(), from: None, resume: None, scope: Scope::All };
    feed.receive(0, 1, subscribe());
    feed.receive(0, 2, subscribe());
    let mut sent = [0u32; 2];
    for number in 0..200 {
        let change = Change::following(feed.head(), vec![Operation::Put(tenant(number, 1.0, "a"))]);
        feed.append(change).expect("it follows");
        while let Some((to, publication)) = feed.poll_transmit(number as u64 + 1) {
            if matches!(publication, Publication::Alive { .. }) {
                continue;
            }
            sent[to as usize - 1] += 1;
            // The first subscriber never acknowledges anything.
            if to == 2 {
                feed.release_credit(2, 1);
            }
        }
    }
    assert_eq!(sent[0], MAX_CREDIT);
    assert!(sent[1] >= 200, "{sent:?}");
    assert!(feed.log_len() <= settings().max_log_changes);
    feed.release_credit(1, MAX_CREDIT);
    let next = std::iter::from_fn(|| feed.poll_transmit(1_000))
        .find(|(to, p)| *to == 1 && !matches!(p, Publication::Alive { .. }));
    assert!(matches!(next, Some((1, Publication::Piece(_)))), "the log has been truncated by then: {next:?}");
}

#[test]
fn a_disconnected_replica_keeps_its_configuration_and_reports_its_age() {
    let mut pair = Pair::new(10, Scope::All);
    let (now, in_force) = (pair.now, pair.replica.version_in_force());
    assert!(pair.replica.age_ms(now).is_some_and(|age| age < 600));
    pair.now += 3_600_000;
    pair.replica.tick(pair.now);
    assert_eq!(pair.replica.version_in_force(), in_force);
    assert!(pair.replica.age_ms(pair.now).is_some_and(|age| age >= 3_600_000));
}

/// Two diverging histories use the same version numbers. A change from the other history has the expected
/// number and a valid digest, but a different previous digest, and must be rejected.
#[test]
fn a_change_of_a_diverging_history_is_rejected_even_if_its_number_is_next() {
    let mut pair = Pair::new(10, Scope::All);
    let mut other = source(10);
    change(&mut pair.source, 1, 5.0);
    pair.run_ten_seconds(|message| vec![message]);
    let diverged = change(&mut other, 1, 6.0);
    let (version, kept) = (pair.replica.version_in_force(), pair.replica.resources().clone());
    assert_eq!(version, Some(diverged.version));
    let next = Change::following(diverged, vec![Operation::Put(tenant(2, 7.0, "a"))]);
    pair.replica.receive(pair.now, Publication::Change(next));
    assert_eq!(pair.replica.poll_offer(), None);
    assert_eq!((pair.replica.version_in_force(), pair.replica.resources()), (version, &kept));
}
