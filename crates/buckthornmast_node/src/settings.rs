//! Settings of a process, read from an INI file.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    str::FromStr,
    time::Duration,
};

use buckthornmast_config::{
    daemon::Span,
    fault::Fault,
    source::{Reader, Source},
};
use buckthornmast_forward::budget::DEFAULT_MEMORY_BYTES;
use buckthornmast_organisation::lease;
use buckthornmast_quota::account::Terms;
use buckthornmast_types::{id, size::Bytes};

use crate::replica::max_folder_bytes;

/// Role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Forwards the requests of callers.
    Entry,
    /// Keeps the routes and targets, and orders models.
    Core,
}

impl FromStr for Role {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "entry" => Ok(Self::Entry),
            "core" => Ok(Self::Core),
            _ => Err(()),
        }
    }
}

/// Addresses and options that depend on the role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Service {
    /// Entry instance.
    Entry {
        /// Address for callers.
        callers: SocketAddr,
        /// Address for readiness checks.
        ready: SocketAddr,
        /// Address for tunnels of other entry instances to targets that they can't reach. Without it, this instance neither
        /// carries tunnels nor opens any.
        tunnels: Option<SocketAddr>,
        /// Address that connections to targets come from, for instances with several.
        source: Option<IpAddr>,
    },
    /// Instance of the core.
    Core {
        /// Address for targets and operators.
        control: SocketAddr,
        /// Address for other instances.
        peers: SocketAddr,
        /// Folder of the replicated log.
        data: PathBuf,
        /// Whether this is the first start of the whole system, with empty disks.
        is_first_start: bool,
        /// Number of instances with a disk that may be lost at the same time.
        losses: usize,
        /// Size of the disk of that folder, if the settings state it.
        disk: Option<Bytes>,
    },
}

/// Length of the window of extra attempts, if the settings don't name one.
const DEFAULT_EXTRA_WINDOW: Duration = Duration::from_secs(10);

/// Number of file descriptors divided by the number that is reserved for targets, instances and files. The rest is for
/// connections of callers, targets and operators.
const RESERVED_DESCRIPTOR_DIVISOR: usize = 3;

/// Bounds that the deployment sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time between a request to stop and the kill.
    pub grace: Duration,
    /// Shortest time between an order of one instance and an order of another one to the same target.
    pub handover_interval: Duration,
    /// Whether targets refuse orders with an older fencing token.
    pub is_fenced: bool,
    /// Extra attempts per request, summed over all instances.
    pub extra_ratio: f64,
    /// Extra attempts beyond that ratio in one window, summed over all instances.
    pub extra_burst: f64,
    /// Length of that window.
    pub extra_window: Duration,
    /// Number of file descriptors that the process may open.
    pub descriptors: usize,
    /// How quotas are judged.
    pub quota_terms: Terms,
    /// Time after which a key that was taken away has to be refused everywhere. Without it, instances that are cut off from
    /// the core go on to honour the keys that they know.
    pub key_lease: Option<Duration>,
    /// Memory that the process may take, if the settings state it.
    pub memory: Option<Bytes>,
}

/// Settings of a process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Failure domain of the instance.
    pub domain: id::Domain,
    /// Service of the instance.
    pub service: Service,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
    /// Control addresses of some instances of the core.
    pub seeds: Vec<SocketAddr>,
    /// Port on which instances of the core listen for one another.
    pub peer_port: u16,
    /// Bounds.
    pub bounds: Bounds,
}

impl Bounds {
    /// Returns the number of connections that an instance takes.
    pub fn connections(&self) -> usize {
        self.descriptors / RESERVED_DESCRIPTOR_DIVISOR * (RESERVED_DESCRIPTOR_DIVISOR - 1)
    }

    /// Returns the memory that the process may take, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let stated = self.memory.map(|memory| memory.0);
        let stated = stated.and_then(|bytes| usize::try_from(bytes).ok());
        stated.unwrap_or(DEFAULT_MEMORY_BYTES)
    }
}

impl Settings {
    /// Parses settings, or returns every fault in them. Unknown keys are ignored, since a platform may add some.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let source = Source::parse(file, text)?;
        let mut reader = Reader::new(&source);
        let settings = read(&mut reader, &source);
        match settings {
            Some(settings) if reader.faults.is_empty() => Ok(settings),
            _ => Err(reader.faults),
        }
    }

    /// Returns what is not a fault, but leaves little room for trouble.
    pub fn warning(&self) -> Option<String> {
        let Service::Core {
            disk: Some(disk), ..
        } = self.service
        else {
            return None;
        };
        let folder = max_folder_bytes();
        (folder.0 > disk.0 / 2).then(|| {
            format!("the data folder may take up to {folder}, more than half of its disk of {disk}")
        })
    }

    /// Returns the addresses on which the seeds listen for other instances.
    pub fn seed_peers(&self) -> impl Iterator<Item = SocketAddr> {
        let seeds = self.seeds.iter();
        seeds.map(|seed| SocketAddr::new(seed.ip(), self.peer_port))
    }

    /// Returns the name of an instance of the core in the voter set. It is derived from the control address, which is
    /// all that seeds know about each other before they are connected.
    pub fn member_name(control: SocketAddr) -> Option<id::Instance> {
        let name = control.to_string().replace([':', '[', ']'], "-");
        name.trim_matches('-').parse().ok()
    }
}

const ADDRESS_FORMAT: &str = "an IP address with a port";
const SIZE_FORMAT: &str = "a size such as 128MB or 2GiB";
const DURATION_FORMAT: &str = "a duration such as 500ms or 2s";

fn read(reader: &mut Reader<'_>, source: &Source) -> Option<Settings> {
    let instance = reader.required("instance", "name", "a label");
    let domain = reader.required("instance", "domain", "a label");
    let role: Option<Role> = reader.required("instance", "role", "entry or core");
    let metrics = reader.required("listen", "metrics", ADDRESS_FORMAT);
    let peer_port = reader.required("seeds", "port", "a port");
    let seeds = seeds(reader, source);
    let bounds = bounds(reader);
    let service = match role? {
        Role::Entry => Service::Entry {
            callers: reader.required("listen", "callers", ADDRESS_FORMAT)?,
            ready: reader.required("listen", "ready", ADDRESS_FORMAT)?,
            tunnels: reader.optional("listen", "tunnels", ADDRESS_FORMAT),
            source: reader.optional("listen", "source", "an IP address"),
        },
        Role::Core => Service::Core {
            control: reader.required("listen", "control", ADDRESS_FORMAT)?,
            peers: reader.required("listen", "peers", ADDRESS_FORMAT)?,
            data: reader.required("core", "data", "a folder")?,
            is_first_start: reader.required("core", "first-start", "true or false")?,
            losses: reader.required("core", "losses", "a number")?,
            disk: disk(reader)?,
        },
    };
    Some(Settings {
        instance: instance?,
        domain: domain?,
        service,
        metrics: metrics?,
        seeds: seeds?,
        peer_port: peer_port?,
        bounds: bounds?,
    })
}

/// Reads the size of the disk, which is zero or absent if it is not known. Adds a fault if the data folder may not fit.
fn disk(reader: &mut Reader<'_>) -> Option<Option<Bytes>> {
    let known_faults = reader.faults.len();
    let disk: Option<Bytes> = reader.optional("core", "disk", SIZE_FORMAT);
    let disk = disk.filter(|disk| *disk != Bytes::ZERO);
    let folder = max_folder_bytes();
    if let Some(disk) = disk.filter(|disk| folder > *disk) {
        let message = format!("the data folder may take up to {folder}, but its disk has {disk}");
        reader.add_fault("core", "disk", message);
    }
    (reader.faults.len() == known_faults).then_some(disk)
}

fn seeds(reader: &mut Reader<'_>, source: &Source) -> Option<Vec<SocketAddr>> {
    let text = source.get("seeds", "control").unwrap_or_default();
    let parts = text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty());
    let seeds: Result<Vec<SocketAddr>, _> = parts.map(str::parse).collect();
    match seeds {
        Ok(seeds) => Some(seeds),
        Err(_) => {
            let message = format!("{text:?} is not a list of IP addresses with ports");
            reader.add_fault("seeds", "control", message);
            None
        }
    }
}

fn bounds(reader: &mut Reader<'_>) -> Option<Bounds> {
    let grace: Option<Span> = reader.required("bounds", "grace", DURATION_FORMAT);
    let handover_interval: Option<Span> = reader.required("bounds", "turn", DURATION_FORMAT);
    let is_fenced = reader.optional("bounds", "fenced", "true or false");
    let extra_ratio = reader.required("bounds", "extra-ratio", "a number");
    let extra_burst = reader.required("bounds", "extra-burst", "a number");
    let extra_window: Option<Span> = reader.optional("bounds", "extra-window", DURATION_FORMAT);
    let descriptors = reader.required("bounds", "descriptors", "a number");
    let window: Option<Span> = reader.optional("bounds", "quota-window", DURATION_FORMAT);
    let overage = reader.optional("bounds", "quota-overage", "a number");
    let slack = reader.optional("bounds", "quota-slack", "a number");
    let terms = Terms::default();
    let quota_terms = Terms {
        window: window.map_or(terms.window, |window| window.0),
        overage: overage.unwrap_or(terms.overage),
        slack: slack.unwrap_or(terms.slack),
    };
    let key_lease: Option<Span> = reader.optional("bounds", "key-lease", DURATION_FORMAT);
    let key_lease = key_lease.map(|span| span.0);
    if key_lease.is_some_and(|bound| bound < lease::MIN_BOUND) {
        let message = format!("shorter than {} s", lease::MIN_BOUND.as_secs());
        reader.add_fault("bounds", "key-lease", message);
    }
    let memory = reader.optional("bounds", "memory", SIZE_FORMAT);
    Some(Bounds {
        grace: grace?.0,
        handover_interval: handover_interval?.0,
        is_fenced: is_fenced.unwrap_or(false),
        extra_ratio: extra_ratio?,
        extra_burst: extra_burst?,
        extra_window: extra_window.map_or(DEFAULT_EXTRA_WINDOW, |window| window.0),
        descriptors: descriptors?,
        quota_terms,
        key_lease,
        memory,
    })
}
