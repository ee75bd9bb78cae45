//! Inspection: a Unix socket in the node's runtime folder that returns one JSON object per connection. The
//! folder's permissions decide who may connect; the socket itself is accessible to its owner only.

use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use glenwood_operation::figures::Metric;
use serde::Serialize;
use sha2::{Digest, Sha256};
use tokio::io::AsyncWriteExt;
use tokio::net::UnixListener;
use tokio::sync::OnceCell;

use crate::errno::retry_at_start;
use crate::hub::Hub;
use crate::log;

/// The environment variable with the token of this start, which is returned to whoever started the node.
pub const TOKEN: &str = "GLENWOOD_TOKEN";
/// How long a connection is kept for a caller that does not read the answer.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// A part of the node with its own section in the report.
pub trait Part {
    /// The field of this part in the report.
    fn name(&self) -> &'static str;
    /// The content of that field.
    fn report(&self) -> serde_json::Value;
    /// The metrics of this part for the admin endpoint.
    fn figures(&self) -> Vec<Metric>;
}

/// The stage of the node's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// It does not serve yet.
    Starting,
    /// It serves.
    Ready,
    /// It was told to stop, and finishes its open requests.
    Stopping,
}

/// The report of the node.
#[derive(Debug, Serialize)]
struct Report {
    name: String,
    /// The token that the node was started with.
    token: Option<String>,
    pid: u32,
    /// The program's version, and the SHA-256 of its file.
    version: &'static str,
    release: Option<String>,
    /// The SHA-256 of the configuration file and the operator's file, as read at the start.
    config: String,
    started_unix_ms: f64,
    stage: Stage,
    /// Requests that await their answer.
    open: usize,
    /// Final answers so far, without refusals; `failed` are those of them that failed.
    answered: u64,
    failed: u64,
    refused: u64,
    /// The number of listed servers, and how long ago any source of the list was last seen.
    servers: usize,
    list_age_ms: Option<f64>,
    /// Tenants' usage over all nodes, where it is counted.
    usage: Option<crate::usage::Report>,
    /// The sections of the parts, by their names.
    #[serde(flatten)]
    parts: serde_json::Map<String, serde_json::Value>,
}

fn hex(hasher: Sha256) -> String {
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The digest of this program's file. It is read in pieces, as it is larger than the memory a node may use.
fn own_digest() -> Option<String> {
    let mut file = std::fs::File::open("/proc/self/exe").ok()?;
    let (mut hasher, mut chunk) = (Sha256::new(), vec![0; 64 * 1024]);
    loop {
        match file.read(&mut chunk).ok()? {
            0 => return Some(hex(hasher)),
            n => hasher.update(&chunk[..n]),
        }
    }
}

/// The digest of the configuration file and the operator's file.
fn config_digest(operator: Option<&Path>) -> String {
    let config = std::env::var_os("BALANCER_CONFIG").map(PathBuf::from);
    let mut hasher = Sha256::new();
    for path in [config.as_deref(), operator].into_iter().flatten() {
        let bytes = std::fs::read(path).unwrap_or_default();
        hasher.update((bytes.len() as u64).to_be_bytes());
        hasher.update(&bytes);
    }
    hex(hasher)
}

/// Creates the socket at this path, in place of one left there by an earlier node.
///
/// # Errors
/// One line with the reason, where it can't be created.
pub fn listen(path: &Path) -> Result<UnixListener, String> {
    let describe = |e: std::io::Error| format!("inspect.socket: {}: {e}", path.display());
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(describe(e)),
        _ => {}
    }
    let listener = retry_at_start(|| UnixListener::bind(path)).map_err(describe)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(describe)?;
    Ok(listener)
}

/// Serves the inspection socket; never returns.
pub async fn answer_connections(
    hub: Rc<Hub>,
    parts: Vec<Rc<dyn Part>>,
    listener: UnixListener,
    operator: Option<PathBuf>,
) {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let started_unix_ms = since.as_secs_f64() * 1000.0;
    let config = config_digest(operator.as_deref());
    let token = std::env::var(TOKEN).ok();
    let release: Rc<OnceCell<Option<String>>> = Rc::default();
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            // No descriptor is left; other parts of the node will return some.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (hub, config, token, release) = (hub.clone(), config.clone(), token.clone(), release.clone());
        let parts = parts.clone();
        tokio::task::spawn_local(async move {
            let digest = || async { tokio::task::spawn_blocking(own_digest).await.unwrap_or_default() };
            let release = release.get_or_init(digest).await.clone();
            let counts = hub.counts();
            let report = Report {
                name: hub.config.name.clone(),
                token,
                pid: std::process::id(),
                version: env!("CARGO_PKG_VERSION"),
                release,
                config,
                started_unix_ms,
                stage: hub.stage(),
                open: hub.awaiting(),
                answered: counts.answered,
                failed: counts.failed,
                refused: counts.refused,
                servers: hub.listed_servers(),
                list_age_ms: hub.list_age().map(|age| age.as_secs_f64() * 1000.0),
                usage: hub.usage_shares.as_ref().map(|shares| shares.report()),
                parts: parts.iter().map(|part| (part.name().to_string(), part.report())).collect(),
            };
            let mut line = serde_json::to_vec(&report).unwrap_or_default();
            line.push(b'\n');
            let write = async {
                stream.write_all(&line).await?;
                stream.shutdown().await
            };
            // The caller may have gone meanwhile.
            let _ = tokio::time::timeout(WRITE_TIMEOUT, write).await;
        });
    }
}

/// Removes the socket when the node ends.
pub fn remove(path: &Path) {
    if let Err(e) = std::fs::remove_file(path) {
        log::write_line(format!("inspect: {}: {e}", path.display()));
    }
}
