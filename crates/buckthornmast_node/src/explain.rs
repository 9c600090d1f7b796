//! Explanations of decisions for operators, beside the metrics: `GET /explain`.

use buckthornmast_forward::explain::{Fault, Query};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use serde::Serialize;

use crate::{
    entry::Entry,
    http::{Handler, empty_response},
    observe::Metrics,
    platform::Platform,
};

/// Path of explanations.
const PATH: &str = "/explain";

/// Server of the metrics of an entry instance, and of explanations of its decisions.
pub struct Explainer<P: Platform> {
    /// Metrics.
    pub metrics: Metrics,
    /// Instance.
    pub entry: std::rc::Rc<Entry<P>>,
}

/// Description of a fault, in the form that the operators' ports use.
#[derive(Debug, Serialize)]
struct Problem {
    title: &'static str,
    detail: String,
}

impl<P: Platform> Handler for Explainer<P> {
    async fn answer(&self, request: Request<Bytes>) -> Response<Bytes> {
        if request.uri().path() != PATH {
            return self.metrics.answer(request).await;
        }
        if request.method() != Method::GET {
            return empty_response(StatusCode::METHOD_NOT_ALLOWED);
        }
        let query = Query::parse(request.uri().query().unwrap_or_default());
        let explanation = query.and_then(|query| self.entry.forwarder.explain(&query));
        match explanation {
            Ok(explanation) => json_response(StatusCode::OK, &explanation),
            Err(fault) => {
                let status = match &fault {
                    Fault::NoRoute { .. } | Fault::UnknownOrganisation { .. } => {
                        StatusCode::NOT_FOUND
                    }
                    _ => StatusCode::BAD_REQUEST,
                };
                let problem = Problem {
                    title: "the request can't be explained",
                    detail: fault.to_string(),
                };
                json_response(status, &problem)
            }
        }
    }
}

fn json_response(status: StatusCode, body: &impl Serialize) -> Response<Bytes> {
    match serde_json::to_vec(body) {
        Ok(body) => {
            let mut response = Response::new(Bytes::from(body));
            *response.status_mut() = status;
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            response
        }
        Err(error) => {
            log::warn!(step = "explain"; "encoding an explanation failed: {error}");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
