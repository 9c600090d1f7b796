//! Settings of a process, an INI file.

use std::{net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use buckthornmast_config::{
    daemon::Span,
    fault::Fault,
    source::{Reader, Source},
};
use buckthornmast_types::id;

/// What an instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Forwards callers' requests.
    Entry,
    /// Keeps routes, targets and models.
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

/// Addresses that callers, or targets and operators, connect to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Service {
    /// Of an entry instance.
    Entry {
        /// Callers.
        callers: SocketAddr,
        /// Whoever asks whether this instance is ready.
        ready: SocketAddr,
    },
    /// Of an instance of the core.
    Core {
        /// Targets and operators.
        control: SocketAddr,
        /// Other instances.
        peers: SocketAddr,
        /// Folder for the replicated log.
        data: PathBuf,
        /// Whether this is the first start of the whole system, with empty disks.
        is_first_start: bool,
        /// Instances with a disk that may be lost at once.
        losses: usize,
    },
}

/// Bounds that the deployment states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time between a request to stop and the kill.
    pub grace: Duration,
    /// Time within which two instances must not take turns in ordering a target.
    pub turn: Duration,
    /// Whether targets refuse orders with an older fencing token.
    pub is_fenced: bool,
    /// Extra attempts per request, over all instances.
    pub extra_ratio: f64,
    /// Extra attempts beyond that in one window, over all instances.
    pub extra_burst: f64,
    /// File descriptors of the process.
    pub descriptors: usize,
}

/// Settings of a process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name.
    pub instance: id::Instance,
    /// Failure domain.
    pub domain: id::Domain,
    /// What it serves.
    pub service: Service,
    /// Address that metrics are served on.
    pub metrics: SocketAddr,
    /// Control addresses of some instances of the core.
    pub seeds: Vec<SocketAddr>,
    /// Port on which instances of the core listen for one another.
    pub peer_port: u16,
    /// Bounds.
    pub bounds: Bounds,
}

impl Settings {
    /// Parses settings; every fault is returned. Unknown keys are left alone, since a platform may add some.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let source = Source::parse(file, text)?;
        let mut reader = Reader::new(&source);
        let settings = read(&mut reader, &source);
        match settings {
            Some(settings) if reader.faults.is_empty() => Ok(settings),
            _ => Err(reader.faults),
        }
    }

    /// Returns the addresses on which the seeds listen for other instances.
    pub fn seed_peers(&self) -> impl Iterator<Item = SocketAddr> {
        let seeds = self.seeds.iter();
        seeds.map(|seed| SocketAddr::new(seed.ip(), self.peer_port))
    }

    /// Returns the name of an instance of the core in the voter set. It follows from the control address, which
    /// is all that seeds tell about each other before they have spoken.
    pub fn member_name(control: SocketAddr) -> Option<id::Instance> {
        let name = control.to_string().replace([':', '[', ']'], "-");
        name.trim_matches('-').parse().ok()
    }
}

const ADDRESS: &str = "an IP address with a port";
const DURATION: &str = "a duration such as 500ms or 2s";

fn read(reader: &mut Reader<'_>, source: &Source) -> Option<Settings> {
    let instance = reader.required("instance", "name", "a label");
    let domain = reader.required("instance", "domain", "a label");
    let role: Option<Role> = reader.required("instance", "role", "entry or core");
    let metrics = reader.required("listen", "metrics", ADDRESS);
    let peer_port = reader.required("seeds", "port", "a port");
    let seeds = seeds(reader, source);
    let bounds = bounds(reader);
    let service = match role? {
        Role::Entry => Service::Entry {
            callers: reader.required("listen", "callers", ADDRESS)?,
            ready: reader.required("listen", "ready", ADDRESS)?,
        },
        Role::Core => Service::Core {
            control: reader.required("listen", "control", ADDRESS)?,
            peers: reader.required("listen", "peers", ADDRESS)?,
            data: reader.required("core", "data", "a folder")?,
            is_first_start: reader.required("core", "first-start", "true or false")?,
            losses: reader.required("core", "losses", "a number")?,
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
            reader.reject("seeds", "control", message);
            None
        }
    }
}

fn bounds(reader: &mut Reader<'_>) -> Option<Bounds> {
    let grace: Option<Span> = reader.required("bounds", "grace", DURATION);
    let turn: Option<Span> = reader.required("bounds", "turn", DURATION);
    let is_fenced = reader.optional("bounds", "fenced", "true or false");
    let extra_ratio = reader.required("bounds", "extra-ratio", "a number");
    let extra_burst = reader.required("bounds", "extra-burst", "a number");
    let descriptors = reader.required("bounds", "descriptors", "a number");
    Some(Bounds {
        grace: grace?.0,
        turn: turn?.0,
        is_fenced: is_fenced.unwrap_or(false),
        extra_ratio: extra_ratio?,
        extra_burst: extra_burst?,
        descriptors: descriptors?,
    })
}
