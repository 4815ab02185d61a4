//! What the coordinator knows of the quota of one tenant.

use indexmap::IndexMap;
use ward_protocol::{MonoTime, TimeSpan};

use super::MAX_WAIT;
use super::message::QuotaNeed;
use crate::limit::TokenBucket;
use crate::number::{floor_to_u64, secs_to_span};
use crate::placement::MemberKey;
use crate::tenant::{QuotaAmount, TenantQuota};

/// Time for which the credit of a daemon that disconnected counts. By then, the daemon
/// knows that it is alone.
const LOST_RETENTION: TimeSpan = TimeSpan::from_millis(2_000);
/// Time for which a reported need is served; daemons report it again while it lasts.
const NEED_LIFETIME: TimeSpan = TimeSpan::from_millis(400);
/// Part of the bucket that is handed out at once for requests which have not arrived yet.
const PREFETCH_FRACTION: f64 = 0.5;
/// Part of all that daemons may hold that is handed out ahead of requests. The rest is
/// kept for those that wait.
const MAX_PREFETCHED: f64 = 0.75;

/// The bucket of one tenant, and the credit that daemons hold.
#[derive(Debug, Clone)]
pub(super) struct TenantLedger {
    pub(super) quota: TenantQuota,
    bucket: TokenBucket,
    members: IndexMap<MemberKey, MemberCredit>,
    /// Credit of daemons that disconnected, and when.
    lost: Vec<(f64, MonoTime)>,
    /// Cost of refused requests that may come again.
    backlog: f64,
    /// When the backlog was last reduced.
    backlog_at: MonoTime,
    /// The daemon whose waiting requests last got credit.
    last_member: Option<MemberKey>,
    /// The daemon that last got credit for its next requests.
    last_wanted: Option<MemberKey>,
}

/// Credit of one tenant at one daemon.
#[derive(Debug, Clone)]
struct MemberCredit {
    need: QuotaNeed,
    reported_at: MonoTime,
    /// Credit granted on the connection so far.
    granted: u64,
    /// Whether requests wait according to the latest report, and it has not been answered
    /// yet.
    is_unanswered: bool,
}

impl MemberCredit {
    /// Credit granted after the latest report was sent.
    const fn in_flight(&self) -> u64 {
        self.granted.saturating_sub(self.need.received.0)
    }

    /// Credit that the daemon holds at most.
    const fn outstanding(&self) -> u64 {
        self.need.held.0.saturating_add(self.in_flight())
    }

    /// Credit that its waiting requests lack.
    fn unmet_waiting(&self, now: MonoTime) -> u64 {
        let unmet = self.need.waiting.0.saturating_sub(self.outstanding());
        if self.is_current(now) { unmet } else { 0 }
    }

    /// Credit that it lacks in all.
    fn unmet(&self, now: MonoTime) -> u64 {
        let wanted = self.need.wanted.0.saturating_add(self.need.waiting.0);
        let unmet = wanted.saturating_sub(self.outstanding());
        if self.is_current(now) { unmet } else { 0 }
    }

    fn is_current(&self, now: MonoTime) -> bool {
        now.since(self.reported_at) < NEED_LIFETIME
    }
}

/// What buckets fill with.
#[derive(Debug, Clone, Copy)]
pub(super) struct FillShare {
    /// Share in the quotas of the daemons that get credit. The others go on with theirs.
    pub(super) share: f64,
    /// Amount by which a tenant may exceed its quota in a window.
    pub(super) slack: QuotaAmount,
    /// Since when credit has been issued without a long break.
    pub(super) active_since: MonoTime,
    pub(super) now: MonoTime,
}

/// Credit for one daemon.
pub(super) struct MemberGrant {
    pub(super) member: MemberKey,
    pub(super) amount: QuotaAmount,
}

impl TenantLedger {
    /// An empty bucket that fills from now on.
    pub(super) fn new(quota: TenantQuota, now: MonoTime) -> Self {
        Self {
            quota,
            bucket: TokenBucket::since(now),
            members: IndexMap::new(),
            lost: Vec::new(),
            backlog: 0.0,
            backlog_at: now,
            last_member: None,
            last_wanted: None,
        }
    }

    /// Puts another quota in force; until now, the bucket has filled at the former one.
    pub(super) fn set_quota(&mut self, quota: TenantQuota, context: &FillShare) {
        self.fill(context);
        if self.quota.unit != quota.unit {
            self.bucket.clamp_to(0.0);
        }
        self.quota = quota;
    }

    /// Records the latest report of a daemon.
    pub(super) fn record_need(&mut self, member: MemberKey, need: QuotaNeed, now: MonoTime) {
        let known = self.members.get(&member);
        let returned_before = known.map_or(0, |known| known.need.returned.0);
        let returned = need.returned.0.saturating_sub(returned_before);
        self.bucket.put(QuotaAmount(returned).to_f64());
        self.backlog += need.refused.to_f64();
        // A daemon that has dropped the tenant for a while counts anew.
        let known = known.filter(|known| need.received >= known.need.received);
        let granted = known.map_or(need.received.0, |known| known.granted);
        let credit = MemberCredit {
            is_unanswered: need.waiting.0 > 0,
            need,
            reported_at: now,
            granted,
        };
        self.members.insert(member, credit);
    }

    /// Removes a daemon that disconnected; its credit still counts for a while.
    pub(super) fn remove_member(&mut self, member: MemberKey, now: MonoTime) {
        if let Some(credit) = self.members.shift_remove(&member) {
            let outstanding = QuotaAmount(credit.outstanding()).to_f64();
            self.lost.push((outstanding, now));
        }
    }

    /// Adds the tokens since the last call, except those of the time before `active_since`.
    fn fill(&mut self, context: &FillShare) {
        let now = context.now;
        self.lost.retain(|(_, at)| now.since(*at) < LOST_RETENTION);
        let lost: f64 = self.lost.iter().map(|(amount, _)| amount).sum();
        let capacity = self.quota.capacity(context.slack) * context.share;
        let room = capacity - self.held() - lost;
        let per_second = self.quota.rate.per_second() * context.share;
        self.bucket.skip_until(context.active_since);
        self.bucket.fill(per_second, room.max(0.0), now);
        let served = per_second * now.since(self.backlog_at).seconds();
        let longest = per_second * MAX_WAIT.seconds();
        self.backlog = (self.backlog - served).clamp(0.0, longest);
        self.backlog_at = now;
    }

    /// Grants the credit that daemons need and the quota allows now; also returns the
    /// expected time until a further request gets credit. Includes daemons whose latest
    /// report of waiting requests has not been answered.
    pub(super) fn issue(&mut self, context: &FillShare) -> (Vec<MemberGrant>, TimeSpan) {
        self.fill(context);
        let mut amounts: IndexMap<MemberKey, u64> = IndexMap::new();
        let are_all_served = self.grant_waiting(&mut amounts, context.now);
        if are_all_served && self.grant_wanted(&mut amounts, context) {
            self.backlog = 0.0;
        }
        let wait = self.expected_wait(context);
        for (member, credit) in &mut self.members {
            if std::mem::take(&mut credit.is_unanswered) {
                amounts.entry(*member).or_default();
            }
        }
        let grants = amounts.into_iter().map(|(member, amount)| MemberGrant {
            member,
            amount: QuotaAmount(amount),
        });
        (grants.collect(), wait)
    }

    /// Grants credit for waiting requests, to one daemon after another; returns whether
    /// there was enough for all.
    fn grant_waiting(&mut self, amounts: &mut IndexMap<MemberKey, u64>, now: MonoTime) -> bool {
        let last = self.last_member;
        let members = self.members.iter();
        let unmet = members.map(|(member, credit)| (*member, credit.unmet_waiting(now)));
        let mut waiting: Vec<_> = unmet.filter(|(_, unmet)| *unmet > 0).collect();
        waiting.sort_unstable_by_key(|(member, _)| (Some(*member) <= last, *member));
        for (member, unmet) in waiting {
            let amount = unmet.min(floor_to_u64(self.bucket.tokens()));
            self.grant(amounts, member, amount);
            // One that got a part is the next to get the rest.
            if amount < unmet {
                return false;
            }
            self.last_member = Some(member);
        }
        true
    }

    /// Grants credit for the next requests, to one daemon after another; returns whether
    /// there was enough for all. Parts of a request's cost at many daemons are of no use,
    /// so each gets all that it lacks.
    fn grant_wanted(
        &mut self,
        amounts: &mut IndexMap<MemberKey, u64>,
        context: &FillShare,
    ) -> bool {
        let last = self.last_wanted;
        let members = self.members.iter();
        let unmet = members.map(|(member, credit)| (*member, credit.unmet(context.now)));
        let mut lacking: Vec<_> = unmet.filter(|(_, unmet)| *unmet > 0).collect();
        lacking.sort_unstable_by_key(|(member, _)| (Some(*member) <= last, *member));
        let prefetched = self.quota.capacity(context.slack) * MAX_PREFETCHED - self.held();
        let budget = prefetched.min(self.bucket.tokens() * PREFETCH_FRACTION);
        let mut budget = floor_to_u64(budget);
        for (member, unmet) in lacking {
            if budget == 0 {
                return false;
            }
            let amount = unmet.min(budget);
            budget -= amount;
            self.grant(amounts, member, amount);
            self.last_wanted = Some(member);
        }
        true
    }

    /// Credit that the connected daemons hold at most.
    fn held(&self) -> f64 {
        let members = self.members.values();
        QuotaAmount(members.map(MemberCredit::outstanding).sum()).to_f64()
    }

    fn grant(&mut self, amounts: &mut IndexMap<MemberKey, u64>, member: MemberKey, amount: u64) {
        if amount == 0 {
            return;
        }
        if let Some(credit) = self.members.get_mut(&member) {
            credit.granted = credit.granted.saturating_add(amount);
        }
        self.bucket.take(QuotaAmount(amount).to_f64());
        *amounts.entry(member).or_default() += amount;
    }

    /// Expected time until a further request gets credit, after all that wait now and
    /// those that were refused before it.
    fn expected_wait(&self, context: &FillShare) -> TimeSpan {
        let waiting: u64 = self.unmet_waiting(context.now);
        let missing = QuotaAmount(waiting).to_f64() + self.backlog;
        let per_second = self.quota.rate.per_second() * context.share;
        if per_second <= 0.0 {
            return MAX_WAIT;
        }
        secs_to_span(missing / per_second).min(MAX_WAIT)
    }

    fn unmet_waiting(&self, now: MonoTime) -> u64 {
        let members = self.members.values();
        members.map(|credit| credit.unmet_waiting(now)).sum()
    }

    /// Whether some daemon still lacks credit.
    pub(super) fn has_unmet(&self, now: MonoTime) -> bool {
        let mut members = self.members.values();
        members.any(|credit| credit.unmet(now) > 0)
    }
}
