//! Parsing of JSON documents with comments; errors say how to correct the document.

use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why a document cannot be used.
#[derive(Debug, Error)]
pub enum DocumentError {
    #[error("{source_name}: file cannot be read: {reason}; check the path and its permissions")]
    Unreadable { source_name: String, reason: String },
    #[error("{source_name}: not JSON with comments: {reason}; correct the syntax there")]
    Syntax { source_name: String, reason: String },
    #[error("{source_name}: field \"{field}\": {reason}; see the README for its fields and units")]
    Field {
        source_name: String,
        field: String,
        reason: String,
    },
    #[error("{source_name}: field \"{field}\": found {found}; {remedy}")]
    Value {
        source_name: String,
        field: String,
        found: String,
        remedy: &'static str,
    },
}

/// Parses a document; `source_name`, a file's path or a store key, appears in errors.
pub fn parse<T: DeserializeOwned>(source_name: &str, text: &str) -> Result<T, DocumentError> {
    let value: serde_json::Value =
        json5::from_str(text).map_err(|error| DocumentError::Syntax {
            source_name: source_name.to_owned(),
            reason: error.to_string(),
        })?;
    serde_path_to_error::deserialize(value).map_err(|error| DocumentError::Field {
        source_name: source_name.to_owned(),
        field: error.path().to_string(),
        reason: error.inner().to_string(),
    })
}

/// Reads and parses a file.
pub fn read<T: DeserializeOwned>(path: &str) -> Result<T, DocumentError> {
    parse(path, &read_text(path)?)
}

/// Reads a file as UTF-8 text.
pub fn read_text(path: &str) -> Result<String, DocumentError> {
    std::fs::read_to_string(path).map_err(|error| DocumentError::Unreadable {
        source_name: path.to_owned(),
        reason: error.to_string(),
    })
}

/// Checks that the value of a field lies within `bounds`; `remedy` completes the error.
pub fn check_bounds(
    source_name: &str,
    field: &str,
    found: u64,
    bounds: std::ops::RangeInclusive<u64>,
    remedy: &'static str,
) -> Result<(), DocumentError> {
    if bounds.contains(&found) {
        return Ok(());
    }
    Err(DocumentError::Value {
        source_name: source_name.to_owned(),
        field: field.to_owned(),
        found: found.to_string(),
        remedy,
    })
}
