//! Tests of the operators' lease and of bids over many agents.

use glenwood_fleet::lease::{Bid, BidState, Holder, Lease, LeaseError, MAX_LEASE_MS};
use proptest::collection::vec;
use proptest::prelude::*;

fn holder(who: &str, span_ms: f64) -> Holder {
    Holder { who: who.into(), why: "roll to r2".into(), since_unix_ms: 1.79e12, span_ms }
}

#[test]
fn a_second_operator_gets_the_holder_and_the_remaining_time() {
    let mut lease = Lease::default();
    assert_eq!(lease.grant(0.0, 1, holder("ada", 10_000.0)), Ok(()));
    let refused = lease.grant(4000.0, 2, holder("ben", 10_000.0)).expect_err("ada has it");
    assert_eq!(refused, LeaseError::Held { holder: holder("ada", 10_000.0), remaining: 6000.0, epoch: 1 });
    assert_eq!(refused.to_string(), "held by ada (roll to r2), expires in at most 6 s");
    // The holder itself may ask again, because the answer may have been lost.
    assert_eq!(lease.grant(4000.0, 1, holder("ada", 10_000.0)), Ok(()));
    assert_eq!(lease.check(13_999.0, 1), Ok(()));
}

#[test]
fn an_operator_suspended_for_longer_than_the_lease_is_rejected() {
    let mut lease = Lease::default();
    lease.grant(0.0, 1, holder("ada", 1000.0)).expect("free");
    assert_eq!(
        lease.check(1000.0, 1),
        Err(LeaseError::Stale { epoch: 1 }),
        "the lease has expired, although no other was granted"
    );
    lease.grant(1000.0, 2, holder("ben", 1000.0)).expect("free again");
    assert_eq!(lease.check(1500.0, 1), Err(LeaseError::Stale { epoch: 2 }));
    assert_eq!(lease.renew(1500.0, 1, 1000.0), Err(LeaseError::Stale { epoch: 2 }));
    assert_eq!(lease.release(1500.0, 1), Err(LeaseError::Stale { epoch: 2 }));
    assert_eq!(lease.release(1500.0, 2), Ok(()));
    // An epoch is granted only once, even if its lease was released.
    assert_eq!(lease.grant(1500.0, 2, holder("ada", 1000.0)), Err(LeaseError::EpochTooLow { epoch: 2 }));
    assert_eq!(lease.grant(1500.0, 3, holder("ada", 1000.0)), Ok(()));
}

#[test]
fn a_restart_keeps_the_epoch_and_the_holder() {
    let mut lease = Lease::restored(50.0, 7, Some(holder("ada", MAX_LEASE_MS)));
    assert_eq!(lease.check(60.0, 6), Err(LeaseError::Stale { epoch: 7 }));
    assert_eq!(lease.check(60.0, 7), Ok(()), "the lease is still valid for its holder");
    assert!(matches!(lease.grant(60.0, 8, holder("ben", 1.0)), Err(LeaseError::Held { .. })));
    assert_eq!(lease.grant(50.0 + MAX_LEASE_MS, 8, holder("ben", 1.0)), Ok(()));
    assert_eq!(
        Lease::restored(0.0, 7, None).grant(0.0, 7, holder("ben", 1.0)),
        Err(LeaseError::EpochTooLow { epoch: 7 })
    );
}

#[test]
fn a_bid_is_won_by_a_majority_and_lost_when_none_is_possible() {
    let mut bid = Bid::new(5, &[3, 1]);
    assert_eq!(bid.epoch(), 4);
    let too_low = LeaseError::EpochTooLow { epoch: 9 };
    for (agent, answer, expected_state) in [
        (0, Ok(()), BidState::Open),
        (1, Err(None), BidState::Open),
        (2, Ok(()), BidState::Open),
        (3, Err(Some(&too_low)), BidState::Open),
        (4, Ok(()), BidState::Won),
    ] {
        bid.record_answer(agent, answer);
        assert_eq!(bid.state(), expected_state, "agent {agent}");
    }
    assert_eq!((bid.granted().collect::<Vec<_>>(), bid.next_bid().epoch()), (vec![0, 2, 4], 10));
    let mut even = Bid::new(4, &[]);
    even.record_answer(0, Ok(()));
    even.record_answer(1, Ok(()));
    assert_eq!(even.state(), BidState::Open, "half is not more than half");
    even.record_answer(2, Err(None));
    even.record_answer(3, Err(None));
    assert_eq!(even.state(), BidState::Lost);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Three operators bid at five agents while messages are lost, agents restart and operators are
    /// suspended. At no time may two operators both hold a valid lease at a majority of the agents, and an
    /// agent's epoch never decreases.
    #[test]
    fn two_operators_never_hold_the_lease_at_once(steps in vec((0..3usize, 0..5usize, 0..6u8, 0..400u16), 1..200)) {
        let mut agents = vec![Lease::default(); 5];
        let mut bids: Vec<Option<Bid>> = vec![None; 3];
        let mut now = 0.0;
        let mut highest = [0; 5];
        for (who, agent, action, pause) in steps {
            now += f64::from(pause);
            let name = holder(&format!("o{who}"), 2000.0);
            match action {
                0 => {
                    let known: Vec<u64> = agents.iter().take(agent + 1).map(Lease::epoch).collect();
                    bids[who] = Some(Bid::new(5, &known));
                }
                1..=3 => if let Some(bid) = &mut bids[who] {
                    let answer = agents[agent].grant(now, bid.epoch(), name);
                    // A lost answer counts as a refusal, while the agent keeps the lease that it granted.
                    if action < 3 {
                        bid.record_answer(agent, answer.as_ref().copied().map_err(Some));
                    } else {
                        bid.record_answer(agent, Err(None));
                    }
                },
                4 => {
                    let holder = agents[agent].holder(now).cloned();
                    agents[agent] = Lease::restored(now, agents[agent].epoch(), holder);
                }
                _ => if let Some(bid) = &bids[who] {
                    // The result is ignored: a suspended operator may try to renew at any time.
                    let _ = agents[agent].renew(now, bid.epoch(), 2000.0);
                },
            }
            for (n, lease) in agents.iter().enumerate() {
                prop_assert!(lease.epoch() >= highest[n]);
                highest[n] = lease.epoch();
            }
            let count_valid = |who: usize| {
                let epoch = bids[who].as_ref().filter(|b| b.state() == BidState::Won).map(Bid::epoch);
                epoch.map(|epoch| {
                    let name = holder(&format!("o{who}"), 2000.0);
                    agents.iter().filter(|a| a.check(now, epoch).is_ok() && a.holder(now) == Some(&name)).count()
                })
            };
            let leading = (0..3).filter(|who| count_valid(*who).is_some_and(|count| count > 2)).count();
            prop_assert!(leading <= 1, "{leading} operators hold the lease");
        }
    }
}
