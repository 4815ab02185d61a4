//! What a day could bring at most.
//!
//! The bound knows all requests and replacements beforehand, swaps models between
//! disk and memory in no time, and has room for every model. What binds it is
//! only the weight store: from the first engine that comes empty and stays on, it
//! brings as many models as the store allows, each time the one whose later
//! requests are worth most.

use indexmap::IndexSet;
use ward_protocol::{MonoTime, TimeSpan};

use super::day::{DayPlan, SiteFigures};
use super::run::{DayOutcome, PROMPT_TIME};
use super::traffic::CallerRequest;

/// The outcome of a day with perfect knowledge.
#[must_use]
pub fn perfect_outcome(
    figures: &SiteFigures,
    plan: &DayPlan,
    requests: &[CallerRequest],
) -> DayOutcome {
    let kept = copies_kept(figures, plan);
    let fetched = fetch_times(figures, plan, requests, &kept);
    let mut outcome = DayOutcome::new(figures);
    for request in requests {
        outcome.note(request, |kind| kind.ask(request.kind));
        let waited = waiting_time(request, &kept, &fetched);
        outcome.note(request, |kind| match waited {
            Some(waited) if waited <= request.kind.patience() => {
                kind.answer(request.kind, waited);
            }
            _ => kind.refused += 1,
        });
    }
    outcome.store_loads = fetched.iter().flatten().count();
    outcome
}

/// When the last engine with a first copy of each model begins to drain.
fn copies_kept(figures: &SiteFigures, plan: &DayPlan) -> Vec<Option<MonoTime>> {
    let drains = |engine: usize| {
        let replaced = plan.replaced.get(engine);
        replaced.map(|replaced| MonoTime::default() + replaced.at)
    };
    let kept = |model: usize| {
        let copies = 0..figures.copies;
        let engines = copies.map(|copy| (model + copy * figures.engines / 3) % figures.engines);
        let times: Vec<_> = engines.map(drains).collect();
        // One engine that stays is enough.
        times.iter().all(Option::is_some).then(|| {
            let times = times.into_iter().flatten();
            times.max().unwrap_or_default()
        })
    };
    (0..figures.models).map(kept).collect()
}

/// When each model is brought by the store.
fn fetch_times(
    figures: &SiteFigures,
    plan: &DayPlan,
    requests: &[CallerRequest],
    kept: &[Option<MonoTime>],
) -> Vec<Option<MonoTime>> {
    let mut fetched = vec![None; figures.models];
    let Some(first) = first_lasting(figures, plan) else {
        return fetched;
    };
    let end = MonoTime::default() + figures.length;
    let mut missing: IndexSet<usize> = (0..figures.models)
        .filter(|model| kept[*model].is_some())
        .collect();
    let mut done = first + figures.store_load;
    while done < end && !missing.is_empty() {
        for _ in 0..figures.at_once {
            let best = missing.iter().copied().max_by(|left, right| {
                let worth = |model| later_worth(requests, model, done);
                worth(*left).total_cmp(&worth(*right))
            });
            if let Some(model) = best {
                missing.shift_remove(&model);
                fetched[model] = Some(done);
            }
        }
        done = done + figures.store_load;
    }
    fetched
}

/// When the first engine comes that is not replaced itself.
fn first_lasting(figures: &SiteFigures, plan: &DayPlan) -> Option<MonoTime> {
    let lasting = plan.replaced.iter().enumerate().filter(|(number, _)| {
        let replacement = figures.engines + number;
        replacement >= plan.replaced.len()
    });
    let times = lasting.map(|(_, replaced)| MonoTime::default() + replaced.at + replaced.gap);
    times.min()
}

fn later_worth(requests: &[CallerRequest], model: usize, from: MonoTime) -> f64 {
    let later = requests
        .iter()
        .filter(|request| request.model == model && request.at >= from);
    later.map(|request| request.kind.worth().0).sum()
}

/// How long a request waits for its answer; nothing when it never comes.
fn waiting_time(
    request: &CallerRequest,
    kept: &[Option<MonoTime>],
    fetched: &[Option<MonoTime>],
) -> Option<TimeSpan> {
    let until = kept.get(request.model).copied().flatten();
    if until.is_none_or(|until| request.at < until) {
        return Some(PROMPT_TIME);
    }
    let ready = fetched.get(request.model).copied().flatten()?;
    Some(ready.since(request.at) + PROMPT_TIME)
}
