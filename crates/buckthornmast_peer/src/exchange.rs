//! One sealed request and its answer over one connection.

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
    lane::Lane,
    message::{Answer, METHOD, UNAUTHENTICATED},
};

/// Reason why an exchange has no believed answer.
#[derive(Debug, Snafu)]
pub(crate) enum ExchangeError {
    /// No connection was established, so nothing was sent.
    #[snafu(display("{detail}"))]
    Connect { detail: String },
    /// The connection gave no answer in time.
    #[snafu(display("no answer within {limit:?}"))]
    Silent { limit: Duration },
    /// The connection failed.
    #[snafu(display("{detail}"))]
    Transport { detail: String },
    /// The peer did not believe the frame.
    #[snafu(display("the peer refused the frame: {detail}"))]
    Unauthenticated { detail: String },
    /// The answer is not believed or not understood.
    #[snafu(display("{detail}"))]
    Answer { detail: String },
}

/// Returns whether an error happened before anything could be sent.
fn is_connect(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        // The error type of the HTTP client is not re-exported, but its text names this step.
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
        Error::Call(object) if object.code() == UNAUTHENTICATED => {
            ExchangeError::Unauthenticated { detail }
        }
        Error::Transport(cause) if is_connect(&*cause) => ExchangeError::Connect { detail },
        Error::Call(_) | Error::ParseError(_) => ExchangeError::Answer { detail },
        _ => ExchangeError::Transport { detail },
    }
}

/// Sends a request and returns the verified answer and the length of its body.
pub(crate) async fn exchange<R: DeserializeOwned>(
    lane: &Lane,
    key: &Key,
    peer: &id::Instance,
    request: &Sealed,
    limit: Duration,
) -> Result<(Answer<R>, usize), ExchangeError> {
    let sending = lane.http.request::<Sealed, _>(METHOD, rpc_params![request]);
    let answer = match tokio::time::timeout(limit, sending).await {
        Ok(answer) => answer.map_err(classify)?,
        Err(_) => return SilentSnafu { limit }.fail(),
    };
    let refuse = |detail: String| ExchangeError::Answer { detail };
    let body = sealed::open_answer(key, peer, request.nonce, &answer)
        .map_err(|error| refuse(error.to_string()))?;
    let parsed = serde_json::from_str(body).map_err(|error| refuse(error.to_string()))?;
    Ok((parsed, body.len()))
}
