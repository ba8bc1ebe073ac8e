//! Server-sent events come out whole, and only `[DONE]` makes a stream whole.

use oatpier_wire::sse::{EVENT_LIMIT, EventKind, EventSplitter, EventTooLong, SseEvent};
use proptest::prelude::*;

const STREAM: &[u8] = b": hello\n\ndata: {\"a\":1}\n\ndata: {\"b\":2}\r\n\r\ndata: [DONE]\n\n";

fn events(splitter: &mut EventSplitter) -> Vec<SseEvent> {
    std::iter::from_fn(|| splitter.next_event().transpose())
        .collect::<Result<_, _>>()
        .unwrap()
}

proptest! {
    #[test]
    fn any_split_gives_the_same_events(cuts in prop::collection::vec(1_usize..9, 1..20)) {
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

/// The engine dies after half an event, and its HTTP body still ends cleanly. A caller who got
/// the bytes as they came would take the short answer for the whole one; the splitter says that
/// the end did not come, and hands out no part of an event.
#[test]
fn a_stream_without_its_end_is_not_whole() {
    let mut splitter = EventSplitter::new();
    splitter.push(b"data: 1\n\ndata: [DO");
    assert_eq!(events(&mut splitter).len(), 1);
    assert!(!splitter.is_done());
    assert_eq!(splitter.rest(), b"data: [DO");
}

#[test]
fn an_endless_event_is_refused() {
    let mut splitter = EventSplitter::new();
    splitter.push(&vec![b'x'; EVENT_LIMIT + 1]);
    assert_eq!(splitter.next_event(), Err(EventTooLong));
}
