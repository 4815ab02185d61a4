//! Batches records queued for one stream into one append.
//!
//! The log takes several hundred appends a second from all its clients
//! together, so records that arrive while an append is in flight go into one
//! batch, the next append. Only one append is in flight at a time, which keeps
//! the records in order, except after an append in doubt, which may be stored
//! late or never. A fixed delay to collect more records would only add latency
//! to a single record.

use prometheus::{Histogram, HistogramOpts, IntCounter, Registry};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use ward_protocol::{AppendResult, LogStream, TimeSpan};

use super::client::LogClient;

const WAIT_BUCKETS: [f64; 9] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0];

/// Bounds of an append queue.
#[derive(Debug, Clone, Copy)]
pub struct QueueLimits {
    /// Maximum number of records that wait; a further one is refused.
    pub max_waiting: usize,
    /// Maximum number of records in one append.
    pub max_batch_records: usize,
    /// Maximum number of bytes in one append; a larger record is appended alone.
    pub max_batch_bytes: usize,
    /// Time in the queue after which a record is refused without being sent.
    pub max_wait: TimeSpan,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            max_waiting: 4_096,
            max_batch_records: 512,
            max_batch_bytes: 1 << 20,
            max_wait: TimeSpan::from_secs(2),
        }
    }
}

/// A record waiting to be appended.
#[derive(Debug)]
struct QueuedRecord {
    bytes: Vec<u8>,
    queued_at: Instant,
    result: oneshot::Sender<AppendResult>,
}

#[derive(Debug, Clone)]
struct QueueMetrics {
    wait: Histogram,
    appends: IntCounter,
    records: IntCounter,
    refused: IntCounter,
}

/// Appends single records to one stream; clones share the queue.
#[derive(Debug, Clone)]
pub struct AppendQueue {
    sender: mpsc::Sender<QueuedRecord>,
    metrics: QueueMetrics,
}

impl AppendQueue {
    /// Starts a queue on the current Tokio runtime; it ends when its last clone is dropped.
    ///
    /// # Errors
    /// The registry already holds the metrics of a queue for this stream.
    pub fn start(
        client: LogClient,
        stream: LogStream,
        limits: QueueLimits,
        registry: &Registry,
    ) -> Result<Self, prometheus::Error> {
        let metrics = QueueMetrics::new(stream, registry)?;
        let (sender, receiver) = mpsc::channel(limits.max_waiting.max(1));
        let worker = QueueWorker {
            client,
            stream,
            limits,
            metrics: metrics.clone(),
            receiver,
            overflow: None,
        };
        tokio::spawn(worker.run());
        Ok(Self { sender, metrics })
    }

    /// Appends one record; returns `Refused` also when the queue is full.
    ///
    /// The record may be stored even if the caller drops the returned future.
    pub async fn append(&self, bytes: Vec<u8>) -> AppendResult {
        let (result, answer) = oneshot::channel();
        let record = QueuedRecord {
            bytes,
            queued_at: Instant::now(),
            result,
        };
        if self.sender.try_send(record).is_err() {
            self.metrics.refused.inc();
            return AppendResult::Refused;
        }
        // The worker ended without a result: it may have sent the record.
        answer.await.unwrap_or(AppendResult::Unknown)
    }
}

impl QueueMetrics {
    fn new(stream: LogStream, registry: &Registry) -> Result<Self, prometheus::Error> {
        let label = |name: &str, help: &str| {
            prometheus::Opts::new(name, help).const_label("stream", stream.to_string())
        };
        let wait = label(
            "ward_log_append_wait_seconds",
            "Time that a record waits to be sent.",
        );
        let wait = HistogramOpts::from(wait).buckets(WAIT_BUCKETS.to_vec());
        let appends = label("ward_log_appends_total", "Appends sent.");
        let records = label("ward_log_append_records_total", "Records sent.");
        let refused = label("ward_log_append_refused_total", "Records given up unsent.");
        let metrics = Self {
            wait: Histogram::with_opts(wait)?,
            appends: IntCounter::with_opts(appends)?,
            records: IntCounter::with_opts(records)?,
            refused: IntCounter::with_opts(refused)?,
        };
        registry.register(Box::new(metrics.wait.clone()))?;
        registry.register(Box::new(metrics.appends.clone()))?;
        registry.register(Box::new(metrics.records.clone()))?;
        registry.register(Box::new(metrics.refused.clone()))?;
        Ok(metrics)
    }
}

/// Task that takes records from the queue and appends them.
struct QueueWorker {
    client: LogClient,
    stream: LogStream,
    limits: QueueLimits,
    metrics: QueueMetrics,
    receiver: mpsc::Receiver<QueuedRecord>,
    /// Record that exceeded the byte limit of the last append; it begins the next one.
    overflow: Option<QueuedRecord>,
}

impl QueueWorker {
    async fn run(mut self) {
        while let Some(first) = self.next_record().await {
            let batch = self.collect_batch(first);
            self.send(batch).await;
        }
    }

    async fn next_record(&mut self) -> Option<QueuedRecord> {
        match self.overflow.take() {
            Some(record) => Some(record),
            None => self.receiver.recv().await,
        }
    }

    /// Collects waiting records up to the limits of one append; refuses those past `max_wait`.
    fn collect_batch(&mut self, first: QueuedRecord) -> Vec<QueuedRecord> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        let mut next = Some(first);
        while let Some(record) = next {
            if record.queued_at.elapsed() > self.limits.max_wait.duration() {
                self.metrics.refused.inc();
                // The caller may have stopped waiting.
                let _ = record.result.send(AppendResult::Refused);
            } else {
                bytes += record.bytes.len();
                if bytes > self.limits.max_batch_bytes && !batch.is_empty() {
                    self.overflow = Some(record);
                    return batch;
                }
                batch.push(record);
            }
            if batch.len() >= self.limits.max_batch_records {
                return batch;
            }
            next = self.receiver.try_recv().ok();
        }
        batch
    }

    async fn send(&self, batch: Vec<QueuedRecord>) {
        if batch.is_empty() {
            return;
        }
        self.metrics.appends.inc();
        self.metrics.records.inc_by(batch.len() as u64);
        let mut records = Vec::with_capacity(batch.len());
        let mut results = Vec::with_capacity(batch.len());
        for record in batch {
            self.metrics
                .wait
                .observe(record.queued_at.elapsed().as_secs_f64());
            records.push(record.bytes);
            results.push(record.result);
        }
        let result = match self.client.append(self.stream, records).await {
            Ok(_) => AppendResult::Stored,
            Err(error) => error.result(),
        };
        for sender in results {
            // The caller may have stopped waiting.
            let _ = sender.send(result);
        }
    }
}
