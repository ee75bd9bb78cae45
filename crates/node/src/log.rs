//! A log that never blocks: a full pipe behind standard error must not delay requests.

use std::io::Write;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::OnceLock;

/// The most lines that are queued to be written; further ones are dropped.
const MAX_QUEUED_LINES: usize = 256;

static LINES: OnceLock<SyncSender<String>> = OnceLock::new();

/// Starts the thread that writes the log. Without it, lines are dropped.
pub fn start() {
    let (lines, written) = sync_channel::<String>(MAX_QUEUED_LINES);
    let write = move || {
        for line in written {
            // An error of standard error can't be reported anywhere.
            let _ = writeln!(std::io::stderr(), "{line}");
        }
    };
    if std::thread::Builder::new().name("log".into()).stack_size(64 * 1024).spawn(write).is_ok() {
        let _ = LINES.set(lines);
    }
}

/// Logs one line, or drops it where the queue is full.
pub fn write_line(text: String) {
    if let Some(lines) = LINES.get() {
        let _ = lines.try_send(text);
    }
}
