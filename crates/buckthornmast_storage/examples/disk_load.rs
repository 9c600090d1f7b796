//! Puts load on a disk for a bounded time: writes blocks, syncs after each, and reports the time of the syncs.
//!
//! `cargo run --release -p buckthornmast_storage --example disk_load -- [FOLDER] [SECONDS] [WRITERS]`; the defaults are
//! `target`, 30 s (at most 120) and 2 writers (at most 8).
//!
//! Prints the number of syncs, each after a block of 8 MiB, and the median, the p99 and the longest of their times.

use std::{
    fs::OpenOptions,
    io::{self, Seek, SeekFrom, Write},
    path::Path,
    thread,
    time::{Duration, Instant},
};

const BLOCK_BYTES: usize = 8 << 20;
/// Blocks of a file, which is overwritten again and again so that the load doesn't fill the disk.
const BLOCKS_PER_FILE: u64 = 16;

fn write(path: &Path, until: Instant) -> io::Result<Vec<Duration>> {
    let mut options = OpenOptions::new();
    let mut file = options.create(true).write(true).truncate(true).open(path)?;
    let block = vec![0x5a; BLOCK_BYTES];
    let mut sync_times = Vec::new();
    let mut round = 0;
    while Instant::now() < until {
        file.seek(SeekFrom::Start(
            round % BLOCKS_PER_FILE * BLOCK_BYTES as u64,
        ))?;
        file.write_all(&block)?;
        let start = Instant::now();
        file.sync_data()?;
        sync_times.push(start.elapsed());
        round += 1;
    }
    std::fs::remove_file(path)?;
    Ok(sync_times)
}

fn main() -> io::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let folder = arguments.next().unwrap_or_else(|| "target".to_owned());
    let mut number = |default: u64, max: u64| {
        let number = arguments.next().and_then(|text| text.parse().ok());
        number.unwrap_or(default).min(max)
    };
    let until = Instant::now() + Duration::from_secs(number(30, 120));
    let writers = number(2, 8);
    let threads: Vec<_> = (0..writers)
        .map(|n| {
            let path = Path::new(&folder).join(format!("load-{n}"));
            thread::spawn(move || write(&path, until))
        })
        .collect();
    let mut sync_times = Vec::new();
    for thread in threads {
        let of_writer = thread.join().map_err(|_| io::Error::other("panic"))??;
        sync_times.extend(of_writer);
    }
    sync_times.sort();
    let Some(last) = sync_times.len().checked_sub(1) else {
        return Ok(());
    };
    println!(
        "{} syncs of 8 MiB, p50 {:.1?}, p99 {:.1?}, max {:.1?}",
        sync_times.len(),
        sync_times[last / 2],
        sync_times[last * 99 / 100],
        sync_times[last]
    );
    Ok(())
}
