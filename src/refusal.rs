//! Refusals: responses of the instance itself, instead of an upstream's response.

use crate::message;
use crate::outcome;
use http_types::{Response, StatusCode, mime};
use serde::Serialize;
use std::io;
use std::time::Duration;
use thiserror::Error;

/// Why the instance responds itself instead of passing on an upstream's response.
#[derive(Debug, Error)]
pub enum RefusalKind {
    #[error("request cannot be read: {0}")]
    BadMessage(message::MessageError),
    #[error("request body is incomplete: {0}; send the whole body")]
    TruncatedBody(io::Error),
    #[error("header \"{0}\" is missing; name it on every request")]
    MissingHeader(&'static str),
    #[error(
        "service \"{service}\" of team \"{team}\" does not exist; see the team's configuration"
    )]
    UnknownService { team: String, service: String },
    #[error("header \"{0}\" is not a whole number of milliseconds; correct it")]
    BadTimeout(&'static str),
    #[error("key had no owner within {} ms; send the request again", .0.as_millis())]
    NoOwner(Duration),
    #[error("upstreams are at their limit; send the request again later")]
    Overloaded,
    #[error("upstream did not take the request: {0}; send the request again")]
    Unreachable(message::MessageError),
    #[error("upstream's answer is missing: {0}; ask the service whether the request ran")]
    LostResponse(message::MessageError),
    #[error("upstream did not answer within {} ms; ask the service whether the request ran", .0.as_millis())]
    Timeout(Duration),
    #[error("instance holds too many waiting requests; send the request to another instance")]
    TooManyQueued,
}

impl RefusalKind {
    /// Returns whether the request may have run at an upstream.
    pub fn outcome(&self) -> outcome::Outcome {
        match self {
            RefusalKind::LostResponse(_) | RefusalKind::Timeout(_) => outcome::Outcome::Unknown,
            _ => outcome::Outcome::NotRun,
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            RefusalKind::BadMessage(message::MessageError::HeadTooLarge) => {
                StatusCode::RequestHeaderFieldsTooLarge
            }
            RefusalKind::BadMessage(_)
            | RefusalKind::TruncatedBody(_)
            | RefusalKind::MissingHeader(_)
            | RefusalKind::BadTimeout(_) => StatusCode::BadRequest,
            RefusalKind::UnknownService { .. } => StatusCode::NotFound,
            RefusalKind::NoOwner(_)
            | RefusalKind::Overloaded
            | RefusalKind::TooManyQueued
            | RefusalKind::Unreachable(_) => StatusCode::ServiceUnavailable,
            RefusalKind::LostResponse(_) => StatusCode::BadGateway,
            RefusalKind::Timeout(_) => StatusCode::GatewayTimeout,
        }
    }

    /// Returns the response for the caller.
    pub fn response(&self) -> Response {
        let mut response = Response::new(self.status());
        response.insert_header(outcome::OUTCOME_HEADER, self.outcome().as_str());
        let body = RefusalBody {
            outcome: self.outcome().as_str(),
            error: self.to_string(),
        };
        let text = serde_json::to_string(&body).expect("strings always encode");
        response.set_body(text + "\n");
        response.set_content_type(mime::JSON);
        response
    }
}

#[derive(Serialize)]
struct RefusalBody {
    outcome: &'static str,
    error: String,
}
