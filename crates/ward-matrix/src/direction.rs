//! Sessions written out step by step.

use ward_control::ControlEvent;
use ward_protocol::{BackendId, PlanChange, ReplicaKey};

use crate::fault::FaultKind;
use crate::setup::daemon_id;
use crate::world::{MILLI, World};

/// Something that happens at a given time.
#[derive(Debug, Clone)]
pub enum Direction {
    /// Operators submit a change on top of the newest plan.
    Plan(PlanChange),
    /// Operators go back to the first plan.
    Retreat,
    /// Requests wait for a key from now on, at every daemon.
    Want(ReplicaKey),
    /// No more requests come for a key.
    Unwant(ReplicaKey),
    /// A fault strikes a daemon for a time in milliseconds.
    Strike(FaultKind, u64, u64),
    /// The platform reclaims an engine's host.
    Reclaim(BackendId),
    /// A daemon is told to stop.
    Stop(u64),
    /// A daemon starts in a new life.
    Start(u64),
}

impl World {
    pub(crate) fn direct(&mut self, direction: Direction) {
        self.note(|| render_direction(&direction));
        match direction {
            Direction::Plan(change) => {
                let base = self.log.truth.plans().head();
                self.submit(base, change);
            }
            Direction::Retreat => self.retreat(),
            Direction::Want(key) => {
                self.wanted.insert(key);
            }
            Direction::Unwant(key) => {
                self.wanted.shift_remove(&key);
            }
            Direction::Strike(fault, number, lasts) => {
                if let Some(daemon) = daemon_id(number) {
                    self.strike(fault, daemon, lasts * MILLI);
                }
            }
            Direction::Reclaim(backend) => self.reclaim(&backend),
            Direction::Stop(number) => {
                let daemon = daemon_id(number);
                let Some(daemon) = daemon.filter(|id| self.daemons.contains_key(id)) else {
                    return;
                };
                let life = (daemon.clone(), self.daemons[&daemon].life);
                self.give(&life, ControlEvent::Stop);
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
        Direction::Want(key) => format!("* requests for {key} begin"),
        Direction::Unwant(key) => format!("* requests for {key} end"),
        Direction::Strike(fault, number, lasts) => {
            format!("! {fault} on entry-{number} for {lasts} ms")
        }
        Direction::Reclaim(backend) => format!("! host of {backend} reclaimed"),
        Direction::Stop(number) => format!("* stop entry-{number}"),
        Direction::Start(number) => format!("* start entry-{number}"),
    }
}
