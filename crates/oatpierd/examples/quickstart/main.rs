//! The embedded quickstart: stand-ins, an entry and three agents in one process.
//!
//! It sends requests through the fleet, and prints the answers and the hops of one trace. It exits with 0 if all
//! answers are as expected. Otherwise it reports the errors and exits with 1.

mod calls;
mod capture;
mod fleet;
mod tree;

use std::error::Error;
use std::fs::File;
use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;

use calls::{CallReport, Caller};
use capture::{LogLines, SpanCapture};
use fleet::{Daemons, Platform};

type AnyError = Box<dyn Error>;

/// Time limit of all calls together.
const RUN_LIMIT: Duration = Duration::from_secs(40);
/// Timeout for the export of the spans of a finished request.
const SPANS_TIMEOUT: Duration = Duration::from_secs(5);
/// Hops of a streamed chat completion: five in the entry, two in the agent.
const CHAT_HOPS: usize = 7;
/// Number of log lines printed on failure.
const MAX_LOG_LINES: usize = 20;

fn main() -> ExitCode {
    let logs = match LogLines::install() {
        Ok(logs) => logs,
        Err(error) => return failed(error.as_ref(), ""),
    };
    match run(&logs) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(error.as_ref(), &logs.text()),
    }
}

fn failed(error: &dyn Error, log: &str) -> ExitCode {
    let lines: Vec<_> = log.lines().collect();
    for line in &lines[lines.len().saturating_sub(MAX_LOG_LINES)..] {
        eprintln!("{line}");
    }
    eprintln!("the quickstart failed: {error}");
    ExitCode::FAILURE
}

fn run(logs: &LogLines) -> Result<(), AnyError> {
    let mut capture = SpanCapture::install()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (daemons, reports) = runtime.block_on(async {
        let serving = serve(logs, &mut capture);
        tokio::time::timeout(RUN_LIMIT, serving)
            .await
            .map_err(|_| format!("not done within {RUN_LIMIT:?}"))?
    })?;
    daemons.stop()?;
    let mut original_stdout = capture.original_stdout;
    writeln!(
        original_stdout,
        "\nThe entry and the agents have stopped; no request was cut off."
    )?;
    let problems: Vec<_> = reports.iter().filter_map(format_problem).collect();
    if problems.is_empty() {
        return Ok(());
    }
    Err(problems.join("; ").into())
}

fn format_problem(report: &CallReport) -> Option<String> {
    let problem = report.problem.as_ref()?;
    Some(format!("{}: {problem}", report.name))
}

/// Starts the fleet, sends the requests and prints the results.
async fn serve(
    logs: &LogLines,
    capture: &mut SpanCapture,
) -> Result<(Daemons, Vec<CallReport>), AnyError> {
    let platform = Platform::start().await?;
    let daemons = Daemons::start(&platform, logs)?;
    let original_stdout = &mut capture.original_stdout;
    print_fleet(original_stdout, &daemons)?;
    let caller = Caller::new(daemons.entry.addresses[0]);
    let observe = daemons.entry.addresses[2];
    caller.wait_until_known(observe, 3, 2).await?;
    let mut reports = vec![
        caller.streamed_chat().await?,
        caller.whole_chat().await?,
        caller.service_call().await?,
        caller.first_submission().await?,
        caller.second_submission().await?,
    ];
    check_runs(&platform, &mut reports);
    print_reports(original_stdout, &reports)?;
    print_trace(capture, &reports[0]).await?;
    Ok((daemons, reports))
}

/// Checks in the service's record that the at-most-once call ran exactly once.
fn check_runs(platform: &Platform, reports: &mut [CallReport]) {
    let calls = platform.service.handle.calls();
    let runs = calls
        .iter()
        .filter(|call| call.path == "/plans/7/apply")
        .count();
    if let (Some(last), true) = (reports.last_mut(), runs != 1) {
        let problem = format!("the service ran the call {runs} times, not once");
        last.problem = Some(problem);
    }
}

fn print_fleet(original_stdout: &mut File, daemons: &Daemons) -> Result<(), AnyError> {
    writeln!(
        original_stdout,
        "Started a store, a VM list, two engines and a plain service, and"
    )?;
    let entry = std::iter::once(&daemons.entry);
    for daemon in entry.chain(&daemons.agents) {
        writeln!(
            original_stdout,
            "  {:<18} {}",
            daemon.name, daemon.addresses[0]
        )?;
    }
    Ok(())
}

fn print_reports(original_stdout: &mut File, reports: &[CallReport]) -> Result<(), AnyError> {
    writeln!(
        original_stdout,
        "\n{:<26} {:<7} {:<13} answer",
        "request", "status", "verdict"
    )?;
    for report in reports {
        let mark = report.problem.as_ref().map_or("", |_| "   <- unexpected");
        writeln!(
            original_stdout,
            "{:<26} {:<7} {:<13} {}{mark}",
            report.name, report.status, report.verdict, report.content
        )?;
    }
    Ok(())
}

/// Prints the hops of a request. The daemons export them after the end of the answer.
async fn print_trace(capture: &mut SpanCapture, report: &CallReport) -> Result<(), AnyError> {
    let trace = report.request.as_str();
    let collecting = async {
        while capture.hops(trace).len() < CHAT_HOPS {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let is_whole = tokio::time::timeout(SPANS_TIMEOUT, collecting)
        .await
        .is_ok();
    let hops = capture.hops(trace);
    writeln!(
        capture.original_stdout,
        "\nHops of the {} (trace {trace}):",
        report.name
    )?;
    write!(capture.original_stdout, "{}", tree::tree_text(&hops))?;
    if is_whole {
        return Ok(());
    }
    Err(format!("only {} of {CHAT_HOPS} hops were exported", hops.len()).into())
}
