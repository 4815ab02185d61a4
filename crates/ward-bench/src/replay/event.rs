//! Events of a replay and the queue of future ones.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ward_protocol::MonoTime;

/// An event of a replay; requests, replicas, models and engines are given by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ReplayEvent {
    /// A request arrives.
    Arrive { request: usize },
    /// The load of a replica has finished.
    Loaded { replica: usize },
    /// A request that ran on a replica has finished.
    Finished { replica: usize },
    /// The keep time of an idle replica has passed; stale if its generation has changed.
    KeepCheck { replica: usize, generation: u32 },
    /// A model's next request is expected soon; stale if requests have arrived since.
    Preload { model: usize, arrivals: u32 },
    /// The deadline of a request, which may still wait.
    Expire { request: usize },
    /// Checks again whether a model's waiting requests need a load.
    Retry { model: usize },
    /// The hours begin in which the plan sheet requires ready replicas of a model.
    SheetBegin { model: usize },
    /// The hours end in which the plan sheet requires ready replicas of a model.
    SheetEnd { model: usize },
    /// Decides whether an idle engine keeps its replicas; stale if its generation has changed.
    HoldCheck { engine: usize, generation: u32 },
    /// Checks whether free memory can take preloads.
    FillCheck,
    /// An engine has been empty long enough for standby; stale if its generation has changed.
    EmptyCheck { engine: usize, generation: u32 },
}

/// Future events in order of time, then of insertion.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<(MonoTime, u64, ReplayEvent)>>,
    next_sequence: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, time: MonoTime, event: ReplayEvent) {
        self.heap.push(Reverse((time, self.next_sequence, event)));
        self.next_sequence += 1;
    }

    pub(super) fn pop(&mut self) -> Option<(MonoTime, ReplayEvent)> {
        self.heap
            .pop()
            .map(|Reverse((time, _, event))| (time, event))
    }
}
