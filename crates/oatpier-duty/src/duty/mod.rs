//! Duties: a thread each, stopped together, joined by bounded rings.

mod clock;
mod process;
mod ring;
mod stop;

pub use clock::RuntimeClock;
pub use process::{DutyPanic, DutyProcess, StartError, bind};
pub use ring::{RingReceiver, RingRule, RingSender, ring};
pub use stop::{StopPhase, StopSignal, stop_on_signal};
