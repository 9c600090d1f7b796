//! Reads declarations from values.

use std::{collections::BTreeMap, str::FromStr, time::Duration};

use crate::{
    daemon::{Flag, Span},
    declaration::{
        Adapter, Declarations, Kind, Member, Model, Objective, POLICY_KEYS, Platform, Policy, Role,
        Service, Store, Team,
    },
    folder::{Scope, Values},
};

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
}
