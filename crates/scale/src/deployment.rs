//! Generates the settings and the server list of a deployment of any size. Names and addresses are derived
//! from an index.

use glenwood_list::{Endpoint, Health, ListEntry, Protocol, Update};
use serde_json::{json, Value};

/// Number of zones that the servers are spread over.
pub const ZONES: usize = 17;

/// Settings of one of `nodes` nodes, with `tenants` tenants.
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

/// Text of a node's configuration file with these settings.
pub fn config_file(nodes: usize, tenants: usize) -> String {
    json!({"name": "n0", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "seed": "1",
        "limits": {"memory_mb": 192, "sockets": 1024}, "known": null, "settings": settings(nodes, tenants)})
    .to_string()
}

/// List entry of the server with this index.
pub fn list_entry(index: usize) -> ListEntry {
    let address = format!("10.{}.{}.{}:9000", index >> 16 & 255, index >> 8 & 255, index & 255);
    ListEntry {
        host: format!("s-{index:08x}"),
        endpoint: Some(Endpoint {
            address: address.parse().expect("valid address"),
            protocol: Protocol::Http1,
        }),
        zone: format!("zone-{}", index % ZONES),
        kind: format!("m{}", index % 3),
        cell: Some((index % 40) as u64),
        health: Health::Active,
        weight: 1.0,
        started_ms: 0.0,
    }
}

/// A full list of `servers` servers.
pub fn server_list(servers: usize) -> Update {
    Update { version: 1, is_full: true, hosts: (0..servers).map(list_entry).collect() }
}
