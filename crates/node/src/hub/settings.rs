//! The settings in force at a node, and how they change while requests are open.

use std::fmt;
use std::rc::Rc;

use glenwood_operation::places::{Slot, SlotChange};
use glenwood_policy::{Class, SettingsError, Tenant, TenantChange};
use glenwood_settings::NodeSettings;

use super::Hub;
use crate::custody::DeadlineTooLong;

/// Applies changes on top of the settings of a file; they take precedence over the file.
pub trait Overlay {
    /// Applies its changes to the settings read from a file.
    fn apply(&self, settings: &mut NodeSettings);
}

/// Why new settings are rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum RejectedSettings {
    /// The core would refuse them.
    Policy(SettingsError),
    /// Custody does not retain its registers for long enough.
    Deadline(DeadlineTooLong),
}

impl fmt::Display for RejectedSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Policy(error) => error.fmt(f),
            Self::Deadline(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for RejectedSettings {}

impl From<SettingsError> for RejectedSettings {
    fn from(error: SettingsError) -> Self {
        Self::Policy(error)
    }
}

impl From<DeadlineTooLong> for RejectedSettings {
    fn from(error: DeadlineTooLong) -> Self {
        Self::Deadline(error)
    }
}

/// Changes of classes and tenants; `None` for those that are removed.
#[derive(Debug, Default)]
pub struct SettingsChange {
    /// Classes by name.
    pub classes: Vec<(String, Option<Class>)>,
    /// Tenants by name.
    pub tenants: Vec<(String, Option<Tenant>)>,
}

/// The value in each slot; a slot whose entry vanished keeps its old value.
fn values_by_slot<T: Clone>(slot_changes: &[SlotChange], old: &[T], new: &[T]) -> Vec<T> {
    let value_of = |(slot, change): (usize, &SlotChange)| match change {
        SlotChange::Stays(n) | SlotChange::Reassigned(n) => new[*n].clone(),
        SlotChange::Vanished => old[slot].clone(),
    };
    slot_changes.iter().enumerate().map(value_of).collect()
}

impl Hub {
    /// The settings in force; classes and tenants are in them by their slots.
    pub fn settings(&self) -> Rc<NodeSettings> {
        self.settings.borrow().clone()
    }

    /// The class of that name, if the settings have it.
    pub fn class(&self, name: &str) -> Option<Slot> {
        self.classes.borrow().find(name)
    }

    /// The tenant of that name, if the settings have it.
    pub fn tenant(&self, name: &str) -> Option<Slot> {
        self.tenants.borrow().find(name)
    }

    /// Applies new settings, all or none. Requests that were read before keep the slot of their class.
    ///
    /// # Errors
    /// The reason why they can't be used.
    pub fn new_settings(&self, mut new: NodeSettings) -> Result<(), RejectedSettings> {
        if let Some(overlay) = self.overlay.get() {
            overlay.apply(&mut new);
        }
        new.policy.check()?;
        if let Some(custody) = &self.config.operator.custody {
            custody.check_deadline(new.max_deadline)?;
        }
        let old = self.settings();
        let tenant_names = std::mem::take(&mut new.tenants);
        // How the list is obtained can't change while the node runs; that waits for the next start.
        new.policy.discovery = old.policy.discovery;
        self.figures.with(|figures| figures.set_classes(new.classes.iter().map(String::as_str)));
        let classes = self.classes.borrow_mut().replace_names(&new.classes);
        let tenants = self.tenants.borrow_mut().replace_names(&tenant_names);
        new.policy.classes = values_by_slot(&classes, &old.policy.classes, &new.policy.classes);
        new.policy.tenants = values_by_slot(&tenants, &old.policy.tenants, &new.policy.tenants);
        let are_new = |slot_changes: &[SlotChange]| {
            slot_changes.iter().map(|change| !matches!(change, SlotChange::Stays(_))).collect()
        };
        if let Some(shares) = &self.usage_shares {
            let places = self.tenants.borrow();
            let name = |slot: usize| places.name(slot).map_or_else(String::new, |name| name.to_string());
            shares.follow(&(0..new.policy.tenants.len()).map(name).collect::<Vec<_>>(), &new);
        }
        let (classes, tenants, policy) = (are_new(&classes), are_new(&tenants), new.policy.clone());
        self.settings.replace(Rc::new(new));
        self.update_core(|core, now| core.new_settings(now, policy, classes, tenants))?;
        Ok(())
    }

    /// Sets the overlay that is applied to the settings of each file. To be called once.
    pub fn set_overlay(&self, overlay: Rc<dyn Overlay>) {
        let _ = self.overlay.set(overlay);
    }

    /// Applies a change, all or nothing, at a cost that does not grow with the number of unchanged tenants.
    /// Requests that were read before keep the slots of their class and tenant.
    ///
    /// # Errors
    /// An error where the core would refuse the classes.
    pub fn change_settings(&self, change: SettingsChange) -> Result<(), SettingsError> {
        if !change.classes.is_empty() {
            // The only step that can fail comes first.
            self.change_classes(change.classes)?;
        }
        if !change.tenants.is_empty() {
            self.change_tenants(change.tenants);
        }
        Ok(())
    }

    fn change_classes(&self, changes: Vec<(String, Option<Class>)>) -> Result<(), SettingsError> {
        let old = self.settings();
        let mut new = (*old).clone();
        let value =
            |name: &String| Some((name.clone(), old.policy.classes[self.class(name)?.number].clone()));
        let mut classes: Vec<(String, Class)> = old.classes.iter().filter_map(value).collect();
        for (name, class) in changes {
            let place = classes.iter().position(|(other, _)| *other == name);
            match (class, place) {
                (Some(class), Some(place)) => classes[place].1 = class,
                (Some(class), None) => classes.push((name, class)),
                (None, Some(place)) => drop(classes.remove(place)),
                (None, None) => {}
            }
        }
        new.max_deadline = classes.iter().map(|(_, class)| class.client_timeout).fold(0.0, f64::max);
        (new.classes, new.policy.classes) = classes.into_iter().unzip();
        new.policy.check()?;
        self.figures.with(|figures| figures.set_classes(new.classes.iter().map(String::as_str)));
        let slot_changes = self.classes.borrow_mut().replace_names(&new.classes);
        new.policy.classes = values_by_slot(&slot_changes, &old.policy.classes, &new.policy.classes);
        let is_new = slot_changes.iter().map(|change| !matches!(change, SlotChange::Stays(_))).collect();
        let (policy, tenants) = (new.policy.clone(), vec![false; new.policy.tenants.len()]);
        self.settings.replace(Rc::new(new));
        self.update_core(|core, now| core.new_settings(now, policy, is_new, tenants))
    }

    fn change_tenants(&self, changes: Vec<(String, Option<Tenant>)>) {
        let changes = {
            let mut settings = self.settings.borrow_mut();
            let known = &mut Rc::make_mut(&mut settings).policy.tenants;
            let mut places = self.tenants.borrow_mut();
            let mut applied = Vec::new();
            for (name, tenant) in changes {
                let Some(tenant) = tenant else {
                    places.remove(&name);
                    continue;
                };
                let (index, is_new) = places.insert(&name);
                known.splice(index..known.len().min(index + 1), [tenant.clone()]);
                self.usage_shares.iter().for_each(|shares| shares.allow(index, &name, &tenant));
                applied.push(TenantChange { index, tenant, is_new });
            }
            applied
        };
        self.update_core(|core, now| core.change_tenants(now, changes));
    }
}
