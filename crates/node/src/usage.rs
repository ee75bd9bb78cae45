//! Tenants' usage over all nodes: the socket round the machine of `glenwood-usage`, and who asks it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use glenwood_policy::Tenant;
use glenwood_settings::NodeSettings;
use glenwood_usage::wire::LONGEST;
use glenwood_usage::{Boot, Datagram, Explained, Key, Peers, Share, Usage};
use serde::Serialize;
use sha2::{Digest, Sha256};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::config::Config;
use crate::hub::Hub;
use crate::identity;
use crate::log;

/// How often an address is tried that another process of this node still has.
const BIND_AGAIN: Duration = Duration::from_millis(100);
/// How many tenants are shown.
const SHOWN: usize = 100;

/// What the node has of all tenants' allowances.
pub struct Shares {
    machine: RefCell<Usage>,
    /// The names and handles of tenants, by their places.
    tenants: RefCell<Vec<(String, usize)>>,
    window_ms: u64,
    /// The address is this process's: another one of the same node may be spending what is here.
    open: Cell<bool>,
    listen: SocketAddr,
    instances: Vec<(String, SocketAddr)>,
}

/// What a tenant is called by all nodes.
fn key_of(tenant: &str) -> Key {
    let digest = Sha256::new().chain_update(b"requests\0").chain_update(tenant).finalize();
    Key(digest.iter().take(8).fold(0, |key, byte| key << 8 | u64::from(*byte)))
}

/// One tenant, for who inspects.
#[derive(Debug, Serialize)]
pub struct Shown {
    name: String,
    #[serde(flatten)]
    share: Share,
    at: Vec<Explained>,
}

/// All that is shown.
#[derive(Debug, Serialize)]
pub struct Report {
    instances: Vec<String>,
    window: u64,
    window_ms: u64,
    /// Whether it has its own part of this window.
    own_part: bool,
    tenants: Vec<Shown>,
    peers: Vec<Peers>,
    refused: u64,
}

impl Shares {
    /// What the configuration says of it; `None` where it is off.
    ///
    /// # Errors
    /// One line: field and reason.
    pub fn new(config: &Config, now: u64) -> Result<Option<Self>, String> {
        let Some(told) = &config.operator.usage else { return Ok(None) };
        let number = told.instances.iter().position(|(name, _)| *name == config.name);
        let number = number.ok_or_else(|| format!("usage.instance: {} is not among them", config.name))?;
        let secret = identity::secret("usage", &told.secret)?;
        let machine = Usage::new(told.settings(number), secret, Boot(identity::life(config.seed)), now)
            .map_err(|words| format!("usage.{words}"))?;
        let shares = Self {
            machine: RefCell::new(machine),
            tenants: RefCell::default(),
            window_ms: told.window_ms,
            open: Cell::new(false),
            listen: told.listen.unwrap_or(told.instances[number].1),
            instances: told.instances.clone(),
        };
        Ok(Some(shares))
    }

    /// The tenants that there are, by their places, and what they are allowed.
    pub fn follow(&self, names: &[String], settings: &NodeSettings) {
        let mut machine = self.machine.borrow_mut();
        let one = |(name, tenant): (&String, &Tenant)| {
            let allowed = tenant.quota_per_s * self.window_ms as f64 / 1000.0;
            (name.clone(), machine.allow(key_of(name), allowed.clamp(0.0, f64::from(u32::MAX)) as u32))
        };
        let all = names.iter().zip(&settings.policy.tenants).map(one).collect();
        self.tenants.replace(all);
    }

    /// The tenant at this place, which is there already or is the next one, is allowed this much.
    pub fn allow(&self, place: usize, name: &str, tenant: &Tenant) {
        let allowed = tenant.quota_per_s * self.window_ms as f64 / 1000.0;
        let allowed = allowed.clamp(0.0, f64::from(u32::MAX)) as u32;
        let handle = self.machine.borrow_mut().allow(key_of(name), allowed);
        let mut tenants = self.tenants.borrow_mut();
        let end = tenants.len().min(place + 1);
        tenants.splice(place..end, [(name.to_string(), handle)]);
    }

    /// Counts a request of the tenant at this place: is it within its share? `None` where this process does not count.
    pub fn within(&self, tenant: usize) -> Option<bool> {
        let handle = self.tenants.borrow().get(tenant)?.1;
        self.open.get().then(|| self.machine.borrow_mut().spend(&[(handle, 1)]))
    }

    /// What there is to be seen of it.
    pub fn report(&self) -> Report {
        let (machine, tenants) = (self.machine.borrow(), self.tenants.borrow());
        let top = machine.top(SHOWN);
        // One walk over the tenants, of whom there may be very many.
        let mut names: BTreeMap<usize, &str> = top.iter().map(|(handle, _)| (*handle, "")).collect();
        for (name, handle) in tenants.iter() {
            names.entry(*handle).and_modify(|shown| *shown = name);
        }
        let shown = |(handle, share): (usize, Share)| Shown {
            name: names[&handle].to_string(),
            at: machine.explain(handle),
            share,
        };
        Report {
            instances: self.instances.iter().map(|(name, _)| name.clone()).collect(),
            window: machine.window(),
            window_ms: self.window_ms,
            own_part: machine.holds_own(),
            tenants: top.iter().cloned().map(shown).collect(),
            peers: machine.peers(),
            refused: machine.refused,
        }
    }

    /// Gives the address up: another process of this node may count from now on.
    pub fn close(&self) {
        self.open.set(false);
    }
}

/// Speaks with the other nodes until this process is told to end and another takes what comes.
pub async fn share(hub: Rc<Hub>, shares: Rc<Shares>) {
    let mut said = false;
    let socket = loop {
        match UdpSocket::bind(shares.listen).await {
            Ok(socket) => break socket,
            Err(error) if !std::mem::replace(&mut said, true) => {
                log::line(format!("usage: {}: {error}; tried again", shares.listen));
            }
            Err(_) => {}
        }
        sleep(BIND_AGAIN).await;
    };
    let at = socket.local_addr().unwrap_or(shares.listen);
    log::line(format!("usage: counted with {} nodes at {at}", shares.instances.len()));
    shares.open.set(true);
    let (mut bytes, mut out) = ([0; LONGEST + 1], Vec::new());
    while !hub.leaving.get() {
        let due = Duration::from_millis(shares.machine.borrow().due_in());
        tokio::select! {
            came = socket.recv_from(&mut bytes) => {
                // An error tells of a datagram that reached nobody; that node is not there yet.
                if let Ok((length, _)) = came {
                    // What can't be believed is counted there, and changes nothing.
                    let _ = shares.machine.borrow_mut().hear(&bytes[..length], &mut out);
                }
            }
            () = sleep(due) => {}
        }
        shares.machine.borrow_mut().tick(hub.clock.unix_now(), &mut out);
        for Datagram { to, bytes } in out.drain(..) {
            // A full socket loses it, as the network may.
            let _ = socket.try_send_to(&bytes, shares.instances[to].1);
        }
    }
    shares.close();
    log::line("usage: left to the other process".to_string());
}
