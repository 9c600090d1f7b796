//! Server side of a TCP connection that counts bytes and records when the last one was received.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::stats;

/// Time of the last received byte.
#[derive(Debug, Clone)]
pub(crate) struct Activity {
    start: Instant,
    /// Time from `start` to the last received byte.
    last_received_ms: Arc<AtomicU64>,
}

impl Activity {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            last_received_ms: Arc::default(),
        }
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn record_received(&self) {
        self.last_received_ms
            .store(self.elapsed_ms(), Ordering::Relaxed);
    }

    /// Waits until no byte has been received for this long.
    pub(crate) async fn wait_until_idle(&self, timeout: Duration) {
        loop {
            let last = Duration::from_millis(self.last_received_ms.load(Ordering::Relaxed));
            let idle = self.start.elapsed().saturating_sub(last);
            if idle >= timeout {
                return;
            }
            tokio::time::sleep(timeout - idle).await;
        }
    }
}

/// TCP connection that counts its bytes.
pub(crate) struct CountedStream {
    stream: TcpStream,
    activity: Activity,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            activity: Activity::new(),
        }
    }

    pub(crate) fn activity(&self) -> Activity {
        self.activity.clone()
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        if received > 0 {
            self.activity.record_received();
            stats::count_socket("received", received);
        }
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(sent)) = result {
            stats::count_socket("sent", sent);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
