//! The list of servers at the hub: updates from discovery, registrations and configuration.

use std::cell::{Cell, RefCell};

use glenwood_core::AttemptId;
use glenwood_list::{ConfiguredChange, MergedList, SavedList, Source};
use glenwood_policy::{CallVerdict, ListFailure, Millis, RotationStatus};
use glenwood_trace::TraceEvent;

use super::Hub;
use crate::list::{Health, ListEntry, Update, UpdateTimes};
use crate::log;

/// What an update of the merged list comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    Source(Source),
    Configuration,
}

/// When each origin of the list was last seen, in the core's time.
#[derive(Default)]
pub(super) struct LastSeen {
    discovery: Cell<Option<Millis>>,
    registrations: Cell<Option<Millis>>,
    configuration: Cell<Option<Millis>>,
}

impl LastSeen {
    fn of(&self, origin: Origin) -> &Cell<Option<Millis>> {
        match origin {
            Origin::Source(Source::Discovery) => &self.discovery,
            Origin::Source(Source::Registrations) => &self.registrations,
            Origin::Configuration => &self.configuration,
        }
    }

    /// When any origin was last seen; `None` before that.
    pub(super) fn latest(&self) -> Option<Millis> {
        [&self.discovery, &self.registrations, &self.configuration]
            .into_iter()
            .filter_map(Cell::get)
            .reduce(f64::max)
    }
}

impl Hub {
    // ---- Discovery ----

    /// Discovery has moved to another address. The list is kept, but its version may mean nothing there, so
    /// the complete list is requested at once. The old call is ended first, so that none of its late lines
    /// is read.
    pub fn discovery_moved(&self) {
        self.succession.borrow_mut().reset();
        self.version.set(None);
        if let Some(actions) = self.actions.get() {
            actions.unsubscribe();
        }
        self.update_core(|core, now| core.discovery_moved(now));
    }

    /// The version to watch from; `None` where the complete list is needed first.
    pub fn version(&self) -> Option<u64> {
        self.version.get()
    }

    /// Forgets the version: what was read last may not follow on the list of the node.
    pub fn forget_version(&self) {
        self.version.set(None);
    }

    /// The call to discovery failed, or its watch ended.
    pub fn discovery_failed(&self, message: &str, failure: ListFailure) {
        self.trace(|_| TraceEvent::CallFailed);
        self.update_core(|core, now| core.list_failed(now, failure));
        let now = self.clock.now();
        let due = self.core.borrow().next_call().map(|due| due - now);
        self.log_failed_call(message, due.unwrap_or_default());
        due.into_iter().for_each(|due| self.trace(|_| TraceEvent::CallDue(due)));
        if self.core.borrow().has_lost_list() && self.list_lost_since.get().is_none() {
            self.list_lost_since.set(Some(now));
            let version = self.version.get().map_or("none".to_string(), |version| version.to_string());
            let due = due.unwrap_or_default();
            log::write_line(format!("list lost: version {version}, {failure:?}, next call in {due:.0} ms"));
        }
        self.update_figures();
    }

    /// Logs why a call failed or a watch ended, and what a failed call was taken for. A repeated message is not
    /// logged until discovery has answered again, unless the call had to wait: an agent that is down for hours
    /// is called three times a second.
    fn log_failed_call(&self, message: &str, due: Millis) {
        let status = self.core.borrow().list_status();
        let verdict = status.last_failed_call.map(|call| call.verdict);
        let has_waited = verdict == Some(Some(CallVerdict::Overloaded));
        let summary = format!("{message} {verdict:?}");
        if *self.last_discovery_error.borrow() == summary && !has_waited {
            return;
        }
        *self.last_discovery_error.borrow_mut() = summary;
        let Some(call) = status.last_failed_call else {
            return log::write_line(format!("discovery: {message}"));
        };
        let verdict = call.verdict.map_or("not sent".to_string(), |verdict| format!("{verdict:?}"));
        log::write_line(format!(
            "discovery: {message}; the call failed after {:.0} ms ({}), the list is {:.0} ms old, next call in \
             {due:.0} ms",
            call.waited,
            verdict.to_lowercase(),
            self.clock.now() - status.confirmed_at,
        ));
    }

    /// Logs when the list becomes too old for new requests, and when it can be used again.
    pub(super) fn note_list_expiry(&self) {
        let now = self.clock.now();
        let (has_expired, status) = {
            let core = self.core.borrow();
            (core.has_list_expired(now), core.list_status())
        };
        match (has_expired, self.list_expired_since.get()) {
            (true, None) => {
                self.list_expired_since.set(Some(now));
                self.list_expirations.set(self.list_expirations.get() + 1);
                let version = self.version.get().map_or("none".to_string(), |version| version.to_string());
                log::write_line(format!(
                    "list expired: version {version}, {:.0} ms old; new requests wait or are refused",
                    now - status.confirmed_at
                ));
            }
            (false, Some(since)) => {
                self.list_expired_since.set(None);
                let reason = match self.core.borrow().has_lost_list() {
                    true => "discovery cannot be reached",
                    false => "it is followed",
                };
                log::write_line(format!("list usable again: after {:.0} ms, {reason}", now - since));
            }
            (true, Some(_)) | (false, None) => return,
        }
        self.update_figures();
    }

    /// Traces how old the list is to which an attempt is sent, if the list is not followed.
    pub(super) fn trace_list_age(&self, attempt: AttemptId) {
        if self.list_lost_since.get().is_none() {
            return;
        }
        let age = self.clock.now() - self.core.borrow().list_status().confirmed_at;
        self.trace(|_| TraceEvent::ListAge { request: attempt.request.0, attempt: attempt.number, age });
    }

    /// The answer to a call to discovery has begun.
    pub fn discovery_answering(&self) {
        self.trace(|_| TraceEvent::DiscoveryResponse);
        self.update_core(|core, now| core.list_answer_started(now));
    }

    /// A watch reported that it is alive, without a change. The first such message also answers the call:
    /// nothing has changed since the requested version.
    pub fn discovery_alive(&self, first: bool) {
        self.last_discovery_error.borrow_mut().clear();
        self.list_last_seen.of(Origin::Source(Source::Discovery)).set(Some(self.clock.now()));
        let list_received = self.list_received.replace(true);
        if first || !list_received {
            let rotation_status = self.list_lost_since.get().map(|_| self.core.borrow().rotation_status());
            let confirmed = self.merge.as_ref().map(|merge| merge.borrow_mut().confirm(Source::Discovery));
            let update = Update { version: 0, is_full: false, hosts: confirmed.unwrap_or_default() };
            self.apply_merged(Origin::Source(Source::Discovery), update, false);
            self.log_list_followed_again(rotation_status);
        } else {
            self.update_core(|core, now| core.list_heartbeat(now));
        }
    }

    /// Logs for how long the list was not followed, if it has just come back; `rotation_status` is the state
    /// before.
    fn log_list_followed_again(&self, rotation_status: Option<RotationStatus>) {
        let Some(RotationStatus { in_rotation, proved, seen, refusing }) = rotation_status else { return };
        if self.core.borrow().has_lost_list() {
            return;
        }
        let Some(lost) = self.list_lost_since.take() else { return };
        let version = self.version.get().unwrap_or_default();
        log::write_line(format!(
            "list followed again: version {version}, after {:.0} ms; of {in_rotation} servers {proved} proved, \
             {seen} seen, {refusing} refused",
            self.clock.now() - lost
        ));
    }

    /// Discovery has sent a list, or changes.
    ///
    /// # Errors
    /// What is inconsistent about the update; nothing changes then.
    pub fn apply_discovery_update(&self, update: Update) -> Result<(), String> {
        // Where servers register as well, discovery may have no servers left.
        let known = if self.merge.is_some() { 0 } else { self.servers.borrow().len() };
        self.succession.borrow_mut().accept(&update, known)?;
        self.last_discovery_error.borrow_mut().clear();
        self.list_received.set(true);
        self.trace(|_| TraceEvent::List { complete: update.is_full, entries: update.hosts.len() });
        self.trace(|_| TraceEvent::Version(update.version));
        for host in update.hosts.iter().filter(|host| host.health != Health::Active) {
            self.trace(|_| TraceEvent::Entry {
                server: host.host.clone(),
                health: format!("{:?}", host.health),
            });
        }
        let rotation_status = self.list_lost_since.get().map(|_| self.core.borrow().rotation_status());
        self.take_list(Source::Discovery, update);
        self.log_list_followed_again(rotation_status);
        Ok(())
    }

    // ---- Registrations ----

    /// Registrations have changed; with `whole`, `hosts` are all there are.
    pub fn apply_registrations(&self, whole: bool, hosts: Vec<ListEntry>) {
        self.list_received.set(true);
        self.take_list(Source::Registrations, Update { version: 0, is_full: whole, hosts });
    }

    /// The registrations that were saved before the node's start.
    pub fn restore_registrations(&self, hosts: Vec<ListEntry>) {
        let Some(merge) = &self.merge else { return };
        let hosts = merge.borrow_mut().restore(SavedList::Registrations, hosts);
        let update = Update { version: 0, is_full: false, hosts };
        self.apply_merged(Origin::Source(Source::Registrations), update, true);
    }

    /// Configuration has added, changed or removed servers.
    pub fn apply_configured_servers(&self, changes: Vec<ConfiguredChange>) {
        self.list_received.set(true);
        let Some(merge) = &self.merge else { return };
        let hosts = merge.borrow_mut().apply_configured(changes);
        self.apply_merged(Origin::Configuration, Update { version: 0, is_full: false, hosts }, false);
    }

    /// Has the server of that name answered within the last `max_age` milliseconds, and not failed since?
    pub fn has_answered_within(&self, name: &str, max_age: Millis) -> bool {
        let answered = self.servers.borrow().answered(name);
        answered.is_some_and(|at| self.clock.now() - at <= max_age)
    }

    fn take_list(&self, source: Source, update: Update) {
        if source == Source::Discovery {
            self.version.set(Some(update.version));
        }
        let update = match &self.merge {
            Some(merge) => self.merge_update(merge, source, update),
            None => update,
        };
        self.apply_merged(Origin::Source(source), update, false);
    }

    /// Merges an update of one source, and logs how many servers are then still known from before the start
    /// alone.
    fn merge_update(&self, merge: &RefCell<MergedList>, source: Source, update: Update) -> Update {
        let mut merge = merge.borrow_mut();
        let saved_before = merge.saved_count();
        let merged = merge.apply(source, update);
        let saved = merge.saved_count();
        if saved != saved_before {
            log::write_line(format!(
                "list: of {saved_before} servers of saved lists alone {saved} are left, {source:?} has reported"
            ));
        }
        merged
    }

    /// Applies an update of the merged list.
    pub(super) fn apply_merged(&self, origin: Origin, update: Update, saved: bool) {
        let whole = update.is_full;
        let last_seen = self.list_last_seen.of(origin);
        let times = UpdateTimes {
            clock: &self.clock,
            before: last_seen.get(),
            warm_within: self.settings().policy.rules.warm_up_time,
        };
        let (entries, stale) = self.servers.borrow_mut().take(update, times);
        if !saved {
            last_seen.set(Some(self.clock.now()));
        }
        if let Some(actions) = self.actions.get() {
            stale.into_iter().for_each(|server| actions.discard_connections(server));
        }
        self.update_core(|core, now| {
            if whole {
                core.handle_list(now, entries, saved);
            } else if origin == Origin::Source(Source::Discovery) {
                core.list_changed(now, entries);
            } else {
                core.list_changed_elsewhere(now, entries);
            }
        });
        self.update_figures();
    }
}
