//! Measures the time of one event of a daemon's control thread while nothing changes.

use std::time::Instant;

use ward_control::{ControlConfig, ControlCore, ControlEvent};
use ward_protocol::{LogStream, MonoTime, WallTime};

use super::fit::{SlopePoint, SlopeSeries};
use super::measure::SlopeError;
use super::sample::{REPLICAS_PER_ENGINE, SampleState, member, rows};

const ROWS: [usize; 4] = [3_500, 7_000, 14_000, 28_000];
const ENGINES: [usize; 4] = [1_500, 3_000, 6_000, 12_000];
const OWNED_ENGINES: [usize; 5] = [8, 16, 32, 64, 128];
const MEMBERS: [usize; 5] = [9, 40, 100, 200, 370];
const RESERVATIONS: [usize; 4] = [1_500, 3_000, 6_000, 12_000];
/// Number of members while the number of engines grows, so that one member owns a realistic share.
const ENGINE_MEMBERS: usize = 370;
const EVENTS_PER_ATTEMPT: u32 = 200;
const ATTEMPTS: usize = 5;
const MICROS_PER_SECOND: f64 = 1e6;
const TICK_MICROS: u64 = 10;

/// The control thread's state in a daemon that is member 0 of the sample and holds its lease.
fn build_core(sample: &SampleState) -> Result<ControlCore, SlopeError> {
    let start = MonoTime(1);
    let wall = WallTime(1);
    let mut core = ControlCore::new(ControlConfig::new(member(0)?, 1), start);
    let bytes = sample.state.encode()?;
    core.step(start, wall, ControlEvent::Snapshot { bytes });
    let ends = [
        (LogStream::Plan, sample.state.plans().applied()),
        (LogStream::Control, sample.state.applied()),
    ];
    for (stream, end) in ends {
        let read = ControlEvent::Read {
            stream,
            started: start,
            records: Vec::new(),
            end,
            cut: None,
        };
        core.step(start, wall, read);
    }
    Ok(core)
}

/// Microseconds per event, in the fastest of several attempts.
fn event_micros(core: &mut ControlCore) -> f64 {
    let mut now = MonoTime(1);
    let attempts = (0..ATTEMPTS).map(|_| {
        let started = Instant::now();
        for _ in 0..EVENTS_PER_ATTEMPT {
            now = MonoTime(now.0 + TICK_MICROS);
            core.step(now, WallTime(2), ControlEvent::Tick);
        }
        started.elapsed().as_secs_f64() * MICROS_PER_SECOND / f64::from(EVENTS_PER_ATTEMPT)
    });
    attempts.fold(f64::INFINITY, f64::min)
}

#[allow(clippy::cast_precision_loss)]
fn measure_series(
    name: &'static str,
    per: &'static str,
    sizes: &[usize],
    prepare: impl Fn(&mut SampleState, usize) -> Result<(), SlopeError>,
) -> Result<SlopeSeries, SlopeError> {
    let mut points = Vec::new();
    for size in sizes {
        let mut sample = SampleState::default();
        prepare(&mut sample, *size)?;
        let value = event_micros(&mut build_core(&sample)?);
        points.push(SlopePoint {
            size: *size as f64,
            value,
        });
    }
    Ok(SlopeSeries::new(name, "microseconds", per, points))
}

fn join_members(sample: &mut SampleState, members: usize) -> Result<(), SlopeError> {
    for number in 0..members {
        sample.join(number)?;
    }
    Ok(())
}

fn add_engines(sample: &mut SampleState, engines: usize) -> Result<(), SlopeError> {
    for number in 0..engines {
        sample.add_engine(number)?;
    }
    Ok(())
}

/// Measures an event of the control thread as rows, engines, members and reservations grow.
///
/// # Errors
///
/// When a sample is rejected or cannot be encoded.
pub fn measure_steps() -> Result<Vec<SlopeSeries>, SlopeError> {
    Ok(vec![
        measure_series("control event", "row", &ROWS, |sample, size| {
            join_members(sample, 1)?;
            Ok(sample.submit(rows(size)?)?)
        })?,
        measure_series(
            "control event",
            "engine owned",
            &OWNED_ENGINES,
            |sample, size| {
                join_members(sample, 1)?;
                add_engines(sample, size)
            },
        )?,
        measure_series(
            "control event, 370 members",
            "engine",
            &ENGINES,
            |sample, size| {
                join_members(sample, ENGINE_MEMBERS)?;
                add_engines(sample, size)
            },
        )?,
        measure_series("control event", "member", &MEMBERS, join_members)?,
        measure_series(
            "control event, 370 members",
            "reservation",
            &RESERVATIONS,
            |sample, size| {
                join_members(sample, ENGINE_MEMBERS)?;
                add_engines(sample, size / REPLICAS_PER_ENGINE)?;
                sample.submit(rows(size)?)?;
                for number in 0..size {
                    sample.reserve(number)?;
                }
                Ok(())
            },
        )?,
    ])
}
