//! Reads declarations from values.

use std::{collections::BTreeMap, str::FromStr, time::Duration};

use crate::{
    daemon::{Flag, Span},
    declaration::{
        Adapter, Declarations, Kind, Model, Objective, POLICY_KEYS, Platform, Policy, Registration,
        Role, Service, Store, Team,
    },
    folder::{Scope, Values},
};

/// Default window of an error budget; 28 days always contain the same number of each weekday.
const DEFAULT_WINDOW: Duration = Duration::from_secs(28 * 24 * 3600);

/// Default number of concurrent calls of a plain target.
const DEFAULT_CONCURRENCY: u32 = 64;

/// Reader of the values of one scope.
///
/// The functions that read one section take its path, such as `model/pistachio`.
struct ScopeReader<'a> {
    values: &'a Values,
}

impl<'a> ScopeReader<'a> {
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

    fn sections<K: FromStr + Ord, T>(
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

fn read_kind(reader: &ScopeReader<'_>, section: &str) -> Option<Kind> {
    let text = |key: &str| {
        reader
            .values
            .get(&format!("{section}/{key}"))
            .map(String::as_str)
    };
    let role = if text("role")? == "plain" {
        Role::Plain
    } else {
        Role::Model
    };
    Some(Kind {
        role,
        honours_tokens: text("fencing")? == "honoured",
        checks_access: text("access")? == "checked",
    })
}

fn read_service(reader: &ScopeReader<'_>, section: &str) -> Option<Service> {
    let repeat: Option<String> = reader.get(&format!("{section}/repeat"));
    Some(Service {
        kind: reader.get(&format!("{section}/kind"))?,
        is_repeatable: repeat.as_deref() == Some("safe"),
        concurrency: reader
            .get(&format!("{section}/concurrency"))
            .unwrap_or(DEFAULT_CONCURRENCY),
    })
}

fn read_platform(values: &Values) -> Platform {
    let reader = ScopeReader { values };
    let drained = reader.names("target").into_iter().filter(|name| {
        reader
            .get::<Flag>(&format!("target/{name}/drain"))
            .is_some_and(|flag| flag.0)
    });
    let store = reader
        .get("store/loads-per-second")
        .zip(reader.get("store/loads-at-once"));
    Platform {
        name: reader.get("platform/name").unwrap_or_default(),
        domains: reader
            .names("domain")
            .iter()
            .filter_map(|name| name.parse().ok())
            .collect(),
        kinds: reader.sections("kind", read_kind),
        services: reader.sections("service", read_service),
        store: store.map(|(rate, max_concurrent)| Store {
            rate,
            max_concurrent,
        }),
        drained: drained.filter_map(|name| name.parse().ok()).collect(),
        teams: reader.sections("team", |reader, section| {
            let token_sha256 = reader.get(&format!("{section}/token-sha256"))?;
            Some(Registration {
                token_sha256,
                share: reader.get(&format!("{section}/share")),
            })
        }),
    }
}

fn read_objective(reader: &ScopeReader<'_>, section: &str) -> Option<Objective> {
    let span = |key: &str| {
        reader
            .get::<Span>(&format!("{section}/{key}"))
            .map(|span| span.0)
    };
    Some(Objective {
        deadline: span("deadline")?,
        first_token: span("first-token"),
        attainment: reader.get(&format!("{section}/attainment"))?,
        window: span("window").unwrap_or(DEFAULT_WINDOW),
    })
}

fn read_model(reader: &ScopeReader<'_>, section: &str) -> Option<Model> {
    Some(Model {
        service: reader.get(&format!("{section}/service"))?,
        version: reader.get(&format!("{section}/version"))?,
        memory: reader.get(&format!("{section}/memory"))?,
        objective: reader.get(&format!("{section}/objective"))?,
        copies: reader.get(&format!("{section}/copies")).unwrap_or(1),
        priority: reader.get(&format!("{section}/priority")).unwrap_or(5),
    })
}

fn read_adapter(reader: &ScopeReader<'_>, section: &str) -> Option<Adapter> {
    Some(Adapter {
        model: reader.get(&format!("{section}/model"))?,
        version: reader.get(&format!("{section}/version"))?,
        memory: reader.get(&format!("{section}/memory"))?,
        copies: reader.get(&format!("{section}/copies")).unwrap_or(1),
    })
}

fn read_team(values: &Values) -> Team {
    let reader = ScopeReader { values };
    let parameter = |(path, value): (&String, &String)| {
        let key = path.strip_prefix("policy/")?;
        (!POLICY_KEYS.contains(&key)).then(|| (key.to_owned(), value.clone()))
    };
    let policy = Policy {
        name: reader
            .get("policy/name")
            .unwrap_or_else(|| "static".to_owned()),
        shadow: reader.get("policy/shadow"),
        moves_weight: reader.get("policy/moves-weight").unwrap_or(1.0),
        parameters: values.iter().filter_map(parameter).collect(),
    };
    Team {
        policy,
        objectives: reader.sections("objective", read_objective),
        models: reader.sections("model", read_model),
        adapters: reader.sections("adapter", read_adapter),
    }
}

impl Declarations {
    /// Reads the values of all scopes; values of the wrong form are omitted.
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
}
