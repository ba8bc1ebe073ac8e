//! Appointments of refused callers, and forecasts from knowledge that is old, missing or wrong.

use std::time::Duration;

use oatpier_serving::admission::appointments::{AppointmentBook, BookKey, ReturnQuery, ReturnTime};
use oatpier_serving::admission::forecast::{ModelQueue, WaitBounds, WaitForecaster, WaitVerdict};
use oatpier_serving::directory::EndpointDirectory;
use oatpier_serving::message::{EngineStatus, MessageNumber};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::ClassName;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::admission_engine::{fingerprint, pace_update};
use crate::support::{at, directory, endpoint, millis, model, service, status};

fn key() -> BookKey {
    BookKey {
        service: service(),
        model: model("m1"),
    }
}

/// Gives a caller with `left_ms` until its deadline an appointment. This gateway may give out two per second.
fn give(book: &mut AppointmentBook, number: u64, left_ms: u64, now: ClockTime) -> ReturnTime {
    let request = fingerprint(number);
    let query = ReturnQuery {
        request: &request,
        room_in: millis(500),
        time_left: millis(left_ms),
        served_per_s: 80.0,
        gateways: 10,
    };
    let mut generator = ChaCha8Rng::seed_from_u64(number);
    book.give(&key(), &query, &mut generator, now)
}

#[test]
fn appointments_keep_the_distance_that_the_room_allows() {
    let mut book = AppointmentBook::default();
    let mut times: Vec<Duration> = (0..30)
        .map(|number| give(&mut book, number, 12_000, at(0)))
        .filter(|time| time.has_room)
        .map(|time| time.after)
        .collect();
    times.sort_unstable();
    assert!((5..=8).contains(&times.len()), "{times:?}");
    assert!(
        times
            .windows(2)
            .all(|pair| pair[1].abs_diff(pair[0]) >= millis(500))
    );
    assert!(times.iter().all(|after| *after >= millis(500)));
}

#[test]
fn no_caller_is_told_a_longer_time_than_it_honours() {
    let mut book = AppointmentBook::default();
    for number in 0..200 {
        let left_ms = 300 + number * 60;
        let time = give(&mut book, number, left_ms, at(number));
        assert!(time.after <= millis(left_ms / 3), "{time:?} of {left_ms}");
    }
}

#[test]
fn callers_with_little_time_left_return_first() {
    let mut book = AppointmentBook::default();
    let mut mean_ms = |left_ms: u64, first: u64| {
        let times = (first..first + 20).map(|number| give(&mut book, number, left_ms, at(0)).after);
        times.sum::<Duration>() / 20
    };
    let short = mean_ms(3_000, 0);
    let long = mean_ms(12_000, 100);
    assert!(short * 2 < long, "{short:?}, {long:?}");
}

/// Guards against a gain from returning early: the second refusal names the same time, and no other caller's time is
/// taken.
#[test]
fn early_return_keeps_its_appointment() {
    let mut book = AppointmentBook::default();
    let first = give(&mut book, 1, 12_000, at(0));
    let again = give(&mut book, 1, 11_800, at(200));
    assert_eq!(again.after + millis(200), first.after);
    assert_eq!(book.outstanding(at(200)), 1);
}

/// Guards against a book that never empties.
#[test]
fn past_appointments_are_forgotten() {
    let mut book = AppointmentBook::default();
    for number in 0..10 {
        give(&mut book, number, 12_000, at(0));
    }
    assert!(book.outstanding(at(100)) > 0);
    assert_eq!(book.outstanding(at(4_100)), 0);
    assert!(give(&mut book, 50, 12_000, at(4_100)).has_room);
}

fn waiting_directory(waiting: u32, permits_per_s: f64) -> EndpointDirectory {
    let mut directory = directory(&[(&["m1"], 10), (&["m1"], 10)], at(0));
    for number in 1..=2 {
        let message = MessageNumber { boot: 1, number: 2 };
        let update = EngineStatus {
            number: message,
            permits_waiting: waiting,
            ..status(number, &["m1"], 10)
        };
        directory.apply_status(update, at(0));
        directory.apply_pace(&pace_update(number, message, permits_per_s), at(0));
    }
    directory
}

fn observe(directory: &EndpointDirectory, now: ClockTime) -> Option<ModelQueue> {
    ModelQueue::observe(directory, &service(), &model("m1"), now)
}

#[test]
fn queue_is_the_shortest_and_the_rate_that_of_all_holders() {
    let queue = observe(&waiting_directory(5, 10.0), at(0)).unwrap();
    assert_eq!(queue.drain_time, millis(500));
    assert!((queue.permits_per_s - 20.0).abs() < 1e-9);
}

/// Guards against room that stays empty while gateways refuse requests because of an old report.
#[test]
fn reported_queue_shrinks_with_the_age_of_the_report() {
    let directory = waiting_directory(5, 10.0);
    assert_eq!(
        observe(&directory, at(300)).unwrap().drain_time,
        millis(200)
    );
    assert_eq!(
        observe(&directory, at(600)).unwrap().drain_time,
        Duration::ZERO
    );
}

/// Guards against forecasts from old knowledge: a gateway that was frozen finds the queue of the time before.
#[test]
fn frozen_gateway_makes_no_forecast_from_old_updates() {
    let directory = waiting_directory(500, 10.0);
    assert!(observe(&directory, at(50)).is_some());
    assert_eq!(observe(&directory, at(20_000)), None);
    let name = endpoint("e1");
    let is_overdue = |now| directory.row(&name).unwrap().is_overdue(now);
    let overdue = (0..20_000)
        .step_by(50)
        .map(at)
        .filter(|now| is_overdue(*now));
    assert!(overdue.clone().count() > 0);
    for now in overdue {
        assert_eq!(observe(&directory, now), None, "{now:?}");
    }
}

/// Guards against refusals by sidecars of an earlier version, which report no pace.
#[test]
fn no_forecast_is_made_without_a_pace() {
    let mut directory = directory(&[(&["m1"], 10)], at(0));
    let update = EngineStatus {
        number: MessageNumber { boot: 1, number: 2 },
        permits_waiting: 50,
        ..status(1, &["m1"], 10)
    };
    directory.apply_status(update, at(0));
    assert_eq!(observe(&directory, at(50)), None);
}

/// Guards against an order factor that stays high after the shortage is over.
#[test]
fn forecast_returns_to_the_queue_within_seconds() {
    let class = ClassName::try_from("chat").unwrap();
    let mut forecaster = WaitForecaster::default();
    let queue = ModelQueue {
        drain_time: millis(200),
        permits_per_s: 50.0,
    };
    let bounds = WaitBounds {
        timely: millis(210),
        longest: millis(1_200),
        mean_timely: millis(210),
    };
    for _ in 0..30 {
        forecaster.note_expired(&class, at(0));
    }
    let verdict = |millis| {
        forecaster
            .forecast(&class, &queue, bounds, at(millis))
            .verdict
    };
    assert_eq!(verdict(0), WaitVerdict::Never);
    assert_ne!(verdict(4_000), WaitVerdict::Never);
    assert!(
        forecaster
            .forecast(&class, &queue, bounds, at(8_000))
            .expected
            < millis(212)
    );
}
