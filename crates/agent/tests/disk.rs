//! The journal and the audit trail on disk: compaction, an incomplete last record, and damage.

use std::path::PathBuf;

use glenwood_agent::disk::{Audit, Journal};
use glenwood_fleet::book::{DurableState, Fact, Target};

/// Creates an empty temporary folder.
fn temp_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("glenwood-disk-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn fact(n: usize) -> Fact {
    let target = Target { release: format!("r{n}"), config: "c".repeat(4000) };
    Fact::Target { name: format!("n{}", n % 3), target }
}

/// Writes `count` facts to a new journal; returns the state that they make up.
fn write_journal(folder: &std::path::Path, count: usize) -> DurableState {
    let (mut journal, mut state) = Journal::open(folder).expect("a new file");
    for n in 0..count {
        journal.append_fact(&fact(n)).expect("the disk has space");
        state.apply(&fact(n));
    }
    state
}

#[test]
fn a_long_journal_is_compacted_without_losing_facts() {
    let folder = temp_folder("long");
    let state = write_journal(&folder, 300);
    let length = || std::fs::metadata(folder.join("journal")).expect("the file exists").len();
    let before = length();
    let (mut journal, read) = Journal::open(&folder).expect("an undamaged journal");
    assert_eq!(read, state);
    assert!(before > 1 << 20 && length() < 100_000, "{before}, then {}", length());
    // Facts can be appended to the compacted journal.
    journal.append_fact(&Fact::GaveUp { name: "n1".into() }).expect("the disk has space");
    let (_, read) = Journal::open(&folder).expect("an undamaged journal");
    assert!(read.instances["n1"].gave_up && read.instances["n2"] == state.instances["n2"]);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn an_incomplete_last_record_is_removed_and_damage_before_it_is_an_error() {
    let folder = temp_folder("torn");
    let path = folder.join("journal");
    write_journal(&folder, 3);
    let complete = std::fs::read(&path).expect("the file exists");
    std::fs::write(&path, &complete[..complete.len() - 5]).expect("a file");
    let (mut journal, read) = Journal::open(&folder).expect("an incomplete last record is no damage");
    assert_eq!(read.instances.len(), 2);
    journal.append_fact(&fact(2)).expect("the disk has space");
    assert_eq!(
        std::fs::read(&path).expect("the file exists"),
        complete,
        "the record replaces the incomplete one"
    );
    let mut damaged = complete;
    damaged[40] ^= 1;
    std::fs::write(&path, &damaged).expect("a file");
    let message = Journal::open(&folder).map(|_| ()).expect_err("damaged").to_string();
    assert!(message.contains("the record at byte 0 is damaged, and others follow it"), "{message}");
    assert_eq!(
        std::fs::read(&path).expect("the file exists"),
        damaged,
        "a damaged journal is left unchanged"
    );
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn an_audit_trail_with_an_incomplete_last_line_opens_and_one_with_a_changed_line_does_not() {
    let folder = temp_folder("trail");
    let path = folder.join("audit");
    let mut audit = Audit::open(&folder).expect("a new file");
    for what in ["stop n0", "start n0", "roll"] {
        audit.append_entry(1.0, "ada", what, 1).expect("the disk has space");
    }
    let complete = std::fs::read_to_string(&path).expect("the file exists");
    std::fs::write(&path, &complete[..complete.len() - 9]).expect("a file");
    Audit::open(&folder)
        .expect("an incomplete last line is no damage")
        .append_entry(1.0, "ada", "roll", 1)
        .expect("the disk has space");
    assert_eq!(std::fs::read_to_string(&path).expect("the file exists"), complete);
    std::fs::write(&path, complete.replacen("stop", "spin", 1)).expect("a file");
    assert!(Audit::open(&folder).is_err());
    let _ = std::fs::remove_dir_all(folder);
}
