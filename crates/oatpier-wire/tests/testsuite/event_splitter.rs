//! Tests that only complete server-sent events are returned, and that only `[DONE]` completes a stream.

use oatpier_wire::sse::{EventKind, EventSplitter, EventTooLong, MAX_EVENT_BYTES, SseEvent};
use proptest::prelude::*;

const STREAM: &[u8] = b": hello\n\ndata: {\"a\":1}\n\ndata: {\"b\":2}\r\n\r\ndata: [DONE]\n\n";

fn events(splitter: &mut EventSplitter) -> Vec<SseEvent> {
    std::iter::from_fn(|| splitter.next_event().transpose())
        .collect::<Result<_, _>>()
        .unwrap()
}

proptest! {
    #[test]
    fn events_do_not_depend_on_how_the_stream_is_split(cuts in prop::collection::vec(1_usize..9, 1..20)) {
        let mut splitter = EventSplitter::new();
        let mut found = Vec::new();
        let mut left = STREAM;
        for cut in cuts.iter().cycle() {
            let (piece, rest) = left.split_at((*cut).min(left.len()));
            splitter.push(piece);
            found.extend(events(&mut splitter));
            left = rest;
            if left.is_empty() {
                break;
            }
        }
        let kinds: Vec<EventKind> = found.iter().map(|event| event.kind).collect();
        let bytes: Vec<u8> = found.iter().flat_map(|event| event.bytes.to_vec()).collect();
        let expected = [EventKind::Other, EventKind::Token, EventKind::Token, EventKind::Done];
        prop_assert_eq!(kinds, expected);
        prop_assert_eq!(bytes, STREAM);
        prop_assert_eq!(splitter.tokens(), 2);
        prop_assert!(splitter.is_done());
    }
}

/// The engine crashes in the middle of an event, and its HTTP body still ends cleanly. If the bytes were relayed
/// unchecked, a caller would treat the truncated response as complete. The splitter must report that the end is
/// missing, and must not return a partial event.
#[test]
fn stream_without_its_end_is_incomplete() {
    let mut splitter = EventSplitter::new();
    splitter.push(b"data: 1\n\ndata: [DO");
    assert_eq!(events(&mut splitter).len(), 1);
    assert!(!splitter.is_done());
    assert_eq!(splitter.rest(), b"data: [DO");
}

#[test]
fn rejects_an_event_over_the_limit() {
    let mut splitter = EventSplitter::new();
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert_eq!(splitter.next_event(), Err(EventTooLong));
}
