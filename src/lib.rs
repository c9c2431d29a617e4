//! A router for servers that own keys exclusively.
//!
//! The decisions live in pure modules that are driven by
//! `step(now, event) -> actions` and know no socket, task or clock: the
//! server's side of grants ([`holder`]), their renewal ([`keeper`]), assignment
//! ([`controller`]) and leadership ([`lead`]). The daemon around them is thin.

pub mod clock;
pub mod controller;
pub mod grant;
pub mod holder;
pub mod ids;
pub mod keeper;
pub mod lead;
pub mod node;
pub mod placement;
pub mod range;
pub mod record;
pub mod routes;
pub mod server;
