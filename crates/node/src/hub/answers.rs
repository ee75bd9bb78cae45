//! Logging and counting of answers that do not belong to their requests, and of such that are not whole.

use std::cell::Cell;
use std::time::{Duration, Instant};

use glenwood_core::AttemptId;
use glenwood_exchange::{RequiredIdle, Scope, UnsolicitedBytes, Verdict};
use glenwood_policy::ServerId;
use glenwood_trace::TraceEvent;

use super::Hub;
use crate::backend::http1::UploadBound;
use crate::call::Truncated;
use crate::log;
use crate::pace::Bound;

/// The most log lines about answers out of turn within [`LINE_WINDOW`]; the metrics count all.
const MAX_LINES: u32 = 20;
const LINE_WINDOW: Duration = Duration::from_secs(10);

/// Limits the log lines per time span.
#[derive(Default)]
pub(super) struct LineBudget {
    since: Cell<Option<Instant>>,
    lines: Cell<u32>,
}

impl LineBudget {
    /// Counts a line; `false` where the limit is exceeded.
    fn take(&self, now: Instant) -> bool {
        if self.since.get().is_none_or(|since| now.saturating_duration_since(since) >= LINE_WINDOW) {
            self.since.set(Some(now));
            self.lines.set(0);
        }
        self.lines.set(self.lines.get() + 1);
        self.lines.get() <= MAX_LINES
    }
}

fn as_ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}

/// An answer that ended before it was whole, after a part of it was forwarded.
pub struct TruncatedAnswer<'a> {
    /// The client's id of the request.
    pub id: &'a str,
    /// How many bytes of its body were forwarded.
    pub bytes: usize,
    /// The length of its body, if declared.
    pub declared_bytes: Option<u64>,
    /// How long it was forwarded.
    pub elapsed: Duration,
    /// For how long its server was waited for in the end.
    pub current_pause: Duration,
    /// The longest time for which its server was waited for at a stretch.
    pub longest_pause: Duration,
    /// When its client's time is up; `None` while the client still sends its request.
    pub due: Option<Instant>,
    /// Why it ended.
    pub reason: Truncated,
    /// Which bound ended it, if its server's connection is intact.
    pub bound: Option<Bound>,
}

impl TruncatedAnswer<'_> {
    /// What had come, how fast, and how its end lies to its client's time.
    fn progress(&self, now: Instant) -> String {
        let rate = self.bytes as f64 / 1000.0 / self.elapsed.as_secs_f64().max(0.001);
        let declared = self.declared_bytes.map_or("undeclared".to_string(), |bytes| format!("of {bytes}"));
        let bound = self.bound.map_or("none".to_string(), |bound| bound.to_string());
        let due = match self.due {
            None => "its client still sends".to_string(),
            Some(due) if due > now => format!("{:.1} ms before its time", as_ms(due - now)),
            Some(due) => format!("{:.1} ms after its time", as_ms(now - due)),
        };
        format!(
            "bound {bound}, length {declared}, {rate:.1} kB/s, paused for {:.1} ms, at most {:.1} ms, {due}",
            as_ms(self.current_pause),
            as_ms(self.longest_pause)
        )
    }
}

/// An exchange that was given up while its request was being written.
pub struct AbandonedUpload {
    /// The attempt.
    pub attempt: Option<AttemptId>,
    /// What ended it.
    pub bound: UploadBound,
    /// How long it lasted.
    pub elapsed: Duration,
    /// How many bytes of the body were not passed on yet, if its length was declared.
    pub left: Option<usize>,
    /// How long the server had accepted nothing.
    pub stalled: Duration,
    /// When the client may have written its last byte, if it may have.
    pub last_byte_since: Option<Instant>,
}

/// A client's connection that this node ended while a request on it had no whole answer.
pub struct UnansweredClose {
    /// Whether a part of the answer was written.
    pub is_begun: bool,
    /// For how long the request had been served, or its answer written.
    pub elapsed: Duration,
    /// Why it was ended.
    pub cause: String,
}

impl Hub {
    /// An answer began after `elapsed`, sooner than its server was known to answer; the true one would come
    /// within `expected_within`.
    pub fn report_early_answer(&self, server: ServerId, elapsed: Duration, expected_within: Duration) {
        self.figures.with(|figures| figures.early_answers += 1);
        if self.answer_log_budget.take(Instant::now()) {
            let (node, name) = (&self.config.name, self.server_name(server));
            log::write_line(format!(
                "{node} answer early: server {name}, {:.1} ms after its request, usually within {:.1} ms",
                as_ms(elapsed),
                as_ms(expected_within)
            ));
        }
    }

    /// A server sent bytes that no request was waiting for. `scope` is set where this makes a server, or
    /// all, doubted; `required_idle` is how long connections must be idle before they are used then.
    pub fn report_unsolicited_bytes(
        &self,
        server: ServerId,
        seen: UnsolicitedBytes,
        scope: Option<Scope>,
        required_idle: RequiredIdle,
    ) {
        self.figures.with(|figures| figures.out_of_turn += 1);
        let UnsolicitedBytes { phase, after, age, answers } = seen;
        self.trace(|name| TraceEvent::UnsolicitedBytes {
            server: name(server),
            connection_state: phase.to_string(),
            idle_ms: as_ms(after),
            age_ms: as_ms(age),
            answers,
        });
        if scope.is_none() && !self.answer_log_budget.take(Instant::now()) {
            return;
        }
        let (node, name) = (&self.config.name, self.server_name(server));
        log::write_line(format!(
            "{node} answer out of turn: server {name}, {phase}, {:.1} ms after, connection {:.1} ms old, {answers} answers",
            as_ms(after),
            as_ms(age)
        ));
        if let Some(scope) = scope {
            let whom = match scope {
                Scope::Server => format!("server {name}"),
                Scope::All => "all servers".to_string(),
            };
            log::write_line(format!(
                "{node} doubts answers of {whom}: connections stay idle for {:.0} ms when new and {:.0} ms after an answer",
                as_ms(required_idle.new),
                as_ms(required_idle.used)
            ));
        }
    }

    /// An attempt was given up while its answer was arriving: `body_bytes` of the body had, and the first byte
    /// of the answer `elapsed` before. `attempt` is `None` for a probe.
    pub fn report_answer_cut_off(
        &self,
        server: ServerId,
        attempt: Option<AttemptId>,
        body_bytes: usize,
        elapsed: Duration,
    ) {
        self.figures.with(|figures| figures.cut_off_answers += 1);
        if self.answer_log_budget.take(Instant::now()) {
            let (node, name) = (&self.config.name, self.server_name(server));
            let request = attempt.map_or(0, |attempt| attempt.request.0);
            log::write_line(format!(
                "{node} answer cut off: server {name}, request {request}, {body_bytes} bytes of its body in {:.1} ms",
                as_ms(elapsed)
            ));
        }
    }

    /// An answer that was being forwarded ended before it was whole.
    pub fn report_truncated_answer(&self, answer: &TruncatedAnswer<'_>) {
        self.figures.with(|figures| {
            figures.truncated_answers += 1;
            if let Some(bound) = answer.bound {
                *figures.answers_ended.entry(bound.label()).or_default() += 1;
            }
        });
        let now = Instant::now();
        if self.answer_log_budget.take(now) {
            let TruncatedAnswer { id, bytes, elapsed, reason, .. } = answer;
            log::write_line(format!(
                "{} answer truncated: request {id}, {bytes} bytes of its body in {:.1} ms, {reason}; {}",
                self.config.name,
                as_ms(*elapsed),
                answer.progress(now)
            ));
        }
    }

    /// An exchange was given up while its request was being written.
    pub fn report_abandoned_upload(&self, server: ServerId, upload: &AbandonedUpload) {
        let AbandonedUpload { attempt, bound, elapsed, left, stalled, last_byte_since } = upload;
        self.figures.with(|figures| *figures.uploads_abandoned.entry(bound.label()).or_default() += 1);
        let now = Instant::now();
        if !self.answer_log_budget.take(now) {
            return;
        }
        let (node, name) = (&self.config.name, self.server_name(server));
        let request = attempt.map_or(0, |attempt| attempt.request.0);
        let left = left.map_or("an unknown number of".to_string(), |left| left.to_string());
        let last_byte = last_byte_since.map_or("not known to be sent".to_string(), |since| {
            format!("sent {:.1} ms ago or later", as_ms(now.saturating_duration_since(since)))
        });
        log::write_line(format!(
            "{node} request given up while it was written: server {name}, request {request}, bound {bound}, after {:.1} ms, {left} bytes left, nothing accepted for {:.1} ms, last byte {last_byte}",
            as_ms(*elapsed),
            as_ms(*stalled)
        ));
    }

    /// A client's connection was ended while a request on it had no whole answer.
    pub fn report_unanswered_close(&self, close: &UnansweredClose) {
        let UnansweredClose { is_begun, elapsed, cause } = close;
        self.figures.with(|figures| match is_begun {
            true => figures.closed_within_answer += 1,
            false => figures.closed_unanswered += 1,
        });
        if self.answer_log_budget.take(Instant::now()) {
            let progress = if *is_begun { "within an answer" } else { "with no byte of an answer" };
            log::write_line(format!(
                "{} connection closed {progress}: after {:.1} ms, {cause}",
                self.config.name,
                as_ms(*elapsed)
            ));
        }
    }

    /// An answer was not accepted as the answer of its request; `attempt` is `None` for a probe.
    pub fn answer_doubted(&self, server: ServerId, attempt: Option<AttemptId>, verdict: Verdict) {
        self.figures.with(|figures| figures.doubted_answers += 1);
        let Some(attempt) = attempt else { return };
        let (proof, reason) = (verdict.proof, verdict.reason);
        self.trace(|name| TraceEvent::DistrustedAnswer {
            request: attempt.request.0,
            attempt: attempt.number,
            server: name(server),
            proof: format!("{proof:?}"),
            cause: reason.to_string(),
        });
        if self.answer_log_budget.take(Instant::now()) {
            let (node, name) = (&self.config.name, self.server_name(server));
            let request = attempt.request.0;
            log::write_line(format!(
                "{node} answer doubted: server {name}, request {request}, {reason}, {proof:?}"
            ));
        }
    }
}
