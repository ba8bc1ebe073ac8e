//! The daemon binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    oatpierd::cli::main()
}
