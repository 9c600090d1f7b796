//! Settings in force on this instance.
//!
//! A snapshot is built once for each revision and shared by all threads. Its revision only rises.

use std::{
    collections::BTreeMap,
    sync::{Arc, PoisonError, RwLock},
};

use buckthornmast_config::{
    declaration::Declarations,
    folder::{Scope, Values},
};
use buckthornmast_gateway::{catalog::Catalog, gateway::Names};
use buckthornmast_state::settings::Tree;
use buckthornmast_types::id;

/// Settings of one revision in every form that is needed.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Revision of all settings.
    pub revision: id::Revision,
    /// Replicated form.
    pub tree: Tree,
    /// Typed form.
    pub declarations: Declarations,
    /// Names for callers.
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

    /// Puts a tree into force if its revision is higher, and returns whether it was.
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

impl Names for Current {
    fn catalog(&self) -> Option<Arc<Catalog>> {
        let snapshot = self.get();
        (snapshot.revision > id::Revision(0)).then(|| Arc::clone(&snapshot.catalog))
    }
}
