//! Upper bound of the worth that a day can earn.
//!
//! The bound knows all requests and replacements in advance, swaps models between
//! disk and memory in no time, and has memory for every model. Only the weight
//! store limits it: from the time when the first new engine joins that is not
//! replaced itself, it loads as many models as the store allows, each time the one
//! whose later requests are worth most.

use indexmap::IndexSet;
use ward_protocol::{MonoTime, TimeSpan};

use super::day::{DayPlan, SiteConfig};
use super::run::{DayOutcome, PROMPT_TIME};
use super::traffic::CallerRequest;

/// The outcome of a day for a fleet that knows it in advance.
#[must_use]
pub fn perfect_outcome(
    config: &SiteConfig,
    plan: &DayPlan,
    requests: &[CallerRequest],
) -> DayOutcome {
    let available_until = copies_until(config, plan);
    let fetched_at = fetch_times(config, plan, requests, &available_until);
    let mut outcome = DayOutcome::new(config);
    for request in requests {
        outcome.update(request, |kind| kind.record_request(request.kind));
        let waited = wait_for_answer(request, &available_until, &fetched_at);
        outcome.update(request, |kind| match waited {
            Some(waited) if waited <= request.kind.timeout() => {
                kind.record_answer(request.kind, waited);
            }
            _ => kind.refused += 1,
        });
    }
    outcome.store_loads = fetched_at.iter().flatten().count();
    outcome
}

/// When the last engine with an initial copy of each model begins to drain; `None` if one of them
/// is never replaced.
fn copies_until(config: &SiteConfig, plan: &DayPlan) -> Vec<Option<MonoTime>> {
    let drain_time = |engine: usize| {
        let replacement = plan.replacements.get(engine);
        replacement.map(|replacement| MonoTime::default() + replacement.drains_at)
    };
    let available_until = |model: usize| {
        let copies = 0..config.disk_copies;
        let engines = copies.map(|copy| (model + copy * config.engines / 3) % config.engines);
        let times: Vec<_> = engines.map(drain_time).collect();
        // One engine that is never replaced is enough.
        times.iter().all(Option::is_some).then(|| {
            let times = times.into_iter().flatten();
            times.max().unwrap_or_default()
        })
    };
    (0..config.models).map(available_until).collect()
}

/// When each model's load from the weight store ends; `None` if an engine with an initial copy is
/// never replaced, or if the model is never loaded.
fn fetch_times(
    config: &SiteConfig,
    plan: &DayPlan,
    requests: &[CallerRequest],
    available_until: &[Option<MonoTime>],
) -> Vec<Option<MonoTime>> {
    let mut fetched_at = vec![None; config.models];
    let Some(first) = first_lasting_join(config, plan) else {
        return fetched_at;
    };
    let end = MonoTime::default() + config.length;
    let mut missing: IndexSet<usize> = (0..config.models)
        .filter(|model| available_until[*model].is_some())
        .collect();
    let mut done = first + config.store_load;
    while done < end && !missing.is_empty() {
        for _ in 0..config.full_speed_loads {
            let best = missing.iter().copied().max_by(|left, right| {
                let worth = |model| worth_from(requests, model, done);
                worth(*left).total_cmp(&worth(*right))
            });
            if let Some(model) = best {
                missing.shift_remove(&model);
                fetched_at[model] = Some(done);
            }
        }
        done = done + config.store_load;
    }
    fetched_at
}

/// When the first new engine joins that is not replaced itself.
fn first_lasting_join(config: &SiteConfig, plan: &DayPlan) -> Option<MonoTime> {
    let lasting = plan.replacements.iter().enumerate().filter(|(number, _)| {
        let successor = config.engines + number;
        successor >= plan.replacements.len()
    });
    let times = lasting
        .map(|(_, replacement)| MonoTime::default() + replacement.drains_at + replacement.delay);
    times.min()
}

fn worth_from(requests: &[CallerRequest], model: usize, from: MonoTime) -> f64 {
    let later = requests
        .iter()
        .filter(|request| request.model == model && request.arrives_at >= from);
    later.map(|request| request.kind.worth().0).sum()
}

/// Time until the first part of the answer; `None` when it never comes.
fn wait_for_answer(
    request: &CallerRequest,
    available_until: &[Option<MonoTime>],
    fetched_at: &[Option<MonoTime>],
) -> Option<TimeSpan> {
    let until = available_until.get(request.model).copied().flatten();
    if until.is_none_or(|until| request.arrives_at < until) {
        return Some(PROMPT_TIME);
    }
    let ready = fetched_at.get(request.model).copied().flatten()?;
    Some(ready.since(request.arrives_at) + PROMPT_TIME)
}
