//! Measures time and memory of the control state as it grows.

use std::fs;
use std::hint::black_box;
use std::time::Instant;

use quick_error::quick_error;
use ward_control::{ControlConfig, ControlCore, ControlEvent};
use ward_protocol::id::IdError;
use ward_protocol::{CodecError, ControlRecord, MonoTime, WallTime};
use ward_state::{ClusterState, SnapshotError};

use super::fit::{SlopePoint, SlopeSeries};
use super::sample::{REPLICAS_PER_ENGINE, SampleState, member, rows};

quick_error! {
    /// A measurement that failed.
    #[derive(Debug)]
    pub enum SlopeError {
        /// A name of the sample is not valid.
        Name(cause: IdError) {
            from()
            display("a sample's name is not valid: {cause}")
            source(cause)
        }
        /// The state could not be encoded or decoded.
        Snapshot(cause: SnapshotError) {
            from()
            display("the state could not be encoded: {cause}")
            source(cause)
        }
        /// A record could not be encoded.
        Codec(cause: CodecError) {
            from()
            display("a record could not be encoded: {cause}")
            source(cause)
        }
        /// A status could not be encoded.
        Json(cause: serde_json::Error) {
            from()
            display("a status could not be encoded: {cause}")
            source(cause)
        }
        /// The process's memory cannot be read.
        Memory(cause: std::io::Error) {
            from()
            display("/proc/self/statm cannot be read: {cause}; run on Linux")
            source(cause)
        }
        /// Some records of the sample were rejected: kind of record, how many should have been
        /// accepted, and how many were.
        Rejected(kind: &'static str, expected: usize, accepted: usize) {
            display("{accepted} of {expected} {kind} were accepted; the sample no longer fits the rules")
        }
    }
}

/// Sizes measured, small to large.
const ROWS: [usize; 5] = [1_000, 3_000, 7_000, 14_000, 28_000];
const ENGINES: [usize; 5] = [50, 200, 600, 1_200, 2_400];
const MEMBERS: [usize; 5] = [9, 40, 100, 200, 370];
const RESERVATIONS: [usize; 5] = [500, 1_500, 3_000, 6_000, 12_000];
/// Number of engines while the number of members grows.
const MEMBER_ENGINES: usize = 1_000;
const PAGE_BYTES: f64 = 4_096.0;
const MICROS_PER_SECOND: f64 = 1e6;
/// Repetitions of a short step, of which the fastest counts.
const REPEATS: usize = 5;

/// Total encoded bytes of the copies from which a state's memory is measured.
const COPIED_BYTES: usize = 8 << 20;
const MAX_COPIES: usize = 4_000;

fn resident_bytes() -> Result<f64, SlopeError> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1);
    let pages: f64 = pages.and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
    Ok(pages * PAGE_BYTES)
}

/// Memory of one state, from the growth of the resident size by many decoded copies.
///
/// The copies are added to `retained` and stay allocated, so that no freed memory is reused.
#[allow(clippy::cast_precision_loss)]
fn state_bytes(state: &ClusterState, retained: &mut Vec<ClusterState>) -> Result<f64, SlopeError> {
    let encoded = state.encode()?;
    let copies = (COPIED_BYTES / encoded.len()).clamp(1, MAX_COPIES);
    // One copy first, so that the buffers of the decoder are already allocated.
    retained.push(ClusterState::decode(&encoded)?);
    let before = resident_bytes()?;
    for _ in 0..copies {
        retained.push(ClusterState::decode(&encoded)?);
    }
    Ok((resident_bytes()? - before) / copies as f64)
}

#[allow(clippy::cast_precision_loss)]
fn point(size: usize, value: f64) -> SlopePoint {
    SlopePoint {
        size: size as f64,
        value,
    }
}

fn check_count(kind: &'static str, expected: usize, accepted: usize) -> Result<(), SlopeError> {
    if expected == accepted {
        return Ok(());
    }
    Err(SlopeError::Rejected(kind, expected, accepted))
}

/// Measures one kind of item: time to apply its records, and memory of the state.
fn measure_growth(
    names: (&'static str, &'static str, &'static str),
    sizes: &[usize],
    copies: &mut Vec<ClusterState>,
    prepare: impl Fn(usize) -> Result<SampleState, SlopeError>,
    fill: impl Fn(&mut SampleState, usize) -> Result<(), SlopeError>,
) -> Result<(Vec<SlopeSeries>, Vec<SampleState>), SlopeError> {
    let mut samples = Vec::new();
    let mut times = Vec::new();
    let mut memory = Vec::new();
    for size in sizes {
        let mut sample = prepare(*size)?;
        let started = Instant::now();
        fill(&mut sample, *size)?;
        let micros = started.elapsed().as_secs_f64() * MICROS_PER_SECOND;
        times.push(point(*size, micros));
        let bytes = state_bytes(&sample.state, copies)?;
        memory.push(point(*size, bytes));
        samples.push(sample);
    }
    let (apply, bytes, per) = names;
    let series = vec![
        SlopeSeries::new(apply, "microseconds", per, times),
        SlopeSeries::new(bytes, "bytes resident", per, memory),
    ];
    Ok((series, samples))
}

/// Measures the control state, its snapshots and its views.
///
/// # Errors
///
/// When a sample is rejected or cannot be encoded.
pub fn measure_state() -> Result<Vec<SlopeSeries>, SlopeError> {
    // Kept to the end, so that no measurement reuses memory that another has freed.
    let mut copies = Vec::new();
    let mut series = measure_rows(&mut copies)?;
    series.extend(measure_engines(&mut copies)?);
    series.extend(measure_members(&mut copies)?);
    series.extend(measure_reservations(&mut copies)?);
    Ok(series)
}

fn one_member() -> Result<SampleState, SlopeError> {
    let mut sample = SampleState::default();
    sample.join(0)?;
    Ok(sample)
}

fn measure_rows(copies: &mut Vec<ClusterState>) -> Result<Vec<SlopeSeries>, SlopeError> {
    let names = ("apply plan", "memory of plan", "row");
    let fill = |sample: &mut SampleState, size: usize| {
        sample.submit(rows(size)?)?;
        check_count("rows", size, sample.state.content().len())
    };
    let (mut series, samples) = measure_growth(names, &ROWS, copies, |_| one_member(), fill)?;
    series.extend(measure_snapshots("row", &ROWS, &samples)?);
    Ok(series)
}

fn measure_engines(copies: &mut Vec<ClusterState>) -> Result<Vec<SlopeSeries>, SlopeError> {
    let names = ("apply engines", "memory of engines", "engine");
    let fill = |sample: &mut SampleState, size: usize| {
        for number in 0..size {
            sample.add_engine(number)?;
        }
        check_count("engines", size, sample.state.backends().len())
    };
    let (mut series, samples) = measure_growth(names, &ENGINES, copies, |_| one_member(), fill)?;
    series.extend(measure_snapshots("engine", &ENGINES, &samples)?);
    Ok(series)
}

fn measure_members(copies: &mut Vec<ClusterState>) -> Result<Vec<SlopeSeries>, SlopeError> {
    let names = (
        "apply joins with 1,000 engines",
        "memory of members",
        "member",
    );
    let prepare = |_| {
        let mut sample = one_member()?;
        for number in 0..MEMBER_ENGINES {
            sample.add_engine(number)?;
        }
        Ok(sample)
    };
    let fill = |sample: &mut SampleState, size: usize| {
        for number in 1..size {
            sample.join(number)?;
        }
        check_count("members", size, sample.state.members().len())
    };
    let (series, _) = measure_growth(names, &MEMBERS, copies, prepare, fill)?;
    Ok(series)
}

fn measure_reservations(copies: &mut Vec<ClusterState>) -> Result<Vec<SlopeSeries>, SlopeError> {
    let names = (
        "apply reservations, each loaded",
        "memory of reservations",
        "reservation",
    );
    let prepare = |size: usize| {
        let mut sample = one_member()?;
        for number in 0..size.div_ceil(REPLICAS_PER_ENGINE) {
            sample.add_engine(number)?;
        }
        sample.submit(rows(size)?)?;
        Ok(sample)
    };
    let fill = |sample: &mut SampleState, size: usize| {
        for number in 0..size {
            let Some(reservation) = sample.reserve(number)? else {
                return Err(SlopeError::Rejected("reservations", size, number));
            };
            sample.apply_control(ControlRecord::Ready { reservation });
        }
        check_count("reservations", size, sample.state.reservations().len())
    };
    let (mut series, samples) = measure_growth(names, &RESERVATIONS, copies, prepare, fill)?;
    series.extend(measure_snapshots(
        "row, with a reservation each",
        &RESERVATIONS,
        &samples,
    )?);
    series.push(measure_views(&samples)?);
    Ok(series)
}

fn fastest_run<T>(step: impl Fn() -> Result<T, SlopeError>) -> Result<f64, SlopeError> {
    let mut best = f64::INFINITY;
    for _ in 0..REPEATS {
        let started = Instant::now();
        black_box(step()?);
        best = best.min(started.elapsed().as_secs_f64() * MICROS_PER_SECOND);
    }
    Ok(best)
}

fn measure_snapshots(
    per: &'static str,
    sizes: &[usize],
    samples: &[SampleState],
) -> Result<Vec<SlopeSeries>, SlopeError> {
    let mut bytes = Vec::new();
    let mut encode = Vec::new();
    let mut decode = Vec::new();
    for (size, sample) in sizes.iter().zip(samples) {
        let encoded = sample.state.encode()?;
        #[allow(clippy::cast_precision_loss)]
        bytes.push(point(*size, encoded.len() as f64));
        encode.push(point(*size, fastest_run(|| Ok(sample.state.encode()?))?));
        decode.push(point(
            *size,
            fastest_run(|| Ok(ClusterState::decode(&encoded)?))?,
        ));
    }
    Ok(vec![
        SlopeSeries::new("snapshot size", "bytes", per, bytes),
        SlopeSeries::new("snapshot encoding", "microseconds", per, encode),
        SlopeSeries::new("snapshot decoding", "microseconds", per, decode),
    ])
}

fn measure_views(samples: &[SampleState]) -> Result<SlopeSeries, SlopeError> {
    let mut points = Vec::new();
    for (size, sample) in RESERVATIONS.iter().zip(samples) {
        let mut core = ControlCore::new(ControlConfig::new(member(0)?, 1), MonoTime::default());
        let bytes = sample.state.encode()?;
        core.step(
            MonoTime::default(),
            WallTime(1),
            ControlEvent::Snapshot { bytes },
        );
        check_count("rows in the view", *size, core.view().catalog.rows.len())?;
        let mut best = f64::INFINITY;
        for _ in 0..REPEATS {
            let started = Instant::now();
            black_box(core.view());
            best = best.min(started.elapsed().as_secs_f64() * MICROS_PER_SECOND);
        }
        points.push(point(*size, best));
    }
    let per = "row, with a ready replica each";
    Ok(SlopeSeries::new(
        "view building, plan unchanged",
        "microseconds",
        per,
        points,
    ))
}
