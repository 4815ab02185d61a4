//! A fleet of daemons that share a tenant's quota, with messages that take time and get
//! lost with their links.

use std::collections::VecDeque;

use indexmap::IndexMap;
use ward_fleet::placement::MemberKey;
use ward_fleet::{
    CreditAnswer, CreditContext, CreditRequest, CreditStore, IssueContext, QuotaAmount, QuotaBatch,
    QuotaIssuer, QuotaNeed, QuotaRate, QuotaUnit, RequestPriority, TenantKey, TenantQuota,
};
use ward_protocol::{MonoTime, TimeSpan};

pub(crate) const STEP: u64 = 10;
/// Window over which use is counted, in milliseconds.
pub(crate) const WINDOW: u64 = 8_000;
const PLAN_INTERVAL: u64 = 50;
const REPORT_INTERVAL: u64 = 200;
const DELAY: u64 = 5;
/// Silence after which a daemon, and after which the coordinator closes a link.
const MEMBER_PATIENCE: u64 = 1_200;
const COORDINATOR_PATIENCE: u64 = 1_500;
const REQUEST_PATIENCE: u64 = 100;

/// The tenant whose requests are sent unless a test says otherwise.
pub(crate) const TENANT: TenantKey = TenantKey(1);

pub(crate) fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

pub(crate) fn requests_quota(per_second: u64, burst: u64) -> TenantQuota {
    TenantQuota {
        rate: QuotaRate(per_second * 1_000),
        burst: QuotaAmount(burst),
        unit: QuotaUnit::Requests,
    }
}

/// One daemon and its link to the coordinator.
struct SimDaemon {
    store: CreditStore,
    link: Option<SimLink>,
    cut_until: u64,
    frozen_until: u64,
    waiting: Vec<SimRequest>,
}

struct SimLink {
    key: MemberKey,
    uplink: VecDeque<(u64, u64, Vec<QuotaNeed>)>,
    downlink: VecDeque<(u64, Option<QuotaBatch>)>,
    heard_at: u64,
    reported_at: u64,
    /// When the coordinator last got a report.
    seen_at: u64,
}

#[derive(Clone, Copy)]
struct SimRequest {
    tenant: TenantKey,
    cost: u64,
    ticket: u64,
    arrived_at: u64,
}

/// A request that was admitted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Spending {
    pub(crate) tenant: TenantKey,
    pub(crate) time: u64,
    pub(crate) cost: u64,
}

pub(crate) struct SimFleet {
    daemons: Vec<SimDaemon>,
    issuer: QuotaIssuer,
    quotas: IndexMap<TenantKey, TenantQuota>,
    slack: QuotaAmount,
    pub(crate) now: u64,
    next_key: u64,
    /// Until when there is no coordinator.
    vacant_until: u64,
    pub(crate) spent: Vec<Spending>,
    pub(crate) asked: u64,
    /// Bytes of what daemons report and get.
    pub(crate) bytes: usize,
}

impl SimFleet {
    pub(crate) fn new(daemons: usize, quotas: &[(TenantKey, TenantQuota)], slack: u64) -> Self {
        let daemons = (0..daemons).map(|_| SimDaemon {
            store: CreditStore::new(at(0)),
            link: None,
            cut_until: 0,
            frozen_until: 0,
            waiting: Vec::new(),
        });
        let mut fleet = Self {
            daemons: daemons.collect(),
            issuer: QuotaIssuer::default(),
            quotas: quotas.iter().copied().collect(),
            slack: QuotaAmount(slack),
            now: 0,
            next_key: 0,
            vacant_until: 0,
            spent: Vec::new(),
            asked: 0,
            bytes: 0,
        };
        fleet.issuer.adopt(&fleet.quotas, &fleet.issue_context());
        fleet
    }

    fn context(&self) -> CreditContext {
        CreditContext {
            share: ratio(1, self.daemons.len() as u64),
            slack: self.slack,
            window: TimeSpan::from_millis(WINDOW),
            now: at(self.now),
        }
    }

    fn issue_context(&self) -> IssueContext {
        IssueContext {
            daemons: self.daemons.len(),
            slack: self.slack,
            now: at(self.now),
        }
    }

    /// Puts another quota in force everywhere.
    pub(crate) fn set_quota(&mut self, tenant: TenantKey, quota: TenantQuota) {
        self.quotas.insert(tenant, quota);
        self.issuer.adopt(&self.quotas, &self.issue_context());
        let context = self.context();
        for daemon in &mut self.daemons {
            daemon.store.adopt(&self.quotas, &context);
        }
    }

    /// Cuts a daemon off; what is on its way is lost.
    pub(crate) fn cut(&mut self, daemon: usize, millis: u64) {
        let daemon = &mut self.daemons[daemon];
        daemon.cut_until = self.now + millis;
        if let Some(link) = &mut daemon.link {
            link.uplink.clear();
            link.downlink.clear();
        }
    }

    /// Freezes a daemon; what is on its way to it is read when it wakes.
    pub(crate) fn freeze(&mut self, daemon: usize, millis: u64) {
        self.daemons[daemon].frozen_until = self.now + millis;
    }

    /// Kills a daemon, and starts it again at once.
    pub(crate) fn restart(&mut self, daemon: usize) {
        let key = self.daemons[daemon].link.take().map(|link| link.key);
        if let Some(key) = key {
            self.issuer.remove_member(key, at(self.now));
        }
        self.daemons[daemon].store = CreditStore::new(at(self.now));
        self.daemons[daemon].waiting.clear();
    }

    /// Ends the coordinator; another one begins later.
    pub(crate) fn lose_coordinator(&mut self, millis: u64) {
        self.vacant_until = self.now + millis;
        self.issuer = QuotaIssuer::default();
        let context = IssueContext {
            now: at(self.vacant_until),
            ..self.issue_context()
        };
        self.issuer.adopt(&self.quotas, &context);
        for daemon in &mut self.daemons {
            if let Some(link) = &mut daemon.link {
                link.uplink.clear();
                link.downlink.clear();
                link.heard_at = 0;
            }
        }
    }

    /// Sends a request to a daemon.
    pub(crate) fn request(&mut self, number: usize, tenant: TenantKey, cost: u64) -> CreditAnswer {
        self.asked += cost;
        let quota = self.quotas[&tenant];
        let context = self.context();
        let patience = TimeSpan::from_millis(REQUEST_PATIENCE);
        let daemon = &mut self.daemons[number];
        if daemon.frozen_until > self.now {
            return CreditAnswer::Refused(TimeSpan::ZERO);
        }
        let request = CreditRequest {
            cost: QuotaAmount(cost),
            priority: RequestPriority::default(),
        };
        let answer = daemon
            .store
            .request(tenant, quota, request, patience, &context);
        match answer {
            CreditAnswer::Granted => self.spent.push(Spending {
                tenant,
                time: self.now,
                cost,
            }),
            CreditAnswer::Waits(ticket) => daemon.waiting.push(SimRequest {
                tenant,
                cost,
                ticket,
                arrived_at: self.now,
            }),
            CreditAnswer::Refused(_) => {}
        }
        answer
    }

    /// Gives back the cost of the request that was admitted last.
    pub(crate) fn refund_last(&mut self, number: usize) {
        let Some(last) = self.spent.pop() else {
            return;
        };
        let context = self.context();
        let store = &mut self.daemons[number].store;
        store.refund(last.tenant, QuotaAmount(last.cost), &context);
    }

    /// Lets time pass.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        if self.now > self.vacant_until {
            self.coordinate();
        }
        for number in 0..self.daemons.len() {
            self.run_daemon(number);
        }
    }

    fn coordinate(&mut self) {
        let now = self.now;
        let mut is_urgent = now.is_multiple_of(PLAN_INTERVAL);
        for daemon in &mut self.daemons {
            let Some(link) = &mut daemon.link else {
                continue;
            };
            while link.uplink.front().is_some_and(|(due, ..)| *due <= now) {
                let Some((_, sent_at, needs)) = link.uplink.pop_front() else {
                    break;
                };
                link.seen_at = now;
                is_urgent |= needs.iter().any(|need| need.waiting.0 > 0);
                self.issuer
                    .record_needs(link.key, needs, at(sent_at), at(now));
            }
            if now - link.seen_at > COORDINATOR_PATIENCE {
                self.issuer.remove_member(link.key, at(now));
                daemon.link = None;
            }
        }
        if !is_urgent {
            return;
        }
        let context = self.issue_context();
        let mut batches: IndexMap<_, _> = self.issuer.issue(&context).into_iter().collect();
        let is_planned = now.is_multiple_of(PLAN_INTERVAL);
        for daemon in &mut self.daemons {
            let Some(link) = &mut daemon.link else {
                continue;
            };
            let batch = batches.swap_remove(&link.key);
            let is_cut = daemon.cut_until > now;
            if !is_cut && (batch.is_some() || is_planned) {
                self.bytes += batch.as_ref().map_or(0, encoded_len);
                link.downlink.push_back((now + DELAY, batch));
            }
        }
    }

    fn run_daemon(&mut self, number: usize) {
        let context = self.context();
        let now = self.now;
        let has_coordinator = now > self.vacant_until;
        let daemon = &mut self.daemons[number];
        if daemon.frozen_until > now {
            return;
        }
        if let Some(link) = &mut daemon.link {
            while link.downlink.front().is_some_and(|(due, _)| *due <= now) {
                match link.downlink.pop_front() {
                    Some((_, Some(batch))) => daemon.store.receive(&batch, &context),
                    _ => daemon.store.record_contact(&context),
                }
                link.heard_at = now;
            }
            if now - link.heard_at > MEMBER_PATIENCE {
                self.issuer.remove_member(link.key, at(now));
                daemon.store.end_link(&context);
                daemon.link = None;
            }
        }
        if daemon.link.is_none() && has_coordinator && daemon.cut_until <= now {
            daemon.store.begin_link(&context);
            daemon.link = Some(SimLink {
                key: MemberKey(self.next_key),
                uplink: VecDeque::new(),
                downlink: VecDeque::new(),
                heard_at: now,
                reported_at: 0,
                seen_at: now,
            });
            self.next_key += 1;
        }
        self.serve_waiting(number);
        self.report(number);
    }

    fn serve_waiting(&mut self, number: usize) {
        let context = self.context();
        let daemon = &mut self.daemons[number];
        let mut kept = Vec::new();
        for request in std::mem::take(&mut daemon.waiting) {
            let patience = (request.arrived_at + REQUEST_PATIENCE).saturating_sub(self.now);
            let patience = TimeSpan::from_millis(patience);
            let store = &mut daemon.store;
            match store.request_again(request.tenant, request.ticket, patience, &context) {
                CreditAnswer::Granted => self.spent.push(Spending {
                    tenant: request.tenant,
                    time: self.now,
                    cost: request.cost,
                }),
                CreditAnswer::Waits(_) => kept.push(request),
                CreditAnswer::Refused(_) => {}
            }
        }
        daemon.waiting = kept;
    }

    fn report(&mut self, number: usize) {
        let context = self.context();
        let now = self.now;
        let daemon = &mut self.daemons[number];
        let is_urgent = daemon
            .waiting
            .iter()
            .any(|wait| wait.arrived_at == now - STEP);
        let Some(link) = &mut daemon.link else {
            return;
        };
        if !is_urgent && now < link.reported_at + REPORT_INTERVAL {
            return;
        }
        let needs = daemon.store.needs(&context);
        link.reported_at = now;
        if daemon.cut_until <= now {
            self.bytes += needs.iter().map(encoded_len).sum::<usize>();
            link.uplink.push_back((now + DELAY, now, needs));
        }
    }

    /// Cost of the requests that were admitted.
    pub(crate) fn total(&self, tenant: TenantKey) -> u64 {
        let spent = self.spent.iter().filter(|spent| spent.tenant == tenant);
        spent.map(|spent| spent.cost).sum()
    }

    /// Highest cost of the admitted requests in any window that begins at `from` or later.
    pub(crate) fn most_in_window(&self, tenant: TenantKey, window: u64, from: u64) -> u64 {
        let mut within = VecDeque::new();
        let (mut sum, mut most) = (0, 0);
        let mut spent: Vec<_> = self
            .spent
            .iter()
            .filter(|spent| spent.tenant == tenant)
            .collect();
        spent.sort_by_key(|spent| spent.time);
        for spending in spent.into_iter().filter(|spent| spent.time >= from) {
            within.push_back(spending);
            sum += spending.cost;
            while let Some(first) = within.front()
                && first.time + window <= spending.time
            {
                sum -= first.cost;
                within.pop_front();
            }
            most = most.max(sum);
        }
        most
    }
}

fn encoded_len(message: &impl serde::Serialize) -> usize {
    ward_protocol::codec::encode(message).map_or(0, |bytes| bytes.len())
}

#[allow(clippy::cast_precision_loss, reason = "counts of a test stay small")]
pub(crate) fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
