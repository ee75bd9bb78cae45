//! The deployment sizes that the product is designed for, and the budgets for the control of a node at these
//! sizes. `docs/CAPACITY.md` shows the same figures; a test compares the two.

/// A size or a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// Name, as in `docs/CAPACITY.md`.
    pub name: &'static str,
    /// The value.
    pub value: f64,
    /// Unit of the value; empty for a count.
    pub unit: &'static str,
}

const fn target(name: &'static str, value: f64, unit: &'static str) -> Target {
    Target { name, value, unit }
}

/// Design sizes of a deployment.
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

/// Limits on latency, on the time until a change is in force, and on the resources used for control.
pub const BUDGETS: &[Target] = &[
    target("added to a request at p99", 3.1, "ms"),
    target("a change is in force everywhere within", 12.0, "s"),
    target("control: processor time of a node", 4.1, "% of a core"),
    target("control: memory of a node", 64.0, "MB"),
    target("control: bytes of a node", 21.0, "KB/s"),
];

/// Returns the value of a design size.
///
/// # Panics
/// If there is no design size of this name.
pub fn size(name: &str) -> f64 {
    SIZES.iter().find(|target| target.name == name).expect("known design size").value
}

/// Returns the value of a budget.
///
/// # Panics
/// If there is no budget of this name.
pub fn budget(name: &str) -> f64 {
    BUDGETS.iter().find(|target| target.name == name).expect("known budget").value
}
