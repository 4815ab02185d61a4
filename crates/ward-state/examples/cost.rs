//! Measures the time and size of state operations at the planned size: 700 models,
//! 28,000 adapters, 12,000 engines, 370 members. Prints the results; asserts nothing.

use std::error::Error;
use std::time::Instant;

use ward_protocol::record::RECORD_FORMAT;
use ward_protocol::{
    BackendInfo, BackendKind, ControlEnvelope, ControlRecord, FencingSupport, Incarnation,
    LogOffset, MemberInfo, MemorySize, PlanChange, PlanEnvelope, PlanRecord, PlanRevision, PlanRow,
    PriorityLevel, RecordId, WallTime,
};
use ward_state::ClusterState;

const MEMBERS: u64 = 370;
const ENGINES: u64 = 12_000;
const MODELS: u64 = 700;
const ADAPTERS_PER_MODEL: u64 = 40;
const ZONES: u64 = 4;

type Outcome<T> = Result<T, Box<dyn Error>>;

fn row(target: &str, memory: u64) -> Outcome<PlanRow> {
    Ok(PlanRow {
        target: target.parse()?,
        zones: Vec::new(),
        roles: Vec::new(),
        replicas: 3,
        ready: 0,
        ready_from: None,
        priority: PriorityLevel::default(),
        memory: MemorySize::from_mib(memory),
        repeatable: true,
    })
}

fn member(number: u64, incarnation: u64) -> Outcome<MemberInfo> {
    Ok(MemberInfo {
        daemon: format!("entry-{number}").parse()?,
        incarnation: Incarnation(incarnation),
        zone: format!("zone-{}", number % ZONES).parse()?,
        callers: "127.0.0.1:1".parse()?,
        peers: "127.0.0.1:2".parse()?,
        operators: "127.0.0.1:3".parse()?,
    })
}

fn engine(number: u64) -> Outcome<BackendInfo> {
    Ok(BackendInfo {
        backend: format!("engine-{number}").parse()?,
        kind: BackendKind::Engine,
        zone: format!("zone-{}", number % ZONES).parse()?,
        address: "127.0.0.1:4".parse()?,
        memory: MemorySize::from_gib(80),
        fencing: FencingSupport::Checks,
        services: Vec::new(),
    })
}

struct CostRun {
    state: ClusterState,
    offset: u64,
}

impl CostRun {
    fn apply(&mut self, number: u64, incarnation: u64, body: ControlRecord) -> Outcome<()> {
        self.offset += 1;
        let envelope = ControlEnvelope {
            format: RECORD_FORMAT,
            id: RecordId(u128::from(self.offset)),
            sender: format!("entry-{number}").parse()?,
            incarnation: Incarnation(incarnation),
            body,
        };
        self.state.apply_control(LogOffset(self.offset), envelope);
        Ok(())
    }

    fn submit(&mut self, change: PlanChange) -> Outcome<()> {
        self.offset += 1;
        let base = self.state.plans().head();
        let envelope = PlanEnvelope {
            format: RECORD_FORMAT,
            id: RecordId(u128::from(self.offset)),
            author: "planner".parse()?,
            submitted_at: WallTime(0),
            body: PlanRecord::Submit { base, change },
        };
        self.state.apply_plan(LogOffset(self.offset), envelope);
        Ok(())
    }
}

fn time<T>(label: &str, step: impl FnOnce() -> Outcome<T>) -> Outcome<T> {
    let start = Instant::now();
    let result = step()?;
    println!("{label}: {:?}", start.elapsed());
    Ok(result)
}

fn main() -> Outcome<()> {
    let mut run = CostRun {
        state: ClusterState::default(),
        offset: 0,
    };
    time("members join and engines are seen", || {
        for number in 0..MEMBERS {
            let member = member(number, 1)?;
            run.apply(number, 1, ControlRecord::Join { member })?;
        }
        for number in 0..ENGINES {
            let info = engine(number)?;
            run.apply(0, 1, ControlRecord::BackendSeen { info })?;
        }
        Ok(())
    })?;
    let mut rows = Vec::new();
    for model in 0..MODELS {
        rows.push(row(&format!("model-{model}@1"), 20_480)?);
        for adapter in 0..ADAPTERS_PER_MODEL {
            rows.push(row(&format!("model-{model}:adapter-{adapter}@1"), 64)?);
        }
    }
    let count = rows.len();
    time("whole plan", || run.submit(PlanChange::Whole { rows }))?;
    let revision = run.state.plans().head();
    time("adopt", || {
        run.apply(0, 1, ControlRecord::Adopt { revision })
    })?;
    time("change of one row", || {
        let upserts = vec![row("model-1@1", 10_240)?];
        let removals = Vec::new();
        run.submit(PlanChange::Rows { upserts, removals })
    })?;
    time("retreat", || {
        run.submit(PlanChange::Retreat {
            to: PlanRevision(revision.0),
        })
    })?;
    time("2,000 reservations", || {
        for number in 0..2_000 {
            let body = ControlRecord::Reserve {
                key: format!("model-{}@1", number % MODELS).parse()?,
                backend: format!("engine-{number}").parse()?,
                memory: MemorySize::from_mib(20_480),
                priority: PriorityLevel::default(),
                deadline: WallTime(0),
            };
            run.apply(0, 1, body)?;
        }
        Ok(())
    })?;
    let before = run.state.owner_version();
    time("leave of one member", || {
        run.apply(7, 1, ControlRecord::Leave)
    })?;
    let left = run.state.owner_version();
    let newcomer = member(7, 2)?;
    time("join of one member", || {
        run.apply(7, 2, ControlRecord::Join { member: newcomer })
    })?;
    let joined = run.state.owner_version();
    println!(
        "engines moved: {} at the leave, {} at the join",
        left - before,
        joined - left
    );
    let bytes = time("encode", || Ok(run.state.encode()?))?;
    println!(
        "{} reservations, {count} rows, {} bytes",
        run.state.reservations().len(),
        bytes.len()
    );
    let copy = time("decode", || Ok(ClusterState::decode(&bytes)?))?;
    let digest = time("digest", || Ok(copy.digest()?))?;
    println!("equal after decode: {}", digest == run.state.digest()?);
    Ok(())
}
