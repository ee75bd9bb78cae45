//! What holds a node together: listeners, timers, signals, and the end.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use glenwood_core::{AttemptId, Ended};
use glenwood_operation::upgrade::Incumbent;
use glenwood_policy::{Discovery, Outcome, ServerId};
use glenwood_signals::{Asks, Signals};
use glenwood_trace::Doing;
use tokio::net::{TcpListener, TcpSocket, UnixListener};
use tokio::task::{spawn_local, AbortHandle};

use crate::admin;
use crate::backend::{http1, msgpack, Descriptors};
use crate::call::{Call, BODY_MOST};
use crate::clock::Clock;
use crate::config::{self, Config, FileFields};
use crate::configuration::Configuration;
use crate::custody::{Custody, Guarded};
use crate::discovery;
use crate::errno::at_start;
use crate::front::{Fronts, Speaks};
use crate::hub::{Hub, Outside};
use crate::inspect::{self, Part};
use crate::list::Protocol;
use crate::log;
use crate::members::Membership;
use crate::registrations;
use crate::upgrade::{self, Holder};
use crate::usage::{self, Shares};

/// How long connections still come after SIGTERM, at the least.
const ACCEPT: Duration = Duration::from_millis(500);
/// How soon after SIGTERM SIGKILL may come, which resets what it finds: the longest deadline, within this, and so
/// much more.
const PATIENCE: (Duration, Duration) = (Duration::from_millis(3000), Duration::from_millis(700));
/// How long before that the node begins to close connections, fails what is still open, and ends at the latest.
const CLOSE_BEFORE: Duration = Duration::from_millis(1400);
const FAIL_BEFORE: Duration = Duration::from_millis(500);
const END_BEFORE: Duration = Duration::from_millis(200);
/// How long the answers to what was failed have to be written, however late that was.
const WRITTEN_WITHIN: Duration = Duration::from_millis(100);
/// How often the node looks whether it can end.
const LOOK: Duration = Duration::from_millis(5);
/// Connections that the kernel may hold until they are accepted.
const BACKLOG: u32 = 1024;
/// How long after its watch at the agent ended a node that is pushed its list opens the next: first, and at most. What the
/// agent has counts as told, and to ask it costs nobody anything.
const AGENT_AGAIN: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(320));
/// How often operators are shown what is not counted as it happens.
const SHOW: Duration = Duration::from_millis(100);
/// How often it is looked whether a node that can't serve yet can.
const READY_LOOK: Duration = Duration::from_millis(10);
/// How often idle connections are looked at.
const SWEEP: Duration = Duration::from_millis(200);

/// Backends and discovery, as the hub knows them.
struct Links {
    hub: Rc<Hub>,
    http1: Rc<http1::Servers>,
    msgpack: Rc<msgpack::Servers>,
    /// Where discovery is now; a reload moves it.
    discovery: Cell<SocketAddr>,
    /// Which fields the configuration file that counts has.
    fields: RefCell<FileFields>,
    /// The call to discovery that is out.
    call: RefCell<Option<AbortHandle>>,
}

impl Outside for Links {
    fn start(&self, attempt: AttemptId, server: ServerId, end: Instant, call: Rc<Call>) {
        match self.hub.place(server).map(|place| place.dial.protocol) {
            Some(Protocol::Http1) => self.http1.start(attempt, server, end, call),
            // A message is one piece, and nobody takes one so long: it was never sent.
            Some(Protocol::Msgpack) if call.rest.is_some() || call.body.len() > BODY_MOST => {
                self.hub.attempt_ended(attempt, Ended::Without(Outcome::NotSent));
            }
            Some(Protocol::Msgpack) => self.msgpack.start(attempt, server, end, call),
            // It drained between the decision and now.
            None => self.hub.attempt_ended(attempt, Ended::Without(Outcome::NotSent)),
        }
    }

    fn abandon(&self, attempt: AttemptId) {
        // One that is with neither has ended already.
        let _ = self.http1.abandon(attempt) || self.msgpack.abandon(attempt);
    }

    fn unsent(&self, attempt: AttemptId) -> bool {
        self.http1.unsent(attempt) || self.msgpack.unsent(attempt)
    }

    fn probe(&self, server: ServerId) {
        match self.hub.place(server).map(|place| place.dial.protocol) {
            Some(Protocol::Msgpack) => self.msgpack.probe(server),
            _ => self.http1.probe(server, self.hub.uses(server)),
        }
    }

    fn forget(&self, server: ServerId) {
        self.http1.forget(server);
        self.msgpack.forget(server);
    }

    fn subscribe(&self) {
        if !self.hub.config.operator.asks_discovery() {
            return;
        }
        let call = spawn_local(discovery::follow(self.hub.clone(), self.discovery.get())).abort_handle();
        // One call at a time: what the module no longer waits for is only load on the service.
        if let Some(old) = self.call.borrow_mut().replace(call) {
            old.abort();
        }
    }

    fn unsubscribe(&self) {
        if let Some(old) = self.call.borrow_mut().take() {
            old.abort();
        }
    }
}

/// Keeps a watch open at the node's agent. Where lists are pushed the module asks for nothing, as they come by themselves;
/// on sockets they come by this watch, and without it a node would serve by its saved list for ever.
async fn watch_agent(links: Rc<Links>) {
    let mut wait = AGENT_AGAIN.0;
    loop {
        let opened = Instant::now();
        let call = spawn_local(discovery::follow(links.hub.clone(), links.discovery.get()));
        links.call.replace(Some(call.abort_handle()));
        // A call that was ended from here makes room for one to where discovery is now.
        let moved = call.await.is_err();
        if moved || opened.elapsed() > AGENT_AGAIN.1 {
            wait = AGENT_AGAIN.0;
        }
        tokio::time::sleep(wait).await;
        wait = (2 * wait).min(AGENT_AGAIN.1);
    }
}

/// Binds the clients' address, which another process of this node may share.
fn bind(at: SocketAddr, shared: bool) -> std::io::Result<TcpSocket> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(at)?;
    Ok(socket)
}

/// Does another process listen there? Nobody is let share with who asks, so a bind tells.
fn is_taken(at: SocketAddr) -> bool {
    matches!(at_start(|| bind(at, false)), Err(e) if e.kind() == std::io::ErrorKind::AddrInUse)
}

fn listen(at: SocketAddr) -> Result<TcpListener, String> {
    at_start(|| bind(at, true)?.listen(BACKLOG)).map_err(|e| format!("listen: {at}: {e}"))
}

/// Runs a node until it is told to stop, and finishes what it has taken.
///
/// # Errors
/// One line, where it can't start.
pub async fn serve(mut config: Config, operator: Option<PathBuf>) -> Result<(), String> {
    let signals = |asks| at_start(|| Signals::new(asks)).map_err(|e| format!("signals: {e}"));
    let mut stops = signals(Asks::Stop)?;
    // Without a handler SIGHUP ends the process, and with it all that it has taken.
    let reloads = signals(Asks::Reload)?;
    let speaks = if config.operator.msgpack_shared { Speaks::Either } else { Speaks::Http1 };
    let mut addresses = vec![(config.listen, speaks)];
    addresses.extend(config.operator.msgpack_listen.map(|at| (at, Speaks::Msgpack)));
    // A connection that the kernel deals to this process must be served. Where none is beside it, clients see by its refusals
    // that it is not ready; where one is, they see nothing of a process that does not listen yet.
    let met = upgrade::place(config.listen).as_deref().and_then(upgrade::meet);
    let beside = met.is_some() || addresses.iter().any(|(at, _)| is_taken(*at));
    type Listeners = Vec<(TcpListener, Speaks)>;
    let listen_all = || -> Result<Listeners, String> {
        addresses.iter().map(|(at, speaks)| Ok((listen(*at)?, *speaks))).collect()
    };
    let mut listeners = if beside { Vec::new() } else { listen_all()? };
    let inspect = config.operator.inspect.clone();
    let inspecting = inspect.as_deref().map(inspect::listen).transpose()?;
    let known = config.known.take();
    let descriptors = Descriptors::new(config.servers_most());
    let shares = Shares::new(&config, Clock::default().unix_now())?;
    let membership = Membership::new(&config)?;
    let hub = Hub::new(config, shares).map_err(|e| format!("settings: {e}"))?;
    if let Some(at) = hub.config.mgmt {
        let at = admin::open(at, hub.config.callers_most(), hub.figures.clone())?;
        log::line(format!("{} answers operators at {at}", hub.config.name));
    }
    let links = Rc::new(Links {
        http1: http1::Servers::new(hub.clone(), descriptors.clone()),
        msgpack: msgpack::Servers::new(hub.clone(), descriptors.clone()),
        discovery: Cell::new(hub.config.discovery),
        fields: RefCell::new(hub.config.fields.clone()),
        call: RefCell::default(),
        hub: hub.clone(),
    });
    spawn_local(hub.clone().run_timer());
    let custody = Custody::new(&hub, membership.as_ref())?;
    let outside: Rc<dyn Outside> = match &custody {
        Some(custody) => Guarded::new(custody.clone(), links.clone()),
        None => links.clone(),
    };
    log::line(settings_line(&hub));
    hub.start(outside, known);
    if hub.settings().policy.discovery == Discovery::Pushed && hub.config.operator.asks_discovery() {
        spawn_local(watch_agent(links.clone()));
    }
    if let Some(told) = hub.config.operator.registrations.clone() {
        registrations::take_saved(&hub, &told);
        spawn_local(registrations::follow(hub.clone(), told));
    }
    if beside {
        log::line(format!("{}: another process listens at {}", hub.config.name, hub.config.listen));
        let until_ready = async {
            while !hub.ready() {
                tokio::time::sleep(READY_LOOK).await;
            }
        };
        tokio::select! {
            () = until_ready => {}
            () = stops.recv() => return Ok(()),
        }
        let handed = met.as_ref().map_or(&[][..], |met| &met.listeners);
        listeners = match handed_on(handed, &addresses) {
            Some(handed) => handed,
            None => listen_all()?,
        };
    }
    if let Some(shares) = hub.shares.clone() {
        spawn_local(usage::share(hub.clone(), shares));
    }
    let mut parts: Vec<Rc<dyn Part>> = Vec::new();
    if let Some(membership) = membership.clone() {
        spawn_local(membership.clone().run(hub.clone()));
        parts.push(membership);
    }
    if let (Some(custody), Some(membership)) = (&custody, &membership) {
        hub.open_gate(custody.clone());
        membership.tell(custody.clone());
        spawn_local(custody.clone().run());
        parts.push(custody.clone());
    }
    if let Some(configuration) = Configuration::new(&hub) {
        hub.set_overlay(configuration.clone());
        spawn_local(configuration.clone().run());
        parts.push(configuration);
    }
    if hub.config.mgmt.is_some() {
        spawn_local(show(hub.clone(), parts.clone()));
    }
    hub.listening.set(true);
    hub.show();
    for (listener, speaks) in &listeners {
        let address = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
        let name = &hub.config.name;
        log::line(match speaks {
            Speaks::Http1 | Speaks::Either => format!("{name} listens at {address}"),
            Speaks::Msgpack => format!("{name} takes MessagePack-RPC at {address}"),
        });
    }
    if let Some(listener) = inspecting {
        spawn_local(inspect::answer(hub.clone(), parts, listener, operator));
    }
    let fronts = Fronts::new(&hub, descriptors.clone());
    let bound = {
        let (hub, fronts, descriptors) = (hub.clone(), fronts.clone(), descriptors.clone());
        move |most: usize| {
            let (clients, servers) = hub.config.parts(most);
            hub.bodies.bound(hub.config.bodies_most(most));
            fronts.clients.bound(clients);
            descriptors.bound(servers);
        }
    };
    let all = hub.config.sockets;
    if let Some(met) = met {
        // Until it is heard what the other one holds it may be half.
        bound(all / 2);
        spawn_local(met.follow(all, bound.clone()));
    }
    let holder = hold(&hub, &listeners).map(|(holder, listener)| {
        let (hub, fronts) = (hub.clone(), fronts.clone());
        let held = move || hub.config.reserve() + fronts.clients.count() + descriptors.held();
        spawn_local(holder.clone().answer(listener, all, held, bound));
        holder
    });
    spawn_local(sweep(links.clone(), fronts.clone()));
    spawn_local(reload(links.clone(), reloads));
    let accepting: Vec<AbortHandle> = listeners
        .into_iter()
        .map(|(listener, speaks)| {
            let fronts = fronts.clone();
            // The task owns the listener: it is closed with it, once the backlog is empty.
            spawn_local(async move {
                tokio::select! {
                    () = fronts.accept(&listener, speaks) => {}
                    () = fronts.no_more.notified() => {}
                }
                // What is left there is its successor's, where it has one.
                if !fronts.left_to_another() {
                    fronts.empty_backlog(&listener, speaks).await;
                }
            })
            .abort_handle()
        })
        .collect();
    stops.recv().await;
    log::line(format!("{} stops: it was told to", hub.config.name));
    holder.iter().for_each(|holder| holder.stop());
    hub.leaving.set(holder.is_some_and(|holder| holder.stage() == Incumbent::Succeeded));
    stop(&hub, &fronts, &accepting).await;
    membership.iter().for_each(|membership| membership.leave());
    inspect.as_deref().into_iter().for_each(inspect::remove);
    Ok(())
}

/// The settings that a node's timeline can't be read without.
fn settings_line(hub: &Hub) -> String {
    let settings = hub.settings();
    let policy = &settings.policy;
    format!(
        "{} runs by: {} nodes, lists {:?}, asked for within {} ms, deadlines of {} ms at most, connections up within {} ms",
        hub.config.name,
        policy.nodes,
        policy.discovery,
        policy.rules.ask_within,
        settings.longest_deadline,
        policy.limits.connect_timeout,
    )
}

/// The sockets that another process handed on, each with what is spoken there; `None` where they are not those that this one
/// is to listen at.
fn handed_on(
    handed: &[std::net::TcpListener],
    addresses: &[(SocketAddr, Speaks)],
) -> Option<Vec<(TcpListener, Speaks)>> {
    let find = |(at, speaks): &(SocketAddr, Speaks)| {
        let listener =
            handed.iter().find(|l| l.local_addr().is_ok_and(|own| own == *at))?.try_clone().ok()?;
        listener.set_nonblocking(true).ok()?;
        Some((TcpListener::from_std(listener).ok()?, *speaks))
    };
    addresses.iter().map(find).collect()
}

/// Makes the place where a successor finds this process, with the sockets for it.
fn hold(hub: &Hub, listeners: &[(TcpListener, Speaks)]) -> Option<(Rc<Holder>, UnixListener)> {
    let first = listeners.first()?.0.local_addr().ok()?;
    let copy = |(listener, _): &(TcpListener, Speaks)| listener.as_fd().try_clone_to_owned().ok();
    let sockets = listeners.iter().map(copy).collect::<Option<Vec<_>>>()?;
    let opened = Holder::open(upgrade::place(first)?, sockets);
    if opened.is_some() {
        log::line(format!("{} can hand its listening sockets on", hub.config.name));
    }
    opened
}

/// Takes over what a new configuration says of discovery and the settings, also while the node stops. A file that can't be read
/// changes nothing. Signals that come in quick succession are one: the file is read after the last.
async fn reload(links: Rc<Links>, mut reloads: Signals) {
    loop {
        reloads.recv().await;
        let running = links.fields.borrow().clone();
        let read = read_again(running).await;
        // Nothing else happens between here and the last of these lines.
        let taken = read.and_then(|config| {
            links.hub.new_settings(config.settings).map_err(|e| format!("settings: {e}"))?;
            Ok((config.discovery, config.fields))
        });
        links
            .hub
            .figures
            .with(|f| *if taken.is_ok() { &mut f.conf_loaded } else { &mut f.conf_invalid } += 1);
        match taken {
            Ok((discovery, fields)) => {
                links.fields.replace(fields);
                log::line(format!("reload: discovery is {discovery}"));
                // A call that stands is left alone: to ask anew costs the service, and tells nothing.
                let moved = links.discovery.replace(discovery) != discovery;
                links.hub.trace(|_| Doing::Reload { taken: true, moved });
                if moved {
                    links.hub.discovery_moved();
                }
            }
            Err(words) => {
                links.hub.trace(|_| Doing::Reload { taken: false, moved: false });
                log::line(format!("reload: {words}; the old configuration stays"));
            }
        }
    }
}

/// Reads and checks the configuration file on a thread of its own: a large one must not keep requests waiting.
async fn read_again(running: FileFields) -> Result<Config, String> {
    let (sender, read) = tokio::sync::oneshot::channel();
    let thread = std::thread::Builder::new().name("reload".to_string());
    let spawned = thread.spawn(move || {
        // Nobody waits any more where the node has ended.
        let _ = sender.send(config::reload(&running));
    });
    spawned.map_err(|e| format!("BALANCER_CONFIG: no thread to read it: {e}"))?;
    read.await.map_err(|_| "BALANCER_CONFIG: reading it failed".to_string())?
}

/// Keeps up what operators are shown of the list.
async fn show(hub: Rc<Hub>, parts: Vec<Rc<dyn Part>>) {
    loop {
        hub.show();
        let figures = parts.iter().flat_map(|part| part.figures()).collect();
        hub.figures.with(|all| all.parts = figures);
        tokio::time::sleep(SHOW).await;
    }
}

async fn sweep(links: Rc<Links>, fronts: Rc<Fronts>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        links.http1.sweep();
        fronts.clients.sweep();
    }
}

/// When SIGKILL may come, counted from SIGTERM.
fn patience(longest_deadline: f64) -> Duration {
    let most = PATIENCE.0.as_secs_f64();
    PATIENCE.1 + Duration::from_secs_f64((longest_deadline / 1000.0).clamp(0.0, most))
}

/// Finishes all that was taken. The node says at `/ready` that it wants no more, and goes on for most of the time there
/// is as if nothing were: connections come, and clients use what they have. Where each were sent away at once, and had
/// nowhere to go as the node that was restarted before is not back yet or the others are down or full, all its requests
/// would fail; and one connection that is refused makes a front take the node for gone, with all that are open. It
/// also spares the others a rush of new connections when they are fewer. It does harm where whoever waits for the end
/// of this process is in a hurry, or where a node is stopped because it serves badly.
async fn stop(hub: &Rc<Hub>, fronts: &Rc<Fronts>, accepting: &[AbortHandle]) {
    let told = Instant::now();
    let clients = &fronts.clients;
    hub.stop();
    let killed = patience(hub.settings().longest_deadline);
    let after = |before: Duration| told.elapsed() >= killed.saturating_sub(before);
    if hub.leaving.get() {
        fronts.no_more.notify_waiters();
    }
    let accept = if hub.leaving.get() { Duration::ZERO } else { ACCEPT };
    while told.elapsed() < accept || (clients.count() > 0 && !after(CLOSE_BEFORE)) {
        tokio::time::sleep(LOOK).await;
    }
    hub.closing.set(true);
    fronts.no_more.notify_waiters();
    while !accepting.iter().all(AbortHandle::is_finished) {
        tokio::time::sleep(LOOK).await;
    }
    let mut failed_at: Option<Instant> = None;
    while clients.count() > 0 || hub.awaiting() > 0 {
        if after(FAIL_BEFORE) {
            failed_at.get_or_insert_with(Instant::now);
            hub.fail_all();
        }
        // A node that was held up until now has failed nothing yet.
        let are_written = failed_at.is_some_and(|at| at.elapsed() >= WRITTEN_WITHIN);
        if after(END_BEFORE) && are_written {
            break;
        }
        clients.close_idle();
        tokio::time::sleep(LOOK).await;
    }
}
