//! Tests of the audit trail: writing, reading and detection of tampering.

use glenwood_fleet::audit::{digest, Trail};

fn trail(count: usize) -> (Trail, String) {
    let mut trail = Trail::default();
    let lines =
        (0..count).map(|n| trail.append(1.79e12 + n as f64, "ada", &format!("stop n{n}"), 3)).collect();
    (trail, lines)
}

#[test]
fn a_trail_is_read_back_and_can_be_extended() {
    let (mut written, text) = trail(4);
    let (read, entries) = Trail::read(&text).expect("an intact trail");
    assert_eq!((&read, entries.len(), entries[3].what.as_str()), (&written, 4, "stop n3"));
    let more = written.append(0.0, "ben", "text with\na line break", 4);
    assert_eq!(more.matches('\n').count(), 1);
    assert_eq!(Trail::read(&(text + &more)).map(|(t, _)| t.len()), Ok(5));
    assert!(Trail::read("").is_ok_and(|(t, _)| t.is_empty()));
}

#[test]
fn a_modified_removed_or_moved_line_is_reported() {
    let (_, text) = trail(4);
    let lines: Vec<&str> = text.lines().collect();
    let broken_line = |lines: &[&str]| Trail::read(&lines.join("\n")).expect_err("broken").line;
    let changed = lines[1].replace("ada", "eve");
    assert_eq!(
        broken_line(&[lines[0], &changed, lines[2], lines[3]]),
        3,
        "the next line has the digest of the original"
    );
    assert_eq!(broken_line(&[lines[0], lines[2], lines[3]]), 2);
    assert_eq!(broken_line(&[lines[1], lines[0]]), 1);
    assert_eq!(broken_line(&[lines[0], lines[0]]), 2);
    assert_eq!(broken_line(&[lines[0], "{}"]), 2);
    // No later line has the digest of the last one: only a digest stored elsewhere reveals a change of it.
    let last = lines[3].replace("ada", "eve");
    let read = Trail::read(&[lines[0], lines[1], lines[2], &last].join("\n"))
        .expect("no line follows the changed one");
    assert_ne!(read.0.last_digest(), digest(lines[3].as_bytes()));
}
