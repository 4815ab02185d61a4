//! Issue of permits by the coordinator.
//!
//! Load pattern: at a few daemons, requests wait that only a limited engine can serve,
//! while others have a request for it now and then. Each engine has a token bucket, filled
//! at the rate of its limit. Daemons take turns in getting its tokens, first those at
//! which requests wait. Daemons that are out of touch send within their own turns
//! ([`super::turns`]), so the bucket gets only the share of the connected ones.

use indexmap::IndexMap;
use ward_protocol::{BackendId, MonoTime, TimeSpan};

use super::MIN_RATE;
use super::bucket::TokenBucket;
use super::permits::{PermitBatch, PermitGrant, PermitNeed};
use super::rate::RequestRate;
use crate::number::secs_to_span;
use crate::placement::MemberKey;

/// Tokens that a bucket holds at most, in addition to those of [`BUCKET_SPAN`]. All that
/// may be spent at once has to stay well below the few requests that an engine bears
/// beyond its limit.
const BUCKET_TOKENS: f64 = 2.0;
/// Time whose tokens a bucket holds at most; covers the interval in which they are issued.
const BUCKET_SPAN: TimeSpan = TimeSpan::from_millis(100);
/// Longest wait that is estimated.
const MAX_WAIT: TimeSpan = TimeSpan::from_secs(60);

/// Issues permits for limited engines to the connected daemons.
#[derive(Debug, Clone, Default)]
pub struct PermitIssuer {
    buckets: IndexMap<BackendId, EngineBucket>,
    members: IndexMap<MemberKey, MemberNeeds>,
}

/// Tokens of one limited engine.
#[derive(Debug, Clone, Default)]
struct EngineBucket {
    bucket: TokenBucket,
    /// Tokens per second.
    per_second: f64,
    /// The daemon that got the last permit.
    last_member: Option<MemberKey>,
}

/// What one daemon has asked for and got.
#[derive(Debug, Clone, Default)]
struct MemberNeeds {
    needs: Vec<PermitNeed>,
    /// When the daemon sent its latest report, by its own clock.
    reported_at: MonoTime,
    /// When that report arrived.
    received_at: MonoTime,
    /// Whether requests wait according to the latest report, and it has not been answered
    /// yet.
    is_unanswered: bool,
    /// Permits issued so far, by engine.
    issued: IndexMap<BackendId, u32>,
}

impl MemberNeeds {
    /// Permits that the daemon still needs at an engine: for waiting requests, and whether
    /// it could use a spare one. Permits on their way to it are taken off.
    fn unmet(&self, engine: &BackendId) -> (u32, bool) {
        let Some(need) = self.needs.iter().find(|need| need.engine == *engine) else {
            return (0, false);
        };
        let issued = self.issued.get(engine).copied().unwrap_or(0);
        let in_flight = issued.saturating_sub(need.received);
        let spare = need.spare && need.waiting == 0 && in_flight == 0;
        (need.waiting.saturating_sub(in_flight), spare)
    }
}

impl PermitIssuer {
    /// Replaces what a daemon needs with its latest report.
    pub fn record_needs(
        &mut self,
        member: MemberKey,
        needs: Vec<PermitNeed>,
        reported_at: MonoTime,
        now: MonoTime,
    ) {
        if needs.is_empty() && !self.members.contains_key(&member) {
            return;
        }
        let known = self.members.entry(member).or_default();
        known.is_unanswered = needs.iter().any(|need| need.waiting > 0);
        known.needs = needs;
        known.reported_at = reported_at;
        known.received_at = now;
    }

    /// Removes a daemon that disconnected.
    pub fn remove_member(&mut self, member: MemberKey) {
        self.members.shift_remove(&member);
    }

    /// Issues permits for engines with these limits; `share` is the connected fraction of
    /// all daemons. Returns a batch for each daemon that gets permits, or whose latest
    /// report of waiting requests has not been answered.
    pub fn issue(
        &mut self,
        rates: &IndexMap<BackendId, RequestRate>,
        share: f64,
        now: MonoTime,
    ) -> Vec<(MemberKey, PermitBatch)> {
        self.fill_buckets(rates, share, now);
        let mut granted: IndexMap<(MemberKey, BackendId), u32> = IndexMap::new();
        let engines = self.needed_engines();
        for engine in &engines {
            while self.has_token(engine)
                && let Some(member) = self.next_member(engine)
            {
                self.take_token(engine, member);
                let key = (member, engine.clone());
                *granted.entry(key).or_default() += 1;
            }
        }
        self.batches(engines, &granted, now)
    }

    /// Adds the tokens since the last call.
    fn fill_buckets(
        &mut self,
        rates: &IndexMap<BackendId, RequestRate>,
        share: f64,
        now: MonoTime,
    ) {
        self.buckets.retain(|engine, _| rates.contains_key(engine));
        for (engine, rate) in rates {
            let bucket = self.buckets.entry(engine.clone()).or_default();
            bucket.fill(rate.max(&MIN_RATE).per_second() * share, now);
        }
    }

    /// Limited engines at which some daemon needs permits.
    fn needed_engines(&self) -> Vec<BackendId> {
        let needs = self.members.values().flat_map(|member| &member.needs);
        let mut engines: Vec<_> = needs.map(|need| need.engine.clone()).collect();
        engines.sort_unstable();
        engines.dedup();
        engines
    }

    /// The daemon whose turn it is to get a permit: the next one after the last that has a
    /// waiting request, or else the next one that can use a spare permit.
    fn next_member(&self, engine: &BackendId) -> Option<MemberKey> {
        let last = self.buckets.get(engine)?.last_member;
        let after = |member: &MemberKey| (Some(*member) <= last, *member);
        let members = self.members.iter();
        let unmet: Vec<_> = members
            .map(|(member, needs)| (*member, needs.unmet(engine)))
            .collect();
        let waiting = unmet.iter().filter(|(_, (waiting, _))| *waiting > 0);
        let spare = unmet.iter().filter(|(_, (_, spare))| *spare);
        let next = waiting.map(|(member, _)| *member).min_by_key(after);
        next.or_else(|| spare.map(|(member, _)| *member).min_by_key(after))
    }

    fn has_token(&self, engine: &BackendId) -> bool {
        let bucket = self.buckets.get(engine);
        bucket.is_some_and(|engine| engine.bucket.holds(1.0))
    }

    fn take_token(&mut self, engine: &BackendId, member: MemberKey) {
        if let Some(known) = self.buckets.get_mut(engine) {
            known.bucket.take(1.0);
            known.last_member = Some(member);
        }
        if let Some(needs) = self.members.get_mut(&member) {
            *needs.issued.entry(engine.clone()).or_default() += 1;
        }
    }

    fn batches(
        &mut self,
        engines: Vec<BackendId>,
        granted: &IndexMap<(MemberKey, BackendId), u32>,
        now: MonoTime,
    ) -> Vec<(MemberKey, PermitBatch)> {
        let waits = engines.into_iter().filter_map(|engine| {
            let wait = self.expected_wait(&engine)?;
            Some((engine, wait))
        });
        let waits: IndexMap<_, _> = waits.collect();
        let mut batches = Vec::new();
        for (member, needs) in &mut self.members {
            let grants = needs.needs.iter().filter_map(|need| {
                let count = granted.get(&(*member, need.engine.clone()));
                let count = count.copied().unwrap_or(0);
                let wait = *waits.get(&need.engine)?;
                (count > 0 || needs.is_unanswered).then(|| PermitGrant {
                    engine: need.engine.clone(),
                    count,
                    wait,
                })
            });
            let grants: Vec<_> = grants.collect();
            needs.is_unanswered = false;
            if grants.is_empty() {
                continue;
            }
            let batch = PermitBatch {
                grants,
                reported_at: needs.reported_at,
                held_for: now.since(needs.received_at),
            };
            batches.push((*member, batch));
        }
        batches
    }

    /// Expected time until a further waiting request gets a permit, after all that wait
    /// now; `None` if the engine has no limit.
    fn expected_wait(&self, engine: &BackendId) -> Option<TimeSpan> {
        let known = self.buckets.get(engine)?;
        let members = self.members.values();
        let waiting: f64 = members.map(|needs| f64::from(needs.unmet(engine).0)).sum();
        let missing = (waiting + 1.0 - known.bucket.tokens()).max(0.0);
        if known.per_second <= 0.0 {
            return Some(MAX_WAIT);
        }
        Some(secs_to_span(missing / known.per_second).min(MAX_WAIT))
    }
}

impl EngineBucket {
    fn fill(&mut self, per_second: f64, now: MonoTime) {
        let capacity = BUCKET_TOKENS + per_second * BUCKET_SPAN.seconds();
        self.bucket.fill(per_second, capacity, now);
        self.per_second = per_second;
    }
}
