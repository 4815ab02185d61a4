//! What all connections of callers together may hold.

use ward_protocol::MemorySize;

use crate::settings::HostCapacity;

/// Percentage of the host's memory that connections may hold beyond buffered bodies, which
/// have a budget of their own.
const PERCENT_OF_MEMORY: u64 = 35;
/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: u32 = 200;
/// Parts into which the descriptors for sockets are divided.
const SOCKET_PARTS: u32 = 64;
/// Shortest header field: one letter, a colon and the end of its line.
const MIN_FIELD_BYTES: usize = 4;
/// Most fields of a head. The parser makes a table of this length for each request, and a
/// longer one would be mapped anew each time.
const MAX_HEADER_FIELDS: usize = 4 << 10;

/// An address on which a daemon accepts connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointKind {
    /// Requests of callers.
    Callers,
    /// Other daemons.
    Peers,
    /// Callers that look up daemons.
    Directory,
    /// Readiness checks of the platform.
    Readiness,
    /// Metrics.
    Metrics,
}

impl EndpointKind {
    /// All kinds of endpoints.
    pub const ALL: [Self; 5] = [
        Self::Callers,
        Self::Peers,
        Self::Directory,
        Self::Readiness,
        Self::Metrics,
    ];

    /// Parts of the sockets that its connections may take. What is left over is for the
    /// connections that the daemon itself opens to the store, engines and other daemons.
    const fn socket_parts(self) -> u32 {
        match self {
            Self::Callers => 40,
            Self::Peers => 9,
            Self::Directory => 4,
            Self::Readiness | Self::Metrics => 1,
        }
    }
}

/// Bounds of all connections of a daemon together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    sockets: u32,
    memory: MemorySize,
}

impl CallerBounds {
    /// The bounds of a daemon on a host of this capacity.
    #[must_use]
    pub const fn new(capacity: &HostCapacity) -> Self {
        Self {
            sockets: capacity.descriptors.saturating_sub(FILE_DESCRIPTORS),
            memory: MemorySize::from_bytes(capacity.memory.bytes() / 100 * PERCENT_OF_MEMORY),
        }
    }

    /// Memory that all connections together may hold.
    #[must_use]
    pub const fn memory(&self) -> MemorySize {
        self.memory
    }

    /// Connections that an endpoint may have open; at least one.
    #[must_use]
    pub fn connections(&self, endpoint: EndpointKind) -> usize {
        let count = self.sockets / SOCKET_PARTS * endpoint.socket_parts();
        usize::try_from(count.max(1)).unwrap_or(usize::MAX)
    }
}

/// Most fields of a head whose length is within the limit, up to `MAX_HEADER_FIELDS`.
#[must_use]
pub fn max_header_fields(header_bytes: usize) -> usize {
    (header_bytes / MIN_FIELD_BYTES).min(MAX_HEADER_FIELDS)
}
