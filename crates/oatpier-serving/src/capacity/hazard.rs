//! How often an engine pauses its streams for too long.

use std::time::Duration;

use oatpier_types::clock::ClockTime;

use super::progress::ProgressSample;

/// Half-life of what was observed while streams ran. VMs are disturbed every few seconds, so that several disturbances
/// count.
const HALF_LIFE: Duration = Duration::from_secs(20);

/// Half-life of late pauses while no stream runs. An engine that gets no streams because of its late pauses is tried
/// again after a while.
const IDLE_HALF_LIFE: Duration = Duration::from_mins(1);

/// Time of streams without a late pause that is assumed of an engine at first. A single early pause is no rate.
const INITIAL_STREAM_SECONDS: f64 = 10.0;

/// Rate of late pauses of an engine's streams. Consecutive late pauses of a stream count once: one makes the stream
/// late.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PauseHazard {
    stream_seconds: f64,
    late_pauses: f64,
    /// Share of the streams that have had a late pause since pauses became late.
    late_share: f64,
    noted_at: ClockTime,
}

impl PauseHazard {
    /// Records progress during which the last chunk of each stream took `chunk`.
    pub(super) fn note(
        &mut self,
        sample: &ProgressSample,
        chunk: Duration,
        max_pause: Duration,
        now: ClockTime,
    ) {
        self.late_pauses = self.late_pauses_at(now - sample.span);
        let kept = half_life_factor(sample.span, HALF_LIFE);
        let streams = f64::from(sample.streams);
        self.stream_seconds = self.stream_seconds * kept + streams * sample.span.as_secs_f64();
        let hit = if chunk > max_pause {
            sample.chunks.min(1.0 - self.late_share)
        } else {
            self.late_share = 0.0;
            0.0
        };
        self.late_share += hit;
        self.late_pauses = self.late_pauses * kept + hit * streams;
        self.noted_at = now;
    }

    /// Returns the rate of late pauses per second of one stream.
    pub(super) fn rate(&self, now: ClockTime) -> f64 {
        self.late_pauses_at(now) / (self.stream_seconds + INITIAL_STREAM_SECONDS)
    }

    fn late_pauses_at(&self, now: ClockTime) -> f64 {
        self.late_pauses * half_life_factor(now.since(self.noted_at), IDLE_HALF_LIFE)
    }
}

fn half_life_factor(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
