//! The simulated deployment: daemons, fakes and the event queue in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ward_control::{ControlAction, ControlEvent};
use ward_protocol::{
    BackendId, BackendOrder, ControlEnvelope, DaemonId, LogOffset, LogStream, MonoTime,
    PlanRevision, RecordId, ReplicaKey,
};

use crate::daemon::DaemonSlot;
use crate::engine::FakeEngine;
use crate::fault::FaultKind;
use crate::hosts::FakeHosts;
use crate::log::FakeLog;
use crate::promise::{AdoptionTracker, PromiseBreach, PromiseKind, check_engines};
use crate::render::{render_action, render_event};
use crate::script::ScriptStep;
use crate::step::MatrixStep;
use crate::timed_step::TimedStep;

/// Microseconds in a millisecond.
pub(crate) const MILLI: u64 = 1_000;
/// Microseconds in a second.
pub(crate) const SECOND: u64 = 1_000_000;

/// Time between ticks of a daemon.
const TICK_INTERVAL: u64 = 50 * MILLI;

/// Options of a session.
#[derive(Debug, Clone, Default)]
pub struct WorldOptions {
    /// Seed of all random delays and ids.
    pub seed: u64,
    /// Faults to inject, each at the first occurrence of its step.
    pub faults: Vec<(FaultKind, MatrixStep)>,
    /// Steps that replace the script, with their times in milliseconds.
    pub timed_steps: Vec<(u64, TimedStep)>,
    /// Whether random changes replace the script.
    pub chaos: bool,
    /// Whether to record the events and actions as lines of text.
    pub traced: bool,
    /// Rule that is disabled in every daemon.
    #[cfg(feature = "test-defects")]
    pub defect: Option<ward_control::DefectKind>,
}

/// A daemon and the number of its incarnation, to drop events for an earlier one.
pub(crate) type DaemonIncarnation = (DaemonId, u64);

/// A scheduled event.
#[derive(Debug, Clone)]
pub(crate) enum WorldEvent {
    Tick(DaemonIncarnation),
    /// A daemon is told of the requests that arrive at it.
    Traffic(DaemonIncarnation),
    Deliver(DaemonIncarnation, Box<ControlEvent>),
    /// The log answers a read of a stream from an offset on; with the time of its start.
    ReadLog(DaemonIncarnation, LogStream, LogOffset, MonoTime),
    Append(DaemonIncarnation, Box<ControlEnvelope>),
    /// A daemon sends an order to an engine unless a time on its monotonic clock has passed.
    SendOrder(DaemonIncarnation, BackendId, Box<BackendOrder>, MonoTime),
    /// An order arrives at an engine; true if the daemon gets the answer.
    DeliverOrder(DaemonIncarnation, BackendId, Box<BackendOrder>, bool),
    /// An engine answers a status request; with the time of its start.
    ReadStatus(DaemonIncarnation, BackendId, MonoTime),
    ReadHosts(DaemonIncarnation),
    /// A load ends on an engine, unless the engine's incarnation has changed since.
    LoadEnd(BackendId, u64, ReplicaKey),
    UnloadEnd(BackendId, u64, ReplicaKey),
    Script(ScriptStep),
    EndFault(FaultKind, DaemonId),
    HostRemoved(BackendId),
    HostRestored(BackendId),
    RandomChange,
    RunTimedStep(TimedStep),
}

#[derive(Debug)]
struct QueuedEvent {
    time: u64,
    sequence: u64,
    event: WorldEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.time, self.sequence) == (other.time, other.sequence)
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.time, self.sequence).cmp(&(other.time, other.sequence))
    }
}

/// A simulated deployment in virtual time.
#[derive(Debug)]
pub struct World {
    pub(crate) now: u64,
    pub(crate) options: WorldOptions,
    pub(crate) log: FakeLog,
    pub(crate) engines: IndexMap<BackendId, FakeEngine>,
    pub(crate) hosts: FakeHosts,
    pub(crate) daemons: IndexMap<DaemonId, DaemonSlot>,
    pub(crate) active_faults: IndexSet<FaultKind>,
    /// Daemon at which each fault was last injected.
    pub(crate) fault_targets: IndexMap<FaultKind, DaemonId>,
    pub(crate) injected_steps: IndexSet<MatrixStep>,
    pub(crate) pending_faults: Vec<(FaultKind, MatrixStep)>,
    pub(crate) adoption: AdoptionTracker,
    /// Ids of the records whose appends take effect but get no answer.
    pub(crate) lost_answers: IndexSet<RecordId>,
    /// Keys that are requested at every daemon, besides those of the script.
    pub(crate) requested_keys: IndexSet<ReplicaKey>,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    sequence: u64,
    random: ChaCha8Rng,
    breach: Option<PromiseBreach>,
    trace: Vec<String>,
    /// Newest trace lines of each daemon, used to omit repetitions.
    pub(crate) recent_lines: IndexMap<DaemonId, VecDeque<String>>,
}

impl World {
    /// Creates a deployment before its first event.
    #[must_use]
    pub fn new(options: WorldOptions) -> Self {
        let mut world = Self {
            now: 0,
            random: ChaCha8Rng::seed_from_u64(options.seed),
            pending_faults: options.faults.clone(),
            options,
            log: FakeLog::default(),
            engines: IndexMap::new(),
            hosts: FakeHosts::default(),
            daemons: IndexMap::new(),
            active_faults: IndexSet::new(),
            fault_targets: IndexMap::new(),
            injected_steps: IndexSet::new(),
            adoption: AdoptionTracker::default(),
            lost_answers: IndexSet::new(),
            requested_keys: IndexSet::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            breach: None,
            trace: Vec::new(),
            recent_lines: IndexMap::new(),
        };
        world.build();
        world
    }

    /// The lines recorded so far; empty unless the session is traced.
    #[must_use]
    pub fn trace(&self) -> &[String] {
        &self.trace
    }

    /// Whether a fault was injected at this step.
    #[must_use]
    pub fn has_injected_at(&self, step: MatrixStep) -> bool {
        self.injected_steps.contains(&step)
    }

    /// The fake log, with the reference state.
    #[must_use]
    pub const fn log(&self) -> &FakeLog {
        &self.log
    }

    /// A random number below `bound`; a bound of 0 counts as 1.
    pub(crate) fn random_below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }

    /// Schedules an event after a delay in microseconds.
    pub(crate) fn schedule(&mut self, delay: u64, event: WorldEvent) {
        self.sequence += 1;
        self.queue.push(Reverse(QueuedEvent {
            time: self.now + delay,
            sequence: self.sequence,
            event,
        }));
    }

    pub(crate) fn trace_line(&mut self, line: impl FnOnce() -> String) {
        if self.options.traced {
            let millis = self.now / MILLI;
            self.trace.push(format!(
                "{:>6}.{:03} {}",
                millis / 1_000,
                millis % 1_000,
                line()
            ));
        }
    }

    /// Records a line of a daemon unless it equals one of its newest lines.
    fn trace_daemon_line(&mut self, daemon: &DaemonId, line: &str) {
        /// Number of newest lines that a line is compared with.
        const RECENT_LINES: usize = 8;
        if !self.options.traced {
            return;
        }
        let recent = self.recent_lines.entry(daemon.clone()).or_default();
        if recent.iter().any(|recent_line| recent_line == line) {
            return;
        }
        recent.push_back(line.to_owned());
        if recent.len() > RECENT_LINES {
            recent.pop_front();
        }
        self.trace_line(|| format!("{daemon} {line}"));
    }

    /// Runs all events up to a true time in seconds.
    ///
    /// # Errors
    /// The first broken promise.
    pub fn run_until(&mut self, seconds: u64) -> Result<(), PromiseBreach> {
        while let Some(Reverse(queued)) = self.queue.pop() {
            if queued.time > seconds * SECOND {
                self.queue.push(Reverse(queued));
                break;
            }
            self.now = queued.time;
            self.handle_event(queued.event);
            self.check_promises();
            if let Some(breach) = self.breach.clone() {
                return Err(breach);
            }
        }
        Ok(())
    }

    pub(crate) fn record_breach(&mut self, kind: PromiseKind, detail: String) {
        let at = self.now;
        self.breach
            .get_or_insert(PromiseBreach { kind, at, detail });
    }

    fn check_promises(&mut self) {
        self.adoption.update(&self.log);
        if let Err((kind, detail)) = check_engines(&self.log, &self.adoption, &self.engines) {
            self.record_breach(kind, detail);
        }
    }

    fn handle_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick(incarnation) => {
                if self.is_live(&incarnation) {
                    self.schedule(TICK_INTERVAL, WorldEvent::Tick(incarnation.clone()));
                    self.deliver(&incarnation, ControlEvent::Tick);
                }
            }
            WorldEvent::Traffic(incarnation) => self.report_traffic(&incarnation),
            WorldEvent::Deliver(incarnation, event) => self.deliver(&incarnation, *event),
            WorldEvent::ReadLog(incarnation, stream, from, started) => {
                self.read_log(&incarnation, stream, from, started);
            }
            WorldEvent::Append(incarnation, envelope) => self.append(&incarnation, &envelope),
            WorldEvent::SendOrder(incarnation, backend, order, not_after) => {
                self.send_order(incarnation, backend, order, not_after);
            }
            WorldEvent::DeliverOrder(incarnation, backend, order, answered) => {
                self.deliver_order(&incarnation, &backend, &order, answered);
            }
            WorldEvent::ReadStatus(incarnation, backend, started) => {
                self.read_status(&incarnation, &backend, started);
            }
            WorldEvent::ReadHosts(incarnation) => self.read_hosts(&incarnation),
            WorldEvent::LoadEnd(backend, boot, key) => {
                if let Some(engine) = self.engines.get_mut(&backend) {
                    engine.finish_load(&key, boot);
                }
            }
            WorldEvent::UnloadEnd(backend, boot, key) => {
                if let Some(engine) = self.engines.get_mut(&backend) {
                    engine.finish_unload(&key, boot);
                }
            }
            WorldEvent::Script(step) => self.run_step(step),
            WorldEvent::EndFault(fault, daemon) => self.end_fault(fault, &daemon),
            WorldEvent::HostRemoved(backend) => self.remove_host(&backend),
            WorldEvent::HostRestored(backend) => self.restore_host(&backend),
            WorldEvent::RandomChange => self.change_randomly(),
            WorldEvent::RunTimedStep(timed_step) => self.run_timed_step(timed_step),
        }
    }

    /// Whether a daemon is running and still in the incarnation of an event.
    pub(crate) fn is_live(&self, incarnation: &DaemonIncarnation) -> bool {
        let slot = self.daemons.get(&incarnation.0);
        slot.is_some_and(|slot| slot.incarnation == incarnation.1 && slot.core.is_some())
    }

    /// Delivers an event to a daemon and performs the actions that it decides on.
    pub(crate) fn deliver(&mut self, incarnation: &DaemonIncarnation, event: ControlEvent) {
        if !self.is_live(incarnation) {
            return;
        }
        let now = self.now;
        let Some(slot) = self.daemons.get_mut(&incarnation.0) else {
            return;
        };
        if slot.frozen {
            slot.defer(event);
            return;
        }
        let rendered = render_event(&event);
        let mono = slot.clock.mono(now);
        let wall = slot.clock.wall(now);
        let Some(core) = slot.core.as_mut() else {
            return;
        };
        let actions = core.step(mono, wall, event);
        if let Some(line) = rendered {
            self.trace_daemon_line(&incarnation.0, &format!("< {line}"));
        }
        for action in actions {
            if let Some(line) = render_action(&action) {
                self.trace_daemon_line(&incarnation.0, &format!("> {line}"));
            }
            self.inject_at(|step| step.matches(&action), Some(&incarnation.0));
            self.perform_action(incarnation, action);
        }
        self.check_daemon(&incarnation.0);
    }

    fn check_daemon(&mut self, daemon: &DaemonId) {
        let Some(slot) = self.daemons.get_mut(daemon) else {
            return;
        };
        let Some(core) = slot.core.as_ref() else {
            return;
        };
        let state = core.state();
        let (applied, adopted) = (state.applied(), state.adopted());
        let before = slot.last_adopted;
        slot.last_adopted = before.max(adopted);
        let fresh = slot.last_checked < applied;
        slot.last_checked = applied;
        let digest = if fresh { state.digest().ok() } else { None };
        if adopted < before {
            let detail = format!("{daemon} went from revision {before} to {adopted}");
            self.record_breach(PromiseKind::Revision, detail);
        }
        if fresh && digest.as_ref() != self.log.digests.get(&applied) {
            let detail = format!("{daemon} differs from the reference state at offset {applied}");
            self.record_breach(PromiseKind::Agreement, detail);
        }
    }

    /// The plan revision in force in the reference state.
    #[must_use]
    pub fn adopted(&self) -> PlanRevision {
        self.log.reference.adopted()
    }

    /// Whether a replica of a key is ready on some engine and every daemon routes to it.
    #[must_use]
    pub fn is_served(&self, key: &ReplicaKey) -> bool {
        let loaded = self
            .engines
            .values()
            .any(|engine| engine.alive && engine.is_ready(key));
        let routed = self.daemons.values().all(|slot| slot.routes_to(key));
        loaded && routed
    }

    pub(crate) fn perform_action(
        &mut self,
        incarnation: &DaemonIncarnation,
        action: ControlAction,
    ) {
        self.dispatch_action(incarnation, action);
    }
}
