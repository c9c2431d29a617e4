//! Names of the header fields that the platform's callers and upstreams use.

/// Names of the header fields that the request path reads or writes.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// ID of a request; a caller's retry has another one. Upstreams copy it to the response.
    pub request_id: &'static str,
    /// Time left until the request's deadline, in milliseconds.
    pub time_left_ms: &'static str,
    /// ID of the upstream that a request is meant for; any other refuses it.
    pub expected_upstream: &'static str,
    /// ID of the upstream that responds.
    pub responding_upstream: &'static str,
    /// Present in a response if the request did not run.
    pub not_run: &'static str,
    /// Requests per second that the upstream takes from all instances together, if it
    /// limits them.
    pub request_rate: &'static str,
    /// Has the value `1` in all responses of an upstream that leaves.
    pub leaving: &'static str,
    /// Key of a request to a keyed service.
    pub key: &'static str,
}
