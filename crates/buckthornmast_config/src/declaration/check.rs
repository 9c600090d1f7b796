//! Checks references between sections and scopes.

use std::collections::BTreeMap;

use buckthornmast_types::id;

use crate::{
    declaration::{Declarations, Role, Team},
    fault::Fault,
    folder::{self, Scope, Values},
};

impl Declarations {
    /// Returns the faults in references between sections and scopes.
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = self.check_platform();
        for (name, team) in &self.teams {
            faults.extend(self.check_team(name, team));
        }
        faults.extend(self.check_names());
        faults
    }

    /// Returns a fault for each policy text that `rule` refuses; its error is the message.
    pub fn check_policies(&self, rule: impl Fn(&str) -> Result<(), String>) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (name, team) in &self.teams {
            let scope = Scope::Team(name.clone());
            let shadow = team.policy.shadow.clone().map(|text| ("shadow", text));
            let policy = Some(("name", team.policy.text()));
            for (key, text) in policy.into_iter().chain(shadow) {
                if let Err(message) = rule(&text) {
                    faults.push(fault(&scope, "policy".to_owned(), key, message));
                }
            }
        }
        faults
    }

    fn check_platform(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (name, service) in &self.platform.services {
            if !self.platform.kinds.contains_key(&service.kind) {
                let message = format!("kind {} is not declared", service.kind);
                faults.push(fault(
                    &Scope::Platform,
                    format!("service {name}"),
                    "kind",
                    message,
                ));
            }
        }
        faults
    }

    fn check_team(&self, name: &id::Team, team: &Team) -> Vec<Fault> {
        let scope = Scope::Team(name.clone());
        let mut faults = Vec::new();
        if !self.platform.teams.contains_key(name) {
            let message = format!("the platform declares no [team {name}]");
            faults.push(fault(&scope, String::new(), "", message));
        }
        for (model, declared) in &team.models {
            let section = format!("model {model}");
            let service = self.platform.services.get(&declared.service);
            let kind = service.and_then(|service| self.platform.kinds.get(&service.kind));
            if kind.is_none_or(|kind| kind.role != Role::Model) {
                let message = format!("{} is not a service of model engines", declared.service);
                faults.push(fault(&scope, section.clone(), "service", message));
            }
            if !team.objectives.contains_key(&declared.objective) {
                let message = format!("objective {} is not declared", declared.objective);
                faults.push(fault(&scope, section, "objective", message));
            }
        }
        for (adapter, declared) in &team.adapters {
            if !team.models.contains_key(&declared.model) {
                let message = format!("model {} is not declared by this team", declared.model);
                faults.push(fault(
                    &scope,
                    format!("adapter {adapter}"),
                    "model",
                    message,
                ));
            }
        }
        faults
    }

    /// Returns a fault for each name that is declared twice. Models and adapters of all teams share one name space,
    /// since a caller names only the model.
    fn check_names(&self) -> Vec<Fault> {
        let mut owners: BTreeMap<String, &id::Team> = BTreeMap::new();
        let mut faults = Vec::new();
        for (name, team) in &self.teams {
            let models = team.models.keys().map(|model| ("model", model.to_string()));
            let adapters = team
                .adapters
                .keys()
                .map(|adapter| ("adapter", adapter.to_string()));
            for (kind, label) in models.chain(adapters) {
                let Some(owner) = owners.insert(label.clone(), name) else {
                    continue;
                };
                let message = format!("the name is taken already by team {owner}");
                let section = format!("{kind} {label}");
                faults.push(fault(&Scope::Team(name.clone()), section, "", message));
            }
        }
        faults
    }
}

fn fault(scope: &Scope, section: String, key: &str, message: String) -> Fault {
    let file = match scope {
        Scope::Platform => "platform.ini".to_owned(),
        Scope::Team(team) => format!("teams/{team}.ini"),
    };
    Fault {
        file,
        section,
        key: key.to_owned(),
        line: None,
        message,
    }
}

/// Returns the faults of the values of one scope in combination with the other scopes.
pub fn check_scope(scope: &Scope, values: &Values, others: &BTreeMap<Scope, Values>) -> Vec<Fault> {
    let faults = folder::check_values(scope, values);
    if !faults.is_empty() {
        return faults;
    }
    let mut scopes = others.clone();
    scopes.insert(scope.clone(), values.clone());
    Declarations::read(&scopes).check()
}
