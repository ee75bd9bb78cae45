//! The journal after crashes and damage.

use glenwood_fleet::journal::{read, write, Damage, Read, Record, LONGEST};
use proptest::collection::vec;
use proptest::prelude::*;

fn records(all: &[Vec<u8>]) -> (Vec<Record>, Vec<u8>) {
    let records: Vec<Record> =
        all.iter().zip(5..).map(|(bytes, number)| Record { number, bytes: bytes.clone() }).collect();
    let file = records.iter().flat_map(|r| write(r.number, &r.bytes)).collect();
    (records, file)
}

#[test]
fn an_empty_journal_and_a_whole_one_are_read() {
    assert_eq!(read(&[], None), Ok(Read { records: Vec::new(), length: 0 }));
    let (records, file) = records(&[b"one".to_vec(), Vec::new(), b"three".to_vec()]);
    assert_eq!(read(&file, Some(5)), Ok(Read { records, length: file.len() }));
}

#[test]
fn a_record_that_is_out_of_order_is_named() {
    let file = [write(5, b"a"), write(7, b"b")].concat();
    assert_eq!(read(&file, None), Err(Damage::Order { at: 17, number: 7 }));
    assert_eq!(read(&file, Some(4)), Err(Damage::Order { at: 0, number: 5 }));
}

#[test]
fn a_length_beyond_all_bounds_is_no_allocation() {
    let mut file = write(5, b"a");
    file[0] = 0xff;
    assert_eq!(read(&file, None), Ok(Read { records: Vec::new(), length: 0 }));
    assert!(read(&write(1, &vec![7; LONGEST]), None).is_ok_and(|read| read.records.len() == 1));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Cut anywhere: all whole records are there, and what is torn is to be cut off.
    #[test]
    fn a_torn_end_costs_the_last_record_alone(all in vec(vec(any::<u8>(), 0..20), 1..6), cut in any::<prop::sample::Index>()) {
        let (records, file) = records(&all);
        let cut = cut.index(file.len() + 1);
        let read = read(&file[..cut], Some(5)).expect("a torn end is no damage");
        prop_assert!(read.length <= cut);
        prop_assert_eq!(&records[..read.records.len()], &read.records[..]);
        let next: usize = records.iter().take(read.records.len() + 1).map(|r| 16 + r.bytes.len()).sum();
        prop_assert!(read.records.len() == records.len() || next > cut, "a whole record is missing");
    }

    /// A flipped bit in a record that others follow is damage, and is never passed over; in the last one it may be torn.
    #[test]
    fn a_flipped_bit_is_never_taken(all in vec(vec(any::<u8>(), 0..20), 1..6), at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let (records, mut file) = records(&all);
        let at = at.index(file.len());
        file[at] ^= 1 << bit;
        let last = file.len() - 16 - all[all.len() - 1].len();
        match read(&file, Some(5)) {
            Ok(read) => {
                prop_assert!(at >= last, "damage in the middle was taken for a torn end");
                prop_assert_eq!(&records[..records.len() - 1], &read.records[..]);
            }
            Err(_) => prop_assert!(at < last),
        }
    }
}
