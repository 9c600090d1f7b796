//! Metrics as text.

use std::io;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::http::{Handler, status};

/// Upper ends of the buckets of latencies, in seconds.
const BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 12.0,
];

/// Recorder of this process.
#[derive(Debug, Clone)]
pub struct Metrics {
    handle: PrometheusHandle,
}

impl Metrics {
    /// Installs the recorder of this process.
    pub fn install() -> io::Result<Self> {
        let builder = PrometheusBuilder::new().set_buckets(&BUCKETS);
        let handle = builder.and_then(PrometheusBuilder::install_recorder);
        let handle = handle.map_err(io::Error::other)?;
        Ok(Self { handle })
    }
}

impl Handler for Metrics {
    async fn answer(&self, request: Request<Bytes>) -> Response<Bytes> {
        if request.uri().path() != "/metrics" {
            return status(StatusCode::NOT_FOUND);
        }
        Response::new(Bytes::from(self.handle.render()))
    }
}
