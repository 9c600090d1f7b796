//! Recovery of a replica from its data folder.

use std::io;

use buckthornmast_storage::{
    files::Files,
    store::{LOG, OpenError, Recovered, SNAPSHOT, Store},
};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::{
    core::Durable,
    driver::{FolderSnafu, StartError},
    log::Log,
    machine::LogTime,
    message::{Entry, Position},
    snapshot::{Content, Snapshot},
};

type Opened<F, C> = (Store<F>, Durable<C>, Option<String>);

/// Opens the folder. A damaged one is reset, since the replica may have lost votes and entries: it starts over
/// under a new disk identity, as a learner. The last part of the result is the damage.
pub(super) fn open<F: Files, C: DeserializeOwned>(
    files: impl Fn() -> io::Result<F>,
) -> Result<Opened<F, C>, StartError> {
    let open_files = || {
        files().map_err(|source| OpenError::Open {
            step: "open",
            source,
        })
    };
    let loaded = open_files()
        .and_then(Store::open)
        .and_then(|(store, recovered)| {
            let durable = load(recovered)?;
            Ok((store, durable, None))
        });
    match loaded {
        Err(error @ OpenError::Damaged { .. }) => {
            log::error!(step = "open"; "resetting the damaged data folder, joining as a learner under a new disk identity: {error}");
            let (store, recovered) = open_files().and_then(Store::reset).context(FolderSnafu)?;
            let durable = load(recovered).context(FolderSnafu)?;
            Ok((store, durable, Some(error.to_string())))
        }
        loaded => loaded.context(FolderSnafu),
    }
}

fn load<C: DeserializeOwned>(recovered: Recovered) -> Result<Durable<C>, OpenError> {
    let damaged = |file, detail: &str| OpenError::Damaged {
        file,
        detail: detail.to_owned(),
    };
    let (index, term) = recovered.base;
    let mut base_at = LogTime::default();
    let mut snapshot = None;
    if let Some(file) = recovered.snapshot {
        let content = Content::decode(&file.data)
            .ok_or_else(|| damaged(SNAPSHOT, "the content can't be decoded"))?;
        base_at = content.at;
        snapshot = Some(Snapshot {
            position: content.position,
            data: file.data,
        });
    }
    let mut log = Log::after(Position { term, index }, base_at);
    for (_, _, payload) in recovered.entries {
        let entry = postcard::from_bytes::<Entry<C>>(&payload)
            .map_err(|_| damaged(LOG, "an entry can't be decoded"))?;
        log.push(entry);
    }
    Ok(Durable {
        hard: recovered.hard,
        log,
        snapshot,
        is_bootstrapped: recovered.is_bootstrapped,
    })
}
