//! Serves, defers and refuses the requests of one queue.

use ward_fleet::QueueRank;
use ward_fleet::admission::{
    QueuedRequest, ServedShares, ShareClass, WorkFlow, plan_deferrals, retry_delay,
};
use ward_fleet::flow::{LateDecision, RequestFlow};
use ward_fleet::queue::RequestTimes;
use ward_protocol::{MonoTime, TimeSpan};

use super::demand::{OverloadKind, QueuedCall, SLOTS};
use super::outcome::OverloadOutcome;

/// Time between two steps.
const STEP: TimeSpan = TimeSpan::from_millis(10);
/// Time to the end of which refused callers may come back.
const TAIL: TimeSpan = TimeSpan::from_secs(12);

/// How waiting requests are ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverloadOrder {
    /// By latest start alone.
    LatestStart,
    /// With deferrals, as daemons do.
    Deferring,
}

/// A request that waits.
struct WaitingCall {
    call: QueuedCall,
    times: RequestTimes,
    class: ShareClass<OverloadKind>,
}

/// A waiting request that was looked at.
struct RankedCall {
    rank: QueueRank,
    index: usize,
}

/// Requests that wait before one.
#[derive(Clone, Copy, Default)]
struct WorkAhead {
    requests: usize,
    tokens: u64,
}

struct QueueRun {
    order: OverloadOrder,
    waiting: Vec<WaitingCall>,
    slot_ends: Vec<MonoTime>,
    returning: Vec<(MonoTime, QueuedCall)>,
    flow: RequestFlow,
    work: WorkFlow,
    shares: ServedShares<OverloadKind>,
    refusals: u32,
    outcome: OverloadOutcome,
}

/// Plays requests through one queue.
#[must_use]
pub fn run_overload(calls: &[QueuedCall], order: OverloadOrder) -> OverloadOutcome {
    let mut run = QueueRun {
        order,
        waiting: Vec::new(),
        slot_ends: Vec::new(),
        returning: Vec::new(),
        flow: RequestFlow::default(),
        work: WorkFlow::default(),
        shares: ServedShares::default(),
        refusals: 0,
        outcome: OverloadOutcome::default(),
    };
    let last = calls
        .last()
        .map_or(MonoTime::default(), |call| call.sent_at);
    let mut remaining = calls.iter().peekable();
    let mut now = MonoTime::default();
    while now < last + TAIL {
        while let Some(call) = remaining.next_if(|call| call.sent_at <= now) {
            run.outcome.update(call, |share| share.asked += 1);
            run.receive(*call, now);
        }
        let (due, returning) = run.returning.iter().partition(|(time, _)| *time <= now);
        run.returning = returning;
        let due: Vec<(MonoTime, QueuedCall)> = due;
        for (_, call) in due {
            run.receive(call, now);
        }
        run.step(now);
        now = now + STEP;
    }
    run.outcome
}

impl QueueRun {
    fn receive(&mut self, call: QueuedCall, now: MonoTime) {
        self.flow.record_arrival(now);
        let class = self.shares.classify(call.kind, call.work);
        let times = RequestTimes {
            target: now + call.kind.target(),
            deadline: call.sent_at + call.kind.timeout(),
            first_part: call.first_part,
        };
        self.waiting.push(WaitingCall { call, times, class });
    }

    fn step(&mut self, now: MonoTime) {
        self.slot_ends.retain(|end| *end > now);
        self.drop_expired(now);
        let ranked = self.ranked(now);
        let mut decided = vec![false; self.waiting.len()];
        let mut ahead = WorkAhead::default();
        for RankedCall { rank, index } in ranked {
            if self.slot_ends.len() < SLOTS {
                self.start(index, now);
                decided[index] = true;
                continue;
            }
            self.work.record_waiting(now);
            if let Some(delay) = self.refusal(rank, index, ahead, now) {
                self.refuse(index, delay, now);
                decided[index] = true;
                continue;
            }
            ahead.requests += 1;
            ahead.tokens += self.waiting[index].call.work.tokens();
        }
        let mut decided = decided.into_iter();
        self.waiting.retain(|_| decided.next() != Some(true));
        if self.waiting.is_empty() {
            self.work.record_empty();
        }
    }

    fn drop_expired(&mut self, now: MonoTime) {
        let (outcome, shares) = (&mut self.outcome, &mut self.shares);
        self.waiting.retain(|waiting| {
            let is_expired = now > waiting.times.latest_start();
            if is_expired {
                outcome.update(&waiting.call, |share| share.lost += 1);
                shares.record(&waiting.class, false, now);
            }
            !is_expired
        });
    }

    /// The waiting requests, the one to serve first at the front.
    fn ranked(&self, now: MonoTime) -> Vec<RankedCall> {
        let deferred = self.deferred(now);
        let ranks = self.waiting.iter().zip(deferred).enumerate();
        let ranks = ranks.map(|(index, (waiting, is_deferred))| {
            let rank = QueueRank::new(waiting.call.kind.priority(), &waiting.times, now);
            let rank = if is_deferred { rank.deferred() } else { rank };
            RankedCall { rank, index }
        });
        let mut ranked: Vec<_> = ranks.collect();
        ranked.sort_by_key(|call| (call.rank, call.index));
        ranked
    }

    fn deferred(&self, now: MonoTime) -> Vec<bool> {
        let rate = self.work.rate(now);
        let Some(rate) = rate.filter(|_| self.order == OverloadOrder::Deferring) else {
            return vec![false; self.waiting.len()];
        };
        let requests = self.waiting.iter().map(|waiting| QueuedRequest {
            urgency: waiting.call.kind.priority(),
            times: waiting.times,
            work: waiting.call.work,
            class: waiting.class.clone(),
        });
        plan_deferrals(&requests.collect::<Vec<_>>(), &self.shares, rate, now)
    }

    /// The delay after which a request may retry, if it is refused.
    fn refusal(
        &self,
        rank: QueueRank,
        index: usize,
        ahead: WorkAhead,
        now: MonoTime,
    ) -> Option<TimeSpan> {
        let waiting = &self.waiting[index];
        let remaining = waiting.times.deadline.since(now);
        let late_delay = rank
            .is_late()
            .then(|| self.flow.decide_late(ahead.requests, remaining, now))
            .and_then(|decision| match decision {
                LateDecision::Refuse(delay) => Some(delay),
                LateDecision::Wait => None,
            });
        if self.order == OverloadOrder::LatestStart {
            return late_delay;
        }
        let tokens = ahead.tokens;
        let rate = self.work.rate(now);
        let is_hopeless =
            rate.is_some_and(|rate| now + rate.time_for(tokens) > waiting.times.latest_start());
        let draw = f64::from(self.refusals % 8) / 8.0;
        (late_delay.is_some() || is_hopeless).then(|| retry_delay(tokens, rate, draw))
    }

    fn start(&mut self, index: usize, now: MonoTime) {
        let waiting = &self.waiting[index];
        self.flow.record_grant(now);
        self.work.record_grant(waiting.call.work, now);
        self.shares.record(&waiting.class, true, now);
        self.outcome.record_start(&waiting.call, now);
        self.slot_ends.push(now + waiting.call.slot_time);
    }

    fn refuse(&mut self, index: usize, delay: TimeSpan, now: MonoTime) {
        let WaitingCall { call, class, .. } = &self.waiting[index];
        self.refusals += 1;
        self.shares.record(class, false, now);
        if call.is_retry {
            self.outcome.update(call, |share| {
                share.refused += 1;
                share.refused_again += 1;
            });
            return;
        }
        let left = (call.sent_at + call.kind.timeout()).since(now).millis();
        let wait = delay.min(TimeSpan::from_millis(left / 3));
        let retry = QueuedCall {
            is_retry: true,
            ..*call
        };
        self.returning.push((now + wait, retry));
    }
}
