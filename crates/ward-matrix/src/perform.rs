//! Performs the actions of daemons against the fakes.

use ward_control::{ControlAction, ControlCore, ControlEvent};
use ward_protocol::{
    AppendResult, BackendId, BackendOrder, ControlEnvelope, DaemonId, LogOffset, LogStream,
    MonoTime, OrderKind, OrderResult, PeerEnvelope,
};

use crate::engine::OrderEffect;
use crate::fault::FaultKind;
use crate::promise::PromiseKind;
use crate::world::{DaemonIncarnation, MILLI, SECOND, World, WorldEvent};

/// Time after which a client stops waiting for an answer.
const CLIENT_TIMEOUT: u64 = SECOND;
/// Maximum delay of an order, still within its lifetime.
const MAX_ORDER_DELAY: u64 = 1_900 * MILLI;
/// Seconds after the reclaim of a host from which its engine must get no load.
const LEAVING_GRACE: u64 = 3;

impl World {
    pub(crate) fn dispatch_action(&mut self, run: &DaemonIncarnation, action: ControlAction) {
        match action {
            ControlAction::Read { stream, from } => self.begin_read(run, stream, from),
            ControlAction::ReadSnapshot => self.read_snapshot(run),
            ControlAction::FetchState { peer, .. } => self.fetch_state(run, peer),
            ControlAction::Append { envelope } => self.begin_append(run, envelope),
            ControlAction::WriteSnapshot { control, bytes, .. } => {
                self.write_snapshot(run, control, bytes);
            }
            ControlAction::Order {
                backend,
                order,
                not_after,
                ..
            } => {
                let delay = self.random_below(2 * MILLI);
                let order = Box::new(order);
                let event = WorldEvent::SendOrder(run.clone(), backend, order, not_after);
                self.schedule(delay, event);
            }
            ControlAction::FetchStatus { backend, .. } => {
                let started = self.mono(&run.0);
                let delay = MILLI + self.random_below(3 * MILLI);
                self.schedule(delay, WorldEvent::ReadStatus(run.clone(), backend, started));
            }
            ControlAction::FetchHosts => {
                let delay = MILLI + self.random_below(5 * MILLI);
                self.schedule(delay, WorldEvent::ReadHosts(run.clone()));
            }
            ControlAction::Send {
                daemon, message, ..
            } => self.send_message(run, &daemon, message),
            ControlAction::Publish => {}
            ControlAction::Stopped => {
                if let Some(slot) = self.daemons.get_mut(&run.0) {
                    slot.core = None;
                }
            }
        }
    }

    pub(crate) fn mono(&self, daemon: &DaemonId) -> MonoTime {
        self.daemons[daemon].clock.mono(self.now)
    }

    fn schedule_event(&mut self, delay: u64, run: &DaemonIncarnation, event: ControlEvent) {
        self.schedule(delay, WorldEvent::Deliver(run.clone(), Box::new(event)));
    }

    /// One-way delay between a daemon and the log, in microseconds.
    fn log_delay(&mut self) -> u64 {
        if self.active_faults.contains(&FaultKind::LogSlow) {
            return 400 * MILLI + self.random_below(300 * MILLI);
        }
        MILLI + self.random_below(8 * MILLI)
    }

    fn begin_read(&mut self, run: &DaemonIncarnation, stream: LogStream, from: LogOffset) {
        let started = self.mono(&run.0);
        let delay = self.log_delay();
        if self.is_cut_from_log(&run.0) {
            let failed = ControlEvent::ReadFailed { stream };
            self.schedule_event(delay, run, failed);
            return;
        }
        let event = WorldEvent::ReadLog(run.clone(), stream, from, started);
        self.schedule(delay, event);
    }

    pub(crate) fn read_log(
        &mut self,
        run: &DaemonIncarnation,
        stream: LogStream,
        from: LogOffset,
        started: MonoTime,
    ) {
        let stale = self.is_affected(FaultKind::LogStale, &run.0) && stream == LogStream::Control;
        let lag = if stale { self.stale_lag(&run.0) } else { 0 };
        let result = self.log.read(stream, from, lag);
        let delay = self.log_delay();
        let event = ControlEvent::Read {
            stream,
            started,
            records: result.records,
            end: result.end,
            cut: None,
        };
        self.schedule_event(delay, run, event);
    }

    fn read_snapshot(&mut self, run: &DaemonIncarnation) {
        let delay = self.log_delay();
        let event = if self.is_cut_from_log(&run.0) {
            let stream = LogStream::Snapshot;
            ControlEvent::ReadFailed { stream }
        } else {
            let bytes = self.log.snapshot().cloned();
            bytes.map_or(ControlEvent::NoSnapshot, |bytes| ControlEvent::Snapshot {
                bytes,
            })
        };
        self.schedule_event(delay, run, event);
    }

    fn fetch_state(&mut self, run: &DaemonIncarnation, peer: std::net::SocketAddr) {
        let other = self.daemons.values().find(|slot| slot.member.peers == peer);
        let Some(slot) = other else {
            return;
        };
        let cut = self.is_cut_from_peers(&run.0) || self.is_cut_from_peers(&slot.member.daemon);
        let state = slot
            .core
            .as_ref()
            .filter(|_| !slot.frozen)
            .map(ControlCore::state);
        let Some(Ok(bytes)) = state.map(ward_state::ClusterState::encode) else {
            return;
        };
        if !cut {
            self.schedule_event(5 * MILLI, run, ControlEvent::Snapshot { bytes });
        }
    }

    fn begin_append(&mut self, run: &DaemonIncarnation, envelope: ControlEnvelope) {
        let delay = self.log_delay();
        if self.is_cut_from_log(&run.0) {
            let refused = self.random_below(2) == 0;
            let result = if refused {
                AppendResult::Refused
            } else {
                AppendResult::Unknown
            };
            let record = envelope.id;
            self.schedule_event(delay, run, ControlEvent::Appended { record, result });
            return;
        }
        if self.active_faults.contains(&FaultKind::AnswerLost) && self.random_below(2) == 0 {
            self.lost_answers.insert(envelope.id);
            // Half of these appends take effect only after the client's timeout.
            let extra_delay =
                self.random_below(2) * (CLIENT_TIMEOUT + self.random_below(500 * MILLI));
            let record = envelope.id;
            let result = AppendResult::Unknown;
            self.schedule_event(
                CLIENT_TIMEOUT,
                run,
                ControlEvent::Appended { record, result },
            );
            let event = WorldEvent::Append(run.clone(), Box::new(envelope));
            self.schedule(delay + extra_delay, event);
            return;
        }
        self.schedule(delay, WorldEvent::Append(run.clone(), Box::new(envelope)));
    }

    pub(crate) fn append(&mut self, run: &DaemonIncarnation, envelope: &ControlEnvelope) {
        self.log.append_control(envelope);
        if self.lost_answers.contains(&envelope.id) {
            return;
        }
        let delay = self.log_delay();
        let record = envelope.id;
        let result = AppendResult::Stored;
        self.schedule_event(delay, run, ControlEvent::Appended { record, result });
    }

    fn write_snapshot(&mut self, run: &DaemonIncarnation, control: LogOffset, bytes: Vec<u8>) {
        let delay = self.log_delay() * 2;
        let stored = !self.is_cut_from_log(&run.0);
        if stored {
            self.log.store_snapshot(bytes);
        }
        self.schedule_event(
            delay,
            run,
            ControlEvent::SnapshotWritten { control, stored },
        );
    }

    pub(crate) fn send_order(
        &mut self,
        run: DaemonIncarnation,
        backend: BackendId,
        order: Box<BackendOrder>,
        not_after: MonoTime,
    ) {
        if !self.is_live(&run) {
            return;
        }
        let Some(slot) = self.daemons.get_mut(&run.0) else {
            return;
        };
        if slot.frozen {
            let address = slot.member.peers;
            slot.pending_actions.push(ControlAction::Order {
                backend,
                address,
                order: *order,
                not_after,
            });
            return;
        }
        let expired = slot.clock.mono(self.now) > not_after && !self.sends_expired();
        if expired || self.is_cut_from_engines(&run.0) {
            let event = order_ended(&backend, &order, OrderResult::Unknown);
            self.schedule_event(CLIENT_TIMEOUT, &run, event);
            return;
        }
        self.check_leaving(&backend, &order);
        let delayed = self.active_faults.contains(&FaultKind::OrderDelayed);
        let delay = if delayed {
            MAX_ORDER_DELAY / 2 + self.random_below(MAX_ORDER_DELAY / 2)
        } else {
            MILLI + self.random_below(5 * MILLI)
        };
        if self.active_faults.contains(&FaultKind::OrderDoubled) {
            let copy_delay = MAX_ORDER_DELAY / 2 + self.random_below(MAX_ORDER_DELAY / 2);
            let copy = WorldEvent::DeliverOrder(run.clone(), backend.clone(), order.clone(), false);
            self.schedule(copy_delay, copy);
        }
        if delay > CLIENT_TIMEOUT {
            let event = order_ended(&backend, &order, OrderResult::Unknown);
            self.schedule_event(CLIENT_TIMEOUT, &run, event);
        }
        let answered = delay <= CLIENT_TIMEOUT;
        self.schedule(
            delay,
            WorldEvent::DeliverOrder(run, backend, order, answered),
        );
    }

    /// Whether the rule that drops orders after the end of the lease is disabled.
    #[cfg(feature = "test-defects")]
    fn sends_expired(&self) -> bool {
        self.options.defect == Some(ward_control::DefectKind::SkipLease)
    }

    /// Whether the rule that drops orders after the end of the lease is disabled.
    #[cfg(not(feature = "test-defects"))]
    #[allow(clippy::unused_self)]
    const fn sends_expired(&self) -> bool {
        false
    }

    fn check_leaving(&mut self, backend: &BackendId, order: &BackendOrder) {
        let leaving_since = self
            .engines
            .get(backend)
            .and_then(|engine| engine.leaving_since);
        let Some(leaving_since) = leaving_since else {
            return;
        };
        let load = matches!(order.kind, OrderKind::Load { .. });
        if load && self.now > leaving_since + LEAVING_GRACE * SECOND {
            let detail = format!("{backend} gets a load after the reclaim of its host");
            self.record_breach(PromiseKind::Leaving, detail);
        }
    }

    pub(crate) fn deliver_order(
        &mut self,
        run: &DaemonIncarnation,
        backend: &BackendId,
        order: &BackendOrder,
        answered: bool,
    ) {
        let Some(engine) = self.engines.get_mut(backend) else {
            return;
        };
        if !engine.alive {
            let event = order_ended(backend, order, OrderResult::Unknown);
            self.schedule_event(CLIENT_TIMEOUT, run, event);
            return;
        }
        let (result, effect) = engine.handle_order(order);
        let boot = engine.boot;
        match effect {
            OrderEffect::None => {}
            OrderEffect::Load(key) => {
                let delay = self.load_delay(key.is_adapter());
                self.schedule(delay, WorldEvent::LoadEnd(backend.clone(), boot, key));
            }
            OrderEffect::Unload(key) => {
                let delay = 20 * MILLI + self.random_below(200 * MILLI);
                self.schedule(delay, WorldEvent::UnloadEnd(backend.clone(), boot, key));
            }
        }
        if answered {
            let event = order_ended(backend, order, result);
            self.schedule_event(2 * MILLI, run, event);
        }
    }

    fn load_delay(&mut self, adapter: bool) -> u64 {
        let base_delay = if adapter {
            8 * MILLI
        } else {
            SECOND + self.random_below(SECOND)
        };
        if self.active_faults.contains(&FaultKind::StoreSlow) {
            return base_delay * 10;
        }
        base_delay
    }

    pub(crate) fn read_status(
        &mut self,
        run: &DaemonIncarnation,
        backend: &BackendId,
        started: MonoTime,
    ) {
        let engine = self.engines.get(backend).filter(|engine| engine.alive);
        let cut = self.is_cut_from_engines(&run.0);
        let Some(status) = engine
            .filter(|_| !cut)
            .map(crate::engine::FakeEngine::status)
        else {
            let backend = backend.clone();
            self.schedule_event(CLIENT_TIMEOUT, run, ControlEvent::StatusFailed { backend });
            return;
        };
        let delay = MILLI + self.random_below(3 * MILLI);
        self.schedule_event(delay, run, ControlEvent::Status { started, status });
    }

    pub(crate) fn read_hosts(&mut self, run: &DaemonIncarnation) {
        let hosts = self.hosts.read(self.now);
        self.schedule_event(MILLI, run, ControlEvent::Hosts { hosts });
    }

    fn send_message(
        &mut self,
        run: &DaemonIncarnation,
        daemon: &DaemonId,
        message: ward_protocol::PeerMessage,
    ) {
        let cut = self.is_cut_from_peers(&run.0) || self.is_cut_from_peers(daemon);
        let lost = self.random_below(50) == 0;
        let Some(slot) = self.daemons.get(daemon) else {
            return;
        };
        if cut || lost {
            return;
        }
        let receiver = (daemon.clone(), slot.incarnation);
        let Some(core) = self.daemons.get(&run.0).and_then(|slot| slot.core.as_ref()) else {
            return;
        };
        let envelope = PeerEnvelope {
            sender: run.0.clone(),
            incarnation: core.incarnation(),
            message,
        };
        let delay = MILLI / 2 + self.random_below(2 * MILLI);
        let duplicated = self.random_below(50) == 0;
        if duplicated {
            let envelope = envelope.clone();
            self.schedule_event(delay * 2, &receiver, ControlEvent::Peer { envelope });
        }
        self.schedule_event(delay, &receiver, ControlEvent::Peer { envelope });
    }
}

fn order_ended(backend: &BackendId, order: &BackendOrder, result: OrderResult) -> ControlEvent {
    ControlEvent::OrderEnded {
        backend: backend.clone(),
        order: order.order,
        result,
    }
}
