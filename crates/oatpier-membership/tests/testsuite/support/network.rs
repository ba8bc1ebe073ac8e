//! The simulated network: delays, losses and cuts.

use std::time::Duration;

use oatpier_types::names::{DaemonName, ZoneName};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// One end of a cut.
#[derive(Debug, Clone, PartialEq)]
pub enum Side {
    Any,
    Zone(ZoneName),
    OutsideZone(ZoneName),
    Process(DaemonName),
}

impl Side {
    fn contains(&self, process: &DaemonName, zone: &ZoneName) -> bool {
        match self {
            Self::Any => true,
            Self::Zone(name) => name == zone,
            Self::OutsideZone(name) => name != zone,
            Self::Process(name) => name == process,
        }
    }
}

/// A cut that drops all messages from one side to the other.
#[derive(Debug, Clone, PartialEq)]
pub struct OneWayCut {
    pub from: Side,
    pub to: Side,
}

#[derive(Debug, Clone, Copy)]
pub struct Delays {
    pub near: Duration,
    pub zones: Duration,
    pub regions: Duration,
}

#[derive(Debug)]
pub struct Network {
    pub loss: f64,
    pub cuts: Vec<OneWayCut>,
    pub delays: Delays,
    pub generator: ChaCha8Rng,
}

pub struct LinkEnd<'a> {
    pub process: &'a DaemonName,
    pub zone: &'a ZoneName,
    pub region: usize,
}

impl Network {
    pub fn new(generator: ChaCha8Rng) -> Self {
        Self {
            loss: 0.0,
            cuts: Vec::new(),
            delays: Delays {
                near: Duration::from_micros(500),
                zones: Duration::from_micros(1_500),
                regions: Duration::from_millis(40),
            },
            generator,
        }
    }

    pub fn cut_zone(&mut self, zone: &ZoneName) {
        let (inside, outside) = (Side::Zone(zone.clone()), Side::OutsideZone(zone.clone()));
        self.cuts.push(OneWayCut {
            from: inside.clone(),
            to: outside.clone(),
        });
        self.cuts.push(OneWayCut {
            from: outside,
            to: inside,
        });
    }

    /// Returns the delay of a message, or `None` if it is lost.
    pub fn transmit(&mut self, from: &LinkEnd<'_>, to: &LinkEnd<'_>) -> Option<Duration> {
        let lost = self.loss > 0.0 && self.generator.random_bool(self.loss);
        let cut = self.cuts.iter().any(|cut| {
            cut.from.contains(from.process, from.zone) && cut.to.contains(to.process, to.zone)
        });
        if lost || cut {
            return None;
        }
        let base = if from.zone == to.zone {
            self.delays.near
        } else if from.region == to.region {
            self.delays.zones
        } else {
            self.delays.regions
        };
        Some(base.mul_f64(self.generator.random_range(1.0..1.5)))
    }
}
