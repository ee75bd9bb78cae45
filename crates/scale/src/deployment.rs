//! Deployments of any size: the settings object and the list of servers, made up by number.

use glenwood_list::{Endpoint, Health, ListEntry, Protocol, Update};
use serde_json::{json, Value};

/// How many zones servers lie in.
pub const ZONES: usize = 17;

/// A settings object with so many tenants, as one of so many nodes is given it.
pub fn settings(nodes: usize, tenants: usize) -> Value {
    let customers: Vec<Value> = (0..tenants)
        .map(|n| json!({"Name": format!("tenant-{n:06}"), "QuotaPerS": 1.0 + (n % 100) as f64}))
        .collect();
    json!({
        "Me": 0,
        "PeersTotal": nodes,
        "Discovery": "automatic",
        "Tick": 1,
        "Classes": [
            {"Name": "look", "Slo": 100, "Deadline": 500, "Value": 1, "Idempotency": "pure"},
            {"Name": "pay", "Slo": 200, "Deadline": 900, "Value": 4, "Idempotency": "token", "DedupScope": "all",
                "MemorySpan": 60000},
            {"Name": "book", "Slo": 300, "Deadline": 1500, "Value": 8, "Idempotency": "side_effect"},
        ],
        "Customers": customers,
        "Limits": {"AttemptsCap": 3, "ConnectTimeout": 50, "Cancel": true, "Probes": true, "OpenCap": 20000},
        "Contract": {"ColdShare": 0.2, "WarmWithin": 5000, "FallMultiple": 3, "Fall": 2000, "AskWithin": 10000},
    })
}

/// A configuration file of a node with these settings.
pub fn file(nodes: usize, tenants: usize) -> String {
    json!({"name": "n0", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "seed": "1",
        "limits": {"memory_mb": 192, "sockets": 1024}, "known": null, "settings": settings(nodes, tenants)})
    .to_string()
}

/// The server of that number.
pub fn host(number: usize) -> ListEntry {
    let address = format!("10.{}.{}.{}:9000", number >> 16 & 255, number >> 8 & 255, number & 255);
    ListEntry {
        host: format!("s-{number:08x}"),
        endpoint: Some(Endpoint { address: address.parse().expect("an address"), protocol: Protocol::Http1 }),
        zone: format!("zone-{}", number % ZONES),
        kind: format!("m{}", number % 3),
        cell: (number % 40) as u64,
        health: Health::Active,
        weight: 1.0,
        started_ms: 0.0,
    }
}

/// A whole list of so many servers.
pub fn list(servers: usize) -> Update {
    Update { version: 1, is_full: true, hosts: (0..servers).map(host).collect() }
}
