//! Server registrations over sockets, in real time.

use std::net::SocketAddr;
use std::time::Instant;

use glenwood_coordination::net::Driver;
use glenwood_coordination::registrar::{Registrar, RegistrarEvent};
use glenwood_coordination::session::Settings;
use glenwood_list::{Endpoint, ListEntry, Protocol};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::runtime;
use crate::server::{self, StandIn};

enum Command {
    Drain,
    End,
}

/// A server's registration. Dropping it disconnects without ending the session, so the entry stays until the
/// session expires.
pub struct Registration {
    commands: mpsc::UnboundedSender<Command>,
    last: watch::Receiver<Option<RegistrarEvent>>,
    task: JoinHandle<()>,
}

/// The list entry of a test server.
pub fn entry(server: &StandIn, start_time_ms: f64) -> ListEntry {
    let protocol = match server.identity.protocol {
        server::Protocol::Http => Protocol::Http1,
        server::Protocol::Rpc => Protocol::Msgpack,
    };
    let dial = Endpoint { address: server.address, protocol };
    ListEntry {
        cell: Some(server.identity.cell),
        started_ms: start_time_ms,
        ..ListEntry::active(&server.identity.name, dial)
    }
}

impl Registration {
    /// Registers a server under `/servers`, with this session time-out in milliseconds.
    pub fn start(members: &[SocketAddr], host: ListEntry, timeout: f64) -> Self {
        let (commands, command_receiver) = mpsc::unbounded_channel();
        let (event_sender, last) = watch::channel(None);
        // Seeds the order in which members are tried; it only has to differ between servers.
        let seed = host.host.bytes().fold(7u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
        let settings = Settings { members: members.len(), timeout, seed };
        let driver =
            Driver::new(Registrar::new(0.0, settings, "/servers", host), members.to_vec(), Instant::now());
        let task = runtime().spawn(run(driver, command_receiver, event_sender));
        Self { commands, last, task }
    }

    /// Waits until the server is registered.
    ///
    /// # Panics
    /// If the registration does not complete.
    pub fn wait_registered(&self) {
        crate::until("a server is registered", || *self.last.borrow() == Some(RegistrarEvent::Registered));
    }

    /// Marks the server as draining and waits until that is written.
    ///
    /// # Panics
    /// If it is not written.
    pub fn drain(&self) {
        // Sending fails only if the task has ended, and then the wait below fails.
        let _ = self.commands.send(Command::Drain);
        crate::until("a drain is written", || *self.last.borrow() == Some(RegistrarEvent::Draining));
    }

    /// Ends the session and with it the entry.
    ///
    /// # Panics
    /// If the session does not end.
    pub fn end(self) {
        let _ = self.commands.send(Command::End);
        crate::until("a registration ends", || self.task.is_finished());
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    mut driver: Driver<Registrar>,
    mut command_receiver: mpsc::UnboundedReceiver<Command>,
    event_sender: watch::Sender<Option<RegistrarEvent>>,
) {
    loop {
        tokio::select! {
            event = driver.next() => {
                event_sender.send_replace(Some(event));
                if event == RegistrarEvent::Stopped {
                    return driver.finish().await;
                }
            }
            command = command_receiver.recv() => {
                let now = driver.now();
                match command {
                    Some(Command::Drain) => driver.machine_mut().drain(now),
                    Some(Command::End) | None => driver.machine_mut().deregister(now),
                }
            }
        }
    }
}
