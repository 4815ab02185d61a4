//! The coordinator: the one daemon that holds the term and sends orders to engines.

mod active;
mod audit;
mod outage;
mod permits;
mod publish;
mod quotas;
mod record;
mod slot;
mod term;
mod worker;

pub(crate) use active::ActiveCoordinator;
pub(crate) use permits::issue_permits;
pub(crate) use quotas::issue_credit;
pub(crate) use record::{StoredTerm, newest_term, stored_fleet};
pub(crate) use slot::CoordinatorSlot;
pub(crate) use term::{release_term, take_over};
