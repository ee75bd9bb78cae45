//! Which other nodes there are: the table `members` of the operator's file, and the socket round the machine of
//! `glenwood-members`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use glenwood_datagram::LONGEST;
use glenwood_fields::{Fields, Value};
use glenwood_members::{
    Event, Figures, Id, Member, Members, Secret, Settings, Shown, State, NAME_MOST, ZONE_MOST,
};
use glenwood_operation::figures::Figure;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::config::Config;
use crate::hub::Hub;
use crate::identity;
use crate::inspect::Part;
use crate::log;

/// How often an address is tried that another process of this node still has.
const BIND_AGAIN: Duration = Duration::from_millis(100);
/// How many datagrams are read before what is due is done: what came in time must not seem late.
const BURST: usize = 512;
/// How many members are shown.
const SHOWN: usize = 1000;

/// What the operator's file says of membership.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    /// Whose members these are.
    pub cluster: String,
    /// The file of the secret that all have in common, 16 bytes at the least.
    pub secret: PathBuf,
    /// Where this node takes datagrams.
    pub listen: SocketAddr,
    /// Where others send to it, if that is another address.
    pub address: Option<SocketAddr>,
    /// Its zone; empty where there are none.
    pub zone: String,
    /// A few members that are likely to be there, 1 to 64.
    pub seeds: Vec<SocketAddr>,
    /// How often it probes another one, 20 to 10,000 ms.
    pub probe_ms: u64,
    /// The most members, 2 to 4,096.
    pub most: usize,
    /// How long one that is gone is remembered, 10,000 to 86,400,000 ms.
    pub forget_ms: u64,
}

impl Table {
    /// Reads the table.
    ///
    /// # Errors
    /// The field and the reason.
    pub fn from_fields(mut f: Fields) -> Result<Self, String> {
        let text = |v: Value| v.as_str().map(str::to_string);
        let address = |v: &Value| v.as_str().and_then(|text| text.parse().ok());
        let seeds = |value: Value| value.as_array()?.iter().map(address).collect::<Option<Vec<SocketAddr>>>();
        let seeds = |value| seeds(value).filter(|all| (1..=64).contains(&all.len()));
        let zone = |value: Value| text(value).filter(|zone| zone.len() <= ZONE_MOST);
        let taken = Self {
            cluster: f.text("cluster", "a name")?.unwrap_or_else(|| "glenwood".into()),
            secret: f.need("secret", "the path of a file", |v| v.as_str().map(PathBuf::from))?,
            listen: f.need("listen", "an IP address and port", |v| address(&v))?,
            address: f.address("address")?,
            zone: f.take("zone", &format!("a name of {ZONE_MOST} bytes at most"), zone)?.unwrap_or_default(),
            seeds: f.need("seeds", "a list of 1 to 64 IP addresses and ports", seeds)?,
            probe_ms: f.within("probe_ms", 20..=10_000, 100)? as u64,
            most: f.within("most", 2..=4096, 1000)?,
            forget_ms: f.within("forget_ms", 10_000..=86_400_000, 600_000)? as u64,
        };
        if taken.address.is_none() && taken.listen.ip().is_unspecified() {
            return Err(format!("{}: needed, as others can't send to {}", f.name("address"), taken.listen));
        }
        f.end()?;
        Ok(taken)
    }
}

/// Whoever wants to know what happens to members.
pub trait MembershipObserver {
    /// This happened.
    fn on_member_event(&self, event: &Event);
    /// A datagram came that is not membership's own.
    fn on_datagram(&self, bytes: &[u8], from: SocketAddr);
}

/// What the node knows of the others.
pub struct Membership {
    table: Table,
    name: String,
    life: u64,
    seed: u64,
    secret: Secret,
    clock: Clock,
    /// Made once the address is this process's.
    machine: RefCell<Option<Members>>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    observers: RefCell<Vec<Rc<dyn MembershipObserver>>>,
    open: Cell<bool>,
}

/// All that is shown.
#[derive(Debug, Serialize)]
struct Report {
    cluster: String,
    zone: String,
    life: u64,
    address: Option<SocketAddr>,
    open: bool,
    living: usize,
    /// By the states of those that are known.
    states: BTreeMap<State, usize>,
    health: u32,
    figures: Figures,
    members: Vec<Shown>,
}

impl Membership {
    /// What the configuration says of it; `None` where it is off.
    ///
    /// # Errors
    /// One line: field and reason.
    pub fn new(config: &Config) -> Result<Option<Rc<Self>>, String> {
        let Some(table) = config.operator.members.clone() else { return Ok(None) };
        if config.name.len() > NAME_MOST {
            return Err(format!(
                "name: {NAME_MOST} bytes at most expected among members, not {:?}",
                config.name
            ));
        }
        let secret = identity::secret("members", &table.secret)?;
        let life = identity::life(config.seed);
        Ok(Some(Rc::new(Self {
            table,
            name: config.name.clone(),
            life,
            seed: config.seed,
            secret,
            clock: Clock::default(),
            machine: RefCell::default(),
            socket: RefCell::default(),
            observers: RefCell::default(),
            open: Cell::new(false),
        })))
    }

    /// The number of this process's life.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// Tells this one of all that happens from now on.
    pub fn tell(&self, observer: Rc<dyn MembershipObserver>) {
        self.observers.borrow_mut().push(observer);
    }

    /// A member, and how it is.
    pub fn get(&self, id: Id) -> Option<(Member, State)> {
        let machine = self.machine.borrow();
        machine.as_ref()?.get(id).map(|(member, state)| (member.clone(), state))
    }

    /// Sends something from this node's address.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) {
        if let Some(socket) = &*self.socket.borrow() {
            // A full socket loses it, as the network may.
            let _ = socket.try_send_to(bytes, to);
        }
    }

    /// The time that the machine goes by.
    fn now(&self) -> u64 {
        self.clock.now() as u64
    }

    /// The machine of this node at this address.
    fn machine(&self, bound: SocketAddr) -> Result<Members, String> {
        let me = Member {
            name: self.name.clone(),
            life: self.life,
            address: self.table.address.unwrap_or(bound),
            zone: self.table.zone.clone(),
        };
        let settings = Settings {
            cluster: self.table.cluster.clone(),
            me,
            seeds: self.table.seeds.clone(),
            probe_ms: self.table.probe_ms,
            most: self.table.most,
            forget_ms: self.table.forget_ms,
        };
        // A later start has the larger number, unless the clock went back: then the others' word sets it right.
        let incarnation = self.clock.unix_now();
        Members::new(settings, self.secret.clone(), incarnation, self.seed ^ self.life, self.now())
    }

    /// Sends what the machine has to send, and tells what happened.
    fn flush(&self) {
        let (mut out, mut events) = (Vec::new(), Vec::new());
        if let Some(machine) = &mut *self.machine.borrow_mut() {
            out.extend(std::iter::from_fn(|| machine.poll_transmit()));
            events.extend(std::iter::from_fn(|| machine.poll_event()));
        }
        if let Some(socket) = &*self.socket.borrow() {
            for transmit in out {
                // A full socket loses it, as the network may.
                let _ = socket.try_send_to(&transmit.bytes, transmit.to);
            }
        }
        for event in events {
            match &event {
                Event::Joined(m) => log::line(format!("members: {} is there, at {}", m.name, m.address)),
                Event::Lost(m) => log::line(format!("members: {} is lost, life {:016x}", m.name, m.life)),
                Event::Left(m) => log::line(format!("members: {} has left", m.name)),
                Event::Refuted => {}
                Event::Stalled(ms) => log::line(format!("members: this node stood still for {ms} ms")),
                Event::NameTaken(at) => {
                    log::line(format!("members: another process goes by the name {}, at {at}", self.name));
                }
            }
            let observers = self.observers.borrow().clone();
            observers.iter().for_each(|observer| observer.on_member_event(&event));
        }
    }

    /// Says that this node goes.
    pub fn leave(&self) {
        if self.open.get() {
            let now = self.now();
            self.machine.borrow_mut().iter_mut().for_each(|machine| machine.leave(now));
            self.flush();
        }
    }

    /// Takes part until this process ends, or leaves its address to another one.
    pub async fn run(self: Rc<Self>, hub: Rc<Hub>) {
        let mut said = false;
        let socket = loop {
            match UdpSocket::bind(self.table.listen).await {
                Ok(socket) => break Rc::new(socket),
                Err(error) if !std::mem::replace(&mut said, true) => {
                    log::line(format!("members: {}: {error}; tried again", self.table.listen));
                }
                Err(_) => {}
            }
            sleep(BIND_AGAIN).await;
        };
        let made = socket.local_addr().map_err(|e| e.to_string()).and_then(|bound| self.machine(bound));
        let machine = match made {
            Ok(machine) => machine,
            Err(words) => return log::line(format!("members: {words}")),
        };
        if let Ok(at) = socket.local_addr() {
            log::line(format!("members: listens at {at}, life {:016x}", self.life));
        }
        self.machine.replace(Some(machine));
        self.socket.replace(Some(socket.clone()));
        self.open.set(true);
        let mut bytes = [0; LONGEST + 1];
        while !hub.leaving.get() {
            let due = self.machine.borrow().as_ref().map_or(0, |machine| machine.due());
            let wait = Duration::from_millis(due.saturating_sub(self.now()));
            tokio::select! {
                _ = socket.readable() => {}
                () = sleep(wait) => {}
            }
            for _ in 0..BURST {
                let Ok((length, from)) = socket.try_recv_from(&mut bytes) else { break };
                if !Members::is_own(&bytes[..length]) {
                    let observers = self.observers.borrow().clone();
                    observers.iter().for_each(|observer| observer.on_datagram(&bytes[..length], from));
                    continue;
                }
                let now = self.now();
                if let Some(machine) = &mut *self.machine.borrow_mut() {
                    // What can't be believed is counted there, and changes nothing.
                    let _ = machine.hear(now, &bytes[..length]);
                }
            }
            let now = self.now();
            if let Some(machine) = self.machine.borrow_mut().as_mut().filter(|machine| machine.due() <= now) {
                machine.tick(now);
            }
            self.flush();
        }
        self.open.set(false);
        self.socket.replace(None);
        log::line("members: left to the other process".to_string());
    }
}

impl Part for Membership {
    fn figures(&self) -> Vec<Figure> {
        let machine = self.machine.borrow();
        let figures = machine.as_ref().map(Members::figures).unwrap_or_default();
        let living = machine.as_ref().map_or(0, |machine| machine.living().count() as u64);
        let gauge = |name, value, help| Figure { name, counts: false, help, value };
        let counter = |name, value, help| Figure { name, counts: true, help, value };
        vec![
            gauge("members_living", living, "Other nodes that are taken for living."),
            counter("members_declared", figures.declared, "Nodes that this one took for lost."),
            counter("members_refuted", figures.refuted, "Suspicions of this node that it refuted."),
            counter("members_stalls", figures.stalls, "Times that this node stood still."),
            counter("members_refused", figures.refused, "Datagrams that were turned down."),
            counter("members_sent", figures.sent, "Datagrams sent."),
            counter("members_sent_bytes", figures.sent_bytes, "Bytes of those."),
        ]
    }

    fn name(&self) -> &'static str {
        "members"
    }

    fn report(&self) -> serde_json::Value {
        let machine = self.machine.borrow();
        let all = machine.as_ref().map_or(Vec::new(), Members::all);
        let mut states: BTreeMap<State, usize> = BTreeMap::new();
        all.iter().for_each(|shown| *states.entry(shown.state).or_default() += 1);
        let report = Report {
            cluster: self.table.cluster.clone(),
            zone: self.table.zone.clone(),
            life: self.life,
            address: machine.as_ref().map(|machine| machine.me().address),
            open: self.open.get(),
            living: machine.as_ref().map_or(0, |machine| machine.living().count()),
            states,
            health: machine.as_ref().map_or(0, Members::health),
            figures: machine.as_ref().map(Members::figures).unwrap_or_default(),
            members: all.into_iter().take(SHOWN).collect(),
        };
        serde_json::to_value(report).unwrap_or_default()
    }
}
