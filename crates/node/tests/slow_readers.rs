//! Clients that read their answers slowly, and clients that do not read them.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use glenwood_testkit::client::{Ask, Effect};
use glenwood_testkit::discovery::{active, Discovery};
use glenwood_testkit::node::{config, settings, Node, Program};
use glenwood_testkit::script::{Ledger, ReceivedRequest, Step};
use glenwood_testkit::server::{Identity, Protocol, StandIn};
use glenwood_testkit::WAIT_TIMEOUT;

const MSGPACK_SECTION: &str = "[msgpack]\nlisten = '127.0.0.1:0'\nopen_calls = 256\n";
const REMAINING_MS: u64 = 6_000;
/// How long a client may go without reading: "an answer may if its client takes something every 5 s".
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// How a slow client reads: 64 kB a second.
const READ_BYTES: usize = 6_400;
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// For how long it does, before it reads the rest at full speed: a stall of its connection would show.
const SLOW_FOR: Duration = Duration::from_secs(15);
/// More than the kernel takes for a client that does not read.
const CALLS: usize = 200;
const CALL_BODY_BYTES: usize = 60_000;
const LONG_BODY_BYTES: usize = 16_000_000;

/// A node before one server, which answers with what it was sent.
struct Site {
    node: Node,
    _server: StandIn,
    _discovery: Discovery,
}

impl Site {
    fn start() -> Self {
        let script = |_: &ReceivedRequest| Step::Serve;
        let identity = Identity { name: "s0".into(), cell: 1, protocol: Protocol::Http };
        let server = StandIn::start(identity, std::sync::Arc::new(script), Ledger::new(WAIT_TIMEOUT));
        let discovery = Discovery::start(&[active(&server)]);
        let config = config("n0", discovery.address, settings(10_000.0));
        let program = Program::new(env!("CARGO_BIN_EXE_glenwood"));
        let node = Node::start(&program, &config, Some(MSGPACK_SECTION));
        node.wait_ready();
        Self { node, _server: server, _discovery: discovery }
    }

    /// A connection on which requests with long answers were sent, the answers unread.
    fn ask(&self, protocol: Protocol) -> TcpStream {
        let mut stream = TcpStream::connect(self.node.address_for(protocol)).expect("the node listens");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
        match protocol {
            Protocol::Http => stream.write_all(&call("long", LONG_BODY_BYTES).http()).expect("it is read"),
            Protocol::Rpc => {
                for n in 0..CALLS {
                    let message = call(&txn(n), CALL_BODY_BYTES).rpc(n as u32);
                    stream.write_all(&message).expect("it is read");
                }
            }
        }
        stream
    }
}

fn txn(n: usize) -> String {
    format!("r{n}")
}

fn call(txn: &str, body_bytes: usize) -> Ask {
    let mut ask = Ask::new("slip", Effect::Unsafe, txn, REMAINING_MS);
    ask.body = vec![7; body_bytes];
    ask
}

/// Reads up to so many bytes; returns what came before the connection ended.
fn read_up_to(stream: &mut TcpStream, bytes: usize) -> Vec<u8> {
    let mut read = Vec::with_capacity(bytes);
    let _ = stream.take(bytes as u64).read_to_end(&mut read);
    read
}

/// How many answers begin in the bytes: each begins with the text of its call and goes on with its body.
fn count_answers(bytes: &[u8]) -> usize {
    bytes.windows(5).filter(|window| window == b" slip").count()
}

/// Guards against cutting off a client that reads slowly but steadily: the kernel reports room for more of an
/// answer only once much of what it holds has been read.
fn a_client_that_reads_slowly_gets_all(protocol: Protocol) {
    let site = Site::start();
    let mut stream = site.ask(protocol);
    let began = Instant::now();
    let mut received = Vec::new();
    while began.elapsed() < SLOW_FOR {
        let part = read_up_to(&mut stream, READ_BYTES);
        assert_eq!(part.len(), READ_BYTES, "after {:?}, {} bytes", began.elapsed(), received.len());
        received.extend(part);
        std::thread::sleep(READ_INTERVAL);
    }
    let expected = match protocol {
        Protocol::Http => LONG_BODY_BYTES,
        Protocol::Rpc => CALLS * CALL_BODY_BYTES,
    };
    let rest = expected - received.len();
    received.extend(read_up_to(&mut stream, rest));
    assert_eq!(received.len(), expected, "{:?}", site.node.log());
    if protocol == Protocol::Rpc {
        // The last one may not be complete among so many bytes.
        assert!(count_answers(&received) >= CALLS - 1);
    }
}

#[test]
fn a_msgpack_rpc_client_that_reads_slowly_gets_all_its_answers() {
    a_client_that_reads_slowly_gets_all(Protocol::Rpc);
}

#[test]
fn an_http_client_that_reads_slowly_gets_its_answer() {
    a_client_that_reads_slowly_gets_all(Protocol::Http);
}

/// Guards against keeping for ever the connection of a client that does not read.
#[test]
fn a_client_that_does_not_read_loses_its_connection_soon_after_the_longest_pause() {
    for protocol in [Protocol::Http, Protocol::Rpc] {
        let site = Site::start();
        let mut stream = site.ask(protocol);
        std::thread::sleep(LONGEST_PAUSE * 2);
        // What the kernel holds for the client still comes, and then the end.
        let began = Instant::now();
        let received = read_up_to(&mut stream, 2 * LONG_BODY_BYTES).len();
        assert!(began.elapsed() < WAIT_TIMEOUT, "{protocol:?}: open after {received} bytes");
        assert!(
            received < LONG_BODY_BYTES.min(CALLS * CALL_BODY_BYTES),
            "{protocol:?}: {received} bytes {:#?}",
            site.node.log()
        );
    }
}
