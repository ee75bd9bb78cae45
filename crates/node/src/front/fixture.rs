//! What the tests of the fronts share.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::task::LocalSet;
use tokio::time::timeout;

use crate::config;
use crate::hub::Hub;
use crate::list::Update;

/// A node's hub with one class, not started yet, and the list of one server that it starts with.
pub fn hub() -> (Rc<Hub>, Option<Update>) {
    let file = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
        "known": {"seq": 1, "whole": true, "hosts": [{"host": "s0", "dial": "127.0.0.1:1", "site": "a",
            "class": "m", "block": 1, "health": "active", "share": 1.0, "born_ms": 0}]},
        "settings": {"Me": 0, "PeersTotal": 1, "Discovery": "subscribe",
            "Classes": [{"Name": "look", "Slo": 900, "Deadline": 9000, "Value": 1, "Idempotency": "pure"}],
            "Limits": {"AttemptsCap": 3, "ConnectTimeout": 50},
            "Contract": {"ColdShare": 0.2, "WarmWithin": 5000, "FallMultiple": 3, "Fall": 2000}}});
    let mut config = config::from_value(&file).expect("a valid configuration");
    let known = config.known.take();
    let hub = Hub::new(config, None).expect("valid settings");
    (hub, known)
}

/// Runs a test on one thread, for half a minute at most.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(30), test).await.expect("the test finishes in time");
    });
}
