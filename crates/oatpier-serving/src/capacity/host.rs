//! How long work takes on the VM of an endpoint.
//!
//! Endpoints share their VMs with others. Some report in each response how long work takes there at that moment. The
//! figure changes many times a second, so a gateway uses it as a hint that ages.

use std::ops::RangeInclusive;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use thiserror::Error;

/// Time after which a reported pace counts for 1/e. Disturbances last for some tenths of a second.
const HINT_AGE: Duration = Duration::from_millis(500);

/// The bounds of a plausible pace, in percent.
const PERCENT_RANGE: RangeInclusive<u32> = 10..=1_000;

/// Deviation from the usual time, in percent, from which a VM counts as disturbed.
const DISTURBED_BY: u32 = 10;

/// How long work takes on a VM, in percent of the usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostPace {
    percent: u32,
}

/// A pace that is out of bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Error)]
#[error("work can't take {0}% of the usual time; use a number from 10 to 1000")]
pub struct ImplausiblePace(u32);

impl TryFrom<u32> for HostPace {
    type Error = ImplausiblePace;

    fn try_from(percent: u32) -> Result<Self, Self::Error> {
        if PERCENT_RANGE.contains(&percent) {
            Ok(Self { percent })
        } else {
            Err(ImplausiblePace(percent))
        }
    }
}

impl HostPace {
    /// Returns whether work takes clearly longer or shorter than usual.
    pub(crate) fn is_disturbed(self) -> bool {
        self.percent.abs_diff(100) >= DISTURBED_BY
    }
}

/// A pace as reported at some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HostHint {
    pub(crate) pace: HostPace,
    pub(crate) at: ClockTime,
}

impl HostHint {
    /// Returns the expected time of work relative to the usual one.
    pub(crate) fn factor(self, now: ClockTime) -> f64 {
        let reported = f64::from(self.pace.percent) / 100.0;
        let age = now.since(self.at).as_secs_f64() / HINT_AGE.as_secs_f64();
        1.0 + (reported - 1.0) * (-age).exp()
    }
}
