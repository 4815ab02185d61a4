//! Loopback addresses of a stage.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicU8, Ordering};

/// Loopback addresses of one stage, chosen so that stages that run at the same time
/// don't share a port: `127.process.stage.host`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StageNetwork {
    process: u8,
    stage: u8,
}

impl StageNetwork {
    pub(crate) fn allocate() -> Self {
        static STAGES: AtomicU8 = AtomicU8::new(0);
        // From 16 on, to avoid addresses that other programs use on loopback.
        let process = 16 + u8::try_from(std::process::id() % 200).unwrap_or(0);
        Self {
            process,
            stage: STAGES.fetch_add(1, Ordering::Relaxed),
        }
    }

    pub(crate) fn address(self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.process, self.stage, host))
    }

    pub(crate) fn daemon(self, number: usize) -> IpAddr {
        self.address(u8::try_from(number + 1).unwrap_or(u8::MAX))
    }
}
