//! Cached prompt prefixes, and the events that report changes of the cache.
//!
//! A prompt is cut into blocks. A block is identified by the digest of the prompt
//! up to the block's end, so that prompts with a common prefix share blocks. Faults
//! can delay events or leave some out; the sequence numbers show what was left out.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use viz::{Request, RequestExt, StatusCode};
use ward_protocol::ReplicaKey;

use super::faults::EngineFaults;
use super::state::EngineState;
use crate::server::{Answer, json_answer, lock, refusal};

const BLOCK_BYTES: usize = 64;
const BLOCK_HEX_DIGITS: usize = 16;
const MAX_EVENTS: usize = 100_000;

/// A block that was stored or evicted.
#[derive(Debug, Clone, Serialize)]
struct CacheEvent {
    sequence: u64,
    block: String,
    stored: bool,
    #[serde(skip)]
    at: Instant,
}

/// Blocks in the cache, least recently used first, and the events about them.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    blocks: IndexMap<String, ReplicaKey>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

#[derive(Deserialize)]
struct EventQuery {
    from: u64,
}

#[derive(Serialize)]
struct EventAnswer {
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: IndexMap::new(),
            events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Caches a prompt; returns the number of blocks that had to be computed.
    pub(super) fn admit(&mut self, key: &ReplicaKey, prompt: &str) -> u32 {
        let blocks = block_digests(key, prompt);
        let mut prefix_cached = true;
        let mut computed = 0;
        for block in blocks {
            let cached = self.blocks.shift_remove(&block).is_some();
            prefix_cached &= cached;
            if !prefix_cached {
                computed += 1;
            }
            if !cached {
                self.record_event(block.clone(), true);
            }
            self.blocks.insert(block, key.clone());
        }
        while self.blocks.len() > self.capacity {
            let Some((block, _)) = self.blocks.shift_remove_index(0) else {
                break;
            };
            self.record_event(block, false);
        }
        computed
    }

    /// Evicts the blocks of replicas that are no longer held.
    pub(super) fn retain_replicas(&mut self, held: impl Fn(&ReplicaKey) -> bool) {
        let dropped: Vec<_> = self
            .blocks
            .extract_if(.., |_, key| !held(key))
            .map(|(block, _)| block)
            .collect();
        for block in dropped {
            self.record_event(block, false);
        }
    }

    fn record_event(&mut self, block: String, stored: bool) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            block,
            stored,
            at: Instant::now(),
        });
        self.sequence += 1;
    }

    /// Returns the events from a sequence number on, subject to the faults.
    fn visible_events(&self, from: u64, faults: &EngineFaults) -> Vec<CacheEvent> {
        let lag = Duration::from_millis(faults.cache_lag_ms);
        let now = Instant::now();
        self.events
            .iter()
            .filter(|event| event.sequence >= from && now - event.at >= lag)
            .filter(|event| !is_left_out(event.sequence, faults.cache_gap))
            .cloned()
            .collect()
    }
}

/// Answers `GET /cache-events`.
pub(super) async fn cache_events(state: Arc<EngineState>, request: Request) -> Answer {
    state.wait_while_hanging().await;
    let query: EventQuery = request
        .query()
        .map_err(|_| refusal(StatusCode::BAD_REQUEST))?;
    let faults = state.faults();
    let events = lock(&state.holding)
        .prefixes
        .visible_events(query.from, &faults);
    Ok(json_answer(StatusCode::OK, &EventAnswer { events }))
}

fn is_left_out(sequence: u64, gap: u64) -> bool {
    gap > 0 && sequence % gap == gap - 1
}

fn block_digests(key: &ReplicaKey, prompt: &str) -> Vec<String> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.to_string().as_bytes());
    prompt
        .as_bytes()
        .chunks(BLOCK_BYTES)
        .map(|block| {
            hasher.update(block);
            hasher.finalize().to_hex()[..BLOCK_HEX_DIGITS].to_owned()
        })
        .collect()
}
