//! Carrying out what daemons decide, against the fakes.

use ward_control::{ControlAction, ControlCore, ControlEvent};
use ward_protocol::{
    AppendResult, BackendId, BackendOrder, ControlEnvelope, DaemonId, LogOffset, LogStream,
    MonoTime, OrderKind, OrderResult, PeerEnvelope,
};

use crate::engine::OrderEffect;
use crate::fault::FaultKind;
use crate::promise::PromiseKind;
use crate::world::{DaemonLife, MILLI, SECOND, World, WorldEvent};

/// Time after which a client gives up.
const CLIENT_TIMEOUT: u64 = SECOND;
/// Longest delay of an order that still counts as within its life.
const LONG_ORDER: u64 = 1_900 * MILLI;
/// Seconds after which a leaving engine must get no load.
const LEAVING_GRACE: u64 = 3;

impl World {
    pub(crate) fn carry(&mut self, life: &DaemonLife, action: ControlAction) {
        match action {
            ControlAction::Read { stream, from } => self.begin_read(life, stream, from),
            ControlAction::ReadSnapshot => self.read_snapshot(life),
            ControlAction::FetchState { peer, .. } => self.fetch_state(life, peer),
            ControlAction::Append { envelope } => self.begin_append(life, envelope),
            ControlAction::WriteSnapshot { control, bytes, .. } => {
                self.write_snapshot(life, control, bytes);
            }
            ControlAction::Order {
                backend,
                order,
                not_after,
                ..
            } => {
                let delay = self.below(2 * MILLI);
                let order = Box::new(order);
                let event = WorldEvent::SendOrder(life.clone(), backend, order, not_after);
                self.schedule(delay, event);
            }
            ControlAction::FetchStatus { backend, .. } => {
                let started = self.mono(&life.0);
                let delay = MILLI + self.below(3 * MILLI);
                self.schedule(
                    delay,
                    WorldEvent::SampleStatus(life.clone(), backend, started),
                );
            }
            ControlAction::FetchHosts => {
                let delay = MILLI + self.below(5 * MILLI);
                self.schedule(delay, WorldEvent::SampleHosts(life.clone()));
            }
            ControlAction::Send {
                daemon, message, ..
            } => self.send_message(life, &daemon, message),
            ControlAction::Publish => {}
            ControlAction::Stopped => {
                if let Some(slot) = self.daemons.get_mut(&life.0) {
                    slot.core = None;
                }
            }
        }
    }

    pub(crate) fn mono(&self, daemon: &DaemonId) -> MonoTime {
        self.daemons[daemon].clock.mono(self.now)
    }

    fn answer(&mut self, delay: u64, life: &DaemonLife, event: ControlEvent) {
        self.schedule(delay, WorldEvent::Deliver(life.clone(), Box::new(event)));
    }

    /// One way between a daemon and the log, in microseconds.
    fn log_delay(&mut self) -> u64 {
        if self.active.contains(&FaultKind::LogSlow) {
            return 400 * MILLI + self.below(300 * MILLI);
        }
        MILLI + self.below(8 * MILLI)
    }

    fn begin_read(&mut self, life: &DaemonLife, stream: LogStream, from: LogOffset) {
        let started = self.mono(&life.0);
        let delay = self.log_delay();
        if self.is_cut_from_log(&life.0) {
            let failed = ControlEvent::ReadFailed { stream };
            self.answer(delay, life, failed);
            return;
        }
        let event = WorldEvent::SampleRead(life.clone(), stream, from, started);
        self.schedule(delay, event);
    }

    pub(crate) fn sample_read(
        &mut self,
        life: &DaemonLife,
        stream: LogStream,
        from: LogOffset,
        started: MonoTime,
    ) {
        let stale = self.is_struck(FaultKind::LogStale, &life.0) && stream == LogStream::Control;
        let lag = if stale { self.stale_lag(&life.0) } else { 0 };
        let sample = self.log.read(stream, from, lag);
        let delay = self.log_delay();
        let event = ControlEvent::Read {
            stream,
            started,
            records: sample.records,
            end: sample.end,
            cut: None,
        };
        self.answer(delay, life, event);
    }

    fn read_snapshot(&mut self, life: &DaemonLife) {
        let delay = self.log_delay();
        let event = if self.is_cut_from_log(&life.0) {
            let stream = LogStream::Snapshot;
            ControlEvent::ReadFailed { stream }
        } else {
            let bytes = self.log.snapshot().cloned();
            bytes.map_or(ControlEvent::NoSnapshot, |bytes| ControlEvent::Snapshot {
                bytes,
            })
        };
        self.answer(delay, life, event);
    }

    fn fetch_state(&mut self, life: &DaemonLife, peer: std::net::SocketAddr) {
        let other = self.daemons.values().find(|slot| slot.member.peers == peer);
        let Some(slot) = other else {
            return;
        };
        let cut = self.is_cut_from_peers(&life.0) || self.is_cut_from_peers(&slot.member.daemon);
        let state = slot
            .core
            .as_ref()
            .filter(|_| !slot.frozen)
            .map(ControlCore::state);
        let Some(Ok(bytes)) = state.map(ward_state::ClusterState::encode) else {
            return;
        };
        if !cut {
            self.answer(5 * MILLI, life, ControlEvent::Snapshot { bytes });
        }
    }

    fn begin_append(&mut self, life: &DaemonLife, envelope: ControlEnvelope) {
        let delay = self.log_delay();
        if self.is_cut_from_log(&life.0) {
            let refused = self.below(2) == 0;
            let result = if refused {
                AppendResult::Refused
            } else {
                AppendResult::Unknown
            };
            let record = envelope.id;
            self.answer(delay, life, ControlEvent::Appended { record, result });
            return;
        }
        if self.active.contains(&FaultKind::AnswerLost) && self.below(2) == 0 {
            self.lost_answers.insert(envelope.id);
            // Half of these take effect late, after the client gave up.
            let late = self.below(2) * (CLIENT_TIMEOUT + self.below(500 * MILLI));
            let record = envelope.id;
            let result = AppendResult::Unknown;
            self.answer(
                CLIENT_TIMEOUT,
                life,
                ControlEvent::Appended { record, result },
            );
            let event = WorldEvent::Append(life.clone(), Box::new(envelope));
            self.schedule(delay + late, event);
            return;
        }
        self.schedule(delay, WorldEvent::Append(life.clone(), Box::new(envelope)));
    }

    pub(crate) fn append(&mut self, life: &DaemonLife, envelope: &ControlEnvelope) {
        self.log.append_control(envelope);
        if self.lost_answers.contains(&envelope.id) {
            return;
        }
        let delay = self.log_delay();
        let record = envelope.id;
        let result = AppendResult::Stored;
        self.answer(delay, life, ControlEvent::Appended { record, result });
    }

    fn write_snapshot(&mut self, life: &DaemonLife, control: LogOffset, bytes: Vec<u8>) {
        let delay = self.log_delay() * 2;
        let stored = !self.is_cut_from_log(&life.0);
        if stored {
            self.log.store_snapshot(bytes);
        }
        self.answer(
            delay,
            life,
            ControlEvent::SnapshotWritten { control, stored },
        );
    }

    pub(crate) fn send_order(
        &mut self,
        life: DaemonLife,
        backend: BackendId,
        order: Box<BackendOrder>,
        not_after: MonoTime,
    ) {
        if !self.is_live(&life) {
            return;
        }
        let Some(slot) = self.daemons.get_mut(&life.0) else {
            return;
        };
        if slot.frozen {
            let address = slot.member.peers;
            slot.unsent.push(ControlAction::Order {
                backend,
                address,
                order: *order,
                not_after,
            });
            return;
        }
        let expired = slot.clock.mono(self.now) > not_after && !self.sends_expired();
        if expired || self.is_cut_from_engines(&life.0) {
            let event = order_ended(&backend, &order, OrderResult::Unknown);
            self.answer(CLIENT_TIMEOUT, &life, event);
            return;
        }
        self.check_leaving(&backend, &order);
        let long = self.active.contains(&FaultKind::OrderDelayed);
        let delay = if long {
            LONG_ORDER / 2 + self.below(LONG_ORDER / 2)
        } else {
            MILLI + self.below(5 * MILLI)
        };
        if self.active.contains(&FaultKind::OrderDoubled) {
            let again = LONG_ORDER / 2 + self.below(LONG_ORDER / 2);
            let copy = WorldEvent::LandOrder(life.clone(), backend.clone(), order.clone(), false);
            self.schedule(again, copy);
        }
        if delay > CLIENT_TIMEOUT {
            let event = order_ended(&backend, &order, OrderResult::Unknown);
            self.answer(CLIENT_TIMEOUT, &life, event);
        }
        let answered = delay <= CLIENT_TIMEOUT;
        self.schedule(delay, WorldEvent::LandOrder(life, backend, order, answered));
    }

    /// Whether daemons lack the rule to drop orders whose lease has run out.
    #[cfg(feature = "test-defects")]
    fn sends_expired(&self) -> bool {
        self.options.defect == Some(ward_control::DefectKind::SkipLease)
    }

    /// Whether daemons lack the rule to drop orders whose lease has run out.
    #[cfg(not(feature = "test-defects"))]
    #[allow(clippy::unused_self)]
    const fn sends_expired(&self) -> bool {
        false
    }

    fn check_leaving(&mut self, backend: &BackendId, order: &BackendOrder) {
        let since = self.engines.get(backend).and_then(|engine| engine.leaving);
        let Some(since) = since else {
            return;
        };
        let load = matches!(order.kind, OrderKind::Load { .. });
        if load && self.now > since + LEAVING_GRACE * SECOND {
            let detail = format!("{backend} gets a load");
            self.fail(PromiseKind::Leaving, detail);
        }
    }

    pub(crate) fn land_order(
        &mut self,
        life: &DaemonLife,
        backend: &BackendId,
        order: &BackendOrder,
        answered: bool,
    ) {
        let Some(engine) = self.engines.get_mut(backend) else {
            return;
        };
        if !engine.alive {
            let event = order_ended(backend, order, OrderResult::Unknown);
            self.answer(CLIENT_TIMEOUT, life, event);
            return;
        }
        let (result, effect) = engine.take(order);
        let boot = engine.boot;
        match effect {
            OrderEffect::None => {}
            OrderEffect::Load(key) => {
                let delay = self.load_delay(key.is_adapter());
                self.schedule(delay, WorldEvent::LoadEnd(backend.clone(), boot, key));
            }
            OrderEffect::Unload(key) => {
                let delay = 20 * MILLI + self.below(200 * MILLI);
                self.schedule(delay, WorldEvent::UnloadEnd(backend.clone(), boot, key));
            }
        }
        if answered {
            let event = order_ended(backend, order, result);
            self.answer(2 * MILLI, life, event);
        }
    }

    fn load_delay(&mut self, adapter: bool) -> u64 {
        let usual = if adapter {
            8 * MILLI
        } else {
            SECOND + self.below(SECOND)
        };
        if self.active.contains(&FaultKind::StoreSlow) {
            return usual * 10;
        }
        usual
    }

    pub(crate) fn sample_status(
        &mut self,
        life: &DaemonLife,
        backend: &BackendId,
        started: MonoTime,
    ) {
        let engine = self.engines.get(backend).filter(|engine| engine.alive);
        let cut = self.is_cut_from_engines(&life.0);
        let Some(status) = engine
            .filter(|_| !cut)
            .map(crate::engine::FakeEngine::status)
        else {
            let backend = backend.clone();
            self.answer(CLIENT_TIMEOUT, life, ControlEvent::StatusFailed { backend });
            return;
        };
        let delay = MILLI + self.below(3 * MILLI);
        self.answer(delay, life, ControlEvent::Status { started, status });
    }

    pub(crate) fn sample_hosts(&mut self, life: &DaemonLife) {
        let hosts = self.hosts.read(self.now);
        self.answer(MILLI, life, ControlEvent::Hosts { hosts });
    }

    fn send_message(
        &mut self,
        life: &DaemonLife,
        daemon: &DaemonId,
        message: ward_protocol::PeerMessage,
    ) {
        let cut = self.is_cut_from_peers(&life.0) || self.is_cut_from_peers(daemon);
        let lost = self.below(50) == 0;
        let Some(slot) = self.daemons.get(daemon) else {
            return;
        };
        if cut || lost {
            return;
        }
        let receiver = (daemon.clone(), slot.life);
        let Some(core) = self
            .daemons
            .get(&life.0)
            .and_then(|slot| slot.core.as_ref())
        else {
            return;
        };
        let envelope = PeerEnvelope {
            sender: life.0.clone(),
            incarnation: core.incarnation(),
            message,
        };
        let delay = MILLI / 2 + self.below(2 * MILLI);
        let doubled = self.below(50) == 0;
        if doubled {
            let envelope = envelope.clone();
            self.answer(delay * 2, &receiver, ControlEvent::Peer { envelope });
        }
        self.answer(delay, &receiver, ControlEvent::Peer { envelope });
    }
}

fn order_ended(backend: &BackendId, order: &BackendOrder, result: OrderResult) -> ControlEvent {
    ControlEvent::OrderEnded {
        backend: backend.clone(),
        order: order.order,
        result,
    }
}
