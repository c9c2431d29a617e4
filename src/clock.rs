//! Time sources.
//!
//! All decisions take the time from a [`Clock`], so that tests can inject their
//! own. A point in time is a [`Duration`] since the clock's origin, which is
//! arbitrary, so times of different machines are never compared.

use std::time::Duration;

/// Source of the local machine's time.
pub trait Clock: Send + Sync {
    /// Returns the time elapsed since the clock's origin.
    fn now(&self) -> Duration;
}

/// Clock that keeps counting while the machine is suspended.
///
/// A grant must expire during a suspension too, which rules out
/// [`std::time::Instant`]: it stops while the machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
    }
}
