//! The limits on callers' connections and bodies, by the resources of the process.

use oatpier_gateway::gateway::caller_limits::caller_limits;
use oatpier_serving::node::NodeSettings;

use crate::support::settings;

/// The memory and descriptors of the smallest and the largest VM that the platform has, and of one in between.
const VMS: [(usize, usize); 3] = [
    (120_000_000, 3_075),
    (260_000_000, 4_100),
    (512_000_000, 8_192),
];

fn of_vm((memory_bytes, descriptors): (usize, usize)) -> NodeSettings {
    NodeSettings {
        memory_bytes,
        descriptors,
        ..settings()
    }
}

/// Guards against callers that take all descriptors, so that requests can't be sent to endpoints.
#[test]
fn a_quarter_of_the_sockets_is_left_to_endpoints() {
    for vm in VMS {
        let limits = caller_limits(&of_vm(vm));
        let (_, descriptors) = vm;
        let sockets = descriptors - 200;
        assert!(limits.connections <= sockets - sockets / 4, "{limits:?}");
    }
}

/// Guards against connections whose heads and unread bytes alone take the memory of the process.
#[test]
fn connections_take_at_most_a_third_of_the_memory() {
    for vm in VMS {
        let limits = caller_limits(&of_vm(vm));
        let connection_bytes = limits.head_bytes + limits.receive_buffer_bytes;
        let (memory_bytes, _) = vm;
        assert!(
            limits.connections * connection_bytes <= memory_bytes / 3,
            "{limits:?}"
        );
    }
}

/// Guards against a limit that refuses the largest legal request on the smallest VM.
#[test]
fn a_body_of_the_largest_size_has_room() {
    let limits = caller_limits(&of_vm(VMS[0]));
    assert!(limits.body_bytes <= limits.bodies.incoming_bytes);
}
