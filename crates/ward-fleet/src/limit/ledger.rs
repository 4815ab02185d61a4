//! What is known of the limits that engines have named.
//!
//! An engine names its limit in each answer while the limit holds, so an answer without
//! one shows that it has ended. Answers overtake each other, and daemons hear of them
//! from each other at different times: evidence counts only if it is newer than what is
//! known. Since an answer was written at an unknown time between the sending of its
//! request and its arrival, one that names a limit counts from its arrival, and one that
//! names none from the sending of its request.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_protocol::{BackendId, MonoTime, TimeSpan};

use super::rate::RequestRate;
use crate::crash::EngineIncarnation;
use crate::entry::EngineBirth;
use crate::message::EngineInfo;

/// Maximum number of engines whose limits are remembered.
const MAX_ENGINES: usize = 16_384;

/// What one answer of an engine says about its limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitEvidence {
    /// Engine incarnation that answered.
    pub incarnation: EngineIncarnation,
    /// The limit; `None` if the answer names none.
    pub rate: Option<RequestRate>,
    /// When the request was sent.
    pub sent_at: MonoTime,
    /// When the answer arrived.
    pub answered_at: MonoTime,
}

/// What one daemon tells another about the limit of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitSighting {
    /// Engine incarnation that named the limit.
    pub incarnation: EngineIncarnation,
    /// The limit; `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// Time between the evidence for it and the sending of this message.
    pub age: TimeSpan,
}

/// Limits of engines, including those that have ended.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LimitLedger {
    limits: IndexMap<BackendId, KnownLimit>,
}

/// The newest evidence about the limit of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KnownLimit {
    birth: Option<EngineBirth>,
    /// `None` once the limit has ended.
    rate: Option<RequestRate>,
    /// Time from which the evidence counts.
    since: MonoTime,
}

impl KnownLimit {
    fn sighting(&self, engine: &BackendId, now: MonoTime) -> LimitSighting {
        LimitSighting {
            incarnation: EngineIncarnation {
                engine: engine.clone(),
                birth: self.birth,
            },
            rate: self.rate,
            age: now.since(self.since),
        }
    }
}

impl LimitLedger {
    /// Records what an answer says; returns whether the limit has changed.
    pub fn record(&mut self, evidence: &LimitEvidence) -> bool {
        let since = match evidence.rate {
            Some(_) => evidence.answered_at,
            None => evidence.sent_at,
        };
        let mut rate = evidence.rate;
        let known = self.known(&evidence.incarnation);
        if let Some(known) = known.filter(|known| evidence.sent_at <= known.since) {
            // Either answer may have been written last: the lower limit is safe.
            rate = rate.map(|rate| known.rate.map_or(rate, |known| rate.min(known)));
        }
        self.update(&evidence.incarnation, rate, since)
    }

    /// Records what another daemon tells; returns whether the limit has changed.
    pub fn record_sighting(&mut self, sighting: &LimitSighting, now: MonoTime) -> bool {
        self.update(&sighting.incarnation, sighting.rate, now - sighting.age)
    }

    fn update(
        &mut self,
        incarnation: &EngineIncarnation,
        rate: Option<RequestRate>,
        since: MonoTime,
    ) -> bool {
        let birth = incarnation.birth;
        let known = self.limits.get(&incarnation.engine).copied();
        let current = known.filter(|known| known.birth == birth);
        let is_outdated = known.is_some_and(|known| known.birth > birth)
            || current.is_some_and(|current| current.since > since);
        // The end of a limit that was never known is no news.
        if is_outdated || (current.is_none() && rate.is_none()) {
            return false;
        }
        if known.is_none() && self.limits.len() >= MAX_ENGINES {
            self.limits.shift_remove_index(0);
        }
        let limit = KnownLimit { birth, rate, since };
        self.limits.insert(incarnation.engine.clone(), limit);
        current.and_then(|current| current.rate) != rate
    }

    fn known(&self, incarnation: &EngineIncarnation) -> Option<KnownLimit> {
        let known = self.limits.get(&incarnation.engine).copied();
        known.filter(|known| known.birth == incarnation.birth)
    }

    /// The limit that an engine has named and that has not ended.
    #[must_use]
    pub fn rate_of(&self, engine: &EngineInfo) -> Option<RequestRate> {
        let known = self.limits.get(&engine.id)?;
        known.rate.filter(|_| known.birth == engine.birth)
    }

    /// Whether an engine with this id has a limit that has not ended.
    #[must_use]
    pub fn is_limited(&self, engine: &BackendId) -> bool {
        let known = self.limits.get(engine);
        known.is_some_and(|known| known.rate.is_some())
    }

    /// Engines that have a limit, with their limits.
    pub fn limited(&self) -> impl Iterator<Item = (&BackendId, RequestRate)> {
        let limits = self.limits.iter();
        limits.filter_map(|(engine, known)| Some((engine, known.rate?)))
    }

    /// Whether no engine has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.values().all(|known| known.rate.is_none())
    }

    /// What to tell another daemon of an engine; `None` if nothing is known.
    #[must_use]
    pub fn sighting(&self, engine: &BackendId, now: MonoTime) -> Option<LimitSighting> {
        let known = self.limits.get(engine)?;
        Some(known.sighting(engine, now))
    }

    /// What to tell another daemon of all engines.
    #[must_use]
    pub fn sightings(&self, now: MonoTime) -> Vec<LimitSighting> {
        let limits = self.limits.iter();
        limits
            .map(|(engine, known)| known.sighting(engine, now))
            .collect()
    }

    /// Engines of which the sender of these sightings, which have been recorded here, knows
    /// something else, and, if they are complete, those with a limit that it doesn't know.
    #[must_use]
    pub fn unknown_to(&self, sightings: &[LimitSighting], complete: bool) -> Vec<BackendId> {
        let told: IndexMap<_, _> = sightings
            .iter()
            .map(|sighting| (&sighting.incarnation.engine, sighting))
            .collect();
        let differs = |(engine, known): &(&BackendId, &KnownLimit)| match told.get(engine) {
            Some(told) => told.rate != known.rate || told.incarnation.birth != known.birth,
            None => complete && known.rate.is_some(),
        };
        let differing = self.limits.iter().filter(differs);
        differing.map(|(engine, _)| engine.clone()).collect()
    }
}
