//! Settings of one daemon.
//!
//! They contain what a process needs before it can communicate: its name, failure domain and addresses, its
//! peers, its data folder and its keys. Everything that operators change while the system runs is a
//! declaration instead.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    str::FromStr,
    time::Duration,
};

use buckthornmast_types::{id, size::Bytes};

use crate::{
    fault::Fault,
    source::{Reader, Source},
};

/// Duration in the form `250ms`, `2s` or `0.5s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

impl FromStr for Span {
    type Err = humantime::DurationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        humantime::parse_duration(text).map(Self).or_else(|error| {
            let seconds =
                decimal_seconds(text, "ms", 1e-3).or_else(|| decimal_seconds(text, "s", 1.0));
            let span = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
            span.map(Self).ok_or(error)
        })
    }
}

/// Parses a decimal number with a unit and converts it to seconds.
fn decimal_seconds(text: &str, unit: &str, seconds: f64) -> Option<f64> {
    let number: f64 = text.strip_suffix(unit)?.parse().ok()?;
    Some(number * seconds)
}

/// Addresses that an instance listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for the reports of targets.
    pub targets: SocketAddr,
    /// TCP address for calls of peers.
    pub peers: SocketAddr,
    /// UDP address for heartbeats of peers.
    pub heartbeat: SocketAddr,
}

/// Instance as configured on all instances, this one included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name.
    pub instance: id::Instance,
    /// Failure domain.
    pub domain: id::Domain,
    /// Address for calls.
    pub address: SocketAddr,
    /// Address for heartbeats.
    pub heartbeat: SocketAddr,
    /// Whether the instance has a disk and votes in the replicated log.
    pub is_voter: bool,
}

/// Limits of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of exchanges of callers in progress, by default as many as the file descriptors allow; further
    /// requests are answered with 503.
    pub exchanges: Option<usize>,
    /// Maximum number of connections of callers, by default as many as the file descriptors allow; beyond it, the
    /// connection that has waited longest for a request is closed, or the new one if none waits.
    pub connections: Option<usize>,
    /// Number of file descriptors reserved for everything except callers and the targets that answer them; by default a
    /// quarter of the limit of the process, with a minimum.
    pub reserved_descriptors: Option<usize>,
    /// Maximum size of the body of a caller's request; a larger one is answered with 413.
    pub body: Bytes,
    /// Deadline of a call to a plain service for which the caller sets none.
    pub deadline: Duration,
    /// Longest deadline that a caller may set; a longer one is answered with 400.
    pub max_deadline: Duration,
    /// Maximum wait between two tokens of a target before the stream continues on another one.
    pub token_gap: Duration,
}

/// Keys of one instance.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys {
    /// Key that authenticates messages between instances, as 64 hexadecimal digits.
    pub cluster: String,
    /// SHA-256 of the platform operators' bearer token, in hexadecimal.
    pub platform_token_sha256: String,
    /// Bearer token sent to targets that check it.
    pub targets: String,
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Keys(redacted)")
    }
}

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of this instance.
    pub instance: id::Instance,
    /// Failure domain of this instance.
    pub domain: id::Domain,
    /// Data folder; an instance without one stores no state.
    pub data: Option<PathBuf>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// All instances, this one included.
    pub peers: Vec<Peer>,
    /// Limits.
    pub limits: Limits,
    /// Keys.
    pub keys: Keys,
}

/// Sections and keys that the file may contain.
const SECTIONS: &[(&str, &[&str])] = &[
    ("instance", &["name", "domain", "data"]),
    (
        "listen",
        &["callers", "operators", "targets", "peers", "heartbeat"],
    ),
    (
        "limits",
        &[
            "exchanges",
            "connections",
            "reserve",
            "body",
            "deadline",
            "max-deadline",
            "token-gap",
        ],
    ),
    ("keys", &["cluster", "platform-token-sha256", "targets"]),
    ("peer", &["domain", "address", "heartbeat", "voter"]),
];

const ADDRESS_FORM: &str = "an address such as 10.0.0.1:8080";

/// Value `yes` or `no`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Flag(pub(crate) bool);

impl FromStr for Flag {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "yes" => Ok(Self(true)),
            "no" => Ok(Self(false)),
            _ => Err(()),
        }
    }
}

impl Settings {
    /// Parses the text of an INI file and returns every fault.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let source = Source::parse(file, text)?;
        let mut reader = Reader::new(&source);
        check_sections(&source, &mut reader);
        let instance = reader.required("instance", "name", "a label");
        let domain = reader.required("instance", "domain", "a label");
        let data = source.get("instance", "data").map(PathBuf::from);
        let listen = read_listen(&mut reader);
        let limits = read_limits(&mut reader);
        let keys = read_keys(&mut reader);
        let peers = read_peers(&source, &mut reader);
        let settings = (|| {
            Some(Self {
                instance: instance?,
                domain: domain?,
                data,
                listen: listen?,
                peers,
                limits,
                keys: keys?,
            })
        })();
        if let Some(settings) = &settings {
            check_peers(settings, &mut reader);
        }
        match settings {
            Some(settings) if reader.faults.is_empty() => Ok(settings),
            _ => Err(reader.faults),
        }
    }

    /// Returns the entry of this instance among the peers.
    pub fn own_peer(&self) -> Option<&Peer> {
        self.peers
            .iter()
            .find(|peer| peer.instance == self.instance)
    }

    /// Returns the instances of a failure domain.
    pub fn candidates<'a>(&'a self, domain: &'a id::Domain) -> impl Iterator<Item = &'a Peer> {
        self.peers.iter().filter(move |peer| peer.domain == *domain)
    }
}

fn check_sections(source: &Source, reader: &mut Reader<'_>) {
    for (section, values) in source.sections() {
        let kind = section.split_whitespace().next().unwrap_or_default();
        let Some((_, keys)) = SECTIONS.iter().find(|(name, _)| *name == kind) else {
            let names: Vec<_> = SECTIONS.iter().map(|(name, _)| *name).collect();
            reader.add_fault(
                section,
                "",
                format!("unknown section, expected {}", names.join(", ")),
            );
            continue;
        };
        for key in values.keys().filter(|key| !keys.contains(&key.as_str())) {
            reader.add_fault(
                section,
                key,
                format!("unknown key, expected {}", keys.join(", ")),
            );
        }
    }
}

fn read_listen(reader: &mut Reader<'_>) -> Option<Listen> {
    let mut read = |key| reader.required("listen", key, ADDRESS_FORM);
    let (callers, operators) = (read("callers"), read("operators"));
    let (targets, peers, heartbeat) = (read("targets"), read("peers"), read("heartbeat"));
    Some(Listen {
        callers: callers?,
        operators: operators?,
        targets: targets?,
        peers: peers?,
        heartbeat: heartbeat?,
    })
}

fn read_limits(reader: &mut Reader<'_>) -> Limits {
    let mut span = |key, default| {
        let expected = "a duration such as 250ms or 2s";
        reader.optional_or("limits", key, expected, Span(default)).0
    };
    let deadline = span("deadline", Duration::from_secs(30));
    let max_deadline = span("max-deadline", Duration::from_secs(600));
    let token_gap = span("token-gap", Duration::from_secs(2));
    let body = reader.optional_or("limits", "body", "a size such as 1MiB", Bytes::mib(1));
    let mut count = |key| {
        let count: Option<usize> = reader.optional("limits", key, "a count of 1 or more");
        if count == Some(0) {
            reader.add_fault("limits", key, "0 is not a count of 1 or more");
        }
        count
    };
    let (exchanges, connections) = (count("exchanges"), count("connections"));
    let reserved_descriptors = count("reserve");
    Limits {
        exchanges,
        connections,
        reserved_descriptors,
        body,
        deadline,
        max_deadline,
        token_gap,
    }
}

fn read_keys(reader: &mut Reader<'_>) -> Option<Keys> {
    let expected = "a secret of 64 hexadecimal digits, equal on all instances";
    let cluster: Option<String> = reader.required("keys", "cluster", expected);
    if cluster.as_ref().is_some_and(|key| !is_sha256(key)) {
        reader.add_fault("keys", "cluster", format!("not {expected}"));
    }
    let expected = "the SHA-256 of a token as 64 hexadecimal digits";
    let platform: Option<String> = reader.required("keys", "platform-token-sha256", expected);
    if platform.as_ref().is_some_and(|digest| !is_sha256(digest)) {
        reader.add_fault("keys", "platform-token-sha256", format!("not {expected}"));
    }
    let targets = reader.required("keys", "targets", "the token that targets check");
    Some(Keys {
        cluster: cluster?,
        platform_token_sha256: platform?,
        targets: targets?,
    })
}

/// Returns whether a text is 256 bits in lower-case hexadecimal, such as a SHA-256 digest.
pub fn is_sha256(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}

fn read_peers(source: &Source, reader: &mut Reader<'_>) -> Vec<Peer> {
    let mut peers = Vec::new();
    for (section, _) in source.sections() {
        let Some(name) = section.strip_prefix("peer ") else {
            continue;
        };
        let instance: Result<id::Instance, _> = name.trim().parse();
        if let Err(error) = &instance {
            reader.add_fault(section, "", error.to_string());
        }
        let domain = reader.required(section, "domain", "a label");
        let address = reader.required(section, "address", ADDRESS_FORM);
        let heartbeat = reader.required(section, "heartbeat", ADDRESS_FORM);
        let is_voter = reader
            .optional_or(section, "voter", "yes or no", Flag(false))
            .0;
        let (Ok(instance), Some(domain), Some(address), Some(heartbeat)) =
            (instance, domain, address, heartbeat)
        else {
            continue;
        };
        peers.push(Peer {
            instance,
            domain,
            address,
            heartbeat,
            is_voter,
        });
    }
    peers
}

fn check_peers(settings: &Settings, reader: &mut Reader<'_>) {
    let section = format!("peer {}", settings.instance);
    let voters = settings.peers.iter().filter(|peer| peer.is_voter).count();
    if voters == 0 {
        reader.add_fault(
            "",
            "",
            "no peer has voter = yes, expected 1, 3, 5 or 7 voters",
        );
    }
    let Some(own_peer) = settings.own_peer() else {
        reader.add_fault(
            &section,
            "",
            "missing, expected this instance among the peers",
        );
        return;
    };
    if own_peer.domain != settings.domain {
        let message = format!("{} differs from the domain in [instance]", own_peer.domain);
        reader.add_fault(&section, "domain", message);
    }
    if own_peer.is_voter && settings.data.is_none() {
        reader.add_fault(
            "instance",
            "data",
            "missing, expected a folder since this is a voter",
        );
    }
    let mut addresses = std::collections::BTreeSet::<(IpAddr, u16)>::new();
    for peer in &settings.peers {
        if !addresses.insert((peer.address.ip(), peer.address.port())) {
            let message = format!("{} is used by another peer too", peer.address);
            reader.add_fault(&format!("peer {}", peer.instance), "address", message);
        }
    }
}
