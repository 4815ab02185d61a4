//! Names and numbers used as ids.
//!
//! A text id keeps its text in a reference-counted buffer, so that cloning it copies
//! only a pointer. Number ids are printed as decimals, 128-bit ids as 32 hexadecimal
//! digits.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use quick_error::quick_error;
use serde_with::{DeserializeFromStr, SerializeDisplay};

quick_error! {
    /// A text that is not a valid id; `kind` says which id was expected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum IdError {
        /// The text is empty.
        Empty(kind: &'static str) {
            display("the {kind} is empty; give at least one character")
        }
        /// The text is longer than the limit in bytes.
        TooLong(kind: &'static str, limit: usize) {
            display("the {kind} is longer than {limit} bytes; shorten it")
        }
        /// The text contains a character that is not allowed.
        Character(kind: &'static str, found: char) {
            display("the {kind} may not contain {found:?}; use letters, digits and . _ - / +")
        }
        /// The text is not a number of the expected form.
        Number(kind: &'static str) {
            display("the {kind} is not a number of the expected form")
        }
    }
}

fn is_name_character(character: char) -> bool {
    character.is_alphanumeric() || matches!(character, '.' | '_' | '-' | '/' | '+')
}

fn is_key_character(character: char) -> bool {
    !character.is_control()
}

fn check_text(
    text: &str,
    kind: &'static str,
    limit: usize,
    allowed: fn(char) -> bool,
) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty(kind));
    }
    if text.len() > limit {
        return Err(IdError::TooLong(kind, limit));
    }
    match text.chars().find(|character| !allowed(*character)) {
        Some(found) => Err(IdError::Character(kind, found)),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $limit:literal, $allowed:path) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Maximum length of the text in bytes.
            pub const MAX_BYTES: usize = $limit;

            /// The id as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_text(text, $kind, $limit, $allowed)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<&str> for $name {
            type Error = IdError;

            fn try_from(text: &str) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// Id of a daemon, unique in the deployment and stable across restarts.
    DaemonId, "daemon id", 64, is_name_character
);
text_id!(
    /// Id of a backend server: a model engine or the server of a plain service.
    BackendId, "backend server id", 64, is_name_character
);
text_id!(
    /// Name of an availability zone.
    ZoneName, "availability zone", 64, is_name_character
);
text_id!(
    /// Name of a model, without version and adapter.
    ModelName, "model name", 128, is_name_character
);
text_id!(
    /// Name of an adapter of a model.
    AdapterName, "adapter name", 128, is_name_character
);
text_id!(
    /// Id of a part of a prompt, which many requests may share.
    PartId, "prompt part", 64, is_name_character
);
text_id!(
    /// Version of a model or adapter.
    VersionTag, "version", 64, is_name_character
);
text_id!(
    /// Version of the software that a backend server runs.
    SoftwareVersion, "software version", 128, is_key_character
);
text_id!(
    /// Name of a service that backend servers answer.
    ServiceName, "service name", 64, is_name_character
);
text_id!(
    /// Name of a tenant: an organisation whose callers share API keys and a quota.
    TenantName, "tenant name", 128, is_name_character
);
text_id!(
    /// Name of an operator, as recorded in plan records.
    OperatorName, "operator name", 64, is_name_character
);
text_id!(
    /// The `Idempotency-Key` header of a request that must not run twice.
    IdempotencyKey, "idempotency key", 255, is_key_character
);

/// Defines a numeric id type from its documentation, its type name, and the name
/// that error messages use for it.
#[macro_export]
macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl ::std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                self.0.fmt(formatter)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::IdError;

            fn from_str(text: &str) -> Result<Self, $crate::IdError> {
                text.parse().map(Self).map_err(|_| $crate::IdError::Number($kind))
            }
        }
    };
}

number_id!(
    /// Position of a record in a log stream; zero is the position before the first
    /// record.
    LogOffset, "log offset"
);
number_id!(
    /// Revision of a plan: the offset of the plan record that created it; zero is the
    /// empty plan.
    PlanRevision, "plan revision"
);
number_id!(
    /// Incarnation of a daemon, one run of its process: its start in milliseconds
    /// since 1970.
    Incarnation, "incarnation"
);
number_id!(
    /// Fencing number of an order: the log offset at which ownership last changed.
    FenceNumber, "fencing number"
);
number_id!(
    /// Id of a reservation: the offset of its `Reserve` record.
    ReservationId, "reservation id"
);

impl LogOffset {
    /// The position before the first record.
    pub const ZERO: Self = Self(0);
}

macro_rules! random_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord,
            SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(pub u128);

        impl $name {
            /// Generates a random id.
            #[must_use]
            pub fn random() -> Self {
                Self(rand::random())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                u128::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| IdError::Number($kind))
            }
        }
    };
}

random_id!(
    /// Id of a log record, chosen by its sender, who finds the record by it when the
    /// answer to the append was lost.
    RecordId, "record id"
);
random_id!(
    /// Id of a request, passed on to the backend server and returned in its answer.
    RequestId, "request id"
);
random_id!(
    /// Digest of a request's target and body, without its ids and deadlines.
    RequestFingerprint, "request fingerprint"
);

random_id!(
    /// Digest of the id of the try that brought a stream's first event; names the stream
    /// over all tries of its caller.
    StreamKey, "stream key"
);

impl RequestFingerprint {
    /// Computes the fingerprint of a request from its target and body.
    #[must_use]
    pub fn of(target: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(target.len() as u64).to_le_bytes());
        hasher.update(target.as_bytes());
        hasher.update(body);
        Self(short_digest(&hasher))
    }
}

impl StreamKey {
    /// Computes the key from the bytes of a request id.
    #[must_use]
    pub fn of(request_id: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(request_id);
        Self(short_digest(&hasher))
    }
}

/// The first 128 bits of a digest.
fn short_digest(hasher: &blake3::Hasher) -> u128 {
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    u128::from_le_bytes(bytes)
}
