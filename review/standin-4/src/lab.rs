//! A small deployment: the project's processes, each on a loopback address of its own, and the record of a run.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::{Ipv4Addr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::http;

/// Ports of the nodes, as on the platform: the same on each machine.
pub const CONTROL: u16 = 8144;
pub const CALLERS: u16 = 8149;
const READY: u16 = 8141;
const PEERS: u16 = 7380;
const METRICS: u16 = 7395;
const TUNNELS: u16 = 7394;

/// Names that the platform's pages use on the wire.
const NAMES: &str = include_str!("../names.txt");

/// Returns a name of the platform's pages.
pub fn name(key: &str) -> &'static str {
    let mut lines = NAMES.lines().filter_map(|line| line.split_once('='));
    let found = lines.find(|(known, _)| *known == key);
    found.map_or("", |(_, name)| name)
}

/// Announcement of a server, with places to fill in.
pub const ANNOUNCEMENT: &str = include_str!("../texts/announcement.json");

/// Returns a route: its name, its kind, its time limit in milliseconds, and whether its streams may be resumed.
pub fn route(name: &str, kind: &str, timeout: u32, is_resumable: bool) -> String {
    let route = include_str!("../texts/route.json").trim();
    let route = route.replace("@name", name).replace("@kind", kind);
    route
        .replace("@timeout", &timeout.to_string())
        .replace("@resumable", &is_resumable.to_string())
}

/// Returns a config with these routes.
pub fn config(routes: &[String]) -> String {
    include_str!("../texts/config.json")
        .trim()
        .replace("@routes", &routes.join(","))
}

/// Record of what was sent, answered and run.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Writes a line with the time since the start in seconds.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:8.3} {text}");
        }
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: std::ffi::c_ulong = 9;

/// Lets the kernel kill this process when the thread that started it ends. Nodes are started by the main thread alone.
fn die_with_player() -> io::Result<()> {
    if unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}

/// Role of a node.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Core,
    Entry,
}

impl Role {
    fn as_str(self) -> &'static str {
        match self {
            Self::Core => "core",
            Self::Entry => "entry",
        }
    }
}

/// Machine with one process of the project.
pub struct Node {
    pub name: String,
    pub ip: String,
    role: Role,
    zone: String,
    folder: PathBuf,
    is_first_start: bool,
    source: Option<&'static str>,
    child: Option<Child>,
}

impl Node {
    /// Returns the address for calls of servers and operators.
    pub fn control(&self) -> String {
        format!("{}:{CONTROL}", self.ip)
    }

    /// Returns the address for clients.
    pub fn callers(&self) -> String {
        format!("{}:{CALLERS}", self.ip)
    }

    /// Removes the files of the disk.
    pub fn wipe(&mut self) -> io::Result<()> {
        self.is_first_start = false;
        fs::remove_dir_all(self.folder.join("data"))
    }

    /// Lets the settings say that this isn't the first start of the whole system.
    pub fn set_started(&mut self) {
        self.is_first_start = false;
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    fn settings(&self, seeds: &[String]) -> String {
        let Self { name, ip, zone, .. } = self;
        let role = self.role.as_str();
        let mut text = format!("[instance]\nname = {name}\ndomain = {zone}\nrole = {role}\n\n[listen]\n");
        text += &match self.role {
            Role::Core => format!("control = {ip}:{CONTROL}\npeers = {ip}:{PEERS}\n"),
            Role::Entry => {
                format!("callers = {ip}:{CALLERS}\nready = {ip}:{READY}\ntunnels = {ip}:{TUNNELS}\n")
            }
        };
        let seeds: Vec<String> = seeds.iter().map(|ip| format!("{ip}:{CONTROL}")).collect();
        if let Some(source) = self.source {
            text += &format!("source = {source}\n");
        }
        text += &format!(
            "metrics = {ip}:{METRICS}\n\n[seeds]\ncontrol = {}\nport = {PEERS}\n",
            seeds.join(",")
        );
        if self.role == Role::Core {
            let data = self.folder.join("data");
            text += &format!(
                "\n[core]\ndata = {}\ndisk = 128MB\nfirst-start = {}\nlosses = 1\n",
                data.display(),
                self.is_first_start
            );
        }
        // The bounds of the site that the case names.
        text += "\n[bounds]\ngrace = 8s\nturn = 3000ms\nfenced = true\nextra-ratio = 0.2\nextra-burst = 52\n";
        text += &match self.role {
            Role::Core => "descriptors = 4096\nmemory = 256MB\n".to_owned(),
            Role::Entry => "extra-window = 10s\ndescriptors = 4200\nmemory = 260MB\n".to_owned(),
        };
        text
    }

    /// Writes the settings file. A process that runs reads it again within a second.
    fn write_settings(&self, seeds: &[String]) -> io::Result<PathBuf> {
        fs::create_dir_all(&self.folder)?;
        let file = self.folder.join("boot.ini");
        fs::write(&file, self.settings(seeds))?;
        Ok(file)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self, root: &Path, seeds: &[String]) -> io::Result<()> {
        let file = self.write_settings(seeds)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))?;
        let mut command = Command::new(root.join("target/release/buckthornmast-node"));
        // A player that is ended from outside leaves no process behind.
        unsafe { command.pre_exec(die_with_player) };
        let child = command
            .current_dir(root)
            .env_clear()
            .env("BUCKTHORNMAST_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .process_group(0)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Deployment in a temporary folder.
pub struct Lab {
    root: PathBuf,
    folder: PathBuf,
    prefix: [u8; 2],
    next: u8,
    seeds: Vec<String>,
    pub nodes: Vec<Node>,
}

impl Lab {
    pub fn new(root: &Path) -> io::Result<Self> {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("standin-4-{process}"));
        fs::create_dir_all(&folder)?;
        let mut prefix = [20 + (process % 200) as u8, (process / 200 % 250) as u8];
        // Another run may use the addresses.
        while TcpListener::bind((Ipv4Addr::new(127, prefix[0], prefix[1], 1), CONTROL)).is_err() {
            prefix[1] = prefix[1].wrapping_add(1);
        }
        Ok(Self {
            root: root.to_owned(),
            folder,
            prefix,
            next: 1,
            seeds: Vec::new(),
            nodes: Vec::new(),
        })
    }

    /// Returns a loopback address that nothing else of this run uses.
    pub fn next_ip(&mut self) -> String {
        let number = self.next;
        self.next += 1;
        format!("127.{}.{}.{number}", self.prefix[0], self.prefix[1])
    }

    /// Adds a machine without starting its process, and returns its index.
    pub fn add(&mut self, role: Role, zone: &str, is_first_start: bool) -> usize {
        let ip = self.next_ip();
        let name = format!("{}-{}", role.as_str(), self.next - 1);
        self.nodes.push(Node {
            folder: self.folder.join(&name),
            name,
            ip,
            role,
            zone: zone.to_owned(),
            is_first_start,
            source: None,
            child: None,
        });
        self.nodes.len() - 1
    }

    /// Sets the machines whose addresses all settings name from now on.
    pub fn set_seeds(&mut self, seeds: &[usize]) {
        self.seeds = seeds.iter().map(|index| self.nodes[*index].ip.clone()).collect();
    }

    pub fn start(&mut self, index: usize) -> io::Result<()> {
        self.nodes[index].start(&self.root, &self.seeds)
    }

    /// Cuts an entry machine off from all servers: it opens connections to them from an address that reaches none.
    pub fn cut(&mut self, index: usize) -> io::Result<()> {
        self.nodes[index].source = Some("::1");
        self.nodes[index].write_settings(&self.seeds).map(drop)
    }

    /// Returns the control addresses of the machines of the core that run.
    pub fn controls(&self) -> Vec<String> {
        let running = self
            .nodes
            .iter()
            .filter(|node| node.role == Role::Core && node.is_running());
        running.map(Node::control).collect()
    }
}

impl Lab {
    /// Starts three machines of the core and a number of entry machines with a config. Returns the indexes of both.
    pub fn begin(
        &mut self,
        entries: usize,
        config: &str,
    ) -> Result<(Vec<usize>, Vec<usize>), Box<dyn std::error::Error>> {
        let zones = ["z1", "z2", "z3"];
        let cores: Vec<usize> = zones
            .iter()
            .map(|zone| self.add(Role::Core, zone, true))
            .collect();
        self.set_seeds(&cores);
        let entries: Vec<usize> = (0..entries)
            .map(|entry| self.add(Role::Entry, zones[entry % 3], true))
            .collect();
        for node in cores.iter().chain(&entries) {
            self.start(*node)?;
        }
        let started = Instant::now();
        let control = self.nodes[cores[0]].control();
        while !http::call(&control, "PUT", "/config", config).is_ok_and(|answer| answer.status == 200) {
            if started.elapsed() > Duration::from_secs(15) {
                return Err("the config was not acknowledged".into());
            }
            sleep(Duration::from_millis(100));
        }
        Ok((cores, entries))
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("kept {}", self.folder.display());
        }
    }
}
