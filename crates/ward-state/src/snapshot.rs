//! The state as bytes.

use std::fmt;

use quick_error::quick_error;
use ward_protocol::{CodecError, codec};

use crate::cluster::ClusterState;

quick_error! {
    /// Bytes that hold no state.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SnapshotError {
        /// The bytes cannot be decoded.
        Codec(cause: CodecError) {
            from()
            display("the snapshot cannot be read: {cause}")
            source(cause)
        }
        /// The plan in force is missing.
        NoPlan {
            display("the snapshot lacks the plan in force")
        }
    }
}

/// Digest of a state; equal states have equal digests.
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
    /// Encodes the state.
    ///
    /// # Errors
    /// When the codec refuses, which no state that records can make does.
    pub fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        Ok(codec::encode(self)?)
    }

    /// Decodes a state and rebuilds its indexes.
    ///
    /// # Errors
    /// When the bytes are no state, or lack the plan in force.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let mut state: Self = codec::decode(bytes)?;
        if state.plans.content_at(state.adopted).is_none() {
            return Err(SnapshotError::NoPlan);
        }
        state.rebuild_indexes();
        Ok(state)
    }

    /// Digest of everything that control records decide, with the plan in force.
    ///
    /// Plans read but not in force are left out, since two daemons at one
    /// control offset may have read the plan stream up to different points.
    ///
    /// # Errors
    /// When the codec refuses, which no state that records can make does.
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
