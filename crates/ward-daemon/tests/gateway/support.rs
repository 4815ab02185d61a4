//! Stages and requests for tests.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use ward_stage::{
    CallerAnswer, CallerError, CallerRequest, Stage, StageCaller, StagePlan, stage_folder,
};

/// The whole stream of a stand-in engine.
pub(crate) const WHOLE_STREAM: &str = "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n\
id: 3\ndata: part 3\n\nid: 4\ndata: part 4\n\nid: 5\ndata: part 5\n\n";

const WAIT_TIME: Duration = Duration::from_secs(10);
const WAIT_PAUSE: Duration = Duration::from_millis(20);

pub(crate) fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_persimmonward"))
}

pub(crate) fn folder(test: &str) -> PathBuf {
    stage_folder(Path::new(env!("CARGO_TARGET_TMPDIR")), test)
}

pub(crate) async fn stage(test: &str, plan: &StagePlan) -> Stage {
    Stage::start(program(), &folder(test), plan).await.unwrap()
}

/// Sends one request on a connection of its own to one daemon.
pub(crate) async fn send(
    stage: &Stage,
    daemon: usize,
    request: &CallerRequest,
) -> std::result::Result<CallerAnswer, CallerError> {
    let mut caller = StageCaller::connect(stage.daemons[daemon].callers()).await?;
    caller.send(request).await
}

/// Waits until something holds.
pub(crate) async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < WAIT_TIME, "{what} did not come about");
        tokio::time::sleep(WAIT_PAUSE).await;
    }
}

/// What must hold after every test: no engine's memory exceeded, and no
/// fencing number used after a higher one.
pub(crate) fn expect_sound_orders(stage: &Stage) {
    let orders = stage.ledger.orders();
    for order in &orders {
        expect_false!(order.exceeded, "{order:?}");
    }
    for engine in &stage.engines {
        let of_engine = orders
            .iter()
            .filter(|order| order.engine == engine.id() && order.accepted);
        let fences: Vec<_> = of_engine.map(|order| order.fence).collect();
        expect_true!(fences.is_sorted(), "{fences:?}");
    }
}
