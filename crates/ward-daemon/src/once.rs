//! Connects the request path to the store of idempotency keys, by which a call that may
//! not be repeated runs at most once.

use std::sync::Arc;

use futures::FutureExt;
use ward_once::{BeginOutcome, OnceStore, ShardPorts, ShardRead, ShardReadError};
use ward_platform::{AppendQueue, LogClient};
use ward_protocol::{LogStream, RequestRecord, TimeSpan};
use ward_traffic::{BeginAnswer, KeptAnswer, OnceCalls};

const MAX_READ_RECORDS: usize = 1_000;

/// Ports of one shard that read and append its stream of the platform's log; a read
/// waits up to `wait` for new records.
#[must_use]
pub fn shard_ports(
    client: LogClient,
    queue: AppendQueue,
    shard: u16,
    wait: TimeSpan,
) -> ShardPorts {
    let stream = LogStream::Requests(shard);
    ShardPorts {
        append: Box::new(move |bytes| {
            let queue = queue.clone();
            async move { queue.append(bytes).await }.boxed()
        }),
        read: Box::new(move |from| {
            let client = client.clone();
            async move {
                let read = client.read(stream, from, MAX_READ_RECORDS, wait).await;
                match read {
                    Ok(read) => Ok(ShardRead {
                        records: read.records,
                        end: read.end,
                    }),
                    Err(cause) => Err(ShardReadError::Log(cause.to_string())),
                }
            }
            .boxed()
        }),
    }
}

/// The calls that the request path makes around a keyed request, handled by `store`.
#[must_use]
pub fn once_calls(store: &Arc<OnceStore>) -> OnceCalls {
    let (begin, done) = (Arc::clone(store), Arc::clone(store));
    let (abort, doubt) = (Arc::clone(store), Arc::clone(store));
    OnceCalls {
        begin: Arc::new(move |key, fingerprint, deadline| {
            let store = Arc::clone(&begin);
            async move { begin_answer(store.begin(&key, fingerprint, deadline).await) }.boxed()
        }),
        done: Arc::new(move |key, answer| {
            let record = RequestRecord::Done {
                status: answer.status,
                content_type: answer.content_type,
                body: answer.body,
            };
            wait_for_task(done.finish(&key, record))
        }),
        abort: Arc::new(move |key| wait_for_task(abort.finish(&key, RequestRecord::Abort))),
        doubt: Arc::new(move |key| wait_for_task(doubt.finish(&key, RequestRecord::Doubt))),
    }
}

fn wait_for_task(task: tokio::task::JoinHandle<()>) -> futures::future::BoxFuture<'static, ()> {
    task.map(|_| ()).boxed()
}

fn begin_answer(outcome: BeginOutcome) -> BeginAnswer {
    match outcome {
        BeginOutcome::Send => BeginAnswer::Send,
        BeginOutcome::Kept(answer) => match answer.body {
            Some(body) => BeginAnswer::Kept(KeptAnswer {
                status: answer.status,
                content_type: answer.content_type,
                body,
            }),
            None => BeginAnswer::KeptWithoutBody,
        },
        BeginOutcome::AnswerLost => BeginAnswer::KeptWithoutBody,
        BeginOutcome::InDoubt => BeginAnswer::InDoubt,
        BeginOutcome::Running => BeginAnswer::Running,
        BeginOutcome::KeyReused => BeginAnswer::KeyReused,
        BeginOutcome::KeyExpired => BeginAnswer::KeyExpired,
        BeginOutcome::LogDown => BeginAnswer::LogDown,
    }
}
