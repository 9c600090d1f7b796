//! Connections to the instances of the core, which are opened again when they break.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use buckthornmast_link::{Link, Outbox, Timing};
use tokio::{task::JoinHandle, time::sleep};

use crate::message::{Downstream, Upstream};

/// Shortest pause before a connection is opened again.
const MIN_RECONNECT_PAUSE: Duration = Duration::from_millis(60);

/// Longest pause, for an instance that could not be reached several times in a row.
const MAX_RECONNECT_PAUSE: Duration = Duration::from_millis(300);

/// Handler of the events of outgoing connections.
pub trait Dialer: 'static {
    /// Returns the message that introduces this instance.
    fn hello(&self) -> Upstream;
    /// Handles a new connection.
    fn opened(&self, peer: SocketAddr, outbox: Outbox<Upstream>);
    /// Handles a message.
    fn receive(&self, peer: SocketAddr, message: Downstream);
    /// Handles the end of a connection.
    fn closed(&self, peer: SocketAddr);
}

/// Outgoing connections, with one task for each address. Dropping it ends the tasks.
#[derive(Debug, Default)]
pub struct Connections {
    tasks: RefCell<BTreeMap<SocketAddr, JoinHandle<()>>>,
}

impl Connections {
    /// Opens connections to these addresses, and closes all others.
    pub fn set<D: Dialer>(&self, addresses: &BTreeSet<SocketAddr>, dialer: &Rc<D>) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|address, task| {
            let is_kept = addresses.contains(address);
            if !is_kept {
                task.abort();
                dialer.closed(*address);
            }
            is_kept
        });
        for address in addresses {
            tasks.entry(*address).or_insert_with(|| {
                tokio::task::spawn_local(keep_open(*address, Rc::clone(dialer)))
            });
        }
    }
}

impl Drop for Connections {
    fn drop(&mut self) {
        self.tasks.get_mut().values().for_each(JoinHandle::abort);
    }
}

async fn keep_open<D: Dialer>(address: SocketAddr, dialer: Rc<D>) {
    let mut pause = MIN_RECONNECT_PAUSE;
    loop {
        match Link::<Downstream, Upstream>::connect(address, Timing::default()).await {
            Ok(link) => {
                pause = MIN_RECONNECT_PAUSE;
                log::info!(step = "connect", peer:% = address; "connected to an instance of the core");
                serve(&link, address, &*dialer).await;
                dialer.closed(address);
                log::warn!(step = "connect", peer:% = address; "connection to an instance of the core ended");
            }
            Err(error) => {
                log::debug!(step = "connect", peer:% = address; "opening a connection to an instance of the core failed: {error}");
                pause = (pause * 2).min(MAX_RECONNECT_PAUSE);
            }
        }
        sleep(pause).await;
    }
}

async fn serve<D: Dialer>(link: &Link<Downstream, Upstream>, address: SocketAddr, dialer: &D) {
    if !link.outbox.send(&dialer.hello()) {
        return;
    }
    dialer.opened(address, link.outbox.clone());
    while let Ok(message) = link.inbox.recv_async().await {
        dialer.receive(address, message);
    }
}
