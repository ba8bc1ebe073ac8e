//! Tests that frames are decoded however the stream is split, and that no input makes the reader panic or buffer too
//! much.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use oatpier_types::ids::AttemptId;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::attempt::{
    AttemptFrame, MAX_FRAME_BYTES, TaggedFrame, decode_request, encode_request,
};
use oatpier_wire::frame::{FrameError, FrameReader, encode_frame};
use proptest::prelude::*;

use crate::support::{head, queue_report};

fn any_frame() -> impl Strategy<Value = AttemptFrame> {
    let piece =
        (prop::collection::vec(any::<u8>(), 0..300), any::<u32>()).prop_map(|(bytes, tokens)| {
            AttemptFrame::Piece {
                bytes: Bytes::from(bytes),
                tokens,
            }
        });
    let rejected = any::<Option<u32>>().prop_map(|millis| AttemptFrame::Refused {
        refusal: Refusal {
            cause: RefusalCause::QueueFull,
            retry_after: millis.map(|millis| Duration::from_millis(millis.into())),
        },
        report: queue_report(1),
    });
    let failed = ".*".prop_map(|cause| AttemptFrame::Failed {
        verdict: RunVerdict::MayHaveRun,
        cause,
        report: queue_report(2),
    });
    let started = any::<u16>().prop_map(|status| AttemptFrame::Started {
        status,
        headers: head(1).headers,
        report: queue_report(3),
    });
    prop_oneof![
        piece,
        rejected,
        failed,
        started,
        Just(AttemptFrame::Ended {
            report: queue_report(4)
        })
    ]
}

fn read_all(reader: &mut FrameReader) -> Result<Vec<TaggedFrame>, FrameError> {
    std::iter::from_fn(|| reader.next_frame().transpose()).collect()
}

proptest! {
    #[test]
    fn frames_do_not_depend_on_how_the_stream_is_split(
        frames in prop::collection::vec((any::<u128>(), any_frame()), 0..8),
        cuts in prop::collection::vec(1_usize..64, 1..64),
    ) {
        let sent: Vec<TaggedFrame> = frames
            .into_iter()
            .map(|(attempt, frame)| TaggedFrame { attempt: AttemptId(attempt), frame })
            .collect();
        let mut bytes = BytesMut::new();
        for frame in &sent {
            encode_frame(frame, &mut bytes).unwrap();
        }
        let mut reader = FrameReader::new(MAX_FRAME_BYTES);
        let mut received = Vec::new();
        let mut cuts = cuts.iter().cycle();
        while !bytes.is_empty() {
            let cut = cuts.next().unwrap();
            let piece = bytes.split_to((*cut).min(bytes.len()));
            reader.push(&piece);
            received.extend(read_all(&mut reader).unwrap());
        }
        prop_assert!(!reader.is_inside_frame());
        prop_assert_eq!(received, sent);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut reader = FrameReader::new(128);
        reader.push(&bytes);
        let _ = read_all(&mut reader);
        let _ = decode_request(Bytes::from(bytes));
    }

    #[test]
    fn corrupt_frame_never_panics(index in 4_usize..80, byte in any::<u8>()) {
        let mut bytes = BytesMut::new();
        let frame = AttemptFrame::Started { status: 200, headers: head(1).headers, report: queue_report(1) };
        encode_frame(&TaggedFrame { attempt: AttemptId(1), frame }, &mut bytes).unwrap();
        let index = index.min(bytes.len() - 1);
        bytes[index] = byte;
        let mut reader = FrameReader::new(MAX_FRAME_BYTES);
        reader.push(&bytes);
        let _ = read_all(&mut reader);
    }
}

#[test]
fn request_round_trips() {
    let body = Bytes::from_static(b"{\"seat\":12}");
    let encoded = encode_request(&head(5), &body).unwrap();
    let (decoded, rest) = decode_request(encoded).unwrap();
    assert_eq!(decoded, head(5));
    assert_eq!(rest, body);
}

/// A length of 4 GiB must be rejected on the length prefix alone, so that a peer can't make the reader buffer the
/// frame.
#[test]
fn rejects_a_long_frame_on_its_length_prefix() {
    let mut reader = FrameReader::new(MAX_FRAME_BYTES);
    reader.push(&[0xff, 0xff, 0xff, 0xff]);
    let rejected = reader.next_frame::<TaggedFrame>();
    assert!(matches!(rejected, Err(FrameError::TooLong { .. })));
}

#[test]
fn both_sides_reject_a_long_head() {
    let mut long = head(5);
    long.path = "x".repeat(70_000);
    let rejected = encode_request(&long, b"");
    assert!(matches!(rejected, Err(FrameError::TooLong { .. })));
    let mut bytes = BytesMut::new();
    encode_frame(&long, &mut bytes).unwrap();
    let rejected = decode_request(bytes.freeze());
    assert!(matches!(rejected, Err(FrameError::TooLong { .. })));
}

#[test]
fn rejects_a_truncated_head() {
    let encoded = encode_request(&head(5), b"").unwrap();
    let cut = encoded.slice(..encoded.len() - 1);
    assert_eq!(decode_request(cut), Err(FrameError::Truncated));
}
