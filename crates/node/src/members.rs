//! Membership of the other nodes: the table `members` of the operator's file, and the socket of the state
//! machine in `glenwood-members`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use glenwood_datagram::MAX_DATAGRAM_BYTES;
use glenwood_fields::{Fields, Value};
use glenwood_members::{
    Counters, Event, Id, Member, MemberInfo, Members, Secret, Settings, State, MAX_NAME_BYTES, MAX_ZONE_BYTES,
};
use glenwood_operation::figures::Metric;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::config::Config;
use crate::hub::Hub;
use crate::identity;
use crate::inspect::Part;
use crate::log;

/// How long to wait before binding an address again that another process of this node still holds.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The most datagrams that are read before due timers are handled. Reading many first keeps an answer that
/// came in time from counting as late.
const MAX_DATAGRAM_BATCH: usize = 512;
/// The most members in the report.
const MAX_REPORTED_MEMBERS: usize = 1000;

/// Membership settings of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    /// The name of the cluster.
    pub cluster: String,
    /// The file with the secret that all members share, of at least 16 bytes.
    pub secret: PathBuf,
    /// The address where this node receives datagrams.
    pub listen: SocketAddr,
    /// The address to which others send, if that is another one.
    pub address: Option<SocketAddr>,
    /// Its zone; empty where there are none.
    pub zone: String,
    /// A few members that are likely to be up, 1 to 64.
    pub seeds: Vec<SocketAddr>,
    /// The interval of its probes of other members, 20 to 10,000 ms.
    pub probe_ms: u64,
    /// The most members, 2 to 4,096.
    pub most: usize,
    /// How long a member that is gone is remembered, 10,000 to 86,400,000 ms.
    pub forget_ms: u64,
}

impl Table {
    /// Reads and checks the table.
    ///
    /// # Errors
    /// The field and the reason.
    pub fn from_fields(mut f: Fields) -> Result<Self, String> {
        let text = |v: Value| v.as_str().map(str::to_string);
        let address = |v: &Value| v.as_str().and_then(|text| text.parse().ok());
        let seeds = |value: Value| value.as_array()?.iter().map(address).collect::<Option<Vec<SocketAddr>>>();
        let seeds = |value| seeds(value).filter(|all| (1..=64).contains(&all.len()));
        let zone = |value: Value| text(value).filter(|zone| zone.len() <= MAX_ZONE_BYTES);
        let parsed = Self {
            cluster: f.text("cluster", "a name")?.unwrap_or_else(|| "glenwood".into()),
            secret: f.required("secret", "the path of a file", |v| v.as_str().map(PathBuf::from))?,
            listen: f.required("listen", "an IP address and port", |v| address(&v))?,
            address: f.address("address")?,
            zone: f
                .optional("zone", &format!("a name of {MAX_ZONE_BYTES} bytes at most"), zone)?
                .unwrap_or_default(),
            seeds: f.required("seeds", "a list of 1 to 64 IP addresses and ports", seeds)?,
            probe_ms: f.integer_within("probe_ms", 20..=10_000, 100)? as u64,
            most: f.integer_within("most", 2..=4096, 1000)?,
            forget_ms: f.integer_within("forget_ms", 10_000..=86_400_000, 600_000)? as u64,
        };
        if parsed.address.is_none() && parsed.listen.ip().is_unspecified() {
            return Err(format!(
                "{}: needed, as others can't send to {}",
                f.full_name("address"),
                parsed.listen
            ));
        }
        f.expect_empty()?;
        Ok(parsed)
    }
}

/// Observes changes of the membership.
pub trait MembershipObserver {
    /// A member joined, left or was lost, or another event occurred.
    fn on_member_event(&self, event: &Event);
    /// A datagram was received that does not belong to the membership protocol.
    fn on_datagram(&self, bytes: &[u8], from: SocketAddr);
}

/// The node's view of the other members.
pub struct Membership {
    table: Table,
    name: String,
    life: u64,
    seed: u64,
    secret: Secret,
    clock: Clock,
    /// Created once this process has bound the address.
    machine: RefCell<Option<Members>>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    observers: RefCell<Vec<Rc<dyn MembershipObserver>>>,
    open: Cell<bool>,
}

/// The report for inspection.
#[derive(Debug, Serialize)]
struct Report {
    cluster: String,
    zone: String,
    life: u64,
    address: Option<SocketAddr>,
    open: bool,
    living: usize,
    /// The number of known members in each state.
    states: BTreeMap<State, usize>,
    health: u32,
    figures: Counters,
    members: Vec<MemberInfo>,
}

impl Membership {
    /// Creates the membership from the configuration; `None` where it is off.
    ///
    /// # Errors
    /// One line with the field and the reason.
    pub fn new(config: &Config) -> Result<Option<Rc<Self>>, String> {
        let Some(table) = config.operator.members.clone() else { return Ok(None) };
        if config.name.len() > MAX_NAME_BYTES {
            return Err(format!(
                "name: {MAX_NAME_BYTES} bytes at most expected among members, not {:?}",
                config.name
            ));
        }
        let secret = identity::secret("members", &table.secret)?;
        let life = identity::unique_start_number(config.seed);
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

    /// The number that identifies this run of the node.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// Adds an observer of all events from now on.
    pub fn add_observer(&self, observer: Rc<dyn MembershipObserver>) {
        self.observers.borrow_mut().push(observer);
    }

    /// A member and its state.
    pub fn get(&self, id: Id) -> Option<(Member, State)> {
        let machine = self.machine.borrow();
        machine.as_ref()?.get(id).map(|(member, state)| (member.clone(), state))
    }

    /// Sends a datagram from this node's membership address.
    pub fn send(&self, bytes: &[u8], to: SocketAddr) {
        if let Some(socket) = &*self.socket.borrow() {
            // A datagram is dropped when the socket's buffer is full, as the network may drop it.
            let _ = socket.try_send_to(bytes, to);
        }
    }

    /// The time for the state machine.
    fn now(&self) -> u64 {
        self.clock.now() as u64
    }

    /// Creates the state machine of this node for this address.
    fn machine(&self, bound: SocketAddr) -> Result<Members, String> {
        let local_member = Member {
            name: self.name.clone(),
            start_id: self.life,
            address: self.table.address.unwrap_or(bound),
            zone: self.table.zone.clone(),
        };
        let settings = Settings {
            cluster: self.table.cluster.clone(),
            local_member,
            seeds: self.table.seeds.clone(),
            probe_ms: self.table.probe_ms,
            max_members: self.table.most,
            forget_ms: self.table.forget_ms,
        };
        // A later start has the larger incarnation, unless the clock went back: then the incarnation that
        // others report corrects it.
        let incarnation = self.clock.unix_now();
        Members::new(settings, self.secret.clone(), incarnation, self.seed ^ self.life, self.now())
    }

    /// Sends the state machine's datagrams, and logs and forwards its events.
    fn flush(&self) {
        let (mut out, mut events) = (Vec::new(), Vec::new());
        if let Some(machine) = &mut *self.machine.borrow_mut() {
            out.extend(std::iter::from_fn(|| machine.poll_transmit()));
            events.extend(std::iter::from_fn(|| machine.poll_event()));
        }
        if let Some(socket) = &*self.socket.borrow() {
            for transmit in out {
                // A datagram is dropped when the socket's buffer is full, as the network may drop it.
                let _ = socket.try_send_to(&transmit.bytes, transmit.to);
            }
        }
        for event in events {
            match &event {
                Event::Joined(m) => log::write_line(format!("members: {} joined, at {}", m.name, m.address)),
                Event::Lost(m) => {
                    log::write_line(format!("members: {} is lost, life {:016x}", m.name, m.start_id))
                }
                Event::Left(m) => log::write_line(format!("members: {} has left", m.name)),
                Event::Refuted => {}
                Event::Stalled(ms) => log::write_line(format!("members: this node stood still for {ms} ms")),
                Event::NameTaken(at) => {
                    log::write_line(format!("members: another process uses the name {}, at {at}", self.name));
                }
            }
            let observers = self.observers.borrow().clone();
            observers.iter().for_each(|observer| observer.on_member_event(&event));
        }
    }

    /// Announces that this node leaves.
    pub fn leave(&self) {
        if self.open.get() {
            let now = self.now();
            self.machine.borrow_mut().iter_mut().for_each(|machine| machine.leave(now));
            self.flush();
        }
    }

    /// Runs the protocol until this process ends, or hands its address over to another one.
    pub async fn run(self: Rc<Self>, hub: Rc<Hub>) {
        let mut logged = false;
        let socket = loop {
            match UdpSocket::bind(self.table.listen).await {
                Ok(socket) => break Rc::new(socket),
                Err(error) if !std::mem::replace(&mut logged, true) => {
                    log::write_line(format!("members: {}: {error}; trying again", self.table.listen));
                }
                Err(_) => {}
            }
            sleep(BIND_RETRY_DELAY).await;
        };
        let made = socket.local_addr().map_err(|e| e.to_string()).and_then(|bound| self.machine(bound));
        let machine = match made {
            Ok(machine) => machine,
            Err(reason) => return log::write_line(format!("members: {reason}")),
        };
        if let Ok(at) = socket.local_addr() {
            log::write_line(format!("members: listens at {at}, life {:016x}", self.life));
        }
        self.machine.replace(Some(machine));
        self.socket.replace(Some(socket.clone()));
        self.open.set(true);
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        while !hub.handed_over.get() {
            let due = self.machine.borrow().as_ref().map_or(0, |machine| machine.due());
            let wait = Duration::from_millis(due.saturating_sub(self.now()));
            tokio::select! {
                _ = socket.readable() => {}
                () = sleep(wait) => {}
            }
            for _ in 0..MAX_DATAGRAM_BATCH {
                let Ok((length, from)) = socket.try_recv_from(&mut bytes) else { break };
                if !Members::is_own(&bytes[..length]) {
                    let observers = self.observers.borrow().clone();
                    observers.iter().for_each(|observer| observer.on_datagram(&bytes[..length], from));
                    continue;
                }
                let now = self.now();
                if let Some(machine) = &mut *self.machine.borrow_mut() {
                    // Invalid datagrams are counted there, and change nothing.
                    let _ = machine.receive(now, &bytes[..length]);
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
        log::write_line("members: handed over to the other process".to_string());
    }
}

impl Part for Membership {
    fn figures(&self) -> Vec<Metric> {
        let machine = self.machine.borrow();
        let figures = machine.as_ref().map(Members::counters).unwrap_or_default();
        let living = machine.as_ref().map_or(0, |machine| machine.living().count() as u64);
        let gauge = |name, value, help| Metric { name, is_counter: false, help, value };
        let counter = |name, value, help| Metric { name, is_counter: true, help, value };
        vec![
            gauge("members_living", living, "Other nodes that are taken for living."),
            counter("members_declared", figures.declared_lost, "Nodes that this one took for lost."),
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
            address: machine.as_ref().map(|machine| machine.local_member().address),
            open: self.open.get(),
            living: machine.as_ref().map_or(0, |machine| machine.living().count()),
            states,
            health: machine.as_ref().map_or(0, Members::health),
            figures: machine.as_ref().map(Members::counters).unwrap_or_default(),
            members: all.into_iter().take(MAX_REPORTED_MEMBERS).collect(),
        };
        serde_json::to_value(report).unwrap_or_default()
    }
}
