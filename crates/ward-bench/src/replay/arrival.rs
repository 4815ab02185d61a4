//! Draws arrival times from the arrival laws of a workload.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use ward_protocol::{MonoTime, TimeSpan};

use super::draw::{exponential, pareto};
use super::trace::WEEK;
use super::workload::{ArrivalLaw, OpenHours};

const DAY_SECONDS: f64 = 24.0 * 3_600.0;
const DAYS: u64 = 7;
const MINUTE_SECONDS: f64 = 60.0;

/// Draws a week's arrival times from one law; they are not sorted.
pub(super) fn arrival_times(law: &ArrivalLaw, generator: &mut ChaCha8Rng) -> Vec<MonoTime> {
    let seconds = match law {
        ArrivalLaw::Steady { per_day, hours } => steady(*per_day, hours, generator),
        ArrivalLaw::Burst {
            per_day,
            size,
            spread,
            hours,
        } => burst(*per_day, *size, *spread, hours, generator),
        ArrivalLaw::Heavy {
            shortest,
            spread,
            alpha,
            longest,
        } => {
            let factor = spread.powf(generator.random());
            heavy_tailed(shortest.seconds() * factor, *alpha, *longest, generator)
        }
        ArrivalLaw::Regular {
            every,
            jitter,
            hours,
        } => regular(*every, *jitter, hours, generator),
        ArrivalLaw::Cooling { per_day, half_life } => cooling(*per_day, *half_life, generator),
    };
    let in_week = |time: &f64| (0.0..WEEK.seconds()).contains(time);
    seconds.into_iter().filter(in_week).map(to_time).collect()
}

fn to_time(seconds: f64) -> MonoTime {
    MonoTime::default() + ward_policy::keep::span_from_secs(seconds)
}

/// Start, counted from the start of the week, and length of each day's open hours, in seconds.
fn daily_windows(hours: &OpenHours) -> impl Iterator<Item = (f64, f64)> + use<> {
    let from = f64::from(hours.from.minutes()) * MINUTE_SECONDS;
    let until = f64::from(hours.until.minutes()) * MINUTE_SECONDS;
    let days = hours.first_day..=hours.last_day.min(DAYS - 1);
    days.map(move |day| {
        let midnight = day_start(day);
        (midnight + from, (until - from).max(0.0))
    })
}

#[allow(clippy::cast_precision_loss)]
fn day_start(day: u64) -> f64 {
    day as f64 * DAY_SECONDS
}

fn poisson(start: f64, length: f64, count: f64, generator: &mut ChaCha8Rng) -> Vec<f64> {
    let mean = length / count;
    let mut times = Vec::new();
    let mut time = exponential(generator, mean);
    while time < length {
        times.push(start + time);
        time += exponential(generator, mean);
    }
    times
}

fn steady(per_day: f64, hours: &OpenHours, generator: &mut ChaCha8Rng) -> Vec<f64> {
    daily_windows(hours)
        .flat_map(|(start, length)| poisson(start, length, per_day, generator))
        .collect()
}

fn burst(
    per_day: f64,
    size: f64,
    spread: TimeSpan,
    hours: &OpenHours,
    generator: &mut ChaCha8Rng,
) -> Vec<f64> {
    let starts = steady(per_day, hours, generator);
    starts
        .into_iter()
        .flat_map(|start| poisson(start, spread.seconds(), size, generator))
        .collect()
}

fn heavy_tailed(
    shortest: f64,
    alpha: f64,
    longest: TimeSpan,
    generator: &mut ChaCha8Rng,
) -> Vec<f64> {
    let mut draw = || pareto(generator, shortest, alpha, longest.seconds());
    let mut times = Vec::new();
    let mut time = draw();
    while time < WEEK.seconds() {
        times.push(time);
        time += draw();
    }
    times
}

fn regular(
    every: TimeSpan,
    jitter: TimeSpan,
    hours: &OpenHours,
    generator: &mut ChaCha8Rng,
) -> Vec<f64> {
    let mut times = Vec::new();
    for (start, length) in daily_windows(hours) {
        let phase: f64 = generator.random();
        let mut time = phase * every.seconds();
        while time < length {
            let shift = (generator.random::<f64>() - 0.5) * 2.0 * jitter.seconds();
            times.push(start + time + shift);
            time += every.seconds();
        }
    }
    times
}

fn cooling(per_day: f64, half_life: TimeSpan, generator: &mut ChaCha8Rng) -> Vec<f64> {
    let first_rate = per_day / DAY_SECONDS;
    // Thinning: candidates are drawn at the first and highest rate, and each is kept with
    // the probability of its current rate against that one.
    let candidates = poisson(0.0, WEEK.seconds(), first_rate * WEEK.seconds(), generator);
    candidates
        .into_iter()
        .filter(|time| generator.random::<f64>() < (-time / half_life.seconds()).exp2())
        .collect()
}
