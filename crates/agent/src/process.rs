//! Processes: started in groups of their own, found again by what they bear, told things.
//!
//! A process is known by its number, by when the kernel says that it started, and by a token in its environment. Numbers
//! are used again; all three together are not.

use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::process::Stdio;

use glenwood_fleet::agent::Signal;
use glenwood_fleet::book::Process;
use glenwood_fleet::desired::Release;
use rustix::process::{kill_process, Pid};
use tokio::process::{Child, Command};

use crate::disk::Files;

/// The variables that an instance bears: its token, its name, and its agent's folder.
const TOKEN: &str = "GLENWOOD_TOKEN";
const NAME: &str = "GLENWOOD_INSTANCE";
const AGENT: &str = "GLENWOOD_AGENT";
/// A log that is longer than this begins anew at the instance's next start.
const LOG_MOST: u64 = 4 << 20;

/// When a process started, as the kernel counts; `None` where there is none, or it has ended and nobody has asked for its
/// end yet.
pub fn born(pid: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // Behind the name, which may hold anything.
    let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let over = matches!(fields.first(), Some(&"Z" | &"X"));
    fields.get(19)?.parse().ok().filter(|_| !over)
}

/// Starts an instance's process.
///
/// # Errors
/// Where it can't be started.
pub fn spawn(
    folder: &Path,
    name: &str,
    token: u64,
    release: &Release,
    files: &Files,
    log: &Path,
) -> io::Result<Child> {
    let fresh = std::fs::metadata(log).is_ok_and(|m| m.len() > LOG_MOST);
    let log = OpenOptions::new().create(true).append(true).open(log)?;
    if fresh {
        log.set_len(0)?;
    }
    let mut command = Command::new(&release.path);
    command.args(&release.arguments);
    command.arg("--operator").arg(&files.operator);
    command.env("BALANCER_CONFIG", &files.config);
    command.env(TOKEN, token.to_string()).env(NAME, name).env(AGENT, folder);
    for inherited in ["BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY", "GLENWOOD_OPERATOR"] {
        command.env_remove(inherited);
    }
    // A group of its own: what is meant for the agent, from a terminal too, does not reach it.
    command.process_group(0).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    command.spawn()
}

/// All processes that an agent with this folder started, by instance.
pub fn running(folder: &Path) -> Vec<(String, Process)> {
    let Ok(all) = std::fs::read_dir("/proc") else { return Vec::new() };
    let pids = all.flatten().filter_map(|e| e.file_name().to_str()?.parse::<u32>().ok());
    pids.filter_map(|pid| {
        let born = born(pid)?;
        // Those of others can't be read, and are not ours.
        let environ = std::fs::read(format!("/proc/{pid}/environ")).ok()?;
        let value = |name: &str| {
            let mut all = environ.split(|b| *b == 0).filter_map(|v| std::str::from_utf8(v).ok());
            all.find_map(|v| v.strip_prefix(name)?.strip_prefix('=').map(str::to_string))
        };
        let token = value(TOKEN)?.parse().ok()?;
        let ours = Path::new(&value(AGENT)?) == folder;
        ours.then_some((value(NAME)?, Process { token, pid, born }))
    })
    .collect()
}

/// Tells a process something, if it is still that process.
pub fn tell(process: &Process, signal: Signal) {
    if born(process.pid) != Some(process.born) {
        return;
    }
    let signal = match signal {
        Signal::Terminate => rustix::process::Signal::TERM,
        Signal::Kill => rustix::process::Signal::KILL,
    };
    if let Some(pid) = i32::try_from(process.pid).ok().and_then(Pid::from_raw) {
        // One that has ended meanwhile needs no word.
        let _ = kill_process(pid, signal);
    }
}
