//! The matrix of faults by steps, and how its cells are run.

mod cell;
mod pairs;
mod table;

pub use cell::{CellOutcome, CellPlan, MatrixCell, ScenarioKind, run_cell};
pub use pairs::{FaultPair, fault_pairs, run_pair};
pub use table::cell_plan;

use crate::fault::FaultKind;
use crate::step::StepName;

/// Number of threads that run cells.
const WORKER_THREADS: usize = 3;

/// Runs every cell of the matrix, then the pairs of faults.
///
/// The order and the results of the cells do not depend on which thread runs them.
#[must_use]
pub fn run_matrix(seeds: u64) -> Vec<MatrixCell> {
    let grid = FaultKind::ALL.into_iter().flat_map(|fault| {
        let steps = StepName::ALL.iter();
        steps.map(move |step| CellTask::Single(fault, *step))
    });
    let pairs = fault_pairs().into_iter().map(CellTask::Pair);
    let tasks: Vec<CellTask> = grid.chain(pairs).collect();
    let mut cells: Vec<(usize, MatrixCell)> = std::thread::scope(|scope| {
        let tasks = &tasks;
        let work = |worker: usize| scope.spawn(move || run_worker_tasks(tasks, worker, seeds));
        let workers: Vec<_> = (0..WORKER_THREADS).map(work).collect();
        let results = workers.into_iter().filter_map(|worker| worker.join().ok());
        results.flatten().collect()
    });
    cells.sort_by_key(|(index, _)| *index);
    cells.into_iter().map(|(_, cell)| cell).collect()
}

enum CellTask {
    Single(FaultKind, StepName),
    Pair(FaultPair),
}

fn run_worker_tasks(tasks: &[CellTask], worker: usize, seeds: u64) -> Vec<(usize, MatrixCell)> {
    let worker_tasks = tasks
        .iter()
        .enumerate()
        .skip(worker)
        .step_by(WORKER_THREADS);
    worker_tasks
        .map(|(index, task)| {
            let cell = match task {
                CellTask::Single(fault, step) => run_cell(*fault, *step, seeds),
                CellTask::Pair(pair) => run_pair(pair, seeds),
            };
            (index, cell)
        })
        .collect()
}
