//! What is logged and counted of answers that are not those of their requests.

use std::cell::Cell;
use std::time::{Duration, Instant};

use glenwood_core::AttemptId;
use glenwood_exchange::{Need, OutOfTurn, Scope, Verdict};
use glenwood_policy::ServerId;
use glenwood_trace::Doing;

use super::Hub;
use crate::log;

/// How many lines of the log may tell of answers out of turn within a span; the figures count all.
const LINES_MOST: u32 = 20;
const LINES_SPAN: Duration = Duration::from_secs(10);

/// How much has been logged lately.
#[derive(Default)]
pub(super) struct LineBudget {
    since: Cell<Option<Instant>>,
    lines: Cell<u32>,
}

impl LineBudget {
    /// May one more line be logged?
    fn take(&self, now: Instant) -> bool {
        if self.since.get().is_none_or(|since| now.saturating_duration_since(since) >= LINES_SPAN) {
            self.since.set(Some(now));
            self.lines.set(0);
        }
        self.lines.set(self.lines.get() + 1);
        self.lines.get() <= LINES_MOST
    }
}

impl Hub {
    /// Bytes came from a server that nobody asked for; a doubt of that scope begins by it, and `need` is what follows.
    pub fn answer_out_of_turn(&self, server: ServerId, seen: OutOfTurn, scope: Option<Scope>, need: Need) {
        self.figures.with(|figures| figures.out_of_turn += 1);
        let OutOfTurn { position, after, age, answers } = seen;
        let ms = |span: Duration| span.as_secs_f64() * 1000.0;
        self.trace(|name| Doing::OutOfTurn {
            server: name(server),
            position: position.to_string(),
            after: ms(after),
            age: ms(age),
            answers,
        });
        if scope.is_none() && !self.answer_lines.take(Instant::now()) {
            return;
        }
        let (node, name) = (&self.config.name, self.server_name(server));
        log::line(format!(
            "{node} answer out of turn: server {name}, {position}, {:.1} ms after, connection {:.1} ms old, {answers} answers",
            ms(after),
            ms(age)
        ));
        if let Some(scope) = scope {
            let whom = match scope {
                Scope::Server => format!("server {name}"),
                Scope::All => "all servers".to_string(),
            };
            log::line(format!(
                "{node} doubts {whom}: connections rest for {:.0} ms when new and {:.0} ms after an answer",
                ms(need.new),
                ms(need.used)
            ));
        }
    }

    /// An answer is not taken for what it says; `attempt` is `None` for a probe's.
    pub fn answer_doubted(&self, server: ServerId, attempt: Option<AttemptId>, verdict: Verdict) {
        self.figures.with(|figures| figures.doubted_answers += 1);
        let Some(attempt) = attempt else { return };
        let (proof, why) = (verdict.proof, verdict.why);
        self.trace(|name| Doing::Doubted {
            request: attempt.request.0,
            attempt: attempt.number,
            server: name(server),
            proof: format!("{proof:?}"),
            why: why.to_string(),
        });
        if self.answer_lines.take(Instant::now()) {
            let (node, name) = (&self.config.name, self.server_name(server));
            let request = attempt.request.0;
            log::line(format!("{node} answer doubted: server {name}, request {request}, {why}, {proof:?}"));
        }
    }
}
