//! Frames survive any split of the stream, and no input makes the reader panic or hold too much.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use oatpier_types::ids::AttemptId;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::attempt::{
    AttemptFrame, FRAME_LIMIT, TaggedFrame, decode_request, encode_request,
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
    let refused = any::<Option<u32>>().prop_map(|millis| AttemptFrame::Refused {
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
        refused,
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
    fn frames_survive_any_split(
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
        let mut reader = FrameReader::new(FRAME_LIMIT);
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
    fn garbage_never_panics(garbage in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut reader = FrameReader::new(128);
        reader.push(&garbage);
        let _ = read_all(&mut reader);
        let _ = decode_request(Bytes::from(garbage));
    }

    #[test]
    fn a_damaged_frame_never_panics(at in 4_usize..80, to in any::<u8>()) {
        let mut bytes = BytesMut::new();
        let frame = AttemptFrame::Started { status: 200, headers: head(1).headers, report: queue_report(1) };
        encode_frame(&TaggedFrame { attempt: AttemptId(1), frame }, &mut bytes).unwrap();
        let at = at.min(bytes.len() - 1);
        bytes[at] = to;
        let mut reader = FrameReader::new(FRAME_LIMIT);
        reader.push(&bytes);
        let _ = read_all(&mut reader);
    }
}

#[test]
fn a_request_comes_back_whole() {
    let body = Bytes::from_static(b"{\"seat\":12}");
    let encoded = encode_request(&head(5), &body).unwrap();
    let (decoded, rest) = decode_request(encoded).unwrap();
    assert_eq!(decoded, head(5));
    assert_eq!(rest, body);
}

/// A length of four gigabytes is refused from its prefix alone: a peer that announces one must
/// not make us gather it.
#[test]
fn a_long_frame_is_refused_before_it_comes() {
    let mut reader = FrameReader::new(FRAME_LIMIT);
    reader.push(&[0xff, 0xff, 0xff, 0xff]);
    let refused = reader.next_frame::<TaggedFrame>();
    assert!(matches!(refused, Err(FrameError::TooLong { .. })));
}

#[test]
fn a_long_head_is_refused_by_both_sides() {
    let mut long = head(5);
    long.path = "x".repeat(70_000);
    let refused = encode_request(&long, b"");
    assert!(matches!(refused, Err(FrameError::TooLong { .. })));
    let mut bytes = BytesMut::new();
    encode_frame(&long, &mut bytes).unwrap();
    let refused = decode_request(bytes.freeze());
    assert!(matches!(refused, Err(FrameError::TooLong { .. })));
}

#[test]
fn a_cut_head_is_refused() {
    let encoded = encode_request(&head(5), b"").unwrap();
    let cut = encoded.slice(..encoded.len() - 1);
    assert_eq!(decode_request(cut), Err(FrameError::Cut));
}
