//! Policies by name, as settings write them.
//!
//! The text form is the name, followed by `key=value` parameters: `marginal horizon=300 cost=20`.
//! Parameters that are not given have their defaults. Durations are in seconds.

use std::{fmt, str::FromStr, time::Duration};

use snafu::Snafu;

use crate::{
    declared::Declared,
    greedy::Greedy,
    marginal::{self, Marginal},
    plan::Moves,
    policy::Policy,
    view::View,
};

/// Policy with its parameters.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Named {
    /// As declared in the settings.
    Static(Declared),
    /// Demand of the moment.
    Greedy(Greedy),
    /// Marginal utility.
    Marginal(Marginal),
}

/// Memory of a policy.
#[derive(Debug, Clone, Default)]
pub enum Memory {
    /// The policy has none.
    #[default]
    Empty,
    /// Memory of [`Marginal`].
    Marginal(Box<marginal::Memory>),
}

/// Reason why the text form is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ParseError {
    /// No policy has this name.
    #[snafu(display("policy {name:?} is not one of static, greedy and marginal"))]
    Name {
        /// Refused name.
        name: String,
    },
    /// The policy has no such parameter.
    #[snafu(display("policy {policy} has no parameter {key:?}"))]
    Key {
        /// Policy.
        policy: &'static str,
        /// Refused key.
        key: String,
    },
    /// A parameter has no value in its range.
    #[snafu(display("parameter {text:?} of policy {policy} is not key=value with {range}"))]
    Value {
        /// Policy.
        policy: &'static str,
        /// Refused parameter.
        text: String,
        /// Accepted values.
        range: &'static str,
    },
}

/// Longest part of refused text that an error quotes.
const MAX_QUOTE_CHARS: usize = 60;

fn quote(text: &str) -> String {
    text.chars().take(MAX_QUOTE_CHARS).collect()
}

struct Parameter {
    key: &'static str,
    min: f64,
    max: f64,
    range: &'static str,
}

const fn parameter(key: &'static str, min: f64, max: f64, range: &'static str) -> Parameter {
    Parameter {
        key,
        min,
        max,
        range,
    }
}

const GREEDY: [Parameter; 1] = [parameter("fill", 0.01, 1.0, "a number from 0.01 to 1")];
const MARGINAL: [Parameter; 5] = [
    parameter("horizon", 1.0, 86400.0, "seconds from 1 to 86400"),
    parameter("cost", 0.0, 1e9, "a number from 0 to 1e9"),
    parameter("hold", 0.0, 86400.0, "seconds from 0 to 86400"),
    parameter("knee", 0.05, 2.0, "a number from 0.05 to 2"),
    parameter("lead", 0.0, 3600.0, "seconds from 0 to 3600"),
];

fn parse_parameters<'a>(
    policy: &'static str,
    known: &[Parameter],
    words: impl Iterator<Item = &'a str>,
    mut set: impl FnMut(&str, f64),
) -> Result<(), ParseError> {
    for word in words {
        let (key, value) = word.split_once('=').unwrap_or((word, ""));
        let Some(parameter) = known.iter().find(|parameter| parameter.key == key) else {
            let key = quote(key);
            return Err(ParseError::Key { policy, key });
        };
        let value = value.parse::<f64>().ok();
        let value = value.filter(|v| (parameter.min..=parameter.max).contains(v));
        let Some(value) = value else {
            let (text, range) = (quote(word), parameter.range);
            return Err(ParseError::Value {
                policy,
                text,
                range,
            });
        };
        set(parameter.key, value);
    }
    Ok(())
}

impl FromStr for Named {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut words = text.split_ascii_whitespace();
        let name = words.next().unwrap_or_default();
        match name {
            "static" => {
                parse_parameters("static", &[], words, |_, _| ())?;
                Ok(Self::Static(Declared))
            }
            "greedy" => {
                let mut policy = Greedy::default();
                parse_parameters("greedy", &GREEDY, words, |_, value| policy.fill = value)?;
                Ok(Self::Greedy(policy))
            }
            "marginal" => {
                let mut policy = Marginal::default();
                parse_parameters("marginal", &MARGINAL, words, |key, value| match key {
                    "horizon" => policy.horizon = Duration::from_secs_f64(value),
                    "cost" => policy.cost = value,
                    "hold" => policy.hold = Duration::from_secs_f64(value),
                    "knee" => policy.knee = value,
                    _ => policy.lead = Duration::from_secs_f64(value),
                })?;
                Ok(Self::Marginal(policy))
            }
            _ => Err(ParseError::Name { name: quote(name) }),
        }
    }
}

impl fmt::Display for Named {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Static(Declared) => f.write_str("static"),
            Self::Greedy(policy) => write!(f, "greedy fill={}", policy.fill),
            Self::Marginal(policy) => write!(
                f,
                "marginal horizon={} cost={} hold={} knee={} lead={}",
                policy.horizon.as_secs_f64(),
                policy.cost,
                policy.hold.as_secs_f64(),
                policy.knee,
                policy.lead.as_secs_f64()
            ),
        }
    }
}

impl Policy for Named {
    type Memory = Memory;

    fn decide(&self, view: &View, team: usize, memory: &mut Memory, limit: usize) -> Moves {
        match self {
            Self::Static(policy) => policy.decide(view, team, &mut (), limit),
            Self::Greedy(policy) => policy.decide(view, team, &mut (), limit),
            Self::Marginal(policy) => {
                if !matches!(memory, Memory::Marginal(_)) {
                    *memory = Memory::Marginal(Box::default());
                }
                match memory {
                    Memory::Marginal(memory) => policy.decide(view, team, memory, limit),
                    Memory::Empty => Moves::new(),
                }
            }
        }
    }
}

/// Returns why a text form is refused, if it is.
pub fn check(text: &str) -> Result<(), String> {
    text.parse::<Named>()
        .map(drop)
        .map_err(|error| error.to_string())
}

/// Policy of a team and what it remembers.
#[derive(Debug, Clone)]
pub struct Team {
    policy: Named,
    memory: Memory,
}

impl Team {
    /// Starts a policy with empty memory.
    pub fn new(policy: Named) -> Self {
        Self {
            policy,
            memory: Memory::default(),
        }
    }

    /// Returns the policy.
    pub fn policy(&self) -> Named {
        self.policy
    }

    /// Replaces the policy. This causes no move; memory is kept if only parameters change.
    pub fn exchange(&mut self, policy: Named) {
        if std::mem::discriminant(&self.policy) != std::mem::discriminant(&policy) {
            self.memory = Memory::default();
        }
        self.policy = policy;
    }

    /// Returns the moves that the policy wishes for.
    pub fn decide(&mut self, view: &View, team: usize, limit: usize) -> Moves {
        self.policy.decide(view, team, &mut self.memory, limit)
    }
}
