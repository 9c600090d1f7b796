//! File of the copies that an instance of the core keeps of what others attest, and of the services of which it has granted
//! copies itself.
//!
//! Without the file, any copy may have been granted, and none is kept. The times in it are those of one run of the machine.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs, io,
    path::Path,
};

use buckthornmast_origin::{
    history::MAX_SERVICES,
    lease::{
        Content,
        grantor::Grantor,
        keeper::{Keeper, MAX_COPIES},
    },
    record::Service,
};
use buckthornmast_types::{id, time::Point};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    attestation,
    durable::{Failure, File, Purpose, open, seal},
};

/// Largest size of the file in bytes: each service with its length, and each copy with the name of its instance.
pub const MAX_BYTES: usize = MAX_SERVICES * 10 + MAX_COPIES * (attestation::MAX_BYTES + 128) + 64;

/// File that names the current run of the machine.
const BOOT_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// Run of a machine, from its start to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Boot(u64);

impl Boot {
    /// Returns the current run.
    pub fn current() -> io::Result<Self> {
        Ok(Self(xxh3_64(fs::read_to_string(BOOT_FILE)?.as_bytes())))
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct Body {
    boot: Option<Boot>,
    // Nothing if copies of any service may have been granted.
    offered: Option<BTreeSet<Service>>,
    copies: BTreeMap<id::Instance, (Point, Content)>,
}

/// What an instance finds at its start.
#[derive(Debug, Default)]
pub struct Found {
    /// Services of which copies may have been granted, or nothing if that isn't known.
    pub offered: Option<BTreeSet<Service>>,
    /// Copies of other instances, and until when they count.
    pub copies: BTreeMap<id::Instance, (Point, Content)>,
}

/// Store of copies and grants.
#[derive(Debug)]
pub struct Store {
    file: File,
    // Nothing if it can't be read, so that no copy counts after a restart.
    boot: Option<Boot>,
}

impl Store {
    /// Creates a store on a file in a folder; neither need exist.
    pub fn new(folder: &Path) -> Self {
        let boot = Boot::current().inspect_err(|error| {
            log::warn!(step = "open"; "reading {BOOT_FILE} failed; copies of attestations won't outlive this process: {error}");
        });
        let purpose = Purpose {
            name: "leases",
            subject: "leases",
            failure: Failure::SetAside,
        };
        Self {
            file: File::new(folder, purpose, Vec::new()),
            boot: boot.ok(),
        }
    }

    /// Reads the file. Call it before the first write.
    pub fn read(&self) -> Found {
        let bytes = match self.file.read() {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return Found::default(),
            Err(error) => {
                log::warn!(step = "open"; "reading the file of leases failed; it is not used: {error}");
                return Found::default();
            }
        };
        let body = open(&bytes).and_then(|body| postcard::from_bytes::<Body>(body).ok());
        let Some(mut body) = body else {
            log::warn!(step = "open"; "ignoring the damaged file of leases");
            return Found::default();
        };
        if body.boot.is_none() || body.boot != self.boot {
            log::info!(step = "open", copies = body.copies.len(); "ignoring copies of attestations from before the machine was started");
            body.copies.clear();
        }
        Found {
            offered: body.offered,
            copies: body.copies,
        }
    }

    /// Writes copies and grants, if they have changed, without waiting for the disk.
    pub fn save(&self, grantor: &Grantor, keeper: &Keeper, now: Point) {
        let copies = keeper.copies();
        let copies = copies
            .map(|(instance, until, content)| (instance.clone(), (until, content.clone())))
            .collect();
        let body = Body {
            boot: self.boot,
            offered: grantor.offered(now).cloned(),
            copies,
        };
        match postcard::to_stdvec(&body) {
            Ok(body) => self.file.write(seal(&body)),
            Err(error) => {
                log::error!(step = "persist"; "encoding the leases failed, not writing them: {error}");
            }
        }
    }

    /// Returns whether nothing older than what was saved last can be read from the disk.
    pub fn is_written(&self) -> bool {
        self.file.is_written()
    }

    /// Returns a signal that comes once that is so. It does not come if the disk fails, so a wait for it needs a limit.
    pub fn written(&self) -> impl Future<Output = ()> + use<> {
        self.file.written()
    }
}
