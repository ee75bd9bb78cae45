//! The journal and the trail on a disk: made anew when long, torn, damaged.

use std::path::PathBuf;

use glenwood_agent::disk::{Audit, Journal};
use glenwood_fleet::book::{Book, Fact, Target};

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("glenwood-disk-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn fact(n: usize) -> Fact {
    let target = Target { release: format!("r{n}"), config: "c".repeat(4000) };
    Fact::Target { name: format!("n{}", n % 3), target }
}

fn written(folder: &std::path::Path, count: usize) -> Book {
    let (mut journal, mut book) = Journal::open(folder).expect("a new one");
    for n in 0..count {
        journal.write(&fact(n)).expect("there is room");
        book.add(&fact(n));
    }
    book
}

#[test]
fn a_long_journal_is_made_anew_and_says_the_same() {
    let folder = folder("long");
    let book = written(&folder, 300);
    let length = || std::fs::metadata(folder.join("journal")).expect("it is there").len();
    let before = length();
    let (mut journal, read) = Journal::open(&folder).expect("whole");
    assert_eq!(read, book);
    assert!(before > 1 << 20 && length() < 100_000, "{before}, then {}", length());
    // And it goes on from there.
    journal.write(&Fact::GaveUp { name: "n1".into() }).expect("there is room");
    let (_, read) = Journal::open(&folder).expect("whole");
    assert!(read.instances["n1"].gave_up && read.instances["n2"] == book.instances["n2"]);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_torn_end_is_cut_off_and_damage_before_it_is_not_passed_over() {
    let folder = folder("torn");
    let path = folder.join("journal");
    written(&folder, 3);
    let whole = std::fs::read(&path).expect("it is there");
    std::fs::write(&path, &whole[..whole.len() - 5]).expect("a file");
    let (mut journal, read) = Journal::open(&folder).expect("a torn end is no damage");
    assert_eq!(read.instances.len(), 2);
    journal.write(&fact(2)).expect("there is room");
    assert_eq!(std::fs::read(&path).expect("it is there"), whole, "written anew where it was torn");
    let mut damaged = whole;
    damaged[40] ^= 1;
    std::fs::write(&path, &damaged).expect("a file");
    let words = Journal::open(&folder).map(|_| ()).expect_err("damaged").to_string();
    assert!(words.contains("the record at byte 0 is damaged, and others follow it"), "{words}");
    assert_eq!(std::fs::read(&path).expect("it is there"), damaged, "nothing is changed");
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_trail_goes_on_behind_a_torn_line_and_not_behind_a_changed_one() {
    let folder = folder("trail");
    let path = folder.join("audit");
    let mut audit = Audit::open(&folder).expect("a new one");
    for what in ["stop n0", "start n0", "roll"] {
        audit.add(1.0, "ada", what, 1).expect("there is room");
    }
    let whole = std::fs::read_to_string(&path).expect("it is there");
    std::fs::write(&path, &whole[..whole.len() - 9]).expect("a file");
    Audit::open(&folder).expect("a torn line").add(1.0, "ada", "roll", 1).expect("there is room");
    assert_eq!(std::fs::read_to_string(&path).expect("it is there"), whole);
    std::fs::write(&path, whole.replacen("stop", "spin", 1)).expect("a file");
    assert!(Audit::open(&folder).is_err());
    let _ = std::fs::remove_dir_all(folder);
}
