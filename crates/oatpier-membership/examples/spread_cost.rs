//! Measures the cost of configuration spread and membership, and the time until a change is in
//! force everywhere.
//!
//! `cargo run --release -p oatpier-membership --example spread_cost` runs 3, 34 and 340 entries
//! with their agents, without loss and with a tenth of all messages lost. Byte counts are those of
//! the `MessagePack` bodies plus an allowance for HTTP headers, sent and received together.
//!
//! The runs are sequential, as 340 entries in one process take about 2 GB. With arguments
//! (`-- ENTRIES LOSS CHANGES`) only the run that matches is made, over that many changes.

#[path = "../tests/testsuite/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::env;
use std::fmt::Write;
use std::time::Duration;

use oatpier_membership::agent::AgentEvent;
use oatpier_membership::exchange::ExchangeScope;
use oatpier_membership::members::TableLimits;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, Generation};
use support::fleet::{Fleet, Shape};
use support::payload::TestConfig;
use support::{queue_report, weights};

/// 11,000 changes a day are one in about eight seconds.
const CHANGE_EVERY: Duration = Duration::from_secs(8);
const CHANGES: u32 = 6;
/// Time until tables are complete and agents keep their registrars.
const WARM_UP: Duration = Duration::from_secs(75);

/// Changes per second, over the whole fleet, of what an endpoint has ready: as many loads and
/// unloads as the weight stores of the two deployments allow.
const READY_CHANGES: usize = 6;

fn main() {
    println!(
        "entries agents loss | p50 p99 max s | entry mean max B/s | agent mean max B/s | store calls/min"
    );
    let sizes = [
        (3, 21, vec![3]),
        (34, 350, vec![2; 4]),
        (340, 3_500, vec![2; 4]),
    ];
    let wanted = WantedRun::from_arguments();
    for (entries, agents, zones) in sizes {
        for loss in [0.0, 0.1] {
            if wanted.includes(entries, loss) {
                print!(
                    "{}",
                    run(entries, agents, zones.clone(), loss, wanted.changes)
                );
            }
        }
    }
}

/// The runs selected by the arguments; without arguments, all.
struct WantedRun {
    entries: Option<usize>,
    loss: Option<f64>,
    changes: u32,
}

impl WantedRun {
    fn from_arguments() -> Self {
        let mut arguments = env::args().skip(1);
        let mut next = || arguments.next();
        Self {
            entries: next().map(|text| text.parse().expect("a count of entries")),
            loss: next().map(|text| text.parse().expect("a fraction from 0 to 1")),
            changes: next().map_or(CHANGES, |text| text.parse().expect("a count of changes")),
        }
    }

    fn includes(&self, entries: usize, loss: f64) -> bool {
        let same_loss = |wanted: f64| (wanted - loss).abs() < f64::EPSILON;
        self.entries.is_none_or(|wanted| wanted == entries) && self.loss.is_none_or(same_loss)
    }
}

fn run(
    entries: usize,
    agents: usize,
    zones_by_region: Vec<usize>,
    loss: f64,
    changes: u32,
) -> String {
    let scope = ExchangeScope::for_fleet(agents);
    let limits = TableLimits::default();
    let shape = Shape {
        zones_by_region,
        entries,
        agents,
        scope,
        limits,
    };
    let mut fleet = Fleet::new(shape, 11);
    let rows: BTreeMap<u32, String> = (0..u32::try_from(agents + 490)
        .expect("the value fits the type"))
        .map(|row| {
            (
                row,
                format!("an endpoint or a model with its settings {row:05}"),
            )
        })
        .collect();
    fleet.accept_value(TestConfig { rows });
    fleet.network.loss = loss;
    fleet.run_for(WARM_UP);
    fleet.measure = true;
    fleet.store.calls = 0;
    let mut sequence = 2;
    let mut times = Vec::new();
    for change in 0..changes {
        let generation = fleet.accept(change, "an endpoint or a model with another setting");
        let at = fleet.now;
        for second in 0..CHANGE_EVERY.as_secs() {
            change_load(&mut fleet, entries, change, second, &mut sequence);
            fleet.run_for(Duration::from_secs(1));
        }
        times.extend(in_force_times(&fleet, generation, at));
    }
    report(&fleet, entries, agents, loss, changes, times)
}

/// Changes every queue, and loads or unloads a model on a few endpoints.
fn change_load(fleet: &mut Fleet, entries: usize, change: u32, second: u64, sequence: &mut u64) {
    let total = fleet.processes.len();
    for index in entries..total {
        *sequence += 1;
        fleet.agent_event(
            index,
            AgentEvent::QueueReport(queue_report(BootId(index as u128 + 1), *sequence)),
        );
    }
    let first =
        (change as usize * 8 + usize::try_from(second).expect("the value fits the type")) * 37;
    for step in 0..READY_CHANGES.min(total / 20) {
        let index = entries + (first + step * 101) % (total - entries);
        let mut status = fleet.processes[index].status.clone().expect("an agent");
        status.ready_sequence += 1;
        status.ready[0] = weights(&format!("model-{:03}", (first + step) % 490));
        fleet.processes[index].status = Some(status.clone());
        status.queue.boot = BootId(index as u128 + 1);
        fleet.agent_event(index, AgentEvent::Status(Box::new(status)));
    }
}

fn in_force_times(fleet: &Fleet, generation: Generation, at: ClockTime) -> Vec<Duration> {
    let reached = fleet.processes.iter().map(|process| {
        let first = process.in_force.iter().find(|row| row.1 >= generation);
        first.map_or(Duration::MAX, |row| row.0.since(at))
    });
    reached.collect()
}

fn report(
    fleet: &Fleet,
    entries: usize,
    agents: usize,
    loss: f64,
    changes: u32,
    mut times: Vec<Duration>,
) -> String {
    times.sort();
    let at = |share: usize| times[(times.len() - 1) * share / 100].as_secs_f64();
    let span = CHANGE_EVERY.as_secs() * u64::from(changes);
    let rates = |from: usize, to: usize| {
        let bytes = fleet.processes[from..to]
            .iter()
            .map(|process| process.bytes / span);
        let bytes: Vec<u64> = bytes.collect();
        let mean = bytes.iter().sum::<u64>() / bytes.len() as u64;
        (mean, bytes.into_iter().max().unwrap_or(0))
    };
    let (entry, agent) = (rates(0, entries), rates(entries, entries + agents));
    let mut text = String::new();
    writeln!(
        text,
        "{entries} {agents} {loss} | {:.3} {:.3} {:.3} | {} {} | {} {} | {}",
        at(50),
        at(99),
        at(100),
        entry.0,
        entry.1,
        agent.0,
        agent.1,
        fleet.store.calls * 60 / span,
    )
    .expect("writing to a string succeeds");
    for (kind, (messages, bytes)) in &fleet.by_kind {
        writeln!(
            text,
            "    {kind}: {messages} messages, {} bytes each, {} a change",
            bytes / messages,
            messages / u64::from(changes)
        )
        .expect("writing to a string succeeds");
    }
    text
}
