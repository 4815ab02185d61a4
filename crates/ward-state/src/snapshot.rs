//! Snapshots and digests of the state.

use std::fmt;

use quick_error::quick_error;
use ward_protocol::{CodecError, codec};

use crate::cluster::ClusterState;

quick_error! {
    /// Failure to encode or decode a snapshot.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SnapshotError {
        /// The codec failed to encode or decode.
        Codec(cause: CodecError) {
            from()
            display("the snapshot cannot be encoded or decoded: {cause}")
            source(cause)
        }
        /// The snapshot doesn't contain the plan revision that it names as in force.
        NoPlan {
            display("the snapshot lacks the plan in force")
        }
    }
}

/// Digest of a state, the first 16 bytes of a BLAKE3 hash; equal states have equal digests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StateDigest([u8; 16]);

impl fmt::Display for StateDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl StateDigest {
    fn of_bytes(bytes: &[u8]) -> Self {
        let mut digest = [0; 16];
        digest.copy_from_slice(&blake3::hash(bytes).as_bytes()[..16]);
        Self(digest)
    }
}

impl ClusterState {
    /// Encodes the state as a snapshot.
    ///
    /// # Errors
    /// When the codec fails, which doesn't happen for a state that records have built.
    pub fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        Ok(codec::encode(self)?)
    }

    /// Decodes a snapshot and rebuilds the derived fields.
    ///
    /// # Errors
    /// When the bytes are no valid snapshot or lack the plan in force.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let mut state: Self = codec::decode(bytes)?;
        if state.plans.content_at(state.adopted).is_none() {
            return Err(SnapshotError::NoPlan);
        }
        state.rebuild_indexes();
        Ok(state)
    }

    /// Digest of everything that control records decide, including the plan in force.
    ///
    /// Plan revisions that are read but not in force are left out: two daemons at the
    /// same control offset may have read the plan stream to different offsets.
    ///
    /// # Errors
    /// When the codec fails, which doesn't happen for a state that records have built.
    pub fn digest(&self) -> Result<StateDigest, SnapshotError> {
        let members = (self.applied, self.skipped, self.adopted, &self.members);
        let shared = (
            self.limits,
            self.limits_base,
            &self.last_incarnations,
            &self.gone,
        );
        let engines = (&self.backends, &self.reservations, &self.suspects);
        let rows: Vec<_> = self.content.values().collect();
        let parts = (members, shared, engines, &self.recent, rows);
        Ok(StateDigest::of_bytes(&codec::encode(&parts)?))
    }
}
