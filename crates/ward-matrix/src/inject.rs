//! Starts and ends faults, and executes the steps of the script.

use ward_control::ControlEvent;
use ward_protocol::{
    BackendId, DaemonId, HostEntry, HostState, PlanChange, PlanEnvelope, PlanRecord, PlanRevision,
    RecordId, ReplicaKey, TimeSpan, WakeHint, record::RECORD_FORMAT,
};

use crate::fault::FaultKind;
use crate::script::{FAULTS_END, ScriptStep, TRAFFIC, competing_plan, first_plan, second_plan};
use crate::setup::{DAEMONS, daemon_id};
use crate::step::MatrixStep;
use crate::world::{DaemonIncarnation, MILLI, SECOND, World, WorldEvent};

/// Duration of most faults: longer than the lease and than the time until a member expires.
const FAULT_DURATION: u64 = 7 * SECOND;
/// Time from the reclaim of a host to its removal.
const RECLAIM_DELAY: u64 = 6 * SECOND;
/// Time from the kill of a daemon to its restart.
const RESTART_DELAY: u64 = 4 * SECOND;
/// Time between two hints about a daemon's waiting requests.
const TRAFFIC_INTERVAL: u64 = 300 * MILLI;

/// Duration of a fault in a cell of the matrix.
const fn fault_duration(fault: FaultKind) -> u64 {
    match fault {
        FaultKind::DaemonKilled => RESTART_DELAY,
        _ => FAULT_DURATION,
    }
}

impl World {
    pub(crate) fn publish_hosts(&mut self) {
        let alive = self.engines.values().filter(|engine| engine.alive);
        let entries = alive.map(|engine| HostEntry {
            info: engine.info.clone(),
            state: if engine.leaving_since.is_some() {
                HostState::Leaving
            } else {
                HostState::Live
            },
        });
        let entries = entries.collect();
        self.hosts.publish(self.now, entries);
    }

    /// Reports the requests at a daemon: as waiting, or as served if a replica is ready.
    pub(crate) fn report_traffic(&mut self, incarnation: &DaemonIncarnation) {
        if !self.is_live(incarnation) {
            return;
        }
        self.schedule(TRAFFIC_INTERVAL, WorldEvent::Traffic(incarnation.clone()));
        let second = self.now / SECOND;
        let slot = &self.daemons[&incarnation.0];
        let wall = slot.clock.wall(self.now);
        let scripted_traffic = !self.options.chaos && self.options.timed_steps.is_empty();
        let scripted = TRAFFIC
            .iter()
            .filter(|(from, to, _)| scripted_traffic && (*from..*to).contains(&second))
            .filter_map(|(_, _, text)| text.parse::<ReplicaKey>().ok());
        let mut events = Vec::new();
        for key in scripted.chain(self.requested_keys.iter().cloned()) {
            let ready = slot.routes_to(&key);
            let hint = WakeHint {
                key,
                waiting: 2,
                priority: ward_protocol::PriorityLevel::default(),
                deadline: wall + TimeSpan::from_secs(20),
            };
            events.push(if ready {
                ControlEvent::Used { hint }
            } else {
                ControlEvent::Wanted { hint }
            });
        }
        for event in events {
            self.deliver(incarnation, event);
        }
    }

    /// Injects the pending faults whose step matches; none from `FAULTS_END` on.
    pub(crate) fn inject_at(
        &mut self,
        matches: impl Fn(MatrixStep) -> bool,
        actor: Option<&DaemonId>,
    ) {
        let matching: Vec<_> = self
            .pending_faults
            .iter()
            .copied()
            .filter(|(_, step)| matches(*step))
            .collect();
        if matching.is_empty() || self.now >= FAULTS_END * SECOND {
            return;
        }
        self.pending_faults.retain(|(_, step)| !matches(*step));
        for (fault, step) in matching {
            self.injected_steps.insert(step);
            let daemon = actor
                .cloned()
                .or_else(|| daemon_id(1 + self.random_below(DAEMONS)));
            if let Some(daemon) = daemon {
                self.trace_line(|| format!("! {fault} at {step} on {daemon}"));
                let duration = fault_duration(fault);
                self.inject(fault, daemon, duration);
            }
        }
    }

    pub(crate) fn inject(&mut self, fault: FaultKind, daemon: DaemonId, duration: u64) {
        self.active_faults.insert(fault);
        match fault {
            FaultKind::DaemonKilled => {
                if let Some(slot) = self.daemons.get_mut(&daemon) {
                    slot.core = None;
                }
            }
            FaultKind::DaemonFrozen => {
                if let Some(slot) = self.daemons.get_mut(&daemon) {
                    slot.frozen = true;
                }
            }
            FaultKind::ListBehind => self.hosts.lag = 5 * SECOND,
            FaultKind::HostReclaimed => {
                if let Some(backend) = self.fullest_engine() {
                    self.reclaim(&backend);
                }
            }
            FaultKind::EngineCrash => {
                if let Some(backend) = self.fullest_engine()
                    && let Some(engine) = self.engines.get_mut(&backend)
                {
                    engine.crash();
                }
            }
            FaultKind::ClockFast => self.set_rate(&daemon, 1_050_000),
            FaultKind::ClockSlow => self.set_rate(&daemon, 950_000),
            FaultKind::OperatorRace => {
                let base = self.log.reference.plans().head();
                self.submit(base, second_plan());
                self.submit(base, competing_plan());
            }
            FaultKind::CutFromPeers
            | FaultKind::CutFromLog
            | FaultKind::CutFromEngines
            | FaultKind::LogDown
            | FaultKind::LogSlow
            | FaultKind::AnswerLost
            | FaultKind::LogStale
            | FaultKind::StoreSlow
            | FaultKind::OrderDelayed
            | FaultKind::OrderDoubled => {}
        }
        self.fault_targets.insert(fault, daemon.clone());
        self.schedule(duration, WorldEvent::EndFault(fault, daemon));
    }

    pub(crate) fn end_fault(&mut self, fault: FaultKind, daemon: &DaemonId) {
        self.trace_line(|| format!("! {fault} on {daemon} ends"));
        self.active_faults.shift_remove(&fault);
        match fault {
            FaultKind::DaemonKilled => {
                let stopping = self.daemons[daemon].stopping;
                if !stopping {
                    self.start_daemon(daemon);
                }
            }
            FaultKind::DaemonFrozen => self.unfreeze(daemon),
            FaultKind::ListBehind => self.hosts.lag = 0,
            FaultKind::ClockFast | FaultKind::ClockSlow => self.set_rate(daemon, 1_000_000),
            FaultKind::HostReclaimed
            | FaultKind::EngineCrash
            | FaultKind::OperatorRace
            | FaultKind::CutFromPeers
            | FaultKind::CutFromLog
            | FaultKind::CutFromEngines
            | FaultKind::LogDown
            | FaultKind::LogSlow
            | FaultKind::AnswerLost
            | FaultKind::LogStale
            | FaultKind::StoreSlow
            | FaultKind::OrderDelayed
            | FaultKind::OrderDoubled => {}
        }
    }

    fn unfreeze(&mut self, daemon: &DaemonId) {
        let Some(slot) = self.daemons.get_mut(daemon) else {
            return;
        };
        slot.frozen = false;
        let incarnation = (daemon.clone(), slot.incarnation);
        let pending_actions = std::mem::take(&mut slot.pending_actions);
        let deferred = std::mem::take(&mut slot.deferred);
        for action in pending_actions {
            self.perform_action(&incarnation, action);
        }
        for event in deferred {
            self.deliver(&incarnation, event);
        }
    }

    fn set_rate(&mut self, daemon: &DaemonId, rate: u64) {
        let now = self.now;
        if let Some(slot) = self.daemons.get_mut(daemon) {
            slot.clock.set_rate(now, rate);
        }
    }

    fn fullest_engine(&self) -> Option<BackendId> {
        let alive = self.engines.values().filter(|engine| engine.alive);
        let fullest =
            alive.max_by_key(|engine| (engine.used_memory(), engine.info.backend.clone()))?;
        Some(fullest.info.backend.clone())
    }

    pub(crate) fn reclaim(&mut self, backend: &BackendId) {
        let now = self.now;
        if let Some(engine) = self.engines.get_mut(backend) {
            engine.leaving_since = Some(now);
        }
        self.publish_hosts();
        self.schedule(RECLAIM_DELAY, WorldEvent::HostRemoved(backend.clone()));
    }

    pub(crate) fn remove_host(&mut self, backend: &BackendId) {
        if let Some(engine) = self.engines.get_mut(backend) {
            engine.alive = false;
            engine.resident.clear();
        }
        self.publish_hosts();
        if self.options.chaos {
            self.schedule(RECLAIM_DELAY, WorldEvent::HostRestored(backend.clone()));
        }
    }

    /// The platform returns the host under its former name, with an empty engine.
    pub(crate) fn restore_host(&mut self, backend: &BackendId) {
        if let Some(engine) = self.engines.get_mut(backend) {
            engine.crash();
            engine.alive = true;
            engine.leaving_since = None;
        }
        self.publish_hosts();
    }

    pub(crate) fn submit(&mut self, base: PlanRevision, change: PlanChange) {
        let Ok(author) = "planner".parse() else {
            return;
        };
        let id = RecordId(u128::from(self.random_below(u64::MAX)));
        let envelope = PlanEnvelope {
            format: RECORD_FORMAT,
            id,
            author,
            submitted_at: ward_protocol::WallTime::default(),
            body: PlanRecord::Submit { base, change },
        };
        self.log.append_plan(&envelope);
    }

    pub(crate) fn run_step(&mut self, step: ScriptStep) {
        self.trace_line(|| format!("* {step:?}"));
        match step {
            ScriptStep::FirstPlan => self.submit(PlanRevision::default(), first_plan()),
            ScriptStep::SecondPlan => {
                let base = self.log.reference.plans().head();
                self.submit(base, second_plan());
            }
            ScriptStep::Retreat => self.retreat(),
            ScriptStep::Join => {
                self.add_daemon(DAEMONS + 1);
            }
            ScriptStep::Stop => self.stop_daemon(),
        }
        self.inject_at(|fault_step| fault_step.matches_script(step), None);
    }

    pub(crate) fn retreat(&mut self) {
        let base = self.log.reference.plans().head();
        let first = self.log.reference.plans().revisions().next();
        let Some(to) = first.map(|info| info.revision) else {
            return;
        };
        self.submit(base, PlanChange::Retreat { to });
    }

    fn stop_daemon(&mut self) {
        let Some(daemon) = daemon_id(2) else {
            return;
        };
        let Some(slot) = self.daemons.get_mut(&daemon) else {
            return;
        };
        slot.stopping = true;
        let incarnation = (daemon, slot.incarnation);
        self.deliver(&incarnation, ControlEvent::Stop);
    }

    /// Whether a fault is active and targets this daemon.
    pub(crate) fn is_affected(&self, fault: FaultKind, daemon: &DaemonId) -> bool {
        self.active_faults.contains(&fault) && self.fault_targets.get(&fault) == Some(daemon)
    }

    pub(crate) fn is_cut_from_log(&self, daemon: &DaemonId) -> bool {
        let down = self.active_faults.contains(&FaultKind::LogDown);
        down || self.is_affected(FaultKind::CutFromLog, daemon)
    }

    pub(crate) fn is_cut_from_peers(&self, daemon: &DaemonId) -> bool {
        self.is_affected(FaultKind::CutFromPeers, daemon)
    }

    pub(crate) fn is_cut_from_engines(&self, daemon: &DaemonId) -> bool {
        self.is_affected(FaultKind::CutFromEngines, daemon)
    }

    /// Number of newest records that a stale read omits, so that it ends one record below what
    /// the daemon has already applied.
    pub(crate) fn stale_lag(&self, daemon: &DaemonId) -> usize {
        let core = self.daemons[daemon].core.as_ref();
        let applied = core.map(|core| core.state().applied()).unwrap_or_default();
        let newer = self.log.control_after(applied);
        newer + 1
    }
}
