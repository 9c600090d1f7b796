//! Bounded queue of lines in front of a slow output.
//!
//! A line is dropped, and counted, when the queue is full or when more lines come in a second than the bound
//! allows. The thread that writes says with its next line how many were dropped.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Lines that wait for the output at the most.
const MAX_WAITING: usize = 4096;

/// Pause between two writes, so that many lines share one system call.
const PAUSE: Duration = Duration::from_millis(100);

/// Bounds of a queue.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Lines a second over a longer time.
    pub per_second: u32,
    /// Lines at once.
    pub burst: u32,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            per_second: 400,
            burst: 2000,
        }
    }
}

/// Input of a queue.
#[derive(Debug)]
pub struct Queue {
    lines: flume::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    bounds: Bounds,
    tokens: f64,
    at: Instant,
}

/// Running thread. Dropping it writes what waits and joins the thread.
#[derive(Debug)]
pub struct Handle {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Queue {
    /// Starts the thread that writes.
    pub fn start(bounds: Bounds, out: impl Write + Send + 'static) -> io::Result<(Self, Handle)> {
        let (lines, waiting) = flume::bounded(MAX_WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let writer = Writer {
            waiting,
            dropped: Arc::clone(&dropped),
            stop: Arc::clone(&stop),
            out,
        };
        let thread = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run())?;
        let queue = Self {
            lines,
            dropped,
            bounds,
            tokens: f64::from(bounds.burst),
            at: Instant::now(),
        };
        let handle = Handle {
            stop,
            thread: Some(thread),
        };
        Ok((queue, handle))
    }

    fn take_token(&mut self) -> bool {
        let now = Instant::now();
        let earned = now.duration_since(self.at).as_secs_f64() * f64::from(self.bounds.per_second);
        self.at = now;
        self.tokens = (self.tokens + earned).min(f64::from(self.bounds.burst));
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let is_queued = self.take_token() && self.lines.try_send(line.to_vec()).is_ok();
        if !is_queued {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("buckthornmast_log_lines_dropped_total").increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Writer<W> {
    waiting: flume::Receiver<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    out: W,
}

impl<W: Write> Writer<W> {
    fn run(mut self) {
        let mut told = 0;
        while let Ok(first) = self.waiting.recv() {
            let mut buffer = first;
            for line in self.waiting.try_iter() {
                buffer.extend_from_slice(&line);
            }
            let dropped = self.dropped.load(Ordering::Relaxed);
            if dropped > told {
                let note = format!(
                    "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\"lines\":{}}}\n",
                    dropped - told
                );
                buffer.extend_from_slice(note.as_bytes());
                told = dropped;
            }
            // Without an output there is no place left to say so.
            let _ = self.out.write_all(&buffer);
            let _ = self.out.flush();
            if self.stop.load(Ordering::Acquire) {
                return;
            }
            thread::sleep(PAUSE);
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        // The thread may wait for a line.
        log::info!(step = "stop"; "log ends");
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
