//! Turns an offer into changes of a node's settings and of its list.

use std::collections::HashMap;

use glenwood_configuration::replica::Offer;
use glenwood_configuration::resource::{self, Effect as ResourceEffect, Server};
use glenwood_configuration::resources::Resources;
use glenwood_configuration::{Body, Key, Kind};
use glenwood_list::{ConfiguredChange, ConfiguredServer};
use glenwood_policy::{Class, Effect, Group, Tenant};
use glenwood_settings::NodeSettings;

use crate::hub::{Hub, SettingsChange};

/// The configuration file's tenants and classes that the replica has too: they apply again once they are
/// removed from the replica.
#[derive(Clone, Debug, Default)]
pub struct Base {
    tenants: HashMap<String, Tenant>,
    classes: HashMap<String, Class>,
}

/// The changes of an offer, ready to be applied.
pub struct Prepared {
    /// The changes of the settings.
    pub settings: SettingsChange,
    /// The changes of the servers.
    pub servers: Vec<ConfiguredChange>,
    /// The file's values of the resources that the replica has then.
    pub base: Base,
}

/// The class of a resource. What the resource does not say comes from the file's class of the same name, if
/// there is one.
fn class_of(class: &resource::Class, of_file: Option<&Class>) -> Class {
    let group = match of_file.map(|class| class.effect) {
        Some(Effect::Keyed { group, .. }) => group,
        // As in a file without a scope, the narrowest group is the safe choice.
        Some(Effect::Safe | Effect::Unsafe) | None => Group::Cell,
    };
    let effect = match class.effect {
        ResourceEffect::Safe => Effect::Safe,
        ResourceEffect::Keyed { memory_ms } => Effect::Keyed { group, memory: memory_ms },
        ResourceEffect::Unsafe => Effect::Unsafe,
    };
    Class {
        target_latency: class.aim_ms,
        worth: class.worth,
        late_worth: of_file.map_or(0.0, |class| class.late_worth),
        client_timeout: class.deadline_ms,
        effect,
    }
}

fn server_of(name: &str, server: &Server) -> ConfiguredServer {
    ConfiguredServer {
        name: name.to_string(),
        address: server.address,
        zone: server.zone.clone(),
        weight: server.weight,
    }
}

impl Base {
    /// Collects the file's values of the resources that the replica has.
    pub fn of(file: &NodeSettings, resources: &Resources) -> Self {
        let mut base = Self::default();
        let has = |kind: Kind, name: &String| resources.get(&Key { kind, name: name.clone() }).is_some();
        for (name, tenant) in file.tenants.iter().zip(&file.policy.tenants) {
            if has(Kind::Tenant, name) {
                base.tenants.insert(name.clone(), tenant.clone());
            }
        }
        for (name, class) in file.classes.iter().zip(&file.policy.classes) {
            if has(Kind::Class, name) {
                base.classes.insert(name.clone(), class.clone());
            }
        }
        base
    }

    /// Prepares the changes for a node that has the resources `in_force`.
    ///
    /// # Errors
    /// The reason why the offer can't be applied.
    pub fn prepare(&self, hub: &Hub, in_force: &Resources, offer: &Offer) -> Result<Prepared, String> {
        let mut prepared =
            Prepared { settings: SettingsChange::default(), servers: Vec::new(), base: self.clone() };
        let settings = hub.settings();
        for (key, entry) in &offer.changes {
            let (name, before) = (&key.name, in_force.get(key));
            let base = &mut prepared.base;
            match (entry.as_ref().map(|entry| &entry.body), key.kind) {
                (Some(Body::Tenant(tenant)), _) => {
                    if let Some(slot) = hub.tenant(name).filter(|_| before.is_none()) {
                        base.tenants.insert(name.clone(), settings.policy.tenants[slot.number].clone());
                    }
                    let tenant = Tenant { quota_per_s: tenant.quota_per_s };
                    prepared.settings.tenants.push((name.clone(), Some(tenant)));
                }
                (None, Kind::Tenant) => {
                    prepared.settings.tenants.push((name.clone(), base.tenants.remove(name)));
                }
                (Some(Body::Class(class)), _) => {
                    if let Some(slot) = hub.class(name).filter(|_| before.is_none()) {
                        base.classes.insert(name.clone(), settings.policy.classes[slot.number].clone());
                    }
                    let class = class_of(class, base.classes.get(name));
                    prepared.settings.classes.push((name.clone(), Some(class)));
                }
                (None, Kind::Class) => {
                    prepared.settings.classes.push((name.clone(), base.classes.remove(name)));
                }
                (Some(Body::Server(server)), _) => {
                    prepared.servers.push(ConfiguredChange::Put(server_of(name, server)));
                }
                (None, Kind::Server) => prepared.servers.push(ConfiguredChange::Remove(name.clone())),
                (Some(Body::Service(_)), _) | (None, Kind::Service) => {}
            }
        }
        check_deadlines(hub, &prepared.settings)?;
        Ok(prepared)
    }
}

/// Checks that guarded works are retained for longer than the longest deadline, as at the start.
fn check_deadlines(hub: &Hub, change: &SettingsChange) -> Result<(), String> {
    let Some(custody) = &hub.config.operator.custody else { return Ok(()) };
    for (name, class) in &change.classes {
        let deadline = class.as_ref().map_or(0.0, |class| class.client_timeout);
        custody.check_deadline(deadline).map_err(|e| format!("class {name}: {e}"))?;
    }
    Ok(())
}

/// Applies the tenants and classes of the replica to the settings of a file.
pub fn apply_resources(settings: &mut NodeSettings, resources: &Resources) {
    let index_by_name = |names: &[String]| -> HashMap<String, usize> {
        names.iter().enumerate().map(|(index, name)| (name.clone(), index)).collect()
    };
    let (tenants, classes) = (index_by_name(&settings.tenants), index_by_name(&settings.classes));
    for (key, entry) in resources.iter() {
        match &entry.body {
            Body::Tenant(tenant) => {
                let tenant = Tenant { quota_per_s: tenant.quota_per_s };
                match tenants.get(&key.name) {
                    Some(index) => settings.policy.tenants[*index] = tenant,
                    None => {
                        settings.tenants.push(key.name.clone());
                        settings.policy.tenants.push(tenant);
                    }
                }
            }
            Body::Class(class) => match classes.get(&key.name) {
                Some(index) => {
                    let of_file = &settings.policy.classes[*index];
                    settings.policy.classes[*index] = class_of(class, Some(of_file));
                }
                None => {
                    settings.classes.push(key.name.clone());
                    settings.policy.classes.push(class_of(class, None));
                }
            },
            Body::Service(_) | Body::Server(_) => {}
        }
    }
    let deadlines = settings.policy.classes.iter().map(|class| class.client_timeout);
    settings.max_deadline = deadlines.fold(0.0, f64::max);
}
