//! Sessions with explicit steps and times in place of the script.

use ward_control::ControlEvent;
use ward_protocol::{BackendId, PlanChange, ReplicaKey};

use crate::fault::FaultKind;
use crate::setup::daemon_id;
use crate::world::{MILLI, World};

/// A step of a session, run at a given time.
#[derive(Debug, Clone)]
pub enum TimedStep {
    /// Operators submit a change on top of the newest plan.
    Plan(PlanChange),
    /// Operators return to the first plan.
    Retreat,
    /// Requests for a key arrive at every daemon from now on.
    StartRequests(ReplicaKey),
    /// Requests for a key end.
    StopRequests(ReplicaKey),
    /// Injects a fault at a daemon, given by number, for a time in milliseconds.
    InjectFault(FaultKind, u64, u64),
    /// The platform reclaims an engine's host.
    Reclaim(BackendId),
    /// A daemon, given by number, stops in an orderly way.
    Stop(u64),
    /// A daemon, given by number, starts, in a new incarnation if it ran before.
    Start(u64),
}

impl World {
    pub(crate) fn run_timed_step(&mut self, timed_step: TimedStep) {
        self.trace_line(|| render_timed_step(&timed_step));
        match timed_step {
            TimedStep::Plan(change) => {
                let base = self.log.reference.plans().head();
                self.submit(base, change);
            }
            TimedStep::Retreat => self.retreat(),
            TimedStep::StartRequests(key) => {
                self.requested_keys.insert(key);
            }
            TimedStep::StopRequests(key) => {
                self.requested_keys.shift_remove(&key);
            }
            TimedStep::InjectFault(fault, number, duration) => {
                if let Some(daemon) = daemon_id(number) {
                    self.inject(fault, daemon, duration * MILLI);
                }
            }
            TimedStep::Reclaim(backend) => self.reclaim(&backend),
            TimedStep::Stop(number) => {
                let daemon = daemon_id(number);
                let Some(daemon) = daemon.filter(|id| self.daemons.contains_key(id)) else {
                    return;
                };
                let incarnation = (daemon.clone(), self.daemons[&daemon].incarnation);
                self.deliver(&incarnation, ControlEvent::Stop);
            }
            TimedStep::Start(number) => self.add_daemon(number),
        }
    }
}

fn render_timed_step(timed_step: &TimedStep) -> String {
    match timed_step {
        TimedStep::Plan(PlanChange::Whole { rows }) => format!("* plan of {} rows", rows.len()),
        TimedStep::Plan(_) => "* plan changes".to_owned(),
        TimedStep::Retreat => "* retreat".to_owned(),
        TimedStep::StartRequests(key) => format!("* requests for {key} begin"),
        TimedStep::StopRequests(key) => format!("* requests for {key} end"),
        TimedStep::InjectFault(fault, number, duration) => {
            format!("! {fault} on entry-{number} for {duration} ms")
        }
        TimedStep::Reclaim(backend) => format!("! host of {backend} reclaimed"),
        TimedStep::Stop(number) => format!("* stop entry-{number}"),
        TimedStep::Start(number) => format!("* start entry-{number}"),
    }
}
