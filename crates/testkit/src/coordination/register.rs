//! Registrations on sockets, in real time.

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

/// A server's registration. It ends without a word when this is dropped: its entry stays until the session ends.
pub struct Registration {
    commands: mpsc::UnboundedSender<Command>,
    said: watch::Receiver<Option<RegistrarEvent>>,
    task: JoinHandle<()>,
}

/// The entry of a stand-in server.
pub fn entry(server: &StandIn, born_ms: f64) -> ListEntry {
    let protocol = match server.identity.protocol {
        server::Protocol::Http => Protocol::Http1,
        server::Protocol::Rpc => Protocol::Msgpack,
    };
    let dial = Endpoint { address: server.address, protocol };
    ListEntry {
        cell: server.identity.cell,
        started_ms: born_ms,
        ..ListEntry::active(&server.identity.name, dial)
    }
}

impl Registration {
    /// Registers under `/servers`, with a session of that time-out in milliseconds.
    pub fn start(members: &[SocketAddr], host: ListEntry, timeout: f64) -> Self {
        let (commands, told) = mpsc::unbounded_channel();
        let (say, said) = watch::channel(None);
        // A seed for the order in which members are tried: any will do, if it differs from server to server.
        let seed = host.host.bytes().fold(7u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
        let settings = Settings { members: members.len(), timeout, seed };
        let driver =
            Driver::new(Registrar::new(0.0, settings, "/servers", host), members.to_vec(), Instant::now());
        let task = runtime().spawn(keep(driver, told, say));
        Self { commands, said, task }
    }

    /// Waits until it is there.
    ///
    /// # Panics
    /// Where it does not come.
    pub fn wait_registered(&self) {
        crate::until("a server is registered", || *self.said.borrow() == Some(RegistrarEvent::Registered));
    }

    /// Says that the server drains, and waits until that is written.
    ///
    /// # Panics
    /// Where it is not.
    pub fn drain(&self) {
        // A task that has ended says nothing more, and the wait tells.
        let _ = self.commands.send(Command::Drain);
        crate::until("a drain is written", || *self.said.borrow() == Some(RegistrarEvent::Draining));
    }

    /// Ends the session, and the entry with it.
    ///
    /// # Panics
    /// Where it does not end.
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

async fn keep(
    mut driver: Driver<Registrar>,
    mut told: mpsc::UnboundedReceiver<Command>,
    say: watch::Sender<Option<RegistrarEvent>>,
) {
    loop {
        tokio::select! {
            said = driver.next() => {
                say.send_replace(Some(said));
                if said == RegistrarEvent::Stopped {
                    return driver.finish().await;
                }
            }
            command = told.recv() => {
                let now = driver.now();
                match command {
                    Some(Command::Drain) => driver.machine_mut().drain(now),
                    Some(Command::End) | None => driver.machine_mut().deregister(now),
                }
            }
        }
    }
}
