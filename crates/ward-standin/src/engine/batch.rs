//! Continuous batching: a fixed number of slots; further requests queue by priority.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;
use ward_protocol::PriorityLevel;

use crate::server::lock;

/// A request in the queue; the heap's greatest element gets the next slot.
///
/// Lower priority numbers come first, then earlier arrivals.
#[derive(Debug)]
struct QueuedRequest {
    rank: Reverse<(PriorityLevel, u64)>,
    slot_sender: oneshot::Sender<BatchSlot>,
}

impl PartialEq for QueuedRequest {
    fn eq(&self, other: &Self) -> bool {
        self.rank == other.rank
    }
}

impl Eq for QueuedRequest {}

impl PartialOrd for QueuedRequest {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedRequest {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.rank.cmp(&other.rank)
    }
}

#[derive(Debug, Default)]
struct BatchCore {
    running: u32,
    arrivals: u64,
    queue: BinaryHeap<QueuedRequest>,
}

/// The slots of one engine; clones share them.
#[derive(Debug, Clone)]
pub(super) struct BatchSlots {
    slots: u32,
    core: Arc<Mutex<BatchCore>>,
}

/// A slot in use until dropped.
#[derive(Debug)]
pub(super) struct BatchSlot {
    batch: Option<BatchSlots>,
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        if let Some(batch) = self.batch.take() {
            batch.grant_next();
        }
    }
}

impl BatchSlots {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            core: Arc::default(),
        }
    }

    /// Requests a slot without waiting; the receiver gets it now or from the queue.
    pub(super) fn request_slot(&self, priority: PriorityLevel) -> oneshot::Receiver<BatchSlot> {
        let (slot_sender, slot) = oneshot::channel();
        let mut core = lock(&self.core);
        if core.running < self.slots {
            core.running += 1;
            drop(core);
            // Cannot fail: `slot`, the receiver, is still alive.
            let _ = slot_sender.send(self.slot());
            return slot;
        }
        core.arrivals += 1;
        let rank = Reverse((priority, core.arrivals));
        core.queue.push(QueuedRequest { rank, slot_sender });
        slot
    }

    /// Returns the numbers of running and of queued requests.
    pub(super) fn counts(&self) -> (u32, u32) {
        let core = lock(&self.core);
        let waiting = core
            .queue
            .iter()
            .filter(|entry| !entry.slot_sender.is_closed());
        let queued = u32::try_from(waiting.count()).unwrap_or(u32::MAX);
        (core.running, queued)
    }

    fn slot(&self) -> BatchSlot {
        BatchSlot {
            batch: Some(self.clone()),
        }
    }

    /// Passes a freed slot to the next queued request that was not dropped.
    fn grant_next(&self) {
        let mut core = lock(&self.core);
        while let Some(next) = core.queue.pop() {
            let Err(mut unused) = next.slot_sender.send(self.slot()) else {
                return;
            };
            unused.batch = None;
        }
        core.running = core.running.saturating_sub(1);
    }
}
