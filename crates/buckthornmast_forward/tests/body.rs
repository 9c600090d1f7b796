//! Bodies of streams.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use buckthornmast_forward::{
    body::{self, Body},
    memory::Memory,
};
use bytes::Bytes;
use http_body_util::BodyExt;

/// Guards against a stream that looks complete because the task that forwards it has ended early.
#[tokio::test]
async fn end_without_sender() {
    for is_complete in [false, true] {
        let (sender, parts) = body::channel(&Memory::default());
        sender.send(Bytes::from("e1")).await.unwrap();
        if is_complete {
            sender.end().await.unwrap();
        } else {
            drop(sender);
        }
        let body = Body::Parts(parts).collect().await;
        assert_eq!(body.is_ok(), is_complete);
    }
}
