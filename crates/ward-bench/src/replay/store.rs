//! The weight store: a few loads at a time, the rest wait.

use ward_protocol::{MonoTime, PriorityLevel};

use super::rule::StoreOrder;

/// How urgent a waiting load is; smaller goes first.
pub(super) type LoadUrgency = (PriorityLevel, MonoTime);

/// The weight store's queue.
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

    /// Whether a load ahead would leave room for a request's.
    pub(super) fn is_quiet(&self) -> bool {
        self.waiting.is_empty() && self.running * 2 < self.limit
    }

    pub(super) fn finish_load(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// The next load to start, if one may.
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

    /// Starts a waiting load.
    pub(super) fn begin_load(&mut self, replica: usize) {
        self.running += 1;
        self.waiting.retain(|other| *other != replica);
    }
}
