//! Policies as the settings of a team name them.

use buckthornmast_config::{
    declaration::{POLICY_KEYS, Policy},
    folder::Values,
};
use buckthornmast_placement::{declared::Declared, named::Named};

/// Returns the text form of the policy among the values of a team.
pub fn text_of(values: &Values) -> Option<String> {
    let name = values.get("policy/name")?;
    let parameters = values.iter().filter_map(|(path, value)| {
        let key = path.strip_prefix("policy/")?;
        (!POLICY_KEYS.contains(&key)).then(|| format!(" {key}={value}"))
    });
    Some(parameters.fold(name.clone(), |text, parameter| text + &parameter))
}

/// Returns the policy of a team; `static` if the settings in force name none that is known.
pub fn named(policy: &Policy) -> Named {
    let parameters = policy
        .parameters
        .iter()
        .map(|(key, value)| format!(" {key}={value}"));
    let text = parameters.fold(policy.name.clone(), |text, parameter| text + &parameter);
    text.parse().unwrap_or(Named::Static(Declared))
}

/// Returns the shadow policy of a team.
pub fn shadow(policy: &Policy) -> Option<Named> {
    policy.shadow.as_ref()?.parse().ok()
}
