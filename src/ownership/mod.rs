//! Exclusive ownership of key ranges by upstreams that are sent grants.
//!
//! A grant lets one upstream serve a key range until its TTL has passed. It
//! carries a fencing token; an upstream refuses a grant whose token is lower
//! than one it has already seen for the range.
//!
//! One instance at a time leads a service: it holds a leased key in the
//! metadata store, assigns ranges to upstreams, writes the assignments to the
//! store as the service's ownership record and only then sends grants. Upstreams
//! drop a grant that is not renewed. Three rules rule out two owners of one key:
//!
//! - A range is granted only to the owner in the stored record. Before that, each
//!   former owner in the record must have released the range, unless its grant
//!   has certainly expired or its run has certainly ended.
//! - Renewing the grant of the recorded owner is safe whichever instance does
//!   it, so a new leader renews at once. It moves a range only once each
//!   predecessor, an earlier leader that may still renew grants, has provably
//!   stopped: the predecessor resigned, reports that it does not lead, was
//!   restarted, or its authority has expired. A range whose owner has accepted a
//!   fencing token of the new leader moves without that wait, since the owner
//!   refuses what predecessors send.
//! - A leader's authority, the right to act without contact with the store,
//!   expires [`leadership::AUTHORITY_TTL`] after the last call that proved its
//!   lease, on a clock that goes on while the machine is suspended.
//!
//! [`core::OwnershipCore`] decides in `step(now, event) -> actions` and uses no
//! sockets, tasks or clock. All its points in time are those of the instance's
//! [`crate::clock::Clock`].

pub mod assignment;
pub mod candidates;
pub mod core;
pub mod interface;
pub mod leadership;
pub mod load;
pub mod owner_loads;
pub mod patch;
pub mod rebalancing;
pub mod record;
