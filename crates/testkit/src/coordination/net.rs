//! Runs an ensemble on loopback sockets, in real time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use glenwood_coordination::Millis;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::ensemble::{ConnId, Ensemble};
use crate::runtime;

/// Longest sleep of the timer task when nothing is due.
const IDLE: Duration = Duration::from_millis(500);

struct Shared {
    ensemble: Mutex<Ensemble>,
    start: Instant,
    /// Incremented with each change, to wake up all connections.
    changed: watch::Sender<u64>,
}

impl Shared {
    fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn lock(&self) -> MutexGuard<'_, Ensemble> {
        self.ensemble.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Brings the ensemble up to the current time, changes it, and wakes up all connections.
    fn change<T>(&self, change: impl FnOnce(&mut Ensemble, Millis) -> T) -> T {
        let done = {
            let mut ensemble = self.lock();
            let now = self.now();
            ensemble.handle_timeout(now);
            change(&mut ensemble, now)
        };
        self.changed.send_modify(|n| *n += 1);
        done
    }
}

/// A running ensemble. Dropping it ends the service and all connections.
pub struct Service {
    /// Address of each member.
    pub members: Vec<SocketAddr>,
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Service {
    /// Starts this many members on free ports of 127.0.0.1.
    ///
    /// # Panics
    /// If no port is free.
    pub fn start(members: usize) -> Self {
        let (changed, _) = watch::channel(0);
        let ensemble = Mutex::new(Ensemble::new(members));
        let shared = Arc::new(Shared { ensemble, start: Instant::now(), changed });
        let (mut addresses, mut tasks) = (Vec::new(), vec![runtime().spawn(run_timer(shared.clone()))]);
        for member in 0..members {
            let listener = crate::wait("binding a listener", TcpListener::bind("127.0.0.1:0"))
                .expect("cannot bind to a free port");
            addresses.push(listener.local_addr().expect("a bound socket has an address"));
            tasks.push(runtime().spawn(accept(shared.clone(), member, listener)));
        }
        Self { members: addresses, shared, tasks }
    }

    /// Changes the ensemble, for instance to cause or undo a fault.
    pub fn change<T>(&self, change: impl FnOnce(&mut Ensemble) -> T) -> T {
        self.shared.change(|ensemble, _| change(ensemble))
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn run_timer(shared: Arc<Shared>) {
    let mut changed = shared.changed.subscribe();
    loop {
        let due = shared.lock().poll_timeout();
        let span =
            due.map_or(IDLE, |due| Duration::from_secs_f64((due - shared.now()).clamp(0.0, 500.0) / 1000.0));
        // Sleeps a minimum time, so that a timer that is due again at once cannot occupy the core.
        let span = span.max(Duration::from_millis(1));
        tokio::select! {
            () = tokio::time::sleep(span) => shared.change(|_, _| {}),
            _ = changed.changed() => {}
        }
    }
}

async fn accept(shared: Arc<Shared>, member: usize, listener: TcpListener) {
    let mut conns = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        // The port of a member that is down closes each connection, which has the same effect as refusing it.
        let Some(id) = shared.change(|ensemble, _| ensemble.open(member)) else { continue };
        let shared = shared.clone();
        conns.spawn(async move {
            // An I/O error only ends this connection.
            let _ = serve(&shared, id, stream).await;
            shared.change(|ensemble, _| ensemble.close(id));
        });
        while conns.try_join_next().is_some() {}
    }
}

async fn serve(shared: &Shared, id: ConnId, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut changed = shared.changed.subscribe();
    let mut chunk = vec![0; 64 * 1024];
    loop {
        changed.mark_unchanged();
        let (out, closed) = {
            let mut ensemble = shared.lock();
            (ensemble.output(id), ensemble.is_closed(id))
        };
        stream.write_all(&out).await?;
        if closed {
            return stream.shutdown().await;
        }
        tokio::select! {
            read = stream.read(&mut chunk) => match read? {
                0 => return Ok(()),
                n => shared.change(|ensemble, now| ensemble.received(now, id, &chunk[..n])),
            },
            _ = changed.changed() => {}
        }
    }
}
