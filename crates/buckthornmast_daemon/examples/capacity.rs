//! Measures the cost of relayed reports, demand rows, settings and claims at several sizes.
//!
//! `cargo run --release -p buckthornmast_daemon --example capacity -- [reports|demand|settings|claims|peak]...`
//!
//! Prints the load average of the machine, and then for each of the named parts:
//!
//! - `reports`: bytes of the notices that relay one report of each target, and the CPU time to seal and to accept them.
//! - `demand`: rows and KB/s of the demand notices, and the largest error of the totals that are computed from them.
//! - `settings`: CPU time and resident bytes of a snapshot of the settings, and the bytes of their updates.
//! - `claims`: resident bytes of claims, and the CPU time to take, wrap and restore a snapshot of them.
//! - `peak`: resident memory and time while a state with nearly the maximum number of claims takes snapshots.
//!
//! A line with "fit" is the least-squares line over the sizes, with the standard errors of its parameters.

use std::{
    collections::BTreeMap,
    error::Error,
    fmt::Write as _,
    fs,
    hint::black_box,
    path::Path,
    time::{Duration, Instant},
};

use buckthornmast_config::folder::{self, Folder};
use buckthornmast_consensus::{
    machine::{LogTime, StateMachine},
    message::Position,
    snapshot::Content,
};
use buckthornmast_daemon::{
    current::Current,
    demand::Table,
    message::{Notice, Relayed, Response},
    relay::content_of,
    targets::{Origin, Targets},
};
use buckthornmast_state::{
    claims::{Claim, Complete, Fingerprint, Id, Outcome, RETENTION_MILLIS},
    machine::{Command, State},
    settings::{Change, Scope, Write},
};
use buckthornmast_trial::fit::Fit;
use buckthornmast_types::{
    artifact::Artifact,
    id,
    report::{Copy, Load, Phase, Report},
    size::Bytes,
    time::{Point, System, unix_millis},
};
use buckthornmast_wire::{
    key::Key,
    sealed::{Nonce, Sealed, open_request, seal_request},
};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const KEY: &str = "1f0c7d52c7f64f4b8d0e9a3b5c6d7e8f1f0c7d52c7f64f4b8d0e9a3b5c6d7e8f";

/// Time for which each step is repeated, since the kernel counts CPU time in ticks of some milliseconds.
const REPEAT_TIME: Duration = Duration::from_millis(600);

/// Reports in one notice, as in the daemon.
const BATCH_REPORTS: usize = 64;

/// Adapters of a model; the two reference deployments have 3.3 and 4.6 on average.
const ADAPTERS_PER_MODEL: usize = 4;

/// Teams among which the models are divided.
const TEAMS: usize = 10;

/// Total number of models in the copies of the settings that are kept to measure their memory.
const KEPT_MODELS: usize = 16_000;

/// Returns the CPU time of this thread.
fn thread_cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}

/// Returns the resident memory of this process in bytes.
fn resident() -> f64 {
    memory_status("VmRSS:")
}

/// Returns a memory size of this process in bytes, as reported by the kernel.
fn memory_status(name: &str) -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or_default() * 1024.0
}

/// Returns the mean CPU time of a step in microseconds.
fn mean_cpu_micros(mut step: impl FnMut() -> Result<()>) -> Result<f64> {
    let (begin, start) = (thread_cpu_time(), Instant::now());
    let mut steps = 0.0;
    while start.elapsed() < REPEAT_TIME {
        step()?;
        steps += 1.0;
    }
    Ok((thread_cpu_time() - begin).as_secs_f64() * 1e6 / steps)
}

/// Prints the linear fit of one column over the first.
fn print_fit<const N: usize>(label: &str, rows: &[[f64; N]], column: usize) {
    let points: Vec<(f64, f64)> = rows.iter().map(|row| (row[0], row[column])).collect();
    if let Some(fit) = Fit::through(&points) {
        println!("  fit {label}: {fit}");
    }
}

/// Returns a report of an engine with this number of models, each with two adapters.
fn report(target: usize, models: usize, sequence: u64) -> Result<Report> {
    let mut copies = Vec::new();
    for model in 0..models {
        let base = format!("model-{:04}@7", (target * 7 + model) % 820);
        let first = format!("{base}+adapter-a{model}@3");
        let second = format!("{base}+adapter-b{model}@3");
        for name in [base, first, second] {
            copies.push(Copy {
                artifact: name.parse::<Artifact>()?,
                phase: Phase::Ready,
                bytes: Bytes(14 << 30),
            });
        }
    }
    Ok(Report {
        target: format!("engine-{target:04}").parse()?,
        domain: "muc-nord".parse()?,
        kind: "engine".parse()?,
        service: "sprachhalle".parse()?,
        address: "10.20.30.40:8000".parse()?,
        incarnation: id::Incarnation(1_764_796_395_123),
        sequence,
        is_leaving: false,
        accelerators: 4,
        memory: Bytes(320 << 30),
        copies,
        token: id::Token(48_213),
        load: Load {
            running: 12,
            waiting: 3,
            slots: 32,
        },
    })
}

/// Returns the relayed form of a report whose content is, or is not, known to the receiver.
fn relayed(target: usize, models: usize, is_known: bool) -> Result<Relayed> {
    let report = report(target, models, 48_213)?;
    if !is_known {
        let report = Box::new(report);
        return Ok(Relayed::Full {
            report,
            age_ms: 120,
        });
    }
    Ok(Relayed::Brief {
        content: content_of(&report),
        target: report.target,
        incarnation: report.incarnation,
        sequence: report.sequence + 1,
        leaving: report.is_leaving,
        load: report.load,
        age_ms: 120,
    })
}

/// Relays one report of each target to one instance; returns the bytes and the times to seal and to accept them.
fn relay(targets: usize, models: usize, is_known: bool) -> Result<[f64; 4]> {
    let key: Key = KEY.parse()?;
    let from: id::Instance = "muc-nord-17".parse()?;
    let relayed: Vec<Relayed> = (0..targets)
        .map(|target| relayed(target, models, is_known))
        .collect::<Result<_>>()?;
    let mut texts = Vec::new();
    let seal = mean_cpu_micros(|| {
        texts.clear();
        for batch in relayed.chunks(BATCH_REPORTS) {
            let body = serde_json::to_string(&[Notice::Reports(batch.to_vec())])?;
            let sealed = seal_request(&key, &from, Nonce::random(), body);
            texts.push(serde_json::to_string(&sealed)?);
        }
        Ok(())
    })?;
    let accept = mean_cpu_micros(|| {
        // A new table accepts each report as newer; for briefs it has to know the full reports first.
        let table = Targets::new(System::start());
        for target in 0..if is_known { targets } else { 0 } {
            table.accept(
                report(target, models, 48_213)?,
                Duration::ZERO,
                Origin::Instance,
            );
        }
        for text in &texts {
            let sealed: Sealed = serde_json::from_str(text)?;
            let notices: Vec<Notice> = serde_json::from_str(open_request(&key, &sealed)?)?;
            for notice in notices {
                if let Notice::Reports(reports) = notice {
                    assert!(
                        table.accept_relayed(reports).is_empty(),
                        "a target's content is missing"
                    );
                }
            }
        }
        Ok(())
    })?;
    let bytes: usize = texts.iter().map(String::len).sum();
    println!(
        "  {targets} targets: {bytes} bytes, {seal:.0} us to seal for one peer, {accept:.0} us to take"
    );
    Ok([targets as f64, bytes as f64, seal, accept])
}

fn reports() -> Result<()> {
    for (models, is_known) in [(1, false), (3, false), (3, true)] {
        let copies = models * 3;
        let form = if is_known { "unchanged" } else { "new" };
        println!("relay of one {form} report of each target, {copies} artifacts a target");
        let mut rows = Vec::new();
        for targets in [30, 120, 467] {
            rows.push(relay(targets, models, is_known)?);
        }
        print_fit("bytes, x = reports", &rows, 1);
        print_fit("us to seal for one peer, x = reports", &rows, 2);
        print_fit("us to take, x = reports", &rows, 3);
    }
    Ok(())
}

/// Seconds of measured demand.
const DEMAND_SECONDS: u64 = 120;

/// Seconds of demand before the measurement, in which the rates become steady.
const DEMAND_WARM_UP_SECONDS: u64 = 40;

/// Total in requests per second below which the error is given in requests per second.
const SMALL_TOTAL_PER_SECOND: f64 = 0.05;

/// Instances of each deployment.
const INSTANCES: usize = 6;

/// Returns a uniform number below 1 from a generator with a fixed seed.
fn uniform(seed: &mut u64) -> f64 {
    *seed = seed
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    (*seed >> 11) as f64 / (1_u64 << 53) as f64
}

/// Simulates requests at random times at each instance, Zipf-distributed over the names, in virtual time.
///
/// Compares notices with all rows every second, as in an earlier version, with the notices of [`Table`], which have
/// only the changed rows, and prints the error of the totals.
fn demand_at(names: usize, rate: f64) -> Result<()> {
    let instances: Vec<id::Instance> = (0..INSTANCES)
        .map(|instance| format!("macon-a-{instance}").parse())
        .collect::<std::result::Result<_, _>>()?;
    let mut tables: Vec<Table> = (0..INSTANCES)
        .map(|_| Table::new(Point::default(), []))
        .collect();
    let weights: Vec<f64> = (0..names).map(|name| 1.0 / (name + 1) as f64).collect();
    let sum: f64 = weights.iter().sum();
    let (mut seed, mut now) = (1, Point::default());
    let (mut all_bytes, mut sent_bytes, mut rows, mut sent, mut error) = (0, 0, 0, 0, 0.0_f64);
    let mut small_error = 0.0_f64;
    for second in 0..DEMAND_SECONDS + DEMAND_WARM_UP_SECONDS {
        for step in 0..100 {
            now = Point::from_millis(second * 1000 + step * 10);
            for table in &mut tables {
                for (name, weight) in weights.iter().enumerate() {
                    if uniform(&mut seed) < rate * weight / sum / 100.0 {
                        table.count(now, &format!("model-{name:04}"), 400);
                    }
                }
            }
        }
        let mut exact = BTreeMap::<String, (f64, f64)>::new();
        for at in 0..INSTANCES {
            let own = tables[at].local_rates(now);
            for (name, (requests, tokens)) in &own {
                let sum = exact.entry(name.clone()).or_default();
                sum.0 += requests;
                sum.1 += tokens;
            }
            let due = tables[at].take_due(now);
            if second >= DEMAND_WARM_UP_SECONDS {
                let list: Vec<_> = own
                    .iter()
                    .map(|(name, (requests, tokens))| {
                        serde_json::json!({"name": name, "requests": requests, "tokens": tokens})
                    })
                    .collect();
                rows += list.len();
                all_bytes += serde_json::to_string(&serde_json::json!({ "Demand": list }))?.len();
            }
            let Some(update) = due.update else { continue };
            if second >= DEMAND_WARM_UP_SECONDS {
                sent += update.steady.len() + update.decaying.len();
                sent_bytes += serde_json::to_string(&Notice::Demand(update.clone()))?.len();
            }
            for other in (0..INSTANCES).filter(|other| *other != at) {
                tables[other].accept(now, &instances[at], update.clone());
            }
        }
        if second < DEMAND_WARM_UP_SECONDS {
            continue;
        }
        for table in &mut tables {
            let total = table.total(now);
            for (name, (requests, tokens)) in &exact {
                let estimate = total.get(name).copied().unwrap_or_default();
                // Rows below 0.001 requests/s are not sent, which is a large part of such a small total.
                if *requests < SMALL_TOTAL_PER_SECOND {
                    small_error = small_error.max((estimate.0 - requests).abs());
                    continue;
                }
                error = error.max((estimate.0 / requests - 1.0).abs());
                error = error.max((estimate.1 / tokens - 1.0).abs());
            }
        }
    }
    // Each instance sends its notices to all others.
    let kb_per_second = |bytes: usize| {
        (bytes * (INSTANCES - 1)) as f64 / (INSTANCES as u64 * DEMAND_SECONDS) as f64 / 1000.0
    };
    println!(
        "  {names} names, {rate} requests/s an instance: {rows} rows became {sent}, {:.2} KB/s an \
         instance became {:.2}, sums off by at most {:.1} %, and by {small_error:.4} requests/s below {SMALL_TOTAL_PER_SECOND}",
        kb_per_second(all_bytes),
        kb_per_second(sent_bytes),
        error * 100.0
    );
    Ok(())
}

fn demand() -> Result<()> {
    println!("demand at {INSTANCES} instances, without the frames of the notices");
    for names in [52, 200] {
        for rate in [1.0, 10.0, 20.0, 100.0] {
            demand_at(names, rate)?;
        }
    }
    Ok(())
}

/// Writes declarations of a platform with some models, each with its adapters.
fn declare(path: &Path, models: usize) -> Result<()> {
    fs::create_dir_all(path.join("teams"))?;
    let mut platform =
        "[platform]\nname = measured\n[domain north]\nregion = demo\n[kind engine]\n\
        role = model\nfencing = honoured\naccess = checked\n[service chat]\nkind = engine\n"
            .to_owned();
    for team in 0..TEAMS {
        let digest = format!("{team:0>64}");
        writeln!(
            platform,
            "[team team-{team}]\ntoken-sha256 = {digest}\nshare = 1"
        )?;
        let mut text = "[policy]\nname = marginal\n[objective chat]\ndeadline = 20s\n\
            first-token = 390ms\nattainment = 0.95\nwindow = 28d\n"
            .to_owned();
        for model in (team..models).step_by(TEAMS) {
            writeln!(
                text,
                "[model model-{model:04}]\nservice = chat\nversion = 7\nmemory = 14GiB\n\
                 objective = chat\ncopies = 2\npriority = 5"
            )?;
            for adapter in 0..ADAPTERS_PER_MODEL {
                writeln!(
                    text,
                    "[adapter adapter-{model:04}-{adapter}]\nmodel = model-{model:04}\n\
                     version = 3\nmemory = 300MiB"
                )?;
            }
        }
        fs::write(path.join(format!("teams/team-{team}.ini")), text)?;
    }
    fs::write(path.join("platform.ini"), platform)?;
    Ok(())
}

fn write_to(state: &mut State, scope: &Scope, changes: Vec<Change>) {
    let write = Write {
        scope: scope.clone(),
        id: id::Write::generate(),
        base: state.tree().scope_revision(scope),
        changes,
    };
    state.apply(id::Index(1), LogTime(unix_millis()), &Command::Write(write));
}

/// Applies the declarations in writes of at most 1,000 changes and returns the number of changes.
fn apply(state: &mut State, folder: &Folder) -> usize {
    let mut count = 0;
    for (scope, values) in &folder.scopes {
        let scope = match scope {
            folder::Scope::Platform => Scope::Platform,
            folder::Scope::Team(team) => Scope::Team(team.clone()),
        };
        let change = |(path, value): (&String, &String)| Change {
            path: path.clone(),
            value: Some(value.clone()),
        };
        let changes: Vec<Change> = values.iter().map(change).collect();
        count += changes.len();
        for changes in changes.chunks(1000) {
            write_to(state, &scope, changes.to_vec());
        }
    }
    count
}

fn settings_at(kept_alive: &mut Vec<Current>, models: usize) -> Result<[f64; 5]> {
    let path = tempfile::tempdir()?;
    declare(path.path(), models)?;
    let folder = Folder::read(path.path()).map_err(|_| "declarations are refused")?;
    let mut state = State::default();
    let values = apply(&mut state, &folder);
    let before = state.tree().revision();
    let change = Change {
        path: "models/model-0000/version".to_owned(),
        value: Some("8".to_owned()),
    };
    write_to(&mut state, &Scope::Team("team-0".parse()?), vec![change]);
    let tree = state.tree().clone();
    let size = |update| serde_json::to_string(&Response::Followed(update)).map(|text| text.len());
    let delta = size(tree.changes_since(before))?;
    let all = size(tree.changes_since(id::Revision(0)))?;
    let start = resident();
    let copies = KEPT_MODELS / models;
    let first = kept_alive.len();
    for _ in 0..copies {
        let current = Current::default();
        current.advance(&tree);
        kept_alive.push(current);
    }
    let memory = (resident() - start) / copies as f64;
    let build = mean_cpu_micros(|| {
        let current = Current::default();
        current.advance(&tree);
        black_box(current.get());
        Ok(())
    })? / 1e3;
    let copy = mean_cpu_micros(|| {
        black_box(tree.clone());
        Ok(())
    })? / 1e3;
    let names = kept_alive[first].get().catalog.models.len();
    println!(
        "  {models} models, {values} values, {names} names: snapshot {build:.2} ms and {memory:.0} \
         bytes, copy of the tree {copy:.2} ms, delta {delta} bytes, all {all} bytes"
    );
    Ok([models as f64, build, memory, delta as f64, all as f64])
}

fn settings() -> Result<()> {
    println!("settings, {ADAPTERS_PER_MODEL} adapters a model");
    // Freed memory would be reused without being counted.
    let mut kept_alive = Vec::new();
    let mut rows = Vec::new();
    for models in [30, 200, 820] {
        rows.push(settings_at(&mut kept_alive, models)?);
    }
    print_fit("snapshot ms, x = models", &rows, 1);
    print_fit("snapshot bytes, x = models", &rows, 2);
    print_fit("bytes of all, x = models", &rows, 4);
    Ok(())
}

/// Applies a claim and its outcome at the given log time.
fn run_at(state: &mut State, at: LogTime, index: usize, body: usize) -> Result<()> {
    let mut random = [0; 10];
    random[..8].copy_from_slice(
        &(index as u64)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .to_le_bytes(),
    );
    let id = Id {
        key: id::Key(uuid::Builder::from_unix_timestamp_millis(at.0, &random).into_uuid()),
        service: "plant-ledger".parse()?,
    };
    let request = id::Request::generate();
    let claim = Claim {
        id: id.clone(),
        owner: "macon-a-1".parse()?,
        request,
        fingerprint: Fingerprint(index as u128 | 1 << 127),
    };
    let outcome = Outcome {
        status: 200,
        content_type: "application/json".to_owned(),
        body: Some(vec![b'x'; body]),
    };
    let complete = Complete {
        id,
        request,
        outcome,
    };
    let index = id::Index(index as u64);
    state.apply(index, at, &Command::Claim(claim));
    state.apply(index, at, &Command::Complete(complete));
    Ok(())
}

fn claims_at(kept_alive: &mut Vec<State>, count: usize, body: usize) -> Result<[f64; 4]> {
    let start = resident();
    let mut state = State::default();
    let begin = Instant::now();
    // Keys are spread over 24 h, as under a steady rate.
    let first = unix_millis() - RETENTION_MILLIS;
    for index in 0..count {
        let at = LogTime(first + index as u64 * RETENTION_MILLIS / count as u64);
        run_at(&mut state, at, index, body)?;
    }
    let each = begin.elapsed().as_secs_f64() * 1e6 / count as f64;
    let memory = resident() - start;
    let mut bytes = 0;
    let snapshot = mean_cpu_micros(|| {
        bytes = black_box(state.snapshot()).len();
        Ok(())
    })? / 1e3;
    let encoded = state.snapshot();
    let restore = mean_cpu_micros(|| {
        let mut copy = State::default();
        copy.restore(&encoded)?;
        black_box(copy);
        Ok(())
    })? / 1e3;
    drop(encoded);
    let content = Content {
        position: Position::default(),
        at: LogTime(0),
        voters_at: Position::default(),
        voters: Vec::new(),
        machine: state.snapshot(),
    };
    let wrap = mean_cpu_micros(|| {
        black_box(content.encode());
        Ok(())
    })? / 1e3;
    let later = LogTime(unix_millis() + 2 * RETENTION_MILLIS);
    let mut old = state.clone();
    let begin_purge = Instant::now();
    run_at(&mut old, later, count, 0)?;
    let purge = begin_purge.elapsed().as_secs_f64() * 1e3;
    drop(old);
    let (retained, counted) = (state.claims().len(), state.claims().bytes());
    println!(
        "  {retained} of {count} kept: {counted} bytes counted, {memory:.0} resident, snapshot {bytes} \
         bytes in {snapshot:.2} ms, wrapped for the log in {wrap:.2} ms, restored in {restore:.2} ms, \
         {each:.2} us to apply claim and outcome, all purged at once in {purge:.1} ms, highest \
         resident so far {:.0} MB",
        memory_status("VmHWM:") / 1e6
    );
    kept_alive.push(state);
    Ok([retained as f64, memory, bytes as f64, snapshot])
}

fn claims() -> Result<()> {
    // Freed memory would be reused without being counted.
    let mut kept_alive = Vec::new();
    for body in [0, 200] {
        println!("claims, outcome with a body of {body} bytes");
        let mut rows = Vec::new();
        for count in [60_000, 400_000, 1_439_000] {
            rows.push(claims_at(&mut kept_alive, count, body)?);
        }
        print_fit("resident bytes, x = claims", &rows, 1);
        print_fit("snapshot bytes, x = claims", &rows, 2);
        print_fit("snapshot ms, x = claims", &rows, 3);
    }
    Ok(())
}

/// Measures snapshots of full claims, taken while the previous one is still in memory, like in the driver of the log.
fn peak() -> Result<()> {
    let mut state = State::default();
    let (start, count) = (resident(), 1_439_000);
    let first = unix_millis() - RETENTION_MILLIS;
    for index in 0..count {
        let at = LogTime(first + index as u64 * RETENTION_MILLIS / count as u64);
        run_at(&mut state, at, index, 200)?;
    }
    println!(
        "{} claims, bodies of 200 bytes: {:.0} MB",
        state.claims().len(),
        (resident() - start) / 1e6
    );
    let mut last = None;
    for _ in 0..3 {
        let begin = Instant::now();
        let machine = state.snapshot();
        let under_lock = begin.elapsed().as_secs_f64() * 1e3;
        let content = Content {
            position: Position::default(),
            at: LogTime(0),
            voters_at: Position::default(),
            voters: Vec::new(),
            machine,
        };
        last = content.encode();
        println!(
            "  snapshot {under_lock:.1} ms under the lock, {:.1} ms in all; {:.0} MB resident, {:.0} \
             MB at most",
            begin.elapsed().as_secs_f64() * 1e3,
            resident() / 1e6,
            memory_status("VmHWM:") / 1e6
        );
    }
    black_box(last);
    Ok(())
}

fn main() -> Result<()> {
    println!("load {}", fs::read_to_string("/proc/loadavg")?.trim());
    for part in std::env::args().skip(1) {
        match part.as_str() {
            "reports" => reports()?,
            "demand" => demand()?,
            "settings" => settings()?,
            "claims" => claims()?,
            "peak" => peak()?,
            _ => return Err("usage: capacity [reports|demand|settings|claims|peak]...".into()),
        }
    }
    Ok(())
}
