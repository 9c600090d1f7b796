//! Bodies of streams.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use buckthornmast_forward::body::{Body, Part};
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

/// Guards against a stream that looks complete because the task that forwards it has ended early.
#[tokio::test]
async fn end_without_sender() {
    for is_complete in [false, true] {
        let (sender, parts) = mpsc::channel(2);
        sender.send(Part::Events(Bytes::from("e1"))).await.unwrap();
        if is_complete {
            sender.send(Part::End).await.unwrap();
        }
        drop(sender);
        let body = Body::Events(parts).collect().await;
        assert_eq!(body.is_ok(), is_complete);
    }
}
