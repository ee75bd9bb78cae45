//! `glenctl register`: keeps a server's entry in the coordination service's tree for as long as its process
//! runs.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::{Args, ValueEnum};
use glenwood_coordination::net::Driver;
use glenwood_coordination::registrar::{Registrar, RegistrarEvent};
use glenwood_coordination::session::Settings;
use glenwood_list::{Endpoint, ListEntry, Protocol};
use rustix::process::{kill_process, Pid, Signal};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::signal::unix::{signal, SignalKind};

/// Protocol of a server.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum ServerProtocol {
    /// HTTP/1.1
    Http,
    /// MessagePack-RPC
    Rpc,
}

/// Arguments of `glenctl register`.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Members of the coordination service as ADDRESS:PORT, separated by commas
    #[arg(long, required = true, value_delimiter = ',')]
    members: Vec<SocketAddr>,
    /// Path in the tree under which servers are registered
    #[arg(long, default_value = "/servers", value_parser = parse_path)]
    path: String,
    /// Server's name, the same after each restart
    #[arg(long, value_parser = parse_name)]
    name: String,
    /// Address at which the server listens
    #[arg(long)]
    address: SocketAddr,
    /// Protocol of the server
    #[arg(long, value_enum, default_value = "http")]
    protocol: ServerProtocol,
    /// Zone of the server
    #[arg(long, default_value = "")]
    zone: String,
    /// Kind of machine the server runs on
    #[arg(long, default_value = "")]
    kind: String,
    /// Cell of the server; servers of a cell drop one another's repeats
    #[arg(long, default_value_t = 0)]
    cell: u64,
    /// Capacity relative to other servers, above 0
    #[arg(long, default_value_t = 1.0, value_parser = parse_weight)]
    weight: f64,
    /// Requested session timeout in milliseconds, within which the death of the server is noticed
    #[arg(long, default_value_t = 2000, value_parser = clap::value_parser!(u32).range(100..=60_000))]
    timeout_ms: u32,
    /// Milliseconds the server keeps running after its drain is written; nodes send nothing new 500 ms after
    /// that
    #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u32).range(0..=600_000))]
    drain_ms: u32,
    /// Milliseconds the server has to exit after it was told to, before it is killed
    #[arg(long, default_value_t = 10_000, value_parser = clap::value_parser!(u32).range(0..=600_000))]
    end_ms: u32,
    /// Registers at once, even if nothing listens at the address yet
    #[arg(long)]
    no_wait: bool,
    /// Server's program and arguments; without it, the registration lasts until this process is told to stop
    #[arg(last = true)]
    command: Vec<String>,
}

fn parse_path(text: &str) -> Result<String, String> {
    let valid = text.starts_with('/') && text.len() > 1 && text[1..].split('/').all(|part| !part.is_empty());
    valid.then(|| text.to_string()).ok_or_else(|| "a path such as /servers expected".into())
}

fn parse_name(text: &str) -> Result<String, String> {
    let valid = !text.is_empty() && !text.contains('/') && text != "." && text != "..";
    let valid = valid && !text.chars().any(char::is_control);
    valid.then(|| text.to_string()).ok_or_else(|| "a name without / expected".into())
}

fn parse_weight(text: &str) -> Result<f64, String> {
    let weight = text.parse().ok().filter(|w: &f64| w.is_finite() && *w > 0.0);
    weight.ok_or_else(|| "a number above 0 expected".into())
}

/// Milliseconds since the Unix epoch.
fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_millis() as f64)
}

/// Writes a line to standard error.
fn log(message: &str) {
    eprintln!("glenctl: {message}");
}

/// Keeps the server registered until it exits or this process is told to stop; returns the server's exit
/// code.
pub fn run(arguments: Arguments) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            log(&format!("runtime: {error}"));
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(register_until_exit(arguments)).unwrap_or_else(|message| {
        log(&message);
        ExitCode::FAILURE
    })
}

/// Waits for the child to exit and returns its exit code; never returns if there is no child.
async fn wait_for_exit(child: &mut Option<Child>) -> ExitCode {
    match child {
        None => std::future::pending().await,
        Some(child) => match child.wait().await {
            Ok(status) => match status.code() {
                Some(code) => ExitCode::from(u8::try_from(code).unwrap_or(1)),
                // The exit code that shells give a process ended by a signal.
                None => ExitCode::from(128 + signal_of(status) as u8),
            },
            Err(_) => ExitCode::FAILURE,
        },
    }
}

/// The signal that ended a process, or 0.
fn signal_of(status: std::process::ExitStatus) -> i32 {
    use std::os::unix::process::ExitStatusExt;
    status.signal().unwrap_or(0)
}

/// Sends a signal to the child, if there is one.
fn send_signal(child: &Option<Child>, signal: Signal) {
    let pid = child.as_ref().and_then(Child::id).and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
    if let Some(pid) = pid {
        // The error is ignored: the child may have exited already.
        let _ = kill_process(pid, signal);
    }
}

/// Sleeps until the given time; never returns if there is none.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

/// The stages of shutting down after a signal; the deadline of each is its value.
enum Phase {
    /// No signal has come.
    Serving,
    /// The drain is being written; at the deadline this gives up on it.
    Draining(Instant),
    /// The drain is written; until the deadline nodes stop sending to the server.
    Drained(Instant),
    /// The server was told to exit; it is killed at the deadline.
    Ending(Instant),
}

/// Starts the server, registers it, and drains it on a signal; returns its exit code.
async fn register_until_exit(arguments: Arguments) -> Result<ExitCode, String> {
    let signal_error = |e: std::io::Error| format!("signal: {e}");
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    let protocol = match arguments.protocol {
        ServerProtocol::Http => Protocol::Http1,
        ServerProtocol::Rpc => Protocol::Msgpack,
    };
    let host = ListEntry {
        zone: arguments.zone.clone(),
        kind: arguments.kind.clone(),
        cell: Some(arguments.cell),
        weight: arguments.weight,
        started_ms: unix_ms(),
        ..ListEntry::active(&arguments.name, Endpoint { address: arguments.address, protocol })
    };
    let mut child = match arguments.command.split_first() {
        None => None,
        Some((program, rest)) => {
            Some(Command::new(program).args(rest).spawn().map_err(|e| format!("{program}: {e}"))?)
        }
    };
    let mut stop_requested = false;
    let mut listening = std::pin::pin!(async {
        while TcpStream::connect(arguments.address).await.is_err() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    if !arguments.no_wait {
        tokio::select! {
            () = &mut listening => {}
            code = wait_for_exit(&mut child) => return Ok(code),
            _ = terminate.recv() => stop_requested = true,
            _ = interrupt.recv() => stop_requested = true,
        }
    }
    if stop_requested {
        // The server is not registered yet, so there is nothing to drain.
        send_signal(&child, Signal::TERM);
        if child.is_none() {
            return Ok(ExitCode::SUCCESS);
        }
        let max_wait = Duration::from_millis(arguments.end_ms.into());
        if let Ok(code) = tokio::time::timeout(max_wait, wait_for_exit(&mut child)).await {
            return Ok(code);
        }
        send_signal(&child, Signal::KILL);
        return Ok(wait_for_exit(&mut child).await);
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
            code = wait_for_exit(&mut child) => {
                // A server that exits because of the signal it was sent has succeeded.
                let stopped_as_told = matches!(phase, Phase::Ending(_)) && code == ExitCode::from(128 + Signal::TERM.as_raw() as u8);
                break if stopped_as_told { ExitCode::SUCCESS } else { code };
            }
            event = driver.next() => {
                let name = &arguments.name;
                match event {
                    RegistrarEvent::Registered => log(&format!("{name} is registered")),
                    RegistrarEvent::Unreachable => log("the coordination service can't be reached; retrying"),
                    RegistrarEvent::Superseded => log(&format!("a later process has registered the name {name}; not registered")),
                    RegistrarEvent::Draining => {
                        log(&format!("{name} is draining"));
                        if matches!(phase, Phase::Draining(_)) {
                            phase = Phase::Drained(after(arguments.drain_ms));
                        }
                    }
                    RegistrarEvent::Stopped => {}
                }
            }
            () = sleep_until(due) => match phase {
                Phase::Ending(_) => {
                    log("the server did not exit in time; killing it");
                    send_signal(&child, Signal::KILL);
                    phase = Phase::Serving;
                }
                _ if child.is_none() => break ExitCode::SUCCESS,
                _ => {
                    send_signal(&child, Signal::TERM);
                    phase = Phase::Ending(after(arguments.end_ms));
                }
            },
            _ = async { tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} } } => match phase {
                Phase::Serving => {
                    // If the coordination service can't be reached to write the drain, nodes learn of the
                    // shutdown when the session ends.
                    phase = Phase::Draining(after(arguments.drain_ms.saturating_add(arguments.timeout_ms)));
                    let now = driver.now();
                    driver.machine_mut().drain(now);
                }
                // A second signal skips the drain.
                _ => phase = Phase::Draining(Instant::now()),
            },
        }
    };
    let now = driver.now();
    driver.machine_mut().deregister(now);
    let end = async {
        while driver.next().await != RegistrarEvent::Stopped {}
        driver.finish().await;
    };
    // If the service can't be reached, the session times out by itself.
    let _ = tokio::time::timeout(Duration::from_millis(500), end).await;
    Ok(code)
}
