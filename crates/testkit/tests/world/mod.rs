//! Clients and followers at the stand-in ensemble, in virtual time.
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

/// A machine at the ensemble, and what it said, in order.
pub struct At<M: Machine> {
    pub machine: M,
    conn: Option<ConnId>,
    pub said: Vec<M::Event>,
    /// Nothing gets through to the service, nor back.
    pub cut: bool,
}

impl<M: Machine> At<M> {
    fn new(machine: M) -> Self {
        Self { machine, conn: None, said: Vec::new(), cut: false }
    }

    /// Moves what there is to move; false where there was nothing.
    fn step(&mut self, now: f64, ensemble: &mut Ensemble, connects: &mut usize) -> bool {
        let mut moved = false;
        while let Some(step) = self.machine.poll() {
            moved = true;
            match step {
                // It hangs until the machine gives it up.
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
                Step::Event(said) => self.said.push(said),
            }
        }
        let Some(conn) = self.conn.filter(|_| !self.cut) else { return moved };
        let out = self.machine.output();
        if !out.is_empty() {
            moved = true;
            ensemble.received(now, conn, &out);
        }
        let back = ensemble.output(conn);
        if !back.is_empty() {
            moved = true;
            self.machine.received(now, &back);
        }
        if self.conn.is_some() && ensemble.is_closed(conn) {
            moved = true;
            self.conn = None;
            ensemble.close(conn);
            self.machine.disconnected(now);
        }
        moved
    }

    /// It ends without a word.
    fn vanish(self, ensemble: &mut Ensemble) {
        self.conn.into_iter().for_each(|conn| ensemble.close(conn));
    }

    /// The member that it is connected to.
    pub fn member(&self, ensemble: &Ensemble) -> Option<usize> {
        ensemble.member_of(self.conn?)
    }

    /// What it could know now of the service.
    pub fn sees<'a>(&self, ensemble: &'a Ensemble) -> Option<&'a Tree> {
        ensemble.seen_over(self.conn.filter(|_| !self.cut)?)
    }

    pub fn take_said(&mut self) -> Vec<M::Event> {
        std::mem::take(&mut self.said)
    }
}

pub type Client = At<Session<&'static str>>;
pub type Follows = At<Follower>;

pub struct World {
    pub now: f64,
    pub ensemble: Ensemble,
    pub clients: BTreeMap<u64, Client>,
    pub followers: Vec<Follows>,
    pub registrars: BTreeMap<u64, At<Registrar>>,
    pub views: Vec<At<View>>,
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

    pub fn join(&mut self, id: u64) {
        let session = Session::new(self.now, self.settings(id));
        self.clients.insert(id, At::new(session));
    }

    /// Somebody follows `/servers`.
    pub fn follow(&mut self, seed: u64, look_every: f64) {
        let follower = Follower::new(self.now, self.settings(seed), "/servers", look_every);
        self.followers.push(At::new(follower));
    }

    /// A node's view of `/servers`.
    pub fn view(&mut self, seed: u64, guard: Option<guard::Settings>, answers: Answers) {
        let settings = view::Settings {
            session: self.settings(seed),
            path: "/servers".into(),
            relist_interval: 60_000.0,
            guard,
            suspect_ms: 10_000.0,
        };
        let view = View::new(self.now, settings, answers).expect("good settings");
        self.views.push(At::new(view));
    }

    /// A server's registrar begins; one that has the number ends without a word.
    pub fn register(&mut self, id: u64, host: ListEntry) {
        let settings = self.settings(id);
        self.register_with(id, host, settings);
    }

    pub fn register_with(&mut self, id: u64, host: ListEntry, settings: Settings) {
        let registrar = Registrar::new(self.now, settings, "/servers", host);
        if let Some(old) = self.registrars.insert(id, At::new(registrar)) {
            old.vanish(&mut self.ensemble);
        }
    }

    /// A process that ends without a word.
    pub fn vanish(&mut self, id: u64) {
        self.clients.remove(&id).into_iter().for_each(|c| c.vanish(&mut self.ensemble));
        self.registrars.remove(&id).into_iter().for_each(|r| r.vanish(&mut self.ensemble));
    }

    pub fn ask(&mut self, id: u64, name: &'static str, request: Request) {
        let now = self.now;
        self.clients.get_mut(&id).expect("a client").machine.submit(now, name, request);
    }

    /// Moves bytes and connections until nothing more happens at this moment.
    pub fn settle(&mut self) {
        for _ in 0..10_000 {
            let mut moved = false;
            let (now, ensemble, connects) = (self.now, &mut self.ensemble, &mut self.connects);
            self.clients.values_mut().for_each(|c| moved |= c.step(now, ensemble, connects));
            self.followers.iter_mut().for_each(|f| moved |= f.step(now, ensemble, connects));
            self.registrars.values_mut().for_each(|r| moved |= r.step(now, ensemble, connects));
            self.views.iter_mut().for_each(|v| moved |= v.step(now, ensemble, connects));
            if !moved {
                return;
            }
        }
        panic!("it never settles");
    }

    /// Lets time pass; `react` is run after every moment at which something happened.
    pub fn pass(&mut self, span: f64, mut react: impl FnMut(&mut Self)) {
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

/// A registrar: registers with each new session, again where the old node is still there.
pub fn register(world: &mut World, id: u64) {
    let Some(client) = world.clients.get_mut(&id) else { return };
    let path = format!("/servers/s{id}");
    for event in client.take_said() {
        match event {
            Event::Established { new: true } => world.ask(id, "register", create(&path, true)),
            // Perhaps it was done, perhaps not: asking again tells.
            Event::Answer(
                "register" | "renew",
                Err(RequestError::ConnectionLost | RequestError::NotSent),
            ) => {
                world.clients.get_mut(&id).expect("it is there").said.push(event);
                if world.clients[&id].machine.is_connected() {
                    world.clients.get_mut(&id).expect("it is there").said.pop();
                    world.ask(id, "register", create(&path, true));
                }
                return;
            }
            Event::Answer("register", Err(RequestError::Service(Code::NodeExists))) => {
                // Of the session before, or of this one: the old session's end must not take the new one's along.
                let renew = vec![Request::Delete { path: path.clone(), version: -1 }, create(&path, true)];
                world.ask(id, "renew", Request::Multi(renew));
            }
            Event::Answer("renew", Ok(Response::Multi(all))) if all.iter().any(Result::is_err) => {
                world.ask(id, "register", create(&path, true));
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
