//! Engines that write the answer to an order or a report query once more on a kept
//! connection, where the answer to the next order is expected.

use std::time::Duration;

use googletest::prelude::*;
use ward_fleet::EngineOrder;
use ward_stage::{CallerRequest, EngineFault, LinkFault, Stage, StagePlan};

use crate::support::{
    expect_models_served, expect_valid_orders, send, set_fault_on_all, stage, wait_until_all_joined,
};

const MODELS: usize = 16;
/// Time of an unload in which the load that follows is refused at first.
const SHORT_UNLOAD: Duration = Duration::from_millis(300);
/// Time of an unload in which the coordinator asks for the engine's sequence number.
const LONG_UNLOAD: Duration = Duration::from_millis(800);
/// Time in which all tasks of the coordinator end.
const TASKS_END: Duration = Duration::from_secs(3);

/// Number of loads of a model that engines accepted.
fn accepted_loads(stage: &Stage, model: &str) -> usize {
    let orders = stage.ledger.orders();
    let loads = orders.iter().filter(|order| {
        let loads_model =
            matches!(&order.order, EngineOrder::LoadModel(name) if name.as_str() == model);
        loads_model && order.accepted
    });
    loads.count()
}

/// Number of loads of a model that coordinators believe to be complete.
fn believed_loads(stage: &Stage, model: &str) -> usize {
    let name = format!("\"model\":\"{model}\"");
    let logs = stage.daemons.iter().map(|daemon| daemon.log().unwrap());
    let of_log = |log: String| {
        let lines = log.lines().filter(|line| {
            line.contains("\"placement: model\"")
                && line.contains("\"failed\":null")
                && line.contains(&name)
        });
        lines.count()
    };
    logs.map(of_log).sum()
}

/// Requests models one after another, so that engines unload some and load others, and
/// expects that only loads that engines accepted are believed.
async fn expect_only_accepted_loads_believed(test: &str, unload: Duration) {
    let plan = StagePlan {
        models: MODELS,
        ..StagePlan::default()
    };
    let stage = stage(test, &plan).await;
    wait_until_all_joined(&stage).await;
    for link in &stage.engine_links {
        link.set_fault(LinkFault::RepeatOrderAnswers);
    }
    set_fault_on_all(&stage, EngineFault::SlowUnload(unload));
    for number in 0..MODELS {
        let model = Stage::model_name(number);
        let request = CallerRequest::new(format!("r{number}"), "/quote/a", Some(&model));
        // Whether it is served in time depends on the slow unloads; not checked.
        drop(send(&stage, number % 3, &request).await);
    }
    tokio::time::sleep(TASKS_END).await;
    let models: Vec<_> = (0..MODELS).map(Stage::model_name).collect();
    let mut loads = 0;
    for model in &models {
        let (believed, accepted) = (believed_loads(&stage, model), accepted_loads(&stage, model));
        expect_that!(believed, le(accepted), "{model}");
        loads += accepted;
    }
    expect_that!(loads, ge(MODELS / 2));
    set_fault_on_all(&stage, EngineFault::None);
    expect_models_served(&stage, "/quote/b", &models).await;
    expect_valid_orders(&stage);
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeated_order_answer_made_a_load_believed_that_never_ran() {
    expect_only_accepted_loads_believed("repeated-order", SHORT_UNLOAD).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn repeated_report_made_a_load_believed_that_never_ran() {
    expect_only_accepted_loads_believed("repeated-report", LONG_UNLOAD).await;
}
