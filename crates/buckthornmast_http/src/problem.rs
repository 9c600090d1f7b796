//! Problem details of RFC 9457.

use std::time::Duration;

use buckthornmast_types::prelude::*;
use serde::Serialize;

use crate::response::Response;

/// Error answer with the members that callers of this system rely on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Status code.
    pub status: u16,
    /// Short summary, identical for all problems of a kind.
    pub title: String,
    /// Explanation of this occurrence.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Step of the request path that failed.
    pub step: String,
    /// Whether the request was run.
    #[serde(rename = "run")]
    pub execution: Execution,
    /// Id of the request, if one has been assigned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<id::Request>,
    /// Time after which a client may retry; sent as `Retry-After`.
    #[serde(skip)]
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Returns a problem of a request that was not run.
    pub fn new(status: u16, title: impl Into<String>, step: impl Into<String>) -> Self {
        Self {
            status,
            title: title.into(),
            detail: None,
            step: step.into(),
            execution: Execution::No,
            request: None,
            retry_after: None,
        }
    }

    /// Sets the explanation.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Sets whether the request was run.
    #[must_use]
    pub fn execution(mut self, execution: Execution) -> Self {
        self.execution = execution;
        self
    }

    /// Sets the id of the request.
    #[must_use]
    pub fn request(mut self, request: id::Request) -> Self {
        self.request = Some(request);
        self
    }

    /// Sets the time after which a client may retry.
    #[must_use]
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Returns the JSON text, which is also sent as the error event of a stream.
    pub fn to_json(&self) -> String {
        // Strings, numbers and unit variants always serialise.
        serde_json::to_string(self).unwrap_or_default()
    }
}

impl From<Problem> for Response {
    fn from(problem: Problem) -> Self {
        let response = Self::new(problem.status)
            .header("Content-Type", "application/problem+json")
            .body(problem.to_json());
        match problem.retry_after {
            // The header has whole seconds (RFC 9110), so the span is rounded up and at least 1 s.
            Some(span) => {
                let seconds = span.as_millis().div_ceil(1000).max(1);
                response.header("Retry-After", seconds.to_string())
            }
            None => response,
        }
    }
}
