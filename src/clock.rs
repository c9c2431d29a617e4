//! Time sources.
//!
//! Every decision takes its time from a [`Clock`], so tests can inject their
//! own. A moment is a [`Duration`] since an arbitrary origin of the local
//! machine; moments of different machines are never compared.

use std::time::Duration;

/// Source of the local machine's time.
pub trait Clock: Send + Sync {
    /// Returns the time elapsed since the clock's origin.
    fn now(&self) -> Duration;
}

/// Clock that keeps counting while the machine is suspended.
///
/// Grant expiries must not outlive a suspension, which rules out
/// [`std::time::Instant`]: it stands still meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
    }
}
