//! Names of the header fields that a site's callers and upstreams use.

/// Header fields with a meaning to the request path.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identity of one attempt of a caller; upstreams repeat it in their answer.
    pub request_id: &'static str,
    /// Time that is left to a request, in milliseconds.
    pub time_left_ms: &'static str,
    /// Upstream that a request is meant for; any other refuses it.
    pub expected_upstream: &'static str,
    /// Upstream that answers.
    pub responding_upstream: &'static str,
    /// Present in an answer if the request did not run.
    pub not_run: &'static str,
    /// Key of a request to a service whose keys are owned.
    pub key: &'static str,
}
