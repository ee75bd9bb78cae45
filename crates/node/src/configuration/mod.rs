//! Versioned configuration: the replica of this node, its connection to a publisher, and how the node
//! applies what the replica receives.
//!
//! Tenants and classes of the replica take precedence over those of the configuration file; when a resource
//! is removed, the file's value applies again. Servers of the replica form a second list beside
//! discovery's.

mod offer;
mod table;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use glenwood_configuration::replica::Offer;
use glenwood_configuration::{net, Body, Publication, Replica, Request, Time};
use glenwood_operation::figures::Metric;
use glenwood_settings::NodeSettings;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;

use crate::hub::{Hub, Overlay};
use crate::inspect::Part;
use crate::log;

use offer::Base;
pub use table::Table;

/// The most messages of a publisher that are queued.
const MAX_QUEUED_MESSAGES: usize = 16;

/// The number of a call, and a message from the publisher; `None` when the call has ended.
type ReceivedMessage = (u64, Option<Publication>);

/// The replica of this node and its connection to a publisher.
pub struct Configuration {
    hub: Rc<Hub>,
    table: Table,
    replica: RefCell<Replica>,
    /// The file's values of resources that the replica has too.
    base: RefCell<Base>,
    /// The number of the current call to the publisher, and its task.
    call: RefCell<(u64, Option<AbortHandle>)>,
}

impl Configuration {
    /// Creates the replica from the operator's file; `None` where it is off.
    pub fn new(hub: &Rc<Hub>) -> Option<Rc<Self>> {
        let table = hub.config.operator.configuration.clone()?;
        let name = &hub.config.name;
        let seed = hub.config.seed ^ u64::from(std::process::id());
        let now = hub.clock.now() as Time;
        let replica = Replica::new(name, table.scope.clone(), table.publishers.len(), seed, now);
        Some(Rc::new(Self {
            hub: hub.clone(),
            table,
            replica: RefCell::new(replica),
            base: RefCell::default(),
            call: RefCell::default(),
        }))
    }

    fn now(&self) -> Time {
        self.hub.clock.now() as Time
    }

    /// Follows publishers; never returns.
    pub async fn run(self: Rc<Self>) {
        let (received_messages, mut incoming) = mpsc::channel::<ReceivedMessage>(MAX_QUEUED_MESSAGES);
        loop {
            let now = self.now();
            self.replica.borrow_mut().tick(now);
            self.apply_offers(now);
            while let Some(request) = self.poll_request() {
                self.send_request(request, &received_messages);
            }
            let due = self.replica.borrow().next_wakeup().saturating_sub(now).max(1);
            tokio::select! {
                () = sleep(Duration::from_millis(due)) => {}
                Some((call, message)) = incoming.recv() => self.on_message(call, message),
            }
        }
    }

    fn poll_request(&self) -> Option<Request> {
        self.replica.borrow_mut().poll_request()
    }

    /// Handles a publisher's message, or the end of the call to it.
    fn on_message(&self, call: u64, message: Option<Publication>) {
        if call != self.call.borrow().0 {
            return;
        }
        let now = self.now();
        match message {
            Some(publication) => self.replica.borrow_mut().receive(now, publication),
            None => self.replica.borrow_mut().disconnected(now),
        }
    }

    /// Sends a request to the followed publisher. A subscription replaces the current call.
    fn send_request(&self, request: Request, received_messages: &mpsc::Sender<ReceivedMessage>) {
        let to = self.table.publishers[self.replica.borrow().publisher_index()];
        let name = self.hub.config.name.clone();
        if let Request::Report(summary) = request {
            spawn_local(async move {
                let body = serde_json::to_vec(&summary).unwrap_or_default();
                // A lost report is made up for by the next one.
                let _ = net::call(to, &name, net::REPORT_PATH, Some(body)).await;
            });
            return;
        }
        let mut call = self.call.borrow_mut();
        let number = call.0 + 1;
        let watch = spawn_local(watch(number, to, name, request, received_messages.clone()));
        if let (_, Some(old)) = std::mem::replace(&mut *call, (number, Some(watch.abort_handle()))) {
            old.abort();
        }
    }

    /// Applies new offers, each completely or not at all; no request is read meanwhile.
    fn apply_offers(&self, now: Time) {
        while let Some(offer) = self.poll_offer() {
            let version = offer.version;
            match self.apply_offer(&offer) {
                Ok(()) => self.replica.borrow_mut().accept(now, offer),
                Err(reason) => {
                    log::write_line(format!("configuration: {version} is rejected: {reason}"));
                    self.replica.borrow_mut().reject(now, version, reason);
                }
            }
        }
    }

    fn poll_offer(&self) -> Option<Offer> {
        self.replica.borrow_mut().poll_offer()
    }

    fn apply_offer(&self, offer: &Offer) -> Result<(), String> {
        let replica = self.replica.borrow();
        let prepared = self.base.borrow().prepare(&self.hub, replica.resources(), offer)?;
        self.hub.change_settings(prepared.settings).map_err(|e| e.to_string())?;
        *self.base.borrow_mut() = prepared.base;
        if !prepared.servers.is_empty() {
            self.hub.apply_configured_servers(prepared.servers);
        }
        Ok(())
    }
}

/// Watches a publisher until the call is aborted or breaks.
async fn watch(
    number: u64,
    to: std::net::SocketAddr,
    name: String,
    subscribe: Request,
    received_messages: mpsc::Sender<ReceivedMessage>,
) {
    let (sender, mut publications) = mpsc::channel(1);
    let forward = async {
        while let Some(publication) = publications.recv().await {
            if received_messages.send((number, Some(publication))).await.is_err() {
                break;
            }
        }
    };
    // The reason is of no use: the replica chooses the next publisher in any case.
    let (_, ()) = tokio::join!(net::watch(to, &name, &subscribe, sender), forward);
    let _ = received_messages.send((number, None)).await;
}

impl Overlay for Configuration {
    fn apply(&self, settings: &mut NodeSettings) {
        let replica = self.replica.borrow();
        *self.base.borrow_mut() = Base::of(settings, replica.resources());
        offer::apply_resources(settings, replica.resources());
    }
}

impl Part for Configuration {
    fn name(&self) -> &'static str {
        "configuration"
    }

    fn report(&self) -> serde_json::Value {
        let replica = self.replica.borrow();
        let servers =
            replica.resources().iter().filter(|(_, entry)| matches!(entry.body, Body::Server(_))).count();
        json!({
            "in_force": replica.version_in_force(),
            "received": replica.received_version(),
            "age_ms": replica.age_ms(self.now()),
            "publisher": self.table.publishers[replica.publisher_index()],
            "behind": replica.publisher_behind(),
            "rejected": replica.last_rejection(),
            "resources": replica.resources().len(),
            "servers": servers,
        })
    }

    fn figures(&self) -> Vec<Metric> {
        let replica = self.replica.borrow();
        let in_force = replica.version_in_force().unwrap_or_default();
        let age = replica.age_ms(self.now()).unwrap_or(0);
        let rejected = u64::from(replica.last_rejection().is_some());
        let gauge = |name, value, help| Metric { name, is_counter: false, help, value };
        vec![
            gauge("configuration_epoch", in_force.epoch, "Epoch of the version in force."),
            gauge("configuration_number", in_force.number, "Number of the version in force."),
            gauge("configuration_age_ms", age, "How long ago that was known to be the source's."),
            gauge("configuration_rejected", rejected, "A later version was turned down."),
        ]
    }
}
