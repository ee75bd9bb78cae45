//! What the node adds: the same load sent directly, through a bare hyper proxy, and through the node, on the same cores
//! in the same run. `cargo bench -p glenwood-node --bench proxy [-- --seconds N] [--against FILE]`; `--against` loads
//! another build of the program over HTTP as well.
//!
//! Servers, load and proxies are processes of their own, where `taskset` is there on cores of their own: the proxies on
//! core 0, one at a time; the servers on core 1; the load on the rest.

use std::convert::Infallible;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use glenwood_testkit::client::{Answer, Ask, Client, Effect, RpcClient};
use glenwood_testkit::discovery::{host, Discovery};
use glenwood_testkit::node::{config, settings, Node, Program};
use glenwood_testkit::runtime;
use glenwood_testkit::script::{always, Ledger, Step};
use glenwood_testkit::server::{Identity, Protocol, StandIn};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util_io::TokioIo;
use tokio::net::{TcpListener, TcpStream};

/// The least that hyper needs of a tokio stream.
mod hyper_util_io {
    use std::pin::Pin;
    use std::task::{Context, Poll};

    use hyper::rt::{Read, ReadBufCursor, Write};
    use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
    use tokio::net::TcpStream;

    pub struct TokioIo(pub TcpStream);

    impl Read for TokioIo {
        fn poll_read(
            mut self: Pin<&mut Self>,
            cx: &mut Context<'_>,
            mut buf: ReadBufCursor<'_>,
        ) -> Poll<std::io::Result<()>> {
            let mut chunk = [0; 8192];
            let room = buf.remaining().min(chunk.len());
            let mut read = ReadBuf::new(&mut chunk[..room]);
            let polled = Pin::new(&mut self.0).poll_read(cx, &mut read);
            if matches!(polled, Poll::Ready(Ok(()))) {
                buf.put_slice(read.filled());
            }
            polled
        }
    }

    impl Write for TokioIo {
        fn poll_write(
            mut self: Pin<&mut Self>,
            cx: &mut Context<'_>,
            buf: &[u8],
        ) -> Poll<std::io::Result<usize>> {
            Pin::new(&mut self.0).poll_write(cx, buf)
        }

        fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
            Pin::new(&mut self.0).poll_flush(cx)
        }

        fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
            Pin::new(&mut self.0).poll_shutdown(cx)
        }
    }
}

const SERVERS: usize = 12;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let at = |n: usize| arguments.get(n).map(String::as_str);
    match at(1) {
        Some("serve-http") => serve_http(),
        Some("serve-rpc") => {
            let identity = Identity { name: "s".into(), cell: 0, protocol: Protocol::Rpc };
            let ledger = Ledger::new(Duration::ZERO);
            let server = StandIn::start(identity, always(Step::Serve), ledger);
            announce(server.address);
            std::thread::park();
        }
        Some("bare") => bare_proxy(at(2).and_then(|a| a.parse().ok()).expect("an address")),
        _ => {
            let seconds =
                arguments.iter().position(|a| a == "--seconds").and_then(|n| at(n + 1)?.parse().ok());
            let against = arguments.iter().position(|a| a == "--against").and_then(|n| at(n + 1));
            measure(Duration::from_secs_f64(seconds.unwrap_or(2.0)), against);
        }
    }
}

fn announce(address: SocketAddr) {
    println!("{address}");
}

fn one_thread(doing: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, doing);
}

/// A server that answers at once.
fn serve_http() {
    one_thread(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        announce(listener.local_addr().expect("bound"));
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::task::spawn_local(async move {
                let answer = service_fn(|request: Request<Incoming>| async {
                    let _ = request.into_body().collect().await;
                    Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"served"))))
                });
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo(stream), answer)
                    .await;
            });
        }
    });
}

/// A proxy that decides nothing: one connection to the server for each client's.
fn bare_proxy(server: SocketAddr) {
    one_thread(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        announce(listener.local_addr().expect("bound"));
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::task::spawn_local(async move {
                let Ok(upstream) = TcpStream::connect(server).await else { return };
                let _ = upstream.set_nodelay(true);
                let Ok((send, conn)) = hyper::client::conn::http1::handshake(TokioIo(upstream)).await else {
                    return;
                };
                tokio::task::spawn_local(conn);
                let send = std::rc::Rc::new(tokio::sync::Mutex::new(send));
                let pass = service_fn(|request: Request<Incoming>| {
                    let send = send.clone();
                    async move {
                        let (parts, body) = request.into_parts();
                        let body = body.collect().await?.to_bytes();
                        let mut send = send.lock().await;
                        send.ready().await?;
                        let answer = send.send_request(Request::from_parts(parts, Full::new(body))).await?;
                        let (parts, body) = answer.into_parts();
                        let body = body.collect().await?.to_bytes();
                        Ok::<_, hyper::Error>(Response::from_parts(parts, Full::new(body)))
                    }
                });
                let _ =
                    hyper::server::conn::http1::Builder::new().serve_connection(TokioIo(stream), pass).await;
            });
        }
    });
}

/// A process of this program that has said where it listens.
struct Part {
    child: Child,
    address: SocketAddr,
}

impl Drop for Part {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn pinned(core: usize) -> Option<[String; 3]> {
    let there = Command::new("taskset").arg("-V").stdout(Stdio::null()).status().is_ok_and(|s| s.success());
    there.then(|| ["taskset".to_string(), "-c".to_string(), core.to_string()])
}

fn part(core: usize, arguments: &[&str]) -> Part {
    let me = std::env::current_exe().expect("this program");
    let mut command = match pinned(core) {
        Some([taskset, flag, core]) => {
            let mut command = Command::new(taskset);
            command.args([flag, core]).arg(me);
            command
        }
        None => Command::new(me),
    };
    let mut child = command.args(arguments).stdout(Stdio::piped()).spawn().expect("it starts");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line).expect("an address");
    Part { child, address: line.trim().parse().expect("an address") }
}

struct Figures {
    per_second: f64,
    took: Histogram<u64>,
    other: u64,
}

/// Loads an address for a while.
fn load(protocol: Protocol, to: SocketAddr, connections: usize, calls: usize, span: Duration) -> Figures {
    let warm = span / 4;
    let begin = Instant::now() + warm;
    let end = begin + span;
    let tasks: Vec<_> = (0..connections)
        .map(|c| {
            runtime().spawn(async move {
                let mut took =
                    Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds that make sense");
                let (mut served, mut other) = (0u64, 0u64);
                let mut note = |asked: Instant, answer: &Answer| {
                    let now = Instant::now();
                    if now < begin || now >= end {
                        return;
                    }
                    if matches!(answer, Answer::Served(_)) {
                        served += 1;
                        took.saturating_record((now - asked).as_micros() as u64);
                    } else {
                        other += 1;
                    }
                };
                let ask = |n: u64| Ask::new("look", Effect::Safe, &format!("{c}-{n}"), 5000);
                match protocol {
                    Protocol::Http => {
                        let mut client = Client::connect(protocol, to).await.expect("it listens");
                        let mut n = 0;
                        while Instant::now() < end {
                            n += 1;
                            let asked = Instant::now();
                            let answer = client.ask(&ask(n)).await;
                            note(asked, &answer);
                            if answer == Answer::Lost {
                                client = Client::connect(protocol, to).await.expect("it listens");
                            }
                        }
                    }
                    Protocol::Rpc => {
                        let stream = TcpStream::connect(to).await.expect("it listens");
                        let _ = stream.set_nodelay(true);
                        let mut client = RpcClient::new(stream);
                        let mut asked = std::collections::HashMap::new();
                        let mut n = 0;
                        while Instant::now() < end {
                            while asked.len() < calls {
                                n += 1;
                                let at = Instant::now();
                                asked.insert(client.send(&ask(n)).await.expect("it reads"), at);
                            }
                            let (id, answer) = client.next().await.expect("the connection stands");
                            note(asked.remove(&id).expect("asked"), &answer);
                        }
                    }
                }
                (served, other, took)
            })
        })
        .collect();
    let mut all = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds that make sense");
    let (mut served, mut other) = (0, 0);
    for task in tasks {
        let (s, o, took) = runtime().block_on(task).expect("no panic");
        served += s;
        other += o;
        all.add(took).expect("the same bounds");
    }
    Figures { per_second: served as f64 / span.as_secs_f64(), took: all, other }
}

fn row(name: &str, figures: &Figures) {
    let at = |q| figures.took.value_at_quantile(q);
    println!(
        "  {name:12} {:>9.0}/s   p50 {:>6} us   p99 {:>6} us   not served {}",
        figures.per_second,
        at(0.5),
        at(0.99),
        figures.other
    );
}

const OPERATOR: &str = "[msgpack]\nlisten = '127.0.0.1:0'\nopen_calls = 64\n";

fn node(glenwood: &str, operator: Option<&str>, protocol: Protocol, server: SocketAddr) -> (Discovery, Node) {
    let hosts: Vec<_> =
        (0..SERVERS).map(|n| host(&format!("s{n}"), server, protocol, 0, "active", 0)).collect();
    let discovery = Discovery::start(&hosts);
    let mut config = config("n0", discovery.address, settings(1000.0));
    config["limits"] = serde_json::json!({"cores": 1.0, "memory_mb": 2048, "sockets": 4096});
    let program = match pinned(0) {
        Some([taskset, flag, core]) => {
            Program { path: taskset.into(), arguments: vec![flag.into(), core.into(), glenwood.into()] }
        }
        None => Program::new(glenwood),
    };
    let node = Node::start(&program, &config, operator);
    node.wait_ready();
    (discovery, node)
}

fn measure(span: Duration, against: Option<&str>) {
    let (http, rpc) = (part(1, &["serve-http"]), part(1, &["serve-rpc"]));
    println!(
        "each figure over {:.1} s; ratios are to the bare hyper proxy of the same run",
        span.as_secs_f64()
    );
    let bare = part(0, &["bare", &http.address.to_string()]);
    let glenwood = env!("CARGO_BIN_EXE_glenwood");
    let (_discovery, through) = node(glenwood, Some(OPERATOR), Protocol::Http, http.address);
    let other = against.map(|file| node(file, None, Protocol::Http, http.address));
    for connections in [1, 32, 128] {
        println!("HTTP, {connections} connections");
        let direct = load(Protocol::Http, http.address, connections, 1, span);
        let proxied = load(Protocol::Http, bare.address, connections, 1, span);
        let node = load(Protocol::Http, through.address, connections, 1, span);
        row("direct", &direct);
        row("bare proxy", &proxied);
        row("node", &node);
        println!("  node / bare proxy {:.2}", node.per_second / proxied.per_second);
        if let Some((_, other)) = &other {
            let other = load(Protocol::Http, other.address, connections, 1, span);
            row("other build", &other);
            println!("  other build / bare proxy {:.2}", other.per_second / proxied.per_second);
        }
    }
    drop((_discovery, through, bare, other));
    let (_discovery, through) = node(glenwood, Some(OPERATOR), Protocol::Rpc, rpc.address);
    for (connections, calls) in [(1, 1), (1, 16), (32, 1), (32, 16), (128, 1)] {
        println!("MessagePack-RPC, {connections} connections with {calls} calls each");
        let direct = load(Protocol::Rpc, rpc.address, connections, calls, span);
        let node = load(Protocol::Rpc, through.address_for(Protocol::Rpc), connections, calls, span);
        row("direct", &direct);
        row("node", &node);
        println!("  node / direct {:.2}", node.per_second / direct.per_second);
    }
}
