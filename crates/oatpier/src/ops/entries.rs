//! Client of the operator interface of entries.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use oatpier_types::operator::{
    CONFIG_PATH, ConfigAnswer, EXPLAIN_MODEL_PATH, EXPLAIN_REQUEST_PATH, ExplainModel,
    ExplainRequest, STATUS_PATH, StatusAnswer,
};
use oatpier_wire::client::{ClientLimits, HttpClient};
use serde::de::DeserializeOwned;

use crate::error::CommandError;

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Queries entries; takes the answer of the first one that responds.
pub struct EntryClient {
    client: HttpClient,
    entries: Vec<SocketAddr>,
    timeout: Duration,
}

impl EntryClient {
    /// Creates a client of these entries.
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(ClientLimits::default()),
            entries,
            timeout,
        }
    }

    /// Returns the state of processes, models and classes.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry answers.
    pub async fn status(&self) -> Result<StatusAnswer, CommandError> {
        let answer = self.ask(STATUS_PATH, "a status").await?;
        answer.ok_or_else(|| not_found("path", STATUS_PATH))
    }

    /// Returns the configuration generation of each process.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry answers.
    pub async fn config(&self) -> Result<ConfigAnswer, CommandError> {
        let answer = self.ask(CONFIG_PATH, "generations").await?;
        answer.ok_or_else(|| not_found("path", CONFIG_PATH))
    }

    /// Returns why a model or an adapter is placed where it is; `None` if the entry does not know it.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry answers.
    pub async fn explain_model(&self, name: &str) -> Result<Option<ExplainModel>, CommandError> {
        let path = format!("{EXPLAIN_MODEL_PATH}{name}");
        self.ask(&path, "the reasons for a model").await
    }

    /// Returns what happened to a request; `None` if no entry has a record of it.
    ///
    /// # Errors
    ///
    /// Returns an error if no entry answers.
    pub async fn explain_request(&self, id: &str) -> Result<Option<ExplainRequest>, CommandError> {
        // Only the entry that received the request has a record of it, so all entries are asked.
        let path = format!("{EXPLAIN_REQUEST_PATH}{id}");
        let mut causes = Vec::new();
        let mut answered = false;
        for entry in &self.entries {
            match self.fetch(*entry, &path).await {
                Ok(Some(bytes)) => return read_answer(&bytes, "the steps of a request").map(Some),
                Ok(None) => answered = true,
                Err(cause) => causes.push(cause),
            }
        }
        if answered {
            Ok(None)
        } else {
            Err(no_entry(&path, causes))
        }
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        path: &str,
        what: &'static str,
    ) -> Result<Option<T>, CommandError> {
        let mut causes = Vec::new();
        for entry in &self.entries {
            match self.fetch(*entry, path).await {
                Ok(Some(bytes)) => return read_answer(&bytes, what).map(Some),
                Ok(None) => return Ok(None),
                Err(cause) => causes.push(cause),
            }
        }
        Err(no_entry(path, causes))
    }

    async fn fetch(&self, entry: SocketAddr, path: &str) -> Result<Option<Bytes>, String> {
        let request = Request::get(path).body(Bytes::new());
        let request = request.map_err(|error| format!("{entry}: {error}"))?;
        let answer = self
            .client
            .fetch(entry, request, self.timeout, MAX_ANSWER_BYTES)
            .await
            .map_err(|error| error.to_string())?;
        match answer.status() {
            StatusCode::OK => Ok(Some(answer.into_body())),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(format!("{entry} answered {status}")),
        }
    }
}

fn read_answer<T: DeserializeOwned>(bytes: &[u8], what: &'static str) -> Result<T, CommandError> {
    serde_json::from_slice(bytes).map_err(|source| CommandError::InvalidJson { what, source })
}

fn no_entry(path: &str, mut causes: Vec<String>) -> CommandError {
    if causes.is_empty() {
        causes.push("the settings list no `entries`".to_owned());
    }
    CommandError::NoEntry {
        action: format!("GET {path}"),
        causes,
    }
}

fn not_found(kind: &'static str, name: &str) -> CommandError {
    CommandError::NotFound {
        kind,
        name: name.to_owned(),
        nearest: None,
    }
}
