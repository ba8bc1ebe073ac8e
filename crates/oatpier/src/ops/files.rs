//! Reads the operator's files.

use std::path::Path;

use oatpier_types::config::text::ConfigDocument;

use crate::error::CommandError;

/// Maximum size of a file, in bytes. The store accepts no larger configuration.
const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;

/// Reads a whole text file; `-` reads stdin.
///
/// # Errors
///
/// Returns an error if the file can't be read, is not UTF-8, or is larger than 4 MiB.
pub fn read_file(path: &Path) -> std::io::Result<String> {
    use std::io::Read;

    let mut text = String::new();
    let read = if path == Path::new("-") {
        let input = std::io::stdin().lock();
        input.take(MAX_FILE_BYTES + 1).read_to_string(&mut text)?
    } else {
        let input = std::fs::File::open(path)?;
        input.take(MAX_FILE_BYTES + 1).read_to_string(&mut text)?
    };
    if read as u64 > MAX_FILE_BYTES {
        let message = format!("the file is larger than {MAX_FILE_BYTES} bytes");
        return Err(std::io::Error::other(message));
    }
    Ok(text)
}

/// Reads a configuration file.
///
/// # Errors
///
/// Returns an error if the file can't be read or is invalid. An error about an invalid file lists all its errors.
pub fn read_config(path: &Path) -> Result<ConfigDocument, CommandError> {
    let text = read_file(path).map_err(|source| CommandError::ReadFile {
        path: path.to_owned(),
        source,
    })?;
    let file = path.display().to_string();
    ConfigDocument::read(&file, &text).map_err(|errors| CommandError::Config(Box::new(errors)))
}
