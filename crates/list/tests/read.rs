//! Parsing an update directly from text gives the same result as parsing it by way of a JSON value.

use glenwood_list::{parse_update, update_from_value};

/// Valid and invalid updates in various forms.
const LINES: [&str; 9] = [
    r#"{"seq":41,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:9","site":"z","class":"m","block":3,"health":"active","share":1.5,"born_ms":7}]}"#,
    r#"{ "hosts" : [ {"health":"leaving","dial":"msgpack-rpc://127.0.0.1:9","host":"\u0061\n"} ], "whole":false, "seq":1, "more":{"x":[1]} }"#,
    r#"{"seq":1,"whole":false,"hosts":[{"host":"a","health":"left"}]}"#,
    r#"{"seq":1,"whole":false,"hosts":[{"host":"a","dial":null,"health":"left"}]}"#,
    // Duplicate keys: the last one applies.
    r#"{"seq":1,"seq":2,"whole":false,"hosts":[{"host":"a","host":"b","dial":"127.0.0.1:9","health":"active"}]}"#,
    r#"{"seq":1,"whole":false,"hosts":[{"host":"a","health":"active"}]}"#,
    r#"{"seq":1,"whole":false,"hosts":[{"host":"a","dial":"nowhere","health":"active"}]}"#,
    r#"{"seq":-1,"whole":false,"hosts":[]}"#,
    r#"{"seq":1,"whole":false,"hosts":[]"#,
];

#[test]
fn parsing_from_text_and_from_a_json_value_agree() {
    for line in LINES {
        let by_value = serde_json::from_str(line).map_err(|e| e.to_string()).and_then(update_from_value);
        assert_eq!(parse_update(line.as_bytes()), by_value, "{line}");
    }
    assert_eq!(LINES.iter().filter(|line| parse_update(line.as_bytes()).is_ok()).count(), 5);
}
