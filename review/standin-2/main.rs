//! Plays the cases of the second review: starts the project's processes and stand-ins of the platform, and checks a rule.
//!
//! Usage: `standin-2 CASE FOLDER`. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not
//! run. Without the disruption if the variable `TROUBLE` is 0.

mod cases;
mod engine;
mod http;
mod json;
mod plain;
mod store;
mod world;

use std::path::{Path, PathBuf};
use std::process::exit;
use std::thread;
use std::time::Duration;

use world::{Record, World};

/// The program of the deploy file.
const DAEMON: &str = "target/release/oatpierd";

/// The longest time that a case may take.
const MAX_TIME: Duration = Duration::from_secs(112);

/// The result of a case.
pub enum Outcome {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin-2 CASE FOLDER");
        exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match run(case, Path::new(folder), is_troubled) {
        Outcome::Held => {
            println!("{case}: the rule held");
            0
        }
        Outcome::Broken(how) => {
            println!("{case}: the rule is broken: {how}");
            1
        }
        Outcome::NotRun(why) => {
            println!("{case}: could not run: {why}");
            2
        }
    };
    exit(code);
}

fn run(case: &str, folder: &Path, is_troubled: bool) -> Outcome {
    let Ok(record) = Record::create(&folder.join("record.txt")) else {
        return Outcome::NotRun("the record can't be written".to_owned());
    };
    let work = std::env::temp_dir().join(format!("oatpier-review-{}", std::process::id()));
    if std::fs::create_dir_all(&work).is_err() {
        return Outcome::NotRun("there is no temporary folder".to_owned());
    }
    let daemon = PathBuf::from(DAEMON);
    if !daemon.exists() {
        return Outcome::NotRun("the build command of the deploy file has not run".to_owned());
    }
    record.write(&format!("case {case}, with the disruption: {is_troubled}"));
    let world = match World::start(record.clone(), &daemon, &work) {
        Ok(world) => world,
        Err(error) => return Outcome::NotRun(error.to_string()),
    };
    let (sender, receiver) = std::sync::mpsc::channel();
    let name = case.to_owned();
    let playing = world.clone();
    thread::spawn(move || {
        let outcome = cases::play(&name, &playing, is_troubled);
        let _ = sender.send(outcome.unwrap_or_else(|error| Outcome::NotRun(error.to_string())));
    });
    let outcome = receiver.recv_timeout(MAX_TIME);
    world.end_all();
    let outcome = outcome.unwrap_or_else(|_| Outcome::NotRun("it took too long".to_owned()));
    let text = match &outcome {
        Outcome::Held => "the rule held".to_owned(),
        Outcome::Broken(how) => format!("the rule is broken: {how}"),
        Outcome::NotRun(why) => format!("could not run: {why}"),
    };
    record.write(&text);
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&work);
    } else {
        println!("logs are kept in {}", work.display());
    }
    outcome
}
