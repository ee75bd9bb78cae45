//! Reads reports from the inspection sockets of nodes.

use std::io::Read;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use serde_json::Value;

/// Maximum time to wait for data from a node.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the report of a node.
///
/// # Errors
/// A message with the path of the socket and what went wrong.
pub fn read_report(socket: &Path) -> Result<Value, String> {
    let with_path = |message: String| format!("{}: {message}", socket.display());
    let mut stream = UnixStream::connect(socket).map_err(|e| with_path(e.to_string()))?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).map_err(|e| with_path(e.to_string()))?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(|e| with_path(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| with_path(e.to_string()))
}

/// Turns a result into an exit code, and prints the error, if any, to standard error.
pub fn exit_code(result: Result<(), String>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("glenctl: {message}");
            ExitCode::FAILURE
        }
    }
}
