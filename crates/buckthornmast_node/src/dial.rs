//! Connections to the instances of the core, opened again whenever they break.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use buckthornmast_link::{Link, Outbox, Timing};
use tokio::{task::JoinHandle, time::sleep};

use crate::message::{Down, Up};

/// Pause before a connection is opened again.
const PAUSE: Duration = Duration::from_millis(60);

/// Longest pause, for an instance that has not answered several times.
const LONGEST_PAUSE: Duration = Duration::from_millis(300);

/// What is done with a connection.
pub trait Dialer: 'static {
    /// Introduces this instance.
    fn hello(&self) -> Up;
    /// Notes a new connection.
    fn opened(&self, peer: SocketAddr, outbox: Outbox<Up>);
    /// Takes a message.
    fn receive(&self, peer: SocketAddr, message: Down);
    /// Notes the end of a connection.
    fn closed(&self, peer: SocketAddr);
}

/// One task for each address. Dropping it ends them.
#[derive(Debug, Default)]
pub struct Dials {
    tasks: RefCell<BTreeMap<SocketAddr, JoinHandle<()>>>,
}

impl Dials {
    /// Keeps connections to these addresses and no others.
    pub fn set<D: Dialer>(&self, addresses: &BTreeSet<SocketAddr>, dialer: &Rc<D>) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|address, task| {
            let keeps = addresses.contains(address);
            if !keeps {
                task.abort();
                dialer.closed(*address);
            }
            keeps
        });
        for address in addresses {
            tasks.entry(*address).or_insert_with(|| {
                tokio::task::spawn_local(keep_open(*address, Rc::clone(dialer)))
            });
        }
    }
}

impl Drop for Dials {
    fn drop(&mut self) {
        self.tasks.get_mut().values().for_each(JoinHandle::abort);
    }
}

async fn keep_open<D: Dialer>(address: SocketAddr, dialer: Rc<D>) {
    let mut pause = PAUSE;
    loop {
        match Link::<Down, Up>::connect(address, Timing::default()).await {
            Ok(link) => {
                pause = PAUSE;
                log::info!(step = "connect", peer:% = address; "connected to an instance of the core");
                serve(&link, address, &*dialer).await;
                dialer.closed(address);
                log::warn!(step = "connect", peer:% = address; "connection to an instance of the core ended");
            }
            Err(error) => {
                log::debug!(step = "connect", peer:% = address; "{error}");
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
        sleep(pause).await;
    }
}

async fn serve<D: Dialer>(link: &Link<Down, Up>, address: SocketAddr, dialer: &D) {
    if !link.outbox.send(dialer.hello()) {
        return;
    }
    dialer.opened(address, link.outbox.clone());
    while let Ok(message) = link.inbox.recv_async().await {
        dialer.receive(address, message);
    }
}
