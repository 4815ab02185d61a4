//! Orders and status reads, and how the client reports faults of an engine.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use googletest::prelude::*;
use ward_backend::order::send_order;
use ward_backend::status::{StatusError, fetch_status};
use ward_http::{CallError, ReplyError, UnpooledClient};
use ward_protocol::{
    BackendId, BackendOrder, BackendStatus, EngineRole, FenceNumber, FencingSupport, MemorySize,
    OrderKind, OrderRefusal, OrderResult, RecordId, ReplicaKey, ResidentPhase, TimeSpan,
};
use ward_standin::engine::OrderCause;
use ward_standin::{
    EngineFaults, EngineHistory, EngineSettings, EngineStandin, MemoryRule, RunningStandin,
};
use ward_test_support::{StandinControl, engine_settings};

const TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
const WAIT: TimeSpan = TimeSpan::from_secs(5);
const MODEL_SIZE: MemorySize = MemorySize::from_gib(10);

/// A stand-in engine with the clients that call it.
struct EngineFixture {
    _standin: RunningStandin,
    control: StandinControl,
    address: std::net::SocketAddr,
    id: BackendId,
    client: UnpooledClient,
}

impl EngineFixture {
    async fn start(change: impl FnOnce(&mut EngineSettings)) -> Self {
        let mut settings = engine_settings("engine-1", "vic", MemorySize::from_gib(24)).unwrap();
        change(&mut settings);
        let id = settings.id.clone();
        let standin = EngineStandin::start(settings).await.unwrap();
        Self {
            control: StandinControl::new(standin.address),
            address: standin.address,
            _standin: standin,
            id,
            client: UnpooledClient::new(),
        }
    }

    async fn send(&self, order: &BackendOrder) -> OrderResult {
        send_order(&self.client, self.address, order, TIMEOUT).await
    }

    async fn order(&self, fence: u64, kind: OrderKind) -> OrderResult {
        self.send(&order(fence, kind)).await
    }

    async fn status(&self) -> std::result::Result<BackendStatus, StatusError> {
        fetch_status(&self.client, self.address, &self.id, TIMEOUT).await
    }

    async fn history_until(&self, check: impl Fn(&EngineHistory) -> bool) -> EngineHistory {
        self.control.history_until(WAIT, check).await.unwrap()
    }

    /// Waits until the engine holds the replica in this phase.
    async fn wait_for_phase(&self, key: &str, phase: ResidentPhase) {
        let key: ReplicaKey = key.parse().unwrap();
        self.history_until(|history| {
            history.holdings.last().is_some_and(|holding| {
                let found = holding.replicas.iter().find(|replica| replica.key == key);
                found.is_some_and(|replica| replica.phase == phase)
            })
        })
        .await;
    }
}

fn order(fence: u64, kind: OrderKind) -> BackendOrder {
    BackendOrder {
        order: RecordId::random(),
        fence: FenceNumber(fence),
        kind,
    }
}

fn load(key: &str) -> OrderKind {
    OrderKind::Load {
        key: key.parse().unwrap(),
        memory: MODEL_SIZE,
    }
}

fn unload(key: &str) -> OrderKind {
    OrderKind::Unload {
        key: key.parse().unwrap(),
    }
}

#[googletest::test]
#[tokio::test]
async fn load_then_unload() {
    let fixture = EngineFixture::start(|_| {}).await;
    expect_that!(fixture.order(1, load("m@1")).await, eq(&OrderResult::Taken));
    fixture.wait_for_phase("m@1", ResidentPhase::Ready).await;
    let status = fixture.status().await.unwrap();
    expect_that!(status.fence, eq(FenceNumber(1)));
    expect_that!(status.resident[0].memory, eq(MODEL_SIZE));
    expect_that!(
        fixture.order(1, unload("m@1")).await,
        eq(&OrderResult::Taken)
    );
    let status = fixture.status().await.unwrap();
    expect_that!(status.resident.len(), eq(0));
}

#[googletest::test]
#[tokio::test]
async fn order_fenced() {
    let fixture = EngineFixture::start(|_| {}).await;
    fixture.order(5, OrderKind::Touch).await;
    let refused = fixture.order(4, load("m@1")).await;
    let fenced = OrderRefusal::Fenced {
        newest: FenceNumber(5),
    };
    expect_that!(refused, eq(&OrderResult::Refused(fenced)));
}

#[googletest::test]
#[tokio::test]
async fn order_fence_ignored() {
    let fixture = EngineFixture::start(|settings| settings.fencing = FencingSupport::Ignores).await;
    fixture.order(5, OrderKind::Touch).await;
    expect_that!(fixture.order(4, load("m@1")).await, eq(&OrderResult::Taken));
    expect_that!(fixture.status().await.unwrap().fence, eq(FenceNumber(5)));
}

#[googletest::test]
#[tokio::test]
async fn order_same_id_repeated() {
    let fixture = EngineFixture::start(|_| {}).await;
    let first = order(1, load("m@1"));
    fixture.send(&first).await;
    fixture.wait_for_phase("m@1", ResidentPhase::Ready).await;
    fixture.order(1, unload("m@1")).await;
    expect_that!(fixture.send(&first).await, eq(&OrderResult::Taken));
    expect_that!(fixture.status().await.unwrap().resident.len(), eq(0));
}

#[googletest::test]
#[tokio::test]
async fn load_without_memory() {
    let fixture = EngineFixture::start(|settings| settings.memory_rule = MemoryRule::Refuse).await;
    fixture.order(1, load("a@1")).await;
    fixture.order(1, load("b@1")).await;
    let refused = fixture.order(1, load("c@1")).await;
    expect_that!(refused, eq(&OrderResult::Refused(OrderRefusal::Memory)));
    let recording = EngineFixture::start(|_| {}).await;
    for key in ["a@1", "b@1", "c@1"] {
        expect_that!(recording.order(1, load(key)).await, eq(&OrderResult::Taken));
    }
    let history = recording.history_until(|_| true).await;
    expect_that!(history.peak_memory, eq(MemorySize::from_gib(30)));
    expect_that!(history.overcommits, gt(0));
}

#[googletest::test]
#[tokio::test]
async fn load_adapter_without_base() {
    let fixture = EngineFixture::start(|_| {}).await;
    let refused = fixture.order(1, load("m:a@1")).await;
    expect_that!(refused, eq(&OrderResult::Refused(OrderRefusal::NoBase)));
    fixture.order(1, load("m@1")).await;
    fixture.wait_for_phase("m@1", ResidentPhase::Ready).await;
    expect_that!(
        fixture.order(1, load("m:a@1")).await,
        eq(&OrderResult::Taken)
    );
    // Unloading a base model also unloads its adapters.
    fixture.order(1, unload("m@1")).await;
    expect_that!(fixture.status().await.unwrap().resident.len(), eq(0));
}

#[googletest::test]
#[tokio::test]
async fn load_fails() {
    let key: ReplicaKey = "m@1".parse().unwrap();
    let failing = key.clone();
    let fixture =
        EngineFixture::start(|settings| settings.faults.failing_loads = vec![failing]).await;
    fixture.order(1, load("m@1")).await;
    fixture.wait_for_phase("m@1", ResidentPhase::Failed).await;
    let status = fixture.status().await.unwrap();
    expect_that!(status.resident[0].memory, eq(MemorySize::ZERO));
}

#[googletest::test]
#[tokio::test]
async fn load_engine_crashes() {
    let key: ReplicaKey = "m@1".parse().unwrap();
    let fixture = EngineFixture::start(|settings| settings.faults.die_in_load = Some(key)).await;
    let before = fixture.status().await.unwrap().boot;
    fixture.order(7, load("m@1")).await;
    let history = fixture
        .history_until(|history| !history.crashes.is_empty())
        .await;
    expect_that!(history.crashes[0].boot, eq(before));
    let was_ready = history.holdings.iter().any(|holding| {
        let mut replicas = holding.replicas.iter();
        replicas.any(|replica| replica.phase == ResidentPhase::Ready)
    });
    expect_that!(was_ready, eq(false));
    let status = fixture.status().await.unwrap();
    expect_that!(status.boot, gt(before));
    expect_that!(status.resident.len(), eq(0));
    expect_that!(status.fence, eq(FenceNumber(0)));
}

#[googletest::test]
#[tokio::test]
async fn load_leaving() {
    let fixture = EngineFixture::start(|settings| settings.faults.leaving = true).await;
    let refused = fixture.order(1, load("m@1")).await;
    expect_that!(refused, eq(&OrderResult::Refused(OrderRefusal::Leaving)));
    expect_that!(fixture.status().await.unwrap().leaving, eq(true));
}

#[googletest::test]
#[tokio::test]
async fn role_standby_holds_nothing() {
    let fixture = EngineFixture::start(|_| {}).await;
    fixture.order(1, load("m@1")).await;
    let role = EngineRole::Standby;
    fixture.order(1, OrderKind::Role { role }).await;
    let status = fixture.status().await.unwrap();
    expect_that!(status.role, eq(role));
    expect_that!(status.resident.len(), eq(0));
}

#[googletest::test]
#[tokio::test]
async fn order_lost_answer() {
    let fixture = EngineFixture::start(|settings| settings.faults.lose_order_answers = 1).await;
    expect_that!(
        fixture.order(1, load("m@1")).await,
        eq(&OrderResult::Unknown)
    );
    fixture.wait_for_phase("m@1", ResidentPhase::Ready).await;
}

#[googletest::test]
#[tokio::test]
async fn order_delayed_behind_fence() {
    let fixture = EngineFixture::start(|settings| settings.faults.order_delay_ms = 200).await;
    expect_that!(fixture.order(1, load("m@1")).await, eq(&OrderResult::Taken));
    fixture
        .control
        .set_faults(&EngineFaults::default())
        .await
        .unwrap();
    fixture.order(2, OrderKind::Touch).await;
    let history = fixture
        .history_until(|history| history.orders.len() == 2)
        .await;
    expect_that!(history.orders[1].cause, eq(OrderCause::Delayed));
    expect_that!(history.orders[1].refusal, some(anything()));
    expect_that!(history.holdings.len(), eq(0));
}

#[googletest::test]
#[tokio::test]
async fn order_repeated_after_unload() {
    let ignores = |settings: &mut EngineSettings| {
        settings.fencing = FencingSupport::Ignores;
        settings.faults.order_repeat_ms = Some(150);
    };
    let fixture = EngineFixture::start(ignores).await;
    fixture.order(1, load("m@1")).await;
    fixture
        .control
        .set_faults(&EngineFaults::default())
        .await
        .unwrap();
    fixture.order(1, unload("m@1")).await;
    expect_that!(fixture.status().await.unwrap().resident.len(), eq(0));
    fixture.wait_for_phase("m@1", ResidentPhase::Ready).await;
}

#[googletest::test]
#[tokio::test]
async fn engine_hangs() {
    let fixture = EngineFixture::start(|settings| settings.faults.hang = true).await;
    expect_that!(
        fixture.order(1, load("m@1")).await,
        eq(&OrderResult::Unknown)
    );
    let error = fixture.status().await.unwrap_err();
    expect_that!(
        error,
        pat!(StatusError::Call(pat!(CallError::Timeout(eq(&TIMEOUT)))))
    );
}

#[googletest::test]
#[tokio::test]
async fn engine_gone() {
    let fixture = EngineFixture::start(|_| {}).await;
    let EngineFixture {
        _standin: standin,
        client,
        address,
        id,
        ..
    } = fixture;
    standin.stop();
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    let error = fetch_status(&client, address, &id, TIMEOUT).await;
    let Err(StatusError::Call(error)) = error else {
        panic!("the stopped engine still answers");
    };
    expect_that!(error.is_unsent(), eq(true));
}

#[googletest::test]
#[tokio::test]
async fn status_broken() {
    let faults = |settings: &mut EngineSettings| {
        settings.faults.truncate_status = 1;
        settings.faults.wrong_status = 1;
    };
    let fixture = EngineFixture::start(faults).await;
    // Both faults hit the first report; its body never arrives complete.
    let error = fixture.status().await.unwrap_err();
    expect_that!(
        error,
        pat!(StatusError::Call(pat!(CallError::Lost(anything()))))
    );
    expect_that!(fixture.status().await, ok(anything()));
    let mut faults = EngineFaults {
        wrong_status: 1,
        ..EngineFaults::default()
    };
    fixture.control.set_faults(&faults).await.unwrap();
    let error = fixture.status().await.unwrap_err();
    expect_that!(error, pat!(StatusError::Backend(anything())));
    faults.wrong_status = 0;
    faults.broken_status = 1;
    fixture.control.set_faults(&faults).await.unwrap();
    let error = fixture.status().await.unwrap_err();
    expect_that!(
        error,
        pat!(StatusError::Reply(pat!(ReplyError::Json(anything()))))
    );
}

#[googletest::test]
#[tokio::test]
async fn crash_keeps_port() {
    let key: ReplicaKey = "m@1".parse().unwrap();
    let fixture = EngineFixture::start(|settings| {
        settings.faults.die_in_load = Some(key);
        settings.faults.die_after_ms = 50;
        settings.faults.downtime_ms = 300;
    })
    .await;
    fixture.order(1, load("m@1")).await;
    let EngineFixture {
        _standin,
        address,
        client,
        control,
        ..
    } = fixture;
    // Open connections would also keep the port occupied.
    drop((client, control));
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    let refused = tokio::net::TcpStream::connect(address).await;
    expect_that!(refused, err(anything()));
    // Other processes bind ports without address reuse.
    let other = tokio::net::TcpSocket::new_v4().unwrap();
    expect_that!(other.bind(address), err(anything()));
    drop(other);
    let control = StandinControl::new(address);
    let back = control.history_until(WAIT, |history: &EngineHistory| history.crashes.len() == 1);
    expect_that!(back.await, ok(anything()));
}
