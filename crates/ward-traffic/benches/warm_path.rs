//! Benchmark of requests to a ready replica: throughput in a closed loop, and the
//! latency that the server adds at a fixed rate.
//!
//! `cargo bench -p ward-traffic` prints both. Callers, engines and the server run in
//! one process on separate threads and connect over 127.0.0.1.

use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::FutureExt;
use http::header::CONTENT_TYPE;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use ward_protocol::{
    BackendRoute, MemorySize, ModelEntry, PlanCatalog, PlanRow, PriorityLevel, ReadyReplica,
    ReplicaKey, ReservationId, RoutingView, RowTarget, TrafficLimits, ViewMode,
};
use ward_traffic::{BeginAnswer, CallerServer, OnceCalls, ServerParts};

const KEY: &str = "quotes@v1";
const ENGINES: u64 = 4;
const SERVER_THREADS: usize = 4;
const LOOP_CALLERS: usize = 64;
const LOOP_TIME: Duration = Duration::from_secs(5);
const RATE_CALLERS: u32 = 20;
const RATE_PER_SECOND: u32 = 1_000;
const RATE_REQUESTS: u32 = 250;
const BODY: &str = r#"{"model":"quotes","messages":[{"role":"user","content":"white covers for 120 chairs on Saturday"}]}"#;

type AnyError = Box<dyn Error + Send + Sync>;
type Sender = SendRequest<Full<Bytes>>;

fn runtime(threads: usize) -> Result<Runtime, AnyError> {
    Ok(Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()?)
}

async fn answer(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let id = request.headers().get("x-request-id").cloned();
    let text = id.as_ref().and_then(|id| id.to_str().ok());
    let body = format!("{{\"id\":\"{}\",\"choices\":[]}}", text.unwrap_or_default());
    let _ = request.into_body().collect().await;
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    if let Some(id) = id {
        response.headers_mut().insert("x-request-id", id);
    }
    Ok(response)
}

async fn run_engine(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let served = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service_fn(answer));
        tokio::spawn(async move { drop(served.await) });
    }
}

fn build_view(addresses: &[SocketAddr]) -> Result<RoutingView, AnyError> {
    let key: ReplicaKey = KEY.parse()?;
    let row = PlanRow {
        target: RowTarget::Replica(key.clone()),
        zones: Vec::new(),
        roles: Vec::new(),
        replicas: 4,
        ready: 4,
        ready_from: None,
        priority: PriorityLevel::default(),
        memory: MemorySize::from_gib(1),
        repeatable: true,
    };
    let mut catalog = PlanCatalog::default();
    let versions = vec![key.version.clone()];
    catalog
        .models
        .insert(key.model.clone(), ModelEntry { versions });
    catalog.rows.insert(row.target.clone(), Arc::new(row));
    let mut view = RoutingView {
        mode: ViewMode::Full,
        catalog: Arc::new(catalog),
        ..RoutingView::default()
    };
    for (index, address) in addresses.iter().enumerate() {
        let backend: ward_protocol::BackendId = format!("e{index}").parse()?;
        let route = BackendRoute {
            address: *address,
            zone: "a".parse()?,
            leaving: false,
            load: 0,
        };
        view.backends.insert(backend.clone(), route);
        let reservation = ReservationId(index as u64 + 1);
        let replica = ReadyReplica {
            reservation,
            backend,
        };
        view.ready.entry(key.clone()).or_default().push(replica);
    }
    Ok(view)
}

fn unavailable_once_calls() -> OnceCalls {
    OnceCalls {
        begin: Arc::new(|_, _, _| async { BeginAnswer::LogDown }.boxed()),
        done: Arc::new(|_, _| async {}.boxed()),
        abort: Arc::new(|_| async {}.boxed()),
        doubt: Arc::new(|_| async {}.boxed()),
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, AnyError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, driver) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(driver);
    Ok(sender)
}

async fn send_chat(sender: &mut Sender) -> Result<(), AnyError> {
    let request = Request::post("/v1/chat/completions")
        .header("host", "x")
        .header("x-request-id", "0123456789abcdef0123456789abcdef")
        .body(Full::new(Bytes::from_static(BODY.as_bytes())))?;
    sender.ready().await?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    response.into_body().collect().await?;
    if status.is_success() {
        return Ok(());
    }
    Err(format!("status {status}").into())
}

async fn closed_loop(address: SocketAddr) -> Result<f64, AnyError> {
    let count = Arc::new(AtomicU64::new(0));
    let end = Instant::now() + LOOP_TIME;
    let mut tasks = Vec::new();
    for _ in 0..LOOP_CALLERS {
        let count = Arc::clone(&count);
        let mut sender = connect(address).await?;
        tasks.push(tokio::spawn(async move {
            while Instant::now() < end {
                send_chat(&mut sender).await?;
                count.fetch_add(1, Ordering::Relaxed);
            }
            Ok::<_, AnyError>(())
        }));
    }
    for task in tasks {
        task.await??;
    }
    #[allow(clippy::cast_precision_loss)]
    let count = count.load(Ordering::Relaxed) as f64;
    Ok(count / LOOP_TIME.as_secs_f64())
}

/// Median and 99th percentile of the request latency at a fixed rate.
async fn fixed_rate(address: SocketAddr) -> Result<(Duration, Duration), AnyError> {
    let gap = Duration::from_secs(1) * RATE_CALLERS / RATE_PER_SECOND;
    let mut tasks = Vec::new();
    for caller in 0..RATE_CALLERS {
        let mut sender = connect(address).await?;
        tasks.push(tokio::spawn(async move {
            let mut times = Vec::new();
            tokio::time::sleep(gap * caller / RATE_CALLERS).await;
            let mut ticks = tokio::time::interval(gap);
            for _ in 0..RATE_REQUESTS {
                ticks.tick().await;
                let start = Instant::now();
                send_chat(&mut sender).await?;
                times.push(start.elapsed());
            }
            Ok::<_, AnyError>(times)
        }));
    }
    let mut times = Vec::new();
    for task in tasks {
        times.extend(task.await??);
    }
    times.sort_unstable();
    let percentile = |percent: usize| times[times.len() * percent / 100];
    Ok((percentile(50), percentile(99)))
}

fn main() -> Result<(), AnyError> {
    let (engines, server, callers) = (runtime(2)?, runtime(SERVER_THREADS)?, runtime(2)?);
    let mut addresses = Vec::new();
    for _ in 0..ENGINES {
        let listener = engines.block_on(TcpListener::bind("127.0.0.1:0"))?;
        addresses.push(listener.local_addr()?);
        engines.spawn(run_engine(listener));
    }
    let (_view, receiver) = watch::channel(Arc::new(build_view(&addresses)?));
    let parts = ServerParts {
        daemon: "d1".parse()?,
        zone: "a".parse()?,
        limits: TrafficLimits::default(),
        view: receiver,
        notice: Arc::new(|_| {}),
        once: unavailable_once_calls(),
        registry: prometheus::Registry::new(),
        logger: slog::Logger::root(slog::Discard, slog::o!()),
    };
    let handle = server.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        Ok::<_, AnyError>(CallerServer::start(listener, parts)?)
    })?;
    let direct = callers.block_on(fixed_rate(addresses[0]))?;
    let through = callers.block_on(fixed_rate(handle.address()))?;
    let rate = callers.block_on(closed_loop(handle.address()))?;
    println!(
        "at {RATE_PER_SECOND} requests/s: direct p50 {:?} p99 {:?}",
        direct.0, direct.1
    );
    println!(
        "at {RATE_PER_SECOND} requests/s: through p50 {:?} p99 {:?}",
        through.0, through.1
    );
    println!("closed loop of {LOOP_CALLERS} callers: {rate:.0} requests/s");
    Ok(())
}
