//! Resolves the model or service that a request names to a row of the plan.

use ward_protocol::{
    ModelReference, PlanCatalog, ReplicaKey, ResultCode, RoutingView, RowTarget, ServiceName,
    VersionTag,
};

use crate::problem::ProblemReport;

/// The key of the row that a model reference refers to in a view.
///
/// A name without a version selects the first version in the plan whose row allows
/// a replica; for an adapter, the rows of that adapter decide.
///
/// # Errors
///
/// The plan does not have the model, or allows no replica of it or of the version.
pub(crate) fn resolve_model(
    view: &RoutingView,
    reference: &ModelReference,
) -> Result<ReplicaKey, ProblemReport> {
    let Some(entry) = view.catalog.models.get(&reference.model) else {
        let detail = format!("the plan has no model {}", reference.model);
        return Err(ProblemReport::refused(ResultCode::UnknownModel, detail));
    };
    if let Some(version) = &reference.version {
        let key = key_of(reference, version);
        return if is_active(&view.catalog, &key) {
            Ok(key)
        } else {
            Err(withdrawn(reference))
        };
    }
    entry
        .versions
        .iter()
        .map(|version| key_of(reference, version))
        .find(|key| is_active(&view.catalog, key))
        .ok_or_else(|| withdrawn(reference))
}

/// Whether the plan allows replicas of a key.
#[must_use]
pub(crate) fn is_active(catalog: &PlanCatalog, key: &ReplicaKey) -> bool {
    catalog
        .rows
        .get(&RowTarget::Replica(key.clone()))
        .is_some_and(|row| row.replicas > 0)
}

/// Parses a service name and checks that the plan has it.
///
/// # Errors
///
/// The name is not valid or not in the plan.
pub(crate) fn resolve_service(
    view: &RoutingView,
    name: &str,
) -> Result<ServiceName, ProblemReport> {
    let unknown = || {
        let detail = format!("the plan has no service {name}");
        ProblemReport::refused(ResultCode::UnknownService, detail)
    };
    let service: ServiceName = name.parse().map_err(|_| unknown())?;
    match view.row(&RowTarget::Service(service.clone())) {
        Some(_) => Ok(service),
        None => Err(unknown()),
    }
}

fn key_of(reference: &ModelReference, version: &VersionTag) -> ReplicaKey {
    ReplicaKey {
        model: reference.model.clone(),
        version: version.clone(),
        adapter: reference.adapter.clone(),
    }
}

fn withdrawn(reference: &ModelReference) -> ProblemReport {
    let detail = format!("the plan allows no replica of {reference}");
    ProblemReport::refused(ResultCode::Withdrawn, detail)
}
