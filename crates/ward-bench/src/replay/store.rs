//! The weight store, which runs a limited number of loads at a time; the others wait.

use ward_protocol::{MonoTime, PriorityLevel};

use super::rule::StoreOrder;

/// Priority and deadline of a waiting load; the smallest starts first.
pub(super) type LoadUrgency = (PriorityLevel, MonoTime);

/// Waiting loads and the number of running ones.
#[derive(Debug)]
pub(super) struct StoreQueue {
    order: StoreOrder,
    limit: usize,
    running: usize,
    waiting: Vec<usize>,
}

impl StoreQueue {
    pub(super) const fn new(order: StoreOrder, limit: usize) -> Self {
        Self {
            order,
            limit,
            running: 0,
            waiting: Vec::new(),
        }
    }

    pub(super) fn push(&mut self, replica: usize) {
        self.waiting.push(replica);
    }

    /// Whether no load waits and less than half of the limit is in use, so that a preload leaves
    /// capacity for loads of requests.
    pub(super) fn is_quiet(&self) -> bool {
        self.waiting.is_empty() && self.running * 2 < self.limit
    }

    pub(super) fn finish_load(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// The waiting load that may start next; `None` if the limit is reached or none waits.
    pub(super) fn next_load(&self, urgency: impl Fn(usize) -> LoadUrgency) -> Option<usize> {
        if self.running >= self.limit {
            return None;
        }
        match self.order {
            StoreOrder::FirstCome => self.waiting.first().copied(),
            StoreOrder::Urgency => {
                let waiting = self.waiting.iter().copied();
                waiting.min_by_key(|replica| urgency(*replica))
            }
        }
    }

    /// Counts a waiting load as running.
    pub(super) fn begin_load(&mut self, replica: usize) {
        self.running += 1;
        self.waiting.retain(|other| *other != replica);
    }
}
