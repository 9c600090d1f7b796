//! Processes of the project, each on a loopback address of its own.

use std::{
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::wire::{call, name};

const CONTROL: u16 = 8144;
const CALLERS: u16 = 8149;
const READY: u16 = 8141;
const PEERS: u16 = 7380;
const METRICS: u16 = 7395;
const TUNNELS: u16 = 7394;

/// Bounds of the deployment, as the templates give them.
const BOUNDS: &str =
    "grace = 8s\nturn = 3000ms\nfenced = true\nextra-ratio = 0.2\nextra-burst = 52\n";

/// Program of the deploy file.
const PROGRAM: &str = "target/release/buckthornmast-node";

/// Returns a loopback address that nothing else of this run uses.
pub fn next_ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id();
    loop {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let second = u8::try_from(10 + process % 200).unwrap_or(10);
        let third = u8::try_from(process / 200 % 250).unwrap_or(0);
        let ip = Ipv4Addr::new(
            127,
            second,
            third,
            u8::try_from(number % 250 + 1).unwrap_or(1),
        );
        let ports = [CONTROL, CALLERS, READY, PEERS, METRICS, TUNNELS];
        if ports
            .iter()
            .all(|port| TcpListener::bind((ip, *port)).is_ok())
        {
            return ip;
        }
    }
}

/// Limits of a machine.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    pub memory_mb: usize,
    pub descriptors: usize,
}

struct Node {
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Node {
    fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let child = Command::new(PROGRAM)
            .env_clear()
            .env(name("file"), &self.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("a log file"))
            .stderr(Stdio::null())
            .spawn();
        let child = child.expect("the program of the deploy file");
        // The script ends what is left if this process is killed.
        let folder = self.settings.parent().map(|folder| folder.join("pids"));
        let pids =
            folder.and_then(|path| File::options().create(true).append(true).open(path).ok());
        if let Some(mut pids) = pids {
            let _ = writeln!(pids, "{}", child.id());
        }
        self.child = Some(child);
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Core and entry instances.
pub struct Site {
    folder: PathBuf,
    cores: Vec<Node>,
    entries: Vec<Node>,
}

impl Site {
    /// Starts instances with settings as the templates of the deploy file give them.
    pub fn start(cores: usize, entries: usize, entry: Machine) -> Self {
        let folder = PathBuf::from(std::env::var("CASE_FOLDER").expect("CASE_FOLDER"));
        let mut site = Self {
            folder,
            cores: Vec::new(),
            entries: Vec::new(),
        };
        let ips: Vec<Ipv4Addr> = (0..cores).map(|_| next_ip()).collect();
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("{ip}:{CONTROL}"))
            .collect();
        let seeds = seeds.join(",");
        for (index, ip) in ips.iter().enumerate() {
            let data = site.folder.join(format!("disk-{index}"));
            let text = format!(
                "[instance]\nname = core-z{index}-1\ndomain = z{index}\nrole = core\n\n[listen]\ncontrol = {ip}:{CONTROL}\npeers = {ip}:{PEERS}\nmetrics = {ip}:{METRICS}\n\n[seeds]\ncontrol = {seeds}\nport = {PEERS}\n\n[core]\ndata = {}\ndisk = 128MB\nfirst-start = true\nlosses = 1\n\n[bounds]\n{}descriptors = 4096\nmemory = 256MB\n",
                data.display(),
                BOUNDS
            );
            let node = site.node(&format!("core-{index}"), *ip, &text);
            site.cores.push(node);
        }
        for index in 0..entries {
            let ip = next_ip();
            let text = format!(
                "[instance]\nname = front-z{index}-1\ndomain = z{index}\nrole = entry\n\n[listen]\ncallers = {ip}:{CALLERS}\nready = {ip}:{READY}\nmetrics = {ip}:{METRICS}\ntunnels = {ip}:{TUNNELS}\n\n[seeds]\ncontrol = {seeds}\nport = {PEERS}\n\n[bounds]\n{}extra-window = 10s\ndescriptors = {}\nmemory = {}MB\n",
                BOUNDS, entry.descriptors, entry.memory_mb
            );
            let node = site.node(&format!("entry-{index}"), ip, &text);
            site.entries.push(node);
        }
        for node in site.cores.iter_mut().chain(&mut site.entries) {
            node.start();
        }
        site
    }

    fn node(&self, name: &str, ip: Ipv4Addr, text: &str) -> Node {
        let settings = self.folder.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("a settings file");
        Node {
            ip,
            settings,
            log: self.folder.join(format!("{name}.log")),
            child: None,
        }
    }

    pub fn control(&self, core: usize) -> SocketAddr {
        SocketAddrV4::new(self.cores[core].ip, CONTROL).into()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.cores.len())
            .map(|core| self.control(core))
            .collect()
    }

    pub fn callers(&self, entry: usize) -> SocketAddr {
        SocketAddrV4::new(self.entries[entry].ip, CALLERS).into()
    }

    /// Kills the process of an instance of the core.
    pub fn kill_core(&mut self, core: usize) {
        self.cores[core].kill();
    }

    /// Starts an instance of the core again with its disk.
    pub fn start_core(&mut self, core: usize) {
        let settings = &self.cores[core].settings;
        let text = fs::read_to_string(settings).unwrap_or_default();
        let text = text.replace("first-start = true", "first-start = false");
        fs::write(settings, text).expect("a settings file");
        self.cores[core].start();
    }

    /// Kills the process of an entry instance.
    pub fn kill_entry(&mut self, entry: usize) {
        self.entries[entry].kill();
    }

    /// Starts an entry instance again.
    pub fn start_entry(&mut self, entry: usize) {
        self.entries[entry].start();
    }

    pub fn entry_pid(&self, entry: usize) -> u32 {
        self.entries[entry].child.as_ref().map_or(0, Child::id)
    }

    /// Returns whether an entry instance runs, or how it ended.
    pub fn entry_end(&mut self, entry: usize) -> Option<String> {
        let child = self.entries[entry].child.as_mut()?;
        child.try_wait().ok()?.map(|status| status.to_string())
    }

    pub fn entry_log(&self, entry: usize) -> String {
        let bytes = fs::read(&self.entries[entry].log).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Publishes a config as an operator does, until it is acknowledged.
    pub fn publish(&self, config: &str) -> bool {
        wait_for(Duration::from_secs(20), || {
            let controls = self.controls();
            let mut answers = controls
                .iter()
                .map(|control| call(*control, "PUT", "/config", config));
            answers.any(|answer| answer.is_some_and(|answer| answer.status() == 200))
        })
    }

    /// Waits until all entry instances know this number of servers.
    pub fn wait_servers(&self, servers: usize) -> bool {
        wait_for(Duration::from_secs(20), || {
            (0..self.entries.len()).all(|entry| {
                let log = self.entry_log(entry);
                log.matches("target changed").count() >= servers
            })
        })
    }

    /// Waits until all entry instances are ready.
    pub fn wait_ready(&self) -> bool {
        wait_for(Duration::from_secs(20), || {
            self.entries.iter().all(|entry| {
                let address = SocketAddrV4::new(entry.ip, READY).into();
                let answer = call(address, "GET", "/readyz", "");
                answer.is_some_and(|answer| answer.status() == 200)
            })
        })
    }
}

/// Polls until a condition holds. Returns whether it did in time.
pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Config with a plain service and one that streams.
pub const CONFIG: &str = include_str!("../config.json");
