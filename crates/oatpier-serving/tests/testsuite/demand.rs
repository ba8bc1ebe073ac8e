//! How much each model is asked for.

use oatpier_serving::demand::DemandBook;

use crate::support::{at, model, request};

#[test]
fn running_requests_are_averaged_and_forgotten() {
    let mut book = DemandBook::default();
    let weights = request("m1/a1").weights.unwrap();
    book.note_asked(&weights, at(0));
    for _ in 0..10 {
        book.note_sent(&model("m1"), at(0));
    }
    let soon = book.summary(at(100))[0].clone();
    let later = book.summary(at(6_000))[0].clone();
    assert!(soon.running < 2.0 && later.running > 9.0);
    for _ in 0..10 {
        book.note_ended(&model("m1"), at(6_000));
    }
    assert!(book.summary(at(20_000)).is_empty());
}

#[test]
fn requests_that_are_not_served_show_at_once_and_fade() {
    let mut book = DemandBook::default();
    book.note_unserved(&model("m1"), at(0));
    assert!(book.summary(at(1))[0].unserved > 0.5);
    assert!(book.summary(at(7_500))[0].unserved < 0.01);
    assert!(book.summary(at(10_000)).is_empty());
}

#[test]
fn only_adapters_that_were_asked_for_lately_count() {
    let mut book = DemandBook::default();
    book.note_asked(&request("m1/a1").weights.unwrap(), at(0));
    book.note_asked(&request("m1/a2").weights.unwrap(), at(1_500));
    assert_eq!(book.summary(at(1_600))[0].adapters, 2);
    assert_eq!(book.summary(at(3_000))[0].adapters, 1);
}

/// Requests of one model can't be served. It is told once and at once; the next word on it is that of the
/// whole summary, or of its next request in vain.
#[test]
fn a_model_that_is_pressed_is_told_once() {
    let mut book = DemandBook::default();
    book.note_asked(&request("m2").weights.unwrap(), at(0));
    book.note_unserved(&model("m1"), at(0));
    let pressed = book.pressed_summary(at(10));
    assert_eq!(pressed.len(), 1);
    assert_eq!(pressed[0].model, model("m1"));
    assert!(book.pressed_summary(at(20)).is_empty());
    book.note_unserved(&model("m1"), at(30));
    assert_eq!(book.summary(at(40)).len(), 2);
    assert!(book.pressed_summary(at(50)).is_empty());
}

/// Two models are asked for every other second, and one of them was asked for a moment ago. By the long rate
/// neither is in greater demand, and neither takes the other's place.
#[test]
fn the_long_rate_does_not_favour_who_was_asked_for_last() {
    let mut book = DemandBook::default();
    for second in 0..20 {
        let name = if second % 2 == 0 { "m1" } else { "m2" };
        book.note_asked(&request(name).weights.unwrap(), at(second * 1_000));
    }
    let summary = book.summary(at(19_010));
    let (first, second) = (summary[0].asked_long, summary[1].asked_long);
    assert!(
        (0.7..1.4).contains(&(second / first)),
        "{first} and {second}"
    );
    assert!(summary[1].asked_fast > 2.0 * summary[0].asked_fast);
}
