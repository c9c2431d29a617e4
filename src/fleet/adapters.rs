//! Traits that a platform implements, beside [`store::MetadataStore`].

use crate::directory;
use crate::ownership::interface;
use crate::routing;
use crate::store;
use std::rc::Rc;

/// Content of a stored item that the platform's operators or upstreams wrote.
#[derive(Clone, Debug)]
pub enum DecodedItem {
    Config(Box<routing::RoutingConfig>),
    Upstream(Box<directory::UpstreamEntry>),
    /// A configuration or entry that cannot be used, and why.
    Unusable(String),
    /// An item that instances do not use.
    Other,
}

/// What a deleted key stood for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeletedKey<'a> {
    /// Entry of the upstream with this ID.
    Upstream(&'a str),
    Other,
}

/// Decoder of the keys and values that a platform keeps in the metadata store.
pub trait StoreSchema {
    fn decode(&self, item: &store::StoredItem) -> DecodedItem;

    fn classify_deleted<'a>(&self, key: &'a str) -> DeletedKey<'a>;
}

/// Condition that is checked just before a call is sent.
pub type CallGuard = Rc<dyn Fn() -> bool>;

/// Result of a grant or release call, and what its response says of the upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallResult<T> {
    pub result: T,
    /// Whether the upstream leaves.
    pub leaving: bool,
}

/// Calls by which an instance grants ranges to upstreams and asks former owners to
/// release them.
pub trait GrantClient {
    /// Grants a range or renews its grant; sends nothing if `guard` returns `false`.
    fn grant<'a>(
        &'a self,
        command: &'a interface::GrantCommand,
        guard: CallGuard,
    ) -> store::LocalBoxFuture<'a, CallResult<interface::GrantResult>>;

    /// Asks a former owner to release a range.
    fn release<'a>(
        &'a self,
        command: &'a interface::ReleaseCommand,
    ) -> store::LocalBoxFuture<'a, CallResult<interface::ReleaseResult>>;
}
