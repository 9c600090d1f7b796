//! Access control for reading and writing settings.

use buckthornmast_config::declaration::Declarations;
use buckthornmast_state::settings::Scope;
use buckthornmast_types::id;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Owner of a bearer token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Bearer {
    /// Operator of the platform, with access to all scopes.
    Platform,
    /// Operator of a team.
    Team(id::Team),
}

impl Bearer {
    /// Returns whether the bearer can read and write a scope.
    pub fn can_access(&self, scope: &Scope) -> bool {
        match (self, scope) {
            (Self::Platform, _) => true,
            (Self::Team(operated), Scope::Team(team)) => operated == team,
            (Self::Team(_), Scope::Platform) => false,
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the digest under which a token is declared.
pub fn digest(token: &str) -> String {
    hex(&Sha256::digest(token.as_bytes()))
}

/// Finds the owner of an `Authorization` header.
///
/// Compares with every declared digest in constant time, so that the timing reveals nothing about them.
pub fn identify(
    header: Option<&str>,
    platform: &str,
    declarations: &Declarations,
) -> Option<Bearer> {
    let digest = digest(header?.strip_prefix("Bearer ")?.trim());
    let equals = |declared: &str| bool::from(digest.as_bytes().ct_eq(declared.as_bytes()));
    let mut found = equals(platform).then_some(Bearer::Platform);
    for (team, member) in &declarations.platform.teams {
        if equals(&member.token_sha256) && found.is_none() {
            found = Some(Bearer::Team(team.clone()));
        }
    }
    found
}
