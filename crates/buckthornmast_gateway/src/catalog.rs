//! Models and services by the names that callers use.

use std::{collections::BTreeMap, time::Duration};

use buckthornmast_config::declaration::{Declarations, Role};
use buckthornmast_types::{artifact::Artifact, id};

/// Model or adapter that callers may request.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Team that declared the model or adapter.
    pub team: id::Team,
    /// Artifact at the declared version.
    pub artifact: Artifact,
    /// Service whose targets may load it.
    pub service: id::Service,
    /// Priority from 0 to 9, higher first.
    pub priority: u8,
    /// Name of the objective.
    pub objective: String,
    /// Time limit for the complete answer.
    pub deadline: Duration,
    /// Time limit for the first token, if the objective sets one.
    pub first_token: Option<Duration>,
}

/// Plain service that callers may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name, which follows `/services/` in the path of a call.
    pub name: id::Service,
    /// Whether a call may be repeated.
    pub is_repeatable: bool,
    /// Maximum number of concurrent calls per target.
    pub concurrency: u32,
}

/// All models and plain services of one revision of the settings.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    /// Models and adapters by the name that callers use.
    pub models: BTreeMap<String, Model>,
    /// Plain services by name.
    pub services: BTreeMap<String, Service>,
}

impl Catalog {
    /// Builds the catalog of a set of declarations.
    pub fn build(declarations: &Declarations) -> Self {
        let mut catalog = Self::default();
        for (name, team) in &declarations.teams {
            for (model, declared) in &team.models {
                let artifact = team.model_artifact(model);
                let entry = artifact.and_then(|a| model_entry(name, team, declared, a));
                catalog
                    .models
                    .extend(entry.map(|entry| (model.to_string(), entry)));
            }
            for (adapter, declared) in &team.adapters {
                let base = team.models.get(&declared.model);
                let artifact = team.adapter_artifact(adapter);
                let entry = base
                    .zip(artifact)
                    .and_then(|(base, a)| model_entry(name, team, base, a));
                catalog
                    .models
                    .extend(entry.map(|entry| (adapter.to_string(), entry)));
            }
        }
        let platform = &declarations.platform;
        for (name, service) in &platform.services {
            let kind = platform.kinds.get(&service.kind);
            if kind.is_some_and(|kind| kind.role == Role::Plain) {
                let plain = Service {
                    name: name.clone(),
                    is_repeatable: service.is_repeatable,
                    concurrency: service.concurrency,
                };
                catalog.services.insert(name.to_string(), plain);
            }
        }
        catalog
    }
}

fn model_entry(
    name: &id::Team,
    team: &buckthornmast_config::declaration::Team,
    model: &buckthornmast_config::declaration::Model,
    artifact: Artifact,
) -> Option<Model> {
    let objective = team.objectives.get(&model.objective)?;
    Some(Model {
        team: name.clone(),
        artifact,
        service: model.service.clone(),
        priority: model.priority,
        objective: model.objective.clone(),
        deadline: objective.deadline,
        first_token: objective.first_token,
    })
}
