//! The queue of future events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ward_protocol::MonoTime;

/// Something that happens in a replay; numbers are indices.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ReplayEvent {
    /// A request arrives.
    Arrive { request: usize },
    /// A replica becomes ready.
    Loaded { replica: usize },
    /// A request ends.
    Finished { replica: usize },
    /// An idle replica may have to go.
    KeepCheck { replica: usize, generation: u32 },
    /// A model may have to be made ready.
    Preload { model: usize, arrivals: u32 },
    /// A waiting request's deadline.
    Expire { request: usize },
    /// A model's queue is looked at again.
    Retry { model: usize },
    /// The sheet's hours for a model begin.
    SheetBegin { model: usize },
    /// The sheet's hours for a model end.
    SheetEnd { model: usize },
    /// An idle engine may be cleared.
    HoldCheck { engine: usize, generation: u32 },
    /// Free memory may be filled.
    FillCheck,
    /// An empty engine may rest.
    EmptyCheck { engine: usize, generation: u32 },
}

/// Future events in order of time, then of insertion.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<(MonoTime, u64, ReplayEvent)>>,
    next_sequence: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: MonoTime, event: ReplayEvent) {
        self.heap.push(Reverse((at, self.next_sequence, event)));
        self.next_sequence += 1;
    }

    pub(super) fn pop(&mut self) -> Option<(MonoTime, ReplayEvent)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
