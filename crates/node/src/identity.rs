//! The identity of this process towards the other nodes: the number of its incarnation, and the shared
//! secret.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use glenwood_datagram::{stable_hash, Secret};

/// The shortest secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// A number that differs for each start, also for starts at the same moment or with the same seed.
pub fn unique_start_number(seed: u64) -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
    let ids = [seed.to_be_bytes(), u64::from(std::process::id()).to_be_bytes()];
    stable_hash(&[&ids[0], &ids[1], &since.to_be_bytes()]).max(1)
}

/// Reads the secret for the table `table` of the operator's file.
///
/// # Errors
/// One line with the field and the reason.
pub fn secret(table: &str, path: &Path) -> Result<Secret, String> {
    let describe = |reason: String| format!("{table}.secret: {}: {reason}", path.display());
    let bytes = std::fs::read(path).map_err(|e| describe(e.to_string()))?;
    if bytes.len() < MIN_SECRET_BYTES {
        return Err(describe(format!("{MIN_SECRET_BYTES} bytes are needed at the least")));
    }
    Ok(Secret::new(&bytes))
}
