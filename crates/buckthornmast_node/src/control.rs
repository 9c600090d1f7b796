//! HTTP calls of targets and operators.

use std::rc::Rc;

use buckthornmast_consensus::prelude::{ConfirmError, ProposeError};
use buckthornmast_fleet::{
    announcement::{Announcement, State},
    registry::{Merge, Update},
};
use buckthornmast_routes::{
    document::Document,
    register::{Answer, Command, Text},
};
use buckthornmast_types::id;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};

use crate::{
    core::Core,
    http::{Handler, empty_response},
    platform::{Call, Platform},
    replica::MAX_DOCUMENT_BYTES,
};

/// Handler of the calls of targets and operators.
pub struct Control<P>(pub Rc<Core<P>>);

fn json(body: impl Into<Bytes>) -> Response<Bytes> {
    let mut response = Response::new(body.into());
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

fn error_response(code: StatusCode, reason: &str) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(format!("{reason}\n")));
    *response.status_mut() = code;
    response
}

/// Returns the answer to a call whose body exceeds the largest document.
fn refuse_too_large(path: &str, bytes: usize) -> Response<Bytes> {
    log::warn!(step = "control", path:% = path, bytes = bytes; "call refused: its body is too large");
    let reason =
        format!("the document has {bytes} bytes, at most {MAX_DOCUMENT_BYTES} are accepted");
    error_response(StatusCode::PAYLOAD_TOO_LARGE, &reason)
}

impl<P: Platform> Handler for Control<P> {
    async fn answer(&self, request: Request<Bytes>) -> Response<Bytes> {
        let path = request.uri().path().to_owned();
        let (parts, body) = request.into_parts();
        if body.len() > MAX_DOCUMENT_BYTES as usize {
            // Before it is decoded, which would hold up everything else.
            return refuse_too_large(&path, body.len());
        }
        match self.0.platform.decode_call(&parts.method, &path, &body) {
            Call::Announce(announcement) => self.announce(*announcement).await,
            Call::Withdraw(target) => self.withdraw(&target).await,
            Call::Publish(document) => self.publish(&document, &body, &path).await,
            Call::Read => self.read(&path).await,
            Call::Malformed(reason) => {
                metrics::counter!("buckthornmast_malformed_calls_total").increment(1);
                log::warn!(step = "control", path:% = path; "malformed call of a target or operator refused: {reason}");
                error_response(StatusCode::BAD_REQUEST, &reason)
            }
            Call::Unknown => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

impl<P: Platform> Control<P> {
    async fn announce(&self, announcement: Announcement) -> Response<Bytes> {
        if !self.0.has_service(&announcement.service) {
            log::warn!(step = "target", target:% = announcement.target, service:% = announcement.service; "announcement refused: the service is unknown");
            return error_response(StatusCode::BAD_REQUEST, "the service is unknown");
        }
        let leaves = announcement.state != State::Ready;
        let update = Update {
            announcement,
            withdrawn: false,
        };
        let merge = self.0.merge(update.clone(), true);
        // The target calls again after an answer that was lost or was an error, here or at another instance.
        if leaves && (merge == Merge::Changed || !self.0.is_departure_stored(&update)) {
            return self.replicate(update).await;
        }
        json("{}")
    }

    async fn withdraw(&self, target: &id::Target) -> Response<Bytes> {
        match self.0.withdraw(target) {
            Some(update) => self.replicate(update).await,
            // A target that was never announced here or elsewhere can't have been sent any work.
            None if self.0.knows_targets() => json("{}"),
            None => {
                log::warn!(step = "target", target:% = target; "withdrawal of a target that is not known yet, so soon after the start; answering its call with 503");
                error_response(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the targets are not known here yet",
                )
            }
        }
    }

    async fn replicate(&self, update: Update) -> Response<Bytes> {
        let target = update.announcement.target.clone();
        if self.0.replicate(update).await {
            return json("{}");
        }
        log::warn!(step = "target", target:% = target; "too few instances have stored that the target leaves; answering its call with 503");
        error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "not stored by enough instances yet",
        )
    }

    async fn publish(&self, document: &Document, body: &Bytes, path: &str) -> Response<Bytes> {
        let now = buckthornmast_types::time::Clock::now(&self.0.clock);
        if self.0.replica.leading_term(now).is_none() {
            return self.redirect(path);
        }
        let version = document.version;
        let known = self.0.replica.newest(None);
        let is_known = known.is_some_and(|known| {
            known.version > version || (known.version == version && *known.body == **body)
        });
        if is_known {
            // It needs no write, which a majority of the disks may refuse.
            log::info!(step = "publish", version = version.0; "call to publish routes that are known answered");
            return json("{}");
        }
        let text = Text {
            version,
            body: body.as_ref().into(),
        };
        let answer = self.0.replica.propose(Command::Publish(text)).await;
        log::info!(step = "publish", version = version.0, outcome:? = answer; "call to publish routes answered");
        match answer {
            Ok(Answer::Accepted { .. }) => {
                self.0.publish_routes();
                json("{}")
            }
            Ok(Answer::Conflict) => error_response(
                StatusCode::CONFLICT,
                "the version in force has other content",
            ),
            Err(ProposeError::NotLeader { .. }) => self.redirect(path),
            Err(error) => error_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        }
    }

    async fn read(&self, path: &str) -> Response<Bytes> {
        let now = buckthornmast_types::time::Clock::now(&self.0.clock);
        if self.0.replica.leading_term(now).is_none() {
            return self.redirect(path);
        }
        let confirmed = self.0.replica.confirm().await;
        match (confirmed, self.0.replica.newest(None)) {
            (Ok(()), Some(text)) => json(Bytes::copy_from_slice(&text.body)),
            (Ok(()), None) => error_response(StatusCode::SERVICE_UNAVAILABLE, "no routes yet"),
            (Err(ConfirmError::NotLeader { .. }), _) => self.redirect(path),
            (Err(error), _) => error_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        }
    }

    /// Redirects the caller to the leader, or answers 503 if none is known.
    fn redirect(&self, path: &str) -> Response<Bytes> {
        let Some(leader) = self.0.leader() else {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "no leader is known");
        };
        let mut response = empty_response(StatusCode::TEMPORARY_REDIRECT);
        let location = format!("http://{leader}{path}");
        if let Ok(location) = HeaderValue::from_str(&location) {
            response.headers_mut().insert(header::LOCATION, location);
        }
        response
    }
}
