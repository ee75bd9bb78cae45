//! Answers that begin sooner than their server can answer: whether another answer follows, which shows that
//! they belong to an earlier request.

use std::future::poll_fn;
use std::time::Instant;

use glenwood_exchange::{ResponseKind, ResponseTiming};
use glenwood_policy::ServerId;
use tokio::time::timeout_at;

use super::answer::ReceivedAnswer;
use super::pool::{Link, Pool};
use crate::hub::Hub;
use crate::sock::Pending;

/// What follows an answer on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sequel {
    /// The answer came when an answer was due, or nothing followed it when the true answer was due.
    Nothing,
    /// Another answer: the first belongs to an earlier request.
    AnotherAnswer,
    /// It can't be told.
    Unknown,
}

/// The attempt that an answer ended.
pub struct Exchanged<'a> {
    pub hub: &'a Hub,
    pub pool: &'a Pool,
    pub server: ServerId,
    pub kind: ResponseKind,
    /// When the attempt must end.
    pub deadline: Instant,
}

/// When the answer on a connection began; `None` if that was before the end of its request.
fn timing_of(link: &Link) -> Option<ResponseTiming> {
    let after_request = link.sock.answer_delay()?;
    let began = link.sock.answer_began_at()?;
    let after_previous = began.saturating_duration_since(link.exchange.idle_since());
    Some(ResponseTiming { after_request, after_previous, previous: link.exchange.last_response() })
}

/// Determines what follows an answer that began implausibly early. Waits until the true answer is due, but
/// for no more than half of the time that is left.
pub async fn sequel(exchanged: Exchanged<'_>, link: &Link, received: &ReceivedAnswer) -> Sequel {
    let Exchanged { hub, pool, server, kind, deadline } = exchanged;
    let sock = &link.sock;
    let Some(timing) = timing_of(link) else { return Sequel::Nothing };
    let Some(within) = pool.true_answer_within(server, kind, timing) else { return Sequel::Nothing };
    hub.report_early_answer(server, timing.after_request, within);
    if received.ends_connection() {
        return Sequel::Nothing;
    }
    // A failure proves nothing, so it is not worth the wait.
    if received.is_incomplete() || kind == ResponseKind::Failed {
        return Sequel::Unknown;
    }
    if !received.is_exact(sock) {
        return Sequel::AnotherAnswer;
    }
    let now = Instant::now();
    let latest = now + deadline.saturating_duration_since(now) / 2;
    let due = (sock.last_write_at() + within).min(latest);
    match timeout_at(due.into(), poll_fn(|cx| sock.poll_readable_or_closed(cx))).await {
        Err(_) | Ok(Pending::Nothing) => Sequel::Nothing,
        Ok(Pending::Bytes) => Sequel::AnotherAnswer,
        Ok(Pending::End) => Sequel::Unknown,
    }
}
