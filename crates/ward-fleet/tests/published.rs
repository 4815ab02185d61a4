//! Changes of engines that the next view names.

#![allow(clippy::unwrap_used)]

mod support;

use googletest::prelude::*;
use support::{at, entry, id, name};
use ward_fleet::EngineIncarnation;
use ward_fleet::placement::{EngineChanges, PlacedEngine, PlacementState, PublishedEngines};
use ward_protocol::ModelName;

/// Ids of the engines that have changed, and of those that are gone.
fn update(published: &mut PublishedEngines, state: &PlacementState) -> (Vec<String>, Vec<String>) {
    let EngineChanges { changed, gone } = published.update(state);
    let changed = changed.iter().map(|info| info.id.to_string());
    let gone = gone.iter().map(ToString::to_string);
    (changed.collect(), gone.collect())
}

fn second_engine(state: &mut PlacementState) -> &mut PlacedEngine {
    state.engines.get_mut(&id("e2")).unwrap()
}

fn names(ids: &[&str]) -> Vec<String> {
    ids.iter().map(|id| (*id).to_owned()).collect()
}

#[gtest]
fn update_names_what_has_changed_and_nothing_else() {
    let mut state = PlacementState::default();
    let mut published = PublishedEngines::default();
    let entries = ["e1", "e2", "e3"].map(|id| entry(id, &["m1"], &["m1", "m2"]));
    for entry in &entries {
        state.apply_entry(entry, at(0));
    }
    let all = names(&["e1", "e2", "e3"]);
    expect_that!(update(&mut published, &state), eq(&(all, vec![])));
    let nothing = (vec![], vec![]);
    expect_that!(update(&mut published, &state), eq(&nothing));

    // A heartbeat that tells nothing new.
    state.apply_entry(&entries[0], at(1_200));
    expect_that!(update(&mut published, &state), eq(&nothing));

    let only_second = (names(&["e2"]), vec![]);
    let model: ModelName = name("m2");
    second_engine(&mut state).record_model_loaded(&model, at(2_000));
    expect_that!(update(&mut published, &state), eq(&only_second));
    second_engine(&mut state).record_adapter_loaded(&model, &name("a1"), at(2_100));
    expect_that!(update(&mut published, &state), eq(&only_second));
    second_engine(&mut state).held[&model].unloading = true;
    expect_that!(update(&mut published, &state), eq(&only_second));
    state.mark_ended(&EngineIncarnation::from(&entries[1]), at(2_200));
    expect_that!(update(&mut published, &state), eq(&only_second));
    expect_that!(update(&mut published, &state), eq(&nothing));

    // One leaves while another comes.
    state.remove_engine(&id("e1"), at(3_000));
    state.apply_entry(&entry("e4", &["m1"], &[]), at(3_000));
    let replaced = (names(&["e4"]), names(&["e1"]));
    expect_that!(update(&mut published, &state), eq(&replaced));
    let listed = published.list();
    let mut listed: Vec<_> = listed.iter().map(|info| info.id.as_str()).collect();
    listed.sort_unstable();
    expect_that!(listed, eq(&vec!["e2", "e3", "e4"]));
}
