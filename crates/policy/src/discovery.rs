//! Decides when to call the discovery service that all nodes share: at once when changes may have been
//! lost, and spread over the fleet when the service seems to be overloaded or down. Until it has answered,
//! the node does not know which servers drain, however soon it called, as the service may be busy with the
//! calls of the other nodes. Meanwhile the servers themselves are health-checked.

use crate::api::{CallVerdict, Discovery, FailedCall, ListFailure, ListStatus, Millis, Settings};
use crate::crowd::{CallDraw, LoadEstimate, MAX_ROUND_TIME};
use crate::list_validity::{ListValidity, NOTIFIED_WITHIN, USABLE_GRACE};

/// Time that the service has for each node's call when calls fail. It still has to process calls that no
/// longer wait for an answer.
const CALL_SPACING: Millis = 75.0;
/// Delay before the next call to a service that could not be reached, at least and at most; a fleet so large
/// that its calls have to be spread further draws from that span. A change counts as notified 6 s after the
/// service can be reached again: this delay, a call that fails after the service's 3 s, and another call have
/// to fit in.
const UNREACHABLE_DELAY: (Millis, Millis) = (380.0, 450.0);
/// The same after the first such call in a row.
const FIRST_UNREACHABLE_DELAY: (Millis, Millis) = (60.0, 180.0);
/// Longest time from the start of one call to an unreachable service to the failure of the next. Each of them
/// shows that the last known list is still valid, so the next one has to fail before the list expires.
const MAX_UNREACHABLE_INTERVAL: Millis = NOTIFIED_WITHIN - 100.0;
/// Share of that interval over which calls are spread anew each time, if the first one was spread over all of
/// it.
const UNREACHABLE_JITTER: f64 = 0.1;
/// Longest delay before the call after one that waited in vain at a service that has just come back: the
/// calls of a large fleet were spread while it was unreachable, so few of them wait in vain.
const MAX_DELAY_AFTER_RETURN: Millis = 1000.0;
/// Upper bound of the delay before the call after one that an overloaded service failed: this time per node
/// at first, within these bounds, and twice as much after each further such call, up to the longest. The
/// delay is drawn from the upper half. The service also works on calls that no longer wait, so it has to work
/// off those of all nodes before further ones are of use, and calls that did not become rarer could keep it
/// overloaded for ever.
const OVERLOADED_CALL_SPACING: Millis = 150.0;
const FIRST_OVERLOADED_DELAY: (Millis, Millis) = (500.0, MAX_ROUND_TIME + MAX_QUEUE_WAIT);
/// How long a service lets a call wait at most before it fails it.
const MAX_QUEUE_WAIT: Millis = 3000.0;
const MAX_OVERLOADED_DELAY: Millis = 64_000.0;
const LEAST_DELAY_SHARE: f64 = 0.5;
/// When an established watch ended, the calls are spread only as far as needed to keep them from waiting in
/// vain, as the node knows less than it was notified of meanwhile. The shortest spread is this time per
/// node, up to an upper bound.
const REOPEN_SPACING: Millis = 3.0;
const MAX_MIN_REOPEN_SPREAD: Millis = 250.0;
/// Upper bound of that spread if servers can't be health-checked for drains.
const MAX_UNCHECKED_REOPEN_SPREAD: Millis = 2200.0;
/// Number of watches that may be reopened without delay, one soon after another.
const MAX_REOPENINGS: f64 = 4.0;
/// Health checks begin this long after the list was last followed, spread over the nodes: by then a service
/// that is not busy has answered, and the results are there before the grace period of a drain is over.
const CHECK_AFTER: Millis = 275.0;
const CHECK_SPREAD: Millis = 75.0;
/// How long the list may be used after it was last followed.
const LIST_VALID: Millis = 1400.0;
/// Time allowed for the answer to the call after a watch went silent.
const ANSWER_ALLOWANCE: Millis = 1000.0;
/// Number of consecutive failures beyond which the backoff stops growing.
const MAX_BACKOFF_FAILURES: u32 = 8;

/// State of the calls.
#[derive(Clone, Copy, PartialEq)]
enum State {
    /// No call is needed, or the subscription is established.
    Idle,
    /// A call was made at this time, after this many failures in a row of a service that could be reached.
    Called(Millis, u32),
    /// A call is due at this time, after this many such failures.
    Due(Millis, u32),
}

/// What has to be done at a given time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sweep {
    /// Nothing.
    Nothing,
    /// A call has to be made now.
    Call,
    /// The call in flight has had no answer at all and has to be treated as failed.
    Overdue,
}

/// Decides when to call.
pub struct Calls {
    state: State,
    /// Watches that may be reopened without delay, as of `counted`.
    reopenings: f64,
    refilled_at: Millis,
    /// Estimated load of the service.
    load: LoadEstimate,
    /// The random draw of the time of the call that is due or in flight.
    draw: CallDraw,
    /// Number of calls in a row that could not reach the service.
    unreachable: u32,
    /// Number of calls in a row that the service failed because it is overloaded.
    overloaded: u32,
    /// Details of the loss while the list is not followed; `None` while it is.
    lost: Option<ListLoss>,
    validity: ListValidity,
    unreachable_calls: u64,
    overloaded_calls: u64,
    last_failed_call: Option<FailedCall>,
}

/// The list is not followed, so the node's knowledge of its servers ages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListLoss {
    /// When the list was first lost.
    pub since: Millis,
    /// When changes were, or may have been, lost last.
    pub at: Millis,
    /// When the health checks of the servers begin.
    pub check_from: Millis,
    /// When knowledge from before the loss becomes too old for new sends.
    pub stale_from: Millis,
}

impl ListLoss {
    /// `stale_after` is counted from `now`.
    fn new(now: Millis, check_delay: Millis, stale_after: Millis) -> Self {
        let (check_from, stale_from) = (now + CHECK_AFTER + check_delay, now + stale_after);
        Self { since: now, at: now, check_from, stale_from }
    }

    /// Combines this loss with an earlier one, which keeps the knowledge as old as it was.
    fn merge_earlier(self, earlier: Option<Self>) -> Self {
        let Some(earlier) = earlier else { return self };
        Self { since: earlier.since, stale_from: self.stale_from.min(earlier.stale_from), ..self }
    }
}

/// Whether a call has failed before an answer began.
fn is_unanswered(failure: ListFailure) -> bool {
    matches!(failure, ListFailure::Unanswered | ListFailure::Unreachable | ListFailure::NotSent)
}

impl Calls {
    /// The state at a node's start: it calls at once if it has to.
    pub fn new(discovery: Discovery) -> Self {
        let state = match discovery {
            Discovery::Pushed => State::Idle,
            Discovery::Asked => State::Due(f64::NEG_INFINITY, 0),
        };
        Self {
            state,
            reopenings: MAX_REOPENINGS,
            refilled_at: 0.0,
            load: LoadEstimate::default(),
            draw: CallDraw::IMMEDIATE,
            unreachable: 0,
            overloaded: 0,
            lost: None,
            validity: ListValidity::default(),
            unreachable_calls: 0,
            overloaded_calls: 0,
            last_failed_call: None,
        }
    }

    /// The address of the service has changed: it is called at once, whatever backoff applied to the old
    /// one.
    pub fn on_moved(&mut self, now: Millis) {
        (self.state, self.draw, self.load) =
            (State::Due(now, 0), CallDraw::IMMEDIATE, LoadEstimate::default());
        self.lost.get_or_insert(ListLoss::new(now, 0.0, LIST_VALID));
    }

    /// The answer to the call has begun.
    pub fn on_answering(&mut self, now: Millis, settings: &Settings) {
        if let State::Called(at, _) = self.state {
            self.load.on_answered(self.draw, now - at, settings.nodes);
        }
    }

    /// The call was answered, or the established watch sent something. If it was news, reopening the watch
    /// was worth it: a service that ends watches instead of sending changes on them may keep doing so.
    pub fn on_answered(&mut self, now: Millis, news: bool) {
        self.validity.on_list(now);
        self.state = State::Idle;
        (self.unreachable, self.overloaded) = (0, 0);
        self.lost = None;
        if news {
            self.reopenings = (self.reopenings + 1.0).min(MAX_REOPENINGS);
        }
    }

    /// The established subscription has reported that nothing has changed.
    pub fn on_heartbeat(&mut self, now: Millis) {
        self.validity.on_heartbeat(now);
    }

    /// The node starts with a saved list.
    pub fn on_saved_list(&mut self, now: Millis) {
        self.validity.on_saved_list(now);
    }

    /// Until when new requests may be sent by the last known list.
    pub fn list_usable_until(&self) -> Millis {
        self.validity.usable_until()
    }

    /// How old the list is, and how calls have ended.
    pub fn list_status(&self) -> ListStatus {
        ListStatus {
            confirmed_at: self.validity.confirmed_at(),
            usable_until: self.list_usable_until(),
            unreachable_calls: self.unreachable_calls,
            overloaded_calls: self.overloaded_calls,
            last_failed_call: self.last_failed_call,
        }
    }

    /// The loss of the list while it is not followed; `None` while it is.
    pub fn lost(&self) -> Option<ListLoss> {
        self.lost
    }

    /// When the next call is due, if one is scheduled.
    pub fn next_call(&self) -> Option<Millis> {
        match self.state {
            State::Due(at, _) => Some(at),
            State::Idle | State::Called(..) => None,
        }
    }

    /// When `sweep` next has something to do.
    pub fn due(&self, settings: &Settings) -> Millis {
        match self.state {
            State::Idle => f64::INFINITY,
            State::Due(at, _) => at.max(0.0),
            State::Called(at, _) => at + settings.rules.max_call_interval,
        }
    }

    /// Returns what has to be done now.
    pub fn sweep(&mut self, now: Millis, settings: &Settings) -> Sweep {
        match self.state {
            State::Due(at, failures) if now >= at => {
                self.state = State::Called(now, failures);
                self.lost.get_or_insert(ListLoss::new(now, 0.0, LIST_VALID));
                Sweep::Call
            }
            State::Called(at, _) if now - at >= settings.rules.max_call_interval => Sweep::Overdue,
            _ => Sweep::Nothing,
        }
    }

    /// A call failed, or an established watch ended. `chance` is a random number from 0 to 1.
    pub fn on_failed(&mut self, now: Millis, failure: ListFailure, settings: &Settings, chance: f64) {
        let called = match self.state {
            State::Called(at, _) => at,
            State::Idle | State::Due(..) => now,
        };
        let failure = match failure {
            // It was answered long ago, so this is the end of its watch.
            _ if is_unanswered(failure) && self.state == State::Idle => ListFailure::Ended,
            other => other,
        };
        let failed_call = self.record_failed_call(now, failure);
        let failures = match self.state {
            // A call that costs the service nothing needs no backoff, and the backoff from an outage must
            // not delay the calls after it.
            State::Called(..) if failed_call.is_some_and(|call| !call.is_overload()) => 0,
            State::Called(_, failures) => failures + 1,
            State::Idle | State::Due(..) => 1,
        };
        let was_unreachable = self.unreachable > 0;
        let is_spread = settings.nodes as f64 * CALL_SPACING >= MAX_UNREACHABLE_INTERVAL;
        self.unreachable = if failures == 0 { self.unreachable.saturating_add(1) } else { 0 };
        self.record_loss(now, failure, chance);
        let pause = match failed_call {
            Some(call) if call.is_overload() && was_unreachable && is_spread => {
                self.draw = CallDraw { span: MAX_DELAY_AFTER_RETURN, chance };
                MAX_DELAY_AFTER_RETURN * chance
            }
            Some(call) if call.is_overload() => self.pause_after_overload(settings, chance),
            _ => self.pause_after(now, called, failure, failures, settings, chance),
        };
        self.state = State::Due(now + pause, failures);
    }

    /// The delay before the call after one that an overloaded service failed.
    fn pause_after_overload(&mut self, settings: &Settings, chance: f64) -> Millis {
        self.load.on_overloaded(self.draw);
        self.overloaded = self.overloaded.saturating_add(1);
        let (least, most) = FIRST_OVERLOADED_DELAY;
        let first = (settings.nodes as f64 * OVERLOADED_CALL_SPACING).clamp(least, most);
        let doublings = (self.overloaded - 1).min(MAX_BACKOFF_FAILURES);
        let longest = (first * f64::from(1u32 << doublings)).min(MAX_OVERLOADED_DELAY);
        self.draw = CallDraw { span: longest * (1.0 - LEAST_DELAY_SHARE), chance };
        longest * LEAST_DELAY_SHARE + self.draw.span * chance
    }

    /// The delay before the next call after any other failure.
    fn pause_after(
        &mut self,
        now: Millis,
        called: Millis,
        failure: ListFailure,
        failures: u32,
        settings: &Settings,
        chance: f64,
    ) -> Millis {
        if is_unanswered(failure) {
            (self.load, self.overloaded) = (LoadEstimate::default(), 0);
        }
        let span = self.span(now, failure, failures, settings);
        let interval = 0.85 * settings.rules.max_call_interval;
        if failures == 0 {
            let most = interval.min(MAX_UNREACHABLE_INTERVAL - (now - called)) - (now - called);
            return self.pause_while_unreachable(span, most.max(0.0), chance);
        }
        // A change also counts as notified to a node that has not called for this long. What lies beyond must
        // not be called at one moment, which would overload the service.
        let span = span.min((called + interval - now).max(0.0));
        self.draw = CallDraw { span, chance };
        span * chance
    }

    /// The delay before the next call to a service that could not be reached: drawn from `span`, and not
    /// longer than `most`. The calls of a fleet that needs a longer span are spread over that time once, and
    /// then keep their places, as the service may answer at any time.
    fn pause_while_unreachable(&mut self, span: Millis, most: Millis, chance: f64) -> Millis {
        self.draw = CallDraw { span: span.min(most), chance };
        let (least, quickest) = self.unreachable_delay();
        if span <= quickest {
            least + (quickest - least) * chance
        } else if span <= most || self.unreachable <= 1 {
            span.min(most) * chance
        } else {
            most * (1.0 - UNREACHABLE_JITTER * chance)
        }
    }

    /// Records what a call that has failed shows of the service; returns `None` if it was no call, or an
    /// answer had begun.
    fn record_failed_call(&mut self, now: Millis, failure: ListFailure) -> Option<FailedCall> {
        self.last_failed_call = None;
        let State::Called(at, _) = self.state else { return None };
        if !is_unanswered(failure) {
            return None;
        }
        let verdict = self.validity.on_call_failed(at, now, failure);
        match verdict {
            Some(CallVerdict::Unreachable) => self.unreachable_calls += 1,
            Some(CallVerdict::Overloaded) => self.overloaded_calls += 1,
            None => {}
        }
        self.last_failed_call = Some(FailedCall { verdict, waited: now - at });
        self.last_failed_call
    }

    /// The least and the longest delay before the next call to a service that could not be reached.
    fn unreachable_delay(&self) -> (Millis, Millis) {
        if self.unreachable <= 1 {
            FIRST_UNREACHABLE_DELAY
        } else {
            UNREACHABLE_DELAY
        }
    }

    /// Records that the list is not followed. A call without an answer has sent nothing, so no changes were
    /// lost.
    fn record_loss(&mut self, now: Millis, failure: ListFailure, chance: f64) {
        let stale_after = match failure {
            ListFailure::Silent { told_in } => told_in + ANSWER_ALLOWANCE + USABLE_GRACE,
            ListFailure::Unanswered
            | ListFailure::Unreachable
            | ListFailure::NotSent
            | ListFailure::Unreadable
            | ListFailure::Ended => LIST_VALID,
        };
        // The watches of all nodes may end together.
        let lost = ListLoss::new(now, CHECK_SPREAD * chance, stale_after);
        self.validity.on_lost(now);
        if is_unanswered(failure) {
            self.lost.get_or_insert(lost);
        } else {
            self.lost = Some(lost.merge_earlier(self.lost));
        }
    }

    /// The span over which the next call is spread.
    fn span(&mut self, now: Millis, failure: ListFailure, failures: u32, settings: &Settings) -> Millis {
        let (fleet_span, within) = (settings.nodes as f64 * CALL_SPACING, settings.rules.max_call_interval);
        // Backoff with jitter, so that nodes that were cut off together do not return together, over a span
        // that grows with the number of nodes.
        let backoff = match failures.min(MAX_BACKOFF_FAILURES).checked_sub(1) {
            Some(doublings) => within / 20.0 * f64::from(1u32 << doublings),
            None => self.unreachable_delay().1,
        };
        let overload_span = backoff.max(fleet_span).min((0.4 * within).max(fleet_span));
        let most = if settings.limits.probes { f64::INFINITY } else { MAX_UNCHECKED_REOPEN_SPREAD };
        let least = (settings.nodes as f64 * REOPEN_SPACING).min(MAX_MIN_REOPEN_SPREAD);
        let reopen = self.load.min_spread(fleet_span).max(least).min(most);
        match failure {
            ListFailure::Unanswered | ListFailure::Unreachable | ListFailure::NotSent => overload_span,
            // A change that was written counts as notified soon, whether or not it can be read.
            ListFailure::Unreadable => (backoff / 2.0).min(within / 10.0),
            ListFailure::Ended if self.may_reopen(now, MAX_REOPENINGS * overload_span) => reopen,
            ListFailure::Ended => overload_span,
            ListFailure::Silent { told_in } => {
                overload_span.min(told_in).max(self.load.known_spread().unwrap_or(0.0))
            }
        }
    }

    /// Whether a watch may be reopened without delay. If that brings no news, one per `interval` is
    /// permitted in the long run: a service that ends all its watches at once must not be called endlessly.
    fn may_reopen(&mut self, now: Millis, interval: Millis) -> bool {
        self.reopenings = (self.reopenings + (now - self.refilled_at) / interval).min(MAX_REOPENINGS);
        self.refilled_at = now;
        let may = self.reopenings >= 1.0;
        if may {
            self.reopenings -= 1.0;
        }
        may
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use crate::api::{Goal, Limits, Rules, Weights};

    /// Settings of one node of `nodes`, with no class.
    pub(crate) fn fleet(nodes: usize) -> Settings {
        Settings {
            node_index: 0,
            nodes,
            by_work: false,
            over_share_worth: 0.1,
            classes: Vec::new(),
            tenants: Vec::new(),
            goal: Goal::default(),
            limits: Limits {
                attempts: 3,
                second_copies: false,
                cancel: true,
                probes: true,
                connect_timeout: 100.0,
                max_retry_after: 0.0,
            },
            rules: Rules {
                max_call_interval: 10_000.0,
                cold_capacity_share: 0.2,
                warm_up_time: 5000.0,
                overload_factor: 3.0,
                overload_window: 2000.0,
            },
            discovery: Discovery::Asked,
            weights: Weights::None,
            min_event_interval: 1.0,
        }
    }

    /// Repeatedly opens a watch that ends `watch_duration` later, and returns the longest delay before each
    /// of the next calls.
    fn pauses(nodes: usize, times: usize, watch_duration: Millis, news: bool) -> Vec<Millis> {
        let (settings, mut calls, mut now) = (fleet(nodes), Calls::new(Discovery::Asked), 0.0);
        let open = |now: Millis, calls: &mut Calls| {
            assert_eq!(calls.sweep(now, &settings), Sweep::Call);
            calls.on_answered(now, news);
        };
        open(now, &mut calls);
        let mut pauses = Vec::new();
        for _ in 0..times {
            now += watch_duration;
            calls.on_failed(now, ListFailure::Ended, &settings, 1.0);
            let next = calls.next_call().expect("another call is scheduled");
            pauses.push(next - now);
            now = next;
            open(now, &mut calls);
        }
        pauses
    }

    #[test]
    fn an_ended_watch_is_reopened_at_once_while_that_brings_news() {
        assert!(pauses(26, 50, 100.0, true).iter().all(|pause| *pause <= 250.0));
        assert!(pauses(44, 50, 100.0, true).iter().all(|pause| *pause <= 1300.0));
    }

    #[test]
    fn a_service_that_ends_all_watches_is_not_called_endlessly() {
        let pauses = pauses(44, 50, 0.0, false);
        assert!(pauses[..MAX_REOPENINGS as usize].iter().all(|pause| *pause <= 1300.0), "{pauses:?}");
        let calls_a_second = 50_000.0 / pauses.iter().sum::<Millis>();
        assert!(calls_a_second < 0.4, "{calls_a_second}: {pauses:?}");
    }

    #[test]
    fn calls_after_a_failure_are_spread_over_the_fleet() {
        let (settings, mut calls) = (fleet(44), Calls::new(Discovery::Asked));
        assert_eq!(calls.sweep(0.0, &settings), Sweep::Call);
        calls.on_failed(0.0, ListFailure::Unanswered, &settings, 1.0);
        assert_eq!(calls.next_call(), Some(44.0 * CALL_SPACING));
    }

    #[test]
    fn no_two_nodes_of_a_large_fleet_call_at_the_same_moment() {
        let settings = fleet(900);
        for failure in [ListFailure::Unanswered, ListFailure::Ended, ListFailure::Silent { told_in: 1800.0 }]
        {
            let call = |number: usize| {
                let mut calls = Calls::new(Discovery::Asked);
                assert_eq!(calls.sweep(0.0, &settings), Sweep::Call);
                calls.on_failed(2000.0, failure, &settings, number as f64 / 900.0);
                calls.next_call().expect("another call is scheduled")
            };
            let mut times: Vec<Millis> = (0..900).map(call).collect();
            times.sort_by(f64::total_cmp);
            assert!(times.windows(10).all(|window| window[9] - window[0] > 10.0), "{failure:?}: {times:?}");
            // After a call that waited in vain, the service works off one call of each node at first.
            let after_overload = 2000.0 + FIRST_OVERLOADED_DELAY.1;
            let latest = if failure == ListFailure::Unanswered { after_overload } else { 8500.0 };
            assert!(times.iter().all(|time| *time <= latest));
        }
    }

    /// Only the list shows that a server was removed that still answers: if the service can process the
    /// calls of all nodes, they are made before the changes that the watch was to send count as notified.
    #[test]
    fn a_large_fleet_calls_in_time_if_the_service_is_not_busy() {
        let cases: [(usize, Millis, Millis); 5] = [
            (44, 70.0, 1_388.0),
            (300, 10.0, 1_300.0),
            (900, 3.0, 970.0),
            (300, 40.0, 8_500.0),
            (900, 10.0, 7_900.0),
        ];
        for (nodes, answered_in, within) in cases {
            let (settings, mut calls) = (fleet(nodes), Calls::new(Discovery::Asked));
            assert_eq!(calls.sweep(0.0, &settings), Sweep::Call);
            calls.on_answering(answered_in, &settings);
            calls.on_answered(0.0, true);
            calls.on_failed(5000.0, ListFailure::Ended, &settings, 1.0);
            let next = calls.next_call().expect("another call is scheduled") - 5000.0;
            assert!((next - within).abs() < 1.0, "{nodes} nodes, {answered_in} ms: {next}");
        }
    }

    /// A service that has failed a call since its last answer is busy.
    #[test]
    fn a_large_fleet_spreads_its_calls_if_the_service_failed_one() {
        let (settings, mut calls) = (fleet(300), Calls::new(Discovery::Asked));
        assert_eq!(calls.sweep(0.0, &settings), Sweep::Call);
        calls.on_answering(1.0, &settings);
        calls.on_failed(10.0, ListFailure::Unanswered, &settings, 0.0);
        assert_eq!(calls.sweep(10.0, &settings), Sweep::Call);
        calls.on_answered(0.0, true);
        calls.on_failed(5000.0, ListFailure::Ended, &settings, 1.0);
        assert_eq!(calls.next_call(), Some(5000.0 + MAX_ROUND_TIME - 2_000.0));
    }

    #[test]
    fn the_end_of_a_watch_is_distinguished_from_an_unanswered_call() {
        let (settings, mut calls) = (fleet(44), Calls::new(Discovery::Asked));
        assert_eq!(calls.sweep(0.0, &settings), Sweep::Call);
        calls.on_answered(0.0, true);
        calls.on_failed(5000.0, ListFailure::Unanswered, &settings, 1.0);
        assert_eq!(calls.next_call(), Some(5000.0 + 44.0 * CALL_SPACING - 2_000.0));
    }
}
