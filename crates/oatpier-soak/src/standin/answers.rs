//! What a right answer to a request looks like, told from the request's id alone.

/// Events of every stream.
pub const EVENTS: u32 = 12;

/// The body of a whole answer.
#[must_use]
pub fn whole(id: &str) -> String {
    format!("answer to {id}, with enough text after it to be cut in the middle")
}

/// An event of a stream; the first is 1.
#[must_use]
pub fn event(id: &str, number: u32) -> String {
    format!("id: {number}\ndata: {id} part {number}\n\n")
}

/// A whole stream.
#[must_use]
pub fn stream(id: &str) -> String {
    (1..=EVENTS).map(|number| event(id, number)).collect()
}

/// An endpoint's signature on its answer.
#[must_use]
pub fn stamp(id: &str, instance: &str) -> String {
    format!("{id}.{instance}")
}
