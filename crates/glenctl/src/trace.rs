//! `glenctl trace`: sums up the traces in the logs of a fleet's nodes.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use glenwood_trace::Tables;

/// Prints the tables of the traces in these logs and returns the exit code.
pub fn run(logs: &[PathBuf]) -> ExitCode {
    match tables(logs) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("glenctl: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Prefixes an error with the path that it concerns.
fn with_path<E: std::fmt::Display>(path: &Path) -> impl FnOnce(E) -> String + '_ {
    move |error| format!("{}: {error}", path.display())
}

/// Builds the tables from log files, or from all files in a folder.
fn tables(logs: &[PathBuf]) -> Result<String, String> {
    let mut files = Vec::new();
    for path in logs {
        if path.is_dir() {
            for entry in std::fs::read_dir(path).map_err(with_path(path))? {
                files.push(entry.map_err(with_path(path))?.path());
            }
        } else {
            files.push(path.clone());
        }
    }
    files.sort();
    let (mut tables, mut found) = (Tables::default(), false);
    for path in files.iter().filter(|path| path.is_file()) {
        let bytes = std::fs::read(path).map_err(with_path(path))?;
        let node = path.file_stem().unwrap_or_default().to_string_lossy();
        for line in String::from_utf8_lossy(&bytes).lines() {
            found |= tables.add_line(&node, line);
        }
    }
    if !found {
        return Err(
            "these logs contain no trace lines; set [trace] on = true in the operator's file to write them"
                .into(),
        );
    }
    Ok(tables.text())
}
