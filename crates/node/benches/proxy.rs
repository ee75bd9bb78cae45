//! Measures the overhead of the node: the same load is sent directly, through a minimal hyper proxy, and
//! through the node, on the same cores in the same run:
//! `cargo bench -p glenwood-node --bench proxy [-- --seconds N] [--against FILE]`.
//! `--against` also loads another build of the program over HTTP.
//!
//! Servers, load and proxies are separate processes. If `taskset` is available, they run on separate cores:
//! the proxies on core 0, one at a time; the servers on core 1; the load on the others.

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

/// A minimal adapter of tokio streams to hyper.
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
            let capacity = buf.remaining().min(chunk.len());
            let mut read = ReadBuf::new(&mut chunk[..capacity]);
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
    let argument = |n: usize| arguments.get(n).map(String::as_str);
    match argument(1) {
        Some("serve-http") => serve_http(),
        Some("serve-rpc") => {
            let identity = Identity { name: "s".into(), cell: 0, protocol: Protocol::Rpc };
            let ledger = Ledger::new(Duration::ZERO);
            let server = StandIn::start(identity, always(Step::Serve), ledger);
            announce(server.address);
            std::thread::park();
        }
        Some("bare") => bare_proxy(argument(2).and_then(|a| a.parse().ok()).expect("invalid address")),
        _ => {
            let seconds =
                arguments.iter().position(|a| a == "--seconds").and_then(|n| argument(n + 1)?.parse().ok());
            let against = arguments.iter().position(|a| a == "--against").and_then(|n| argument(n + 1));
            measure(Duration::from_secs_f64(seconds.unwrap_or(2.0)), against);
        }
    }
}

/// Tells the parent process where this one listens.
fn announce(address: SocketAddr) {
    println!("{address}");
}

/// Runs a task, and those that it spawns locally, on this thread.
fn run_on_this_thread(main_task: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("failed to build a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, main_task);
}

/// Runs a server that responds at once.
fn serve_http() {
    run_on_this_thread(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind");
        announce(listener.local_addr().expect("no local address"));
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::task::spawn_local(async move {
                let respond = service_fn(|request: Request<Incoming>| async {
                    let _ = request.into_body().collect().await;
                    Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"served"))))
                });
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo(stream), respond)
                    .await;
            });
        }
    });
}

/// Runs a proxy without any routing: each client connection has its own connection to the server.
fn bare_proxy(server: SocketAddr) {
    run_on_this_thread(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind");
        announce(listener.local_addr().expect("no local address"));
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
                let forward = service_fn(|request: Request<Incoming>| {
                    let send = send.clone();
                    async move {
                        let (parts, body) = request.into_parts();
                        let body = body.collect().await?.to_bytes();
                        let mut send = send.lock().await;
                        send.ready().await?;
                        let response = send.send_request(Request::from_parts(parts, Full::new(body))).await?;
                        let (parts, body) = response.into_parts();
                        let body = body.collect().await?.to_bytes();
                        Ok::<_, hyper::Error>(Response::from_parts(parts, Full::new(body)))
                    }
                });
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo(stream), forward)
                    .await;
            });
        }
    });
}

/// A child process of this program that listens at `address`; it is killed when dropped.
struct ChildServer {
    child: Child,
    address: SocketAddr,
}

impl Drop for ChildServer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The command line that pins a program to a core, if `taskset` is available.
fn pinned(core: usize) -> Option<[String; 3]> {
    let is_available =
        Command::new("taskset").arg("-V").stdout(Stdio::null()).status().is_ok_and(|s| s.success());
    is_available.then(|| ["taskset".to_string(), "-c".to_string(), core.to_string()])
}

/// Starts this program again with these arguments, pinned to a core.
fn start_child(core: usize, arguments: &[&str]) -> ChildServer {
    let this_program = std::env::current_exe().expect("no path of this program");
    let mut command = match pinned(core) {
        Some([taskset, flag, core]) => {
            let mut command = Command::new(taskset);
            command.args([flag, core]).arg(this_program);
            command
        }
        None => Command::new(this_program),
    };
    let mut child = command.args(arguments).stdout(Stdio::piped()).spawn().expect("failed to start");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("stdout is not piped"))
        .read_line(&mut line)
        .expect("no address");
    ChildServer { child, address: line.trim().parse().expect("invalid address") }
}

struct Figures {
    served_per_second: f64,
    /// Latencies of the served requests, in microseconds.
    latencies: Histogram<u64>,
    not_served: u64,
}

/// Loads an address for a quarter of `span` to warm up, and then for `span`, which is measured. Over HTTP
/// each connection has one request at a time, over MessagePack-RPC `calls` of them.
fn load(protocol: Protocol, to: SocketAddr, connections: usize, calls: usize, span: Duration) -> Figures {
    let warm_up = span / 4;
    let measured_from = Instant::now() + warm_up;
    let end = measured_from + span;
    let tasks: Vec<_> = (0..connections)
        .map(|c| {
            runtime().spawn(async move {
                let mut latencies =
                    Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("invalid bounds");
                let (mut served, mut not_served) = (0u64, 0u64);
                let mut record = |sent_at: Instant, answer: &Answer| {
                    let now = Instant::now();
                    if now < measured_from || now >= end {
                        return;
                    }
                    if matches!(answer, Answer::Served(_)) {
                        served += 1;
                        latencies.saturating_record((now - sent_at).as_micros() as u64);
                    } else {
                        not_served += 1;
                    }
                };
                let new_ask = |n: u64| Ask::new("look", Effect::Safe, &format!("{c}-{n}"), 5000);
                match protocol {
                    Protocol::Http => {
                        let mut client = Client::connect(protocol, to).await.expect("failed to connect");
                        let mut n = 0;
                        while Instant::now() < end {
                            n += 1;
                            let sent_at = Instant::now();
                            let answer = client.ask(&new_ask(n)).await;
                            record(sent_at, &answer);
                            if answer == Answer::Lost {
                                client = Client::connect(protocol, to).await.expect("failed to connect");
                            }
                        }
                    }
                    Protocol::Rpc => {
                        let stream = TcpStream::connect(to).await.expect("failed to connect");
                        let _ = stream.set_nodelay(true);
                        let mut client = RpcClient::new(stream);
                        let mut pending = std::collections::HashMap::new();
                        let mut n = 0;
                        while Instant::now() < end {
                            while pending.len() < calls {
                                n += 1;
                                let at = Instant::now();
                                pending.insert(client.send(&new_ask(n)).await.expect("failed to send"), at);
                            }
                            let (id, answer) = client.next().await.expect("no answer");
                            record(pending.remove(&id).expect("an answer to no call"), &answer);
                        }
                    }
                }
                (served, not_served, latencies)
            })
        })
        .collect();
    let mut all_latencies = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("invalid bounds");
    let (mut served, mut not_served) = (0, 0);
    for task in tasks {
        let (s, o, latencies) = runtime().block_on(task).expect("the task panicked");
        served += s;
        not_served += o;
        all_latencies.add(latencies).expect("different bounds");
    }
    Figures { served_per_second: served as f64 / span.as_secs_f64(), latencies: all_latencies, not_served }
}

fn print_row(name: &str, figures: &Figures) {
    let quantile = |q| figures.latencies.value_at_quantile(q);
    println!(
        "  {name:12} {:>9.0}/s   p50 {:>6} us   p99 {:>6} us   not served {}",
        figures.served_per_second,
        quantile(0.5),
        quantile(0.99),
        figures.not_served
    );
}

const OPERATOR: &str = "[msgpack]\nlisten = '127.0.0.1:0'\nopen_calls = 64\n";

/// Starts a build of the node before [`SERVERS`] entries that all lead to one server.
fn start_node(
    executable: &str,
    operator: Option<&str>,
    protocol: Protocol,
    server: SocketAddr,
) -> (Discovery, Node) {
    let hosts: Vec<_> =
        (0..SERVERS).map(|n| host(&format!("s{n}"), server, protocol, 0, "active", 0)).collect();
    let discovery = Discovery::start(&hosts);
    let mut config = config("n0", discovery.address, settings(1000.0));
    config["limits"] = serde_json::json!({"cores": 1.0, "memory_mb": 2048, "sockets": 4096});
    let program = match pinned(0) {
        Some([taskset, flag, core]) => {
            Program { path: taskset.into(), arguments: vec![flag.into(), core.into(), executable.into()] }
        }
        None => Program::new(executable),
    };
    let node = Node::start(&program, &config, operator);
    node.wait_ready();
    (discovery, node)
}

fn measure(span: Duration, against: Option<&str>) {
    let (http, rpc) = (start_child(1, &["serve-http"]), start_child(1, &["serve-rpc"]));
    println!(
        "each figure over {:.1} s; ratios are to the bare hyper proxy of the same run",
        span.as_secs_f64()
    );
    let bare = start_child(0, &["bare", &http.address.to_string()]);
    let glenwood = env!("CARGO_BIN_EXE_glenwood");
    let (_discovery, through_node) = start_node(glenwood, Some(OPERATOR), Protocol::Http, http.address);
    let other_build = against.map(|file| start_node(file, None, Protocol::Http, http.address));
    for connections in [1, 32, 128] {
        println!("HTTP, {connections} connections");
        let direct = load(Protocol::Http, http.address, connections, 1, span);
        let proxied = load(Protocol::Http, bare.address, connections, 1, span);
        let node = load(Protocol::Http, through_node.address, connections, 1, span);
        print_row("direct", &direct);
        print_row("bare proxy", &proxied);
        print_row("node", &node);
        println!("  node / bare proxy {:.2}", node.served_per_second / proxied.served_per_second);
        if let Some((_, other_node)) = &other_build {
            let other_figures = load(Protocol::Http, other_node.address, connections, 1, span);
            print_row("other build", &other_figures);
            println!(
                "  other build / bare proxy {:.2}",
                other_figures.served_per_second / proxied.served_per_second
            );
        }
    }
    drop((_discovery, through_node, bare, other_build));
    let (_discovery, through_node) = start_node(glenwood, Some(OPERATOR), Protocol::Rpc, rpc.address);
    for (connections, calls) in [(1, 1), (1, 16), (32, 1), (32, 16), (128, 1)] {
        println!("MessagePack-RPC, {connections} connections with {calls} calls each");
        let direct = load(Protocol::Rpc, rpc.address, connections, calls, span);
        let node = load(Protocol::Rpc, through_node.address_for(Protocol::Rpc), connections, calls, span);
        print_row("direct", &direct);
        print_row("node", &node);
        println!("  node / direct {:.2}", node.served_per_second / direct.served_per_second);
    }
}
