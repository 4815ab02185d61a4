//! Rules that assign every key an owner among the members.

use ward_policy::rendezvous::{hash_bytes, mix, rendezvous_score};

/// A member that can own keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerMember {
    /// Name, by which members are sorted and scored.
    pub name: String,
    /// Number of its availability zone.
    pub zone: usize,
}

/// A key that needs an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerKey {
    /// Hash of the key's name.
    pub hash: u64,
    /// Number of the availability zone of its engine.
    pub zone: usize,
}

/// Rule by which owners are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerRule {
    /// Jump hash over the sorted members.
    Jump,
    /// Jump hash over the sorted members of the key's zone.
    JumpZone,
    /// Highest rendezvous score.
    Rendezvous,
    /// Highest rendezvous score, with a lower weight for members of other zones.
    RendezvousPenalty,
    /// Highest rendezvous score within the key's zone.
    RendezvousZone,
}

/// Weight of a member in another zone than the key's.
const OTHER_ZONE_WEIGHT: f64 = 0.25;

impl OwnerRule {
    /// All rules.
    pub const ALL: [Self; 5] = [
        Self::Jump,
        Self::JumpZone,
        Self::Rendezvous,
        Self::RendezvousPenalty,
        Self::RendezvousZone,
    ];

    /// Name in tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Jump => "jump",
            Self::JumpZone => "jump, key's zone",
            Self::Rendezvous => "rendezvous",
            Self::RendezvousPenalty => "rendezvous, zone penalty",
            Self::RendezvousZone => "rendezvous, key's zone",
        }
    }

    /// Index of a key's owner among sorted members; `None` when there are none.
    #[must_use]
    pub fn owner(self, members: &[OwnerMember], key: OwnerKey) -> Option<usize> {
        match self {
            Self::Jump => jump_hash(key.hash, members.len()),
            Self::JumpZone => jump_zone(members, key),
            Self::Rendezvous => best_member(members, |member| plain_score(member, key)),
            Self::RendezvousPenalty => best_member(members, |member| penalty_score(member, key)),
            Self::RendezvousZone => best_member(members, |member| {
                (member.zone == key.zone, plain_score(member, key))
            }),
        }
    }
}

fn best_member<S: PartialOrd>(
    members: &[OwnerMember],
    score: impl Fn(&OwnerMember) -> S,
) -> Option<usize> {
    let scores = members.iter().map(score).enumerate();
    scores
        .reduce(|best, other| if other.1 > best.1 { other } else { best })
        .map(|(index, _)| index)
}

fn plain_score(member: &OwnerMember, key: OwnerKey) -> u64 {
    rendezvous_score(&member.name, key.hash)
}

/// Weighted rendezvous score: -w / ln(u) with u uniform in (0, 1).
#[allow(clippy::cast_precision_loss)]
fn penalty_score(member: &OwnerMember, key: OwnerKey) -> f64 {
    let weight = if member.zone == key.zone {
        1.0
    } else {
        OTHER_ZONE_WEIGHT
    };
    let uniform = (plain_score(member, key) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -weight / uniform.ln()
}

fn jump_zone(members: &[OwnerMember], key: OwnerKey) -> Option<usize> {
    let in_zone = |member: &OwnerMember| member.zone == key.zone;
    let count = members.iter().filter(|member| in_zone(member)).count();
    let Some(position) = jump_hash(key.hash, count) else {
        return jump_hash(key.hash, members.len());
    };
    let indexed = members.iter().enumerate();
    let mut zone = indexed.filter(|(_, member)| in_zone(member));
    zone.nth(position).map(|(index, _)| index)
}

const JUMP_MULTIPLIER: u64 = 2_862_933_555_777_941_757;
const JUMP_RANGE: f64 = 2_147_483_648.0;

/// Jump consistent hash (Lamping and Veach, 2014).
#[must_use]
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
pub fn jump_hash(key: u64, buckets: usize) -> Option<usize> {
    let mut state = key;
    let mut bucket = None;
    let mut next = 0;
    while next < buckets {
        bucket = Some(next);
        state = state.wrapping_mul(JUMP_MULTIPLIER).wrapping_add(1);
        let draw = ((state >> 33) + 1) as f64;
        next = ((next + 1) as f64 * (JUMP_RANGE / draw)) as usize;
    }
    bucket
}

/// The key with a number; keys are assigned to the zones in turn.
#[must_use]
pub fn numbered_key(number: usize, zones: usize) -> OwnerKey {
    let hash = mix(hash_bytes(format!("model-{number}").as_bytes()));
    OwnerKey {
        hash,
        zone: number % zones.max(1),
    }
}
