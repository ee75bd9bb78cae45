//! `glenctl stand-in`: runs one stand-in from the testkit as a process of its own.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Subcommand, ValueEnum};
use glenwood_testkit::coordination::net::Service;
use glenwood_testkit::discovery::{host, Discovery};
use glenwood_testkit::script::{always, Ledger, Step};
use glenwood_testkit::server::{Identity, Protocol, StandIn};

/// Protocol of a stand-in server.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum StandInProtocol {
    /// HTTP/1.1
    Http,
    /// MessagePack-RPC
    Rpc,
}

impl From<StandInProtocol> for Protocol {
    fn from(protocol: StandInProtocol) -> Self {
        match protocol {
            StandInProtocol::Http => Self::Http,
            StandInProtocol::Rpc => Self::Rpc,
        }
    }
}

/// A server in the list of a discovery stand-in: NAME=ADDRESS over HTTP, NAME=rpc:ADDRESS over
/// MessagePack-RPC.
#[derive(Clone, Debug)]
pub struct ListedServer {
    name: String,
    address: SocketAddr,
    protocol: Protocol,
}

/// Parses NAME=ADDRESS or NAME=rpc:ADDRESS.
fn parse_listed_server(text: &str) -> Result<ListedServer, String> {
    let (name, rest) = text.split_once('=').ok_or("NAME=ADDRESS or NAME=rpc:ADDRESS expected")?;
    let (protocol, address) = match rest.strip_prefix("rpc:") {
        Some(address) => (Protocol::Rpc, address),
        None => (Protocol::Http, rest),
    };
    let address = address.parse().map_err(|_| format!("IP address and port expected, not {address:?}"))?;
    Ok(ListedServer { name: name.to_string(), address, protocol })
}

/// The kinds of stand-in.
#[derive(Debug, Subcommand)]
pub enum Kind {
    /// A server that answers each request, at once or after a delay
    Server {
        /// Protocol of the server
        #[arg(long, value_enum, default_value = "http")]
        protocol: StandInProtocol,
        /// Address to listen at
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Delay of each answer in milliseconds
        #[arg(long, default_value_t = 0)]
        after_ms: u64,
    },
    /// A coordination service with ZooKeeper's protocol; prints a line for each member
    Coordination {
        /// Number of members, 1 to 9
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=9))]
        members: u8,
        /// Kills random members for two seconds each, one at a time
        #[arg(long)]
        chaos: bool,
        /// Reads `kill N` and `restore N` from standard input, and prints each line once it is done
        #[arg(long, conflicts_with = "chaos")]
        by_hand: bool,
        /// Seed for the order in which members are killed
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// A discovery service with a list that does not change
    Discovery {
        /// Servers in the list: NAME=ADDRESS, or NAME=rpc:ADDRESS for MessagePack-RPC
        #[arg(value_parser = parse_listed_server)]
        servers: Vec<ListedServer>,
        /// Address to listen at
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
}

/// Runs a stand-in until the process is interrupted.
pub fn run(kind: &Kind) -> ExitCode {
    match kind {
        Kind::Server { protocol, listen, after_ms } => {
            let identity = Identity { name: "stand-in".into(), cell: 0, protocol: (*protocol).into() };
            let step = match after_ms {
                0 => Step::Serve,
                ms => Step::ServeAfter(Duration::from_millis(*ms)),
            };
            let ledger = Ledger::new(Duration::from_secs(8));
            let server = StandIn::start_at(*listen, identity, always(step), ledger);
            run_until_interrupted(&format!("server {}", server.address))
        }
        Kind::Coordination { members, chaos, by_hand, seed } => {
            let service = Service::start(usize::from(*members));
            let lines: Vec<String> =
                service.members.iter().enumerate().map(|(n, at)| format!("member {n} {at}")).collect();
            if *chaos {
                let (count, seed) = (u64::from(*members), *seed);
                std::thread::spawn(move || kill_random_members(&service, count, seed));
                return run_until_interrupted(&lines.join("\n"));
            }
            if *by_hand {
                println!("{}", lines.join("\n"));
                return run_commands(&service);
            }
            run_until_interrupted(&lines.join("\n"))
        }
        Kind::Discovery { servers, listen } => {
            let hosts: Vec<_> =
                servers.iter().map(|s| host(&s.name, s.address, s.protocol, 0, "active", 0)).collect();
            let discovery = Discovery::start_at(*listen, &hosts);
            run_until_interrupted(&format!("discovery {}", discovery.address))
        }
    }
}

/// Runs the commands on standard input until its end.
fn run_commands(service: &Service) -> ExitCode {
    for line in std::io::stdin().lines().map_while(Result::ok) {
        let member = |text: &str| text.parse().ok().filter(|n| *n < service.members.len());
        match line.split_once(' ').map(|(command, n)| (command, member(n))) {
            Some(("kill", Some(n))) => service.change(|ensemble| ensemble.kill(n)),
            Some(("restore", Some(n))) => service.change(|ensemble| ensemble.restore(n)),
            _ => {
                eprintln!("glenctl: kill N or restore N expected, not {line:?}");
                return ExitCode::FAILURE;
            }
        }
        println!("{line}");
    }
    ExitCode::SUCCESS
}

/// Kills and restores one randomly chosen member after another, without end.
fn kill_random_members(service: &Service, members: u64, seed: u64) {
    let mut random = seed;
    loop {
        std::thread::sleep(Duration::from_secs(2));
        // Knuth's linear congruential generator; only its high bits are random enough to choose a member.
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let member = ((random >> 33) % members) as usize;
        eprintln!("member {member} is down");
        service.change(|ensemble| ensemble.kill(member));
        std::thread::sleep(Duration::from_secs(2));
        eprintln!("member {member} is back");
        service.change(|ensemble| ensemble.restore(member));
    }
}

/// Prints a line and waits until the process is interrupted.
fn run_until_interrupted(line: &str) -> ExitCode {
    println!("{line}");
    // The reader of the address may be on a pipe, where output is buffered.
    let _ = std::io::stdout().flush();
    glenwood_testkit::runtime().block_on(async {
        // If the handler can't be installed, the signal ends the process by default, with the same effect.
        let _ = tokio::signal::ctrl_c().await;
    });
    ExitCode::SUCCESS
}
