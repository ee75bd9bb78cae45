//! A server's registration: its entry in the tree of the coordination service lives as long as its process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::{Args, ValueEnum};
use glenwood_coordination::net::Driver;
use glenwood_coordination::registrar::{Registrar, RegistrarEvent};
use glenwood_coordination::session::Settings;
use glenwood_list::{Dial, Host, Protocol};
use rustix::process::{kill_process, Pid, Signal};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::signal::unix::{signal, SignalKind};

/// What a server speaks.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Speaks {
    /// HTTP/1.1
    Http,
    /// MessagePack-RPC
    Rpc,
}

/// What is registered, and where.
#[derive(Debug, Args)]
pub struct Arguments {
    /// The members of the coordination service, ADDRESS:PORT, with commas between
    #[arg(long, required = true, value_delimiter = ',')]
    members: Vec<SocketAddr>,
    /// The node of the tree under which servers are
    #[arg(long, default_value = "/servers", value_parser = path)]
    path: String,
    /// The server's name, the same after each restart
    #[arg(long, value_parser = name)]
    name: String,
    /// Where it listens
    #[arg(long)]
    address: SocketAddr,
    /// What it speaks
    #[arg(long, value_enum, default_value = "http")]
    protocol: Speaks,
    /// Its zone
    #[arg(long, default_value = "")]
    zone: String,
    /// Its kind of machine
    #[arg(long, default_value = "")]
    kind: String,
    /// The cell whose servers drop one another's repeats
    #[arg(long, default_value_t = 0)]
    cell: u64,
    /// Its size, compared with others', above 0
    #[arg(long, default_value_t = 1.0, value_parser = weight)]
    weight: f64,
    /// The session's time-out that is asked for, in milliseconds: the longest that its death stays unseen
    #[arg(long, default_value_t = 2000, value_parser = clap::value_parser!(u32).range(100..=60_000))]
    timeout_ms: u32,
    /// How long the server goes on after its drain is written, in milliseconds: nodes send nothing new 500 ms after that
    #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u32).range(0..=600_000))]
    drain_ms: u32,
    /// How long it may take to end once it was told to, in milliseconds
    #[arg(long, default_value_t = 10_000, value_parser = clap::value_parser!(u32).range(0..=600_000))]
    end_ms: u32,
    /// Registers at once, also while nothing listens at the address
    #[arg(long)]
    no_wait: bool,
    /// The server: a program and its arguments; without it, this registers until it is told to stop
    #[arg(last = true)]
    command: Vec<String>,
}

fn path(text: &str) -> Result<String, String> {
    let good = text.starts_with('/') && text.len() > 1 && text[1..].split('/').all(|part| !part.is_empty());
    good.then(|| text.to_string()).ok_or_else(|| "a path such as /servers expected".into())
}

fn name(text: &str) -> Result<String, String> {
    let good = !text.is_empty() && !text.contains('/') && text != "." && text != "..";
    let good = good && !text.chars().any(char::is_control);
    good.then(|| text.to_string()).ok_or_else(|| "a name without / expected".into())
}

fn weight(text: &str) -> Result<f64, String> {
    let weight = text.parse().ok().filter(|w: &f64| w.is_finite() && *w > 0.0);
    weight.ok_or_else(|| "a number above 0 expected".into())
}

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_millis() as f64)
}

fn say(words: &str) {
    eprintln!("glenctl: {words}");
}

/// Registers until the server ends, or until it is told to stop.
pub fn run(arguments: Arguments) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            say(&format!("runtime: {error}"));
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(keep(arguments)).unwrap_or_else(|words| {
        say(&words);
        ExitCode::FAILURE
    })
}

/// Ends with the child, or never where there is none.
async fn ended(child: &mut Option<Child>) -> ExitCode {
    match child {
        None => std::future::pending().await,
        Some(child) => match child.wait().await {
            Ok(status) => match status.code() {
                Some(code) => ExitCode::from(u8::try_from(code).unwrap_or(1)),
                // As shells say it.
                None => ExitCode::from(128 + signal_of(status) as u8),
            },
            Err(_) => ExitCode::FAILURE,
        },
    }
}

fn signal_of(status: std::process::ExitStatus) -> i32 {
    use std::os::unix::process::ExitStatusExt;
    status.signal().unwrap_or(0)
}

fn send(child: &Option<Child>, what: Signal) {
    let pid = child.as_ref().and_then(Child::id).and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
    if let Some(pid) = pid {
        // One that has ended meanwhile needs no signal.
        let _ = kill_process(pid, what);
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

/// What is to be done next after a signal.
enum Phase {
    /// No signal came.
    Serving,
    /// The drain is to be written; given up on at that time.
    Draining(Instant),
    /// It is written: nodes need that long.
    Drained(Instant),
    /// The server was told to end; it is killed at that time.
    Ending(Instant),
}

async fn keep(arguments: Arguments) -> Result<ExitCode, String> {
    let said = |e: std::io::Error| format!("signal: {e}");
    let mut terminate = signal(SignalKind::terminate()).map_err(said)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(said)?;
    let protocol = match arguments.protocol {
        Speaks::Http => Protocol::Http1,
        Speaks::Rpc => Protocol::Msgpack,
    };
    let host = Host {
        zone: arguments.zone.clone(),
        kind: arguments.kind.clone(),
        cell: arguments.cell,
        weight: arguments.weight,
        born_ms: unix_ms(),
        ..Host::active(&arguments.name, Dial { address: arguments.address, protocol })
    };
    let mut child = match arguments.command.split_first() {
        None => None,
        Some((program, rest)) => {
            Some(Command::new(program).args(rest).spawn().map_err(|e| format!("{program}: {e}"))?)
        }
    };
    let mut at_once = false;
    let mut listens = std::pin::pin!(async {
        while TcpStream::connect(arguments.address).await.is_err() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    if !arguments.no_wait {
        tokio::select! {
            () = &mut listens => {}
            code = ended(&mut child) => return Ok(code),
            _ = terminate.recv() => at_once = true,
            _ = interrupt.recv() => at_once = true,
        }
    }
    if at_once {
        // Nobody knows of it yet: there is nothing to drain.
        send(&child, Signal::TERM);
        if child.is_none() {
            return Ok(ExitCode::SUCCESS);
        }
        let most = Duration::from_millis(arguments.end_ms.into());
        if let Ok(code) = tokio::time::timeout(most, ended(&mut child)).await {
            return Ok(code);
        }
        send(&child, Signal::KILL);
        return Ok(ended(&mut child).await);
    }
    let settings = Settings {
        members: arguments.members.len(),
        timeout: arguments.timeout_ms.into(),
        seed: std::process::id().into(),
    };
    let registrar = Registrar::new(0.0, settings, &arguments.path, host);
    let mut driver = Driver::new(registrar, arguments.members.clone(), Instant::now());
    let mut phase = Phase::Serving;
    let after = |ms: u32| Instant::now() + Duration::from_millis(ms.into());
    let code = loop {
        let due = match phase {
            Phase::Serving => None,
            Phase::Draining(at) | Phase::Drained(at) | Phase::Ending(at) => Some(at),
        };
        tokio::select! {
            code = ended(&mut child) => {
                // One that was told to stop and did so has ended well.
                let told = matches!(phase, Phase::Ending(_)) && code == ExitCode::from(128 + Signal::TERM.as_raw() as u8);
                break if told { ExitCode::SUCCESS } else { code };
            }
            told = driver.next() => {
                let name = &arguments.name;
                match told {
                    RegistrarEvent::Registered => say(&format!("{name} is registered")),
                    RegistrarEvent::Unreachable => say("the coordination service is away; trying on"),
                    RegistrarEvent::Superseded => say(&format!("a later process has the name {name}; not registered")),
                    RegistrarEvent::Draining => {
                        say(&format!("{name} is draining"));
                        if matches!(phase, Phase::Draining(_)) {
                            phase = Phase::Drained(after(arguments.drain_ms));
                        }
                    }
                    RegistrarEvent::Stopped => {}
                }
            }
            () = sleep_until(due) => match phase {
                Phase::Ending(_) => {
                    say("it did not end in time, and is killed");
                    send(&child, Signal::KILL);
                    phase = Phase::Serving;
                }
                _ if child.is_none() => break ExitCode::SUCCESS,
                _ => {
                    send(&child, Signal::TERM);
                    phase = Phase::Ending(after(arguments.end_ms));
                }
            },
            _ = async { tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} } } => match phase {
                Phase::Serving => {
                    // Where the service can't be told, nodes learn of the end by the session's.
                    phase = Phase::Draining(after(arguments.drain_ms.saturating_add(arguments.timeout_ms)));
                    let now = driver.now();
                    driver.machine_mut().drain(now);
                }
                // Whoever says it twice is in a hurry.
                _ => phase = Phase::Draining(Instant::now()),
            },
        }
    };
    let now = driver.now();
    driver.machine_mut().end(now);
    let end = async {
        while driver.next().await != RegistrarEvent::Stopped {}
        driver.finish().await;
    };
    // The session ends by itself where this can't be said.
    let _ = tokio::time::timeout(Duration::from_millis(500), end).await;
    Ok(code)
}
