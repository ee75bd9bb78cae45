//! The table `custody` of the operator's file.

use std::collections::BTreeMap;

use glenwood_custody::{NodeId, Roster, Rosters};
use glenwood_datagram::number_of;
use glenwood_fields::{Fields, Value};

/// What becomes of a request whose keepers give no majority in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Alone {
    /// It goes on unguarded, and is counted.
    Serve,
    /// It is refused, with the module's word on when to come back.
    Refuse,
}

/// What the operator's file says of custody.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    /// Who may be keepers.
    pub rosters: Rosters,
    /// How long a majority of keepers may take, 10 to 10,000 ms.
    pub patience_ms: u64,
    /// After how long what was not answered is sent again, 5 to 1,000 ms.
    pub resend_ms: u64,
    /// How often another's work is looked at, 10 to 10,000 ms.
    pub poll_ms: u64,
    /// How long a register lives after its last use, 1,000 to 3,600,000 ms. A node that starts gives no votes for so long.
    pub life_ms: u64,
    /// The most works that a keeper keeps, 16 to 10,000,000.
    pub works_most: usize,
    /// The most memory of a keeper, 1 to 65,536 MB.
    pub memory_mb: usize,
    /// Classes for which the rule without a majority is another than by their kind.
    pub alone: BTreeMap<String, Alone>,
    /// Classes that are not guarded though they are not safe.
    pub without: Vec<String>,
}

/// A node's number, by its name.
pub fn node_id(name: &str) -> NodeId {
    NodeId(number_of(&[b"member", name.as_bytes()]))
}

impl Table {
    /// Reads the table.
    ///
    /// # Errors
    /// The field and the reason.
    pub fn take(mut f: Fields) -> Result<Self, String> {
        let roster = |f: &mut Fields, key: &str| -> Result<Option<Roster>, String> {
            let mut nodes = Vec::new();
            for mut one in f.tables(key)? {
                let text = |v: Value| v.as_str().filter(|t| !t.is_empty()).map(str::to_string);
                let name = one.need("name", "a name", text)?;
                let zone = one.text("zone", "a name")?.unwrap_or_default();
                one.end()?;
                nodes.push((node_id(&name), zone));
            }
            if nodes.is_empty() {
                return Ok(None);
            }
            Roster::new(nodes).map(Some).map_err(|words| format!("{}: {words}", f.name(key)))
        };
        let now = roster(&mut f, "keeper")?;
        let before = roster(&mut f, "before")?;
        let now = now.ok_or_else(|| format!("{}: needed, 3 at the least", f.name("keeper")))?;
        let epoch = f.within("epoch", 1..=u32::MAX as usize, 1)? as u32;
        let mut alone = BTreeMap::new();
        for (key, rule) in [("unguarded", Alone::Serve), ("refused", Alone::Refuse)] {
            for class in f.names(key)? {
                if alone.insert(class.clone(), rule).is_some() {
                    return Err(format!("{}: {class} stands in both lists", f.name(key)));
                }
            }
        }
        let taken = Self {
            rosters: Rosters { epoch, now, before },
            patience_ms: f.within("patience_ms", 10..=10_000, 150)? as u64,
            resend_ms: f.within("resend_ms", 5..=1000, 20)? as u64,
            poll_ms: f.within("poll_ms", 10..=10_000, 50)? as u64,
            life_ms: f.within("life_ms", 1000..=3_600_000, 30_000)? as u64,
            works_most: f.within("works_most", 16..=10_000_000, 100_000)?,
            memory_mb: f.within("memory_mb", 1..=65_536, 64)?,
            alone,
            without: f.names("without")?,
        };
        f.end()?;
        if taken.life_ms < 4 * taken.patience_ms {
            return Err(format!(
                "custody.life_ms: four times patience_ms at the least expected, not {}",
                taken.life_ms
            ));
        }
        Ok(taken)
    }
}
