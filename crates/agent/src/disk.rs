//! The files in an agent's folder:
//!
//! - `journal`: the agent's facts. Each is synced to disk before the agent acts on it. A long journal is
//!   compacted when it is opened.
//! - `audit`: the audit trail of operators' commands.
//! - `configs/DIGEST/`: each version of an instance's files, so that a change can be rolled back to an older
//!   one.
//! - `NAME.log`, `NAME.sock`: the log and the socket of an instance.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use glenwood_fleet::audit::{digest, Trail};
use glenwood_fleet::book::{DurableState, Fact};
use glenwood_fleet::journal;

use crate::records::Records;

/// A journal of at least this many bytes is compacted when it is opened.
const COMPACTION_THRESHOLD_BYTES: usize = 1 << 20;

/// The journal of an agent, open for appending.
pub struct Journal {
    records: Records,
    /// The number of the last record; records are numbered from 1.
    last_number: u64,
}

fn invalid_data(message: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

/// Syncs a folder, so that files created, renamed or removed in it survive a crash.
fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Replaces a file atomically: after a crash it has either its old or its new content, complete.
///
/// # Errors
/// If the new content can't be written; the old file is left unchanged.
pub fn replace_atomically(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut new = path.as_os_str().to_owned();
    new.push(".new");
    let result = (|| {
        let mut file = File::create(&new)?;
        file.write_all(bytes)?;
        file.sync_all()
    })();
    if let Err(e) = result {
        // Remove the partial file: it is useless and takes space on a disk that may be full.
        let _ = std::fs::remove_file(&new);
        return Err(e);
    }
    std::fs::rename(&new, path)?;
    sync_folder(path.parent().unwrap_or(Path::new(".")))
}

impl Journal {
    /// Opens or creates the journal of a folder and returns it with the state that its facts produce. An
    /// incomplete record at the end is removed.
    ///
    /// # Errors
    /// If the journal can't be read, or is damaged before its end; a damaged journal is left unchanged.
    pub fn open(folder: &Path) -> io::Result<(Self, DurableState)> {
        let path = folder.join("journal");
        let content = match std::fs::read(&path) {
            Ok(content) => content,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(e),
        };
        let parsed =
            journal::decode_all(&content, Some(1)).map_err(|e| invalid_data(format!("journal: {e}")))?;
        let mut state = DurableState::default();
        for record in &parsed.records {
            let fact: Fact = serde_json::from_slice(&record.bytes)
                .map_err(|e| invalid_data(format!("journal: record {}: {e}", record.number)))?;
            state.apply(&fact);
        }
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        if parsed.length < content.len() {
            file.set_len(parsed.length as u64)?;
        }
        file.sync_all()?;
        sync_folder(folder)?;
        if content.len() < COMPACTION_THRESHOLD_BYTES {
            let records = Records::new(file, parsed.length as u64);
            return Ok((Self { records, last_number: parsed.records.len() as u64 }, state));
        }
        let mut compacted = Vec::new();
        for (number, fact) in (1..).zip(state.facts()) {
            compacted.extend(journal::encode(number, &serde_json::to_vec(&fact)?));
        }
        replace_atomically(&path, &compacted)?;
        let file = OpenOptions::new().append(true).open(&path)?;
        let records = Records::new(file, compacted.len() as u64);
        Ok((Self { records, last_number: state.facts().len() as u64 }, state))
    }

    /// Appends a fact and returns once it is synced to disk.
    ///
    /// # Errors
    /// If the fact can't be written or synced; it then doesn't count as written.
    pub fn append_fact(&mut self, fact: &Fact) -> io::Result<()> {
        let bytes = serde_json::to_vec(fact)?;
        self.records.append_record(&journal::encode(self.last_number + 1, &bytes))?;
        self.last_number += 1;
        Ok(())
    }
}

/// The audit trail, open for appending.
pub struct Audit {
    records: Records,
    trail: Trail,
}

impl Audit {
    /// Opens or creates the audit trail of a folder. An incomplete line at the end is removed.
    ///
    /// # Errors
    /// If the trail can't be read, or a line does not continue the digest chain of the line before it.
    pub fn open(folder: &Path) -> io::Result<Self> {
        let path = folder.join("audit");
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => String::new(),
            Err(e) => return Err(e),
        };
        // An incomplete last line was being written when the agent was killed, before it acted on the
        // command.
        let complete_length = text.rfind('\n').map_or(0, |at| at + 1);
        let (trail, _) =
            Trail::read(&text[..complete_length]).map_err(|e| invalid_data(format!("audit: {e}")))?;
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        if complete_length < text.len() {
            file.set_len(complete_length as u64)?;
        }
        Ok(Self { records: Records::new(file, complete_length as u64), trail })
    }

    /// Appends a line and returns once it is synced to disk.
    ///
    /// # Errors
    /// If the line can't be written or synced; it then doesn't count as written.
    pub fn append_entry(&mut self, at_unix_ms: f64, who: &str, what: &str, epoch: u64) -> io::Result<()> {
        let mut next = self.trail.clone();
        let line = next.append(at_unix_ms, who, what, epoch);
        self.records.append_record(line.as_bytes())?;
        self.trail = next;
        Ok(())
    }
}

/// The paths of one version of an instance's files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceFiles {
    /// The version: the digest of both files.
    pub version: String,
    /// The configuration file.
    pub config: PathBuf,
    /// The operator's settings file.
    pub operator: PathBuf,
}

/// The paths at which a version of an instance's files is stored.
fn file_paths(folder: &Path, version: &str) -> InstanceFiles {
    let version_folder = folder.join("configs").join(version);
    InstanceFiles {
        version: version.to_string(),
        config: version_folder.join("config.json"),
        operator: version_folder.join("node.toml"),
    }
}

/// Stores a copy of an instance's files as a new version. The agent adds an `[inspect]` table to the
/// operator's file, with the socket at which the instance reports its state.
///
/// # Errors
/// If a file can't be read or written, or the operator's file already has an `[inspect]` table.
pub fn store_files(
    folder: &Path,
    name: &str,
    config: &Path,
    operator: Option<&Path>,
) -> io::Result<InstanceFiles> {
    let with_path = |path: &Path, e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
    let read_file = |path: &Path| std::fs::read(path).map_err(|e| with_path(path, e));
    let config = read_file(config)?;
    let mut operator_content = operator.map(read_file).transpose()?.unwrap_or_default();
    if String::from_utf8_lossy(&operator_content).lines().any(|line| line.trim() == "[inspect]") {
        return Err(invalid_data(format!(
            "{name}: the operator's file must not have an [inspect] table: the agent adds it"
        )));
    }
    operator_content.extend(
        format!("\n[inspect]\nsocket = {:?}\n", socket_path(folder, name).display().to_string()).bytes(),
    );
    // The node computes the digest of its files in the same way, so that the two can be compared.
    let length = |bytes: &[u8]| (bytes.len() as u64).to_be_bytes();
    let version =
        digest(&[&length(&config)[..], &config, &length(&operator_content)[..], &operator_content].concat());
    let files = file_paths(folder, &version);
    std::fs::create_dir_all(files.config.parent().unwrap_or(folder))?;
    replace_atomically(&files.config, &config)?;
    replace_atomically(&files.operator, &operator_content)?;
    Ok(files)
}

/// The files of a version stored by [`store_files`].
///
/// # Errors
/// If a file of this version does not exist.
pub fn stored_files(folder: &Path, version: &str) -> io::Result<InstanceFiles> {
    let files = file_paths(folder, version);
    match files.config.exists() && files.operator.exists() {
        true => Ok(files),
        false => Err(io::Error::new(
            io::ErrorKind::NotFound,
            format!("the files of version {version} are not stored"),
        )),
    }
}

/// The path of the socket at which an instance reports its state.
pub fn socket_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.sock"))
}

/// The path of an instance's log.
pub fn log_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.log"))
}

/// The last `count` lines of a text file; none if it can't be read.
pub fn last_lines(path: &Path, count: usize) -> Vec<String> {
    let text = std::fs::read(path).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(count)..].iter().map(ToString::to_string).collect()
}
