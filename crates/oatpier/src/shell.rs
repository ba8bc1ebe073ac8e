//! Terminal output: status lines and errors on stderr, answers on stdout.

use std::error::Error;
use std::fmt::Display;
use std::io::{IsTerminal, Write};

use serde::Serialize;

use crate::error::CommandError;

/// Width to which status verbs are right-aligned, in characters.
const VERB_WIDTH: usize = 12;
const GREEN: &str = "\x1b[1;32m";
const YELLOW: &str = "\x1b[1;33m";
const RED: &str = "\x1b[1;31m";
const RESET: &str = "\x1b[0m";

/// When to color the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColorChoice {
    /// On a terminal, unless `NO_COLOR` is set.
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// Writes status lines and errors to stderr.
#[derive(Debug, Clone, Copy)]
pub struct Shell {
    colored: bool,
    quiet: bool,
}

impl Shell {
    /// Creates a shell on this process's stderr.
    #[must_use]
    pub fn new(color: ColorChoice, quiet: bool) -> Self {
        let colored = match color {
            ColorChoice::Always => true,
            ColorChoice::Never => false,
            ColorChoice::Auto => {
                std::io::stderr().is_terminal() && std::env::var_os("NO_COLOR").is_none()
            }
        };
        Self { colored, quiet }
    }

    /// Prints one status line on current or completed work.
    pub fn status(&self, verb: &str, message: impl Display) {
        if !self.quiet {
            let verb = self.paint(GREEN, &format!("{verb:>VERB_WIDTH$}"));
            eprintln!("{verb} {message}");
        }
    }

    /// Prints one warning.
    pub fn warn(&self, message: impl Display) {
        if !self.quiet {
            eprintln!("{}: {message}", self.paint(YELLOW, "warning"));
        }
    }

    /// Prints an error with its causes, or with its positions in a file.
    pub fn error(&self, error: &CommandError) {
        let label = self.paint(RED, "error");
        if let Some(diagnostic) = error.diagnostic() {
            eprintln!("{label}: {error}");
            eprint!("{}", self.render(diagnostic));
            return;
        }
        eprintln!("{label}: {error}");
        let causes = error.causes();
        if !causes.is_empty() {
            eprintln!("\nCaused by:");
        }
        for cause in causes {
            eprintln!("  {}", cause.replace('\n', "\n  "));
        }
        if let Some(help) = error.help() {
            eprintln!("\n{}: {help}", self.paint(GREEN, "help"));
        }
    }

    fn render(self, diagnostic: &dyn miette::Diagnostic) -> String {
        let theme = if self.colored {
            miette::GraphicalTheme::unicode()
        } else {
            miette::GraphicalTheme::unicode_nocolor()
        };
        let handler = miette::GraphicalReportHandler::new_themed(theme);
        let mut text = String::new();
        match handler.render_report(&mut text, diagnostic) {
            Ok(()) => text,
            Err(_) => diagnostic.to_string(),
        }
    }

    fn paint(self, color: &str, text: &str) -> String {
        if self.colored {
            format!("{color}{text}{RESET}")
        } else {
            text.to_owned()
        }
    }
}

/// Returns the chain of causes of an error, outermost first.
#[must_use]
pub fn causes_of(error: &dyn Error) -> Vec<String> {
    let mut causes = Vec::new();
    let mut next = error.source();
    while let Some(cause) = next {
        causes.push(cause.to_string());
        next = cause.source();
    }
    causes
}

/// Prints text on stdout.
///
/// # Errors
///
/// Returns an error if writing to stdout fails.
pub fn print_text(text: &str) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes())?;
    out.flush()
}

/// Prints one JSON document on stdout.
///
/// # Errors
///
/// Returns an error if writing to stdout fails.
pub fn print_json<T: Serialize>(document: &T) -> std::io::Result<()> {
    let mut text = serde_json::to_string_pretty(document)?;
    text.push('\n');
    print_text(&text)
}

/// Formats rows as aligned columns under a header. Without rows, only the header is returned.
#[must_use]
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut lines = vec![head.iter().map(ToString::to_string).collect::<Vec<_>>()];
    lines.extend(rows.iter().cloned());
    let widths = (0..head.len())
        .map(|column| {
            let cells = lines.iter().filter_map(|line| line.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        })
        .collect::<Vec<_>>();
    let mut text = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths);
        let cells = cells.map(|(cell, width)| format!("{cell:<width$}"));
        let row = cells.collect::<Vec<_>>().join("  ");
        text.push_str(row.trim_end());
        text.push('\n');
    }
    text
}
