//! The cases, and what they have in common.

mod blocked_log;
mod late_adapter;
mod late_load;
mod left_engine;
mod moved_stream;

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::Outcome;
use crate::http::{self, Answer};
use crate::world::World;

/// Plays a case.
pub fn play(case: &str, world: &World, is_troubled: bool) -> io::Result<Outcome> {
    match case {
        "blocked-log" => blocked_log::play(world, is_troubled),
        "late-adapter" => late_adapter::play(world, is_troubled),
        "left-engine" => left_engine::play(world, is_troubled),
        "late-load" => late_load::play(world, is_troubled),
        "moved-stream" => moved_stream::play(world, is_troubled),
        _ => Ok(Outcome::NotRun(format!("there is no case {case}"))),
    }
}

/// Stands for the status of an answer that was cut.
pub const CUT: u16 = 1;

/// A request of a client for a model.
pub struct Draft<'a> {
    pub id: &'a str,
    pub path: &'a str,
    pub model: &'a str,
    pub tokens: (u32, u32),
    pub part: u32,
    pub deadline_ms: u64,
    pub extra: &'a str,
}

impl Draft<'_> {
    fn text(&self) -> String {
        let (prompt, output) = self.tokens;
        let (path, id, model, part) = (self.path, self.id, self.model, self.part);
        format!(
            "POST {path} HTTP/1.1\r\nHost: halls.example\r\nX-Oatpier-Request-Id: {id}\r\nX-Oatpier-Model: {model}\r\n\
             X-Oatpier-Token-Usage: {prompt},{output}\r\nX-Oatpier-Prompt-Prefix: {part:x}:{prompt}\r\n\
             X-Oatpier-Deadline-Ms: {}\r\n{}Content-Length: 5\r\nConnection: close\r\n\r\ndraft",
            self.deadline_ms, self.extra,
        )
    }

    /// Sends the request to a gateway and records it with its answer.
    pub fn send(&self, world: &World, gateway: u8) -> Option<Answer> {
        let (id, model) = (self.id, self.model);
        world.record.write(&format!(
            "client: sends {id} for {model} to gateway {gateway}"
        ));
        let time = Duration::from_millis(self.deadline_ms + 500);
        let answer = http::call(world.block.front(gateway), &self.text(), time);
        let text = answer.as_ref().map_or("no answer".to_owned(), |answer| {
            let status = answer.head.status();
            let events = answer.body.matches("\n\n").count();
            format!("{status}, {events} events, whole: {}", answer.is_whole)
        });
        world.record.write(&format!("client: {id}: {text}"));
        answer
    }
}

/// Sends requests for models, one after the other, until it is stopped.
pub struct Stream {
    models: Arc<Mutex<Vec<String>>>,
    thread: Option<JoinHandle<Vec<u16>>>,
}

impl Stream {
    /// Starts a client at a gateway with a request every `pause`.
    pub fn start(world: &World, name: &str, gateway: u8, pause: Duration) -> Self {
        let models: Arc<Mutex<Vec<String>>> = Arc::default();
        let (world, name, wanted) = (world.clone(), name.to_owned(), Arc::clone(&models));
        let thread = thread::spawn(move || {
            let mut statuses = Vec::new();
            for number in 0_u32.. {
                let list = wanted
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .clone();
                if list.iter().any(|model| model == "stop") {
                    break;
                }
                if let Some(model) = list.get(number as usize % list.len().max(1)) {
                    let id = format!("{name}-{number:04}");
                    let draft = Draft {
                        id: &id,
                        path: "/drafts/plan",
                        model,
                        tokens: (715, 40),
                        part: 0x1000 + number,
                        deadline_ms: 4_000,
                        extra: "",
                    };
                    let answer = draft.send(&world, gateway);
                    statuses.push(answer.map_or(0, |answer| {
                        if answer.is_whole {
                            answer.head.status()
                        } else {
                            CUT
                        }
                    }));
                }
                thread::sleep(pause);
            }
            statuses
        });
        Self {
            models,
            thread: Some(thread),
        }
    }

    /// Sets the models that are asked for in turn.
    pub fn ask_for(&self, models: &[&str]) {
        let models = models.iter().map(|model| (*model).to_owned()).collect();
        *self.models.lock().unwrap_or_else(PoisonError::into_inner) = models;
    }

    /// Stops the client and returns the statuses of its answers.
    pub fn stop(mut self) -> Vec<u16> {
        self.ask_for(&["stop"]);
        self.thread
            .take()
            .and_then(|thread| thread.join().ok())
            .unwrap_or_default()
    }
}
