//! Callers: they send requests, retry those that were not answered completely, and record the answers.

use std::time::Duration;

use oatpier_policy::outcome::{FinalAnswer, FinalCause};
use oatpier_types::event::{AnswerEnd, FleetEvent};
use oatpier_types::ids::RequestId;
use oatpier_types::refusal::RefusalCause;
use oatpier_types::verdict::{Repeat, RunVerdict};
use rand::RngExt;

use super::fleet::JobKind;
use super::message::{CALLERS, ENTRIES, Message, NodeId, SimEvent};
use super::network::{MessageDelivery, sibling};
use super::simulation::RequestSimulation;
use crate::step::StepName;

/// Number of tries after which a caller gives up.
const MAX_TRIES: u32 = 60;

/// A unit of work of a caller, which may need several requests.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub kind: JobKind,
    pub key: u64,
    pub tries: u32,
    pub is_done: bool,
}

/// One request of a job, with the state of its answer at the caller.
#[derive(Debug, Clone, Copy)]
pub struct Submission {
    pub job: usize,
    pub entry: NodeId,
    pub is_answered: bool,
    /// Number of pieces that arrived in order.
    pub relayed: u32,
    /// Whether a piece arrived out of order, or belonged to another request.
    pub is_broken: bool,
    pub content: Option<RequestId>,
}

impl RequestSimulation {
    pub fn schedule_jobs(&mut self) {
        let has_disconnects = self.targets(StepName::Cancel);
        for number in 0..9 {
            let kind = [JobKind::Change, JobKind::Stream, JobKind::Fetch][number % 3];
            let delay = self.random_millis(0, 60);
            let disconnects = has_disconnects && number < 3;
            self.schedule_job(kind, delay, disconnects);
        }
        let is_stop = self.stop.is_some();
        for number in 0..if is_stop { 45 } else { 0 } {
            let kind = [JobKind::Change, JobKind::Stream, JobKind::Fetch][number % 3];
            let delay = self.random_millis(60, 1_500);
            self.schedule_job(kind, delay, false);
        }
    }

    /// Schedules one job of each kind after the faults: it must be served normally.
    pub fn schedule_final_jobs(&mut self) {
        for kind in [JobKind::Change, JobKind::Stream, JobKind::Fetch] {
            self.schedule_job(kind, Duration::from_millis(200), false);
        }
    }

    fn schedule_job(&mut self, kind: JobKind, delay: Duration, disconnects: bool) {
        let job_index = self.jobs.len();
        self.jobs.push(Job {
            kind,
            key: 1_000 + job_index as u64,
            tries: 0,
            is_done: false,
        });
        self.queue
            .put(self.now + delay, SimEvent::Submit(job_index));
        if disconnects {
            let disconnect_delay = delay + self.random_millis(2, 60);
            self.queue
                .put(self.now + disconnect_delay, SimEvent::CallerGone(job_index));
        }
    }

    pub fn submit(&mut self, job_index: usize) {
        let job = self.jobs[job_index];
        if job.is_done {
            return;
        }
        let preferred = (job_index + job.tries as usize) % ENTRIES;
        let ready = |entry: NodeId| self.nodes[entry].up && !self.is_known_stopping(entry);
        let Some(entry) = [preferred, sibling(preferred)]
            .into_iter()
            .find(|entry| ready(*entry))
        else {
            let later = self.now + Duration::from_millis(100);
            self.queue.put(later, SimEvent::Submit(job_index));
            return;
        };
        self.jobs[job_index].tries += 1;
        if job.tries >= MAX_TRIES {
            return;
        }
        let delivery = self.inject_at(StepName::Intake, CALLERS, entry);
        self.submit_to(job_index, entry, delivery);
        if delivery == MessageDelivery::Duplicated {
            // The caller, or the load balancer in front of the entries, sends the request twice.
            self.submit_to(job_index, sibling(entry), MessageDelivery::Normal);
        }
    }

    fn submit_to(&mut self, job_index: usize, entry: NodeId, delivery: MessageDelivery) {
        let job = self.jobs[job_index];
        let request = RequestId(1 + self.submissions.len() as u128);
        let submission = Submission {
            job: job_index,
            entry,
            is_answered: false,
            relayed: 0,
            is_broken: false,
            content: None,
        };
        self.submissions.insert(request, submission);
        let once = job.kind == JobKind::Change;
        self.log_event(FleetEvent::RequestSent {
            request,
            repeat: if once {
                Repeat::AtMostOnce
            } else {
                Repeat::Idempotent
            },
            key: once.then_some(job.key),
        });
        let message = Message::Submit(request);
        if !self.nodes[entry].up || delivery == MessageDelivery::Dropped {
            let after = self.random_millis(100, 1_500);
            return self.submit_lost(request, after);
        }
        let delay = if delivery == MessageDelivery::Delayed {
            self.random_millis(50, 2_500)
        } else {
            Duration::from_millis(1)
        };
        if self
            .blocked
            .get(&(CALLERS, entry))
            .is_some_and(|until| *until > self.now)
        {
            let after = self.random_millis(100, 1_500);
            return self.submit_lost(request, after);
        }
        self.post_directly(CALLERS, entry, message, delay);
    }

    /// Ends the caller's connection of a request that never arrived at its entry.
    pub fn submit_lost(&mut self, request: RequestId, after: Duration) {
        let open = self.submissions.get(&request);
        let Some(submission) = open.filter(|submission| !submission.is_answered) else {
            return;
        };
        let job_index = submission.job;
        self.record_answer_end(request, AnswerEnd::Error, RunVerdict::MayHaveRun, false);
        self.queue
            .put(self.now + after, SimEvent::Submit(job_index));
    }

    pub fn caller_gone(&mut self, job_index: usize) {
        self.jobs[job_index].is_done = true;
        let open = self.submissions.iter();
        let open =
            open.filter(|(_, submission)| submission.job == job_index && !submission.is_answered);
        let open: Vec<(RequestId, NodeId)> = open
            .map(|(request, submission)| (*request, submission.entry))
            .collect();
        for (request, entry) in open {
            self.step_request(
                entry,
                request,
                &oatpier_policy::event::EntryEvent::CallerGone,
                None,
            );
        }
    }

    /// Records a piece that is relayed to the caller.
    pub fn record_piece(&mut self, request: RequestId, position: u32, content: RequestId) {
        let Some(submission) = self.submissions.get_mut(&request) else {
            return;
        };
        submission.content = Some(content);
        if submission.relayed == position && content == request {
            submission.relayed += 1;
        } else {
            submission.is_broken = true;
        }
    }

    /// Records the final answer that the entry sends to the caller.
    pub fn final_answer(&mut self, request: RequestId, answer: &FinalAnswer) {
        let Some(submission) = self.submissions.get(&request) else {
            return;
        };
        let job = self.jobs[submission.job];
        let complete = !submission.is_broken && submission.relayed == job.kind.pieces();
        let end = match answer.cause {
            FinalCause::Complete if complete => AnswerEnd::Whole,
            FinalCause::Complete => AnswerEnd::Cut,
            FinalCause::CallerGone => AnswerEnd::CallerGone,
            _ => AnswerEnd::Error,
        };
        let settled = matches!(
            answer.cause,
            FinalCause::Complete | FinalCause::Refused(RefusalCause::KeyUsed)
        );
        self.record_answer_end(request, end, answer.verdict, settled);
    }

    /// Records the end of an answer at its caller. If `settled` is true, the caller does not retry.
    pub fn record_answer_end(
        &mut self,
        request: RequestId,
        end: AnswerEnd,
        verdict: RunVerdict,
        settled: bool,
    ) {
        let Some(submission) = self.submissions.get_mut(&request) else {
            return;
        };
        submission.is_answered = true;
        let (job_index, content) = (submission.job, submission.content);
        self.log_event(FleetEvent::AnswerEnded {
            request,
            content_of: content,
            end,
            verdict,
            in_time: false,
        });
        if settled {
            self.jobs[job_index].is_done = true;
            return;
        }
        let wait = Duration::from_millis(self.random.random_range(150..500));
        self.queue.put(self.now + wait, SimEvent::Submit(job_index));
    }
}
