//! Duties: long-running tasks on separate threads, connected by bounded rings and stopped together.

mod clock;
mod process;
mod ring;
mod stop;

pub use clock::RuntimeClock;
pub use process::{DutyPanic, DutyProcess, StartError, bind};
pub use ring::{RingReceiver, RingRule, RingSender, ring};
pub use stop::{StopPhase, StopSignal, stop_on_signal};
