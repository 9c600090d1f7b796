//! Cluster of daemons with targets.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use buckthornmast_config::folder::Folder;
use buckthornmast_types::id;
use serde_json::Value;
use sha2::{Digest, Sha256};
use tempfile::TempDir;

use crate::{
    caller,
    process::Process,
    relay::{Mode, Relay, bind_both},
    wait::wait_for,
};

/// Bearer token of the platform operators.
pub const PLATFORM_TOKEN: &str = "platform-secret";

/// Bearer token of the team in `examples/declarations`.
pub const TEAM_TOKEN: &str = "press-secret";

/// Bearer token that targets check.
pub const TARGET_TOKEN: &str = "target-secret";

/// Key that the instances of a cluster share.
const CLUSTER_KEY: &str = "1f0c7d52c7f64f4b8d0e9a3b5c6d7e8f1f0c7d52c7f64f4b8d0e9a3b5c6d7e8f";

/// Settings of an instance to start.
#[derive(Debug, Clone, Copy)]
pub struct InstanceConfig {
    /// Name.
    pub name: &'static str,
    /// Failure domain.
    pub domain: &'static str,
    /// Whether the instance has a data folder and votes.
    pub is_voter: bool,
}

/// Listening addresses of an instance on loopback.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    /// Port for callers.
    pub callers: SocketAddr,
    /// Port for operators.
    pub operators: SocketAddr,
    /// Port for targets.
    pub targets: SocketAddr,
    /// Port for peers, TCP and UDP.
    pub peers: SocketAddr,
}

/// Instance of a cluster.
#[derive(Debug)]
pub struct Instance {
    /// Settings with which the instance was started.
    pub config: InstanceConfig,
    /// Ports.
    pub ports: Ports,
    /// Process; `None` while the instance is down.
    pub process: Option<Process>,
}

/// Target of a cluster.
#[derive(Debug)]
pub struct Target {
    /// Name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Process.
    pub process: Process,
}

/// Running cluster.
#[derive(Debug)]
pub struct Cluster {
    folder: TempDir,
    daemon: PathBuf,
    standin: PathBuf,
    /// Instances.
    pub instances: Vec<Instance>,
    /// Targets.
    pub targets: Vec<Target>,
    relays: BTreeMap<(usize, usize), Relay>,
}

fn digest(token: &str) -> String {
    Sha256::digest(token.as_bytes())
        .iter()
        .fold(String::new(), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}

/// Returns free ports for `count` instances; all stay bound until the last is found, so that none is chosen
/// twice.
fn reserve(count: usize) -> io::Result<Vec<Ports>> {
    let mut bound = Vec::new();
    let mut ports = Vec::new();
    for _ in 0..count {
        let sockets: Vec<_> = (0..4).map(|_| bind_both()).collect::<io::Result<_>>()?;
        let address = |index: usize| sockets[index].0.local_addr();
        ports.push(Ports {
            callers: address(0)?,
            operators: address(1)?,
            targets: address(2)?,
            peers: address(3)?,
        });
        bound.extend(sockets);
    }
    Ok(ports)
}

impl Cluster {
    /// Starts the instances; `programs` is the folder of the built programs.
    pub fn start(programs: &Path, configs: &[InstanceConfig]) -> io::Result<Self> {
        let ports = reserve(configs.len())?;
        let instances = configs.iter().zip(ports);
        let instances: Vec<Instance> = instances
            .map(|(config, ports)| Instance {
                config: *config,
                ports,
                process: None,
            })
            .collect();
        let mut relays = BTreeMap::new();
        for from in 0..instances.len() {
            for (to, instance) in instances.iter().enumerate() {
                if from != to {
                    relays.insert((from, to), Relay::start(instance.ports.peers)?);
                }
            }
        }
        let mut cluster = Self {
            folder: tempfile::tempdir()?,
            daemon: programs.join("buckthornmastd"),
            standin: programs.join("buckthornmast-standin"),
            instances,
            targets: Vec::new(),
            relays,
        };
        for index in 0..cluster.instances.len() {
            fs::write(cluster.settings_file(index), cluster.settings(index))?;
            cluster.launch(index)?;
        }
        Ok(cluster)
    }

    fn settings_file(&self, index: usize) -> PathBuf {
        self.folder
            .path()
            .join(format!("{}.ini", self.instances[index].config.name))
    }

    /// Returns the data folder of an instance.
    pub fn data_folder(&self, index: usize) -> PathBuf {
        self.folder.path().join(self.instances[index].config.name)
    }

    /// Returns the file that receives the log lines of an instance.
    pub fn log_file(&self, index: usize) -> PathBuf {
        self.folder
            .path()
            .join(format!("{}.log", self.instances[index].config.name))
    }

    fn settings(&self, index: usize) -> String {
        let Instance { config, ports, .. } = &self.instances[index];
        let mut text = format!(
            "[instance]\nname = {}\ndomain = {}\n",
            config.name, config.domain
        );
        if config.is_voter {
            let _ = writeln!(text, "data = {}", self.data_folder(index).display());
        }
        let _ = writeln!(
            text,
            "[listen]\ncallers = {}\noperators = {}\ntargets = {}\npeers = {}\nheartbeat = {}",
            ports.callers, ports.operators, ports.targets, ports.peers, ports.peers
        );
        let platform = digest(PLATFORM_TOKEN);
        let _ = writeln!(
            text,
            "[keys]\ncluster = {CLUSTER_KEY}\nplatform-token-sha256 = {platform}\n\
             targets = {TARGET_TOKEN}"
        );
        for (peer, instance) in self.instances.iter().enumerate() {
            let relay = self.relays.get(&(index, peer));
            let address = relay.map_or(instance.ports.peers, Relay::address);
            let voter = if instance.config.is_voter {
                "yes"
            } else {
                "no"
            };
            let _ = writeln!(
                text,
                "[peer {}]\ndomain = {}\naddress = {address}\nheartbeat = {address}\nvoter = {voter}",
                instance.config.name, instance.config.domain
            );
        }
        text
    }

    /// Starts an instance that is down.
    pub fn launch(&mut self, index: usize) -> io::Result<()> {
        let args = [
            "--config".to_owned(),
            self.settings_file(index).display().to_string(),
        ];
        let process = Process::start(&self.daemon, &args, &self.log_file(index))?;
        self.instances[index].process = Some(process);
        Ok(())
    }

    /// Starts an instance that is down with a limit on file descriptors.
    ///
    /// A shell sets the limit, so that it applies from the daemon's first instruction on.
    pub fn launch_limited(&mut self, index: usize, limit: u64) -> io::Result<()> {
        let args = [
            "-c".to_owned(),
            format!("ulimit -n {limit}; exec \"$0\" \"$@\""),
            self.daemon.display().to_string(),
            "--config".to_owned(),
            self.settings_file(index).display().to_string(),
        ];
        let process = Process::start(Path::new("/bin/sh"), &args, &self.log_file(index))?;
        self.instances[index].process = Some(process);
        Ok(())
    }

    /// Starts an instance that is down, so that [`Self::fill_disk`] can be used.
    ///
    /// The signal of a write beyond the limit on file sizes would end the process, where a full disk only refuses it. A
    /// shell ignores the signal, which the daemon inherits.
    pub fn launch_on_small_disk(&mut self, index: usize) -> io::Result<()> {
        let args = [
            "-c".to_owned(),
            "trap '' XFSZ; exec \"$0\" \"$@\"".to_owned(),
            self.daemon.display().to_string(),
            "--config".to_owned(),
            self.settings_file(index).display().to_string(),
        ];
        let process = Process::start(Path::new("/bin/sh"), &args, &self.log_file(index))?;
        self.instances[index].process = Some(process);
        Ok(())
    }

    /// Refuses all writes of an instance that would make a file grow, its log lines among them, or accepts them again.
    pub fn fill_disk(&self, index: usize, is_full: bool) -> io::Result<()> {
        let (id, fsize) = (self.process_id(index)?, rlimit::Resource::FSIZE);
        let (mut soft, mut hard) = (0, 0);
        rlimit::prlimit(id, fsize, None, Some((&mut soft, &mut hard)))?;
        let limit = if is_full { 0 } else { hard };
        rlimit::prlimit(id, fsize, Some((limit, hard)), None)
    }

    fn process_id(&self, index: usize) -> io::Result<i32> {
        let process = self.instances[index].process.as_ref();
        let id = process
            .map(Process::id)
            .and_then(|id| i32::try_from(id).ok());
        id.ok_or_else(|| io::Error::other("no limit was set: the instance is down"))
    }

    /// Kills an instance with `SIGKILL` and waits for its end.
    pub fn kill(&mut self, index: usize) {
        self.instances[index].process = None;
    }

    /// Sends a signal to an instance.
    pub fn signal(&self, index: usize, name: &str) -> io::Result<()> {
        match &self.instances[index].process {
            Some(process) => process.signal(name),
            None => Err(io::Error::other("no signal was sent: the instance is down")),
        }
    }

    /// Sets the number of file descriptors that an instance may open from now on.
    pub fn limit_descriptors(&self, index: usize, limit: u64) -> io::Result<()> {
        let id = self.process_id(index)?;
        // The hard limit stays, so that a test can raise the soft limit again.
        let (mut soft, mut hard) = (0, 0);
        let nofile = rlimit::Resource::NOFILE;
        rlimit::prlimit(id, nofile, None, Some((&mut soft, &mut hard)))?;
        rlimit::prlimit(id, nofile, Some((limit, hard)), None)
    }

    /// Deletes the data folder of an instance that is down.
    pub fn delete_data(&self, index: usize) -> io::Result<()> {
        fs::remove_dir_all(self.data_folder(index))
    }

    /// Sets the mode of the relay in one direction.
    pub fn set_relay(&self, from: usize, to: usize, mode: Mode) {
        if let Some(relay) = self.relays.get(&(from, to)) {
            relay.set(mode);
        }
    }

    /// Sets the mode of all relays from and to an instance.
    pub fn isolate(&self, index: usize, mode: Mode) {
        for other in 0..self.instances.len() {
            self.set_relay(index, other, mode);
            self.set_relay(other, index, mode);
        }
    }

    /// Starts a target that reports to the instances of its failure domain.
    pub fn add_target(
        &mut self,
        name: &str,
        domain: &str,
        kind: &str,
        service: &str,
        flags: &[&str],
    ) -> io::Result<usize> {
        let mut args: Vec<String> = Vec::new();
        let named = [
            ("--name", name),
            ("--domain", domain),
            ("--kind", kind),
            ("--service", service),
            ("--listen", "127.0.0.1:0"),
        ];
        for (flag, value) in named {
            args.extend([flag.to_owned(), value.to_owned()]);
        }
        for instance in self
            .instances
            .iter()
            .filter(|instance| instance.config.domain == domain)
        {
            args.extend(["--report-to".to_owned(), instance.ports.targets.to_string()]);
        }
        args.extend(flags.iter().map(|flag| (*flag).to_owned()));
        let log = self.folder.path().join(format!("target-{name}.log"));
        let _ = fs::remove_file(&log);
        let process = Process::start(&self.standin, &args, &log)?;
        let address = wait_for("the address of a target", || {
            let text = fs::read_to_string(&log).ok()?;
            let line = text
                .lines()
                .find_map(|line| line.strip_prefix("listening on "))?;
            line.parse().ok()
        });
        self.targets.push(Target {
            name: name.to_owned(),
            address,
            process,
        });
        Ok(self.targets.len() - 1)
    }

    /// Starts a model engine with the access token and 24 GiB of memory.
    pub fn add_engine(&mut self, name: &str, domain: &str, flags: &[&str]) -> io::Result<usize> {
        let mut all = vec!["--access-token", TARGET_TOKEN, "--memory", "24GiB"];
        all.extend(flags);
        self.add_target(name, domain, "engine", "chat", &all)
    }

    /// Starts model engines, each given by its name and failure domain.
    pub fn add_engines(&mut self, engines: &[(&str, &str)], flags: &[&str]) -> io::Result<()> {
        for (name, domain) in engines {
            self.add_engine(name, domain, flags)?;
        }
        Ok(())
    }

    /// Starts a plain service of the kind `counter`, whose calls must not be repeated.
    pub fn add_plain_service(
        &mut self,
        name: &str,
        domain: &str,
        flags: &[&str],
    ) -> io::Result<usize> {
        let mut all = vec!["--plain"];
        all.extend(flags);
        self.add_target(name, domain, "counter", "ledger", &all)
    }

    /// Writes a folder of declarations through an instance and waits until they are in force at all instances.
    pub fn apply(&self, through: usize, declarations: &Path) {
        let folder = Folder::read(declarations).unwrap_or_default();
        let port = self.instances[through].ports.operators;
        for (scope, values) in &folder.scopes {
            let changes: Vec<(&str, Option<&str>)> = values
                .iter()
                .map(|(path, value)| (path.as_str(), Some(value.as_str())))
                .collect();
            let id = id::Write::generate();
            wait_for("an accepted write", || {
                let answer = caller::write_settings(port, &scope.to_string(), id, 0, &changes);
                (answer.status == 200).then_some(())
            });
        }
        let revision = folder.scopes.len() as u64;
        for index in 0..self.instances.len() {
            wait_for("the settings at all instances", || {
                (self.revision(index)? >= revision).then_some(())
            });
        }
    }

    /// Returns the revision of the settings in force at an instance.
    ///
    /// Panics with the log if the instance has exited, since it would never reach the revision.
    pub fn revision(&self, index: usize) -> Option<u64> {
        if let Some(process) = &self.instances[index].process {
            let log = || fs::read_to_string(self.log_file(index)).unwrap_or_default();
            assert!(
                process.is_running(),
                "instance {} exited: {}",
                self.instances[index].config.name,
                log()
            );
        }
        let port = self.instances[index].ports.operators;
        caller::operator_get(port, "/v1/settings/").json()["revision"].as_u64()
    }

    /// Waits until a model answers through an instance.
    pub fn wait_for_model(&self, index: usize, model: &str) {
        let port = self.instances[index].ports.callers;
        wait_for("an answer of a model", || {
            (caller::chat(port, model, "hello", 1).status == 200).then_some(())
        });
    }

    /// Returns the cluster's status as an instance reports it.
    pub fn status(&self, index: usize) -> Value {
        caller::operator_get(self.instances[index].ports.operators, "/v1/status").json()
    }
}
