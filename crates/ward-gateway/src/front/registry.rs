//! All connections that others have opened to this daemon, and what they hold together.
//!
//! `ward_fleet::callers` decides which of them are closed when that is too much. A closed
//! connection's task is aborted, which drops its socket and its request.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use slog::{Logger, warn};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use ward_fleet::callers::{
    CallerBounds, CallerPhase, ConnectionLoad, EndpointKind, YieldNeed, choose_yielding,
};
use ward_fleet::{CallerLimits, HostCapacity};
use ward_protocol::{MonoTime, TimeSpan};

use super::connection::TrackedConnection;
use super::entry::{CloseReason, ConnectionEntry, ConnectionKey};
use crate::metrics::GatewayMetrics;

/// Time between two looks for callers that are overdue.
pub(crate) const LOOK_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Looks between two log lines about closed connections.
const LOOKS_PER_LINE: u64 = 10;
/// When connections are closed for lack of room, this part of the bound is freed, so that
/// not each new connection causes a choice among all.
const FREED_PART: usize = 32;
/// Part of the memory by which the bound may be exceeded until closed connections are
/// gone; what comes beyond that is refused.
const EXCESS_PART: usize = 4;

/// Connections of all endpoints.
pub(crate) struct ConnectionRegistry {
    bounds: CallerBounds,
    logger: Logger,
    metrics: GatewayMetrics,
    entries: RefCell<IndexMap<ConnectionKey, ConnectionEntry>>,
    /// Connections that are not to be closed, by kind of endpoint.
    open: [Cell<usize>; EndpointKind::ALL.len()],
    next_key: Cell<u64>,
    held_bytes: Cell<usize>,
    /// What the connections hold that are to be closed.
    closing_bytes: Cell<usize>,
    /// Time as of the last look: bytes that arrived while the process was suspended are
    /// read before they can be overdue.
    now: Cell<MonoTime>,
    looks: Cell<u64>,
    /// Closed connections since the last log line.
    closed: Cell<u64>,
}

impl ConnectionRegistry {
    pub(crate) fn new(capacity: &HostCapacity, metrics: GatewayMetrics, logger: Logger) -> Self {
        Self {
            bounds: CallerBounds::new(capacity),
            logger,
            metrics,
            entries: RefCell::default(),
            open: Default::default(),
            next_key: Cell::default(),
            held_bytes: Cell::default(),
            closing_bytes: Cell::default(),
            now: Cell::default(),
            looks: Cell::default(),
            closed: Cell::default(),
        }
    }

    /// Adds a connection; returns `None` if the endpoint has too many, and all of them are
    /// being served.
    pub(crate) fn open(
        self: &Rc<Self>,
        endpoint: EndpointKind,
        source: IpAddr,
        buffer_bytes: usize,
    ) -> Option<TrackedConnection> {
        if !self.make_room_for_connection(endpoint) {
            self.count_close(CloseReason::Connections);
            return None;
        }
        let key = ConnectionKey(self.next_key.get());
        self.next_key.set(key.0 + 1);
        let load = ConnectionLoad::new(source, self.now.get());
        let entry = ConnectionEntry {
            load,
            endpoint,
            buffer_bytes,
            is_answering: false,
            has_waited: true,
            sent_ahead: 0,
            is_closing: false,
            refusal: None,
            task: None,
        };
        self.entries.borrow_mut().insert(key, entry);
        self.count_open(endpoint, 1);
        self.held_bytes
            .set(self.held_bytes.get() + load.held_bytes());
        self.make_room_in_memory();
        Some(TrackedConnection::new(Rc::clone(self), key))
    }

    /// Sets the task that is aborted when the connection is to be closed.
    pub(crate) fn set_task(&self, key: ConnectionKey, task: AbortHandle) {
        match self.entries.borrow_mut().get_mut(&key) {
            Some(entry) if !entry.is_closing => entry.task = Some(task),
            // It was closed before its task began.
            _ => task.abort(),
        }
    }

    /// Records that the whole body of the request on a connection has arrived; returns
    /// whether it may be served. One that is to be refused must not be, since its
    /// connection may end at any moment.
    pub(crate) fn record_whole_request(&self, key: Option<&ConnectionKey>) -> bool {
        let mut may_serve = true;
        if let Some(key) = key {
            self.change(*key, |entry, now| {
                // The bytes stay in memory until the request has ended.
                let bytes = entry.load.bytes;
                entry.load = entry.load.entered(CallerPhase::Serving, now);
                entry.load.bytes = bytes;
                entry.refusal = None;
                may_serve = !entry.is_closing;
            });
        }
        may_serve
    }

    /// Ends when the request on a connection is to be refused before its body has arrived.
    pub(crate) async fn body_refused(&self, key: Option<&ConnectionKey>) {
        let (sender, receiver) = oneshot::channel();
        if let Some(key) = key {
            self.change(*key, |entry, _| entry.refusal = Some(sender));
        }
        // The sender is dropped with the connection, and that with this future.
        if receiver.await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Records that the request on a connection is refused while its body still comes. The
    /// connection stays open until the caller has read the refusal, since it holds little.
    pub(super) fn record_refused(&self, key: ConnectionKey) {
        let mut reopened = None;
        self.change(key, |entry, now| {
            entry.load = entry.load.entered(CallerPhase::Refused, now);
            entry.refusal = None;
            if std::mem::take(&mut entry.is_closing) {
                reopened = Some(entry.endpoint);
            }
        });
        if let Some(endpoint) = reopened {
            self.count_open(endpoint, 1);
        }
    }

    /// Records that the rest of a refused body has been dropped.
    pub(super) fn record_discarded(&self, key: ConnectionKey) {
        self.change(key, |entry, now| {
            if entry.load.phase == CallerPhase::Refused {
                entry.load = entry.load.entered(CallerPhase::Idle, now);
            }
        });
    }

    /// Moves the time on, and closes the connections whose callers are overdue. Called
    /// once per `LOOK_INTERVAL`.
    pub(crate) fn look(&self, limits: &CallerLimits) {
        let now = self.now.get() + LOOK_INTERVAL;
        self.now.set(now);
        let overdue: Vec<_> = {
            let entries = self.entries.borrow();
            let overdue = entries
                .iter()
                .filter(|(_, entry)| !entry.is_closing && entry.load.is_overdue(limits, now));
            overdue
                .map(|(key, entry)| (*key, entry.load.phase))
                .collect()
        };
        for (key, phase) in overdue {
            let reason = match phase {
                CallerPhase::Unread => CloseReason::Unread,
                _ => CloseReason::SlowHead,
            };
            self.close(key, reason);
        }
        let held = i64::try_from(self.held_bytes.get()).unwrap_or(i64::MAX);
        self.metrics.caller_bytes.set(held);
        let open = i64::try_from(self.entries.borrow().len()).unwrap_or(i64::MAX);
        self.metrics.caller_connections.set(open);
        self.abort_refused();
        self.log_closed();
    }

    /// Ends the tasks of connections that were to be closed and are still open, such as
    /// one whose caller does not read its refusal.
    fn abort_refused(&self) {
        let mut entries = self.entries.borrow_mut();
        for entry in entries.values_mut().filter(|entry| entry.is_closing) {
            if let Some(task) = entry.task.take() {
                task.abort();
            }
        }
    }

    /// Whether a connection must wait before it holds more, until closed ones are gone.
    pub(super) fn must_wait(&self) -> bool {
        self.closing_bytes.get() > 0 && self.held_bytes.get() > self.memory_bytes()
    }

    fn memory_bytes(&self) -> usize {
        usize::try_from(self.bounds.memory().bytes()).unwrap_or(usize::MAX)
    }

    /// One line for all connections closed in some seconds.
    fn log_closed(&self) {
        let looks = self.looks.get() + 1;
        self.looks.set(looks);
        if !looks.is_multiple_of(LOOKS_PER_LINE) || self.closed.get() == 0 {
            return;
        }
        warn!(
            self.logger, "callers: connections closed for lack of room or progress";
            "closed" => self.closed.take(), "open" => self.entries.borrow().len(),
            "held_bytes" => self.held_bytes.get(), "bound" => %self.bounds.memory(),
        );
    }

    fn make_room_for_connection(&self, endpoint: EndpointKind) -> bool {
        let bound = self.bounds.connections(endpoint);
        if self.open[endpoint as usize].get() < bound {
            return true;
        }
        let loads = self.open_loads(|entry| entry.endpoint == endpoint);
        let need = YieldNeed {
            bytes: 0,
            connections: (bound / FREED_PART).max(1),
        };
        let chosen = choose_yielding(loads, need, self.now.get());
        for key in &chosen {
            self.close(*key, CloseReason::Connections);
        }
        !chosen.is_empty()
    }

    /// Closes connections until the others are within the bound; returns whether all are
    /// near enough to it for more to be held.
    pub(super) fn make_room_in_memory(&self) -> bool {
        let bound = self.memory_bytes();
        let held = self.held_bytes.get();
        if held <= bound {
            return true;
        }
        let kept = held.saturating_sub(self.closing_bytes.get());
        if kept > bound {
            let need = YieldNeed {
                bytes: kept - bound + bound / FREED_PART,
                connections: 0,
            };
            let loads = self.open_loads(|_| true);
            for key in choose_yielding(loads, need, self.now.get()) {
                self.close(key, CloseReason::Memory);
            }
        }
        held <= bound + bound / EXCESS_PART
    }

    /// Loads of the connections that are not to be closed yet.
    fn open_loads(
        &self,
        is_meant: impl Fn(&ConnectionEntry) -> bool,
    ) -> Vec<(ConnectionKey, ConnectionLoad)> {
        let entries = self.entries.borrow();
        entries
            .iter()
            .filter(|(_, entry)| !entry.is_closing && is_meant(entry))
            .map(|(key, entry)| (*key, entry.load))
            .collect()
    }

    /// Refuses the request of a connection whose body has not arrived, and closes others.
    fn close(&self, key: ConnectionKey, reason: CloseReason) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&key) else {
            return;
        };
        entry.is_closing = true;
        self.count_open(entry.endpoint, -1);
        let refusal = entry.refusal.take();
        let task = if refusal.is_some() {
            // Aborted at the next look, if it takes so long to be told.
            None
        } else {
            entry.task.take()
        };
        let closing = self.closing_bytes.get() + entry.load.held_bytes();
        self.closing_bytes.set(closing);
        drop(entries);
        self.count_close(reason);
        match (refusal, task) {
            // The connection ends with the answer, since the body was not read.
            (Some(refusal), _) => drop(refusal.send(())),
            (None, Some(task)) => task.abort(),
            (None, None) => {}
        }
    }

    /// Whether a connection has a request, which is to get an answer.
    pub(super) fn has_request(&self, key: ConnectionKey) -> bool {
        let entries = self.entries.borrow();
        entries.get(&key).is_some_and(|entry| entry.is_answering)
    }

    /// Counts a connection that is closed or refused.
    pub(crate) fn count_close(&self, reason: CloseReason) {
        let closes = &self.metrics.caller_closes;
        closes.with_label_values(&[reason.label()]).inc();
        self.closed.set(self.closed.get() + 1);
    }

    pub(super) fn remove(&self, key: ConnectionKey) {
        let Some(entry) = self.entries.borrow_mut().swap_remove(&key) else {
            return;
        };
        let held = self.held_bytes.get();
        let freed = entry.load.held_bytes();
        self.held_bytes.set(held.saturating_sub(freed));
        if entry.is_closing {
            let closing = self.closing_bytes.get();
            self.closing_bytes.set(closing.saturating_sub(freed));
        } else {
            self.count_open(entry.endpoint, -1);
        }
    }

    fn count_open(&self, endpoint: EndpointKind, change: isize) {
        let open = &self.open[endpoint as usize];
        open.set(open.get().saturating_add_signed(change));
    }

    /// Changes an entry and what is held; returns whether the connection is still open.
    pub(super) fn change(
        &self,
        key: ConnectionKey,
        change: impl FnOnce(&mut ConnectionEntry, MonoTime),
    ) -> bool {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&key) else {
            return false;
        };
        let before = entry.held_by_state();
        change(entry, self.now.get());
        let after = entry.held_by_state();
        let held = self.held_bytes.get() + after.all;
        self.held_bytes.set(held.saturating_sub(before.all));
        let closing = self.closing_bytes.get() + after.closing;
        self.closing_bytes
            .set(closing.saturating_sub(before.closing));
        true
    }
}
