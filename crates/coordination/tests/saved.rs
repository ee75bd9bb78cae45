//! The saved view.

use glenwood_coordination::saved::{Saved, SavedError};
use glenwood_list::{Endpoint, Health, ListEntry, Protocol};

fn view() -> Saved {
    let dial = |n: u8, protocol| Endpoint { address: ([127, 0, 0, n], 80).into(), protocol };
    let first = ListEntry {
        zone: "z\u{fc}rich".into(),
        started_ms: 1.5e12,
        ..ListEntry::active("a", dial(1, Protocol::Http1))
    };
    let second =
        ListEntry { health: Health::Leaving, cell: 7, ..ListEntry::active("b", dial(2, Protocol::Msgpack)) };
    Saved { at_unix_ms: 1.79e12, hosts: vec![first, second] }
}

#[test]
fn it_is_read_as_it_was_written() {
    for view in [view(), Saved { at_unix_ms: 0.0, hosts: Vec::new() }] {
        assert_eq!(Saved::read(&view.write()), Ok(view));
    }
}

/// Clocks give parts of a millisecond, and JSON does not bring every such number back to the last bit: the checksum, which
/// covers the time, then turned down what nobody had changed.
#[test]
fn it_is_read_whatever_the_clock_said() {
    for n in 0..10_000 {
        let view = Saved { at_unix_ms: 1.796131235e12 + f64::from(n) * 0.1737, ..view() };
        let read = Saved::read(&view.write()).expect("nobody has changed it");
        assert!((read.at_unix_ms - view.at_unix_ms).abs() <= 0.5 && read.hosts == view.hosts, "{n}");
    }
}

#[test]
fn one_that_is_cut_anywhere_is_not_taken() {
    let whole = view().write();
    for length in 0..whole.len() {
        assert!(Saved::read(&whole[..length]).is_err(), "{length} of {}", whole.len());
    }
    assert_eq!(Saved::read(&[&whole[..], b" "].concat()), Err(SavedError::Checksum));
}

/// Any change of one bit is noticed, or changes nothing that counts.
#[test]
fn one_with_a_flipped_bit_is_not_taken_for_another() {
    let whole = view().write();
    let body = whole.iter().position(|b| *b == b'\n').expect("a head") + 1;
    for at in 0..whole.len() {
        for bit in 0..8 {
            let mut bytes = whole.clone();
            bytes[at] ^= 1 << bit;
            let read = Saved::read(&bytes);
            assert!(read.is_err() || (at < body && read == Ok(view())), "bit {bit} of byte {at}: {read:?}");
        }
    }
}

#[test]
fn another_form_is_refused_in_words() {
    assert_eq!(Saved::read(b"{}\n[]").map_err(|e| e.to_string()), Err("it is no view of the form 1".into()));
    assert_eq!(Saved::read(b"").map_err(|e| e.to_string()), Err("it has no head".into()));
    assert_eq!(Saved::read(b"x\n[]").map_err(|e| e.to_string()), Err("its head can't be read".into()));
}
