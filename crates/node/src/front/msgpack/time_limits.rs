//! How long a connection may wait for its client: for the rest of a message, and for answers to be read.

use std::time::Instant;

use glenwood_msgpack_rpc::frame::PartialMessage;
use glenwood_msgpack_rpc::server::Connection;

use crate::arrival::MessageArrival;
use crate::front::table::{ANSWER_STALL_TIMEOUT, WRITE_RETRY_INTERVAL};
use crate::sock::Phase;

/// What the next step of a connection depends on.
pub(super) struct ConnState {
    pub(super) wants_bytes: bool,
    pub(super) has_open_calls: bool,
    pub(super) has_output: bool,
    pub(super) is_over: bool,
    pub(super) phase: Phase,
    partial_message: Option<PartialMessage>,
}

impl ConnState {
    /// `may_have_more` tells whether received messages may still be handled.
    pub(super) fn of(protocol: &Connection, may_have_more: bool) -> Self {
        let (has_open_calls, has_output) = (protocol.open() > 0, !protocol.output().is_empty());
        let partial_message = protocol.partial_message();
        let phase = match partial_message {
            _ if has_open_calls || has_output || may_have_more => Phase::Busy,
            Some(_) => Phase::Reading,
            None => Phase::Idle,
        };
        Self {
            wants_bytes: protocol.wants_bytes(),
            has_open_calls,
            has_output,
            is_over: protocol.is_over(),
            partial_message,
            phase,
        }
    }
}

/// The time limits of a connection.
#[derive(Default)]
pub(super) struct TimeLimits {
    /// The message that is being received, unless reading pauses.
    message: Option<MessageArrival>,
    /// Since when the kernel has accepted no more of the answers, as the client has not read them.
    blocked_since: Option<Instant>,
    /// When the blocked write is to be tried again.
    retry_write_at: Option<Instant>,
}

impl TimeLimits {
    /// Brings the limits up to date. `is_new_message` tells whether messages were handled since the last time,
    /// so that the partial one is another.
    pub(super) fn update(&mut self, state: &ConnState, is_new_message: bool, has_written: bool) {
        let now = Instant::now();
        let known = self.message.take().filter(|_| !is_new_message);
        self.message = state.partial_message.filter(|_| state.wants_bytes).map(|partial| match known {
            Some(message) => message.advance(now, partial),
            None => MessageArrival::begin(now, partial),
        });
        if has_written || !state.has_output {
            self.blocked_since = None;
            self.retry_write_at = None;
        }
        if state.has_output {
            self.blocked_since.get_or_insert(now);
            self.retry_write_at.get_or_insert(now + WRITE_RETRY_INTERVAL);
        }
    }

    /// Returns whether a blocked write is to be tried again, and plans the next time.
    pub(super) fn take_write_retry(&mut self, now: Instant) -> bool {
        let is_due = self.retry_write_at.is_some_and(|at| now >= at);
        if is_due {
            self.retry_write_at = Some(now + WRITE_RETRY_INTERVAL);
        }
        is_due
    }

    /// Forgets the message that was being received: the next partial one is another.
    pub(super) fn end_message(&mut self) {
        self.message = None;
    }

    /// When the next limit is reached. A message that takes too long ends the connection only behind the
    /// answers that are owed on it.
    pub(super) fn due(&self, state: &ConnState) -> Option<Instant> {
        let message = self.message.filter(|_| state.phase == Phase::Reading).map(|message| message.due());
        let answers = self.blocked_since.map(|since| since + ANSWER_STALL_TIMEOUT);
        message.into_iter().chain(answers).chain(self.retry_write_at).min()
    }

    /// Returns whether the client has read nothing of its answers for too long.
    pub(super) fn are_answers_overdue(&self, now: Instant) -> bool {
        self.blocked_since.is_some_and(|since| now >= since + ANSWER_STALL_TIMEOUT)
    }

    /// The message that has taken too long, if the connection may end for it.
    pub(super) fn overdue_message(&self, state: &ConnState, now: Instant) -> Option<MessageArrival> {
        self.message.filter(|message| state.phase == Phase::Reading && now >= message.due())
    }
}

#[cfg(test)]
mod tests {
    use bytes::BytesMut;
    use glenwood_msgpack_rpc::message::{write_call, Call};
    use glenwood_msgpack_rpc::server::Limits;

    use super::*;

    fn call(id: u32) -> BytesMut {
        let call = Call {
            class: "slip".into(),
            path: String::new(),
            txn: None,
            org: None,
            user: None,
            remaining_ms: None,
            key: None,
            body: vec![0; 1000].into(),
        };
        let mut out = BytesMut::new();
        write_call(&mut out, id, &call);
        out
    }

    /// Guards against half a call that holds its connection when connections are short: only one being read
    /// may be evicted, and none with an open call.
    #[test]
    fn half_a_call_counts_as_being_read_unless_another_is_open() {
        for is_other_open in [false, true] {
            let mut protocol = Connection::new(Limits::default());
            if is_other_open {
                protocol.received(&call(1));
            }
            protocol.received(&call(2)[..500]);
            while protocol.poll().is_some() {}
            let expected = if is_other_open { Phase::Busy } else { Phase::Reading };
            let state = ConnState::of(&protocol, false);
            assert_eq!(state.phase, expected);
            let mut limits = TimeLimits::default();
            limits.update(&state, true, false);
            assert_eq!(limits.due(&state).is_some(), !is_other_open);
        }
    }

    /// Guards against keeping for ever the connection of a client that reads no more after a write of which the
    /// kernel took a part: nothing else may happen on it.
    #[test]
    fn what_a_write_left_over_is_limited_from_that_write_on() {
        let mut protocol = Connection::new(Limits::default());
        protocol.received(&call(1));
        while protocol.poll().is_some() {}
        protocol.answer(1, &Ok(vec![0; 1000].into()));
        let state = ConnState::of(&protocol, false);
        assert!(state.has_output);
        let mut limits = TimeLimits::default();
        limits.update(&state, true, true);
        let now = Instant::now();
        assert!(limits.due(&state).is_some_and(|due| due <= now + WRITE_RETRY_INTERVAL));
        assert!(!limits.take_write_retry(now) && limits.take_write_retry(now + WRITE_RETRY_INTERVAL));
        assert!(limits.are_answers_overdue(now + ANSWER_STALL_TIMEOUT));
        // More of it is taken.
        limits.update(&state, false, true);
        assert!(!limits.are_answers_overdue(now + WRITE_RETRY_INTERVAL));
    }
}
