//! Builds the deployment before its first event and starts daemons.

use ward_control::{ControlConfig, ControlCore};
use ward_protocol::{
    BackendInfo, BackendKind, DaemonId, FencingSupport, Incarnation, LeaseTimes, MemberInfo,
    PlanRevision, TimeSpan,
};

use crate::daemon::DaemonSlot;
use crate::engine::FakeEngine;
use crate::promise::gib;
use crate::script::SCRIPT;
use crate::world::{MILLI, SECOND, World, WorldEvent};

/// Number of daemons at the start; the script adds one.
pub(crate) const DAEMONS: u64 = 3;
/// The id of a daemon; numbers count from 1.
pub(crate) fn daemon_id(number: u64) -> Option<DaemonId> {
    format!("entry-{number}").parse().ok()
}

fn member(number: u64) -> Option<MemberInfo> {
    let zone = if number % 2 == 1 { "vic" } else { "moste" };
    let address = |port: u64| format!("127.0.0.1:{}", port + number).parse().ok();
    Some(MemberInfo {
        daemon: daemon_id(number)?,
        incarnation: Incarnation::default(),
        zone: zone.parse().ok()?,
        callers: address(8_000)?,
        peers: address(9_000)?,
        operators: address(10_000)?,
    })
}

fn engine_info(number: u64) -> Option<BackendInfo> {
    let zone = if number % 2 == 1 { "vic" } else { "moste" };
    let fencing = if number.is_multiple_of(2) {
        FencingSupport::Ignores
    } else {
        FencingSupport::Checks
    };
    Some(BackendInfo {
        backend: format!("engine-{number}").parse().ok()?,
        kind: BackendKind::Engine,
        zone: zone.parse().ok()?,
        address: format!("127.0.0.1:{}", 7_000 + number).parse().ok()?,
        memory: gib(24),
        fencing,
        services: Vec::new(),
    })
}

impl World {
    pub(crate) fn build(&mut self) {
        for info in (1..=4).filter_map(engine_info) {
            self.engines
                .insert(info.backend.clone(), FakeEngine::new(info));
        }
        self.publish_hosts();
        for number in 1..=DAEMONS {
            self.add_daemon(number);
        }
        if self.options.chaos {
            self.schedule(SECOND, WorldEvent::RandomChange);
            return;
        }
        if !self.options.timed_steps.is_empty() {
            for (at, timed_step) in self.options.timed_steps.clone() {
                self.schedule(at * MILLI, WorldEvent::RunTimedStep(timed_step));
            }
            return;
        }
        for (at, step) in SCRIPT {
            self.schedule(at * SECOND, WorldEvent::Script(*step));
        }
    }

    /// Starts a daemon, in a new incarnation if it ran before.
    pub(crate) fn add_daemon(&mut self, number: u64) {
        let Some(member) = member(number) else {
            return;
        };
        let daemon = member.daemon.clone();
        self.daemons
            .entry(daemon.clone())
            .or_insert_with(|| DaemonSlot::new(member, number * 1_000 * SECOND));
        self.start_daemon(&daemon);
    }

    pub(crate) fn start_daemon(&mut self, daemon: &DaemonId) {
        let now = self.now;
        let seed = self.random_below(u64::MAX);
        let peers = self
            .daemons
            .values()
            .map(|slot| slot.member.peers)
            .collect();
        let Some(slot) = self.daemons.get_mut(daemon) else {
            return;
        };
        self.recent_lines.shift_remove(daemon);
        slot.incarnation += 1;
        slot.frozen = false;
        slot.deferred.clear();
        slot.pending_actions.clear();
        slot.last_adopted = PlanRevision::default();
        slot.last_checked = ward_protocol::LogOffset::ZERO;
        let member = MemberInfo {
            incarnation: Incarnation(slot.clock.wall(now).0),
            ..slot.member.clone()
        };
        let mut config = ControlConfig::new(member, seed);
        config.peers = peers;
        config.snapshot_records = 25;
        config.limits.model_loads = 2;
        config.lease = LeaseTimes::default();
        config.policy.keep_shortest = TimeSpan::from_secs(2);
        config.policy.keep_longest = TimeSpan::from_secs(3);
        #[cfg(feature = "test-defects")]
        if let Some(defect) = self.options.defect {
            config = config.with_defects(ward_control::DefectSet::only(defect));
        }
        slot.core = Some(ControlCore::new(config, slot.clock.mono(now)));
        let incarnation = (daemon.clone(), slot.incarnation);
        let first = self.random_below(20 * MILLI);
        self.schedule(first, WorldEvent::Tick(incarnation.clone()));
        self.schedule(first + 10 * MILLI, WorldEvent::Traffic(incarnation));
    }
}
