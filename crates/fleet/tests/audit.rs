//! The audit trail.

use glenwood_fleet::audit::{digest, Trail};

fn trail(count: usize) -> (Trail, String) {
    let mut trail = Trail::default();
    let lines = (0..count).map(|n| trail.add(1.79e12 + n as f64, "ada", &format!("stop n{n}"), 3)).collect();
    (trail, lines)
}

#[test]
fn a_trail_is_read_as_it_was_written_and_goes_on() {
    let (mut whole, text) = trail(4);
    let (read, entries) = Trail::read(&text).expect("whole");
    assert_eq!((&read, entries.len(), entries[3].what.as_str()), (&whole, 4, "stop n3"));
    let more = whole.add(0.0, "ben", "a line\nthat is two", 4);
    assert_eq!(more.matches('\n').count(), 1);
    assert_eq!(Trail::read(&(text + &more)).map(|(t, _)| t.len()), Ok(5));
    assert!(Trail::read("").is_ok_and(|(t, _)| t.is_empty()));
}

#[test]
fn a_line_that_is_changed_left_out_or_moved_is_named() {
    let (_, text) = trail(4);
    let lines: Vec<&str> = text.lines().collect();
    let at = |lines: &[&str]| Trail::read(&lines.join("\n")).expect_err("broken").line;
    let changed = lines[1].replace("ada", "eve");
    assert_eq!(at(&[lines[0], &changed, lines[2], lines[3]]), 3, "the next one does not follow on it");
    assert_eq!(at(&[lines[0], lines[2], lines[3]]), 2);
    assert_eq!(at(&[lines[1], lines[0]]), 1);
    assert_eq!(at(&[lines[0], lines[0]]), 2);
    assert_eq!(at(&[lines[0], "{}"]), 2);
    // The last line is bound by nothing but the digest that is kept of it.
    let last = lines[3].replace("ada", "eve");
    let read = Trail::read(&[lines[0], lines[1], lines[2], &last].join("\n")).expect("nothing follows");
    assert_ne!(read.0.last(), digest(lines[3].as_bytes()));
}
