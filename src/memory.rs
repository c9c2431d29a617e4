//! Memory that a process holds for what others send: one budget, and what each peer takes of it.
//!
//! Every message has a limit of its own, but a process of a few hundred megabytes cannot hold
//! many of the longest ones at once. A message is therefore accounted from its first
//! [`FREE_BYTES`] on, for the peer that sends it, until nobody needs its bytes any more.
//!
//! - A message that declares its length reserves all of it, and waits until there is room. Its
//!   end is known, so that waiting is not in vain. Short ones do not wait behind long ones.
//! - What has no declared length grows by [`GROWTH_BYTES`] and never waits: it may have no end.
//!   All such messages together have half of the budget. Once that is used up, those of peers
//!   with more than an equal part of it end; the others go on in the margin until they have.
//! - One peer has half of the budget at most for each of the two kinds.

use event_listener::Event;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use thiserror::Error;

/// Bytes of a message that are not accounted.
pub const FREE_BYTES: usize = 16 * 1024;

/// Step by which the reservation of a message without a declared length grows.
const GROWTH_BYTES: usize = 64 * 1024;

/// Part of a process's memory that is the budget: reading, decoding and writing a message
/// hold up to three copies of it for a moment.
const BUDGET_DIVISOR: usize = 4;

/// Part of the budget that messages without a declared length have.
const OPEN_DIVISOR: usize = 2;

/// Part of the budget that one peer has.
const PEER_DIVISOR: usize = 2;

/// Part of the budget by which it may be exceeded: by messages without a declared length of
/// peers below their equal part, and by short ones with one.
const MARGIN_DIVISOR: usize = 8;

/// Part of the budget up to which a message with a declared length is short.
const SHORT_DIVISOR: usize = 64;

/// Memory of a process whose settings state none, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256 << 20;

/// No room for more of a message.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("no memory is left for a message without a declared length")]
pub struct BudgetExceeded;

/// Bytes held for one peer.
#[derive(Clone, Copy, Debug, Default)]
struct PeerUse {
    declared: usize,
    open: usize,
}

#[derive(Debug, Default)]
struct BudgetUse {
    declared: usize,
    open: usize,
    peers: HashMap<SocketAddr, PeerUse>,
    /// Messages that were ended since the process began.
    ended: u64,
}

/// Bytes that a process may hold for others.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    used: Mutex<BudgetUse>,
    freed: Event,
}

impl MemoryBudget {
    /// Creates the budget of a process with `memory` bytes, or with the default.
    pub fn for_process(memory: Option<usize>) -> Arc<MemoryBudget> {
        let memory = memory.unwrap_or(DEFAULT_MEMORY_BYTES);
        MemoryBudget::with_limit(memory / BUDGET_DIVISOR)
    }

    /// Creates a budget of `limit` bytes.
    pub fn with_limit(limit: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget {
            limit,
            used: Mutex::default(),
            freed: Event::new(),
        })
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        let used = self.lock();
        used.declared + used.open
    }

    /// Returns how many messages were ended for want of memory.
    pub fn ended(&self) -> u64 {
        self.lock().ended
    }

    fn lock(&self) -> MutexGuard<'_, BudgetUse> {
        self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes bytes for a message whose length is declared, if there is room.
    fn try_reserve(&self, peer: SocketAddr, bytes: usize) -> bool {
        let mut used = self.lock();
        let held = used.peers.get(&peer).copied().unwrap_or_default();
        let room = match bytes <= self.limit / SHORT_DIVISOR {
            true => self.limit / MARGIN_DIVISOR,
            false => 0,
        };
        let fits_peer = held.declared + bytes <= self.limit / PEER_DIVISOR + room;
        let fits = used.declared + used.open + bytes <= self.limit + room;
        // The longest message passes alone, also where it is longer than the part of a peer.
        if !(fits_peer && fits || used.declared == 0) {
            return false;
        }
        used.declared += bytes;
        used.peers.entry(peer).or_default().declared += bytes;
        true
    }

    /// Takes bytes for a message without a declared length.
    fn grow(&self, peer: SocketAddr, bytes: usize) -> Result<(), BudgetExceeded> {
        let mut used = self.lock();
        let part = self.limit / OPEN_DIVISOR;
        let senders = used.peers.values().filter(|held| held.open > 0).count();
        let held = used.peers.get(&peer).copied().unwrap_or_default().open + bytes;
        let total = used.open + bytes;
        let margin = self.limit / MARGIN_DIVISOR;
        let is_below_equal_part = held <= part / senders.max(1);
        let fits = total <= part || is_below_equal_part && total <= part + margin;
        if !fits {
            used.ended += 1;
            return Err(BudgetExceeded);
        }
        used.open += bytes;
        used.peers.entry(peer).or_default().open += bytes;
        Ok(())
    }

    fn release(&self, peer: SocketAddr, held: PeerUse) {
        let mut used = self.lock();
        used.declared -= held.declared;
        used.open -= held.open;
        if let Some(known) = used.peers.get_mut(&peer) {
            known.declared -= held.declared;
            known.open -= held.open;
            if known.declared + known.open == 0 {
                used.peers.remove(&peer);
            }
        }
        drop(used);
        self.freed.notify(usize::MAX);
    }
}

/// Reservation of one message, given back when it is dropped.
#[derive(Debug)]
pub struct MemoryLease {
    budget: Arc<MemoryBudget>,
    peer: SocketAddr,
    held: PeerUse,
}

impl MemoryLease {
    /// Creates a lease of nothing for a message of `peer`.
    pub fn new(budget: &Arc<MemoryBudget>, peer: SocketAddr) -> MemoryLease {
        MemoryLease {
            budget: budget.clone(),
            peer,
            held: PeerUse::default(),
        }
    }

    /// Reserves a declared length; waits until there is room.
    pub async fn reserve(&mut self, bytes: usize) {
        let missing = bytes.saturating_sub(FREE_BYTES + self.held.declared);
        if missing == 0 {
            return;
        }
        loop {
            let freed = self.budget.freed.listen();
            if self.budget.try_reserve(self.peer, missing) {
                self.held.declared += missing;
                return;
            }
            freed.await;
        }
    }

    /// Makes sure that `bytes` of a message without a declared length are reserved.
    pub fn cover(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let covered = FREE_BYTES + self.held.declared + self.held.open;
        if bytes <= covered {
            return Ok(());
        }
        let missing = (bytes - covered).next_multiple_of(GROWTH_BYTES);
        self.budget.grow(self.peer, missing)?;
        self.held.open += missing;
        Ok(())
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        if self.held.declared + self.held.open > 0 {
            self.budget.release(self.peer, self.held);
        }
    }
}
