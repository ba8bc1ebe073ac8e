//! Tests of the HTTP implementations, against test servers on loopback sockets.

mod endpoint_calls;
mod engine_orders;
mod store_calls;
mod support;
mod vm_list;
