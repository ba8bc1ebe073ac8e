//! Fingerprints that identify repeated requests.

use oatpier_serving::fingerprint::{RequestContent, RequestFingerprint};

const CONTENT: RequestContent<'_> = RequestContent {
    method: "POST",
    host: "one.example",
    path: "/plans/7?page=2",
    body: b"seats",
};

#[test]
fn the_same_content_has_the_same_fingerprint() {
    let one = RequestFingerprint::of(&CONTENT);
    assert_eq!(one, RequestFingerprint::of(&CONTENT.clone()));
    assert!(one.to_string().starts_with(&one.short()));
}

#[test]
fn each_part_of_the_content_changes_the_fingerprint() {
    let others = [
        RequestContent {
            method: "PUT",
            ..CONTENT
        },
        RequestContent {
            host: "two.example",
            ..CONTENT
        },
        RequestContent {
            path: "/plans/7?page=3",
            ..CONTENT
        },
        RequestContent {
            body: b"seat",
            ..CONTENT
        },
        // The same bytes, split differently between host and path.
        RequestContent {
            host: "one.example/plans",
            path: "/7?page=2",
            ..CONTENT
        },
    ];
    for other in others {
        assert_ne!(
            RequestFingerprint::of(&CONTENT),
            RequestFingerprint::of(&other)
        );
    }
}
