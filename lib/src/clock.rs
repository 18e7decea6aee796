//! Clocks.
//!
//! Functions that decide by time take the time since boot as a [`time::Duration`]. The clock keeps
//! counting while the machine is suspended, which `std::time::Instant` does not, so that a host
//! sees after a suspension that its lease has expired.

use std::time;

/// A source of time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the time since the machine booted, including time spent suspended.
    fn now(&self) -> time::Duration;

    /// Returns the wall-clock time since the Unix epoch, for records that leave the process.
    fn unix_time(&self) -> time::Duration;
}

/// The operating system's clocks: `CLOCK_BOOTTIME` and the system time.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> time::Duration {
        let spec = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        time::Duration::new(spec.tv_sec.unsigned_abs(), spec.tv_nsec as u32)
    }

    fn unix_time(&self) -> time::Duration {
        time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or_default()
    }
}

/// A clock whose Unix time doesn't follow later steps of the system time.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock<C> {
    clock: C,
    /// The Unix time at boot, as the system time showed it when this clock was created.
    unix_at_boot: time::Duration,
}

impl<C: Clock> SteadyClock<C> {
    /// Creates a clock that shows the present Unix time of `clock`.
    pub fn new(clock: C) -> Self {
        let unix_at_boot = clock.unix_time().saturating_sub(clock.now());
        Self {
            clock,
            unix_at_boot,
        }
    }
}

impl<C: Clock> Clock for SteadyClock<C> {
    fn now(&self) -> time::Duration {
        self.clock.now()
    }

    fn unix_time(&self) -> time::Duration {
        self.unix_at_boot + self.clock.now()
    }
}

/// Converts a duration to whole milliseconds, or `u64::MAX` if they don't fit.
pub fn millis(d: time::Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
