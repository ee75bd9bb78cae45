//! Clients, followers, registrars and views at the test ensemble, in virtual time.
#![allow(dead_code)]

use std::collections::BTreeMap;

use bytes::Bytes;
use glenwood_coordination::follow::Follower;
use glenwood_coordination::guard;
use glenwood_coordination::machine::{Machine, Step};
use glenwood_coordination::proto::{Acl, Code, Mode, Request, Response};
use glenwood_coordination::registrar::Registrar;
use glenwood_coordination::session::{Event, RequestError, Session, Settings};
use glenwood_coordination::view::{self, Answers, View};
use glenwood_list::ListEntry;
use glenwood_testkit::coordination::ensemble::{ConnId, Ensemble};
use glenwood_testkit::coordination::tree::Tree;

pub const MEMBERS: usize = 3;
pub const TIMEOUT: f64 = 2000.0;

/// A state machine connected to the ensemble, and the events that it produced, in order.
pub struct Connected<M: Machine> {
    pub machine: M,
    conn: Option<ConnId>,
    pub events: Vec<M::Event>,
    /// Nothing passes between the machine and the service, in either direction.
    pub cut: bool,
}

impl<M: Machine> Connected<M> {
    fn new(machine: M) -> Self {
        Self { machine, conn: None, events: Vec::new(), cut: false }
    }

    /// Exchanges pending data with the ensemble; returns whether there was any.
    fn step(&mut self, now: f64, ensemble: &mut Ensemble, connects: &mut usize) -> bool {
        let mut progressed = false;
        while let Some(step) = self.machine.poll() {
            progressed = true;
            match step {
                // The connection attempt hangs until the machine gives up.
                Step::Connect(_) if self.cut => {}
                Step::Connect(member) => {
                    *connects += 1;
                    self.conn = ensemble.open(member);
                    match self.conn {
                        Some(_) => self.machine.connected(now),
                        None => self.machine.disconnected(now),
                    }
                }
                Step::Disconnect => self.conn.take().into_iter().for_each(|conn| ensemble.close(conn)),
                Step::Event(event) => self.events.push(event),
            }
        }
        let Some(conn) = self.conn.filter(|_| !self.cut) else { return progressed };
        let out = self.machine.output();
        if !out.is_empty() {
            progressed = true;
            ensemble.received(now, conn, &out);
        }
        let input = ensemble.output(conn);
        if !input.is_empty() {
            progressed = true;
            self.machine.received(now, &input);
        }
        if self.conn.is_some() && ensemble.is_closed(conn) {
            progressed = true;
            self.conn = None;
            ensemble.close(conn);
            self.machine.disconnected(now);
        }
        progressed
    }

    /// Disconnects without ending the session.
    fn disconnect(self, ensemble: &mut Ensemble) {
        self.conn.into_iter().for_each(|conn| ensemble.close(conn));
    }

    /// The member that the machine is connected to.
    pub fn member(&self, ensemble: &Ensemble) -> Option<usize> {
        ensemble.member_of(self.conn?)
    }

    /// The state of the service that the machine can see now.
    pub fn visible_tree<'a>(&self, ensemble: &'a Ensemble) -> Option<&'a Tree> {
        ensemble.visible_tree(self.conn.filter(|_| !self.cut)?)
    }

    pub fn take_events(&mut self) -> Vec<M::Event> {
        std::mem::take(&mut self.events)
    }
}

pub type Client = Connected<Session<&'static str>>;
pub type ConnectedFollower = Connected<Follower>;

pub struct World {
    pub now: f64,
    pub ensemble: Ensemble,
    pub clients: BTreeMap<u64, Client>,
    pub followers: Vec<ConnectedFollower>,
    pub registrars: BTreeMap<u64, Connected<Registrar>>,
    pub views: Vec<Connected<View>>,
    pub connects: usize,
    members: usize,
}

impl World {
    pub fn new(members: usize) -> Self {
        Self {
            now: 0.0,
            ensemble: Ensemble::new(members),
            clients: BTreeMap::new(),
            followers: Vec::new(),
            registrars: BTreeMap::new(),
            views: Vec::new(),
            connects: 0,
            members,
        }
    }

    pub fn settings(&self, seed: u64) -> Settings {
        Settings { members: self.members, timeout: TIMEOUT, seed }
    }

    pub fn add_client(&mut self, id: u64) {
        let session = Session::new(self.now, self.settings(id));
        self.clients.insert(id, Connected::new(session));
    }

    /// Adds a follower of `/servers`.
    pub fn add_follower(&mut self, seed: u64, full_read_interval: f64) {
        let follower = Follower::new(self.now, self.settings(seed), "/servers", full_read_interval);
        self.followers.push(Connected::new(follower));
    }

    /// Adds a node's view of `/servers`.
    pub fn add_view(&mut self, seed: u64, guard: Option<guard::Settings>, answers: Answers) {
        let settings = view::Settings {
            session: self.settings(seed),
            path: "/servers".into(),
            relist_interval: 60_000.0,
            guard,
            suspect_ms: 10_000.0,
        };
        let view = View::new(self.now, settings, answers).expect("valid settings");
        self.views.push(Connected::new(view));
    }

    /// Starts a server's registrar. A previous one with the same id is disconnected without ending its
    /// session.
    pub fn add_registrar(&mut self, id: u64, host: ListEntry) {
        let settings = self.settings(id);
        self.add_registrar_with(id, host, settings);
    }

    pub fn add_registrar_with(&mut self, id: u64, host: ListEntry, settings: Settings) {
        let registrar = Registrar::new(self.now, settings, "/servers", host);
        if let Some(old) = self.registrars.insert(id, Connected::new(registrar)) {
            old.disconnect(&mut self.ensemble);
        }
    }

    /// Ends a process without ending its session.
    pub fn crash(&mut self, id: u64) {
        self.clients.remove(&id).into_iter().for_each(|c| c.disconnect(&mut self.ensemble));
        self.registrars.remove(&id).into_iter().for_each(|r| r.disconnect(&mut self.ensemble));
    }

    pub fn send_request(&mut self, id: u64, name: &'static str, request: Request) {
        let now = self.now;
        self.clients.get_mut(&id).expect("the client exists").machine.submit(now, name, request);
    }

    /// Exchanges data and connections until nothing more happens at the current time.
    pub fn settle(&mut self) {
        for _ in 0..10_000 {
            let mut progressed = false;
            let (now, ensemble, connects) = (self.now, &mut self.ensemble, &mut self.connects);
            self.clients.values_mut().for_each(|c| progressed |= c.step(now, ensemble, connects));
            self.followers.iter_mut().for_each(|f| progressed |= f.step(now, ensemble, connects));
            self.registrars.values_mut().for_each(|r| progressed |= r.step(now, ensemble, connects));
            self.views.iter_mut().for_each(|v| progressed |= v.step(now, ensemble, connects));
            if !progressed {
                return;
            }
        }
        panic!("the exchange does not come to an end");
    }

    /// Advances the time; `react` is called after every moment at which something happened.
    pub fn advance(&mut self, span: f64, mut react: impl FnMut(&mut Self)) {
        let until = self.now + span;
        self.settle();
        react(self);
        self.settle();
        loop {
            let due = self.clients.values().filter_map(|c| c.machine.poll_timeout());
            let due = due.chain(self.followers.iter().filter_map(|f| Machine::poll_timeout(&f.machine)));
            let due = due.chain(self.registrars.values().filter_map(|r| r.machine.poll_timeout()));
            let due = due.chain(self.views.iter().filter_map(|v| v.machine.poll_timeout()));
            let due = due.chain(self.ensemble.poll_timeout()).min_by(f64::total_cmp);
            let Some(due) = due.filter(|due| *due <= until) else { break };
            self.now = due.max(self.now);
            self.ensemble.handle_timeout(self.now);
            let now = self.now;
            self.clients.values_mut().for_each(|c| c.machine.handle_timeout(now));
            self.followers.iter_mut().for_each(|f| f.machine.handle_timeout(now));
            self.registrars.values_mut().for_each(|r| r.machine.handle_timeout(now));
            self.views.iter_mut().for_each(|v| v.machine.handle_timeout(now));
            self.settle();
            react(self);
            self.settle();
        }
        self.now = until;
    }
}

pub fn create(path: &str, ephemeral: bool) -> Request {
    let mode = Mode { ephemeral, sequential: false };
    Request::Create { path: path.into(), data: Bytes::new(), acl: Acl::world_all(), mode, stat: false }
}

/// Behaves as a registrar: registers with each new session, and again if the old znode still exists.
pub fn register(world: &mut World, id: u64) {
    let Some(client) = world.clients.get_mut(&id) else { return };
    let path = format!("/servers/s{id}");
    for event in client.take_events() {
        match event {
            Event::Established { new: true } => world.send_request(id, "register", create(&path, true)),
            // The request may or may not have been executed; repeating it gives the answer.
            Event::Answer(
                "register" | "renew",
                Err(RequestError::ConnectionLost | RequestError::NotSent),
            ) => {
                world.clients.get_mut(&id).expect("the client exists").events.push(event);
                if world.clients[&id].machine.is_connected() {
                    world.clients.get_mut(&id).expect("the client exists").events.pop();
                    world.send_request(id, "register", create(&path, true));
                }
                return;
            }
            Event::Answer("register", Err(RequestError::Service(Code::NodeExists))) => {
                // The znode belongs to the previous session or to this one. It is replaced, so that the end
                // of the previous session does not delete it.
                let renew = vec![Request::Delete { path: path.clone(), version: -1 }, create(&path, true)];
                world.send_request(id, "renew", Request::Multi(renew));
            }
            Event::Answer("renew", Ok(Response::Multi(all))) if all.iter().any(Result::is_err) => {
                world.send_request(id, "register", create(&path, true));
            }
            _ => {}
        }
    }
}

/// SplitMix64.
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % n
    }
}
