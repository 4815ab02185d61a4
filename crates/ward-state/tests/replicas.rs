//! Random records with duplicates, plans read ahead and a restart: all copies of the state
//! must agree, and no record may break the limits.

#![allow(clippy::unwrap_used)]

mod common;

use common::{control, engine, member, plan, row};
use indexmap::IndexMap;
use proptest::prelude::*;
use ward_protocol::{
    ControlEnvelope, ControlRecord, Incarnation, LogOffset, MemorySize, PlanChange, PlanEnvelope,
    PlanRecord, PlanRevision, PriorityLevel, ReleaseReason, ReplicaKey, ReservationId, WallTime,
};
use ward_state::{ApplyOutcome, ClusterState, ReservationPhase};

const KEYS: [&str; 4] = ["a@1", "b@1", "a:x@1", "b:y@1"];
const MEMORIES: [u64; 4] = [10, 14, 1, 2];

/// A record of either stream with its offset.
#[derive(Debug, Clone)]
enum AnyRecord {
    Plan(LogOffset, PlanEnvelope),
    Control(LogOffset, ControlEnvelope),
}

/// Random numbers that determine the next record.
type RecordSeed = (u8, u8, u8, u16);

fn record_body(seed: RecordSeed, state: &ClusterState) -> ControlRecord {
    let (kind, key_seed, backend_seed, pick) = seed;
    let daemon = format!("d{}", key_seed % 4);
    let backend: ward_protocol::BackendId = format!("e{}", backend_seed % 4).parse().unwrap();
    let key: ReplicaKey = KEYS[usize::from(key_seed) % 4].parse().unwrap();
    let memory = MemorySize::from_gib(MEMORIES[usize::from(key_seed) % 4]);
    let ids: Vec<_> = state.reservations().keys().copied().collect();
    let reservation = match ids.len() {
        0 => ReservationId(u64::from(pick)),
        count => ids[usize::from(pick) % count],
    };
    match kind % 16 {
        0 => ControlRecord::Join {
            member: member(&daemon, "vic", u64::from(backend_seed % 3)),
        },
        1 if backend_seed % 4 == 0 => ControlRecord::Leave,
        2 => ControlRecord::Expire {
            daemon: daemon.parse().unwrap(),
            incarnation: Incarnation(u64::from(backend_seed % 3)),
        },
        3 | 4 => ControlRecord::Adopt {
            revision: state.plans().head(),
        },
        5 => ControlRecord::BackendSeen {
            info: engine(backend.as_str(), "vic", 24),
        },
        6 if key_seed % 4 == 0 => ControlRecord::BackendLeaving { backend },
        7 if key_seed % 4 == 0 => ControlRecord::BackendGone { backend },
        8 => ControlRecord::Yield { backend },
        9 => ControlRecord::Found {
            backend,
            key,
            memory,
        },
        10 | 11 => ControlRecord::Ready { reservation },
        12 => ControlRecord::Drain { reservation },
        13 => ControlRecord::Release {
            reservation,
            reason: ReleaseReason::Unloaded,
        },
        _ => ControlRecord::Reserve {
            key,
            backend,
            memory,
            priority: PriorityLevel::try_from(key_seed % 8).unwrap(),
            deadline: WallTime(u64::from(backend_seed)),
        },
    }
}

fn plan_change(seed: RecordSeed, state: &ClusterState) -> PlanChange {
    let (_, one, two, pick) = seed;
    let index = usize::from(one) % 4;
    if pick % 5 == 0 {
        let revisions: Vec<_> = state
            .plans()
            .revisions()
            .map(|info| info.revision)
            .collect();
        let to = revisions.first().copied().unwrap_or_default();
        return PlanChange::Retreat { to };
    }
    PlanChange::Rows {
        upserts: vec![row(KEYS[index], u16::from(two % 3), MEMORIES[index])],
        removals: Vec::new(),
    }
}

/// Builds records from the seeds and applies each to a reference state, whose digests it
/// returns by offset.
fn build_records(seeds: &[RecordSeed]) -> (Vec<AnyRecord>, IndexMap<LogOffset, String>) {
    let mut state = ClusterState::default();
    let mut records = Vec::new();
    let mut digests = IndexMap::new();
    for (number, seed) in seeds.iter().enumerate() {
        let id = number as u128 - u128::from(seed.3 % 11 == 0 && number > 0);
        let offset = LogOffset(number as u64 * 2 + 1);
        if seed.0 % 5 == 0 && seed.0 > 60 {
            let base = if seed.2 % 7 == 0 {
                PlanRevision(1)
            } else {
                state.plans().head()
            };
            let change = plan_change(*seed, &state);
            let envelope = plan(id, PlanRecord::Submit { base, change });
            state.apply_plan(offset, envelope.clone());
            records.push(AnyRecord::Plan(offset, envelope));
            continue;
        }
        let sender = format!("d{}", seed.3 % 4);
        let member = state
            .members()
            .get(&sender.parse::<ward_protocol::DaemonId>().unwrap());
        let incarnation = member.map_or(u64::from(seed.2 % 3), |member| member.info.incarnation.0);
        let body = record_body(*seed, &state);
        let incarnation = match &body {
            ControlRecord::Join { member } => member.incarnation.0,
            _ => incarnation,
        };
        let sender = match &body {
            ControlRecord::Join { member } => member.daemon.to_string(),
            _ => sender,
        };
        let envelope = control(id, &sender, incarnation, body);
        let before = state.clone();
        let outcome = state.apply_control(offset, envelope.clone());
        check_invariants(&before, &state, &envelope, &outcome);
        digests.insert(offset, state.digest().unwrap().to_string());
        records.push(AnyRecord::Control(offset, envelope));
    }
    (records, digests)
}

/// Checks the limits that no record may break, whichever daemon sent it.
fn check_invariants(
    before: &ClusterState,
    state: &ClusterState,
    envelope: &ControlEnvelope,
    outcome: &ApplyOutcome,
) {
    let (limits, _) = state.limits();
    let loading = |adapter: bool| {
        let held = state.reservations().values();
        held.filter(|reservation| {
            let is_loading =
                reservation.phase == ReservationPhase::Loading && !reservation.draining;
            is_loading && reservation.key.is_adapter() == adapter
        })
        .count()
    };
    assert!(loading(false) <= usize::from(limits.model_loads));
    assert!(loading(true) <= usize::from(limits.adapter_loads));
    assert!(
        state.adopted() >= before.adopted(),
        "the adopted revision decreased"
    );
    for key in state.reserved_keys() {
        let active = state
            .reservations_of(key)
            .iter()
            .filter(|id| !state.reservations()[*id].draining);
        let planned = state.row(key).map_or(0, |row| usize::from(row.replicas));
        assert!(
            active.count() <= planned,
            "{key} has more replicas than the plan allows after {envelope:?}"
        );
    }
    for (id, backend) in state.backends() {
        let held = backend
            .reservations
            .iter()
            .map(|held| state.reservations()[held].memory);
        assert_eq!(held.sum::<MemorySize>(), backend.reserved_memory, "{id}");
        let found = backend
            .reservations
            .iter()
            .any(|held| state.reservations()[held].phase == ReservationPhase::Found);
        assert!(
            found || backend.reserved_memory <= backend.info.memory,
            "{id} overcommitted"
        );
        if let Some(owner) = &backend.owner {
            assert!(
                state.members().contains_key(owner),
                "the owner of {id} is not a member"
            );
            let nobody_yielded = backend.yielded.is_empty();
            assert!(!nobody_yielded || !backend.yielded.contains(owner));
        } else {
            assert!(state.members().is_empty(), "{id} has no owner");
        }
    }
    if matches!(envelope.body, ControlRecord::Reserve { .. }) && *outcome == ApplyOutcome::Applied {
        let id = state.reservations().keys().max().unwrap();
        let key = &state.reservations()[id].key;
        let row = state.row(key).unwrap();
        assert!(state.reservations_of(key).len() <= usize::from(row.replicas));
    }
}

/// Applies the records to a second state, with every third record applied twice, plans
/// read up to `plan_lead` offsets ahead, and a restart from a snapshot.
fn replay(
    records: &[AnyRecord],
    plan_lead: usize,
    repeat_phase: usize,
    restart: usize,
) -> ClusterState {
    let mut state = ClusterState::default();
    let plans: Vec<_> = records
        .iter()
        .filter_map(|record| match record {
            AnyRecord::Plan(offset, envelope) => Some((*offset, envelope.clone())),
            AnyRecord::Control(..) => None,
        })
        .collect();
    let mut read = 0;
    for (number, record) in records.iter().enumerate() {
        if number == restart {
            state = ClusterState::decode(&state.encode().unwrap()).unwrap();
        }
        let AnyRecord::Control(offset, envelope) = record else {
            continue;
        };
        while read < plans.len() && plans[read].0.0 <= offset.0 + plan_lead as u64 {
            state.apply_plan(plans[read].0, plans[read].1.clone());
            read += 1;
        }
        state.apply_control(*offset, envelope.clone());
        if number % 3 == repeat_phase % 3 {
            state.apply_control(*offset, envelope.clone());
        }
    }
    state
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn replicas_agree(
        seeds in prop::collection::vec(any::<RecordSeed>(), 20..160),
        plan_lead in 0_usize..400,
        repeat_phase in 0_usize..3,
        restart in 0_usize..160,
    ) {
        let (records, digests) = build_records(&seeds);
        let state = replay(&records, plan_lead, repeat_phase, restart);
        if let Some(expected) = digests.get(&state.applied()) {
            prop_assert_eq!(&state.digest().unwrap().to_string(), expected);
        }
    }

    #[test]
    fn decode_random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = ClusterState::decode(&bytes);
    }
}
