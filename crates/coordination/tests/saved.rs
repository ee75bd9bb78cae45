//! Tests of the file format of a saved view.

use glenwood_coordination::saved::{SavedError, SavedView};
use glenwood_list::{Endpoint, Health, ListEntry, Protocol};

fn view() -> SavedView {
    let dial = |n: u8, protocol| Endpoint { address: ([127, 0, 0, n], 80).into(), protocol };
    let first = ListEntry {
        zone: "z\u{fc}rich".into(),
        started_ms: 1.5e12,
        ..ListEntry::active("a", dial(1, Protocol::Http1))
    };
    let second = ListEntry {
        health: Health::Leaving,
        cell: Some(7),
        ..ListEntry::active("b", dial(2, Protocol::Msgpack))
    };
    SavedView { at_unix_ms: 1.79e12, hosts: vec![first, second] }
}

#[test]
fn a_written_view_is_read_back_unchanged() {
    for view in [view(), SavedView { at_unix_ms: 0.0, hosts: Vec::new() }] {
        assert_eq!(SavedView::read(&view.write()), Ok(view));
    }
}

/// Clocks return fractions of a millisecond, and JSON does not preserve every such number exactly. The
/// checksum covers the time, so an unchanged file was rejected.
#[test]
fn a_view_with_a_fractional_time_is_read_back() {
    for n in 0..10_000 {
        let view = SavedView { at_unix_ms: 1.796131235e12 + f64::from(n) * 0.1737, ..view() };
        let read = SavedView::read(&view.write()).expect("the file is unchanged");
        assert!((read.at_unix_ms - view.at_unix_ms).abs() <= 0.5 && read.hosts == view.hosts, "{n}");
    }
}

#[test]
fn a_truncated_file_is_rejected() {
    let file = view().write();
    for length in 0..file.len() {
        assert!(SavedView::read(&file[..length]).is_err(), "{length} of {}", file.len());
    }
    assert_eq!(SavedView::read(&[&file[..], b" "].concat()), Err(SavedError::Checksum));
}

/// A flipped bit is either detected or, in the header, does not change the parsed view.
#[test]
fn a_flipped_bit_never_yields_a_different_view() {
    let file = view().write();
    let body = file.iter().position(|b| *b == b'\n').expect("a header line") + 1;
    for index in 0..file.len() {
        for bit in 0..8 {
            let mut bytes = file.clone();
            bytes[index] ^= 1 << bit;
            let read = SavedView::read(&bytes);
            assert!(
                read.is_err() || (index < body && read == Ok(view())),
                "bit {bit} of byte {index}: {read:?}"
            );
        }
    }
}

#[test]
fn an_unknown_format_is_rejected_with_a_message() {
    assert_eq!(
        SavedView::read(b"{}\n[]").map_err(|e| e.to_string()),
        Err("unsupported format: glenwood_view 1 expected".into())
    );
    assert_eq!(SavedView::read(b"").map_err(|e| e.to_string()), Err("the header line is missing".into()));
    assert_eq!(
        SavedView::read(b"x\n[]").map_err(|e| e.to_string()),
        Err("the header is not valid JSON".into())
    );
}
