//! Registrations: the list follows the servers' own sessions at the coordination service. The decisions are
//! in `glenwood-coordination`; this module has the sockets, the saved file and the log.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use glenwood_coordination::net::Driver;
use glenwood_coordination::saved::SavedView;
use glenwood_coordination::view::{Settings, View, ViewEvent};
use glenwood_coordination::{guard, session};
use tokio::task::JoinHandle;

use crate::hub::Hub;
use crate::list::ListEntry;
use crate::log;
use crate::operator::Registrations;

/// How long after a change the view is saved, so that changes in quick succession are saved together.
const SAVE_DELAY: Duration = Duration::from_secs(2);
/// How long after the service went away that is logged again; the interval doubles each time.
const AWAY_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// The most invalid registrations that are logged, each once until it changes.
const MAX_LOGGED_INVALID: usize = 1000;

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

/// Loads the view saved before the node's start, where there is one.
pub fn load_saved(hub: &Hub, settings: &Registrations) {
    let Some(path) = &settings.save else { return };
    let shown = path.display();
    match std::fs::read(path) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => {}
        Err(e) => log::write_line(format!("registrations: {shown}: {e}; no saved view")),
        Ok(bytes) => match SavedView::read(&bytes) {
            Err(e) => log::write_line(format!("registrations: {shown}: {e}; the saved view is not used")),
            Ok(saved) => {
                let age = ((unix_ms() - saved.at_unix_ms) / 1000.0).max(0.0);
                let count = saved.hosts.len();
                log::write_line(format!("registrations: {count} servers of a saved view, {age:.0} s old"));
                hub.restore_registrations(saved.hosts);
            }
        },
    }
}

/// Replaces a file atomically: after a crash there is the old file or the new one, complete.
fn save(path: &Path, hosts: Vec<ListEntry>) -> std::io::Result<()> {
    let mut new = path.as_os_str().to_owned();
    new.push(".new");
    let written = (|| {
        let mut file = File::create(&new)?;
        file.write_all(&SavedView { at_unix_ms: unix_ms(), hosts }.write())?;
        file.sync_all()
    })();
    if let Err(error) = written {
        // An incomplete file is useless, and takes space on a disk that may be full.
        let _ = std::fs::remove_file(&new);
        return Err(error);
    }
    std::fs::rename(&new, path)?;
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

/// Saves the view some time after it has changed, and tries again where the write fails.
struct Saver {
    path: PathBuf,
    due: Option<Instant>,
    /// The write in progress; returns whether it succeeded.
    writing: Option<JoinHandle<bool>>,
}

impl Saver {
    fn new(path: PathBuf) -> Self {
        Self { path, due: None, writing: None }
    }

    /// Schedules a save, as the view has changed.
    fn changed(&mut self) {
        self.due.get_or_insert(Instant::now() + SAVE_DELAY);
    }

    /// Waits until a save is due.
    async fn due(&mut self) {
        match (&mut self.writing, self.due) {
            // One write at a time: a disk may be slow, and the list does not wait for it.
            (Some(writing), _) => {
                let succeeded = writing.await.unwrap_or(false);
                self.writing = None;
                if !succeeded {
                    self.changed();
                }
            }
            (None, Some(due)) => tokio::time::sleep_until(due.into()).await,
            (None, None) => std::future::pending().await,
        }
    }

    /// Starts to save the view, if a save is due.
    fn save(&mut self, hosts: impl FnOnce() -> Vec<ListEntry>) {
        if self.writing.is_some() || self.due.is_none_or(|due| due > Instant::now()) {
            return;
        }
        self.due = None;
        let (path, hosts) = (self.path.clone(), hosts());
        self.writing = Some(tokio::task::spawn_blocking(move || {
            let saved = save(&path, hosts);
            if let Err(error) = &saved {
                log::write_line(format!(
                    "registrations: {}: {error}; the view is saved later",
                    path.display()
                ));
            }
            saved.is_ok()
        }));
    }
}

/// Since when the service has been away, and when that is logged next.
struct Away {
    since: Instant,
    next: Duration,
}

/// Follows the registrations; never returns.
pub async fn follow(hub: Rc<Hub>, settings: Registrations) {
    let members = settings.members.len();
    let seed = hub.config.seed;
    let view_settings = Settings {
        session: session::Settings { members, timeout: settings.timeout_ms as f64, seed },
        path: settings.path.clone(),
        relist_interval: settings.look_every_ms as f64,
        guard: (settings.guard_hold_ms > 0).then_some(guard::Settings {
            share: settings.guard_share,
            window: settings.guard_window_ms as f64,
            delay: settings.guard_hold_ms as f64,
        }),
        suspect_ms: settings.suspect_ms as f64,
    };
    let (known, max_age) = (hub.clone(), settings.answer_ms as f64);
    let answers = Box::new(move |name: &str| known.has_answered_within(name, max_age));
    let view = match View::new(0.0, view_settings, answers) {
        Ok(view) => view,
        // The operator's file was checked before; this is for settings that only the view can check.
        Err(e) => return log::write_line(format!("registrations: {e}; not followed")),
    };
    let mut driver = Driver::new(view, settings.members.clone(), Instant::now());
    let mut away: Option<Away> = None;
    let mut saver = settings.save.clone().map(Saver::new);
    log::write_line(format!("registrations: follows {} at {members} members", settings.path));
    let mut invalid: HashMap<String, String> = HashMap::new();
    loop {
        let log_away_again = async {
            match away.as_ref().map(|a| a.since + a.next) {
                Some(due) => tokio::time::sleep_until(due.into()).await,
                None => std::future::pending().await,
            }
        };
        let save = async {
            match &mut saver {
                Some(saver) => saver.due().await,
                None => std::future::pending().await,
            }
        };
        let output = tokio::select! {
            output = driver.next() => Some(output),
            () = log_away_again => None,
            () = save => None,
        };
        let (listed, _, _) = driver.machine().counts();
        match output {
            Some(ViewEvent::List { is_complete: whole, hosts }) => {
                if whole {
                    log::write_line(format!("registrations: {} servers", hosts.len()));
                }
                for host in &hosts {
                    invalid.remove(&host.host);
                }
                hub.apply_registrations(whole, hosts);
                saver.iter_mut().for_each(Saver::changed);
            }
            Some(ViewEvent::Rejected { name, reason }) => {
                if invalid.len() < MAX_LOGGED_INVALID && invalid.get(&name) != Some(&reason) {
                    log::write_line(format!("registrations: {name}: {reason}; not taken"));
                    invalid.insert(name, reason);
                }
            }
            Some(ViewEvent::Unreachable) if away.is_none() => {
                log::write_line(format!("registrations: the service is away; {listed} servers stay listed"));
                away = Some(Away { since: Instant::now(), next: AWAY_LOG_INTERVAL });
            }
            Some(ViewEvent::Unreachable) => {}
            Some(ViewEvent::Reachable) => {
                if let Some(away) = away.take() {
                    let span = away.since.elapsed().as_secs_f64();
                    log::write_line(format!("registrations: the service is back after {span:.1} s"));
                }
            }
            None => {
                let now = Instant::now();
                if let Some(away) = away.as_mut().filter(|a| a.since + a.next <= now) {
                    let age = away.since.elapsed().as_secs();
                    log::write_line(format!(
                        "registrations: still away after {age} s; {listed} servers stay listed"
                    ));
                    away.next *= 2;
                }
                if let Some(saver) = &mut saver {
                    saver.save(|| driver.machine().list().cloned().collect());
                }
            }
        }
    }
}
