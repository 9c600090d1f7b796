//! Server side of a connection: counts bytes and notes when the last one was received.

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
    millis: Arc<AtomicU64>,
}

impl Activity {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            millis: Arc::default(),
        }
    }

    fn millis(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn mark(&self) {
        self.millis.store(self.millis(), Ordering::Relaxed);
    }

    /// Returns once no byte was received for this long.
    pub(crate) async fn quiet(&self, limit: Duration) {
        loop {
            let last = Duration::from_millis(self.millis.load(Ordering::Relaxed));
            let silent = self.start.elapsed().saturating_sub(last);
            if silent >= limit {
                return;
            }
            tokio::time::sleep(limit - silent).await;
        }
    }
}

/// Counted TCP connection.
pub(crate) struct Counted {
    stream: TcpStream,
    activity: Activity,
}

impl Counted {
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

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        if received > 0 {
            self.activity.mark();
            stats::count_socket("received", received);
        }
        result
    }
}

impl AsyncWrite for Counted {
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
