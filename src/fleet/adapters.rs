//! Ports of the control side.

use crate::directory;
use crate::ownership::interface;
use crate::routing;
use crate::store;
use std::rc::Rc;

/// Meaning of a stored item that a site's operators or upstreams wrote.
#[derive(Clone, Debug)]
pub enum DecodedItem {
    Config(Box<routing::RoutingConfig>),
    Upstream(Box<directory::UpstreamEntry>),
    /// An item of a known kind that cannot be used, and why.
    Unusable(String),
    /// An item that means nothing to an instance.
    Other,
}

/// Meaning of a key that vanished.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeletedKey<'a> {
    Upstream(&'a str),
    Other,
}

/// Translation of what a site keeps in its metadata store.
pub trait StoreSchema {
    /// Reads one stored item.
    fn decode(&self, item: &store::StoredItem) -> DecodedItem;

    /// Tells what a vanished key stood for.
    fn classify_deleted<'a>(&self, key: &'a str) -> DeletedKey<'a>;
}

/// Check made just before a call is sent.
pub type CallGuard = Rc<dyn Fn() -> bool>;

/// Calls to upstreams that grant and release keys.
pub trait GrantClient {
    /// Grants or renews a range, unless `guard` denies it when the call is sent.
    fn grant<'a>(
        &'a self,
        command: &'a interface::GrantCommand,
        guard: CallGuard,
    ) -> store::LocalBoxFuture<'a, interface::GrantResult>;

    /// Takes a range back.
    fn release<'a>(
        &'a self,
        command: &'a interface::ReleaseCommand,
    ) -> store::LocalBoxFuture<'a, interface::ReleaseResult>;
}
