//! Declarations as typed data.
//!
//! Values of every scope were checked for their form when they were written. Here they are read once
//! more, and references between sections and scopes are checked.

use std::{collections::BTreeMap, str::FromStr, time::Duration};

use buckthornmast_types::{artifact, id, rate::Rate, size::Bytes};

use crate::{
    daemon::{Flag, Span},
    fault::Fault,
    folder::{self, Scope, Values},
};

/// Role of a kind of target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Model engine.
    Model,
    /// Plain service.
    Plain,
}

/// Kind of target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Kind {
    /// Role.
    pub role: Role,
    /// Whether targets refuse an order that carries an old fencing token.
    pub fencing: bool,
    /// Whether targets check who gives them an order.
    pub access: bool,
}

/// Service that targets belong to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Kind of its targets.
    pub kind: id::Kind,
    /// Whether a call may be repeated.
    pub repeatable: bool,
    /// Calls that one plain target works on at once.
    pub concurrency: u32,
}

/// Budget of the weight store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Store {
    /// Loads that may start in a second.
    pub rate: Rate,
    /// Loads in progress at once.
    pub at_once: u32,
}

/// Entry of a team in the platform's declarations.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// SHA-256 of the team's bearer token.
    pub token: String,
    /// Share of accelerator memory that the team is entitled to.
    pub share: Option<f64>,
}

/// Declarations of the platform.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Platform {
    /// Name of the deployment.
    pub name: String,
    /// Failure domains.
    pub domains: Vec<id::Domain>,
    /// Kinds of target.
    pub kinds: BTreeMap<id::Kind, Kind>,
    /// Services.
    pub services: BTreeMap<id::Service, Service>,
    /// Budget of the weight store.
    pub store: Option<Store>,
    /// Targets that are drained.
    pub drained: Vec<id::Target>,
    /// Teams.
    pub teams: BTreeMap<id::Team, Member>,
}

/// Policy that a team chose.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Name.
    pub name: String,
    /// Policy that decides on the same view without acting.
    pub shadow: Option<String>,
    /// Weight of moves against attainment; 1 is neutral, more avoids moves.
    pub moves_weight: f64,
    /// Parameters.
    pub parameters: BTreeMap<String, String>,
}

/// Keys of the policy section that are not parameters of the policy.
pub const POLICY_KEYS: [&str; 3] = ["name", "shadow", "moves-weight"];

impl Policy {
    /// Returns the text form of the policy: its name and its parameters as `key=value`.
    pub fn text(&self) -> String {
        let parameters = self
            .parameters
            .iter()
            .map(|(key, value)| format!(" {key}={value}"));
        parameters.fold(self.name.clone(), |text, parameter| text + &parameter)
    }
}

/// Service-level objective.
#[derive(Debug, Clone, PartialEq)]
pub struct Objective {
    /// Time for the whole answer.
    pub deadline: Duration,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Share of requests that must meet both.
    pub attainment: f64,
    /// Window of the error budget.
    pub window: Duration,
}

/// Model of a team.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Service whose targets load it.
    pub service: id::Service,
    /// Version that shall run.
    pub version: id::Version,
    /// Accelerator memory that it takes.
    pub memory: Bytes,
    /// Objective.
    pub objective: String,
    /// Copies to hold at the least.
    pub copies: u32,
    /// Priority, higher first.
    pub priority: u8,
}

/// Adapter of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct Adapter {
    /// Model that it belongs to.
    pub model: id::Model,
    /// Version that shall run.
    pub version: id::Version,
    /// Accelerator memory that it takes.
    pub memory: Bytes,
    /// Copies to hold at the least.
    pub copies: u32,
}

/// Declarations of a team.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Policy.
    pub policy: Policy,
    /// Objectives.
    pub objectives: BTreeMap<String, Objective>,
    /// Models.
    pub models: BTreeMap<id::Model, Model>,
    /// Adapters.
    pub adapters: BTreeMap<id::Adapter, Adapter>,
}

impl Default for Team {
    fn default() -> Self {
        let policy = Policy {
            name: "static".to_owned(),
            shadow: None,
            moves_weight: 1.0,
            parameters: BTreeMap::new(),
        };
        Self {
            policy,
            objectives: BTreeMap::new(),
            models: BTreeMap::new(),
            adapters: BTreeMap::new(),
        }
    }
}

impl Team {
    /// Returns the artifact of a model at its declared version.
    pub fn model_artifact(&self, model: &id::Model) -> Option<artifact::Artifact> {
        let declared = self.models.get(model)?;
        let version = declared.version.clone();
        Some(artifact::Artifact {
            model: model.clone(),
            version,
            adapter: None,
        })
    }

    /// Returns the artifact of an adapter at its declared version.
    pub fn adapter_artifact(&self, adapter: &id::Adapter) -> Option<artifact::Artifact> {
        let declared = self.adapters.get(adapter)?;
        let base = self.model_artifact(&declared.model)?;
        let pin = artifact::Pin {
            adapter: adapter.clone(),
            version: declared.version.clone(),
        };
        Some(artifact::Artifact {
            adapter: Some(pin),
            ..base
        })
    }
}

/// Declarations of all scopes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declarations {
    /// Platform.
    pub platform: Platform,
    /// Teams.
    pub teams: BTreeMap<id::Team, Team>,
}

/// Window of an error budget where none is declared: 28 days hold the same weekdays each time.
const DEFAULT_WINDOW: Duration = Duration::from_secs(28 * 24 * 3600);

/// Calls at once of a plain target where none is declared.
const DEFAULT_CONCURRENCY: u32 = 64;

/// Reader of the sections of one scope.
struct View<'a> {
    values: &'a Values,
}

impl<'a> View<'a> {
    /// Returns the names of the sections of a kind.
    fn names(&self, kind: &str) -> Vec<&'a str> {
        let prefix = format!("{kind}/");
        let mut names: Vec<&str> = Vec::new();
        for path in self.values.keys() {
            let name = path
                .strip_prefix(&prefix)
                .and_then(|rest| rest.split('/').next());
            if let Some(name) = name.filter(|name| names.last() != Some(name)) {
                names.push(name);
            }
        }
        names
    }

    fn get<T: FromStr>(&self, path: &str) -> Option<T> {
        self.values.get(path)?.parse().ok()
    }

    fn section<K: FromStr + Ord, T>(
        &self,
        kind: &str,
        read: impl Fn(&Self, &str) -> Option<T>,
    ) -> BTreeMap<K, T> {
        let read_one = |name: &&str| {
            let value = read(self, &format!("{kind}/{name}"))?;
            Some((name.parse().ok()?, value))
        };
        self.names(kind).iter().filter_map(read_one).collect()
    }
}

fn read_kind(view: &View<'_>, at: &str) -> Option<Kind> {
    let word = |key: &str| view.values.get(&format!("{at}/{key}")).map(String::as_str);
    let role = if word("role")? == "plain" {
        Role::Plain
    } else {
        Role::Model
    };
    Some(Kind {
        role,
        fencing: word("fencing")? == "honoured",
        access: word("access")? == "checked",
    })
}

fn read_service(view: &View<'_>, at: &str) -> Option<Service> {
    let repeat: Option<String> = view.get(&format!("{at}/repeat"));
    Some(Service {
        kind: view.get(&format!("{at}/kind"))?,
        repeatable: repeat.as_deref() == Some("safe"),
        concurrency: view
            .get(&format!("{at}/concurrency"))
            .unwrap_or(DEFAULT_CONCURRENCY),
    })
}

fn read_platform(values: &Values) -> Platform {
    let view = View { values };
    let drained = view.names("target").into_iter().filter(|name| {
        view.get::<Flag>(&format!("target/{name}/drain"))
            .is_some_and(|flag| flag.0)
    });
    let store = view
        .get("store/loads-per-second")
        .zip(view.get("store/loads-at-once"));
    Platform {
        name: view.get("platform/name").unwrap_or_default(),
        domains: view
            .names("domain")
            .iter()
            .filter_map(|name| name.parse().ok())
            .collect(),
        kinds: view.section("kind", read_kind),
        services: view.section("service", read_service),
        store: store.map(|(rate, at_once)| Store { rate, at_once }),
        drained: drained.filter_map(|name| name.parse().ok()).collect(),
        teams: view.section("team", |view, at| {
            let token = view.get(&format!("{at}/token-sha256"))?;
            Some(Member {
                token,
                share: view.get(&format!("{at}/share")),
            })
        }),
    }
}

fn read_objective(view: &View<'_>, at: &str) -> Option<Objective> {
    let span = |key: &str| view.get::<Span>(&format!("{at}/{key}")).map(|span| span.0);
    Some(Objective {
        deadline: span("deadline")?,
        first_token: span("first-token"),
        attainment: view.get(&format!("{at}/attainment"))?,
        window: span("window").unwrap_or(DEFAULT_WINDOW),
    })
}

fn read_model(view: &View<'_>, at: &str) -> Option<Model> {
    Some(Model {
        service: view.get(&format!("{at}/service"))?,
        version: view.get(&format!("{at}/version"))?,
        memory: view.get(&format!("{at}/memory"))?,
        objective: view.get(&format!("{at}/objective"))?,
        copies: view.get(&format!("{at}/copies")).unwrap_or(1),
        priority: view.get(&format!("{at}/priority")).unwrap_or(5),
    })
}

fn read_adapter(view: &View<'_>, at: &str) -> Option<Adapter> {
    Some(Adapter {
        model: view.get(&format!("{at}/model"))?,
        version: view.get(&format!("{at}/version"))?,
        memory: view.get(&format!("{at}/memory"))?,
        copies: view.get(&format!("{at}/copies")).unwrap_or(1),
    })
}

fn read_team(values: &Values) -> Team {
    let view = View { values };
    let parameter = |(path, value): (&String, &String)| {
        let key = path.strip_prefix("policy/")?;
        (!POLICY_KEYS.contains(&key)).then(|| (key.to_owned(), value.clone()))
    };
    let policy = Policy {
        name: view
            .get("policy/name")
            .unwrap_or_else(|| "static".to_owned()),
        shadow: view.get("policy/shadow"),
        moves_weight: view.get("policy/moves-weight").unwrap_or(1.0),
        parameters: values.iter().filter_map(parameter).collect(),
    };
    Team {
        policy,
        objectives: view.section("objective", read_objective),
        models: view.section("model", read_model),
        adapters: view.section("adapter", read_adapter),
    }
}

impl Declarations {
    /// Reads the values of all scopes; values of the wrong form are left out.
    pub fn read<'a>(scopes: impl IntoIterator<Item = (&'a Scope, &'a Values)>) -> Self {
        let mut declarations = Self::default();
        for (scope, values) in scopes {
            match scope {
                Scope::Platform => declarations.platform = read_platform(values),
                Scope::Team(team) => {
                    declarations.teams.insert(team.clone(), read_team(values));
                }
            }
        }
        declarations
    }

    /// Returns the faults in references between sections and scopes.
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = self.check_platform();
        for (name, team) in &self.teams {
            faults.extend(self.check_team(name, team));
        }
        faults.extend(self.check_names());
        faults
    }

    /// Returns the faults of policies that a rule does not know; the rule says why.
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

    /// Models share one name space, since a caller names only the model.
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

/// Returns the faults of the values of one scope within all others.
pub fn check_scope(scope: &Scope, values: &Values, others: &BTreeMap<Scope, Values>) -> Vec<Fault> {
    let faults = folder::check_values(scope, values);
    if !faults.is_empty() {
        return faults;
    }
    let mut scopes = others.clone();
    scopes.insert(scope.clone(), values.clone());
    Declarations::read(&scopes).check()
}
