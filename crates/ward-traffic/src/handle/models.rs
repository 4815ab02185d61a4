//! The list of models, in the format that callers' client libraries expect.

use http::Response;
use serde::Serialize;
use viz::Body;
use ward_protocol::{PlanRow, ReplicaKey, RowTarget};

use super::entries::json_response;
use crate::core::TrafficCore;

const OWNER: &str = "persimmonward";

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelItem<'a>>,
}

#[derive(Serialize)]
struct ModelItem<'a> {
    id: &'a ReplicaKey,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
    replicas: u16,
    ready: bool,
}

/// All model versions and adapters for which the plan allows replicas.
pub(crate) fn list_models(core: &TrafficCore) -> Response<Body> {
    let view = core.view();
    let item = |row: &PlanRow, id| ModelItem {
        id,
        object: "model",
        created: 0,
        owned_by: OWNER,
        replicas: row.replicas,
        ready: view.ready.contains_key(id),
    };
    let data = view
        .catalog
        .rows
        .iter()
        .filter(|(_, row)| row.replicas > 0)
        .filter_map(|(target, row)| match target {
            RowTarget::Replica(key) => Some(item(row, key)),
            RowTarget::Service(_) => None,
        })
        .collect();
    json_response(&ModelList {
        object: "list",
        data,
    })
}
