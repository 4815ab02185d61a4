//! The queue: which requests wait, in which order they get slots, and which are
//! refused.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use googletest::prelude::*;
use support::{FakeBackend, TestServer, ViewBuilder, engine_reply};
use tokio::sync::watch;
use tokio::time::Instant;
use ward_protocol::{RequestId, ResultCode, RoutingView, RowTarget, TimeSpan, TrafficLimits};
use ward_traffic::input::{BodyMemory, RequestTerms, read_body};
use ward_traffic::waiting::{EntryPhase, SlotGrant, WaitList, WaitRequest, WaitSettings};
use ward_traffic::{ProblemReport, TrafficNotice};

const KEY: &str = "quotes@v1";

type Notices = Arc<Mutex<Vec<TrafficNotice>>>;

fn start_list(
    view: RoutingView,
    max_waiting: usize,
    max_per_replica: u32,
) -> (Arc<WaitList>, watch::Sender<Arc<RoutingView>>, Notices) {
    let (sender, receiver) = watch::channel(Arc::new(view));
    let notices = Notices::default();
    let log = Arc::clone(&notices);
    let settings = WaitSettings {
        max_waiting,
        max_per_replica,
        avoid_duration: TimeSpan::from_millis(250),
        zone: "a".parse().unwrap(),
        notice: Arc::new(move |notice| log.lock().unwrap().push(notice)),
    };
    (WaitList::new(settings, receiver), sender, notices)
}

fn request(reference: &str, priority: u8, limit: TimeSpan) -> WaitRequest {
    let priority = priority.try_into().unwrap();
    WaitRequest {
        request: RequestId::random(),
        once: false,
        target: RowTarget::Replica(KEY.parse().unwrap()),
        reference: Some(reference.parse().unwrap()),
        terms: RequestTerms::starting_now(limit, Some(priority)),
        priority,
        prefix_hash: 0,
        suspect: false,
        failed_backend: None,
    }
}

fn ready_view() -> ViewBuilder {
    ViewBuilder::new()
        .row(KEY, 1, true)
        .backend("e1", "127.0.0.1:1".parse().unwrap())
        .ready(KEY, "e1")
}

fn cold_view() -> ViewBuilder {
    ViewBuilder::new()
        .row(KEY, 1, true)
        .backend("e1", "127.0.0.1:1".parse().unwrap())
}

fn code(result: Result<SlotGrant, ProblemReport>) -> Option<ResultCode> {
    result.err().map(|report| report.code)
}

fn secs(seconds: u64) -> TimeSpan {
    TimeSpan::from_secs(seconds)
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn slot_goes_to_most_urgent() {
    let (list, _view, _) = start_list(ready_view().build(), 100, 1);
    let first = list.acquire(request("quotes", 7, secs(60))).await.unwrap();
    let order: Arc<Mutex<Vec<usize>>> = Arc::default();
    let waits = [(5, 10), (1, 50), (1, 20), (0, 90)];
    let tasks = waits.iter().enumerate().map(|(index, (priority, limit))| {
        let (list, order) = (Arc::clone(&list), Arc::clone(&order));
        let wait = request("quotes", *priority, secs(*limit));
        tokio::spawn(async move {
            let _grant = list.acquire(wait).await.unwrap();
            order.lock().unwrap().push(index);
        })
    });
    let tasks: Vec<_> = tasks.collect();
    tokio::time::sleep(Duration::from_millis(1)).await;
    let entries = list.requests();
    expect_that!(entries.len(), eq(5));
    let phases = entries
        .iter()
        .filter(|entry| entry.phase == EntryPhase::Running);
    expect_that!(phases.count(), eq(1));
    drop(first);
    for task in tasks {
        task.await.unwrap();
    }
    expect_that!(*order.lock().unwrap(), eq(&vec![3, 2, 1, 0]));
    expect_that!(list.requests(), is_empty());
    expect_that!(list.waiting_count(), eq(0));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn overflow_refuses_least_urgent() {
    let (list, _view, _) = start_list(cold_view().build(), 2, 1);
    let wait = |priority, limit| {
        let list = Arc::clone(&list);
        let wait = request("quotes", priority, secs(limit));
        tokio::spawn(async move { code(list.acquire(wait).await) })
    };
    let late = wait(5, 90);
    let soon = wait(5, 20);
    tokio::time::sleep(Duration::from_millis(1)).await;
    expect_that!(wait(5, 95).await.unwrap(), some(eq(ResultCode::QueueFull)));
    expect_that!(wait(6, 5).await.unwrap(), some(eq(ResultCode::QueueFull)));
    let urgent = wait(1, 95);
    expect_that!(late.await.unwrap(), some(eq(ResultCode::Overloaded)));
    let start = Instant::now();
    expect_that!(soon.await.unwrap(), some(eq(ResultCode::TooLate)));
    expect_that!(start.elapsed(), le(Duration::from_secs(21)));
    urgent.abort();
    let _ = urgent.await;
    expect_that!(list.waiting_count(), eq(0));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn late_start_refused_when_known() {
    let (list, view, _) = start_list(cold_view().build(), 10, 1);
    let waiter = Arc::clone(&list);
    let task = tokio::spawn(async move {
        let result = waiter.acquire(request("quotes", 3, secs(10))).await;
        (result.unwrap_err(), Instant::now())
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    let loading = cold_view().loading(KEY, "e1", secs(5));
    view.send_replace(Arc::new(loading.build()));
    list.sweep();
    expect_that!(list.waiting_count(), eq(1));
    let slower = cold_view().loading(KEY, "e1", secs(40));
    view.send_replace(Arc::new(slower.build()));
    list.sweep();
    let known_at = Instant::now();
    let (report, refused_at) = task.await.unwrap();
    expect_that!(report.code, eq(ResultCode::TooLate));
    expect_that!(report.retry_after.unwrap(), ge(secs(39)));
    expect_that!(
        refused_at.duration_since(known_at),
        lt(Duration::from_millis(50))
    );
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn withdrawn_version_moves_only_unpinned() {
    let (list, view, _) = start_list(cold_view().build(), 10, 1);
    let wait = |reference: &str| {
        let (list, wait) = (Arc::clone(&list), request(reference, 3, secs(60)));
        tokio::spawn(async move { list.acquire(wait).await })
    };
    let (unpinned, pinned) = (wait("quotes"), wait(KEY));
    tokio::time::sleep(Duration::from_millis(1)).await;
    let next = cold_view()
        .row("quotes@v2", 1, true)
        .without_row(KEY)
        .ready("quotes@v2", "e1");
    view.send_replace(Arc::new(next.build()));
    list.sweep();
    expect_that!(code(pinned.await.unwrap()), some(eq(ResultCode::Withdrawn)));
    let grant = unpinned.await.unwrap().unwrap();
    expect_that!(grant.target.to_string(), eq("quotes@v2"));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn hints_repeat_until_loading() {
    let (list, view, notices) = start_list(cold_view().build(), 10, 1);
    let tasks: Vec<_> = (0..3)
        .map(|priority| {
            let (list, wait) = (Arc::clone(&list), request("quotes", priority, secs(60)));
            tokio::spawn(async move { list.acquire(wait).await.map(drop) })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(1)).await;
    expect_that!(notices.lock().unwrap().len(), eq(1));
    list.send_notices();
    let last = notices.lock().unwrap().last().unwrap().clone();
    let TrafficNotice::Wanted { hint } = last else {
        panic!("the last notice is not a hint");
    };
    expect_that!((hint.waiting, hint.priority.level()), eq((3, 0)));
    let loading = cold_view().loading(KEY, "e1", secs(5));
    view.send_replace(Arc::new(loading.build()));
    list.send_notices();
    expect_that!(notices.lock().unwrap().len(), eq(2));
    view.send_replace(Arc::new(ready_view().build()));
    list.sweep();
    for task in tasks {
        task.await.unwrap().unwrap();
    }
    list.send_notices();
    let last = notices.lock().unwrap().last().unwrap().clone();
    expect_that!(
        matches!(last, TrafficNotice::Used { hint } if hint.waiting == 3),
        eq(true)
    );
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn leaving_backend_gets_nothing_new() {
    let (list, view, _) = start_list(ready_view().build(), 10, 1);
    let held = list.acquire(request("quotes", 3, secs(60))).await.unwrap();
    let waiter = Arc::clone(&list);
    let task = tokio::spawn(async move { waiter.acquire(request("quotes", 3, secs(5))).await });
    tokio::time::sleep(Duration::from_millis(1)).await;
    view.send_replace(Arc::new(ready_view().leaving("e1").build()));
    list.sweep();
    drop(held);
    expect_that!(code(task.await.unwrap()), some(eq(ResultCode::TooLate)));
}

#[googletest::test]
#[tokio::test]
async fn deadline_passes_in_queue() {
    let engine = FakeBackend::start(|request| {
        [vec![support::Step::Pause(400)], engine_reply(request)].concat()
    })
    .await;
    let limits = TrafficLimits {
        per_replica: 1,
        ..TrafficLimits::default()
    };
    let view = ViewBuilder::new()
        .row(KEY, 1, true)
        .backend("e1", engine.address)
        .ready(KEY, "e1");
    let server = TestServer::start(view.build(), limits).await;
    let late = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        server.chat("quotes", &[("request-timeout", "100")]).await
    };
    let (first, late) = tokio::join!(server.chat("quotes", &[]), late);
    expect_that!(first.status, eq(200));
    expect_that!(late.refusal(), eq("202 not_run"));
    expect_that!(engine.count(), eq(1));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn expected_wait_too_long_refused_at_once() {
    let (list, _view, _) = start_list(ready_view().build(), 100, 1);
    for _ in 0..8 {
        let grant = list.acquire(request("quotes", 3, secs(60))).await.unwrap();
        tokio::time::sleep(Duration::from_secs(4)).await;
        drop(grant);
    }
    let _held = list.acquire(request("quotes", 3, secs(60))).await.unwrap();
    let start = Instant::now();
    expect_that!(
        code(list.acquire(request("quotes", 3, secs(1))).await),
        some(eq(ResultCode::TooLate))
    );
    expect_that!(start.elapsed(), eq(Duration::ZERO));
    let waits = list.acquire(request("quotes", 3, secs(3)));
    expect_that!(code(waits.await), some(eq(ResultCode::TooLate)));
    expect_that!(start.elapsed(), ge(Duration::from_secs(3)));
}

#[googletest::test]
#[tokio::test]
async fn bodies_bounded_together() {
    let memory = BodyMemory::from_kib(12);
    let terms = RequestTerms::starting_now(secs(5), None);
    let limits = TrafficLimits::default();
    let read = || {
        let body = viz::Body::Full(vec![0; 8 << 10].into());
        read_body(body, &terms, &limits, &memory)
    };
    let first = read().await.unwrap();
    let share = first.slice(0..10);
    drop(first);
    expect_that!(read().await.unwrap_err().code, eq(ResultCode::QueueFull));
    drop(share);
    expect_that!(read().await.unwrap().len(), eq(8 << 10));
}
