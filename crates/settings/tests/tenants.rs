//! Tenants are read alike from text and from a JSON value, and errors name the malformed field.

use glenwood_settings::{NodeSettings, SettingsObject};
use serde_json::{json, Value};

fn settings(customers: &Value) -> Value {
    json!({"Me": 0, "PeersTotal": 1, "Customers": customers,
        "Classes": [{"Name": "look", "Slo": 100, "Idempotency": "pure"}],
        "Limits": {"AttemptsCap": 3, "ConnectTimeout": 50},
        "Contract": {"ColdShare": 0.2, "WarmWithin": 5000, "FallMultiple": 3, "Fall": 2000}})
}

/// Reads the settings from text, and checks that reading them from a JSON value gives the same result.
fn read(customers: &Value) -> Result<Vec<(String, f64)>, String> {
    let names_and_quotas = |read: NodeSettings| {
        let quotas = read.policy.tenants.iter().map(|tenant| tenant.quota_per_s);
        read.tenants.iter().cloned().zip(quotas).collect::<Vec<_>>()
    };
    let value = settings(customers);
    let object: SettingsObject = serde_json::from_str(&value.to_string()).expect("JSON");
    let from_text = NodeSettings::from_object(object).map(names_and_quotas);
    assert_eq!(from_text, NodeSettings::from_value(&value).map(names_and_quotas), "{customers}");
    from_text
}

#[test]
fn unknown_fields_of_tenants_are_ignored() {
    let read = |customers| read(&customers).expect("valid settings");
    assert_eq!(read(json!(null)), []);
    assert_eq!(read(json!([])), []);
    let two = json!([{"Name": "a", "QuotaPerS": 5}, {"Note": {"x": [1]}, "QuotaPerS": 2.5, "Name": "b"}]);
    assert_eq!(read(two), [("a".to_string(), 5.0), ("b".to_string(), 2.5)]);
}

#[test]
fn errors_in_tenants_name_the_malformed_field() {
    let good = json!({"Name": "a", "QuotaPerS": 5});
    for (customers, message) in [
        (json!(7), "Customers: array expected"),
        (json!("many"), "Customers: array expected"),
        (json!(true), "Customers: array expected"),
        (json!({"Name": "a"}), "Customers: array expected"),
        (json!([good, 7]), "Customers: object expected"),
        (json!([good, null]), "Customers: object expected"),
        (json!([good, [good]]), "Customers: object expected"),
        (json!([good, {"Name": "b"}]), "Customers: QuotaPerS is missing"),
        (json!([{"Name": null, "QuotaPerS": 5}, good]), "Customers: Name is missing"),
        (json!([{"Name": 5, "QuotaPerS": 5}]), "Name: text expected"),
        (json!([{"Name": "b", "QuotaPerS": "5"}, good]), "QuotaPerS: number expected"),
        (json!([good, {"Name": "b", "QuotaPerS": 1}, good]), "Customers: the name a appears twice"),
    ] {
        assert_eq!(read(&customers), Err(message.to_string()), "{customers}");
    }
}

#[test]
fn the_fields_common_to_all_tenants_are_collected() {
    let fields = |customers: Value| {
        let object: SettingsObject = serde_json::from_value(settings(&customers)).expect("an object");
        object.field.expect("tenants").common_fields
    };
    let both = json!([{"Name": "a", "QuotaPerS": 5, "Note": 1, "Since": 2}, {"Name": "b", "QuotaPerS": 5, "Since": 3}]);
    assert_eq!(fields(both), ["Name", "QuotaPerS", "Since"]);
    let none = json!([{"Name": "a", "QuotaPerS": 5, "Note": null}, {"Name": "b", "QuotaPerS": 5, "Note": 3}]);
    assert_eq!(fields(none), ["Name", "QuotaPerS"]);
}
