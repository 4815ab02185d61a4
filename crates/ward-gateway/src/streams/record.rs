//! Records where streams come from, here and at the keepers of their keys.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::{self, FuturesUnordered};
use indexmap::IndexMap;
use slog::{info, warn};
use ward_fleet::streams::NoteSource;
use ward_fleet::{CoordinatorMessage, MemberMessage, StreamNews, StreamNote, StreamOrigin};
use ward_protocol::{MonoTime, StreamKey};

use super::persist::{WaitScope, wait_until_stored};
use super::{StreamState, keeper_addresses};
use crate::clock;
use crate::gateway::Gateway;
use crate::hub::{PeerError, call_daemon, encode_frame};

/// Number of other daemons that keep the origin of a stream.
const KEEPERS: usize = 2;
/// Time within which a keeper must answer; the caller waits for it.
const TELL_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of keepers that are told at the same time.
const MAX_CONCURRENT_TELLS: usize = 16;
/// Number of streams whose keepers are looked up before other work has its turn; each
/// takes a digest per daemon.
const NOTES_PER_TURN: usize = 32;

/// The stream that a request begins or takes up.
#[derive(Debug, Clone)]
pub(crate) struct StreamTry {
    /// Key by which a later try may name this one; `None` if the request has no id.
    pub(crate) own: Option<StreamKey>,
    /// Key of the first try, if this is a later one that names it.
    pub(crate) first_try: Option<StreamKey>,
    /// Until when the caller may take up the stream again.
    pub(crate) keep_until: MonoTime,
    /// Until when a stream that begins is on time.
    pub(crate) on_time_until: MonoTime,
}

/// Who knows where a stream comes from, besides the daemon that forwards it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OriginCopies {
    /// Whether a keeper does.
    pub(crate) told: bool,
    /// Whether the store does.
    pub(crate) stored: bool,
}

/// Records that a stream comes from engines of this origin, before the caller gets the
/// first bytes. The store must list its version; while the service has several versions,
/// a keeper and the store must know the stream itself. Keepers serve while the store is
/// away, and the store once all daemons have lost power. Returns who knows the stream, or
/// `None` if only its version matters.
pub(crate) async fn record_origin(
    gateway: &Rc<Gateway>,
    stream: &StreamTry,
    origin: &StreamOrigin,
) -> Option<OriginCopies> {
    let lifetime = stream.keep_until.since(clock::now());
    let keys = stream.first_try.into_iter().chain(stream.own);
    let notes = keys.map(|key| StreamNote {
        key,
        origin: origin.clone(),
        lifetime,
    });
    let notes: Vec<_> = notes.collect();
    let state = &gateway.streams;
    state.record_notes(notes.iter().cloned(), NoteSource::Own);
    if !state.has_several_versions(&origin.service) {
        wait_until_stored(gateway, WaitScope::Versions, stream.on_time_until).await;
        return None;
    }
    let stored = wait_until_stored(gateway, WaitScope::Streams, stream.on_time_until);
    let (told, stored) = tokio::join!(tell_any_keeper(gateway, notes), stored);
    Some(OriginCopies { told, stored })
}

/// Tells the keepers of all own streams of a service when it gets a further version;
/// never returns.
pub(crate) async fn spread_streams(gateway: Rc<Gateway>) {
    loop {
        gateway.streams.version_added.notified().await;
        let notes = notes_to_spread(&gateway.streams);
        let count = notes.len();
        let told = tell_keepers(&gateway, notes).await;
        info!(
            gateway.logger, "stream: a service has a further software version";
            "streams" => count, "told" => told,
        );
    }
}

/// The own streams of services that have several versions.
fn notes_to_spread(state: &StreamState) -> Vec<StreamNote> {
    let register = state.register.borrow();
    let notes = register.own_notes(clock::now());
    let needed = notes.filter(|note| state.has_several_versions(&note.origin.service));
    needed.collect()
}

/// Tells the keepers of streams where these come from, and returns as soon as one has
/// recorded it, or false if none has. The others are told meanwhile: one on a silent host
/// must not hold up the stream.
async fn tell_any_keeper(gateway: &Rc<Gateway>, notes: Vec<StreamNote>) -> bool {
    let keepers = notes_by_keeper(gateway, notes).await;
    let tells = keepers.into_iter().map(|(address, notes)| {
        let gateway = Rc::clone(gateway);
        tokio::task::spawn_local(async move { tell(&gateway, address, notes).await })
    });
    let mut tells: FuturesUnordered<_> = tells.collect();
    while let Some(told) = tells.next().await {
        if matches!(told, Ok(true)) {
            // Tasks that are dropped here run on.
            return true;
        }
    }
    false
}

/// Tells the keepers of streams where these come from; returns how many daemons have
/// recorded it.
async fn tell_keepers(gateway: &Gateway, notes: Vec<StreamNote>) -> usize {
    let tells = notes_by_keeper(gateway, notes).await.into_iter();
    let tells = tells.map(|(address, notes)| tell(gateway, address, notes));
    let tells = stream::iter(tells).buffer_unordered(MAX_CONCURRENT_TELLS);
    tells.filter(|told| std::future::ready(*told)).count().await
}

async fn notes_by_keeper(
    gateway: &Gateway,
    notes: Vec<StreamNote>,
) -> IndexMap<SocketAddr, Vec<StreamNote>> {
    let mut by_keeper: IndexMap<_, Vec<_>> = IndexMap::new();
    for (index, note) in notes.into_iter().enumerate() {
        if index % NOTES_PER_TURN == NOTES_PER_TURN - 1 {
            tokio::task::yield_now().await;
        }
        for keeper in keeper_addresses(gateway, note.key, KEEPERS) {
            by_keeper.entry(keeper).or_default().push(note.clone());
        }
    }
    by_keeper
}

/// Tells one keeper; returns whether it has recorded the streams.
async fn tell(gateway: &Gateway, address: SocketAddr, notes: Vec<StreamNote>) -> bool {
    // The versions that matter are those of the streams; all of them would make most of
    // the message.
    let news = StreamNews {
        notes,
        versions: Vec::new(),
    };
    let told = send_news(address, news).await;
    if let Err(cause) = &told {
        warn!(
            gateway.logger, "stream: keeper not told"; "address" => %address, "cause" => %cause,
        );
    }
    told.is_ok()
}

async fn send_news(address: SocketAddr, news: StreamNews) -> Result<(), PeerError> {
    let frame = encode_frame(&MemberMessage::RecordStreams(news))?;
    match call_daemon(address, &frame, TELL_TIMEOUT).await? {
        CoordinatorMessage::StreamsRecorded => Ok(()),
        _ => Err(PeerError::Unexpected),
    }
}
