//! Configuration in versions: the replica of this node, its connection to a publisher, and what the node takes over of it.
//!
//! What the replica has in force goes before what the configuration file says of the same tenants and classes; a resource that is
//! removed leaves the file's word. Servers are a second list beside discovery's.

mod offer;
mod table;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use glenwood_configuration::replica::Offer;
use glenwood_configuration::{net, Body, Publication, Replica, Request, Time};
use glenwood_operation::figures::Figure;
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

/// How many messages of a publisher may wait to be taken.
const HEARD_MOST: usize = 16;

/// What a publisher says in the call of that number; `None`: the call has ended.
type Heard = (u64, Option<Publication>);

/// The replica of this node.
pub struct Configuration {
    hub: Rc<Hub>,
    table: Table,
    replica: RefCell<Replica>,
    /// What the file says of what the replica has too.
    base: RefCell<Base>,
    /// The call to the publisher that stands.
    call: RefCell<(u64, Option<AbortHandle>)>,
}

impl Configuration {
    /// What the operator's file says of it; `None` where it is off.
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

    /// Follows publishers; never ends.
    pub async fn run(self: Rc<Self>) {
        let (heard, mut incoming) = mpsc::channel::<Heard>(HEARD_MOST);
        loop {
            let now = self.now();
            self.replica.borrow_mut().tick(now);
            self.take_offers(now);
            while let Some(request) = self.poll_request() {
                self.say(request, &heard);
            }
            let due = self.replica.borrow().due().saturating_sub(now).max(1);
            tokio::select! {
                () = sleep(Duration::from_millis(due)) => {}
                Some((call, said)) = incoming.recv() => self.hear(call, said),
            }
        }
    }

    fn poll_request(&self) -> Option<Request> {
        self.replica.borrow_mut().poll_request()
    }

    /// A publisher has said something, or the call to it has ended.
    fn hear(&self, call: u64, said: Option<Publication>) {
        if call != self.call.borrow().0 {
            return;
        }
        let now = self.now();
        match said {
            Some(publication) => self.replica.borrow_mut().receive(now, publication),
            None => self.replica.borrow_mut().disconnected(now),
        }
    }

    /// Says something to the publisher that is followed. A subscription ends the call that stood.
    fn say(&self, request: Request, heard: &mpsc::Sender<Heard>) {
        let to = self.table.publishers[self.replica.borrow().publisher()];
        let name = self.hub.config.name.clone();
        if let Request::Report(summary) = request {
            spawn_local(async move {
                let body = serde_json::to_vec(&summary).unwrap_or_default();
                // One that is lost is made good by the next.
                let _ = net::call(to, &name, net::REPORT, Some(body)).await;
            });
            return;
        }
        let mut call = self.call.borrow_mut();
        let number = call.0 + 1;
        let watch = spawn_local(watch(number, to, name, request, heard.clone()));
        if let (_, Some(old)) = std::mem::replace(&mut *call, (number, Some(watch.abort_handle()))) {
            old.abort();
        }
    }

    /// Takes over what is new, whole or not at all; no request is read meanwhile.
    fn take_offers(&self, now: Time) {
        while let Some(offer) = self.poll_offer() {
            let version = offer.version;
            match self.take(&offer) {
                Ok(()) => self.replica.borrow_mut().accept(now, offer),
                Err(reason) => {
                    log::line(format!("configuration: {version} is turned down: {reason}"));
                    self.replica.borrow_mut().reject(now, version, reason);
                }
            }
        }
    }

    fn poll_offer(&self) -> Option<Offer> {
        self.replica.borrow_mut().poll_offer()
    }

    fn take(&self, offer: &Offer) -> Result<(), String> {
        let replica = self.replica.borrow();
        let prepared = self.base.borrow().prepare(&self.hub, replica.resources(), offer)?;
        self.hub.change_settings(prepared.settings).map_err(|e| e.to_string())?;
        *self.base.borrow_mut() = prepared.base;
        if !prepared.hosts.is_empty() {
            self.hub.configured_servers(prepared.hosts);
        }
        Ok(())
    }
}

/// Watches a publisher until the call is ended from here or breaks.
async fn watch(
    number: u64,
    to: std::net::SocketAddr,
    name: String,
    subscribe: Request,
    heard: mpsc::Sender<Heard>,
) {
    let (sender, mut publications) = mpsc::channel(1);
    let forward = async {
        while let Some(publication) = publications.recv().await {
            if heard.send((number, Some(publication))).await.is_err() {
                break;
            }
        }
    };
    // Why it ended is told by where the node goes next.
    let (_, ()) = tokio::join!(net::watch(to, &name, &subscribe, sender), forward);
    let _ = heard.send((number, None)).await;
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
            "in_force": replica.in_force(),
            "received": replica.received(),
            "age_ms": replica.age(self.now()),
            "publisher": self.table.publishers[replica.publisher()],
            "behind": replica.behind(),
            "rejected": replica.rejected(),
            "resources": replica.resources().len(),
            "servers": servers,
        })
    }

    fn figures(&self) -> Vec<Figure> {
        let replica = self.replica.borrow();
        let in_force = replica.in_force().unwrap_or_default();
        let age = replica.age(self.now()).unwrap_or(0);
        let rejected = u64::from(replica.rejected().is_some());
        let gauge = |name, value, help| Figure { name, counts: false, help, value };
        vec![
            gauge("configuration_epoch", in_force.epoch, "Epoch of the version in force."),
            gauge("configuration_number", in_force.number, "Number of the version in force."),
            gauge("configuration_age_ms", age, "How long ago that was known to be the source's."),
            gauge("configuration_rejected", rejected, "A later version was turned down."),
        ]
    }
}
