//! Processes of the system under review: four instances of the core and some entry instances, each on its own loopback
//! address, with the settings that the templates of the deploy file give on a small deployment.

use std::{
    fs,
    io::Write,
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http::call_core, names::name, record::Record};

const CONTROL: u16 = 8144;
const CALLERS: u16 = 8149;
const READY: u16 = 8141;
const PEERS: u16 = 7380;
const METRICS: u16 = 7395;
const TUNNELS: u16 = 7394;

pub struct Node {
    pub name: String,
    pub ip: String,
    is_core: bool,
    domain: String,
    is_first_start: bool,
    child: Option<Child>,
}

pub struct Site {
    program: PathBuf,
    pub folder: PathBuf,
    pub nodes: Vec<Node>,
    cores: usize,
    spare_ip: String,
    record: Record,
}

impl Drop for Site {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// Returns loopback addresses on which the ports of the processes are free.
fn free_addresses(count: usize) -> Vec<String> {
    let process = std::process::id();
    let mut found = Vec::new();
    for number in 0..2000u32 {
        let ip = format!(
            "127.{}.{}.{}",
            20 + process % 200,
            (process / 200 + number / 200) % 250,
            1 + number % 200
        );
        let ports = [CONTROL, CALLERS, READY, PEERS, METRICS, TUNNELS];
        if ports
            .iter()
            .all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok())
        {
            found.push(ip);
        }
        if found.len() == count {
            break;
        }
    }
    found
}

impl Site {
    /// Starts the processes.
    pub fn launch(
        program: &Path,
        folder: &Path,
        cores: usize,
        entries: usize,
        record: &Record,
    ) -> Option<Self> {
        // One more address, for an instance of the core that replaces another one.
        let mut ips = free_addresses(cores + entries + 1);
        let spare_ip = ips.pop()?;
        if ips.len() < cores + entries {
            return None;
        }
        let domains = ["muc-nord", "muc-sued", "ingolstadt", "rosenheim"];
        let nodes = ips.into_iter().enumerate().map(|(number, ip)| {
            let is_core = number < cores;
            let (kind, place) = if is_core {
                ("core", number)
            } else {
                ("front", number - cores)
            };
            let domain = domains[place % domains.len()].to_owned();
            Node {
                name: format!("{kind}-{domain}-{}", place + 1),
                ip,
                is_core,
                domain,
                is_first_start: true,
                child: None,
            }
        });
        let mut site = Self {
            program: program.to_owned(),
            folder: folder.to_owned(),
            nodes: nodes.collect(),
            cores,
            spare_ip,
            record: record.clone(),
        };
        for number in 0..site.nodes.len() {
            site.write_settings(number, None);
            site.spawn(number)?;
        }
        Some(site)
    }

    /// Starts the processes and waits until the core has a leader.
    pub fn start(
        program: &Path,
        folder: &Path,
        cores: usize,
        entries: usize,
        record: &Record,
    ) -> Option<Self> {
        let site = Self::launch(program, folder, cores, entries, record)?;
        let is_led = site.wait(15, |site| {
            let answer = call_core(&site.control(0), "GET", "/config", "").ok()?;
            (answer.status() == 200 || answer.text().contains("no routes")).then_some(())
        });
        is_led.map(|()| site)
    }

    /// Adds an instance of the core with an empty disk, in the failure domain of another one, at an address of its own.
    pub fn replace_core(&mut self, lost: usize) -> Option<()> {
        let domain = self.nodes[lost].domain.clone();
        self.nodes.push(Node {
            name: format!("core-{domain}-9"),
            ip: self.spare_ip.clone(),
            is_core: true,
            domain,
            is_first_start: false,
            child: None,
        });
        let number = self.nodes.len() - 1;
        self.write_settings(number, None);
        self.spawn(number)
    }

    /// Polls until a value is returned.
    pub fn wait<T>(&self, seconds: u64, poll: impl Fn(&Self) -> Option<T>) -> Option<T> {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(seconds) {
            if let Some(value) = poll(self) {
                return Some(value);
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    fn file(&self, number: usize) -> PathBuf {
        self.folder.join(format!("{}.ini", self.nodes[number].name))
    }

    /// Writes the settings of a process. `source` is the address that its connections to targets come from.
    pub fn write_settings(&self, number: usize, source: Option<&str>) {
        let node = &self.nodes[number];
        let ip = &node.ip;
        let seeds = self.nodes[..self.cores.min(3)].iter();
        let seeds: Vec<String> = seeds.map(|seed| format!("{}:{CONTROL}", seed.ip)).collect();
        let head = format!(
            "[instance]\nname = {}\ndomain = {}\nrole = {}\n\n[seeds]\ncontrol = {}\nport = {PEERS}\n\n",
            node.name,
            node.domain,
            if node.is_core { "core" } else { "entry" },
            seeds.join(",")
        );
        let source = source.map_or_else(String::new, |source| format!("source = {source}\n"));
        let part = if node.is_core {
            let data = self.folder.join(format!("{}.disk", node.name));
            format!(
                "[listen]\ncontrol = {ip}:{CONTROL}\npeers = {ip}:{PEERS}\nmetrics = {ip}:{METRICS}\n\n[core]\ndata = {}\ndisk = 128MB\nfirst-start = {}\nlosses = 1\n\n\
                 [bounds]\ngrace = 8s\nturn = 3000ms\nfenced = true\nextra-ratio = 0.2\nextra-burst = 52\ndescriptors = 4096\nmemory = 256MB\n",
                data.display(),
                node.is_first_start
            )
        } else {
            format!(
                "[listen]\ncallers = {ip}:{CALLERS}\nready = {ip}:{READY}\nmetrics = {ip}:{METRICS}\ntunnels = {ip}:{TUNNELS}\n{source}\n\
                 [bounds]\ngrace = 8s\nturn = 3000ms\nfenced = true\nextra-ratio = 0.2\nextra-burst = 52\nextra-window = 10s\ndescriptors = 4200\nmemory = 260MB\n"
            )
        };
        fs::write(self.file(number), format!("{head}{part}")).unwrap();
    }

    /// Starts a process with the command of the deploy file.
    pub fn spawn(&mut self, number: usize) -> Option<()> {
        let file = self.file(number);
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(file.with_extension("log"))
            .ok()?;
        let child = Command::new(&self.program)
            .env(name("settings"), &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        // Whoever started this program ends the processes that it has left behind.
        let mut ids = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("processes"))
            .ok()?;
        writeln!(ids, "{}", child.id()).ok()?;
        self.record
            .line(format!("start {}", self.nodes[number].name));
        self.nodes[number].child = Some(child);
        self.nodes[number].is_first_start = false;
        Some(())
    }

    /// Sends a signal to a process.
    pub fn signal(&mut self, number: usize, signal: &str) {
        let node = &self.nodes[number];
        if let Some(child) = &node.child {
            self.record
                .line(format!("signal {signal} to {}", node.name));
            let command = format!("kill -{signal} {}", child.id());
            let _ = Command::new("bash").args(["-c", &command]).status();
        }
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.nodes[number].child.take() {
            self.record
                .line(format!("kill {}", self.nodes[number].name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether a process has ended by itself.
    pub fn has_ended(&mut self, number: usize) -> bool {
        let child = self.nodes[number].child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn control(&self, number: usize) -> String {
        format!("{}:{CONTROL}", self.nodes[number].ip)
    }

    /// Returns the control addresses of the instances of the core that run.
    pub fn controls(&self) -> Vec<String> {
        let running =
            |number: &usize| self.nodes[*number].is_core && self.nodes[*number].child.is_some();
        (0..self.nodes.len())
            .filter(running)
            .map(|number| self.control(number))
            .collect()
    }

    pub fn entry(&self, number: usize) -> usize {
        self.cores + number
    }

    pub fn callers(&self, entry: usize) -> String {
        format!("{}:{CALLERS}", self.nodes[self.entry(entry)].ip)
    }

    pub fn is_ready(&self, entry: usize) -> bool {
        let address = format!("{}:{READY}", self.nodes[self.entry(entry)].ip);
        call_core(&address, "GET", "/readyz", "").is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a document to the core until it is acknowledged.
    pub fn publish(&self, document: &str) -> Option<()> {
        self.wait(15, |site| {
            let answers = site
                .controls()
                .into_iter()
                .map(|core| call_core(&core, "PUT", "/config", document));
            let mut statuses =
                answers.filter_map(|answer| answer.ok().map(|answer| answer.status()));
            statuses.any(|status| status == 200).then_some(())
        })?;
        self.record.line("routes are acknowledged");
        Some(())
    }
}
