//! Starts the processes of instances, finds running ones again after a restart of the agent, and sends them
//! signals.
//!
//! A process is identified by its pid, its start time as the kernel reports it, and a token in its
//! environment. The kernel reuses pids, but the three together are unique.

use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::process::Stdio;

use glenwood_fleet::agent::Signal;
use glenwood_fleet::book::Process;
use glenwood_fleet::desired::Release;
use rustix::process::{kill_process, Pid};
use tokio::process::{Child, Command};

use crate::disk::InstanceFiles;

/// The environment variable with the token of the instance's process.
const TOKEN_VARIABLE: &str = "GLENWOOD_TOKEN";
/// The environment variable with the name of the instance.
const NAME_VARIABLE: &str = "GLENWOOD_INSTANCE";
/// The environment variable with the folder of the agent that started the instance.
const AGENT_FOLDER_VARIABLE: &str = "GLENWOOD_AGENT";
/// A log longer than this is emptied at the next start of its instance.
const MAX_LOG_BYTES: u64 = 4 << 20;

/// The start time of a process in clock ticks since boot, as the kernel reports it; `None` if there is no
/// such process, or it has ended and is a zombie.
pub fn start_time(pid: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The fields follow the name in parentheses, which may contain any character.
    let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let has_ended = matches!(fields.first(), Some(&"Z" | &"X"));
    fields.get(19)?.parse().ok().filter(|_| !has_ended)
}

/// Starts the process of an instance, with its standard error appended to its log.
///
/// # Errors
/// If the log can't be opened or the process can't be started.
pub fn spawn(
    folder: &Path,
    name: &str,
    token: u64,
    release: &Release,
    files: &InstanceFiles,
    log: &Path,
) -> io::Result<Child> {
    let log_too_long = std::fs::metadata(log).is_ok_and(|m| m.len() > MAX_LOG_BYTES);
    let log = OpenOptions::new().create(true).append(true).open(log)?;
    if log_too_long {
        log.set_len(0)?;
    }
    let mut command = Command::new(&release.path);
    command.args(&release.arguments);
    command.arg("--operator").arg(&files.operator);
    command.env("BALANCER_CONFIG", &files.config);
    command
        .env(TOKEN_VARIABLE, token.to_string())
        .env(NAME_VARIABLE, name)
        .env(AGENT_FOLDER_VARIABLE, folder);
    for inherited in ["BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY", "GLENWOOD_OPERATOR"] {
        command.env_remove(inherited);
    }
    // A process group of its own, so that signals to the agent's group, such as Ctrl-C in a terminal, don't
    // reach it.
    command.process_group(0).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    command.spawn()
}

/// The running processes that an agent with this folder has started, with the names of their instances.
pub fn find_running(folder: &Path) -> Vec<(String, Process)> {
    let Ok(entries) = std::fs::read_dir("/proc") else { return Vec::new() };
    let pids = entries.flatten().filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
    pids.filter_map(|pid| {
        let start_ticks = start_time(pid)?;
        // The environment of other users' processes can't be read; an agent's own can.
        let environ = std::fs::read(format!("/proc/{pid}/environ")).ok()?;
        let value = |name: &str| {
            let mut variables = environ.split(|b| *b == 0).filter_map(|v| std::str::from_utf8(v).ok());
            variables.find_map(|v| v.strip_prefix(name)?.strip_prefix('=').map(str::to_string))
        };
        let token = value(TOKEN_VARIABLE)?.parse().ok()?;
        let is_own = Path::new(&value(AGENT_FOLDER_VARIABLE)?) == folder;
        is_own.then_some((value(NAME_VARIABLE)?, Process { token, pid, start_ticks }))
    })
    .collect()
}

/// Sends a signal to a process, unless it has ended and its pid may belong to another one.
pub fn send_signal(process: &Process, signal: Signal) {
    if start_time(process.pid) != Some(process.start_ticks) {
        return;
    }
    let signal = match signal {
        Signal::Terminate => rustix::process::Signal::TERM,
        Signal::Kill => rustix::process::Signal::KILL,
    };
    if let Some(pid) = i32::try_from(process.pid).ok().and_then(Pid::from_raw) {
        // Errors are ignored: a process that has ended since the check above needs no signal.
        let _ = kill_process(pid, signal);
    }
}
