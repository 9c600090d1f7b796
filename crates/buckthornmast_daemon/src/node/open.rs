//! Opens the connections to the other instances and the replica of the log.

use std::{net::UdpSocket, sync::Arc};

use buckthornmast_config::daemon::Settings;
use buckthornmast_consensus::driver;
use buckthornmast_membership::{config as membership, message::Progress};
use buckthornmast_peer::config as peer;
use buckthornmast_state::machine::State;
use buckthornmast_storage::files::Folder;
use buckthornmast_types::{
    id,
    time::{System, unix_millis},
};
use buckthornmast_wire::key::Key;

use crate::{
    node::{StartError, failed, listen},
    peers::{Handler, Peers, Replica, Transport},
};

/// Starts the server and the clients of the peers.
pub(super) fn start_peers(
    settings: &Settings,
    key: &Key,
    handler: Arc<Handler>,
) -> Result<buckthornmast_peer::Handle<Handler>, StartError> {
    let others = settings
        .peers
        .iter()
        .filter(|peer| peer.instance != settings.instance);
    let peers = others.map(|peer| peer::Peer {
        instance: peer.instance.clone(),
        address: peer.address,
        counter_label: if peer.is_voter { "voter" } else { "other" },
    });
    let config = peer::Config {
        me: settings.instance.clone(),
        key: key.clone(),
        listener: listen(settings.listen.peers, "binding the peers' port")?,
        peers: peers.collect(),
        limits: peer::Limits::default(),
    };
    buckthornmast_peer::start(config, handler).map_err(failed("starting the peers' server"))
}

/// Starts the membership heartbeats.
pub(super) fn start_membership(
    settings: &Settings,
    key: &Key,
    clock: System,
    progress: impl FnMut() -> Progress + Send + 'static,
) -> Result<buckthornmast_membership::Handle, StartError> {
    let members = settings.peers.iter().map(|peer| membership::Member {
        instance: peer.instance.clone(),
        domain: peer.domain.clone(),
        address: peer.heartbeat,
    });
    let config = membership::Config {
        me: settings.instance.clone(),
        members: members.collect(),
        key: key.clone(),
        socket: UdpSocket::bind(settings.listen.heartbeat)
            .map_err(failed("binding the heartbeat port"))?,
        incarnation: id::Incarnation(unix_millis()),
        timing: membership::Timing::default(),
    };
    buckthornmast_membership::start(config, progress, clock)
        .map_err(failed("starting the membership heartbeats"))
}

/// Opens the data folder and starts the replica of the log, if this instance votes.
pub(super) fn start_replica(
    settings: &Settings,
    peers: &Peers,
    clock: System,
) -> Result<Option<Arc<Replica>>, StartError> {
    let Some(data) = settings.data.clone() else {
        return Ok(None);
    };
    if !settings.own_peer().is_some_and(|own| own.is_voter) {
        return Ok(None);
    }
    let voters = settings.peers.iter().filter(|peer| peer.is_voter);
    let voters = voters.map(|peer| peer.instance.clone()).collect();
    let config = driver::Config::new(settings.instance.clone(), voters);
    let folder = move || Folder::open(data.clone());
    let transport = Transport::new(peers.clone());
    let replica = driver::start(config, folder, State::default(), transport, clock);
    Ok(Some(Arc::new(
        replica.map_err(failed("starting the replica of the log"))?,
    )))
}
