//! Permits to send requests to limited engines, as a daemon holds them.
//!
//! While a daemon follows a coordinator, it sends a limited engine one request for each
//! permit that the coordinator issued to it. Permits are asked for as requests wait, so
//! that a limit is used by the daemons whose callers need the engine, whichever they are.
//! A permit expires soon, counted from the daemon's own report on which it is based, so
//! one that a frozen daemon or a slow link has held back is of no use.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_protocol::{BackendId, MonoTime, TimeSpan};

use super::turns::Turn;
use crate::number::{secs_to_span, usize_to_f64};

/// Time for which a permit may be used.
const PERMIT_LIFETIME: TimeSpan = TimeSpan::from_millis(1_000);
/// Time for which a daemon asks for a spare permit after it had a request that a limited
/// engine could have served.
const SPARE_INTEREST: TimeSpan = TimeSpan::from_millis(1_000);

/// What a daemon needs at a limited engine, as reported to the coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitNeed {
    /// The limited engine.
    pub engine: BackendId,
    /// Requests that wait for a permit.
    pub waiting: u32,
    /// Whether a permit may be used although no request waits for one.
    pub spare: bool,
    /// Permits received on the connection to the coordinator so far.
    pub received: u32,
}

/// Permits for a daemon at one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// The limited engine.
    pub engine: BackendId,
    /// Number of permits; zero if this message only gives the wait.
    pub count: u32,
    /// Expected time until a further request of any daemon gets a permit.
    pub wait: TimeSpan,
}

/// Permits for a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitBatch {
    /// Permits by engine.
    pub grants: Vec<PermitGrant>,
    /// When the daemon sent the report on which the permits are based, by its own clock.
    pub reported_at: MonoTime,
    /// Time between the arrival of that report and the issue of the permits.
    pub held_for: TimeSpan,
}

/// The permits that a daemon holds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PermitStore {
    engines: IndexMap<BackendId, EnginePermits>,
}

/// Permits of one daemon at one engine.
#[derive(Debug, Clone, Default, PartialEq)]
struct EnginePermits {
    /// When each unused permit expires, in order of arrival.
    expiries: VecDeque<MonoTime>,
    /// Permits received on the current connection to the coordinator.
    received: u32,
    /// Requests that wait for a permit.
    waiting: u32,
    /// When a request last could have used a spare permit.
    spare_wanted: Option<MonoTime>,
    /// The coordinator's latest estimate of the wait, and when it arrived.
    wait: Option<(TimeSpan, MonoTime)>,
    /// The turn in which the daemon last sent without a permit, and the number of
    /// requests sent in it.
    turn: Option<(u64, u32)>,
}

impl PermitStore {
    /// Begins a connection to a coordinator, which knows of no earlier permits.
    pub fn begin_link(&mut self) {
        for permits in self.engines.values_mut() {
            permits.received = 0;
            permits.wait = None;
        }
    }

    /// Adds the permits that the coordinator has issued.
    pub fn receive(&mut self, batch: &PermitBatch, now: MonoTime) {
        let expiry = batch.reported_at + batch.held_for + PERMIT_LIFETIME;
        for grant in &batch.grants {
            let permits = self.engines.entry(grant.engine.clone()).or_default();
            permits.received = permits.received.saturating_add(grant.count);
            permits.wait = Some((grant.wait, now));
            for _ in 0..grant.count {
                permits.expiries.push_back(expiry);
            }
        }
    }

    /// Whether a permit, or the rest of an own turn, allows a request to an engine.
    #[must_use]
    pub fn allows(&self, engine: &BackendId, turn: Option<Turn>, now: MonoTime) -> bool {
        let permits = self.engines.get(engine);
        let has_permit =
            permits.is_some_and(|permits| permits.expiries.iter().any(|expiry| *expiry > now));
        has_permit || turn.is_some_and(|turn| sent_in(permits, turn) < turn.requests)
    }

    /// Uses a permit, or a part of an own turn, for a request to an engine.
    pub fn spend(&mut self, engine: &BackendId, turn: Option<Turn>, now: MonoTime) {
        let permits = self.engines.entry(engine.clone()).or_default();
        permits.expiries.retain(|expiry| *expiry > now);
        if permits.expiries.pop_front().is_some() {
            permits.waiting = permits.waiting.saturating_sub(1);
            return;
        }
        if let Some(turn) = turn {
            let sent = sent_in(Some(permits), turn);
            permits.turn = Some((turn.number, sent + 1));
        }
    }

    /// Records that a request could have used a permit that the daemon doesn't hold.
    pub fn want_spare(&mut self, engine: &BackendId, now: MonoTime) {
        let permits = self.engines.entry(engine.clone()).or_default();
        permits.spare_wanted = Some(now);
    }

    /// Replaces the numbers of requests that wait for permits; returns whether more wait
    /// at some engine than before.
    pub fn set_waiting(&mut self, waiting: &IndexMap<BackendId, u32>) -> bool {
        let mut has_more = false;
        for (engine, count) in waiting {
            let permits = self.engines.entry(engine.clone()).or_default();
            has_more |= *count > permits.waiting;
            permits.waiting = *count;
        }
        for (engine, permits) in &mut self.engines {
            if !waiting.contains_key(engine) {
                permits.waiting = 0;
            }
        }
        has_more
    }

    /// What the daemon needs now.
    #[must_use]
    pub fn needs(&self, now: MonoTime) -> Vec<PermitNeed> {
        let needs = self.engines.iter().map(|(engine, permits)| PermitNeed {
            engine: engine.clone(),
            waiting: permits.waiting,
            spare: permits.wants_spare(now),
            received: permits.received,
        });
        needs
            .filter(|need| need.waiting > 0 || need.spare)
            .collect()
    }

    /// Expected time until the request with `ahead` others of this daemon before it gets
    /// a permit at an engine; `None` before the coordinator's first estimate. Requests that
    /// are refused for a long wait are not in the coordinator's next estimates, so the last
    /// one grows shorter with time.
    #[must_use]
    pub fn expected_wait(
        &self,
        engine: &BackendId,
        ahead: usize,
        now: MonoTime,
    ) -> Option<TimeSpan> {
        let permits = self.engines.get(engine)?;
        let (wait, estimated_at) = permits.wait?;
        let wait = wait.saturating_sub(now.since(estimated_at));
        let waiting = f64::from(permits.waiting) + 1.0;
        let place = (usize_to_f64(ahead) + 1.0).min(waiting);
        Some(secs_to_span(wait.seconds() * place / waiting))
    }

    /// Removes what is known of engines that have no limit any more.
    pub fn retain(&mut self, is_limited: impl Fn(&BackendId) -> bool) {
        self.engines.retain(|engine, _| is_limited(engine));
    }
}

impl EnginePermits {
    fn wants_spare(&self, now: MonoTime) -> bool {
        let has_permit = self.expiries.iter().any(|expiry| *expiry > now);
        let wanted = self.spare_wanted;
        !has_permit && wanted.is_some_and(|wanted| now.since(wanted) <= SPARE_INTEREST)
    }
}

/// Number of requests that were sent in a turn.
fn sent_in(permits: Option<&EnginePermits>, turn: Turn) -> u32 {
    let last = permits.and_then(|permits| permits.turn);
    last.filter(|(number, _)| *number == turn.number)
        .map_or(0, |(_, sent)| sent)
}
