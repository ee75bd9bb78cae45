//! The changes that a source accepts and rejects.

use std::collections::BTreeSet;

use glenwood_configuration::feed::Settings;
use glenwood_configuration::resource::{Class, Effect, Server, Service, Tenant};
use glenwood_configuration::resources::{InvalidChange, Resources};
use glenwood_configuration::source::PushError;
use glenwood_configuration::*;

fn entry(name: &str, owner: &str, body: Body) -> Entry {
    Entry { name: name.into(), owner: owner.into(), body }
}

fn service(name: &str) -> Entry {
    entry(name, "ops", Body::Service(Service {}))
}

fn tenant(name: &str, quota_per_s: f64, services: &[&str]) -> Entry {
    let services = services.iter().map(|s| s.to_string()).collect();
    entry(name, "sales", Body::Tenant(Tenant { quota_per_s, services }))
}

fn put(entry: Entry) -> Operation {
    Operation::Put(entry)
}

fn remove(kind: Kind, name: &str, owner: &str) -> Operation {
    Operation::Remove { key: Key { kind, name: name.into() }, owner: owner.into() }
}

fn source() -> Source {
    let resources = Resources::from_entries([service("a"), service("b"), tenant("acme", 5.0, &["a"])]);
    Source::new(Settings::default(), resources, 1, 0).expect("valid")
}

/// Pushes an invalid change, checks that the source is unchanged and returns the error message.
fn push_invalid(operations: Vec<Operation>) -> String {
    let mut source = source();
    let (head, before) = (source.head(), source.resources().clone());
    let error = source.push(operations, None).expect_err("not valid");
    assert_eq!((source.head(), source.resources()), (head, &before), "nothing has changed");
    error.to_string()
}

#[test]
fn a_valid_change_gets_the_next_number_and_a_chained_digest() {
    let mut source = source();
    let first = source.head();
    let second = source.push(vec![put(tenant("acme", 6.0, &["a", "b"]))], None).expect("valid");
    assert_eq!(second.version, Version { epoch: 1, number: 1 });
    assert_ne!(first.digest, second.digest);
    let mut other = self::source();
    let diverged = other.push(vec![put(tenant("acme", 7.0, &["a", "b"]))], None).expect("valid");
    assert_eq!(diverged.version, second.version);
    assert_ne!(diverged.digest, second.digest, "different changes have different digests");
    assert_eq!(other.head().digest, diverged.digest);
}

#[test]
fn an_invalid_change_is_rejected_with_the_reason() {
    let class = |aim_ms: f64| Class {
        aim_ms,
        deadline_ms: 500.0,
        worth: 1.0,
        effect: Effect::Safe,
        services: Vec::new(),
    };
    let server = |service: &str| Server {
        service: service.into(),
        address: "127.0.0.1:9000".parse().expect("an address"),
        zone: "z1".into(),
        weight: 1.0,
    };
    for (operations, message) in [
        (vec![], "1 to 1000 operations expected, not 0"),
        (vec![put(tenant("x", -1.0, &[]))], "tenant x: quota_per_s: a number from 0 on expected, not -1"),
        (
            vec![put(tenant("x", f64::NAN, &[]))],
            "tenant x: quota_per_s: a number from 0 on expected, not NaN",
        ),
        (
            vec![put(tenant("", 1.0, &[]))],
            "tenant : name: 1 to 128 visible ASCII characters expected, not \"\"",
        ),
        (vec![put(tenant("x", 1.0, &["c"]))], "tenant x: there is no service c"),
        (vec![put(tenant("x", 1.0, &["a", "a"]))], "tenant x: services: one stands twice"),
        (vec![put(tenant("x", 1.0, &[])), put(tenant("x", 2.0, &[]))], "tenant x: stands there twice"),
        (vec![put(entry("acme", "thief", tenant("acme", 1.0, &[]).body))], "tenant acme: belongs to sales"),
        (vec![remove(Kind::Tenant, "acme", "thief")], "tenant acme: belongs to sales"),
        (vec![remove(Kind::Tenant, "nobody", "sales")], "tenant nobody: there is none"),
        (vec![remove(Kind::Service, "a", "ops")], "service a: still named by 1 resources"),
        (
            vec![put(entry("look", "ops", Body::Class(class(0.0))))],
            "class look: aim_ms: a number above 0 expected, not 0",
        ),
        (vec![put(entry("s0", "ops", Body::Server(server("c"))))], "server s0: there is no service c"),
        // One invalid operation among valid ones: none is applied.
        (vec![put(service("c")), put(tenant("x", 1.0, &["d"]))], "tenant x: there is no service d"),
    ] {
        assert_eq!(push_invalid(operations), message);
    }
}

#[test]
fn references_are_checked_against_the_state_after_the_complete_change() {
    let mut source = source();
    let both = vec![put(tenant("x", 1.0, &["c"])), put(service("c"))];
    source.push(both, None).expect("the service is added together with its tenant");
    let both = vec![remove(Kind::Service, "c", "ops"), remove(Kind::Tenant, "x", "sales")];
    source.push(both, None).expect("the service is removed together with its tenant");
    let moved = vec![put(tenant("acme", 5.0, &["b"])), remove(Kind::Service, "a", "ops")];
    source.push(moved, None).expect("the service is no longer referenced");
    assert!(source.resources().get(&Key { kind: Kind::Service, name: "a".into() }).is_none());
}

#[test]
fn a_change_made_for_another_version_is_rejected_if_a_version_is_required() {
    let mut source = source();
    let seen = source.head().version;
    source.push(vec![put(tenant("x", 1.0, &[]))], Some(seen)).expect("made for the current version");
    let outdated = source.push(vec![put(tenant("y", 1.0, &[]))], Some(seen));
    assert_eq!(outdated, Err(PushError::Stale(source.head().version)));
    source.push(vec![put(tenant("y", 1.0, &[]))], None).expect("made for any version");
}

#[test]
fn an_invalid_first_version_is_rejected() {
    let resources = Resources::from_entries([tenant("acme", 5.0, &["a"])]);
    let error = Source::new(Settings::default(), resources, 1, 0).err();
    let acme = Key { kind: Kind::Tenant, name: "acme".into() };
    assert_eq!(error, Some(InvalidChange::UnknownService(acme, "a".into())));
}

/// A source that was restored with an older log learns this from its subscribers. It must reject changes
/// until an operator begins a new epoch.
#[test]
fn a_source_with_an_older_log_rejects_changes_until_an_operator_begins_an_epoch() {
    let mut source = source();
    let later = source.push(vec![put(tenant("x", 1.0, &[]))], None).expect("valid");
    let mut older = self::source();
    let subscribe =
        Request::Subscribe { name: "relay".into(), from: Some(later), resume: None, scope: Scope::All };
    older.receive(10, 1, subscribe);
    let (_, publication) = older.poll_transmit(600).expect("reports that it is behind");
    assert_eq!(publication, Publication::Behind(older.head()));
    let result = older.push(vec![put(tenant("y", 1.0, &[]))], None);
    assert_eq!(result, Err(PushError::SubscribersAhead(later.version)));
    let restarted = older.begin_epoch();
    assert_eq!(restarted.version, Version { epoch: 2, number: 0 });
    older.push(vec![put(tenant("y", 1.0, &[]))], None).expect("accepted in the new epoch");
}

#[test]
fn a_scope_includes_resources_that_reference_one_of_its_services_or_none() {
    let scope = Scope::Services(BTreeSet::from(["a".to_string()]));
    let is_included = |entry: Entry| scope.includes(&entry.name, &entry.body);
    assert!(is_included(service("a")) && !is_included(service("b")));
    assert!(
        is_included(tenant("x", 1.0, &["b", "a"]))
            && is_included(tenant("x", 1.0, &[]))
            && !is_included(tenant("x", 1.0, &["b"]))
    );
    assert!(Scope::All.includes("b", &service("b").body));
}
