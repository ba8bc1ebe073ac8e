//! The embedded quickstart: stand-ins, an entry and three agents in one process.
//!
//! It sends requests through them, prints what came back and the hops of one trace, and ends with
//! 0. It ends with 1 and says what is wrong if any answer is not as it has to be.

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

/// How long all calls together may take.
const RUN_LIMIT: Duration = Duration::from_secs(40);
/// How long the spans of a finished request may take to be exported.
const SPANS_LIMIT: Duration = Duration::from_secs(5);
/// Hops of a streamed chat completion: five at the entry, two at the agent.
const CHAT_HOPS: usize = 7;
/// Log lines that are shown when something is wrong.
const SHOWN_LOG_LINES: usize = 20;

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
    for line in &lines[lines.len().saturating_sub(SHOWN_LOG_LINES)..] {
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
    let mut screen = capture.screen;
    writeln!(
        screen,
        "\nThe entry and the agents have stopped; nothing was cut off."
    )?;
    let faults: Vec<_> = reports.iter().filter_map(fault_of).collect();
    if faults.is_empty() {
        return Ok(());
    }
    Err(faults.join("; ").into())
}

fn fault_of(report: &CallReport) -> Option<String> {
    let fault = report.fault.as_ref()?;
    Some(format!("{}: {fault}", report.name))
}

/// Starts everything, sends the requests and prints what came back.
async fn serve(
    logs: &LogLines,
    capture: &mut SpanCapture,
) -> Result<(Daemons, Vec<CallReport>), AnyError> {
    let platform = Platform::start().await?;
    let daemons = Daemons::start(&platform, logs)?;
    let screen = &mut capture.screen;
    print_fleet(screen, &daemons)?;
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
    print_reports(screen, &reports)?;
    print_trace(capture, &reports[0]).await?;
    Ok((daemons, reports))
}

/// The service's own record says how often the at-most-once call ran.
fn check_runs(platform: &Platform, reports: &mut [CallReport]) {
    let calls = platform.service.handle.calls();
    let runs = calls
        .iter()
        .filter(|call| call.path == "/plans/7/apply")
        .count();
    if let (Some(last), true) = (reports.last_mut(), runs != 1) {
        let fault = format!("the service ran the call {runs} times, not once");
        last.fault = Some(fault);
    }
}

fn print_fleet(screen: &mut File, daemons: &Daemons) -> Result<(), AnyError> {
    writeln!(
        screen,
        "Started a store, a VM list, two engines and a plain service, and"
    )?;
    let entry = std::iter::once(&daemons.entry);
    for daemon in entry.chain(&daemons.agents) {
        writeln!(screen, "  {:<18} {}", daemon.name, daemon.addresses[0])?;
    }
    Ok(())
}

fn print_reports(screen: &mut File, reports: &[CallReport]) -> Result<(), AnyError> {
    writeln!(
        screen,
        "\n{:<26} {:<7} {:<13} answer",
        "request", "status", "verdict"
    )?;
    for report in reports {
        let mark = report
            .fault
            .as_ref()
            .map_or("", |_| "   <- not as it has to be");
        writeln!(
            screen,
            "{:<26} {:<7} {:<13} {}{mark}",
            report.name, report.status, report.verdict, report.content
        )?;
    }
    Ok(())
}

/// Prints the hops of a request. The daemons export them after the answer is over.
async fn print_trace(capture: &mut SpanCapture, report: &CallReport) -> Result<(), AnyError> {
    let trace = report.request.as_str();
    let collecting = async {
        while capture.hops(trace).len() < CHAT_HOPS {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let is_whole = tokio::time::timeout(SPANS_LIMIT, collecting).await.is_ok();
    let hops = capture.hops(trace);
    writeln!(
        capture.screen,
        "\nHops of the {} (trace {trace}):",
        report.name
    )?;
    write!(capture.screen, "{}", tree::tree_text(&hops))?;
    if is_whole {
        return Ok(());
    }
    Err(format!("only {} of {CHAT_HOPS} hops were exported", hops.len()).into())
}
