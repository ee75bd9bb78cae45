//! The table `custody` of the operator's file.

use std::collections::BTreeMap;
use std::fmt;

use glenwood_custody::{NodeId, Roster, Rosters};
use glenwood_datagram::stable_hash;
use glenwood_fields::{Fields, Value};

/// What happens to a request whose keepers give no majority in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoMajorityRule {
    /// It is served without custody, and counted.
    Serve,
    /// It is refused with a time after which to come back.
    Refuse,
}

/// Custody settings of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    /// The nodes that may be keepers.
    pub rosters: Rosters,
    /// How long to wait for a majority of keepers, 10 to 10,000 ms.
    pub patience_ms: u64,
    /// After how long an unanswered message is sent again, 5 to 1,000 ms.
    pub resend_ms: u64,
    /// How often the state of a work held by another node is polled, 10 to 10,000 ms.
    pub poll_ms: u64,
    /// How long a register is retained after its last use, 1,000 to 3,600,000 ms. A node gives no votes for
    /// this long after its start.
    pub life_ms: u64,
    /// The most works that a keeper stores, 16 to 10,000,000.
    pub works_most: usize,
    /// The most memory that a keeper uses, 1 to 65,536 MB.
    pub memory_mb: usize,
    /// Classes with an explicit rule for a missing majority; the others follow the rule of their kind.
    pub no_majority_rules: BTreeMap<String, NoMajorityRule>,
    /// Classes that are not guarded although they are not safe to repeat.
    pub unguarded_classes: Vec<String>,
}

/// A deadline of the settings for which registers are not retained for long enough.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeadlineTooLong {
    /// The longest deadline of the settings, in milliseconds.
    pub longest_ms: f64,
    /// How long a register is retained, in milliseconds.
    pub life_ms: u64,
}

impl fmt::Display for DeadlineTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { longest_ms, life_ms } = self;
        write!(
            f,
            "custody.life_ms: twice the longest deadline of {longest_ms} ms at the least expected, not {life_ms}"
        )
    }
}

impl std::error::Error for DeadlineTooLong {}

/// The id of a node, derived from its name.
pub fn node_id(name: &str) -> NodeId {
    NodeId(stable_hash(&[b"member", name.as_bytes()]))
}

impl Table {
    /// Checks that a register is retained for twice the longest deadline of the settings. To be called with
    /// all settings that a node is to use, wherever they come from.
    ///
    /// # Errors
    /// The deadline for which it is not.
    pub fn check_deadline(&self, longest_ms: f64) -> Result<(), DeadlineTooLong> {
        if 2.0 * longest_ms > self.life_ms as f64 {
            return Err(DeadlineTooLong { longest_ms, life_ms: self.life_ms });
        }
        Ok(())
    }

    /// Reads and checks the table.
    ///
    /// # Errors
    /// The field and the reason.
    pub fn from_fields(mut f: Fields) -> Result<Self, String> {
        let roster = |f: &mut Fields, key: &str| -> Result<Option<Roster>, String> {
            let mut nodes = Vec::new();
            for mut entry in f.tables(key)? {
                let text = |v: Value| v.as_str().filter(|t| !t.is_empty()).map(str::to_string);
                let name = entry.required("name", "a name", text)?;
                let zone = entry.text("zone", "a name")?.unwrap_or_default();
                entry.expect_empty()?;
                nodes.push((node_id(&name), zone));
            }
            if nodes.is_empty() {
                return Ok(None);
            }
            Roster::new(nodes).map(Some).map_err(|reason| format!("{}: {reason}", f.full_name(key)))
        };
        let now = roster(&mut f, "keeper")?;
        let before = roster(&mut f, "before")?;
        let now = now.ok_or_else(|| format!("{}: needed, 3 at the least", f.full_name("keeper")))?;
        let epoch = f.integer_within("epoch", 1..=u32::MAX as usize, 1)? as u32;
        let mut no_majority_rules = BTreeMap::new();
        for (key, rule) in [("unguarded", NoMajorityRule::Serve), ("refused", NoMajorityRule::Refuse)] {
            for class in f.names(key)? {
                if no_majority_rules.insert(class.clone(), rule).is_some() {
                    return Err(format!("{}: {class} stands in both lists", f.full_name(key)));
                }
            }
        }
        let parsed = Self {
            rosters: Rosters { epoch, current: now, previous: before },
            patience_ms: f.integer_within("patience_ms", 10..=10_000, 150)? as u64,
            resend_ms: f.integer_within("resend_ms", 5..=1000, 20)? as u64,
            poll_ms: f.integer_within("poll_ms", 10..=10_000, 50)? as u64,
            life_ms: f.integer_within("life_ms", 1000..=3_600_000, 30_000)? as u64,
            works_most: f.integer_within("works_most", 16..=10_000_000, 100_000)?,
            memory_mb: f.integer_within("memory_mb", 1..=65_536, 64)?,
            no_majority_rules,
            unguarded_classes: f.names("without")?,
        };
        f.expect_empty()?;
        if parsed.life_ms < 4 * parsed.patience_ms {
            return Err(format!(
                "custody.life_ms: four times patience_ms at the least expected, not {}",
                parsed.life_ms
            ));
        }
        Ok(parsed)
    }
}
