//! Placement policies named by the settings of a team.

use buckthornmast_config::{
    declaration::{Declarations, Policy},
    fault::Fault,
    folder::{Scope, Values},
};
use buckthornmast_placement::{declared::Declared, named::NamedPolicy};

/// Returns the policy of a team, or `static` if the settings in force name no known policy.
pub fn named(policy: &Policy) -> NamedPolicy {
    policy
        .text()
        .parse()
        .unwrap_or(NamedPolicy::Static(Declared))
}

/// Returns the shadow policy of a team, if the settings name a known one.
pub fn shadow(policy: &Policy) -> Option<NamedPolicy> {
    policy.shadow.as_ref()?.parse().ok()
}

/// Returns the faults in the policies that the values of a scope name.
pub fn check(scope: &Scope, values: &Values) -> Vec<Fault> {
    let declarations = Declarations::read([(scope, values)]);
    declarations.check_policies(buckthornmast_placement::named::check)
}
