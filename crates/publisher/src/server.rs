//! The HTTP side of a publisher: watches of subscribers, and operators' calls.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use glenwood_configuration::feed::{Subscriber, CREDIT};
use glenwood_configuration::message::Summary;
use glenwood_configuration::net::{self, EPOCH, NAME, PUSH, REPORT, STATUS, WATCH};
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

/// The longest request of a subscriber or an operator, in bytes.
const REQUEST_MOST: usize = 4 << 20;
/// How many messages of the publisher that is followed may wait to be taken.
const HEARD_MOST: usize = 16;
/// How many messages may wait to be written to a subscriber: its credit, and signs of life.
const PENDING_MOST: usize = CREDIT as usize + 4;
/// How long no connection is accepted after one could not be.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);
/// How long the publisher sleeps where nothing is due.
const IDLE: Time = 1_000;

type Body = BoxBody<Bytes, Infallible>;

/// What an operator pushes.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Push {
    /// The version that it was made for, if it may be no other.
    #[serde(default)]
    on: Option<Version>,
    operations: Vec<Operation>,
}

/// What operators are shown.
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

/// One who watches.
struct Watcher {
    subscriber: Subscriber,
    messages: mpsc::Sender<Publication>,
}

/// A publisher on sockets.
pub struct Publisher {
    role: RefCell<Role>,
    started: Instant,
    /// Who watches, by name.
    watchers: RefCell<HashMap<String, Watcher>>,
    last: Cell<Subscriber>,
    /// Something has happened that may have made something due.
    changed: Notify,
    /// The watch at the publisher that this one follows.
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
    /// A publisher that has not begun.
    pub fn new(role: Role) -> Rc<Self> {
        Rc::new(Self {
            role: RefCell::new(role),
            started: Instant::now(),
            watchers: RefCell::default(),
            last: Cell::new(0),
            changed: Notify::new(),
            upstream: RefCell::default(),
        })
    }

    fn now(&self) -> Time {
        self.started.elapsed().as_millis() as Time
    }

    /// Serves whoever connects; never ends.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        spawn_local(self.clone().pump());
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(self.clone().connection(stream))),
                // No descriptor is free: one may be in a moment.
                Err(_) => sleep(ACCEPT_AGAIN).await,
            }
        }
    }

    /// Sends what is to be sent and does what is due; never ends.
    async fn pump(self: Rc<Self>) {
        let (heard, mut incoming) = mpsc::channel(HEARD_MOST);
        let mut call = 0;
        loop {
            let now = self.now();
            self.role.borrow_mut().tick(now);
            while let Some((to, publication)) = self.transmit(now) {
                self.hand_over(to, publication);
            }
            while let Some((to, name, request)) = self.request() {
                call += u64::from(matches!(request, Request::Subscribe { .. }));
                self.say(call, to, name, request, heard.clone());
            }
            let due = self.role.borrow().due().unwrap_or(now + IDLE).max(now + 1);
            let due = self.started + Duration::from_millis(due);
            tokio::select! {
                () = sleep_until(due.into()) => {}
                () = self.changed.notified() => {}
                Some((of, said)) = incoming.recv() => self.heard(call, of, said),
            }
        }
    }

    fn transmit(&self, now: Time) -> Option<(Subscriber, Publication)> {
        self.role.borrow_mut().poll_transmit(now)
    }

    fn request(&self) -> Option<(SocketAddr, String, Request)> {
        self.role.borrow_mut().poll_request()
    }

    /// The publisher that is followed has said something in a call, or the call has ended.
    fn heard(&self, call: u64, of: u64, said: Option<Publication>) {
        if of != call {
            return;
        }
        let now = self.now();
        match said {
            Some(publication) => self.role.borrow_mut().heard(now, publication),
            None => self.role.borrow_mut().disconnected(now),
        }
    }

    /// Says something to the publisher that is followed.
    fn say(
        &self,
        call: u64,
        to: SocketAddr,
        name: String,
        request: Request,
        heard: mpsc::Sender<(u64, Option<Publication>)>,
    ) {
        if let Request::Report(summary) = request {
            spawn_local(async move {
                let body = serde_json::to_vec(&summary).unwrap_or_default();
                // One that is lost is made good by the next.
                let _ = net::call(to, &name, REPORT, Some(body)).await;
            });
            return;
        }
        let watch = spawn_local(async move {
            let (sender, mut publications) = mpsc::channel(1);
            let forward = async {
                while let Some(publication) = publications.recv().await {
                    if heard.send((call, Some(publication))).await.is_err() {
                        break;
                    }
                }
            };
            let (ended, ()) = tokio::join!(net::watch(to, &name, &request, sender), forward);
            let _ = heard.send((call, None)).await;
            drop(ended);
        });
        if let Some(old) = self.upstream.borrow_mut().replace(watch.abort_handle()) {
            old.abort();
        }
    }

    /// Gives a message to the one who watches under that number.
    fn hand_over(&self, to: Subscriber, publication: Publication) {
        let watchers = self.watchers.borrow();
        let watcher = watchers.values().find(|watcher| watcher.subscriber == to);
        match watcher.map(|watcher| watcher.messages.try_send(publication)) {
            Some(Ok(())) => {}
            // Changes and pieces stay within the credit: it is a sign of life, for one who has more to read than that.
            Some(Err(TrySendError::Full(_))) => {}
            Some(Err(TrySendError::Closed(_))) | None => self.role.borrow_mut().leave(to),
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| {
            let publisher = self.clone();
            async move { Ok::<_, Infallible>(publisher.answer(request).await) }
        });
        // What breaks a connection is the other side's affair.
        let _ =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    }

    async fn answer(self: Rc<Self>, request: hyper::Request<Incoming>) -> Response<Body> {
        let name = request.headers().get(NAME).and_then(|name| name.to_str().ok()).unwrap_or("").to_string();
        let (method, path) = (request.method().clone(), request.uri().path().to_string());
        let body = match Limited::new(request.into_body(), REQUEST_MOST).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return answer(StatusCode::BAD_REQUEST, error.to_string()),
        };
        match (method, path.as_str()) {
            (Method::GET, STATUS) => json(&self.status()),
            (Method::POST, WATCH) => self.watch(name, &body),
            (Method::POST, REPORT) => self.report(&name, &body),
            (Method::POST, PUSH) => self.push(&body),
            (Method::POST, EPOCH) => self.made(|role| role.begin_epoch()),
            _ => answer(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn status(&self) -> Status {
        let mut role = self.role.borrow_mut();
        let summary = role.summary();
        Status {
            role: role.word(),
            at: role.head(),
            resources: role.resources(),
            subscribers: self.watchers.borrow().len(),
            nodes: summary.nodes(),
            summary,
        }
    }

    fn push(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice::<Push>(body) {
            Ok(push) => self.made(|role| role.push(push.operations, push.on)),
            Err(error) => answer(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    /// Answers an operator with the position that was made, or why none was.
    fn made(&self, make: impl FnOnce(&mut Role) -> Result<Position, String>) -> Response<Body> {
        let made = make(&mut self.role.borrow_mut());
        self.changed.notify_one();
        match made {
            Ok(position) => json(&position),
            Err(words) => answer(StatusCode::CONFLICT, words),
        }
    }

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

    fn watch(self: Rc<Self>, name: String, body: &[u8]) -> Response<Body> {
        let subscribe = match serde_json::from_slice(body) {
            Ok(subscribe @ Request::Subscribe { .. }) if !name.is_empty() => subscribe,
            Ok(_) => return answer(StatusCode::BAD_REQUEST, "a subscription with a name expected"),
            Err(error) => return answer(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let subscriber = self.last.get() + 1;
        self.last.set(subscriber);
        let (messages, pending) = mpsc::channel(PENDING_MOST);
        let watcher = Watcher { subscriber, messages };
        if let Some(old) = self.watchers.borrow_mut().insert(name.clone(), watcher) {
            // It has come again: its last watch ends.
            self.role.borrow_mut().leave(old.subscriber);
        }
        self.role.borrow_mut().receive(self.now(), subscriber, subscribe);
        self.changed.notify_one();
        let (sender, channel) = Channel::<Bytes, Infallible>::new(1);
        spawn_local(self.write(name, subscriber, pending, sender));
        Response::new(channel.boxed())
    }

    /// Writes what a subscriber is sent, for as long as it takes it.
    async fn write(
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
            // Signs of life take no credit.
            if matches!(publication, Publication::Change(_) | Publication::Piece(_)) {
                self.role.borrow_mut().taken(subscriber);
                self.changed.notify_one();
            }
        }
        self.role.borrow_mut().leave(subscriber);
        let mut watchers = self.watchers.borrow_mut();
        if watchers.get(&name).is_some_and(|watcher| watcher.subscriber == subscriber) {
            watchers.remove(&name);
        }
    }
}
