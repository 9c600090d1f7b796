//! Metrics in the text format of Prometheus.

use std::{cell::Cell, io};

use buckthornmast_consensus::prelude::Status;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::http::{Handler, empty_response};

/// Upper bounds of the latency buckets, in seconds.
const BUCKET_BOUNDS_SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 12.0,
];

/// Metrics recorder of this process.
#[derive(Debug, Clone)]
pub struct Metrics {
    handle: PrometheusHandle,
}

impl Metrics {
    /// Installs the metrics recorder of this process.
    pub fn install() -> io::Result<Self> {
        let builder = PrometheusBuilder::new().set_buckets(&BUCKET_BOUNDS_SECONDS);
        let handle = builder.and_then(PrometheusBuilder::install_recorder);
        let handle = handle.map_err(io::Error::other)?;
        Ok(Self { handle })
    }
}

impl Handler for Metrics {
    async fn answer(&self, request: Request<Bytes>) -> Response<Bytes> {
        if request.uri().path() != "/metrics" {
            return empty_response(StatusCode::NOT_FOUND);
        }
        Response::new(Bytes::from(self.handle.render()))
    }
}

/// Publishes the state of the replica of the log as metrics.
#[derive(Debug, Default)]
pub struct ReplicaGauge {
    // Refused writes of the replica when it was last published. A replica that was opened again starts at zero.
    refused: Cell<u64>,
}

impl ReplicaGauge {
    /// Publishes a status, and returns the number of writes that were refused since the last one.
    pub fn publish(&self, status: &Status, leads: bool) -> u64 {
        let refused = status.refused_writes;
        let last = self.refused.replace(refused);
        let increase = refused.checked_sub(last).unwrap_or(refused);
        metrics::counter!("buckthornmast_refused_writes_total", "file" => "log")
            .increment(increase);
        metrics::gauge!("buckthornmast_writes_refused")
            .set(f64::from(u8::from(status.refusal.is_some())));
        metrics::gauge!("buckthornmast_leads").set(f64::from(u8::from(leads)));
        increase
    }
}
