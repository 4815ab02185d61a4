//! At-most-once execution of requests with an idempotency key.
//!
//! Each idempotency key belongs to one shard, which is a stream of the platform's
//! log. A daemon appends a `Begin` record, reads the shard until it sees its own
//! record, and sends the request only if that record was the first for the key. The
//! order of the log decides between daemons, so neither a lock nor an owner is
//! needed. A daemon that is frozen or partitioned can't send a request that another
//! has begun, because it hasn't read back its own `Begin`.
//!
//! [`KeyLedger`] holds the rules and does no I/O; [`OnceStore`] connects it to the
//! log. Keys expire after the configured retention time, measured by a clock that two
//! daemons must have reached (see [`ledger`]), so that a single fast clock expires no
//! key early.

pub mod answer;
pub mod ledger;
pub mod shard;
pub mod store;

pub use answer::{BeginOutcome, KeptAnswer};
pub use ledger::{EntryPhase, KeyEntry, KeyLedger, LedgerDecision};
pub use shard::{ShardPorts, ShardRead, ShardReadError};
pub use store::{OnceSettings, OnceStore};
