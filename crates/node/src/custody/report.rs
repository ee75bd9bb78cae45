//! Inspection report and metrics of custody.

use glenwood_operation::figures::Metric;
use serde_json::{json, Value};

use super::Custody;
use crate::inspect::Part;

/// The most works in the report.
const MAX_REPORTED_WORKS: usize = 1000;

impl Part for Custody {
    fn name(&self) -> &'static str {
        "custody"
    }

    fn report(&self) -> Value {
        let now = self.now();
        let (coordinator, keeper) = (self.coordinator.borrow(), self.keeper.borrow());
        let (known_here, held_here) = coordinator.counts();
        let works: Vec<Value> = keeper
            .works(now)
            .take(MAX_REPORTED_WORKS)
            .map(|(work, record, age)| {
                let holder = record.and_then(|record| record.holder);
                let name = holder.and_then(|life| self.membership.get(glenwood_members::Id(life.node.0)));
                json!({
                    "work": format!("{:016x}{:016x}.{:016x}", work.slot.0, work.slot.1, work.nonce),
                    "age_ms": age,
                    "class": record.map(|record| record.about.class.clone()),
                    "effect": record.map(|record| record.about.effect),
                    "client_wait_ms": record.map(|record| record.about.remaining_ms),
                    "holder": holder.map(|life| name.map_or(format!("{:016x}", life.node.0), |(m, _)| m.name)),
                    "life": holder.map(|life| format!("{:016x}", life.number)),
                    "lost": holder.map(|life| coordinator.is_lost(now, life)),
                    "sent": record.map(|record| record.sent.clone()),
                    "verdict": record.and_then(|record| record.verdict),
                })
            })
            .collect();
        json!({
            "epoch": self.table.rosters.epoch,
            "joint": self.table.rosters.previous.is_some(),
            "votes": keeper.is_voting(now),
            "here": known_here,
            "mine": held_here,
            "counts": *self.counts.borrow(),
            "desk": coordinator.figures(),
            "keeper": keeper.figures(),
            "works": works,
        })
    }

    fn figures(&self) -> Vec<Metric> {
        let (coordinator, keeper) = (self.coordinator.borrow(), self.keeper.borrow());
        let (counts, works, kept) = (*self.counts.borrow(), coordinator.figures(), keeper.figures());
        let gauge = |name, value, help| Metric { name, is_counter: false, help, value };
        let counter = |name, value, help| Metric { name, is_counter: true, help, value };
        vec![
            gauge("custody_mine", coordinator.counts().1 as u64, "Works that this node has in hand."),
            gauge("custody_kept", kept.works, "Works that it keeps for others."),
            gauge("custody_bytes", kept.bytes, "Bytes that it keeps for others."),
            gauge("custody_votes", u64::from(keeper.is_voting(self.now())), "It gives votes as a keeper."),
            counter("custody_guarded", counts.guarded, "Requests of guarded classes."),
            counter("custody_unguarded", counts.unguarded, "Those that went on without a majority."),
            counter("custody_refused", counts.refused, "Those that were refused without one."),
            counter("custody_shared", counts.shared, "Those that were answered with another's verdict."),
            counter("custody_doubtful", counts.doubtful, "Those that failed, as another may be the same."),
            counter("custody_adopted", works.adopted, "Works taken over from another holder."),
            counter("custody_orphans", works.orphans, "Those of them for which nobody asked here."),
            counter("custody_bodiless", works.bodiless, "Works that could not be taken over."),
            counter("custody_intents", works.intents, "Attempts whose intent was written."),
            counter("custody_denied", works.denied, "Attempts that were not sent."),
            counter("custody_unkept", works.unkept, "Verdicts that could not be kept in time."),
            counter("custody_may_have_run", works.may_have_run, "Verdicts that a work may have run."),
            counter("custody_sent_bytes", counts.sent_bytes, "Bytes of datagrams."),
        ]
    }
}
