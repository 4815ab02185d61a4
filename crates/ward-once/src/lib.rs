//! Requests that may not be repeated run at most once.
//!
//! Each idempotency key belongs to one shard, a stream of the platform's log.
//! A daemon appends `Begin`, reads the shard until it sees its own record, and
//! sends the request only if that record was the first for the key. The order
//! of the log decides between daemons, so no lock and no owner is needed, and a
//! daemon that is frozen or cut off cannot send what another has begun: it has
//! not read back its own `Begin`.
//!
//! [`KeyLedger`] holds the rules and is pure; [`OnceStore`] drives it against
//! the log. Keys are forgotten after a time that the settings give, by a clock
//! that two daemons must agree on (see [`ledger`]), so that one fast clock
//! forgets nothing.

pub mod answer;
pub mod ledger;
pub mod shard;
pub mod store;

pub use answer::{BeginOutcome, KeptAnswer};
pub use ledger::{EntryPhase, KeyEntry, KeyLedger, LedgerDecision};
pub use shard::{ShardPorts, ShardRead, ShardReadError};
pub use store::{OnceSettings, OnceStore};
