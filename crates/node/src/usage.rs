//! Tenants' usage over all nodes: the socket of the state machine in `glenwood-usage`, and the calls of the
//! hub to it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use glenwood_policy::Tenant;
use glenwood_settings::NodeSettings;
use glenwood_usage::wire::MAX_DATAGRAM_BYTES;
use glenwood_usage::{Datagram, Key, KeyUsage, PeerKeyUsage, PeerStatus, RunId, Usage};
use serde::Serialize;
use sha2::{Digest, Sha256};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::config::Config;
use crate::hub::Hub;
use crate::identity;
use crate::log;

/// How long to wait before binding an address again that another process of this node still holds.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The most tenants in the report.
const MAX_REPORTED_TENANTS: usize = 100;

/// The node's shares of all tenants' allowances.
pub struct Shares {
    machine: RefCell<Usage>,
    /// The names and handles of tenants, by their slots.
    tenants: RefCell<Vec<(String, usize)>>,
    window_ms: u64,
    /// This process has bound the address, and so counts; before that another process of the node may be
    /// spending its shares.
    open: Cell<bool>,
    listen: SocketAddr,
    instances: Vec<(String, SocketAddr)>,
}

/// The key of a tenant, the same on all nodes.
fn key_of(tenant: &str) -> Key {
    let digest = Sha256::new().chain_update(b"requests\0").chain_update(tenant).finalize();
    Key(digest.iter().take(8).fold(0, |key, byte| key << 8 | u64::from(*byte)))
}

/// One tenant in the report.
#[derive(Debug, Serialize)]
pub struct Shown {
    name: String,
    #[serde(flatten)]
    share: KeyUsage,
    at: Vec<PeerKeyUsage>,
}

/// The report for inspection.
#[derive(Debug, Serialize)]
pub struct Report {
    instances: Vec<String>,
    window: u64,
    window_ms: u64,
    /// Whether the node has its own part of this window.
    own_part: bool,
    tenants: Vec<Shown>,
    peers: Vec<PeerStatus>,
    refused: u64,
}

impl Shares {
    /// Creates the shares from the configuration; `None` where they are off.
    ///
    /// # Errors
    /// One line with the field and the reason.
    pub fn new(config: &Config, now: u64) -> Result<Option<Self>, String> {
        let Some(table) = &config.operator.usage else { return Ok(None) };
        let number = table.instances.iter().position(|(name, _)| *name == config.name);
        let number = number.ok_or_else(|| format!("usage.instance: {} is not among them", config.name))?;
        let secret = identity::secret("usage", &table.secret)?;
        let machine = Usage::new(
            table.settings(number),
            secret,
            RunId(identity::unique_start_number(config.seed)),
            now,
        )
        .map_err(|reason| format!("usage.{reason}"))?;
        let shares = Self {
            machine: RefCell::new(machine),
            tenants: RefCell::default(),
            window_ms: table.window_ms,
            open: Cell::new(false),
            listen: table.listen.unwrap_or(table.instances[number].1),
            instances: table.instances.clone(),
        };
        Ok(Some(shares))
    }

    /// Sets all tenants, by their slots, with their allowances.
    pub fn follow(&self, names: &[String], settings: &NodeSettings) {
        let mut machine = self.machine.borrow_mut();
        let add_tenant = |(name, tenant): (&String, &Tenant)| {
            let allowed = tenant.quota_per_s * self.window_ms as f64 / 1000.0;
            (
                name.clone(),
                machine.set_allowance(key_of(name), allowed.clamp(0.0, f64::from(u32::MAX)) as u32),
            )
        };
        let all = names.iter().zip(&settings.policy.tenants).map(add_tenant).collect();
        self.tenants.replace(all);
    }

    /// Sets the allowance of the tenant in this slot, which exists already or is the next one.
    pub fn allow(&self, slot: usize, name: &str, tenant: &Tenant) {
        let allowed = tenant.quota_per_s * self.window_ms as f64 / 1000.0;
        let allowed = allowed.clamp(0.0, f64::from(u32::MAX)) as u32;
        let handle = self.machine.borrow_mut().set_allowance(key_of(name), allowed);
        let mut tenants = self.tenants.borrow_mut();
        let end = tenants.len().min(slot + 1);
        tenants.splice(slot..end, [(name.to_string(), handle)]);
    }

    /// Counts a request of the tenant in this slot: is it within the node's share? `None` where this
    /// process does not count.
    pub fn count_request(&self, tenant: usize) -> Option<bool> {
        let handle = self.tenants.borrow().get(tenant)?.1;
        self.open.get().then(|| self.machine.borrow_mut().spend(&[(handle, 1)]))
    }

    /// The report for inspection.
    pub fn report(&self) -> Report {
        let (machine, tenants) = (self.machine.borrow(), self.tenants.borrow());
        let top = machine.top_keys(MAX_REPORTED_TENANTS);
        // Looks the names up in one pass over the tenants, of whom there may be very many.
        let mut names: BTreeMap<usize, &str> = top.iter().map(|(handle, _)| (*handle, "")).collect();
        for (name, handle) in tenants.iter() {
            names.entry(*handle).and_modify(|shown| *shown = name);
        }
        let shown = |(handle, share): (usize, KeyUsage)| Shown {
            name: names[&handle].to_string(),
            at: machine.peer_key_usage(handle),
            share,
        };
        Report {
            instances: self.instances.iter().map(|(name, _)| name.clone()).collect(),
            window: machine.window(),
            window_ms: self.window_ms,
            own_part: machine.owns_part(),
            tenants: top.iter().cloned().map(shown).collect(),
            peers: machine.peers(),
            refused: machine.rejected,
        }
    }

    /// Stops counting: another process of this node may count from now on.
    pub fn close(&self) {
        self.open.set(false);
    }
}

/// Exchanges usage with the other nodes until this process is told to end and another takes over.
pub async fn share(hub: Rc<Hub>, shares: Rc<Shares>) {
    let mut logged = false;
    let socket = loop {
        match UdpSocket::bind(shares.listen).await {
            Ok(socket) => break socket,
            Err(error) if !std::mem::replace(&mut logged, true) => {
                log::write_line(format!("usage: {}: {error}; trying again", shares.listen));
            }
            Err(_) => {}
        }
        sleep(BIND_RETRY_DELAY).await;
    };
    let at = socket.local_addr().unwrap_or(shares.listen);
    log::write_line(format!("usage: counted with {} nodes at {at}", shares.instances.len()));
    shares.open.set(true);
    let (mut bytes, mut out) = ([0; MAX_DATAGRAM_BYTES + 1], Vec::new());
    while !hub.handed_over.get() {
        let due = Duration::from_millis(shares.machine.borrow().ms_until_tick());
        tokio::select! {
            came = socket.recv_from(&mut bytes) => {
                // An error reports a datagram that reached nobody: that node is not up yet.
                if let Ok((length, _)) = came {
                    // Invalid datagrams are counted there, and change nothing.
                    let _ = shares.machine.borrow_mut().receive(&bytes[..length], &mut out);
                }
            }
            () = sleep(due) => {}
        }
        shares.machine.borrow_mut().tick(hub.clock.unix_now(), &mut out);
        for Datagram { to, bytes } in out.drain(..) {
            // A datagram is dropped when the socket's buffer is full, as the network may drop it.
            let _ = socket.try_send_to(&bytes, shares.instances[to].1);
        }
    }
    shares.close();
    log::write_line("usage: handed over to the other process".to_string());
}
