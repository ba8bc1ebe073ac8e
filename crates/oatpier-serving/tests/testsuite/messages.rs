//! Messages between gateways and sidecars.

use oatpier_serving::message::{InnerMessage, MessageNumber};

use crate::support::status;

#[test]
fn status_round_trips_and_fits_one_packet() {
    let message = InnerMessage::Status(Box::new(status(1, &["m1", "m2"], 3)));
    let bytes = rmp_serde::to_vec(&message).unwrap();
    assert_eq!(
        rmp_serde::from_slice::<InnerMessage>(&bytes).unwrap(),
        message
    );
    assert!(
        bytes.len() < 1_400,
        "{} bytes do not fit a packet",
        bytes.len()
    );
}

#[test]
fn a_message_of_a_new_incarnation_supersedes_any_number() {
    let old = MessageNumber {
        boot: 1,
        number: 900,
    };
    assert!(MessageNumber { boot: 2, number: 1 }.supersedes(old));
    assert!(
        !MessageNumber {
            boot: 1,
            number: 900
        }
        .supersedes(old)
    );
    assert!(
        MessageNumber {
            boot: 1,
            number: 901
        }
        .supersedes(old)
    );
}
