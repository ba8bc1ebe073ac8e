//! Progress of an engine's streams between two reports.
//!
//! An engine produces the next token of all its streams in one step, and a chunk holds several tokens. The streams began
//! at different times, so at each step some of them complete a chunk. Their mean progress is therefore known to a
//! fraction of a chunk, although reports state whole chunks only.

use std::collections::VecDeque;
use std::time::Duration;

use oatpier_types::clock::ClockTime;

use crate::engine::StreamProgress;

/// Longest time between two reports that are compared. Over a longer one, for which the sidecar did not run or the
/// engine did not answer, a mean hides pauses.
const MAX_REPORT_GAP: Duration = Duration::from_millis(500);

/// Time of which the progress is kept. Longer than the pauses that callers allow.
const HISTORY: Duration = Duration::from_secs(2);

/// Minimum number of chunks, over all streams, that a time per chunk is computed from.
const MIN_STREAM_CHUNKS: f64 = 4.0;

/// Minimum span that a time per chunk is computed from. The sidecar's own delays, of up to some ten milliseconds,
/// shorten or lengthen the time between two reports.
const MIN_SPAN: Duration = Duration::from_millis(110);

/// Number of chunks per millisecond from which a stream's progress is no progress but a corrupt figure.
const MAX_CHUNKS_PER_MS: u32 = 1;

/// Progress of the streams between two reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ProgressSample {
    /// Time between the reports.
    pub(super) span: Duration,
    /// Number of streams in both of them.
    pub(super) streams: u32,
    /// Mean number of chunks that each of these streams produced.
    pub(super) chunks: f64,
}

/// Most recent progress, over one chunk of a stream or more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct RecentProgress {
    /// Time that the progress took, until now.
    pub(super) span: Duration,
    /// Mean number of chunks of each stream.
    pub(super) chunks: f64,
}

impl RecentProgress {
    /// Returns the time that one chunk took.
    pub(super) fn chunk_time(self) -> Duration {
        self.span.div_f64(self.chunks)
    }
}

/// Meter of the progress of an engine's streams.
#[derive(Debug, Default)]
pub(super) struct ProgressMeter {
    streams: Vec<StreamProgress>,
    reported_at: Option<ClockTime>,
    samples: VecDeque<ProgressSample>,
}

impl ProgressMeter {
    /// Records the streams of a report. Returns their progress since the previous one, if it is known.
    pub(super) fn note(
        &mut self,
        streams: &[StreamProgress],
        now: ClockTime,
    ) -> Option<ProgressSample> {
        let sample = self
            .reported_at
            .map(|at| now.since(at))
            .filter(|span| *span <= MAX_REPORT_GAP && !span.is_zero())
            .and_then(|span| progress(&self.streams, streams, span));
        self.reported_at = Some(now);
        self.streams.clear();
        self.streams.extend_from_slice(streams);
        match sample {
            Some(sample) => self.keep(sample),
            None => self.samples.clear(),
        }
        sample
    }

    fn keep(&mut self, sample: ProgressSample) {
        self.samples.push_back(sample);
        let mut span: Duration = self.samples.iter().map(|sample| sample.span).sum();
        while let Some(oldest) = self.samples.front()
            && span.saturating_sub(oldest.span) >= HISTORY
        {
            span = span.saturating_sub(oldest.span);
            self.samples.pop_front();
        }
    }

    /// Returns the time of the last report.
    pub(super) fn reported_at(&self) -> Option<ClockTime> {
        self.reported_at
    }

    /// Returns whether the engine has streams whose progress is known.
    pub(super) fn has_progress(&self) -> bool {
        !self.samples.is_empty()
    }

    /// Returns whether no stream has produced a chunk for as long as progress is kept. The engine hangs, or the
    /// figures are not updated.
    pub(super) fn is_stuck(&self) -> bool {
        let span: Duration = self.samples.iter().map(|sample| sample.span).sum();
        span >= HISTORY && self.samples.iter().all(|sample| sample.chunks <= 0.0)
    }

    /// Returns the progress over the most recent chunk, or as much of it as is known of a chunk that takes longer.
    pub(super) fn recent(&self) -> Option<RecentProgress> {
        let mut recent = RecentProgress {
            span: Duration::ZERO,
            chunks: 0.0,
        };
        let mut stream_chunks = 0.0;
        for sample in self.samples.iter().rev() {
            recent.span += sample.span;
            recent.chunks += sample.chunks;
            stream_chunks += sample.chunks * f64::from(sample.streams);
            let is_whole = recent.chunks >= 1.0 && stream_chunks >= MIN_STREAM_CHUNKS;
            if is_whole && recent.span >= MIN_SPAN {
                return Some(recent);
            }
        }
        // With few streams, a slow chunk cannot be distinguished from one that is not due yet.
        (recent.chunks > 0.0 && stream_chunks >= MIN_STREAM_CHUNKS).then_some(recent)
    }
}

/// Returns the progress of the streams that both reports contain. Streams without a first chunk are left out, since the
/// engine may still be reading their prompts.
fn progress(
    earlier: &[StreamProgress],
    later: &[StreamProgress],
    span: Duration,
) -> Option<ProgressSample> {
    let max_advance = u32::try_from(span.as_millis()).unwrap_or(u32::MAX) * MAX_CHUNKS_PER_MS;
    let mut streams = 0_u32;
    let mut chunks = 0_u32;
    for known in earlier.iter().filter(|known| known.chunks > 0) {
        let found = later.iter().find(|stream| stream.id == known.id);
        let advance = found.and_then(|stream| stream.chunks.checked_sub(known.chunks));
        if let Some(advance) = advance.filter(|advance| *advance <= max_advance) {
            streams += 1;
            chunks += advance;
        }
    }
    (streams > 0).then(|| ProgressSample {
        span,
        streams,
        chunks: f64::from(chunks) / f64::from(streams),
    })
}
