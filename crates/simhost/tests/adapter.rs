//! Tests of the simulator adapter with handwritten batches, and of size limits for the source of the decision
//! module.

use glenwood_simhost::wire::Host;
use serde_json::{json, Value};

fn options() -> Value {
    json!({
        "Me": 0, "PeersTotal": 2, "Tick": 2.0, "Weights": "rough", "Discovery": "subscribe", "Unheard": [1],
        "Classes": [
            {"Name": "buy", "Slo": 100, "Deadline": 500, "Idempotency": "side_effect", "Value": 10},
            {"Name": "note", "Slo": 250, "Deadline": 1000, "Idempotency": "token", "DedupScope": "cell",
             "MemorySpan": 2000, "Value": 3}
        ],
        "Customers": [{"Name": "west", "QuotaPerS": 50.0, "Share": 1.0}],
        "Limits": {"AttemptsCap": 3, "Cancel": true, "ConnectTimeout": 50, "MayDuplicate": true, "Probes": true},
        "Contract": {"ColdShare": 0.15, "DrainGrace": 250, "Fall": 1000, "FallMultiple": 4, "WarmWithin": 23000,
                     "AskWithin": 10000}
    })
}

fn batch(round: u64, time: f64, parts: Value) -> String {
    json!({"Time": time, "round": round, "parts": parts}).to_string()
}

fn reply(host: &mut Host, round: u64, time: f64, parts: Value) -> Value {
    let line = host.process_batch(&batch(round, time, parts)).expect("a reply");
    let value: Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(value["round"], round);
    value["parts"].clone()
}

fn start(servers: Value) -> Value {
    json!([["CREATE", 7, options()], ["ROSTER", 0, servers], ["TOPOLOGY", 1, "Persisted", 0]])
}

fn two_servers() -> Value {
    json!([[11, "a", "x", 0, "on", 1, null], [12, "b", "x", 1, "on", 1.0, 0]])
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let mut host = Host::default();
    assert_eq!(reply(&mut host, 1, 5.0, json!([])), json!([]));
}

#[test]
fn a_request_is_sent_resent_and_answered() {
    let mut host = Host::default();
    let parts = reply(&mut host, 1, 100.0, json!([{"I": 3, "input": start(two_servers())}]));
    let steps = parts[0]["steps"].as_array().expect("steps");
    assert_eq!(parts[0]["I"], 3);
    assert!(steps.contains(&json!(["LISTEN", true])), "{steps:?}");
    let submit = json!(["SUBMIT", 42, "buy", "west", "91f03b7c55d20a64", 340.0, 12.0, 1]);
    let parts = reply(&mut host, 2, 101.0, json!([{"I": 3, "input": [submit]}]));
    let send = &parts[0]["steps"][0];
    assert_eq!((&send[0], &send[1], &send[2]), (&json!("SUBMIT_TO"), &json!(42), &json!(11)));
    let refused = json!(["RESPONSE", 42, 0, 11, "econnrefused", 0.4, false, null]);
    let parts = reply(&mut host, 3, 102.0, json!([{"I": 3, "input": [refused]}]));
    assert_eq!(parts[0]["steps"][0][2], 12, "resent to the next server: {parts}");
    let late = json!(["RESPONSE", 42, 1, 12, "etimedout", 97.0, false, null]);
    let parts = reply(&mut host, 4, 199.0, json!([{"I": 3, "input": [late]}]));
    assert_eq!(parts[0]["steps"][0], json!(["GIVE_UP", 42]), "an unsafe request that may have run: {parts}");
    let again =
        json!([["GONE", 42], ["WAKE", 99], ["RESPONSE", 1, 0, 12, "done", 1.0, true, null], ["NEWS", 1]]);
    reply(&mut host, 5, 200.0, json!([{"I": 3, "input": again}]));
}

#[test]
fn a_restart_within_a_batch_discards_all_state() {
    let mut host = Host::default();
    reply(&mut host, 1, 100.0, json!([{"I": 0, "input": start(two_servers())}]));
    let mut input = vec![json!(["HALT"])];
    let news = json!([[13, "a", "x", 0, "on", 1, null]]);
    input.extend(start(news).as_array().expect("events").clone());
    input.push(json!(["SUBMIT", 1, "note", 0, null, 900.0, 0, 0]));
    let parts = reply(&mut host, 2, 200.0, json!([{"I": 0, "input": input}]));
    let steps = parts[0]["steps"].as_array().expect("steps");
    let send = steps.iter().find(|s| s[0] == "SUBMIT_TO").expect("sent");
    assert_eq!(send[2], 13, "table 0 was replaced and the old servers are gone");
}

#[test]
fn a_table_replaced_within_a_batch_is_applied_in_order() {
    let mut host = Host::default();
    let mut input = start(two_servers()).as_array().expect("events").clone();
    input.push(json!(["ROSTER", 0, [[11, "a", "x", 0, "fading", 1, null]]]));
    input.push(json!(["TOPOLOGY", 2, "Partial", 0]));
    input.push(json!(["SUBMIT", 1, "buy", "west", null, 900.0, 0, 0]));
    let parts = reply(&mut host, 1, 100.0, json!([{"I": 0, "input": input}]));
    let steps = parts[0]["steps"].as_array().expect("steps");
    assert_eq!(steps.iter().find(|s| s[0] == "SUBMIT_TO").expect("sent")[2], 12);
}

#[test]
fn errors_name_the_malformed_field() {
    let no_me = {
        let mut o = options();
        o.as_object_mut().expect("object").remove("Me");
        batch(1, 1.0, json!([{"I": 0, "input": [["CREATE", 7, o]]}]))
    };
    let no_classes = {
        let mut o = options();
        o["Classes"] = json!([]);
        batch(1, 1.0, json!([{"I": 0, "input": [["CREATE", 7, o]]}]))
    };
    let with = |key: &str, value: Value| {
        let mut o = options();
        o[key] = value;
        batch(1, 1.0, json!([{"I": 0, "input": [["CREATE", 7, o]]}]))
    };
    let after = |event: Value| {
        let mut input = start(two_servers()).as_array().expect("events").clone();
        input.push(event);
        batch(1, 1.0, json!([{"I": 0, "input": input}]))
    };
    for (line, message) in [
        (with("Weights", json!("heavy")), "Weights: heavy is unknown"),
        (with("Discovery", json!("gossip")), "Discovery: gossip is unknown"),
        (with("Tick", json!("2")), "Tick: number expected"),
        (with("Tick", json!(-2)), "tick: -2"),
        (after(json!(["SUBMIT", 1, "sell", "west", null, 900.0, 0, 0])), "Band: unknown"),
        (after(json!(["SUBMIT", "x", "buy", "west", null, 900.0, 0, 0])), "Corr: whole number expected"),
        (after(json!(["RESPONSE", 1, 0, 11, "maybe", 1.0, false, null])), "outcome: maybe is unknown"),
        (after(json!(["RESPONSE", 1, 0, 11, "done", 1.0, "yes", null])), "Terminal: true or false expected"),
        (after(json!(["TOPOLOGY", 2, "Partial", 9])), "Table: 9 was not given"),
        (after(json!(["ROSTER", 1, [[11, "a", "x", 0, "on", "big", null]]])), "Weight: number expected"),
        (after(json!(["ROSTER", 1, [[11, "a", "x", "c", "on", 1, null]]])), "Cluster: whole number expected"),
        (after(json!(["SUBMIT", 1, "buy", "west", null])), "DropDead: number expected"),
        ("{".to_string(), "not JSON"),
        (json!({"round": 1, "parts": []}).to_string(), "Time is missing"),
        (batch(1, 1.0, json!([{"input": []}])), "I is missing"),
        (no_me, "Me is missing"),
        (no_classes, "no classes"),
    ] {
        let error = Host::default().process_batch(&line).expect_err(message);
        assert!(error.contains(message), "{error}");
    }
}

#[test]
fn the_source_of_the_decision_module_stays_within_its_size_limits() {
    let text = include_str!("../../policy/src/balance.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!((300..=1200).contains(&lines), "{lines} lines");
    let parts = [
        text,
        include_str!("../../policy/src/balance/checks.rs"),
        include_str!("../../policy/src/balance/ejection.rs"),
        include_str!("../../policy/src/balance/knowledge.rs"),
        include_str!("../../policy/src/balance/listed.rs"),
        include_str!("../../policy/src/balance/rotation.rs"),
        include_str!("../../policy/src/balance/subset.rs"),
        include_str!("../../policy/src/crowd.rs"),
        include_str!("../../policy/src/discovery.rs"),
        include_str!("../../policy/src/queue.rs"),
    ];
    for line in parts.iter().flat_map(|part| part.lines()) {
        assert!(line.chars().count() <= 110, "too long: {line}");
    }
    assert!(text.lines().next().is_some_and(|l| l.contains("src/api.rs")), "the interface is named first");
}

#[test]
fn the_program_reports_a_malformed_line_and_exits_with_an_error() {
    use std::io::Write;
    use std::process::{Command, Stdio};
    let mut host = Command::new(env!("CARGO_BIN_EXE_glenwood-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let lines = "{\"Time\":1.0,\"round\":1,\"parts\":[]}\n{\"Time\":\"late\",\"round\":2,\"parts\":[]}\n";
    host.stdin.take().expect("piped").write_all(lines.as_bytes()).expect("written");
    let out = host.wait_with_output().expect("it ends");
    assert!(!out.status.success());
    let (output, errors) = (String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
    assert_eq!(output.lines().count(), 1, "the empty batch is answered: {output}");
    assert!(errors.contains("Time: number expected") && !errors.contains("panicked"), "{errors}");
}
