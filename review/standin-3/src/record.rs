//! Record of what was sent, answered and run.

use std::{fs::File, io::Write, sync::Mutex, time::Instant};

/// File with one line for each event.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").expect("RECORD");
        Self {
            file: Mutex::new(File::create(path).expect("a record file")),
            start: Instant::now(),
        }
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: &str) {
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:8.3} {text}", self.start.elapsed().as_secs_f64());
        }
    }
}
