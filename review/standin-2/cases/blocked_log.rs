//! The reader of the logs stands still while the gateways are stopped and started in turn.

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::http::{self, CallEnd, Connection};
use crate::plain::{PlainEngine, PlainRun, PlainRuns};
use crate::world::{Process, Role, World, sleep_ms};

const GATEWAYS: [u8; 3] = [101, 102, 103];
const CLIENTS: usize = 12;
const SIGTERM: i32 = 15;

/// The pause between the stops of two gateways, and the times of the rules.
const GAP_S: f64 = 1.0;
const GRACE_S: f64 = 8.0;
const READY_S: f64 = 4.0;
const LATE_REQUEST_S: f64 = 3.0;

/// The time after which the platform starts a process again.
const RESTART_MS: u64 = 200;

fn config() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"floorplan-fetch\",\"host\":\"halls.example\",\"path_prefix\":\"/plans/\",\
     \"kind\":\"unsafe\",\"timeout_ms\":1200,\"target_latency_ms\":150,\"priority\":2,\"service\":\"plan-api\",\
     \"max_attempts\":1}],\
     \"services\":[{\"name\":\"plan-api\",\"health_path\":\"/health\",\"max_connections\":110}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000}}"
        .to_owned()
}

/// A call of a client.
#[derive(Debug, Clone)]
struct Call {
    id: String,
    gateway: usize,
    sent: f64,
    ended: f64,
    end: CallEnd,
}

/// The platform: which gateways receive new connections.
#[derive(Debug, Default)]
struct Rotation {
    misses: [u32; GATEWAYS.len()],
    /// Each question for readiness: the gateway, the time and the status, 0 without an answer.
    questions: Vec<(usize, f64, u16)>,
}

#[derive(Clone)]
struct Platform {
    world: World,
    rotation: Arc<Mutex<Rotation>>,
    is_over: Arc<AtomicBool>,
}

impl Platform {
    /// Asks a gateway once a second whether it is ready.
    fn probe(&self, index: usize) {
        while !self.is_over.load(Ordering::SeqCst) {
            let text = "GET /ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
            let address = self.world.block.readiness(GATEWAYS[index]);
            let answer = http::call(address, text, Duration::from_millis(900));
            let status = answer.map_or(0, |answer| answer.head.status());
            self.world.record.write(&format!(
                "platform: gateway {index} answers /ready with {status}"
            ));
            let at = self.world.record.seconds();
            let mut rotation = self.rotation.lock().unwrap_or_else(PoisonError::into_inner);
            rotation.misses[index] = if status == 200 {
                0
            } else {
                rotation.misses[index] + 1
            };
            rotation.questions.push((index, at, status));
            drop(rotation);
            sleep_ms(1_000);
        }
    }

    /// Returns the gateway for a new connection.
    fn pick(&self, draw: usize) -> usize {
        let rotation = self.rotation.lock().unwrap_or_else(PoisonError::into_inner);
        let mut used: Vec<usize> = (0..GATEWAYS.len())
            .filter(|index| rotation.misses[*index] < 2)
            .collect();
        if used.len() * 2 < GATEWAYS.len() {
            used = (0..GATEWAYS.len()).collect();
        }
        used[draw % used.len()]
    }

    /// Sends requests on kept connections, one after the other.
    fn run_client(&self, number: usize) -> Vec<Call> {
        let mut calls = Vec::new();
        let mut open: Option<(usize, Connection)> = None;
        let mut draw = number;
        for count in 0_u32.. {
            if self.is_over.load(Ordering::SeqCst) {
                break;
            }
            let Some((gateway, mut connection)) = open.take().or_else(|| {
                draw = draw.wrapping_mul(31).wrapping_add(7);
                let gateway = self.pick(draw);
                let opened = Connection::open(self.world.block.front(GATEWAYS[gateway]));
                opened.map(|connection| (gateway, connection))
            }) else {
                sleep_ms(20);
                continue;
            };
            let id = format!("c{number:02}-{count:05}");
            let text = format!(
                "POST /plans/hall HTTP/1.1\r\nHost: halls.example\r\nX-Oatpier-Request-Id: {id}\r\n\
                 X-Oatpier-Deadline-Ms: 2500\r\nContent-Length: 4\r\n\r\nhall"
            );
            let sent = self.world.record.seconds();
            let end = connection.call(&text, Duration::from_millis(2_500));
            let ended = self.world.record.seconds();
            let text = match &end {
                CallEnd::Answered(answer) => format!("answered {}", answer.head.status()),
                CallEnd::Closed(why) => format!("no answer, the connection has ended: {why}"),
                CallEnd::TimedOut => "no answer in time".to_owned(),
            };
            self.world.record.write(&format!(
                "client: {id} at gateway {gateway}, sent at {sent:.3}: {text}"
            ));
            if let CallEnd::Answered(answer) = &end {
                let closes = answer
                    .head
                    .header("connection")
                    .is_some_and(|value| value.eq_ignore_ascii_case("close"));
                if !closes {
                    open = Some((gateway, connection));
                }
                if answer.head.status() != 200 {
                    sleep_ms(50);
                }
            }
            calls.push(Call {
                id,
                gateway,
                sent,
                ended,
                end,
            });
        }
        calls
    }
}

/// Stops a gateway as the platform does, and starts it again. Returns when SIGTERM was sent and when it had ended.
fn roll(world: &World, process: &mut Process, host: u8) -> io::Result<(f64, f64)> {
    process.signal(SIGTERM);
    let at = world.record.seconds();
    while process.ended().is_none() {
        if world.record.seconds() - at >= GRACE_S {
            world
                .record
                .write(&format!("{} still runs after the grace time", process.name));
            process.kill();
            break;
        }
        sleep_ms(5);
    }
    let ended = world.record.seconds();
    world.record.write(&format!(
        "{} has ended {:.3} s after SIGTERM",
        process.name,
        ended - at
    ));
    sleep_ms(RESTART_MS);
    *process = world.start_process(Role::Gateway, host, "ikeja", false)?;
    Ok((at, ended))
}

pub fn play(world: &World, is_troubled: bool) -> io::Result<Outcome> {
    world.store.put("op/config", &config());
    let runs = PlainRuns::default();
    for number in [1, 2, 3] {
        PlainEngine::start(world, number, 6, Duration::from_millis(60), &runs)?;
    }
    let mut processes = Vec::new();
    for gateway in GATEWAYS {
        processes.push(world.start_process(Role::Gateway, gateway, "ikeja", true)?);
    }
    for gateway in GATEWAYS {
        if !world.await_ready(gateway, Duration::from_secs(20)) {
            return Ok(Outcome::NotRun("a gateway is not ready".to_owned()));
        }
    }
    let platform = Platform {
        world: world.clone(),
        rotation: Arc::default(),
        is_over: Arc::default(),
    };
    let mut threads = Vec::new();
    for index in 0..GATEWAYS.len() {
        let probing = platform.clone();
        threads.push(thread::spawn(move || probing.probe(index)));
    }
    sleep_ms(2_000);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let client = platform.clone();
            thread::spawn(move || client.run_client(number))
        })
        .collect();
    sleep_ms(4_000);
    if is_troubled {
        world.record.write("the reader of the logs stands still");
        world.is_log_stopped.store(true, Ordering::SeqCst);
    }
    sleep_ms(10_000);
    let rolls: Vec<_> = processes
        .into_iter()
        .enumerate()
        .map(|(index, mut process)| {
            let world = world.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_secs_f64(GAP_S * index as f64));
                let times = roll(&world, &mut process, GATEWAYS[index]);
                times.map(|times| (times, process))
            })
        })
        .collect();
    let mut stops = Vec::new();
    let mut processes = Vec::new();
    for roll in rolls {
        let Ok(result) = roll.join() else {
            return Ok(Outcome::NotRun("a thread has ended".to_owned()));
        };
        let (times, process) = result?;
        stops.push(times);
        processes.push(process);
    }
    sleep_ms(1_500);
    world.record.write("the reader of the logs goes on");
    world.is_log_stopped.store(false, Ordering::SeqCst);
    sleep_ms(1_500);
    platform.is_over.store(true, Ordering::SeqCst);
    let calls: Vec<Call> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .flatten()
        .collect();
    drop(processes);
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
    Ok(judge(world, &platform, &stops, &calls, &runs))
}

/// Checks both rules on planned stops.
fn judge(
    world: &World,
    platform: &Platform,
    stops: &[(f64, f64)],
    calls: &[Call],
    runs: &[PlainRun],
) -> Outcome {
    let answered = calls.iter().filter(|call| is_success(call)).count();
    world.record.write(&format!(
        "{answered} of {} requests are answered with success",
        calls.len()
    ));
    if answered < 500 {
        return Outcome::NotRun("too few requests were served".to_owned());
    }
    // DRAIN: two or more machines, and over a quarter of those that were ready, still run and count as ready 4 s later.
    let rotation = platform
        .rotation
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let mut still_ready = 0;
    for (index, (sigterm, ended)) in stops.iter().enumerate() {
        let limit = sigterm + READY_S;
        let before = rotation
            .questions
            .iter()
            .filter(|(gateway, at, _)| *gateway == index && *at <= limit);
        let last: Vec<u16> = before.map(|(_, _, status)| *status).collect();
        let is_out = last.len() >= 2 && last[last.len() - 2..].iter().all(|status| *status != 200);
        if *ended > limit && !is_out {
            still_ready += 1;
            world.record.write(&format!(
                "gateway {index} still runs and counts as ready {READY_S} s after SIGTERM"
            ));
        }
    }
    // LOST: a request was passed on to an engine, and its connection ended without a complete answer.
    let by_id: HashMap<&str, &PlainRun> = runs.iter().map(|run| (run.id.as_str(), run)).collect();
    let mut lost = 0;
    for call in calls
        .iter()
        .filter(|call| matches!(call.end, CallEnd::Closed(_)))
    {
        let (sigterm, _) = stops[call.gateway];
        let is_planned = call.ended >= sigterm && call.ended <= sigterm + GRACE_S + 1.0;
        let Some(run) = by_id.get(call.id.as_str()).filter(|_| is_planned) else {
            continue;
        };
        let is_early = call.sent <= sigterm + LATE_REQUEST_S;
        let was_at_work = run
            .ended
            .is_none_or(|ended| ended >= sigterm + GRACE_S * 5.0 / 6.0);
        if is_early && was_at_work {
            continue;
        }
        lost += 1;
        world.record.write(&format!(
            "{} was sent {:.3} s after SIGTERM, passed on to an engine, and not answered",
            call.id,
            call.sent - sigterm
        ));
    }
    if still_ready >= 2 {
        return Outcome::Broken(format!(
            "DRAIN: {still_ready} of {} machines run and count as ready 4 s after SIGTERM; LOST: {lost} requests that were \
             passed on have no answer",
            stops.len()
        ));
    }
    if lost > 0 {
        return Outcome::Broken(format!(
            "LOST: {lost} requests that were passed on have no answer"
        ));
    }
    Outcome::Held
}

fn is_success(call: &Call) -> bool {
    matches!(&call.end, CallEnd::Answered(answer) if answer.head.status() == 200)
}
