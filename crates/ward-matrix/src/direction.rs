//! Directions: sessions with explicit steps and times.

use ward_control::ControlEvent;
use ward_protocol::{BackendId, PlanChange, ReplicaKey};

use crate::fault::FaultKind;
use crate::setup::daemon_id;
use crate::world::{MILLI, World};

/// A step of a directed session, run at a given time.
#[derive(Debug, Clone)]
pub enum Direction {
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
    pub(crate) fn run_direction(&mut self, direction: Direction) {
        self.trace_line(|| render_direction(&direction));
        match direction {
            Direction::Plan(change) => {
                let base = self.log.reference.plans().head();
                self.submit(base, change);
            }
            Direction::Retreat => self.retreat(),
            Direction::StartRequests(key) => {
                self.requested_keys.insert(key);
            }
            Direction::StopRequests(key) => {
                self.requested_keys.shift_remove(&key);
            }
            Direction::InjectFault(fault, number, duration) => {
                if let Some(daemon) = daemon_id(number) {
                    self.inject(fault, daemon, duration * MILLI);
                }
            }
            Direction::Reclaim(backend) => self.reclaim(&backend),
            Direction::Stop(number) => {
                let daemon = daemon_id(number);
                let Some(daemon) = daemon.filter(|id| self.daemons.contains_key(id)) else {
                    return;
                };
                let incarnation = (daemon.clone(), self.daemons[&daemon].incarnation);
                self.deliver(&incarnation, ControlEvent::Stop);
            }
            Direction::Start(number) => self.add_daemon(number),
        }
    }
}

fn render_direction(direction: &Direction) -> String {
    match direction {
        Direction::Plan(PlanChange::Whole { rows }) => format!("* plan of {} rows", rows.len()),
        Direction::Plan(_) => "* plan changes".to_owned(),
        Direction::Retreat => "* retreat".to_owned(),
        Direction::StartRequests(key) => format!("* requests for {key} begin"),
        Direction::StopRequests(key) => format!("* requests for {key} end"),
        Direction::InjectFault(fault, number, duration) => {
            format!("! {fault} on entry-{number} for {duration} ms")
        }
        Direction::Reclaim(backend) => format!("! host of {backend} reclaimed"),
        Direction::Stop(number) => format!("* stop entry-{number}"),
        Direction::Start(number) => format!("* start entry-{number}"),
    }
}
