//! The size that the product is designed for, and what control may cost a node there. `docs/CAPACITY.md` shows the same figures; a
//! test compares the two.

/// A figure of the design size or a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// Its name, as the page has it.
    pub name: &'static str,
    /// How much.
    pub value: f64,
    /// Of what; empty for a plain count.
    pub unit: &'static str,
}

const fn target(name: &'static str, value: f64, unit: &'static str) -> Target {
    Target { name, value, unit }
}

/// The size to design for.
pub const SIZES: &[Target] = &[
    target("nodes", 1_300.0, ""),
    target("servers", 13_000.0, ""),
    target("services", 560.0, ""),
    target("requests at the peak", 320_000.0, "/s"),
    target("routes", 25_000.0, ""),
    target("tenants", 47_000.0, ""),
    target("regions", 5.0, ""),
    target("zones", 17.0, ""),
    target("changes of configuration", 1_800.0, "/day"),
    target("machines set aside for control", 9.0, ""),
    target("machines that fail", 36.0, "/day"),
    target("nodes restarted or replaced", 1_300.0, "/day"),
];

/// What may be spent.
pub const BUDGETS: &[Target] = &[
    target("added to a request at p99", 3.1, "ms"),
    target("a change is in force everywhere within", 12.0, "s"),
    target("control: processor time of a node", 4.1, "% of a core"),
    target("control: memory of a node", 64.0, "MB"),
    target("control: bytes of a node", 21.0, "KB/s"),
];

/// The value of a size by its name.
///
/// # Panics
/// Where there is no such size.
pub fn size(name: &str) -> f64 {
    SIZES.iter().find(|target| target.name == name).expect("a size of the design").value
}

/// The value of a budget by its name.
///
/// # Panics
/// Where there is no such budget.
pub fn budget(name: &str) -> f64 {
    BUDGETS.iter().find(|target| target.name == name).expect("a budget of the design").value
}
