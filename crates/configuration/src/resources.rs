//! All resources, and what makes a change to them valid.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Bound;
use std::sync::Arc;

use crate::change::{Operation, OPERATIONS_MOST};
use crate::resource::{check_name, Entry, Key, Kind, Scope};

/// Why a change is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invalid {
    /// It has no operation, or too many.
    Size(usize),
    /// One resource stands in it twice.
    Twice(Key),
    /// A value makes no sense.
    Value(Key, String),
    /// It is another's.
    Owner(Key, String),
    /// There is no such resource to remove.
    Absent(Key),
    /// It names a service that there is not.
    NoService(Key, String),
    /// The service is still named by so many resources.
    InUse(Key, usize),
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let of = |key: &Key| format!("{:?} {}", key.kind, key.name).to_lowercase();
        match self {
            Self::Size(count) => write!(f, "1 to {OPERATIONS_MOST} operations expected, not {count}"),
            Self::Twice(key) => write!(f, "{}: stands there twice", of(key)),
            Self::Value(key, words) => write!(f, "{}: {words}", of(key)),
            Self::Owner(key, owner) => write!(f, "{}: belongs to {owner}", of(key)),
            Self::Absent(key) => write!(f, "{}: there is none", of(key)),
            Self::NoService(key, service) => write!(f, "{}: there is no service {service}", of(key)),
            Self::InUse(key, count) => write!(f, "{}: still named by {count} resources", of(key)),
        }
    }
}

impl std::error::Error for Invalid {}

/// All resources. A clone shares them until either changes.
#[derive(Clone, Debug, Default)]
pub struct Resources {
    entries: Arc<BTreeMap<Key, Entry>>,
    /// How many resources name each service.
    named: Arc<BTreeMap<String, usize>>,
}

impl PartialEq for Resources {
    fn eq(&self, other: &Self) -> bool {
        self.entries == other.entries
    }
}

impl Resources {
    /// These resources, without a check.
    pub fn of(entries: impl IntoIterator<Item = Entry>) -> Self {
        let mut resources = Self::default();
        entries.into_iter().for_each(|entry| drop(resources.put(entry)));
        resources
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Are there none?
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A resource.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// All of them, by kind and name.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter()
    }

    /// Those of a scope that come after a key, the first `most` of them; and whether these are the last.
    pub fn page(&self, after: Option<&Key>, scope: &Scope, most: usize) -> (Vec<Entry>, bool) {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let range = self.entries.range::<Key, _>((from, Bound::Unbounded));
        let mut wanted =
            range.filter(|(key, entry)| scope.includes(&key.name, &entry.body)).map(|(_, entry)| entry);
        let page: Vec<Entry> = wanted.by_ref().take(most).cloned().collect();
        (page, wanted.next().is_none())
    }

    /// Is a change valid, where these are the whole configuration? Its cost is that of the change.
    ///
    /// # Errors
    /// Says the first thing that is wrong.
    pub fn check(&self, operations: &[Operation]) -> Result<(), Invalid> {
        if operations.is_empty() || operations.len() > OPERATIONS_MOST {
            return Err(Invalid::Size(operations.len()));
        }
        let mut after: BTreeMap<Key, Option<&Entry>> = BTreeMap::new();
        for operation in operations {
            let key = operation.key();
            self.check_one(&key, operation)?;
            let entry = match operation {
                Operation::Put(entry) => Some(entry),
                Operation::Remove { .. } => None,
            };
            if after.insert(key.clone(), entry).is_some() {
                return Err(Invalid::Twice(key));
            }
        }
        self.check_references(&after)
    }

    fn check_one(&self, key: &Key, operation: &Operation) -> Result<(), Invalid> {
        let value = |words: String| Invalid::Value(key.clone(), words);
        check_name("name", &key.name).map_err(value)?;
        let (owner, existing) = (Self::owner(operation), self.get(key));
        check_name("owner", owner).map_err(value)?;
        if let Some(other) = existing.filter(|existing| existing.owner != *owner) {
            return Err(Invalid::Owner(key.clone(), other.owner.clone()));
        }
        match operation {
            Operation::Put(entry) => entry.body.check().map_err(value),
            Operation::Remove { .. } if existing.is_none() => Err(Invalid::Absent(key.clone())),
            Operation::Remove { .. } => Ok(()),
        }
    }

    fn owner(operation: &Operation) -> &String {
        match operation {
            Operation::Put(entry) => &entry.owner,
            Operation::Remove { owner, .. } => owner,
        }
    }

    /// Do all services exist that are named after the change?
    fn check_references(&self, after: &BTreeMap<Key, Option<&Entry>>) -> Result<(), Invalid> {
        let service = |name: &str| Key { kind: Kind::Service, name: name.to_string() };
        for (key, entry) in after {
            for name in entry.iter().flat_map(|entry| entry.body.services()) {
                let exists = match after.get(&service(name)) {
                    Some(changed) => changed.is_some(),
                    None => self.get(&service(name)).is_some(),
                };
                if !exists {
                    return Err(Invalid::NoService(key.clone(), name.clone()));
                }
            }
        }
        for key in after
            .iter()
            .filter(|(key, entry)| key.kind == Kind::Service && entry.is_none())
            .map(|(key, _)| key)
        {
            let names = |entry: &Entry| entry.body.services().contains(&key.name);
            let before = self.named.get(&key.name).copied().unwrap_or(0);
            let released = after.keys().filter_map(|key| self.get(key)).filter(|entry| names(entry)).count();
            let left = before.saturating_sub(released);
            if left > 0 {
                return Err(Invalid::InUse(key.clone(), left));
            }
        }
        Ok(())
    }

    /// Takes an operation over; gives the resource as it was before.
    pub fn apply(&mut self, operation: &Operation) -> Option<Entry> {
        match operation {
            Operation::Put(entry) => self.put(entry.clone()),
            Operation::Remove { key, .. } => self.remove(key),
        }
    }

    /// Puts a resource in, without a check.
    pub fn put(&mut self, entry: Entry) -> Option<Entry> {
        self.count(&entry, true);
        let before = Arc::make_mut(&mut self.entries).insert(entry.key(), entry);
        before.iter().for_each(|before| self.count(before, false));
        before
    }

    /// Takes a resource out, without a check.
    pub fn remove(&mut self, key: &Key) -> Option<Entry> {
        let before = Arc::make_mut(&mut self.entries).remove(key);
        before.iter().for_each(|before| self.count(before, false));
        before
    }

    fn count(&mut self, entry: &Entry, names: bool) {
        if entry.body.services().is_empty() {
            return;
        }
        let named = Arc::make_mut(&mut self.named);
        for service in entry.body.services() {
            let count = named.entry(service.clone()).or_default();
            *count = if names { *count + 1 } else { count.saturating_sub(1) };
            if *count == 0 {
                named.remove(service);
            }
        }
    }
}
