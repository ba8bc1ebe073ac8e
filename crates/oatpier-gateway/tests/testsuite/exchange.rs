//! Datagrams between gateways and sidecars.

use std::net::{Ipv4Addr, UdpSocket};

use oatpier_gateway::exchange::MessageSocket;
use oatpier_gateway::metrics::ServingMetrics;
use oatpier_serving::message::{InnerMessage, PermitGrant};
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

/// Returns a configuration with a fixed seed, so that every run gives the same result.
fn fixed_cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// An unrelated process, or one of another version, sends datagrams to this port. Each invalid one is skipped and
/// counted, and the next valid message is received.
#[tokio::test]
async fn invalid_datagrams_are_skipped_and_counted() {
    let metrics = ServingMetrics::default();
    let bound = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = bound.local_addr().unwrap();
    let socket = MessageSocket::new(bound, metrics.clone()).unwrap();
    let stranger = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let message = InnerMessage::Permit(PermitGrant { id: 7 });
    let good = rmp_serde::to_vec(&message).unwrap();
    for bytes in [
        &b"GET / HTTP/1.1"[..],
        &[],
        &[0xff; 900],
        &good[..good.len() - 1],
        &good,
    ] {
        stranger.send_to(bytes, address).unwrap();
    }
    let (from, received) = socket.receive().await;
    assert_eq!(from, stranger.local_addr().unwrap());
    assert_eq!(received, message);
    let text = metrics.encode();
    let counted = r#"messages_total{kind="unreadable",direction="received"} 4"#;
    assert!(text.contains(counted), "{text}");
}

proptest! {
    #![proptest_config(fixed_cases(512))]

    /// Decoding arbitrary bytes returns a message or an error, and never panics.
    #[test]
    fn arbitrary_bytes_decode_to_a_message_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = rmp_serde::from_slice::<InnerMessage>(&bytes);
    }
}
