//! Runs a node: creates its parts and connects them, handles signals, and stops it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use glenwood_core::{AttemptId, AttemptResult};
use glenwood_operation::upgrade::Incumbent;
use glenwood_policy::{Discovery, Outcome, ServerId};
use glenwood_signals::{SignalKind, Signals};
use glenwood_trace::TraceEvent;
use tokio::net::{TcpListener, TcpSocket, UnixListener};
use tokio::task::{spawn_local, AbortHandle};

use crate::admin;
use crate::backend::{http1, msgpack, Descriptors};
use crate::call::{Call, MAX_BUFFERED_BODY_BYTES};
use crate::clock::Clock;
use crate::config::{self, Config, FileFields};
use crate::configuration::Configuration;
use crate::custody::{Custody, Guarded};
use crate::discovery;
use crate::errno::retry_at_start;
use crate::front::{Fronts, ListenerProtocol};
use crate::hub::{Hub, HubActions};
use crate::inspect::{self, Part};
use crate::list::Protocol;
use crate::log;
use crate::members::Membership;
use crate::registrations;
use crate::upgrade::{self, Handoff};
use crate::usage::{self, Shares};

/// How long connections are still accepted after SIGTERM, at the least.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(500);
/// When SIGKILL may follow SIGTERM, which resets the connections that are open: after the longest deadline,
/// limited to the first value, plus the second.
const KILL_DELAY: (Duration, Duration) = (Duration::from_millis(3000), Duration::from_millis(700));
/// How long before SIGKILL the node begins to close connections.
const CLOSE_BEFORE_KILL: Duration = Duration::from_millis(1400);
/// How long before SIGKILL the node fails the requests that are still open.
const FAIL_BEFORE_KILL: Duration = Duration::from_millis(500);
/// How long before SIGKILL the node ends at the latest.
const END_BEFORE_KILL: Duration = Duration::from_millis(200);
/// How long the answers of failed requests have to be written, however late they were failed.
const FAILED_ANSWERS_WRITE_TIME: Duration = Duration::from_millis(100);
/// How often a stopping node checks whether it can end.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 1024;
/// How long a node with pushed lists waits to reopen its watch at the agent: the first delay, and the
/// maximum. The agent's list counts as notified, so the delay must be short, and calls to the agent are
/// cheap.
const AGENT_RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(320));
/// How often metrics that are not counted as events happen are updated.
const FIGURES_INTERVAL: Duration = Duration::from_millis(100);
/// How often a node that starts beside another process checks whether it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How often idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// Carries out the hub's actions with the backends and discovery.
struct Actions {
    hub: Rc<Hub>,
    http1: Rc<http1::Servers>,
    msgpack: Rc<msgpack::Servers>,
    /// The address of discovery; a reload may change it.
    discovery: Cell<SocketAddr>,
    /// The fields of the configuration file in force.
    fields: RefCell<FileFields>,
    /// The current call to discovery.
    call: RefCell<Option<AbortHandle>>,
}

impl HubActions for Actions {
    fn start(&self, attempt: AttemptId, server: ServerId, end: Instant, call: Rc<Call>) {
        match self.hub.server_address(server).map(|place| place.endpoint.protocol) {
            Some(Protocol::Http1) => self.http1.start(attempt, server, end, call),
            // A MessagePack message is sent as one piece, and no server takes one this long: the attempt
            // was never sent.
            Some(Protocol::Msgpack) if call.rest.is_some() || call.body.len() > MAX_BUFFERED_BODY_BYTES => {
                self.hub.attempt_ended(attempt, AttemptResult::NoResponse(Outcome::NotSent));
            }
            Some(Protocol::Msgpack) => self.msgpack.start(attempt, server, end, call),
            // The server has begun to drain since the decision.
            None => self.hub.attempt_ended(attempt, AttemptResult::NoResponse(Outcome::NotSent)),
        }
    }

    fn abandon(&self, attempt: AttemptId) {
        // An attempt that neither backend has ended already.
        let _ = self.http1.abandon(attempt) || self.msgpack.abandon(attempt);
    }

    fn is_unsent(&self, attempt: AttemptId) -> bool {
        self.http1.is_unsent(attempt) || self.msgpack.is_unsent(attempt)
    }

    fn probe(&self, server: ServerId) {
        match self.hub.server_address(server).map(|place| place.endpoint.protocol) {
            Some(Protocol::Msgpack) => self.msgpack.probe(server),
            _ => self.http1.probe(server, self.hub.is_in_use(server)),
        }
    }

    fn discard_connections(&self, server: ServerId) {
        self.http1.discard_connections(server);
        self.msgpack.discard_connections(server);
    }

    fn subscribe(&self) {
        if !self.hub.config.operator.uses_discovery() {
            return;
        }
        let call = spawn_local(discovery::follow(self.hub.clone(), self.discovery.get())).abort_handle();
        // One call at a time: a call that the core no longer waits for is only load on the service.
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

/// Keeps a watch open at the node's agent. With pushed lists the core subscribes to nothing, as it expects
/// them to arrive. Over sockets they arrive by this watch; without it a node would use its saved list
/// forever.
async fn watch_agent(actions: Rc<Actions>) {
    let mut wait = AGENT_RETRY_DELAY.0;
    loop {
        let opened = Instant::now();
        let call = spawn_local(discovery::follow(actions.hub.clone(), actions.discovery.get()));
        actions.call.replace(Some(call.abort_handle()));
        // A call that was aborted here is followed at once by one to discovery's new address.
        let moved = call.await.is_err();
        if moved || opened.elapsed() > AGENT_RETRY_DELAY.1 {
            wait = AGENT_RETRY_DELAY.0;
        }
        tokio::time::sleep(wait).await;
        wait = (2 * wait).min(AGENT_RETRY_DELAY.1);
    }
}

/// Binds an address for clients; with `shared`, another process of this node may bind it too.
fn bind(at: SocketAddr, shared: bool) -> std::io::Result<TcpSocket> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(at)?;
    Ok(socket)
}

/// Does another process listen at this address? A bind without sharing the port fails then.
fn is_taken(at: SocketAddr) -> bool {
    matches!(retry_at_start(|| bind(at, false)), Err(e) if e.kind() == std::io::ErrorKind::AddrInUse)
}

fn listen(at: SocketAddr) -> Result<TcpListener, String> {
    retry_at_start(|| bind(at, true)?.listen(BACKLOG)).map_err(|e| format!("listen: {at}: {e}"))
}

/// Runs a node until it is told to stop, and finishes the requests that it has taken.
///
/// # Errors
/// One line with the reason, where it can't start.
pub async fn serve(mut config: Config, operator: Option<PathBuf>) -> Result<(), String> {
    let signals = |asks| retry_at_start(|| Signals::new(asks)).map_err(|e| format!("signals: {e}"));
    let mut stops = signals(SignalKind::Stop)?;
    // Without a handler, SIGHUP would end the process with all its open requests.
    let reloads = signals(SignalKind::Reload)?;
    let protocol =
        if config.operator.msgpack_shared { ListenerProtocol::Either } else { ListenerProtocol::Http1 };
    let mut addresses = vec![(config.listen, protocol)];
    addresses.extend(config.operator.msgpack_listen.map(|at| (at, ListenerProtocol::Msgpack)));
    // Connections that the kernel assigns to this process must be served. Where no other process listens,
    // clients see by refusals that this one is not ready. Where one does, this process does not listen
    // until it is ready, so that clients don't notice it.
    let predecessor =
        upgrade::socket_path(config.listen).as_deref().and_then(upgrade::connect_to_predecessor);
    let other_listens = predecessor.is_some() || addresses.iter().any(|(at, _)| is_taken(*at));
    type Listeners = Vec<(TcpListener, ListenerProtocol)>;
    let listen_all = || -> Result<Listeners, String> {
        addresses.iter().map(|(at, protocol)| Ok((listen(*at)?, *protocol))).collect()
    };
    let mut listeners = if other_listens { Vec::new() } else { listen_all()? };
    let inspect = config.operator.inspect.clone();
    let inspecting = inspect.as_deref().map(inspect::listen).transpose()?;
    let known = config.known.take();
    let descriptors = Descriptors::new(config.max_server_connections());
    let shares = Shares::new(&config, Clock::default().unix_now())?;
    let membership = Membership::new(&config)?;
    let hub = Hub::new(config, shares).map_err(|e| format!("settings: {e}"))?;
    if let Some(at) = hub.config.mgmt {
        let at = admin::open(at, hub.config.max_admin_callers(), hub.figures.clone())?;
        log::write_line(format!("{} answers operators at {at}", hub.config.name));
    }
    let actions = Rc::new(Actions {
        http1: http1::Servers::new(hub.clone(), descriptors.clone()),
        msgpack: msgpack::Servers::new(hub.clone(), descriptors.clone()),
        discovery: Cell::new(hub.config.discovery),
        fields: RefCell::new(hub.config.fields.clone()),
        call: RefCell::default(),
        hub: hub.clone(),
    });
    spawn_local(hub.clone().run_timer());
    let custody = Custody::new(&hub, membership.as_ref())?;
    let hub_actions: Rc<dyn HubActions> = match &custody {
        Some(custody) => Guarded::new(custody.clone(), actions.clone()),
        None => actions.clone(),
    };
    log::write_line(settings_line(&hub));
    hub.start(hub_actions, known);
    if hub.settings().policy.discovery == Discovery::Pushed && hub.config.operator.uses_discovery() {
        spawn_local(watch_agent(actions.clone()));
    }
    if let Some(source) = hub.config.operator.registrations.clone() {
        registrations::load_saved(&hub, &source);
        spawn_local(registrations::follow(hub.clone(), source));
    }
    if other_listens {
        log::write_line(format!("{}: another process listens at {}", hub.config.name, hub.config.listen));
        let until_ready = async {
            while !hub.ready() {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        tokio::select! {
            () = until_ready => {}
            () = stops.recv() => return Ok(()),
        }
        let inherited = predecessor.as_ref().map_or(&[][..], |process| &process.listeners);
        listeners = match inherited_listeners(inherited, &addresses) {
            Some(inherited) => inherited,
            None => listen_all()?,
        };
    }
    if let Some(shares) = hub.usage_shares.clone() {
        spawn_local(usage::share(hub.clone(), shares));
    }
    let mut parts: Vec<Rc<dyn Part>> = Vec::new();
    if let Some(membership) = membership.clone() {
        spawn_local(membership.clone().run(hub.clone()));
        parts.push(membership);
    }
    if let (Some(custody), Some(membership)) = (&custody, &membership) {
        hub.open_gate(custody.clone());
        membership.add_observer(custody.clone());
        spawn_local(custody.clone().run());
        parts.push(custody.clone());
    }
    if let Some(configuration) = Configuration::new(&hub) {
        hub.set_overlay(configuration.clone());
        spawn_local(configuration.clone().run());
        parts.push(configuration);
    }
    if hub.config.mgmt.is_some() {
        spawn_local(update_figures(hub.clone(), parts.clone()));
    }
    hub.listening.set(true);
    hub.update_figures();
    for (listener, protocol) in &listeners {
        let address = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
        let name = &hub.config.name;
        log::write_line(match protocol {
            ListenerProtocol::Http1 | ListenerProtocol::Either => format!("{name} listens at {address}"),
            ListenerProtocol::Msgpack => format!("{name} takes MessagePack-RPC at {address}"),
        });
    }
    if let Some(listener) = inspecting {
        spawn_local(inspect::answer_connections(hub.clone(), parts, listener, operator));
    }
    let fronts = Fronts::new(&hub, descriptors.clone());
    let set_limits = {
        let (hub, fronts, descriptors) = (hub.clone(), fronts.clone(), descriptors.clone());
        move |max_descriptors: usize| {
            let (clients, servers) = hub.config.split_descriptors(max_descriptors);
            hub.bodies.set_max_bytes(hub.config.max_body_bytes(max_descriptors));
            fronts.clients.set_limit(clients);
            descriptors.set_limit(servers);
        }
    };
    let all = hub.config.sockets;
    if let Some(predecessor) = predecessor {
        // Until the other process reports its descriptors, it is assumed to hold half.
        set_limits(all / 2);
        spawn_local(predecessor.follow(all, set_limits.clone()));
    }
    let handoff = open_handoff(&hub, &listeners).map(|(handoff, listener)| {
        let (hub, fronts) = (hub.clone(), fronts.clone());
        let count_descriptors =
            move || hub.config.reserved_descriptors() + fronts.clients.count() + descriptors.reserved_count();
        spawn_local(handoff.clone().serve_successors(listener, all, count_descriptors, set_limits));
        handoff
    });
    spawn_local(sweep_idle(actions.clone(), fronts.clone()));
    spawn_local(reload(actions.clone(), reloads));
    let accepting: Vec<AbortHandle> = listeners
        .into_iter()
        .map(|(listener, protocol)| {
            let fronts = fronts.clone();
            // The task owns the listener, which is closed with the task once the backlog is empty.
            spawn_local(async move {
                tokio::select! {
                    () = fronts.accept(&listener, protocol) => {}
                    () = fronts.stop_accepting.notified() => {}
                }
                // The connections left in the backlog are the successor's, where there is one.
                if !fronts.is_handed_over() {
                    fronts.drain_backlog(&listener, protocol).await;
                }
            })
            .abort_handle()
        })
        .collect();
    stops.recv().await;
    log::write_line(format!("{} stops: it was told to", hub.config.name));
    handoff.iter().for_each(|handoff| handoff.stop());
    hub.handed_over.set(handoff.is_some_and(|handoff| handoff.stage() == Incumbent::Succeeded));
    stop(&hub, &fronts, &accepting).await;
    membership.iter().for_each(|membership| membership.leave());
    inspect.as_deref().into_iter().for_each(inspect::remove);
    Ok(())
}

/// The log line with the settings that are needed to read a node's timeline.
fn settings_line(hub: &Hub) -> String {
    let settings = hub.settings();
    let policy = &settings.policy;
    format!(
        "{} settings: {} nodes, lists {:?}, asked for within {} ms, deadlines of {} ms at most, connect timeout {} ms",
        hub.config.name,
        policy.nodes,
        policy.discovery,
        policy.rules.max_call_interval,
        settings.max_deadline,
        policy.limits.connect_timeout,
    )
}

/// The listeners inherited from another process, each with its protocol; `None` where their addresses are
/// not those that this node listens at.
fn inherited_listeners(
    inherited: &[std::net::TcpListener],
    addresses: &[(SocketAddr, ListenerProtocol)],
) -> Option<Vec<(TcpListener, ListenerProtocol)>> {
    let find = |(at, protocol): &(SocketAddr, ListenerProtocol)| {
        let listener =
            inherited.iter().find(|l| l.local_addr().is_ok_and(|own| own == *at))?.try_clone().ok()?;
        listener.set_nonblocking(true).ok()?;
        Some((TcpListener::from_std(listener).ok()?, *protocol))
    };
    addresses.iter().map(find).collect()
}

/// Opens the socket at which a successor can ask this process for its listeners.
fn open_handoff(
    hub: &Hub,
    listeners: &[(TcpListener, ListenerProtocol)],
) -> Option<(Rc<Handoff>, UnixListener)> {
    let first = listeners.first()?.0.local_addr().ok()?;
    let copy = |(listener, _): &(TcpListener, ListenerProtocol)| listener.as_fd().try_clone_to_owned().ok();
    let sockets = listeners.iter().map(copy).collect::<Option<Vec<_>>>()?;
    let opened = Handoff::open(upgrade::socket_path(first)?, sockets);
    if opened.is_some() {
        log::write_line(format!("{} can hand its listening sockets on", hub.config.name));
    }
    opened
}

/// Applies a new configuration file's discovery address and settings, also while the node stops. A file
/// that can't be read changes nothing. Signals in quick succession cause one reload: the file is read after
/// the last.
async fn reload(actions: Rc<Actions>, mut reloads: Signals) {
    loop {
        reloads.recv().await;
        let running = actions.fields.borrow().clone();
        let read = read_config(running).await;
        // Nothing is awaited between here and the end of the loop body, so the reload is applied as a
        // whole.
        let applied = read.and_then(|config| {
            actions.hub.new_settings(config.settings).map_err(|e| format!("settings: {e}"))?;
            Ok((config.discovery, config.fields))
        });
        actions
            .hub
            .figures
            .with(|f| *if applied.is_ok() { &mut f.conf_loaded } else { &mut f.conf_invalid } += 1);
        match applied {
            Ok((discovery, fields)) => {
                actions.fields.replace(fields);
                log::write_line(format!("reload: discovery is {discovery}"));
                // An open call to an unchanged address is kept: asking again costs the service and brings
                // nothing new.
                let address_changed = actions.discovery.replace(discovery) != discovery;
                actions.hub.trace(|_| TraceEvent::Reload { in_effect: true, address_changed });
                if address_changed {
                    actions.hub.discovery_moved();
                }
            }
            Err(reason) => {
                actions.hub.trace(|_| TraceEvent::Reload { in_effect: false, address_changed: false });
                log::write_line(format!("reload: {reason}; the old configuration stays"));
            }
        }
    }
}

/// Reads and checks the configuration file on its own thread: a large file must not delay requests.
async fn read_config(running: FileFields) -> Result<Config, String> {
    let (sender, read) = tokio::sync::oneshot::channel();
    let thread = std::thread::Builder::new().name("reload".to_string());
    let spawned = thread.spawn(move || {
        // The receiver is gone if the node has ended.
        let _ = sender.send(config::reload(&running));
    });
    spawned.map_err(|e| format!("BALANCER_CONFIG: no thread to read it: {e}"))?;
    read.await.map_err(|_| "BALANCER_CONFIG: reading it failed".to_string())?
}

/// Updates the metrics periodically.
async fn update_figures(hub: Rc<Hub>, parts: Vec<Rc<dyn Part>>) {
    loop {
        hub.update_figures();
        let figures = parts.iter().flat_map(|part| part.figures()).collect();
        hub.figures.with(|all| all.parts = figures);
        tokio::time::sleep(FIGURES_INTERVAL).await;
    }
}

async fn sweep_idle(actions: Rc<Actions>, fronts: Rc<Fronts>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        actions.http1.sweep();
        fronts.clients.sweep();
    }
}

/// The time from SIGTERM until SIGKILL may come.
fn kill_delay(max_deadline: f64) -> Duration {
    let longest = KILL_DELAY.0.as_secs_f64();
    KILL_DELAY.1 + Duration::from_secs_f64((max_deadline / 1000.0).clamp(0.0, longest))
}

/// Stops the node and finishes all requests that it has taken. `/ready` reports that the node is not ready,
/// but for most of the remaining time it serves as usual: it accepts connections, and clients use those
/// they have. If each client were turned away at once, all its requests would fail whenever it had nowhere
/// to go, as when the node restarted before is not back yet, or the others are down or full; and one
/// refused connection makes a front consider the node gone, with all its open requests. Serving on also
/// spares the other nodes a burst of new connections while they are fewer. It is a disadvantage where the
/// end of this process is urgent, or where a node is stopped because it serves badly.
async fn stop(hub: &Rc<Hub>, fronts: &Rc<Fronts>, accepting: &[AbortHandle]) {
    let stop_requested = Instant::now();
    let clients = &fronts.clients;
    hub.stop();
    let killed = kill_delay(hub.settings().max_deadline);
    let after = |before: Duration| stop_requested.elapsed() >= killed.saturating_sub(before);
    if hub.handed_over.get() {
        fronts.stop_accepting.notify_waiters();
    }
    let accept = if hub.handed_over.get() { Duration::ZERO } else { MIN_ACCEPT_TIME };
    while stop_requested.elapsed() < accept || (clients.count() > 0 && !after(CLOSE_BEFORE_KILL)) {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    hub.closing.set(true);
    fronts.stop_accepting.notify_waiters();
    while !accepting.iter().all(AbortHandle::is_finished) {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    let mut failed_at: Option<Instant> = None;
    while clients.count() > 0 || hub.awaiting() > 0 {
        if after(FAIL_BEFORE_KILL) {
            failed_at.get_or_insert_with(Instant::now);
            hub.fail_all();
        }
        // A node that was stalled until now has not failed any request yet.
        let have_been_written = failed_at.is_some_and(|at| at.elapsed() >= FAILED_ANSWERS_WRITE_TIME);
        if after(END_BEFORE_KILL) && have_been_written {
            break;
        }
        clients.close_idle();
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}
