//! The set of all resources, and the validation of changes to it.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Bound;
use std::sync::Arc;

use crate::change::{Operation, MAX_OPERATIONS};
use crate::resource::{check_name, Entry, Key, Kind, Scope};

/// Why a change is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidChange {
    /// The change has no operations or too many; holds their number.
    OperationCount(usize),
    /// The change has more than one operation for this resource.
    DuplicateKey(Key),
    /// A value of the resource is invalid; holds the reason.
    InvalidValue(Key, String),
    /// The resource belongs to another owner; holds that owner's name.
    WrongOwner(Key, String),
    /// The resource to remove does not exist.
    NotFound(Key),
    /// The resource references a service that does not exist.
    UnknownService(Key, String),
    /// The service to remove is still referenced by this number of resources.
    ServiceInUse(Key, usize),
}

impl fmt::Display for InvalidChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let label = |key: &Key| format!("{:?} {}", key.kind, key.name).to_lowercase();
        match self {
            Self::OperationCount(count) => {
                write!(f, "1 to {MAX_OPERATIONS} operations expected, not {count}")
            }
            Self::DuplicateKey(key) => {
                write!(f, "{}: stands there twice", label(key))
            }
            Self::InvalidValue(key, reason) => write!(f, "{}: {reason}", label(key)),
            Self::WrongOwner(key, owner) => write!(f, "{}: belongs to {owner}", label(key)),
            Self::NotFound(key) => write!(f, "{}: there is none", label(key)),
            Self::UnknownService(key, service) => write!(f, "{}: there is no service {service}", label(key)),
            Self::ServiceInUse(key, count) => {
                write!(f, "{}: still named by {count} resources", label(key))
            }
        }
    }
}

impl std::error::Error for InvalidChange {}

/// A set of resources. Cloning is cheap: clones share their data until one of them changes.
#[derive(Clone, Debug, Default)]
pub struct Resources {
    entries: Arc<BTreeMap<Key, Entry>>,
    /// The number of resources that reference each service.
    reference_counts: Arc<BTreeMap<String, usize>>,
}

impl PartialEq for Resources {
    fn eq(&self, other: &Self) -> bool {
        self.entries == other.entries
    }
}

impl Resources {
    /// Creates a set of these resources without validation.
    pub fn from_entries(entries: impl IntoIterator<Item = Entry>) -> Self {
        let mut resources = Self::default();
        entries.into_iter().for_each(|entry| drop(resources.put(entry)));
        resources
    }

    /// The number of resources.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no resources.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The resource with this key, if it exists.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Iterates over all resources, ordered by kind and name.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter()
    }

    /// The first `limit` resources of a scope after the key `after`, and whether no others follow.
    pub fn page(&self, after: Option<&Key>, scope: &Scope, limit: usize) -> (Vec<Entry>, bool) {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let range = self.entries.range::<Key, _>((from, Bound::Unbounded));
        let mut wanted =
            range.filter(|(key, entry)| scope.includes(&key.name, &entry.body)).map(|(_, entry)| entry);
        let page: Vec<Entry> = wanted.by_ref().take(limit).cloned().collect();
        (page, wanted.next().is_none())
    }

    /// Validates a change against this set as the complete configuration. The cost depends on the size of the
    /// change, not on that of the set.
    ///
    /// # Errors
    /// Returns the first problem found.
    pub fn check(&self, operations: &[Operation]) -> Result<(), InvalidChange> {
        if operations.is_empty() || operations.len() > MAX_OPERATIONS {
            return Err(InvalidChange::OperationCount(operations.len()));
        }
        let mut after: BTreeMap<Key, Option<&Entry>> = BTreeMap::new();
        for operation in operations {
            let key = operation.key();
            self.check_operation(&key, operation)?;
            let entry = match operation {
                Operation::Put(entry) => Some(entry),
                Operation::Remove { .. } => None,
            };
            if after.insert(key.clone(), entry).is_some() {
                return Err(InvalidChange::DuplicateKey(key));
            }
        }
        self.check_references(&after)
    }

    /// Validates one operation without regard to references.
    fn check_operation(&self, key: &Key, operation: &Operation) -> Result<(), InvalidChange> {
        let invalid_value = |reason: String| InvalidChange::InvalidValue(key.clone(), reason);
        check_name("name", &key.name).map_err(invalid_value)?;
        let (owner, existing) = (Self::owner(operation), self.get(key));
        check_name("owner", owner).map_err(invalid_value)?;
        if let Some(other) = existing.filter(|existing| existing.owner != *owner) {
            return Err(InvalidChange::WrongOwner(key.clone(), other.owner.clone()));
        }
        match operation {
            Operation::Put(entry) => entry.body.check().map_err(invalid_value),
            Operation::Remove { .. } if existing.is_none() => Err(InvalidChange::NotFound(key.clone())),
            Operation::Remove { .. } => Ok(()),
        }
    }

    fn owner(operation: &Operation) -> &String {
        match operation {
            Operation::Put(entry) => &entry.owner,
            Operation::Remove { owner, .. } => owner,
        }
    }

    /// Checks that every service referenced after the change exists then. `after` has the changed resources,
    /// `None` for a removed one.
    fn check_references(&self, after: &BTreeMap<Key, Option<&Entry>>) -> Result<(), InvalidChange> {
        let service = |name: &str| Key { kind: Kind::Service, name: name.to_string() };
        for (key, entry) in after {
            for name in entry.iter().flat_map(|entry| entry.body.services()) {
                let exists = match after.get(&service(name)) {
                    Some(changed) => changed.is_some(),
                    None => self.get(&service(name)).is_some(),
                };
                if !exists {
                    return Err(InvalidChange::UnknownService(key.clone(), name.clone()));
                }
            }
        }
        for key in after
            .iter()
            .filter(|(key, entry)| key.kind == Kind::Service && entry.is_none())
            .map(|(key, _)| key)
        {
            let references = |entry: &Entry| entry.body.services().contains(&key.name);
            let before = self.reference_counts.get(&key.name).copied().unwrap_or(0);
            let released =
                after.keys().filter_map(|key| self.get(key)).filter(|entry| references(entry)).count();
            let remaining = before.saturating_sub(released);
            if remaining > 0 {
                return Err(InvalidChange::ServiceInUse(key.clone(), remaining));
            }
        }
        Ok(())
    }

    /// Applies an operation without validation; returns the resource before it, if it existed.
    pub fn apply(&mut self, operation: &Operation) -> Option<Entry> {
        match operation {
            Operation::Put(entry) => self.put(entry.clone()),
            Operation::Remove { key, .. } => self.remove(key),
        }
    }

    /// Inserts or replaces a resource without validation; returns the one that it replaces.
    pub fn put(&mut self, entry: Entry) -> Option<Entry> {
        self.update_references(&entry, true);
        let before = Arc::make_mut(&mut self.entries).insert(entry.key(), entry);
        before.iter().for_each(|before| self.update_references(before, false));
        before
    }

    /// Removes a resource without validation; returns it, if it existed.
    pub fn remove(&mut self, key: &Key) -> Option<Entry> {
        let before = Arc::make_mut(&mut self.entries).remove(key);
        before.iter().for_each(|before| self.update_references(before, false));
        before
    }

    /// Adds an entry's references to the counts, or subtracts them.
    fn update_references(&mut self, entry: &Entry, add: bool) {
        if entry.body.services().is_empty() {
            return;
        }
        let reference_counts = Arc::make_mut(&mut self.reference_counts);
        for service in entry.body.services() {
            let count = reference_counts.entry(service.clone()).or_default();
            *count = if add { *count + 1 } else { count.saturating_sub(1) };
            if *count == 0 {
                reference_counts.remove(service);
            }
        }
    }
}
