//! Stand-in for the platform's store, which keeps all topics in memory.
//!
//! Its answers to calls hold no more than the platform's do.

mod partition;

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
    ReadCall, ServedTenant, StoreCall, append_answer, era_headers, gone_answer, manifest_json,
    newest_answer, parse_call, read_answer, split_keyed, split_records,
};
use ward_adapter::store::MANIFEST_KEY;
use ward_fleet::{ServingManifest, StoreEra};
use ward_protocol::{MemorySize, TimeSpan};

use crate::reply::{AbortConnection, StageBody, full_response};
use crate::serve::{StageServer, serve};

use partition::Partition;

/// Maximum time for which a read waits for a record.
const MAX_READ_WAIT: TimeSpan = TimeSpan::from_secs(30);
/// Maximum length of a record that is appended.
pub(crate) const STORE_RECORD: MemorySize = MemorySize::from_bytes(256 << 10);
/// Maximum length of all records that one call appends.
const MAX_CALL_BYTES: usize = 2 << 20;

/// Fault of the store, for all its calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    None,
    /// All calls are refused with status 503.
    Busy,
    /// Connections are closed without an answer, before a call takes effect.
    Reset,
    /// Calls neither take effect nor get an answer; connections stay open.
    Hang,
    /// The same for reads of the engines only.
    HangEngines,
    /// Each call takes effect and is answered after this delay.
    Slow(Duration),
    /// Appends take effect, but the connection is closed without an answer.
    LoseAppendAnswers,
}

/// A copy of all that a store holds.
pub struct StoreCopy {
    partitions: IndexMap<&'static str, Partition>,
}

struct StoreState {
    /// Topic whose next append gets no answer, and the time after which it takes effect.
    late_append: Mutex<Option<(StoreTopic, Duration)>>,
    partitions: Mutex<IndexMap<&'static str, Partition>>,
    fault: Mutex<StoreFault>,
    /// Number of times that the store came back from a copy.
    era: Mutex<StoreEra>,
    /// Notified when records are appended or the store comes back from a copy.
    appended: Notify,
}

/// A running store; stopped when dropped.
pub struct StageStore {
    state: Arc<StoreState>,
    server: StageServer,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StageStore {
    /// Starts an empty store on a free port of `ip`.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn start(ip: IpAddr) -> std::io::Result<Self> {
        let state = Arc::new(StoreState {
            late_append: Mutex::default(),
            partitions: Mutex::default(),
            fault: Mutex::new(StoreFault::None),
            era: Mutex::default(),
            appended: Notify::new(),
        });
        let shared = Arc::clone(&state);
        let server = serve(ip, move |request| answer(Arc::clone(&shared), request)).await?;
        Ok(Self { state, server })
    }

    /// Address on which the store listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the store's fault; [`StoreFault::None`] ends it.
    pub fn set_fault(&self, fault: StoreFault) {
        *lock(&self.state.fault) = fault;
    }

    /// Lets the next append to a topic take effect after a delay, without an answer.
    pub fn delay_append(&self, topic: StoreTopic, delay: Duration) {
        *lock(&self.state.late_append) = Some((topic, delay));
    }

    /// Appends a manifest, as operators do to put it in force.
    pub fn put_manifest(&self, manifest: &ServingManifest) {
        self.put_manifest_of(manifest, &[]);
    }

    /// Writes a manifest with these tenants.
    pub fn put_manifest_of(&self, manifest: &ServingManifest, tenants: &[ServedTenant]) {
        let value = manifest_json(manifest, tenants).into_bytes();
        self.state.append(StoreTopic::Manifest, MANIFEST_KEY, value);
    }

    /// Writes an engine's entry, or removes it if `value` is `None`.
    pub fn put_entry(&self, id: &str, value: Option<String>) {
        let value = value.unwrap_or_default().into_bytes();
        self.state.append(StoreTopic::Engines, id, value);
    }

    /// Keys of a topic's records.
    #[must_use]
    pub fn keys(&self, topic: StoreTopic) -> Vec<String> {
        let partitions = lock(&self.state.partitions);
        let partition = partitions.get(topic.label());
        let records = partition.map(Partition::newest_records);
        let keys = records.into_iter().flatten().map(|record| record.key);
        keys.collect()
    }

    /// Number of records that were appended to a topic with keys that satisfy a condition.
    #[must_use]
    pub fn count(&self, topic: StoreTopic, has_key: impl Fn(&str) -> bool) -> usize {
        let partitions = lock(&self.state.partitions);
        let partition = partitions.get(topic.label());
        let records = partition.into_iter().flat_map(|found| &found.records);
        records.filter(|record| has_key(&record.key)).count()
    }

    /// Copies all that the store holds now.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        let partitions = lock(&self.state.partitions).clone();
        StoreCopy { partitions }
    }

    /// Comes back from a copy: what was written since it was taken is gone, and waiting
    /// reads end without an answer. Engines and operators have to write again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut partitions = lock(&self.state.partitions);
        *partitions = copy.partitions;
        lock(&self.state.era).0 += 1;
        drop(partitions);
        self.state.appended.notify_waiters();
    }

    /// Compacts all topics: only the newest record of each key is kept, and none of
    /// a removed key. If that leaves gaps, reads from an offset before the end get status
    /// 410 from then on.
    pub fn compact(&self) {
        for partition in lock(&self.state.partitions).values_mut() {
            let newest = partition.newest_records();
            partition.records = newest;
        }
    }
}

impl StoreState {
    /// Appends one record.
    fn append(&self, topic: StoreTopic, key: &str, value: Vec<u8>) {
        let mut partitions = lock(&self.partitions);
        let partition = partitions.entry(topic.label()).or_default();
        partition.append(key.to_owned(), value);
        drop(partitions);
        self.appended.notify_waiters();
    }

    fn end(&self, topic: StoreTopic) -> u64 {
        lock(&self.partitions)
            .get(topic.label())
            .map_or(0, |partition| partition.end)
    }

    /// Appends all records, or none if the partition's end differs from `expected_end`
    /// or a record is malformed. Other appends wait meanwhile: of several at the same
    /// offset, only one may succeed.
    fn append_records(
        &self,
        topic: StoreTopic,
        expected_end: Option<u64>,
        body: &[u8],
    ) -> Response<StageBody> {
        let mut partitions = lock(&self.partitions);
        let partition = partitions.entry(topic.label()).or_default();
        let end = partition.end;
        if expected_end.is_some_and(|expected_end| expected_end != end) {
            return full_response(StatusCode::PRECONDITION_FAILED, append_answer(None, end));
        }
        let contents = split_records(body);
        let is_too_long = contents
            .iter()
            .any(|content| content.len() as u64 > STORE_RECORD.bytes());
        if is_too_long || body.len() > MAX_CALL_BYTES {
            return full_response(StatusCode::PAYLOAD_TOO_LARGE, Bytes::new());
        }
        let records: Option<Vec<_>> = contents
            .iter()
            .map(|content| split_keyed(content))
            .collect();
        let Some(records) = records else {
            return full_response(StatusCode::BAD_REQUEST, Bytes::new());
        };
        let first_offset = (!records.is_empty()).then_some(end);
        for (key, value) in records {
            partition.append(key, value);
        }
        let end = partition.end;
        drop(partitions);
        self.appended.notify_waiters();
        full_response(StatusCode::OK, append_answer(first_offset, end))
    }

    async fn read(&self, call: ReadCall) -> Result<Response<StageBody>, AbortConnection> {
        let ReadCall { topic, from, .. } = call;
        let era = *lock(&self.era);
        let appended = self.appended.notified();
        if self.end(topic) <= from {
            let wait = call.wait.min(MAX_READ_WAIT).duration();
            drop(tokio::time::timeout(wait, appended).await);
        }
        let partitions = lock(&self.partitions);
        if *lock(&self.era) != era {
            return Err(AbortConnection);
        }
        let empty = Partition::default();
        let partition = partitions.get(topic.label()).unwrap_or(&empty);
        let first_offset = partition.first_offset();
        if from < first_offset || from > partition.end {
            return Ok(full_response(StatusCode::GONE, gone_answer(first_offset)));
        }
        let records = partition.records_from(from, call.max_bytes);
        Ok(full_response(
            StatusCode::OK,
            read_answer(partition.end, first_offset, records),
        ))
    }

    fn read_newest(&self, topic: StoreTopic, after: Option<&str>) -> Response<StageBody> {
        let partitions = lock(&self.partitions);
        let empty = Partition::default();
        let partition = partitions.get(topic.label()).unwrap_or(&empty);
        let (page, truncated) = partition.newest_page(after);
        full_response(
            StatusCode::OK,
            newest_answer(&page, truncated, partition.end),
        )
    }
}

async fn answer(
    state: Arc<StoreState>,
    request: Request<Incoming>,
) -> Result<Response<StageBody>, AbortConnection> {
    let mut response = answer_call(&state, request).await?;
    let era = *lock(&state.era);
    response.headers_mut().extend(era_headers(era));
    Ok(response)
}

async fn answer_call(
    state: &Arc<StoreState>,
    request: Request<Incoming>,
) -> Result<Response<StageBody>, AbortConnection> {
    let fault = *lock(&state.fault);
    match fault {
        StoreFault::Busy => {
            return Ok(full_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
        }
        StoreFault::Reset => return Err(AbortConnection),
        StoreFault::Hang => std::future::pending().await,
        StoreFault::Slow(span) => tokio::time::sleep(span).await,
        StoreFault::None | StoreFault::LoseAppendAnswers | StoreFault::HangEngines => {}
    }
    let query = request.uri().query().unwrap_or_default();
    let call = parse_call(request.uri().path(), query);
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_| AbortConnection)?;
    let reads_engines = matches!(
        call,
        Some(
            StoreCall::Read(ReadCall {
                topic: StoreTopic::Engines,
                ..
            }) | StoreCall::Newest(StoreTopic::Engines, _)
        )
    );
    if fault == StoreFault::HangEngines && reads_engines {
        std::future::pending::<()>().await;
    }
    match call {
        Some(StoreCall::Append(topic, expected_end)) => {
            let late = lock(&state.late_append).take_if(|late| late.0 == topic);
            if let Some((_, delay)) = late {
                let (state, body) = (Arc::clone(state), body.to_bytes());
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    state.append_records(topic, expected_end, &body);
                });
                return std::future::pending().await;
            }
            let response = state.append_records(topic, expected_end, &body.to_bytes());
            if fault == StoreFault::LoseAppendAnswers {
                return Err(AbortConnection);
            }
            Ok(response)
        }
        Some(StoreCall::Read(call)) => state.read(call).await,
        Some(StoreCall::Newest(topic, after)) => Ok(state.read_newest(topic, after.as_deref())),
        None => Ok(full_response(StatusCode::NOT_FOUND, Bytes::new())),
    }
}
