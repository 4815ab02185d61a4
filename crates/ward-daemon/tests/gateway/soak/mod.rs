//! Random faults against daemon processes; the checks use only what callers and
//! stand-in engines observe.
//!
//! Each seed generates a series of overlapping faults. Daemons are killed, paused,
//! stopped and restarted, also in the middle of a start or a stop while new manifests
//! arrive. Links delay, reset or refuse connections, or hold back answers or all bytes.
//! The store fails, and engines fail, crash, leave or send `Retry-After`. Callers keep
//! using a connection until it closes, and some requests, or a part of their prompts,
//! crash engines. Odd seeds also play engines that answer out of turn, and every second
//! of these engines of two software versions, between which callers take up their
//! streams; every fourth seed plays a store that comes back from an older copy, and engines
//! that limit their requests. The others don't, so that recorded seeds keep their series.
//! `SOAK_SEEDS=FROM..TO` replaces the seeds of the short series.

mod caller;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rustix::process::Signal;
use ward_fleet::RequestRate;
use ward_stage::{
    CrashKind, EngineFault, LinkFault, PLAIN_SOFTWARE, Stage, StagePlan, StoreCopy, StoreFault,
};

use self::caller::SoakCaller;
use crate::caller_stream::OTHER_SOFTWARE;
use crate::support::{expect_valid_orders, stage};

/// Seeds of the short series; a seed that has ever failed is added and never removed.
const SEEDS: [u64; 6] = [
    1, 2, 3, 4,
    // The link of an engine refused in the middle of an unframed stream, which then looked
    // complete.
    442,
    // A refusal that an engine wrote once more was taken for the answer to the next request.
    605,
];
const STEPS: usize = 12;
const STEP_INTERVAL: Duration = Duration::from_millis(250);
const CALLERS: usize = 6;
/// Times that a caller takes up a stream that broke off.
const MAX_RESUMPTIONS: usize = 3;
/// One of this many requests crashes the engine that runs it.
const REQUESTS_PER_CRASH: usize = 40;
/// Requests must be served again within this time after the last fault is cleared.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

struct RandomSource(ChaCha8Rng);

impl RandomSource {
    fn below(&mut self, limit: usize) -> usize {
        self.0.next_u32() as usize % limit
    }

    fn choose<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len())]
    }
}

fn seeds() -> Vec<u64> {
    let range = std::env::var("SOAK_SEEDS").ok();
    let bounds = range.as_deref().and_then(|range| range.split_once(".."));
    let parsed = bounds.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    parsed.map_or_else(|| SEEDS.to_vec(), Iterator::collect)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn soak_seeds_keep_all_guarantees() {
    for seed in seeds() {
        println!("soak: seed {seed}");
        run_seed(seed).await;
    }
}

const fn has_two_versions(seed: u64) -> bool {
    seed % 4 == 3
}

/// Number of models: few if streams are taken up, so that engines of both software
/// versions hold them.
const fn model_count(seed: u64) -> usize {
    if has_two_versions(seed) { 2 } else { 12 }
}

async fn run_seed(seed: u64) {
    let plan = StagePlan {
        models: model_count(seed),
        software: if has_two_versions(seed) {
            &[PLAIN_SOFTWARE, OTHER_SOFTWARE]
        } else {
            &[PLAIN_SOFTWARE]
        },
        ..StagePlan::default()
    };
    let mut stage = stage(&format!("soak-{seed}"), &plan).await;
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller = SoakCaller {
                seed,
                number,
                addresses: stage
                    .daemons
                    .iter()
                    .map(ward_stage::DaemonProcess::callers)
                    .collect(),
                ledger: stage.ledger.clone(),
                stop: Arc::clone(&stop),
                served: Arc::clone(&served),
            };
            tokio::spawn(caller.run())
        })
        .collect();
    let mut random = RandomSource(ChaCha8Rng::seed_from_u64(seed));
    let mut out_of_turn = RandomSource(ChaCha8Rng::seed_from_u64(!seed));
    let mut copy = None;
    for _ in 0..STEPS {
        inject_fault(&mut stage, &mut random);
        if seed.is_multiple_of(4) {
            inject_limit_or_restore(&stage, &mut out_of_turn, &mut copy);
        }
        if seed % 2 == 1 {
            inject_answer_out_of_turn(&stage, &mut out_of_turn);
        }
        tokio::time::sleep(STEP_INTERVAL).await;
    }
    clear_faults(&mut stage);
    expect_recovery(&served, seed).await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let violations = caller.await.unwrap();
        expect_that!(violations, is_empty(), "seed {seed}");
    }
    expect_valid_orders(&stage);
}

/// Starts or ends one fault; the others stay active.
fn inject_fault(stage: &mut Stage, random: &mut RandomSource) {
    let daemon = random.below(stage.daemons.len());
    let engine = random.below(stage.engines.len());
    match random.below(8) {
        7 => inject_signal_series(stage, random, daemon),
        0 => stage.daemons[daemon].kill(),
        1 => stage.daemons[daemon].restart().unwrap(),
        2 | 3 => {
            let signal = random.choose(&[Signal::STOP, Signal::CONT, Signal::TERM, Signal::HUP]);
            // The process may have ended.
            drop(stage.daemons[daemon].signal(signal));
        }
        4 => stage.engine_links[engine].set_fault(link_fault(random)),
        5 => stage.engines[engine].set_fault(random.choose(&[
            EngineFault::None,
            EngineFault::BreakOff,
            EngineFault::LoseAnswers,
            EngineFault::Full,
            EngineFault::WrongId,
            EngineFault::Fail,
            EngineFault::LoseOrderAnswers,
            EngineFault::Leaving,
            EngineFault::RetryAfter(Duration::from_millis(400)),
            EngineFault::Crash(CrashKind::BeforeHead),
            EngineFault::Crash(CrashKind::AfterHead),
            EngineFault::Crash(CrashKind::Silent),
            EngineFault::CrashOnPart(CrashKind::BeforeHead),
            EngineFault::CrashOnPart(CrashKind::AfterHead),
            EngineFault::Unframed,
            EngineFault::UnframedCut,
        ])),
        _ => match random.below(3) {
            0 => stage.store_link.set_fault(link_fault(random)),
            1 => stage.store.compact(),
            _ => stage.store.set_fault(random.choose(&[
                StoreFault::None,
                StoreFault::Busy,
                StoreFault::Reset,
                StoreFault::Hang,
                StoreFault::Slow(Duration::from_millis(300)),
                StoreFault::LoseAppendAnswers,
            ])),
        },
    }
}

/// Makes an engine, or the link to it, send answers that belong to other requests.
fn inject_answer_out_of_turn(stage: &Stage, random: &mut RandomSource) {
    let engine = random.below(stage.engines.len());
    if random.below(2) == 0 {
        stage.engine_links[engine].set_fault(random.choose(&[
            LinkFault::None,
            LinkFault::RepeatRefusals,
            LinkFault::RepeatAnswers,
        ]));
    } else {
        stage.engines[engine].set_fault(random.choose(&[
            EngineFault::None,
            EngineFault::FullOnce,
            EngineFault::Full,
            EngineFault::CrossedRefusal,
        ]));
    }
}

/// Makes an engine limit its requests, or the store come back from an older copy, after
/// which the operator writes the manifest again.
fn inject_limit_or_restore(stage: &Stage, random: &mut RandomSource, copy: &mut Option<StoreCopy>) {
    let engine = random.below(stage.engines.len());
    let limit = random.choose(&[0, 300, 2_000, 20_000]);
    match random.below(4) {
        0 => *copy = Some(stage.store.copy()),
        1 => {
            if let Some(copy) = copy.take() {
                stage.store.restore(copy);
                stage.store.put_manifest(&stage.manifest);
            }
        }
        _ => stage.engines[engine].set_fault(EngineFault::Limited(RequestRate(limit))),
    }
}

/// Sends signals to a daemon in the middle of its start or planned stop, with new
/// manifests in quick succession.
fn inject_signal_series(stage: &mut Stage, random: &mut RandomSource, daemon: usize) {
    if random.below(2) == 0 {
        stage.daemons[daemon].restart().unwrap();
    }
    for _ in 0..2 {
        let signal = random.choose(&[Signal::TERM, Signal::STOP, Signal::CONT, Signal::HUP]);
        // The process may have ended.
        drop(stage.daemons[daemon].signal(signal));
        stage.manifest.version.0 += 1;
        stage.store.put_manifest(&stage.manifest);
    }
    if random.below(3) == 0 {
        stage.daemons[daemon].kill();
    }
}

fn link_fault(random: &mut RandomSource) -> LinkFault {
    random.choose(&[
        LinkFault::None,
        LinkFault::Delay(Duration::from_millis(40)),
        LinkFault::Reset,
        LinkFault::Refuse,
        LinkFault::HoldAnswers,
        LinkFault::HoldAll,
    ])
}

fn clear_faults(stage: &mut Stage) {
    stage.store.set_fault(StoreFault::None);
    stage.store_link.set_fault(LinkFault::None);
    for link in &stage.engine_links {
        link.set_fault(LinkFault::None);
    }
    for engine in &stage.engines {
        engine.set_fault(EngineFault::None);
    }
    for daemon in &mut stage.daemons {
        // Continues a paused process; one that has ended is restarted.
        drop(daemon.signal(Signal::CONT));
        if daemon.has_ended() {
            daemon.restart().unwrap();
        }
    }
}

async fn expect_recovery(served: &AtomicUsize, seed: u64) {
    let before = served.load(Ordering::Relaxed);
    let begun = std::time::Instant::now();
    while served.load(Ordering::Relaxed) < before + 3 * CALLERS {
        assert!(
            begun.elapsed() < RECOVERY_TIMEOUT,
            "seed {seed}: not served again in time"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
