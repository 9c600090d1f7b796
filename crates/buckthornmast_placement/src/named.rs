//! Policies by name, as written in the settings.
//!
//! The text form is the name, followed by `key=value` parameters: `marginal horizon=300 cost=20`.
//! Parameters that are left out have their defaults. Durations are in seconds.

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
pub enum NamedPolicy {
    /// Places copies as declared in the settings.
    Static(Declared),
    /// Follows current demand.
    Greedy(Greedy),
    /// Places copies by marginal utility.
    Marginal(Marginal),
}

/// State that a policy keeps between decisions.
#[derive(Debug, Clone, Default)]
pub enum State {
    /// The policy keeps no state.
    #[default]
    Empty,
    /// State of [`Marginal`].
    Marginal(Box<marginal::State>),
}

/// Reason why a text form is refused.
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
    /// A parameter has no value, or one outside its range.
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

/// Maximum number of characters of refused text that an error quotes.
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

const GREEDY_PARAMETERS: [Parameter; 1] = [parameter("fill", 0.01, 1.0, "a number from 0.01 to 1")];
const MARGINAL_PARAMETERS: [Parameter; 5] = [
    parameter("horizon", 1.0, 86400.0, "seconds from 1 to 86400"),
    parameter("cost", 0.0, 1e9, "a number from 0 to 1e9"),
    parameter("hold", 0.0, 86400.0, "seconds from 0 to 86400"),
    parameter("knee", 0.05, 2.0, "a number from 0.05 to 2"),
    parameter("lead", 0.0, 3600.0, "seconds from 0 to 3600"),
];

fn parse_parameters<'a>(
    policy: &'static str,
    parameters: &[Parameter],
    words: impl Iterator<Item = &'a str>,
    mut set: impl FnMut(&str, f64),
) -> Result<(), ParseError> {
    for word in words {
        let (key, value) = word.split_once('=').unwrap_or((word, ""));
        let Some(parameter) = parameters.iter().find(|parameter| parameter.key == key) else {
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

impl FromStr for NamedPolicy {
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
                parse_parameters("greedy", &GREEDY_PARAMETERS, words, |_, value| {
                    policy.fill = value
                })?;
                Ok(Self::Greedy(policy))
            }
            "marginal" => {
                let mut policy = Marginal::default();
                parse_parameters(
                    "marginal",
                    &MARGINAL_PARAMETERS,
                    words,
                    |key, value| match key {
                        "horizon" => policy.horizon = Duration::from_secs_f64(value),
                        "cost" => policy.cost = value,
                        "hold" => policy.hold = Duration::from_secs_f64(value),
                        "knee" => policy.knee = value,
                        _ => policy.lead = Duration::from_secs_f64(value),
                    },
                )?;
                Ok(Self::Marginal(policy))
            }
            _ => Err(ParseError::Name { name: quote(name) }),
        }
    }
}

impl fmt::Display for NamedPolicy {
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

impl Policy for NamedPolicy {
    type State = State;

    fn decide(&self, view: &View, team: usize, state: &mut State, max_moves: usize) -> Moves {
        match self {
            Self::Static(policy) => policy.decide(view, team, &mut (), max_moves),
            Self::Greedy(policy) => policy.decide(view, team, &mut (), max_moves),
            Self::Marginal(policy) => {
                if !matches!(state, State::Marginal(_)) {
                    *state = State::Marginal(Box::default());
                }
                match state {
                    State::Marginal(state) => policy.decide(view, team, state, max_moves),
                    State::Empty => Moves::new(),
                }
            }
        }
    }
}

/// Checks a text form and returns why it is refused, if it is.
pub fn check(text: &str) -> Result<(), String> {
    text.parse::<NamedPolicy>()
        .map(drop)
        .map_err(|error| error.to_string())
}

/// Policy of a team with the state that it keeps between decisions.
#[derive(Debug, Clone)]
pub struct TeamPolicy {
    policy: NamedPolicy,
    state: State,
}

impl TeamPolicy {
    /// Creates a policy with empty state.
    pub fn new(policy: NamedPolicy) -> Self {
        Self {
            policy,
            state: State::default(),
        }
    }

    /// Returns the policy.
    pub fn policy(&self) -> NamedPolicy {
        self.policy
    }

    /// Replaces the policy. This causes no move by itself; the state is kept if only parameters change.
    pub fn set_policy(&mut self, policy: NamedPolicy) {
        if std::mem::discriminant(&self.policy) != std::mem::discriminant(&policy) {
            self.state = State::default();
        }
        self.policy = policy;
    }

    /// Returns the moves that the policy proposes.
    pub fn decide(&mut self, view: &View, team: usize, max_moves: usize) -> Moves {
        self.policy.decide(view, team, &mut self.state, max_moves)
    }
}
