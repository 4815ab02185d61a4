//! Starts the daemon with small limits, sends crowds to it and checks what must hold.

use std::path::Path;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::StatusCode;
use tokio::sync::{Mutex, MutexGuard};
use ward_fleet::{CallerLimits, HostCapacity};
use ward_protocol::{MemorySize, TimeSpan};
use ward_stage::{CallerRequest, Stage, StageCaller, StagePlan, stage_folder};

use crate::crowd::{OpenCrowd, SendPlan};
use crate::door::CrowdDoor;

/// Memory of the daemon's host.
const HOST_MEMORY: MemorySize = MemorySize::from_mib(80);
/// Descriptors that the daemon may have open.
const HOST_DESCRIPTORS: u32 = 600;
/// Connections of a crowd: twice the descriptors of the host.
const CROWD_SIZE: usize = 2 * HOST_DESCRIPTORS as usize;
/// Limits on requests in the manifest.
pub(crate) const HEADER_BYTES: usize = 32 << 10;
pub(crate) const BODY_BYTES: usize = 256 << 10;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a crowd has sent what it can.
const CROWD_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after which a daemon that answers no ordinary request counts as hanging.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Crowds are sent by one test at a time.
static ONE_CROWD: Mutex<()> = Mutex::const_new(());

/// A stage whose first daemon has a small host.
pub(crate) struct SmallStage {
    stage: Stage,
    _turn: MutexGuard<'static, ()>,
}

impl SmallStage {
    pub(crate) async fn start(test: &str) -> Self {
        let turn = ONE_CROWD.lock().await;
        let program = Path::new(env!("CARGO_BIN_EXE_persimmonward"));
        let folder = stage_folder(Path::new(env!("CARGO_TARGET_TMPDIR")), test);
        let mut stage = Stage::start(program, &folder, &StagePlan::default())
            .await
            .unwrap();
        stage.manifest.limits = CallerLimits {
            header_bytes: HEADER_BYTES,
            body_bytes: BODY_BYTES,
            header_timeout: TimeSpan::from_secs(3),
            idle_timeout: TimeSpan::from_secs(10),
        };
        stage.manifest.version.0 += 1;
        stage.store.put_manifest(&stage.manifest);
        let mut stage = Self { stage, _turn: turn };
        stage.restart().await;
        stage
    }

    /// Restarts the daemon, so that its peak memory begins anew.
    async fn restart(&mut self) {
        let daemon = &mut self.stage.daemons[0];
        let capacity = HostCapacity {
            memory: HOST_MEMORY,
            descriptors: HOST_DESCRIPTORS,
            ..daemon.settings().capacity
        };
        daemon.restart_with_capacity(capacity).unwrap();
        self.stage.wait_ready().await.unwrap();
    }

    /// Sends a crowd to each door in turn, and expects of each what must hold.
    pub(crate) async fn expect_bounds_kept(
        &mut self,
        plan: impl Fn(&CrowdDoor, usize) -> SendPlan,
    ) {
        for door in CrowdDoor::all(&self.stage.daemons[0].settings().clone()) {
            let crowd = OpenCrowd::open(&door, CROWD_SIZE, &plan);
            let mut descriptors = self.peak_descriptors(&crowd).await;
            let is_answered = self.is_ordinary_answered().await;
            let daemon = &mut self.stage.daemons[0];
            expect_false!(daemon.has_ended(), "{}", door.name);
            descriptors = descriptors.max(daemon.open_descriptors().unwrap());
            let memory = daemon.peak_memory().unwrap();
            println!("{}: peak {memory}, {descriptors} descriptors", door.name);
            expect_true!(is_answered, "{}: no answer", door.name);
            expect_that!(memory, lt(HOST_MEMORY), "{}", door.name);
            expect_that!(descriptors, lt(HOST_DESCRIPTORS as usize), "{}", door.name);
            crowd.close().await;
            self.restart().await;
        }
    }

    /// Waits until a crowd has sent what it can; returns the highest number of open
    /// descriptors meanwhile.
    async fn peak_descriptors(&self, crowd: &OpenCrowd) -> usize {
        let begun = Instant::now();
        let mut peak = 0;
        while !crowd.has_sent() && begun.elapsed() < CROWD_TIMEOUT {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            let open = self.stage.daemons[0].open_descriptors().unwrap();
            peak = peak.max(open);
        }
        peak
    }

    /// Whether an ordinary caller, who tries again on new connections, gets an answer.
    async fn is_ordinary_answered(&self) -> bool {
        let begun = Instant::now();
        for number in 0.. {
            let request = CallerRequest::new(format!("ordinary{number}"), "/book/a", None);
            let answer = self.send(&request).await;
            if answer == Some(StatusCode::OK) {
                return true;
            }
            if begun.elapsed() > ANSWER_TIMEOUT {
                break;
            }
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        false
    }

    /// Sends a request on a new connection; returns the status of its answer.
    pub(crate) async fn send(&self, request: &CallerRequest) -> Option<StatusCode> {
        let address = self.stage.daemons[0].callers();
        let connected = tokio::time::timeout(request.timeout, StageCaller::connect(address)).await;
        let mut caller = connected.ok()?.ok()?;
        caller.send(request).await.ok().map(|answer| answer.status)
    }
}
