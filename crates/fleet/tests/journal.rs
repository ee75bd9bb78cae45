//! Tests of reading the journal after crashes and damage.

use glenwood_fleet::journal::{decode_all, encode, Contents, Damage, Record, MAX_RECORD_BYTES};
use proptest::collection::vec;
use proptest::prelude::*;

fn make_journal(all: &[Vec<u8>]) -> (Vec<Record>, Vec<u8>) {
    let records: Vec<Record> =
        all.iter().zip(5..).map(|(bytes, number)| Record { number, bytes: bytes.clone() }).collect();
    let file = records.iter().flat_map(|r| encode(r.number, &r.bytes)).collect();
    (records, file)
}

#[test]
fn an_empty_and_a_complete_journal_are_read() {
    assert_eq!(decode_all(&[], None), Ok(Contents { records: Vec::new(), length: 0 }));
    let (records, file) = make_journal(&[b"one".to_vec(), Vec::new(), b"three".to_vec()]);
    assert_eq!(decode_all(&file, Some(5)), Ok(Contents { records, length: file.len() }));
}

#[test]
fn a_record_that_is_out_of_order_is_reported() {
    let file = [encode(5, b"a"), encode(7, b"b")].concat();
    assert_eq!(decode_all(&file, None), Err(Damage::UnexpectedNumber { at: 17, number: 7 }));
    assert_eq!(decode_all(&file, Some(4)), Err(Damage::UnexpectedNumber { at: 0, number: 5 }));
}

#[test]
fn a_length_above_the_maximum_is_treated_as_damage() {
    let mut file = encode(5, b"a");
    file[0] = 0xff;
    assert_eq!(decode_all(&file, None), Ok(Contents { records: Vec::new(), length: 0 }));
    assert!(
        decode_all(&encode(1, &vec![7; MAX_RECORD_BYTES]), None).is_ok_and(|read| read.records.len() == 1)
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Truncates the journal at any byte: all complete records are read, and the reported length excludes the
    /// torn one.
    #[test]
    fn a_torn_end_loses_only_the_last_record(all in vec(vec(any::<u8>(), 0..20), 1..6), cut in any::<prop::sample::Index>()) {
        let (records, file) = make_journal(&all);
        let cut = cut.index(file.len() + 1);
        let read = decode_all(&file[..cut], Some(5)).expect("a torn end is not damage");
        prop_assert!(read.length <= cut);
        prop_assert_eq!(&records[..read.records.len()], &read.records[..]);
        let next: usize = records.iter().take(read.records.len() + 1).map(|r| 16 + r.bytes.len()).sum();
        prop_assert!(read.records.len() == records.len() || next > cut, "a complete record is missing");
    }

    /// A flipped bit is reported as damage if other records follow; in the last record it may look like a
    /// torn write.
    #[test]
    fn a_record_with_a_flipped_bit_is_never_accepted(all in vec(vec(any::<u8>(), 0..20), 1..6), at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let (records, mut file) = make_journal(&all);
        let at = at.index(file.len());
        file[at] ^= 1 << bit;
        let last = file.len() - 16 - all[all.len() - 1].len();
        match decode_all(&file, Some(5)) {
            Ok(read) => {
                prop_assert!(at >= last, "damage in the middle was treated as a torn end");
                prop_assert_eq!(&records[..records.len() - 1], &read.records[..]);
            }
            Err(_) => prop_assert!(at < last),
        }
    }
}
