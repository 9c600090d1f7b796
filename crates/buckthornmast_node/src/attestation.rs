//! File of what an instance of the core attests.
//!
//! It states what was so under one version of the routes. An instance that starts under another doesn't know where streams
//! could go meanwhile, and believes nothing of it.

use std::{future::Future, path::Path};

use buckthornmast_origin::{
    attestation::Register,
    history::{MAX_SERVICES, Sole},
    record::Service,
};
use buckthornmast_routes::register::Revision;

use crate::durable::{Failure, File, Purpose, open, seal};

/// Largest size of the file in bytes: the longest encoding of a service, its version and its time, for each service.
pub const MAX_BYTES: usize = MAX_SERVICES * 40 + 64;

type Content = (Revision, Vec<(Service, Sole)>);

/// What an instance finds at its start.
#[derive(Debug, Default)]
pub struct Found {
    /// Version of the routes.
    pub routes: Revision,
    /// Services with the only version of each.
    pub attested: Vec<(Service, Sole)>,
}

/// Store of what an instance attests.
#[derive(Debug)]
pub struct Store {
    file: File,
}

impl Store {
    /// Creates a store on a file in a folder; neither need exist.
    pub fn new(folder: &Path) -> Self {
        let purpose = Purpose {
            name: "attestations",
            subject: "attestations",
            failure: Failure::SetAside,
        };
        let empty = encode(&Content::default());
        Self {
            file: File::new(folder, purpose, empty.unwrap_or_default()),
        }
    }

    /// Reads the file. Call it before the first write.
    pub fn read(&self) -> Found {
        let bytes = match self.file.read() {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return Found::default(),
            Err(error) => {
                log::warn!(step = "open"; "reading the file of attestations failed; it is not used: {error}");
                return Found::default();
            }
        };
        let content = open(&bytes).and_then(|body| postcard::from_bytes::<Content>(body).ok());
        let Some((routes, attested)) = content else {
            log::warn!(step = "open"; "ignoring the damaged file of attestations");
            return Found::default();
        };
        log::info!(step = "open", services = attested.len(), routes = routes.0; "restored the only versions of services");
        Found { routes, attested }
    }

    /// Writes what an instance attests under a version of the routes, if it has changed, without waiting for the disk.
    pub fn save(&self, routes: Revision, register: &Register) {
        let attested: Vec<(Service, Sole)> = register.attested().collect();
        // Without attestations, the routes don't matter.
        let routes = if attested.is_empty() {
            Revision::default()
        } else {
            routes
        };
        match encode(&(routes, attested)) {
            Some(bytes) => self.file.write(bytes),
            None => {
                log::error!(step = "persist"; "encoding the attestations failed, not writing them");
            }
        }
    }

    /// Returns a signal that comes once nothing older can be read from the disk, or nothing if that is so now. It does not come
    /// if the disk fails, so a wait for it needs a limit.
    pub fn written(&self) -> Option<impl Future<Output = ()> + use<>> {
        (!self.file.is_written()).then(|| self.file.written())
    }
}

fn encode(content: &Content) -> Option<Vec<u8>> {
    Some(seal(&postcard::to_stdvec(content).ok()?))
}
