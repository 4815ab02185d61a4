//! State transfer between daemons over TCP.
//!
//! A daemon that cannot reach the log asks a peer for what it lacks, and an
//! operator's question about all daemons is passed on. One request and one
//! answer go over a connection, each a length, a keyed hash and a `postcard`
//! value.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use slog::{Logger, debug};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use ward_protocol::codec::{CodecError, decode, encode};
use ward_protocol::{LogOffset, LogStream, PlanRevision};

use crate::seal::{PeerKeys, SealError};

const MAX_REQUEST_BYTES: u32 = 1 << 10;
const MAX_ANSWER_BYTES: u32 = 64 << 20;
const MAX_CONCURRENT_TRANSFERS: usize = 4;
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);

quick_error! {
    /// A transfer that failed.
    #[derive(Debug)]
    pub enum TransferError {
        /// The connection failed.
        Connection(cause: io::Error) {
            from()
            display("the peer cannot be reached: {cause}")
            source(cause)
        }
        /// The message is not authentic.
        Seal(cause: SealError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// The message cannot be decoded.
        Codec(cause: CodecError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// The message is longer than allowed.
        TooLong(bytes: u32) {
            display("the peer announced a message of {bytes} bytes, more than allowed")
        }
        /// The peer answered another question.
        UnexpectedAnswer {
            display("the peer answered another question")
        }
        /// The peer took too long.
        Timeout {
            display("the peer did not answer in time")
        }
    }
}

/// What one daemon asks another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// For what it lacks.
    State(StateRequest),
    /// How far it is.
    Level,
}

/// What one daemon answers another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// What the asker lacks.
    State(StateAnswer),
    /// How far it is.
    Level(LevelReport),
}

/// How far a daemon is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelReport {
    /// Control offset that it has applied.
    pub applied: LogOffset,
    /// Plan revision that it has in force.
    pub adopted: PlanRevision,
}

/// What a daemon lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateRequest {
    /// Control offset up to which the asker has applied.
    pub applied: LogOffset,
    /// Plan offset up to which the asker has read.
    pub plan: LogOffset,
}

/// Records of one stream, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecords {
    /// Which stream.
    pub stream: LogStream,
    /// Offsets with the records' bytes.
    pub records: Vec<OffsetRecord>,
}

/// A record with its offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OffsetRecord {
    /// Its offset.
    pub offset: LogOffset,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// What a peer has beyond the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateAnswer {
    /// Nothing newer.
    Nothing,
    /// The records that follow.
    Records(Vec<StreamRecords>),
    /// The whole encoded control state.
    Snapshot(Vec<u8>),
}

/// Asks a peer for what this daemon lacks.
///
/// # Errors
/// When the peer is not reached, takes too long, or answers something invalid.
pub async fn fetch_state(
    peer: SocketAddr,
    keys: &PeerKeys,
    request: StateRequest,
) -> Result<StateAnswer, TransferError> {
    let request = PeerRequest::State(request);
    match exchange(peer, keys, request, TRANSFER_TIMEOUT).await? {
        PeerAnswer::State(answer) => Ok(answer),
        PeerAnswer::Level(_) => Err(TransferError::UnexpectedAnswer),
    }
}

/// Asks a peer how far it is, within `time_limit`.
///
/// # Errors
/// When the peer is not reached, takes too long, or answers something invalid.
pub async fn fetch_level(
    peer: SocketAddr,
    keys: &PeerKeys,
    time_limit: Duration,
) -> Result<LevelReport, TransferError> {
    match exchange(peer, keys, PeerRequest::Level, time_limit).await? {
        PeerAnswer::Level(report) => Ok(report),
        PeerAnswer::State(_) => Err(TransferError::UnexpectedAnswer),
    }
}

async fn exchange(
    peer: SocketAddr,
    keys: &PeerKeys,
    request: PeerRequest,
    time_limit: Duration,
) -> Result<PeerAnswer, TransferError> {
    let exchange = async {
        let mut stream = TcpStream::connect(peer).await?;
        write_message(&mut stream, keys, &request).await?;
        read_message(&mut stream, keys, MAX_ANSWER_BYTES).await
    };
    timeout(time_limit, exchange)
        .await
        .unwrap_or(Err(TransferError::Timeout))
}

/// Answers peers' requests, for ever; at most four at a time.
pub async fn serve_peers<F>(
    listener: TcpListener,
    keys: PeerKeys,
    logger: Logger,
    answer: impl Fn(PeerRequest) -> F + Send + Sync + 'static,
) where
    F: Future<Output = PeerAnswer> + Send + 'static,
{
    let answer = Arc::new(answer);
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_TRANSFERS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(cause) => {
                debug!(logger, "peer: accept failed"; "cause" => %cause);
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let keys = keys.clone();
        let logger = logger.clone();
        let answer = Arc::clone(&answer);
        tokio::spawn(async move {
            let exchange = serve_connection(stream, &keys, answer.as_ref());
            match timeout(TRANSFER_TIMEOUT, exchange).await {
                Ok(Ok(())) => {}
                Ok(Err(cause)) => {
                    debug!(logger, "peer: transfer failed"; "from" => %from, "cause" => %cause);
                }
                Err(_) => debug!(logger, "peer: transfer timed out"; "from" => %from),
            }
            drop(permit);
        });
    }
}

async fn serve_connection<F>(
    mut stream: TcpStream,
    keys: &PeerKeys,
    answer: &(impl Fn(PeerRequest) -> F + Sync),
) -> Result<(), TransferError>
where
    F: Future<Output = PeerAnswer> + Send,
{
    let request = read_message(&mut stream, keys, MAX_REQUEST_BYTES).await?;
    let answer = answer(request).await;
    write_message(&mut stream, keys, &answer).await
}

async fn write_message(
    stream: &mut TcpStream,
    keys: &PeerKeys,
    message: &(impl Serialize + Sync),
) -> Result<(), TransferError> {
    let sealed = keys.seal(&encode(message)?);
    let length = u32::try_from(sealed.len()).map_err(|_| TransferError::TooLong(u32::MAX))?;
    stream.write_u32(length).await?;
    stream.write_all(&sealed).await?;
    stream.flush().await?;
    Ok(())
}

async fn read_message<T: DeserializeOwned>(
    stream: &mut TcpStream,
    keys: &PeerKeys,
    max_bytes: u32,
) -> Result<T, TransferError> {
    let length = stream.read_u32().await?;
    if length > max_bytes {
        return Err(TransferError::TooLong(length));
    }
    let mut sealed = Vec::new();
    stream.take(length.into()).read_to_end(&mut sealed).await?;
    Ok(decode(keys.open(&sealed)?)?)
}
