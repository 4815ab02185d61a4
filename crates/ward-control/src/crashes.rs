//! Crashes of backend servers that this daemon saw and the log doesn't contain yet.

use ward_protocol::{BackendId, ControlRecord, RequestFingerprint, WallTime};
use ward_state::BackendCrash;

use crate::core::ControlCore;
use crate::proposer::ProposalSubject;

/// Maximum number of crash reports kept until they are in the log.
const MAX_REPORTS: usize = 256;

/// A request that ran on a backend server when it crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CrashReport {
    fingerprint: RequestFingerprint,
    backend: BackendId,
    until: WallTime,
}

/// Crash reports that the log doesn't contain yet.
#[derive(Debug, Default)]
pub(crate) struct CrashReports {
    reports: Vec<CrashReport>,
}

impl CrashReports {
    pub(crate) fn add(
        &mut self,
        fingerprint: RequestFingerprint,
        backend: BackendId,
        until: WallTime,
    ) {
        let report = CrashReport {
            fingerprint,
            backend,
            until,
        };
        if self.reports.len() < MAX_REPORTS && !self.reports.contains(&report) {
            self.reports.push(report);
        }
    }
}

impl ControlCore {
    /// Proposes `Suspect` records for reported crashes that the state doesn't contain, and
    /// drops reports of crashes that it contains or that no longer count.
    pub(crate) fn run_crashes(&mut self) {
        let mut reports = std::mem::take(&mut self.crashes.reports);
        reports.retain(|report| report.until > self.wall && !self.is_crash_logged(report));
        for report in &reports {
            let subject = ProposalSubject::Suspect(report.fingerprint, report.backend.clone());
            let body = ControlRecord::Suspect {
                fingerprint: report.fingerprint,
                backend: report.backend.clone(),
                until: report.until,
            };
            self.propose(subject, body);
        }
        self.crashes.reports = reports;
    }

    fn is_crash_logged(&self, report: &CrashReport) -> bool {
        let entry = self.state.suspects().get(report.fingerprint);
        let crash = BackendCrash {
            backend: report.backend.clone(),
            until: report.until,
        };
        entry.is_some_and(|entry| entry.contains(&crash))
    }
}
