//! Sole ownership of keys by upstreams that take pushed grants.
//!
//! One instance at a time leads a service: it holds a leased key in the
//! metadata store, plans who owns which range, writes the plan to the store and
//! only then pushes grants to upstreams, which forget a grant that is not
//! renewed. The rules that keep an owner alone:
//!
//! - A range is granted only to the owner in the stored record, and only once
//!   every former owner of the record has released it, has certainly lost it by
//!   time, or is gone for good.
//! - Renewing the recorded owner is harmless whoever does it, so a new leader
//!   renews at once. It moves nothing until its predecessor has provably
//!   stopped: the predecessor resigned, says so, was restarted, or its authority
//!   has run out.
//! - A leader acts without the store only for [`leadership::AUTHORITY_TTL`] after its last
//!   proven contact, on a clock that counts suspension.
//!
//! [`core::OwnershipCore`] decides in `step(now, event) -> actions`, without
//! sockets, tasks or clock.

pub mod assignment;
pub mod candidates;
pub mod core;
pub mod interface;
pub mod leadership;
pub mod load;
pub mod patch;
pub mod rebalancing;
pub mod record;
