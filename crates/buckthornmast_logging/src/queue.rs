//! Bounded queue of lines in front of a slow output.
//!
//! A line is dropped and counted if the queue is full or the rate limit is exceeded. The thread that writes reports the
//! number of dropped lines after its next lines.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Maximum number of lines that wait for the output; further ones are dropped.
const MAX_QUEUED_LINES: usize = 4096;

/// Pause between two writes, so that many lines share one system call.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Rate limit of a queue.
#[derive(Debug, Clone, Copy)]
pub struct RateLimit {
    /// Lines per second in the long run.
    pub per_second: u32,
    /// Lines that may be written in one burst.
    pub burst: u32,
}

impl Default for RateLimit {
    fn default() -> Self {
        Self {
            per_second: 400,
            burst: 2000,
        }
    }
}

/// Sending end of a queue. Each write is one line.
#[derive(Debug)]
pub struct Queue {
    lines: flume::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    rate_limit: RateLimit,
    tokens: f64,
    refilled_at: Instant,
}

/// Running thread of a queue. Dropping it writes the queued lines and joins the thread, which blocks until the output
/// has accepted them.
#[derive(Debug)]
pub struct Handle {
    stop: Arc<AtomicBool>,
    // Wakes the thread, which the log filter and the rate limit could keep a log line from doing.
    wake: flume::Sender<Vec<u8>>,
    thread: Option<JoinHandle<()>>,
}

impl Queue {
    /// Starts the thread that writes the queued lines to an output.
    pub fn start(
        rate_limit: RateLimit,
        out: impl Write + Send + 'static,
    ) -> io::Result<(Self, Handle)> {
        let (lines, queued) = flume::bounded(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let writer = Writer {
            queued,
            dropped: Arc::clone(&dropped),
            stop: Arc::clone(&stop),
            out,
        };
        let thread = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run())?;
        let wake = lines.clone();
        let queue = Self {
            lines,
            dropped,
            rate_limit,
            tokens: f64::from(rate_limit.burst),
            refilled_at: Instant::now(),
        };
        let handle = Handle {
            stop,
            wake,
            thread: Some(thread),
        };
        Ok((queue, handle))
    }

    fn take_token(&mut self) -> bool {
        let now = Instant::now();
        let earned = now.duration_since(self.refilled_at).as_secs_f64()
            * f64::from(self.rate_limit.per_second);
        self.refilled_at = now;
        self.tokens = (self.tokens + earned).min(f64::from(self.rate_limit.burst));
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
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

/// State of the thread that writes.
struct Writer<W> {
    queued: flume::Receiver<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    out: W,
}

impl<W: Write> Writer<W> {
    fn run(mut self) {
        let mut reported = 0;
        while let Ok(first) = self.queued.recv() {
            let mut buffer = first;
            for line in self.queued.try_iter() {
                buffer.extend_from_slice(&line);
            }
            let dropped = self.dropped.load(Ordering::Relaxed);
            if dropped > reported {
                let report = format!(
                    "{{\"level\":\"WARN\",\"message\":\"log lines were dropped\",\"lines\":{}}}\n",
                    dropped - reported
                );
                buffer.extend_from_slice(report.as_bytes());
                reported = dropped;
            }
            // If the output fails, there is nowhere left to report the error.
            let _ = self.out.write_all(&buffer);
            let _ = self.out.flush();
            if self.stop.load(Ordering::Acquire) {
                return;
            }
            thread::sleep(WRITE_PAUSE);
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        // If the queue is full, the thread is not waiting for a line.
        let _ = self.wake.try_send(Vec::new());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
