//! The binary of the operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    oatpier::cli::main()
}
