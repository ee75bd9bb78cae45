//! `glenctl trace`: what the nodes of a fleet did, added up from their logs.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use glenwood_trace::Tables;

pub fn run(logs: &[PathBuf]) -> ExitCode {
    match tables(logs) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(words) => {
            eprintln!("glenctl: {words}");
            ExitCode::FAILURE
        }
    }
}

fn said<E: std::fmt::Display>(path: &Path) -> impl FnOnce(E) -> String + '_ {
    move |error| format!("{}: {error}", path.display())
}

fn tables(logs: &[PathBuf]) -> Result<String, String> {
    let mut files = Vec::new();
    for path in logs {
        if path.is_dir() {
            for entry in std::fs::read_dir(path).map_err(said(path))? {
                files.push(entry.map_err(said(path))?.path());
            }
        } else {
            files.push(path.clone());
        }
    }
    files.sort();
    let (mut tables, mut any) = (Tables::default(), false);
    for path in files.iter().filter(|path| path.is_file()) {
        let bytes = std::fs::read(path).map_err(said(path))?;
        let node = path.file_stem().unwrap_or_default().to_string_lossy();
        for line in String::from_utf8_lossy(&bytes).lines() {
            any |= tables.take(&node, line);
        }
    }
    if !any {
        return Err(
            "no line of a trace in these logs; [trace] on = true in the operator's file writes them".into()
        );
    }
    Ok(tables.text())
}
