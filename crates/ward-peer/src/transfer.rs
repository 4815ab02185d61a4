//! State transfer between daemons over TCP.
//!
//! A daemon that cannot reach the log fetches the records that it lacks from a
//! peer. To answer an operator's request about all daemons, a daemon queries each
//! of them for the offset and plan revision that it has reached. A connection
//! carries one request and one answer; each consists of a length, a keyed hash and
//! a `postcard` value.

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
    /// Why a transfer failed.
    #[derive(Debug)]
    pub enum TransferError {
        /// The connection could not be opened or broke.
        Connection(cause: io::Error) {
            from()
            display("the peer cannot be reached: {cause}")
            source(cause)
        }
        /// The hash of the message is missing or invalid.
        Seal(cause: SealError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// The message cannot be encoded or decoded.
        Codec(cause: CodecError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// The length of the message is over the limit.
        TooLong(bytes: u32) {
            display("the peer announced a message of {bytes} bytes, more than allowed")
        }
        /// The answer is of another kind than the request.
        UnexpectedAnswer {
            display("the peer's answer does not match the request")
        }
        /// The transfer did not finish within its time limit.
        Timeout {
            display("the peer did not answer in time")
        }
    }
}

/// A request from one daemon to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Fetches the state that the requesting daemon lacks.
    State(StateRequest),
    /// Queries the offset and plan revision that the peer has reached.
    Level,
}

/// A daemon's answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The state that the requesting daemon lacks.
    State(StateAnswer),
    /// The offset and plan revision that this daemon has reached.
    Level(LevelReport),
}

/// The state that a daemon has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelReport {
    /// Offset up to which the daemon has applied the control stream.
    pub applied: LogOffset,
    /// Plan revision in force at the daemon.
    pub adopted: PlanRevision,
}

/// The offsets after which a daemon lacks records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateRequest {
    /// Offset up to which the requesting daemon has applied the control stream.
    pub applied: LogOffset,
    /// Offset up to which the requesting daemon has read the plan stream.
    pub plan: LogOffset,
}

/// Records of one stream, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecords {
    /// Stream that the records belong to.
    pub stream: LogStream,
    /// Encoded records in the order of their offsets.
    pub records: Vec<OffsetRecord>,
}

/// An encoded record with its offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OffsetRecord {
    /// Offset of the record in its stream.
    pub offset: LogOffset,
    /// The record as stored in the log.
    pub bytes: Vec<u8>,
}

/// The state that a peer has beyond the offsets of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateAnswer {
    /// The peer has nothing newer, or cannot read its state now.
    Nothing,
    /// The records after the requested offsets.
    Records(Vec<StreamRecords>),
    /// The complete encoded control state, for a daemon that is too far behind for records.
    Snapshot(Vec<u8>),
}

/// Fetches the state that this daemon lacks from a peer.
///
/// # Errors
/// When the peer cannot be reached, exceeds the time limit, or gives an invalid answer.
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

/// Queries the offset and plan revision that a peer has reached.
///
/// # Errors
/// When the peer cannot be reached, exceeds `time_limit`, or gives an invalid answer.
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

/// Serves the requests of peers forever, at most four at the same time.
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
