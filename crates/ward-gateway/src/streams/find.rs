//! Finds out which software version began a stream that a caller takes up.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use slog::info;
use ward_fleet::streams::NoteSource;
use ward_fleet::{CoordinatorMessage, MemberMessage, StreamNews, StreamOrigin};
use ward_protocol::{ServiceName, StreamKey, TimeSpan};

use super::keeper_addresses;
use super::store::{MIN_READ_INTERVAL, read_streams};
use crate::clock;
use crate::gateway::Gateway;
use crate::hub::{PeerError, call_daemon, encode_frame};

/// Number of daemons that are asked: the keepers, and one more, since the daemon that
/// told them leaves itself out.
const ASKED_KEEPERS: usize = 3;
const ASK_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum time that a request waits for a read of the store.
const STORE_READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Age of the last look at the engines up to which this daemon itself knows all software
/// versions that serve.
const MAX_TABLE_AGE: TimeSpan = TimeSpan::from_millis(2_000);

/// Where the origin of a stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OriginSource {
    /// In this daemon's own register.
    Own,
    /// The service has had a single version, as this daemon and others know.
    OnlyVersion,
    /// The service has had a single version, as the lists of all daemons in the store say.
    OnlyListed,
    /// At a keeper of the stream's key.
    Keeper,
    /// In the store.
    Store,
}

impl OriginSource {
    /// The value in logs and metrics.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::OnlyVersion => "only_version",
            Self::OnlyListed => "only_listed",
            Self::Keeper => "keeper",
            Self::Store => "store",
        }
    }
}

/// Finds where a stream comes from that a request for this service takes up; `key` is
/// `None` if the request doesn't name the stream. Returns `None` if it isn't known.
pub(crate) async fn find_origin(
    gateway: &Gateway,
    key: Option<StreamKey>,
    service: &ServiceName,
) -> Option<(StreamOrigin, OriginSource)> {
    let state = &gateway.streams;
    let asked_at = clock::now();
    if let Some(origin) = key.and_then(|key| state.known_origin(key)) {
        return Some((origin, OriginSource::Own));
    }
    // The keepers are asked also while this daemon knows of one version only: the daemon
    // that forwarded the stream may have seen another one earlier.
    let has_answer = ask_keepers(gateway, key).await;
    if let Some(origin) = key.and_then(|key| state.known_origin(key)) {
        return Some((origin, OriginSource::Keeper));
    }
    // A daemon that is out of step may have missed a version. It needs both a list of
    // engines that is up to date and the answer of another daemon, which names the
    // versions that it knows.
    if has_answer
        && knows_engines(gateway)
        && let Some(origin) = state.only_origin(service)
    {
        return Some((origin, OriginSource::OnlyVersion));
    }
    // Where several versions are known, a read is of use only if it finds the stream: then
    // a refused caller rather comes again than waits for the next read.
    let earliest = match state.single_origin(service) {
        Some(_) => asked_at,
        None => asked_at - MIN_READ_INTERVAL,
    };
    let read = read_streams(gateway, earliest);
    let read = tokio::time::timeout(STORE_READ_TIMEOUT, read).await;
    if read.is_err() {
        info!(gateway.logger, "stream: store not read in time");
    }
    if let Some(origin) = key.and_then(|key| state.known_origin(key)) {
        return Some((origin, OriginSource::Store));
    }
    // The daemons that could not be asked may be dead, or only out of reach. Each listed
    // the versions of its streams before the caller got their first events.
    if read != Ok(true) {
        return None;
    }
    let origin = state.only_listed_origin(service)?;
    Some((origin, OriginSource::OnlyListed))
}

/// Whether this daemon's list of engines is up to date.
fn knows_engines(gateway: &Gateway) -> bool {
    let last_read = gateway.last_read.get();
    let is_recent = last_read.is_some_and(|time| clock::now().since(time) <= MAX_TABLE_AGE);
    is_recent || gateway.has_current_view()
}

/// Asks the keepers of a stream, all at once, and records what they know until one knows
/// the stream; returns whether any answered, or there is no other daemon. Without a key,
/// only the versions that the daemons know are of use.
async fn ask_keepers(gateway: &Gateway, key: Option<StreamKey>) -> bool {
    let key = key.unwrap_or_else(StreamKey::random);
    let addresses = keeper_addresses(gateway, key, ASKED_KEEPERS);
    if addresses.is_empty() {
        return true;
    }
    let asks = addresses.into_iter().map(|address| ask(address, key));
    let mut answers = stream::iter(asks).buffer_unordered(ASKED_KEEPERS);
    let mut has_answer = false;
    while let Some(answer) = answers.next().await {
        match answer {
            Ok(news) => {
                has_answer = true;
                let is_found = !news.notes.is_empty();
                gateway.streams.record_sightings(&news.versions);
                gateway.streams.record_notes(news.notes, NoteSource::Other);
                if is_found {
                    break;
                }
            }
            Err(cause) => info!(gateway.logger, "stream: keeper not reached"; "cause" => %cause),
        }
    }
    has_answer
}

async fn ask(address: SocketAddr, key: StreamKey) -> Result<StreamNews, PeerError> {
    let frame = encode_frame(&MemberMessage::FindStream(key))?;
    match call_daemon(address, &frame, ASK_TIMEOUT).await? {
        CoordinatorMessage::FoundStream(news) => Ok(news),
        _ => Err(PeerError::Unexpected),
    }
}
