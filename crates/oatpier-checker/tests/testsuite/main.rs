//! Each rule catches a planted violation and passes its innocent twin.

mod planted;
mod support;
