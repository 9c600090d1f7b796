//! Exchange of one sealed request and its answer over one connection.

use std::time::Duration;

use jsonrpsee::{
    core::client::{ClientT, Error},
    rpc_params,
};
use serde::de::DeserializeOwned;
use snafu::Snafu;

use buckthornmast_types::id;
use buckthornmast_wire::{
    key::Key,
    sealed::{self, Sealed},
};

use crate::{
    message::{Answer, METHOD, UNAUTHENTICATED_CODE},
    pool::Connection,
};

/// Error of an exchange without an authenticated answer.
#[derive(Debug, Snafu)]
pub(crate) enum ExchangeError {
    /// No connection was established, so nothing was sent.
    #[snafu(display("connecting failed: {detail}"))]
    Connect { detail: String },
    /// No answer arrived over the connection in time.
    #[snafu(display("no answer within {limit:?}"))]
    Timeout { limit: Duration },
    /// The connection failed.
    #[snafu(display("the connection failed: {detail}"))]
    Transport { detail: String },
    /// The peer could not authenticate the frame.
    #[snafu(display("the peer refused the frame: {detail}"))]
    Unauthenticated { detail: String },
    /// The answer could not be authenticated or decoded, or is an error.
    #[snafu(display("the exchange failed: {detail}"))]
    Answer { detail: String },
}

/// Returns whether an error occurred before anything could be sent.
fn is_connect_error(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        // The error type of the HTTP client is not re-exported, but its text identifies this step.
        if error.to_string() == "client error (Connect)" {
            return true;
        }
        cause = error.source();
    }
    false
}

fn classify(error: Error) -> ExchangeError {
    let detail = error.to_string();
    match error {
        Error::Call(object) if object.code() == UNAUTHENTICATED_CODE => {
            ExchangeError::Unauthenticated { detail }
        }
        Error::Transport(cause) if is_connect_error(&*cause) => ExchangeError::Connect { detail },
        Error::Call(_) | Error::ParseError(_) => ExchangeError::Answer { detail },
        _ => ExchangeError::Transport { detail },
    }
}

/// Sends a request and returns the verified answer and the length of its body.
pub(crate) async fn exchange<R: DeserializeOwned>(
    connection: &Connection,
    key: &Key,
    peer: &id::Instance,
    request: &Sealed,
    limit: Duration,
) -> Result<(Answer<R>, usize), ExchangeError> {
    let sending = connection
        .http
        .request::<Sealed, _>(METHOD, rpc_params![request]);
    let answer = match tokio::time::timeout(limit, sending).await {
        Ok(answer) => answer.map_err(classify)?,
        Err(_) => return TimeoutSnafu { limit }.fail(),
    };
    let answer_error = |detail: String| ExchangeError::Answer { detail };
    let body = sealed::open_answer(key, peer, request.nonce, &answer)
        .map_err(|error| answer_error(error.to_string()))?;
    let parsed = serde_json::from_str(body).map_err(|error| answer_error(error.to_string()))?;
    Ok((parsed, body.len()))
}
