//! The root command with its global options, and the entry point of the binary.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::commands;
use crate::context::CliContext;
use crate::error::CommandError;
use crate::shell::{ColorChoice, Shell};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused or failed; nothing was changed
  2  invalid command line or settings
  3  conflicts with another operator's change; nothing was changed
  4  timed out, or the store or an entry could not be reached; nothing was changed
  5  a write was sent but not answered: the change may have been accepted
  6  partly done, as the error says: accepted but not known to be in force everywhere, or only
     some of several stops planned";

/// Returns the command line with all subcommands.
#[must_use]
pub fn cli() -> Command {
    Command::new("oatpier")
        .about("Serves many models from fewer accelerators: the operators' command line")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(EXIT_CODES)
        .args(global_args())
        .subcommands(commands::all())
}

fn global_args() -> [Arg; 4] {
    [
        Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .help("Settings file with the addresses of the store and the entries [default: oatpier.toml]")
            .value_parser(value_parser!(PathBuf))
            .global(true),
        Arg::new("json")
            .long("json")
            .help("Print one JSON document on stdout")
            .action(ArgAction::SetTrue)
            .global(true),
        Arg::new("quiet")
            .long("quiet")
            .short('q')
            .help("Print no status lines")
            .action(ArgAction::SetTrue)
            .global(true),
        Arg::new("color")
            .long("color")
            .value_name("WHEN")
            .help("Color status lines and errors")
            .value_parser(["auto", "always", "never"])
            .default_value("auto")
            .global(true),
    ]
}

/// Parses and runs the command line of this process, and returns its exit code.
#[must_use]
pub fn main() -> ExitCode {
    let matches = cli().get_matches();
    let shell = shell_of(&matches);
    let json = matches.get_flag("json");
    match run(&matches, shell) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            shell.error(&error);
            if json {
                // Programs read the document. If stdout is closed, they still get the exit code.
                let _ = crate::shell::print_json(&error.document());
            }
            ExitCode::from(error.exit_code())
        }
    }
}

fn shell_of(matches: &ArgMatches) -> Shell {
    let color = match matches.get_one::<String>("color").map(String::as_str) {
        Some("always") => ColorChoice::Always,
        Some("never") => ColorChoice::Never,
        _ => ColorChoice::Auto,
    };
    Shell::new(color, matches.get_flag("quiet"))
}

fn run(matches: &ArgMatches, shell: Shell) -> Result<(), CommandError> {
    let settings = matches.get_one::<PathBuf>("settings").cloned();
    let context = CliContext::new(shell, matches.get_flag("json"), settings)?;
    commands::exec(&context, matches)
}
