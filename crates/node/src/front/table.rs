//! The table of client connections for all protocols: their limit, timeouts and eviction.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use glenwood_trace::TraceEvent;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::eviction::{Candidate, EvictionRank, NEW_CONNECTION_GRACE};
use crate::hub::Hub;
use crate::sock::{Phase, TrackedSocket};

/// How long a client may go without reading any of its answer.
pub const ANSWER_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a write of an answer may be blocked before it is tried again without a report of room.
pub const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// How long a new connection may stay silent. Misbehaving clients open hundreds of connections and send
/// nothing.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(1800);
/// How long a connection may be idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The idle timeout after a single request: many clients send one request and never close the connection.
const IDLE_TIMEOUT_AFTER_ONE: Duration = Duration::from_secs(2);
/// How often a full table is searched for a connection to evict: they become evictable as they age, and as
/// requests are answered.
const ROOM_SEARCH_INTERVAL: Duration = Duration::from_millis(10);
/// New connections are not kept after their first answer once one part in so many of all connections is idle.
const MAX_IDLE_DIVISOR: usize = 8;
/// The number of idle connections that a stopping node keeps available, limited to a quarter of its
/// connections, so that requests arriving together each find one.
const MAX_SPARE_CONNECTIONS: usize = 8;
/// How long a stopping node still expects to receive new connections.
const STOPPING_GRACE: Duration = Duration::from_millis(200);

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Either side closed it in the regular way, or what was received could not be parsed.
    Over,
    /// The client closed it.
    Left,
    /// It never sent a request.
    Silent,
    /// It was idle for too long.
    Idle,
    /// A request took too long to arrive.
    Slow,
    /// The client did not read an answer.
    Stuck,
    /// It was evicted to make room for another.
    Evicted,
    /// The node is stopping.
    Stopping,
}

/// A client's connection.
pub struct Client {
    /// The connection's socket.
    pub sock: Rc<TrackedSocket>,
    /// Notified when the connection is to be closed, which [`Clients::confirm_close`] must still confirm.
    pub close: Notify,
    /// The client's address; recorded only if tracing is on.
    peer: Option<SocketAddr>,
    ending: Cell<Ending>,
    /// Whether it has been asked to close to make room; it is then counted as about to be freed.
    evicted: Cell<bool>,
}

impl Client {
    /// Records the reason for which the connection is about to end.
    pub fn set_ending(&self, ending: Ending) {
        self.ending.set(ending);
    }

    /// The reason for which the connection is about to end.
    pub fn ending(&self) -> Ending {
        self.ending.get()
    }

    fn request_close(&self, ending: Ending) {
        self.set_ending(ending);
        self.close.notify_one();
    }

    fn set_evicted(&self, evicted: bool, counter: &Cell<usize>) {
        match (self.evicted.replace(evicted), evicted) {
            (false, true) => counter.set(counter.get() + 1),
            (true, false) => counter.set(counter.get() - 1),
            _ => {}
        }
    }

    /// Where the connection stands among those that may be evicted, and since when it has been in its phase;
    /// `None` if it may not be evicted now.
    fn eviction_order(&self) -> Option<(EvictionRank, Instant)> {
        let (phase, since) = self.sock.phase();
        let has_received = self.sock.has_received();
        let rank = Candidate { phase, age: since.elapsed(), has_received }.rank()?;
        let is_in_use = self.sock.is_answered_unread() || (phase == Phase::Idle && !self.sock.is_quiet());
        (!is_in_use).then_some((rank, since))
    }

    /// For how long the kernel has accepted nothing of the answer that is being written.
    fn blocked_for(&self) -> Duration {
        self.sock.last_write_at().max(self.sock.phase().1).elapsed()
    }

    fn retry_blocked_write(&self) {
        if self.blocked_for() >= WRITE_RETRY_INTERVAL {
            self.sock.retry_write();
        }
    }

    fn is_answer_stuck(&self) -> bool {
        self.blocked_for() >= ANSWER_STALL_TIMEOUT
    }
}

/// The table of client connections.
pub struct Clients {
    hub: Rc<Hub>,
    open: RefCell<HashMap<u64, Rc<Client>>>,
    last_number: Cell<u64>,
    limit: Cell<usize>,
    /// How many connections are about to close to make room.
    evicting: Cell<usize>,
    freed: Notify,
}

impl Clients {
    /// Creates an empty table.
    pub fn new(hub: Rc<Hub>) -> Rc<Self> {
        let limit = Cell::new(hub.config.max_client_connections());
        let (open, last_number, freed) = (RefCell::default(), Cell::new(0), Notify::new());
        Rc::new(Self { hub, open, last_number, limit, evicting: Cell::new(0), freed })
    }

    /// Returns whether another process accepts new connections from now on.
    pub fn is_handed_over(&self) -> bool {
        self.hub.handed_over.get()
    }

    /// Sets the limit on connections.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        self.freed.notify_one();
    }

    /// The number of connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Waits until there is room for another connection, evicting one that is of little use if necessary. An
    /// evicted connection holds its descriptor until it is gone.
    pub async fn wait_for_room(&self) {
        while self.count() >= self.limit.get() {
            if self.count() - self.evicting.get() < self.limit.get() || !self.evict() {
                let _ = timeout(ROOM_SEARCH_INTERVAL, self.freed.notified()).await;
            }
        }
    }

    /// Adds a connection to the table; it stays until [`Clients::remove`] is called with its number.
    pub fn add(&self, stream: TcpStream) -> Option<(u64, Rc<Client>)> {
        let peer = if self.hub.config.operator.trace.is_on() { stream.peer_addr().ok() } else { None };
        let sock = TrackedSocket::of_client(stream).ok()?;
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (close, ending, evicted) = (Notify::new(), Cell::new(Ending::Over), Cell::new(false));
        let client = Rc::new(Client { sock, close, peer, ending, evicted });
        self.open.borrow_mut().insert(number, client.clone());
        Some((number, client))
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, number: u64) {
        if let Some(client) = self.open.borrow_mut().remove(&number) {
            client.set_evicted(false, &self.evicting);
            if let Some(peer) = client.peer {
                let reason = format!("{:?}", client.ending.get());
                self.hub.trace(|_| TraceEvent::Close { client: peer.to_string(), reason });
            }
        }
        self.freed.notify_one();
    }

    /// Decides whether a connection that was asked to close may close, after everything available has been
    /// read. A request that arrived in the meantime has been or is about to be taken and must be answered;
    /// closing with unread bytes would send a reset.
    pub fn confirm_close(&self, client: &Client) -> bool {
        let confirmed = match client.sock.phase().0 {
            Phase::Idle | Phase::Reading => client.sock.is_quiet(),
            Phase::Busy => false,
            Phase::Answering => client.is_answer_stuck(),
        };
        if !confirmed {
            client.set_ending(Ending::Over);
            client.set_evicted(false, &self.evicting);
        }
        confirmed
    }

    /// Closes connections that stay silent, whose request takes too long to arrive, or whose answer is not
    /// read.
    pub fn sweep(&self) {
        for client in self.open.borrow().values() {
            let (phase, since) = client.sock.phase();
            let expired = match phase {
                Phase::Idle if !client.sock.has_received() => {
                    (since.elapsed() >= FIRST_REQUEST_TIMEOUT).then_some(Ending::Silent)
                }
                Phase::Idle => {
                    let after_one = client.sock.answer_count() == 1 && self.hub.stopping.get().is_none();
                    let limit = if after_one { IDLE_TIMEOUT_AFTER_ONE } else { IDLE_TIMEOUT };
                    (since.elapsed() >= limit && client.sock.is_quiet()).then_some(Ending::Idle)
                }
                Phase::Reading => client.sock.is_request_overdue().then_some(Ending::Slow),
                Phase::Busy => None,
                Phase::Answering => {
                    client.retry_blocked_write();
                    client.is_answer_stuck().then_some(Ending::Stuck)
                }
            };
            expired.into_iter().for_each(|ending| client.request_close(ending));
        }
    }

    /// Closes connections that are between requests and have nothing to read.
    pub fn close_idle(&self) {
        for client in self.open.borrow().values() {
            let (phase, since) = client.sock.phase();
            if phase == Phase::Idle && since.elapsed() >= NEW_CONNECTION_GRACE && client.sock.is_quiet() {
                client.request_close(Ending::Stopping);
            }
        }
    }

    /// Returns whether new requests are refused: because the node is failing, or because it is stopping and its
    /// clients have too few idle connections left.
    ///
    /// By then new connections go to other nodes, if there are any. If there are none, a client that finds no
    /// idle connection takes the node for dead, together with all its open connections, and loses requests
    /// until another node is up; this happened when two nodes were restarted in turn. Refusing some requests
    /// of a burst keeps connections available for those that follow, and also prevents slow servers from
    /// occupying all connections of a stopping node. It costs requests that another node could have served,
    /// so it applies only while the node stops.
    pub fn must_refuse(&self) -> bool {
        // A request read from now on would fail at once or be lost with the process; a refusal can still be
        // sent.
        if self.hub.failing_all.get() {
            return true;
        }
        if self.hub.handed_over.get()
            || self.hub.stopping.get().is_none_or(|since| since.elapsed() < STOPPING_GRACE)
        {
            return false;
        }
        self.idle_count() < MAX_SPARE_CONNECTIONS.min(self.count() / 4)
    }

    /// How many connections have been used before and are idle.
    fn idle_count(&self) -> usize {
        let is_idle = |c: &&Rc<Client>| c.sock.phase().0 == Phase::Idle && c.sock.has_received();
        self.open.borrow().values().filter(is_idle).count()
    }

    /// Returns whether so many connections are idle that a new one should be closed after its first answer.
    ///
    /// A client that reuses connections opens a new one only if none is idle, so a connection that arrives
    /// while many are idle probably belongs to a client that sends one request and keeps the connection open.
    /// Hundreds of those use up the connections of clients and node, and later clients find none. The rule
    /// also covers many clients that poll /ready on new connections. Its cost: when many clients connect for
    /// the first time at an idle moment, each must connect twice. It does not apply while the node stops, as
    /// clients then get no new connection to it.
    pub fn has_many_idle(&self) -> bool {
        self.hub.stopping.get().is_none() && self.idle_count() >= self.limit.get() / MAX_IDLE_DIVISOR
    }

    /// Closes one connection, the one that its `EvictionRank` puts first, of equal ones that which has been in
    /// its phase for longest. Returns false if none may be closed.
    pub fn evict(&self) -> bool {
        let client = {
            let open = self.open.borrow();
            let candidates = open.values().filter(|client| !client.evicted.get());
            let ranked = candidates.filter_map(|client| Some((client.eviction_order()?, client)));
            let Some((_, client)) = ranked.min_by_key(|(order, _)| *order) else { return false };
            client.clone()
        };
        client.set_evicted(true, &self.evicting);
        client.request_close(Ending::Evicted);
        true
    }
}

#[cfg(test)]
mod tests {
    use tokio::net::TcpListener;
    use tokio::task::spawn_local;

    use super::*;
    use crate::front::fixture;

    /// How soon a full table must have found room: far less than the time limits of its connections.
    const ROOM_WITHIN: Duration = Duration::from_secs(1);

    /// A full table of connections that end when they are evicted, and the peers of these.
    struct FullTable {
        clients: Rc<Clients>,
        open: Vec<Rc<Client>>,
        _peers: Vec<TcpStream>,
    }

    impl FullTable {
        async fn new(limit: usize) -> Self {
            let clients = Clients::new(fixture::hub().0);
            clients.set_limit(limit);
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let (mut open, mut peers) = (Vec::new(), Vec::new());
            for _ in 0..limit {
                let address = listener.local_addr().expect("bound");
                peers.push(TcpStream::connect(address).await.expect("the listener is open"));
                let (stream, _) = listener.accept().await.expect("a connection");
                let (number, client) = clients.add(stream).expect("the connection is open");
                open.push(client.clone());
                spawn_local(end_when_evicted(clients.clone(), number, client));
            }
            Self { clients, open, _peers: peers }
        }

        /// How long the table takes to find room.
        async fn time_to_room(&self) -> Duration {
            let began = Instant::now();
            self.clients.wait_for_room().await;
            began.elapsed()
        }

        fn enter(&self, phase: Phase) {
            self.open.iter().for_each(|client| client.sock.set_phase(phase));
        }
    }

    async fn end_when_evicted(clients: Rc<Clients>, number: u64, client: Rc<Client>) {
        loop {
            client.close.notified().await;
            if clients.confirm_close(&client) {
                return clients.remove(number);
            }
        }
    }

    /// Guards against closing a new connection in the moment in which it was accepted, before its request is
    /// read.
    #[test]
    fn a_full_table_does_not_close_a_connection_that_was_just_accepted() {
        fixture::run(async {
            let table = FullTable::new(3).await;
            assert!(!table.clients.evict());
            let elapsed = table.time_to_room().await;
            assert!(elapsed < ROOM_WITHIN, "{elapsed:?}");
            assert_eq!(table.clients.count(), 2);
        });
    }

    /// Guards against keeping new clients waiting for as long as a request may take to arrive: requests that are
    /// being received become evictable as they age.
    #[test]
    fn a_full_table_finds_room_as_its_requests_under_way_age() {
        fixture::run(async {
            let table = FullTable::new(3).await;
            table.enter(Phase::Reading);
            let elapsed = table.time_to_room().await;
            assert!(elapsed < ROOM_WITHIN, "{elapsed:?}");
        });
    }

    /// Guards against keeping new clients waiting until a connection ends, though all are idle again.
    #[test]
    fn a_full_table_finds_room_once_a_request_is_answered() {
        fixture::run(async {
            let table = FullTable::new(3).await;
            table.enter(Phase::Busy);
            let open = table.open.clone();
            spawn_local(async move {
                tokio::task::yield_now().await;
                open.iter().for_each(|client| client.sock.set_phase(Phase::Idle));
            });
            let elapsed = table.time_to_room().await;
            assert!(elapsed < ROOM_WITHIN, "{elapsed:?}");
        });
    }

    /// Guards against a listener that finds no room though there is some, because another was told of it that
    /// has nobody to accept.
    #[test]
    fn room_is_found_by_each_listener_that_waits_for_it() {
        fixture::run(async {
            let table = FullTable::new(3).await;
            table.enter(Phase::Busy);
            let (first, second) = (table.clients.clone(), table.clients.clone());
            let first = spawn_local(async move { first.wait_for_room().await });
            let second = spawn_local(async move { second.wait_for_room().await });
            tokio::task::yield_now().await;
            table.clients.remove(1);
            timeout(ROOM_WITHIN, async { (first.await, second.await) })
                .await
                .expect("both find room")
                .0
                .expect("no panic");
        });
    }
}
