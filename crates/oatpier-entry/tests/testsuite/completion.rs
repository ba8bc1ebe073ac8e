//! The text that token estimates and prefix hashes use, of the forms that a prompt may have.

use oatpier_entry::completion::CompletionBody;

fn text(rest: &str) -> String {
    let body = format!("{{\"model\": \"m\", {rest}}}");
    CompletionBody::read(body.as_bytes()).unwrap().prompt_text()
}

#[test]
fn contents_of_messages_and_the_prompt_are_lines() {
    assert_eq!(text(r#""prompt": "one""#), "one");
    assert_eq!(
        text(
            r#""prompt": "three", "messages": [{"role": "user", "content": "one"}, {"content": "two"}]"#
        ),
        "one\ntwo\nthree"
    );
    assert_eq!(
        text(r#""messages": [{"content": ""}, {"content": "two"}]"#),
        "\ntwo"
    );
}

#[test]
fn missing_and_null_contents_are_no_lines() {
    assert_eq!(text(r#""prompt": null"#), "");
    let messages = r#""messages": [{"content": null}, {"role": "user"}, {"content": "one"}]"#;
    assert_eq!(text(messages), "one");
}

#[test]
fn parts_are_joined_by_their_text() {
    let parts = r#""messages": [{"content": [
        {"type": "text", "text": "one "}, "two", {"type": "image_url", "image_url": {"url": "x"}}
    ]}]"#;
    assert_eq!(text(parts), "one two");
}

/// Guards against lists of tokens that look the same although they are divided in other ways.
#[test]
fn tokens_are_separated() {
    assert_eq!(text(r#""prompt": [1, 23]"#), "1,23,");
    assert_eq!(text(r#""prompt": [[12], [3]]"#), "12,3,");
}

/// Guards against numbers of a few bytes that become hundreds of digits.
#[test]
fn a_number_takes_no_more_text_than_its_digits() {
    assert_eq!(text(r#""prompt": [1e300]"#), "1e300,");
}

#[test]
fn messages_must_be_a_list_of_objects() {
    for messages in ["null", "{}", "[1]", "\"text\""] {
        let body = format!("{{\"model\": \"m\", \"messages\": {messages}}}");
        CompletionBody::read(body.as_bytes()).unwrap_err();
    }
}
