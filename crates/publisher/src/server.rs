//! The HTTP server of a publisher, for subscribers' watches and operators' calls.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use glenwood_configuration::feed::{Subscriber, MAX_CREDIT};
use glenwood_configuration::message::Summary;
use glenwood_configuration::net::{
    self, EPOCH_PATH, PUSH_PATH, REPORT_PATH, STATUS_PATH, SUBSCRIBER_HEADER, WATCH_PATH,
};
use glenwood_configuration::{Operation, Position, Publication, Request, Time, Version};
use http_body_util::channel::{Channel, Sender};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, sleep_until};

use crate::role::Role;

/// Maximum length of a request body from a subscriber or an operator, in bytes.
const MAX_REQUEST_BYTES: usize = 4 << 20;
/// Maximum number of messages from the followed publisher that wait to be processed.
const MAX_QUEUED_PUBLICATIONS: usize = 16;
/// Maximum number of messages that wait to be written to a subscriber: its credit and a few keep-alives.
const MAX_QUEUED_MESSAGES: usize = MAX_CREDIT as usize + 4;
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum sleep while nothing is scheduled, in milliseconds.
const MAX_SLEEP_MS: Time = 1_000;

type Body = BoxBody<Bytes, Infallible>;

/// The body of an operator's push request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Push {
    /// The version that the change was made for; if absent, the change applies to any version.
    #[serde(default)]
    on: Option<Version>,
    operations: Vec<Operation>,
}

/// The answer to an operator's status request.
#[derive(Debug, Serialize)]
struct Status {
    role: &'static str,
    at: Position,
    resources: usize,
    subscribers: usize,
    nodes: usize,
    #[serde(flatten)]
    summary: Summary,
}

/// A subscriber with an open watch.
struct Watcher {
    subscriber: Subscriber,
    messages: mpsc::Sender<Publication>,
}

/// Serves a source or a relay over HTTP.
pub struct Publisher {
    role: RefCell<Role>,
    started: Instant,
    /// The open watches, by subscriber name.
    watchers: RefCell<HashMap<String, Watcher>>,
    /// The number of the last subscriber.
    last_subscriber: Cell<Subscriber>,
    /// Wakes the main loop after an event that may have made work due.
    changed: Notify,
    /// The task that watches the followed publisher.
    upstream: RefCell<Option<AbortHandle>>,
}

fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() = status;
    response
}

fn json(value: &impl Serialize) -> Response<Body> {
    answer(StatusCode::OK, serde_json::to_vec(value).unwrap_or_default())
}

impl Publisher {
    /// Creates a publisher that is not serving yet.
    pub fn new(role: Role) -> Rc<Self> {
        Rc::new(Self {
            role: RefCell::new(role),
            started: Instant::now(),
            watchers: RefCell::default(),
            last_subscriber: Cell::new(0),
            changed: Notify::new(),
            upstream: RefCell::default(),
        })
    }

    fn now(&self) -> Time {
        self.started.elapsed().as_millis() as Time
    }

    /// Accepts and serves connections; never returns.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        spawn_local(self.clone().run_loop());
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(self.clone().handle_connection(stream))),
                // Most likely no file descriptor is free; one may be after a short delay.
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// The main loop: performs the work that is due and exchanges messages with subscribers and the followed
    /// publisher; never returns.
    async fn run_loop(self: Rc<Self>) {
        let (publications, mut incoming) = mpsc::channel(MAX_QUEUED_PUBLICATIONS);
        let mut watch_id = 0;
        loop {
            let now = self.now();
            self.role.borrow_mut().tick(now);
            while let Some((to, publication)) = self.next_message(now) {
                self.queue_message(to, publication);
            }
            while let Some((to, name, request)) = self.next_request() {
                watch_id += u64::from(matches!(request, Request::Subscribe { .. }));
                self.send_upstream(watch_id, to, name, request, publications.clone());
            }
            let due = self.role.borrow().due().unwrap_or(now + MAX_SLEEP_MS).max(now + 1);
            let due = self.started + Duration::from_millis(due);
            tokio::select! {
                () = sleep_until(due.into()) => {}
                () = self.changed.notified() => {}
                Some((origin, event)) = incoming.recv() => self.receive_upstream(watch_id, origin, event),
            }
        }
    }

    fn next_message(&self, now: Time) -> Option<(Subscriber, Publication)> {
        self.role.borrow_mut().poll_transmit(now)
    }

    fn next_request(&self) -> Option<(SocketAddr, String, Request)> {
        self.role.borrow_mut().poll_request()
    }

    /// Handles a message from the followed publisher, or the end of the watch (`None`). Anything from an
    /// earlier watch than the current one is ignored.
    fn receive_upstream(&self, watch_id: u64, origin: u64, event: Option<Publication>) {
        if origin != watch_id {
            return;
        }
        let now = self.now();
        match event {
            Some(publication) => self.role.borrow_mut().receive_publication(now, publication),
            None => self.role.borrow_mut().disconnected(now),
        }
    }

    /// Sends a request to the followed publisher. A subscription replaces the current watch.
    fn send_upstream(
        &self,
        watch_id: u64,
        to: SocketAddr,
        name: String,
        request: Request,
        publications: mpsc::Sender<(u64, Option<Publication>)>,
    ) {
        if let Request::Report(summary) = request {
            spawn_local(async move {
                let body = serde_json::to_vec(&summary).unwrap_or_default();
                // A lost report is superseded by the next one.
                let _ = net::call(to, &name, REPORT_PATH, Some(body)).await;
            });
            return;
        }
        let watch = spawn_local(async move {
            let (sender, mut received) = mpsc::channel(1);
            let forward = async {
                while let Some(publication) = received.recv().await {
                    if publications.send((watch_id, Some(publication))).await.is_err() {
                        break;
                    }
                }
            };
            let (ended, ()) = tokio::join!(net::watch(to, &name, &request, sender), forward);
            let _ = publications.send((watch_id, None)).await;
            drop(ended);
        });
        if let Some(old) = self.upstream.borrow_mut().replace(watch.abort_handle()) {
            old.abort();
        }
    }

    /// Queues a message for the watch of this subscriber.
    fn queue_message(&self, to: Subscriber, publication: Publication) {
        let watchers = self.watchers.borrow();
        let watcher = watchers.values().find(|watcher| watcher.subscriber == to);
        match watcher.map(|watcher| watcher.messages.try_send(publication)) {
            Some(Ok(())) => {}
            // Changes and pieces stay within the credit, so this is a keep-alive. Dropping it is harmless:
            // the subscriber still has messages to read.
            Some(Err(TrySendError::Full(_))) => {}
            Some(Err(TrySendError::Closed(_))) | None => self.role.borrow_mut().remove_subscriber(to),
        }
    }

    /// Serves one connection.
    async fn handle_connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| {
            let publisher = self.clone();
            async move { Ok::<_, Infallible>(publisher.handle(request).await) }
        });
        // Connection errors are ignored; the peer has to connect again.
        let _ =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    }

    /// Handles one request.
    async fn handle(self: Rc<Self>, request: hyper::Request<Incoming>) -> Response<Body> {
        let name = request
            .headers()
            .get(SUBSCRIBER_HEADER)
            .and_then(|name| name.to_str().ok())
            .unwrap_or("")
            .to_string();
        let (method, path) = (request.method().clone(), request.uri().path().to_string());
        let body = match Limited::new(request.into_body(), MAX_REQUEST_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return answer(StatusCode::BAD_REQUEST, error.to_string()),
        };
        match (method, path.as_str()) {
            (Method::GET, STATUS_PATH) => json(&self.status()),
            (Method::POST, WATCH_PATH) => self.watch(name, &body),
            (Method::POST, REPORT_PATH) => self.report(&name, &body),
            (Method::POST, PUSH_PATH) => self.push(&body),
            (Method::POST, EPOCH_PATH) => self.run_action(|role| role.begin_epoch()),
            _ => answer(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn status(&self) -> Status {
        let mut role = self.role.borrow_mut();
        let summary = role.summary();
        Status {
            role: role.label(),
            at: role.head(),
            resources: role.resource_count(),
            subscribers: self.watchers.borrow().len(),
            nodes: summary.nodes(),
            summary,
        }
    }

    /// Handles an operator's push request.
    fn push(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice::<Push>(body) {
            Ok(push) => self.run_action(|role| role.push(push.operations, push.on)),
            Err(error) => answer(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    /// Runs an operator's action; answers with the new position, or the reason of the failure.
    fn run_action(&self, action: impl FnOnce(&mut Role) -> Result<Position, String>) -> Response<Body> {
        let result = action(&mut self.role.borrow_mut());
        self.changed.notify_one();
        match result {
            Ok(position) => json(&position),
            Err(message) => answer(StatusCode::CONFLICT, message),
        }
    }

    /// Handles a subscriber's report about the nodes behind it.
    fn report(&self, name: &str, body: &[u8]) -> Response<Body> {
        let Ok(summary) = serde_json::from_slice(body) else {
            return answer(StatusCode::BAD_REQUEST, "a summary expected");
        };
        let subscriber = self.watchers.borrow().get(name).map(|watcher| watcher.subscriber);
        match subscriber {
            Some(subscriber) => {
                self.role.borrow_mut().receive(self.now(), subscriber, Request::Report(summary));
                answer(StatusCode::OK, "")
            }
            None => answer(StatusCode::NOT_FOUND, "nobody watches under that name"),
        }
    }

    /// Handles a subscribe request; the answer is a stream of publications.
    fn watch(self: Rc<Self>, name: String, body: &[u8]) -> Response<Body> {
        let subscribe = match serde_json::from_slice(body) {
            Ok(subscribe @ Request::Subscribe { .. }) if !name.is_empty() => subscribe,
            Ok(_) => return answer(StatusCode::BAD_REQUEST, "a subscription with a name expected"),
            Err(error) => return answer(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let subscriber = self.last_subscriber.get() + 1;
        self.last_subscriber.set(subscriber);
        let (messages, pending) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let watcher = Watcher { subscriber, messages };
        if let Some(old) = self.watchers.borrow_mut().insert(name.clone(), watcher) {
            // The subscriber has reconnected: its earlier watch ends.
            self.role.borrow_mut().remove_subscriber(old.subscriber);
        }
        self.role.borrow_mut().receive(self.now(), subscriber, subscribe);
        self.changed.notify_one();
        let (sender, channel) = Channel::<Bytes, Infallible>::new(1);
        spawn_local(self.write_publications(name, subscriber, pending, sender));
        Response::new(channel.boxed())
    }

    /// Writes queued messages to a subscriber until its watch ends.
    async fn write_publications(
        self: Rc<Self>,
        name: String,
        subscriber: Subscriber,
        mut pending: mpsc::Receiver<Publication>,
        mut sender: Sender<Bytes, Infallible>,
    ) {
        while let Some(publication) = pending.recv().await {
            let mut line = serde_json::to_vec(&publication).unwrap_or_default();
            line.push(b'\n');
            if sender.send_data(line.into()).await.is_err() {
                break;
            }
            // Keep-alives use no credit.
            if matches!(publication, Publication::Change(_) | Publication::Piece(_)) {
                self.role.borrow_mut().taken(subscriber);
                self.changed.notify_one();
            }
        }
        self.role.borrow_mut().remove_subscriber(subscriber);
        let mut watchers = self.watchers.borrow_mut();
        if watchers.get(&name).is_some_and(|watcher| watcher.subscriber == subscriber) {
            watchers.remove(&name);
        }
    }
}
