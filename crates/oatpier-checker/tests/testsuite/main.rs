//! Tests that each rule finds an injected breach and passes a similar log without one.

mod planted;
mod support;
