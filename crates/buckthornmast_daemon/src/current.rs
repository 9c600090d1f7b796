//! Settings in force on this instance.
//!
//! A snapshot is built once for each revision and shared by all threads. The revision never decreases.

use std::{
    collections::BTreeMap,
    sync::{Arc, PoisonError, RwLock},
};

use buckthornmast_config::{
    declaration::Declarations,
    folder::{Scope, Values},
};
use buckthornmast_gateway::{catalog::Catalog, gateway::CatalogSource};
use buckthornmast_state::settings::Tree;
use buckthornmast_types::id;

/// Settings of one revision in all forms.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Revision of all settings.
    pub revision: id::Revision,
    /// Settings as replicated.
    pub tree: Tree,
    /// Settings parsed into types.
    pub declarations: Declarations,
    /// Names that callers can address.
    pub catalog: Arc<Catalog>,
}

/// Returns the values of a tree per scope.
pub fn values_of(tree: &Tree) -> BTreeMap<Scope, Values> {
    let scopes = tree.scopes().iter();
    scopes
        .map(|(scope, subtree)| (scope.clone(), subtree.values.clone()))
        .collect()
}

impl Snapshot {
    fn build(tree: Tree) -> Self {
        let declarations = Declarations::read(&values_of(&tree));
        let catalog = Arc::new(Catalog::build(&declarations));
        Self {
            revision: tree.revision(),
            tree,
            declarations,
            catalog,
        }
    }
}

/// Settings in force, shared by all threads.
#[derive(Debug, Clone, Default)]
pub struct Current {
    snapshot: Arc<RwLock<Arc<Snapshot>>>,
}

impl Current {
    /// Returns the snapshot in force.
    pub fn get(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a tree into force if its revision is higher, and returns whether it did.
    pub fn advance(&self, tree: &Tree) -> bool {
        if tree.revision() <= self.get().revision {
            return false;
        }
        let next = Arc::new(Snapshot::build(tree.clone()));
        let mut snapshot = self
            .snapshot
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if next.revision <= snapshot.revision {
            return false;
        }
        log::info!(step = "settings", revision = next.revision.0; "settings in force");
        *snapshot = next;
        true
    }
}

impl CatalogSource for Current {
    fn catalog(&self) -> Option<Arc<Catalog>> {
        let snapshot = self.get();
        (snapshot.revision > id::Revision(0)).then(|| Arc::clone(&snapshot.catalog))
    }
}
