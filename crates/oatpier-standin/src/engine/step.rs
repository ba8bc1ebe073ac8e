//! Steps of an engine: fill the slots, read prompts, generate one token per running request.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::event::{FleetEvent, LoggedEvent};

use super::core::EngineCore;
use super::reports::RunRecord;
use super::run::{EngineRequest, EngineRun, OutputKind};
use crate::answer::key_hash;
use oatpier_types::prefix::BLOCK_TOKENS;

impl EngineCore {
    pub(super) fn begin_step(&mut self, now: ClockTime) {
        if self.step_end.is_some() || self.faults.frozen {
            return;
        }
        self.fill_slots(now);
        if self.running.is_empty() {
            return;
        }
        let read = self.read_prompts(now);
        let decoding = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let total = self.options.step
            + self.options.step_per_request * decoding
            + self.options.prompt_token * read;
        let duration = total * (100 + self.faults.slower_percent) / 100;
        self.step_end = Some(now + duration.max(Duration::from_micros(1)));
    }

    fn fill_slots(&mut self, now: ClockTime) {
        while self.running.len() < self.options.slots {
            let Some(key) = self.waiting.keys().next().copied() else {
                return;
            };
            if let Some(run) = self.take_waiting(key) {
                self.start_run(now, run);
            }
        }
    }

    fn start_run(&mut self, now: ClockTime, mut run: EngineRun) {
        let request = &run.request;
        let cached = self.cache.cached_blocks(&request.prefix);
        let cached = u32::try_from(cached).unwrap_or(0) * BLOCK_TOKENS;
        let total = request.prompt_tokens + request.resume_after;
        run.prefill_left = total.saturating_sub(cached).max(1);
        self.record_run(now, &run.request);
        self.running.push(run);
    }

    fn record_run(&mut self, now: ClockTime, request: &EngineRequest) {
        if !self.options.record {
            return;
        }
        self.runs.push(RunRecord {
            attempt: request.attempt.to_string(),
            request: request.request.to_string(),
            key: request.key.clone(),
            target: request.target.clone(),
            prompt_hash: request.prompt_hash,
            resume_after: request.resume_after,
        });
        let event = FleetEvent::RunStarted {
            request: request.request,
            attempt: request.attempt,
            endpoint: self.options.endpoint.clone(),
            key: request.key.as_deref().map(key_hash),
        };
        self.events.push(LoggedEvent { at: now, event });
    }

    /// Reads a chunk of the unread prompts in order of priority. Returns the number of tokens read.
    fn read_prompts(&mut self, now: ClockTime) -> u32 {
        self.running
            .sort_by_key(|run| (run.request.priority, run.number));
        let mut left = self.options.chunk_tokens;
        for run in self.running.iter_mut().filter(|run| run.prefill_left > 0) {
            let read = run.prefill_left.min(left);
            run.prefill_left -= read;
            left -= read;
            if run.prefill_left == 0 {
                self.cache.insert(now, &run.request.prefix);
            }
        }
        self.options.chunk_tokens - left
    }

    pub(super) fn end_step(&mut self, now: ClockTime) {
        self.step_end = None;
        for run in self.running.iter_mut().filter(|run| run.prefill_left == 0) {
            if run.next_token < run.request.max_tokens {
                let token = OutputKind::Token(run.next_token);
                self.outputs.push(run.output(now, token));
                run.next_token += 1;
            }
        }
        let is_done =
            |run: &mut EngineRun| run.prefill_left == 0 && run.next_token >= run.request.max_tokens;
        for run in self.running.extract_if(.., is_done) {
            self.completed += 1;
            self.outputs.push(run.output(now, OutputKind::Done));
        }
    }
}
