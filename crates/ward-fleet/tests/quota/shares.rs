//! What daemons may use while they follow no coordinator, and who gets credit first.

use googletest::prelude::*;
use ward_fleet::{
    CoreShare, CreditAnswer, CreditContext, CreditRequest, CreditStore, HostCapacity, HostMember,
    HostShares, LinkRate, QuotaAmount, QuotaBatch, QuotaGrant, RequestPriority,
};
use ward_protocol::{MemorySize, TimeSpan};

use crate::fleet::{TENANT, WINDOW, at, requests_quota};

fn host(number: usize, zone: &str, cores: u32) -> HostMember {
    let address = format!("10.0.{}.{}:1", number / 256, number % 256);
    HostMember {
        daemon: format!("host-{number}").parse().unwrap(),
        zone: zone.parse().unwrap(),
        callers: address.parse().unwrap(),
        peers: address.parse().unwrap(),
        capacity: HostCapacity {
            cores: CoreShare(cores),
            link: LinkRate(1_000_000),
            memory: MemorySize::from_mib(160),
            descriptors: 4_100,
        },
    }
}

/// Two large hosts in each of three zones, and many small ones.
fn hosts() -> Vec<HostMember> {
    let zone = |number: usize| ["a", "b", "c"][number % 3];
    let hosts =
        (0..86).map(|number| host(number, zone(number), if number < 6 { 500 } else { 120 }));
    hosts.collect()
}

#[gtest]
fn share_large_hosts_had_no_more_than_hosts_without_callers() {
    let mut shares = HostShares::default();
    let hosts = hosts();
    shares.record(&hosts, at(0));
    let share = |number: usize| shares.share(&hosts[number].daemon).unwrap();
    expect_that!(share(0), near(0.15, 1e-9));
    expect_that!(share(85), near(0.1 / 80.0, 1e-9));
    let sum: f64 = (0..86).map(share).sum();
    expect_that!(sum, near(1.0, 1e-9));
}

#[gtest]
fn share_small_hosts_do_not_take_over_those_of_large_ones_out_of_sight() {
    let mut shares = HostShares::default();
    let hosts = hosts();
    shares.record(&hosts, at(0));
    shares.record(&hosts[6..], at(60_000));
    let share = shares.share(&hosts[85].daemon).unwrap();
    expect_that!(share, near(0.1 / 80.0, 1e-9));
    shares.record(&hosts[6..], at(700_000));
    let share = shares.share(&hosts[85].daemon).unwrap();
    expect_that!(share, near(1.0 / 80.0, 1e-9));
}

#[gtest]
fn urgent_request_was_refused_behind_one_that_can_wait() {
    let mut store = CreditStore::new(at(0));
    let context = CreditContext {
        share: 1.0,
        slack: QuotaAmount(0),
        window: TimeSpan::from_millis(WINDOW),
        now: at(1),
    };
    store.record_contact(&context);
    let quota = requests_quota(10, 100);
    let mut request = |route, patience| {
        let request = CreditRequest {
            cost: QuotaAmount(1),
            priority: RequestPriority { tenant: 0, route },
        };
        let patience = TimeSpan::from_millis(patience);
        store.request(TENANT, quota, request, patience, &context)
    };
    let CreditAnswer::Waits(patient) = request(2, 1_000) else {
        panic!("the first request waits for the coordinator");
    };
    let CreditAnswer::Waits(urgent) = request(0, 100) else {
        panic!("nothing as urgent waits");
    };
    let grant = QuotaGrant {
        tenant: TENANT,
        amount: QuotaAmount(1),
        wait: TimeSpan::from_secs(1),
    };
    let batch = QuotaBatch {
        grants: vec![grant],
        reported_at: at(1),
        held_for: TimeSpan::ZERO,
    };
    store.receive(&batch, &context);
    let mut again = |ticket| {
        let patience = TimeSpan::from_millis(50);
        store.request_again(TENANT, ticket, patience, &context)
    };
    expect_that!(again(patient), eq(CreditAnswer::Waits(patient)));
    expect_that!(again(urgent), eq(CreditAnswer::Granted));
}
