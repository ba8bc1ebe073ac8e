//! Tests of which sidecars a gateway subscribes to, and of how that grows with the fleet.

use std::net::SocketAddr;

use oatpier_serving::relays::{RelayCandidate, is_candidate};
use oatpier_serving::subscriptions::{SidecarView, SubscriptionSchedule};
use oatpier_types::names::{EndpointName, ZoneName};

use crate::support::{address, at, endpoint, zone};

/// Interval between rounds in milliseconds.
const ROUND_MS: usize = 125;

fn subscription_times(from_ms: u64, to_ms: u64, schedule: &mut SubscriptionSchedule) -> Vec<u64> {
    let name = endpoint("e1");
    let sidecar = SidecarView {
        engine: &name,
        address: address(1),
        is_silent: true,
        uses_adapters: false,
    };
    let ticks = (from_ms..to_ms).step_by(ROUND_MS);
    ticks
        .filter(|now| {
            !schedule
                .next_round(&[sidecar], &|_| true, at(*now))
                .is_empty()
        })
        .collect()
}

/// All processes start together, and a sidecar is ready one or two seconds after the gateways.
#[test]
fn sidecar_that_starts_late_is_sent_eight_subscriptions_a_second() {
    let mut schedule = SubscriptionSchedule::default();
    assert_eq!(subscription_times(0, 4_000, &mut schedule).len(), 32);
}

/// An engine has no sidecar. Subscriptions at the initial rate would be as much traffic to its VM as all other
/// messages together.
#[test]
fn sidecar_that_never_answers_is_rarely_sent_subscriptions() {
    let mut schedule = SubscriptionSchedule::default();
    subscription_times(0, 30_000, &mut schedule);
    let later = subscription_times(30_000, 90_000, &mut schedule);
    assert!(later.len() <= 13, "{later:?}");
    assert!(later.windows(2).all(|pair| pair[1] - pair[0] <= 5_125));
}

#[test]
fn recovered_sidecar_is_sent_subscriptions_at_the_initial_rate_when_it_falls_silent() {
    let mut schedule = SubscriptionSchedule::default();
    subscription_times(0, 60_000, &mut schedule);
    schedule.next_round(&[], &|_| true, at(60_000));
    assert_eq!(subscription_times(60_000, 61_000, &mut schedule).len(), 8);
}

/// Number of gateways of which subscriptions are counted. Every seventh has a larger VM.
const SAMPLED_GATEWAYS: usize = 14;

/// A part of a fleet: the gateways of one availability zone, and all engines.
struct ZoneFleet {
    zone: ZoneName,
    gateways: Vec<SocketAddr>,
    engines: Vec<EndpointName>,
}

impl ZoneFleet {
    /// Five zones share the gateways evenly. Seven engines stand behind each four gateways.
    fn new(gateways: usize) -> Self {
        let engines = 0..gateways * 7 / 4;
        Self {
            zone: zone("near"),
            gateways: (0..gateways / 5).map(|number| host(1, number)).collect(),
            engines: engines
                .map(|number| endpoint(&format!("e{number}")))
                .collect(),
        }
    }

    fn sidecars(&self, is_silent: impl Fn(usize) -> bool) -> Vec<SidecarView<'_>> {
        let engines = self.engines.iter().enumerate();
        let view = |(number, engine)| SidecarView {
            engine,
            address: host(2, number),
            is_silent: is_silent(number),
            uses_adapters: false,
        };
        engines.map(view).collect()
    }

    fn candidate(&self, gateway: usize) -> RelayCandidate<'_> {
        RelayCandidate {
            zone: &self.zone,
            address: self.gateways[gateway],
            processor: if gateway.is_multiple_of(7) { 500 } else { 90 },
        }
    }

    /// Returns how many subscriptions a gateway of the zone sends per second while all sidecars send updates, averaged
    /// over some gateways.
    fn steady_rate(&self) -> usize {
        let seconds = 4;
        let sidecars = self.sidecars(|_| false);
        let mut sent = 0;
        for gateway in 0..SAMPLED_GATEWAYS {
            let own = self.candidate(gateway);
            let others = (0..self.gateways.len()).filter(|other| *other != gateway);
            let others: Vec<RelayCandidate<'_>> =
                others.map(|other| self.candidate(other)).collect();
            let may_relay = |sidecar| is_candidate(sidecar, &own, others.iter());
            let mut schedule = SubscriptionSchedule::starting_at(gateway * 97);
            for round in 0..seconds * 1_000 / ROUND_MS {
                let now = at((round * ROUND_MS) as u64);
                sent += schedule.next_round(&sidecars, &may_relay, now).len();
            }
        }
        sent / seconds / SAMPLED_GATEWAYS
    }
}

fn host(network: u8, number: usize) -> SocketAddr {
    let [.., high, low] = number.to_be_bytes();
    SocketAddr::from(([10, network, high, low], 7_380))
}

/// Guards against subscriptions of each gateway to each sidecar: in a fleet that is ten times as large, a gateway sent ten
/// times as many.
#[test]
fn the_subscriptions_of_a_gateway_do_not_grow_with_the_fleet() {
    for gateways in [100, 357, 1_000] {
        let (rate, doubled) = (
            ZoneFleet::new(gateways).steady_rate(),
            ZoneFleet::new(gateways * 2).steady_rate(),
        );
        assert!(
            rate <= 70,
            "{rate} subscriptions a second of {gateways} gateways"
        );
        assert!(
            doubled * 10 <= rate * 11,
            "{rate} and {doubled} of {gateways} gateways"
        );
    }
}

/// Guards against a start of all processes in which each gateway contacts each sidecar eight times a second.
#[test]
fn a_start_of_all_is_bounded_and_reaches_each_sidecar_from_each_zone_within_a_second() {
    for gateways in [100, 357, 1_000] {
        let fleet = ZoneFleet::new(gateways);
        let sidecars = fleet.sidecars(|_| true);
        let mut is_reached = vec![false; sidecars.len()];
        for gateway in 0..fleet.gateways.len() {
            let mut schedule = SubscriptionSchedule::starting_at(gateway * 977);
            for round in 0..1_000 / ROUND_MS {
                let now = at((round * ROUND_MS) as u64);
                let due = schedule.next_round(&sidecars, &|_| true, now);
                assert!(due.len() <= 16, "{} in one round", due.len());
                for position in due {
                    is_reached[position] = true;
                }
            }
        }
        let missed = is_reached.iter().filter(|reached| !**reached).count();
        assert_eq!(missed, 0, "{gateways} gateways");
    }
}

/// Guards against a storm when many engines fall silent: gateways that are no relays of them wait for what relays
/// forward.
#[test]
fn a_gateway_that_is_no_relay_waits_before_it_contacts_a_silent_sidecar() {
    let fleet = ZoneFleet::new(100);
    let sidecars = fleet.sidecars(|number| number < 10);
    let mut schedule = SubscriptionSchedule::default();
    let contacted = |due: Vec<usize>| due.into_iter().filter(|position| *position < 10).count();
    for now in (0..500).step_by(ROUND_MS) {
        assert_eq!(
            contacted(schedule.next_round(&sidecars, &|_| false, at(now))),
            0
        );
    }
    assert_eq!(
        contacted(schedule.next_round(&sidecars, &|_| false, at(500))),
        10
    );
}

/// Guards against gateways that sidecars of a small fleet take for gone: their entries expire after five seconds.
#[test]
fn each_sidecar_of_a_small_fleet_gets_a_subscription_every_two_seconds() {
    let fleet = ZoneFleet::new(50);
    let sidecars = fleet.sidecars(|_| false);
    let mut schedule = SubscriptionSchedule::starting_at(61);
    let mut counts = vec![0; sidecars.len()];
    for round in 0..16 {
        let now = at((round * ROUND_MS) as u64);
        for position in schedule.next_round(&sidecars, &|_| false, now) {
            counts[position] += 1;
        }
    }
    assert!(counts.iter().all(|count| *count == 1), "{counts:?}");
}
