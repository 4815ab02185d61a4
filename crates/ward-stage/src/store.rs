//! The platform's store, in memory.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use indexmap::IndexMap;
use tokio::sync::Notify;
use ward_adapter::StoreTopic;
use ward_adapter::served::{
    StoreCall, StoredRecord, append_answer, manifest_json, newest_answer, parse_call, read_answer,
    split_keyed, split_records,
};
use ward_adapter::store::MANIFEST_KEY;
use ward_fleet::ServingManifest;
use ward_protocol::TimeSpan;

use crate::reply::{BreakOff, StageBody, whole};
use crate::serve::{StageServer, serve};

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// It does not.
    None,
    /// It refuses all calls.
    Busy,
    /// It closes connections without an answer.
    Reset,
    /// It never answers.
    Hang,
    /// Each answer takes this long.
    Slow(Duration),
    /// Appends are done and not answered.
    LoseAppendAnswers,
}

#[derive(Default)]
struct Partition {
    records: Vec<StoredRecord>,
    end: u64,
}

struct StoreState {
    partitions: Mutex<IndexMap<&'static str, Partition>>,
    fault: Mutex<StoreFault>,
    appended: Notify,
}

/// The store.
pub struct StageStore {
    state: Arc<StoreState>,
    server: StageServer,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StageStore {
    /// Starts an empty store on a loopback address.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn start(ip: IpAddr) -> std::io::Result<Self> {
        let state = Arc::new(StoreState {
            partitions: Mutex::default(),
            fault: Mutex::new(StoreFault::None),
            appended: Notify::new(),
        });
        let shared = Arc::clone(&state);
        let server = serve(ip, move |request| answer(Arc::clone(&shared), request)).await?;
        Ok(Self { state, server })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Makes it misbehave, or behave again.
    pub fn set_fault(&self, fault: StoreFault) {
        *lock(&self.state.fault) = fault;
    }

    /// Writes a manifest, as the operator does.
    pub fn put_manifest(&self, manifest: &ServingManifest) {
        let value = manifest_json(manifest).into_bytes();
        self.state.append(StoreTopic::Manifest, MANIFEST_KEY, value);
    }

    /// Writes or removes an engine's entry.
    pub fn put_entry(&self, id: &str, value: Option<String>) {
        let value = value.unwrap_or_default().into_bytes();
        self.state.append(StoreTopic::Engines, id, value);
    }

    /// Forgets the history of all topics; the newest record of each key stays.
    pub fn compact(&self) {
        for partition in lock(&self.state.partitions).values_mut() {
            let newest = partition.newest();
            partition.records = newest;
        }
    }
}

impl Partition {
    fn newest(&self) -> Vec<StoredRecord> {
        let mut newest: IndexMap<&str, &StoredRecord> = IndexMap::new();
        for record in &self.records {
            newest.insert(&record.key, record);
        }
        let live = newest
            .into_values()
            .filter(|record| !record.value.is_empty());
        live.cloned().collect()
    }

    /// Offset from which on all records are there.
    fn first(&self) -> u64 {
        let kept = self.records.len() as u64;
        let whole = self
            .records
            .first()
            .is_some_and(|record| record.offset + kept == self.end);
        if whole { self.end - kept } else { self.end }
    }
}

impl StoreState {
    fn append(&self, topic: StoreTopic, key: &str, value: Vec<u8>) -> u64 {
        let mut partitions = lock(&self.partitions);
        let partition = partitions.entry(name(topic)).or_default();
        let offset = partition.end;
        partition.records.push(StoredRecord {
            key: key.to_owned(),
            value,
            offset,
        });
        partition.end += 1;
        drop(partitions);
        self.appended.notify_waiters();
        offset
    }

    fn end(&self, topic: StoreTopic) -> u64 {
        lock(&self.partitions)
            .get(name(topic))
            .map_or(0, |partition| partition.end)
    }

    fn append_at(&self, topic: StoreTopic, at: Option<u64>, body: &[u8]) -> Response<StageBody> {
        let end = self.end(topic);
        if at.is_some_and(|at| at != end) {
            return whole(StatusCode::PRECONDITION_FAILED, append_answer(None, end));
        }
        let mut first = None;
        for content in split_records(body) {
            let Some((key, value)) = split_keyed(&content) else {
                return whole(StatusCode::BAD_REQUEST, Bytes::new());
            };
            let offset = self.append(topic, &key, value);
            first = first.or(Some(offset));
        }
        whole(StatusCode::OK, append_answer(first, self.end(topic)))
    }

    async fn read(&self, topic: StoreTopic, from: u64, wait: TimeSpan) -> Response<StageBody> {
        let appended = self.appended.notified();
        if self.end(topic) <= from {
            drop(tokio::time::timeout(wait.duration(), appended).await);
        }
        let partitions = lock(&self.partitions);
        let empty = Partition::default();
        let partition = partitions.get(name(topic)).unwrap_or(&empty);
        let first = partition.first();
        if from < first {
            let body = append_answer(None, partition.end);
            return whole(StatusCode::GONE, body);
        }
        let records: Vec<_> = partition
            .records
            .iter()
            .filter(|record| record.offset >= from)
            .cloned()
            .collect();
        whole(StatusCode::OK, read_answer(partition.end, first, &records))
    }

    fn newest(&self, topic: StoreTopic) -> Response<StageBody> {
        let partitions = lock(&self.partitions);
        let empty = Partition::default();
        let partition = partitions.get(name(topic)).unwrap_or(&empty);
        whole(
            StatusCode::OK,
            newest_answer(&partition.newest(), partition.end),
        )
    }
}

const fn name(topic: StoreTopic) -> &'static str {
    match topic {
        StoreTopic::Manifest => "manifest",
        StoreTopic::Engines => "engines",
        StoreTopic::Coordinator => "coordinator",
    }
}

async fn answer(
    state: Arc<StoreState>,
    request: Request<Incoming>,
) -> Result<Response<StageBody>, BreakOff> {
    let fault = *lock(&state.fault);
    match fault {
        StoreFault::Busy => return Ok(whole(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())),
        StoreFault::Reset => return Err(BreakOff),
        StoreFault::Hang => std::future::pending().await,
        StoreFault::Slow(span) => tokio::time::sleep(span).await,
        StoreFault::None | StoreFault::LoseAppendAnswers => {}
    }
    let query = request.uri().query().unwrap_or_default();
    let call = parse_call(request.uri().path(), query);
    let body = request.into_body().collect().await.map_err(|_| BreakOff)?;
    match call {
        Some(StoreCall::Append(topic, at)) => {
            let response = state.append_at(topic, at, &body.to_bytes());
            if fault == StoreFault::LoseAppendAnswers {
                return Err(BreakOff);
            }
            Ok(response)
        }
        Some(StoreCall::Read(topic, from, wait)) => Ok(state.read(topic, from, wait).await),
        Some(StoreCall::Newest(topic)) => Ok(state.newest(topic)),
        None => Ok(whole(StatusCode::NOT_FOUND, Bytes::new())),
    }
}
