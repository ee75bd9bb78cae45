//! The memory of a node while many clients transfer as much as they may.

mod peers;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use peers::{config, host, request, Node, Peer, Pieces, Registry, Reply};

/// Enough servers that none of the clients is refused for want of room at them.
const SERVERS: usize = 24;
/// How much of an answer the server sends before it pauses, and in all.
const FIRST_PART_BYTES: usize = 63_000;
const ANSWER_BYTES: usize = 13_000_000;
const SERVER_PAUSE: Duration = Duration::from_millis(300);
/// The usual body of a request, and what every second one has in addition.
const BODY_BYTES: usize = 64_000;
const ADDITIONAL_BYTES: usize = 4_000_000;
/// The size of a field of a request's head, and how many it has.
const FIELD_BYTES: usize = 130;
const FIELDS: usize = 90;
/// How much a client reads at a time, how long it pauses then, and how often: 80 kB/s for some seconds.
const READ_BYTES: usize = 8_000;
const READ_PAUSE: Duration = Duration::from_millis(100);
const READS: usize = 50;

/// A server whose answers begin at once, pause, and go on at full speed.
fn server_with_long_answers() -> Peer {
    Peer::new(|_| {
        // Of undeclared length, so that the node buffers the first part.
        let head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
        let first = [&head[..], &[b'a'; FIRST_PART_BYTES]].concat();
        let pieces = vec![first, vec![b'b'; ANSWER_BYTES - FIRST_PART_BYTES]];
        Reply::Pieces(Pieces { pieces, pause: SERVER_PAUSE, closes: true })
    })
}

/// Sends a long request and reads a part of its answer slowly. The node may refuse it, or close its connection.
fn transfer(node: SocketAddr, number: usize) -> std::io::Result<usize> {
    let length = BODY_BYTES + if number.is_multiple_of(2) { ADDITIONAL_BYTES } else { 0 };
    let fields: String = (0..FIELDS).map(|n| format!("X-{n:03}: {}\r\n", "f".repeat(FIELD_BYTES))).collect();
    let head = request("slip", &format!("m{number}"), 10_000)
        .replace("Content-Length: 4\r\n\r\nwork", &format!("{fields}Content-Length: {length}\r\n\r\n"));
    let mut stream = TcpStream::connect(node)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(&vec![b'x'; BODY_BYTES])?;
    std::thread::sleep(Duration::from_millis(800));
    stream.write_all(&vec![b'x'; length - BODY_BYTES])?;
    let mut buffer = vec![0; READ_BYTES];
    let mut received = 0;
    for _ in 0..READS {
        match stream.read(&mut buffer)? {
            0 => break,
            count => received += count,
        }
        std::thread::sleep(READ_PAUSE);
    }
    Ok(received)
}

/// The peak of a node's memory beside this many clients that transfer at the same time, in bytes.
fn peak_memory(memory_mb: usize, clients: usize) -> usize {
    let servers: Vec<Peer> = (0..SERVERS).map(|_| server_with_long_answers()).collect();
    let hosts: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(n, server)| host(&format!("s{n}"), server.address, "active", 0))
        .collect();
    let registry = Registry::new(&hosts);
    let mut node_config = config(registry.address);
    node_config["limits"] = serde_json::json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024});
    let node = Node::ready(&node_config);
    let address = node.address;
    let transfers: Vec<_> = (0..clients)
        .map(|n| {
            std::thread::sleep(Duration::from_millis(5));
            std::thread::spawn(move || transfer(address, n))
        })
        .collect();
    // What the node refuses or closes is not what this is about.
    let received =
        transfers.into_iter().map(|transfer| transfer.join().expect("the client ends").unwrap_or(0));
    let whole = received.filter(|bytes| *bytes > FIRST_PART_BYTES).count();
    println!("{whole} of {clients} clients were served");
    node.peak_memory()
}

/// Guards against a process that is killed for its memory beside as many clients as it lets in, all of which
/// send long heads and bodies and read long answers slowly.
#[test]
fn a_crowd_of_long_transfers_stays_within_the_memory() {
    for (memory_mb, clients) in [(32, 128), (48, 192)] {
        let peak = peak_memory(memory_mb, clients);
        println!("{memory_mb} MB, {clients} clients: {} KB", peak >> 10);
        assert!(peak <= memory_mb << 20, "{clients} clients: {} KB of {} KB", peak >> 10, memory_mb << 10);
    }
}
