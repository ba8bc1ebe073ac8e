//! Asking an entry.

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

/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Asks entries for what they see; the first that answers counts.
pub struct EntryClient {
    client: HttpClient,
    entries: Vec<SocketAddr>,
    timeout: Duration,
}

impl EntryClient {
    /// A client of these entries.
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(ClientLimits::default()),
            entries,
            timeout,
        }
    }

    /// What is there and how it does.
    ///
    /// # Errors
    ///
    /// No entry answered.
    pub async fn status(&self) -> Result<StatusAnswer, CommandError> {
        let answer = self.ask(STATUS_PATH, "a status").await?;
        answer.ok_or_else(|| not_found("path", STATUS_PATH))
    }

    /// Which configuration is in force where.
    ///
    /// # Errors
    ///
    /// No entry answered.
    pub async fn config(&self) -> Result<ConfigAnswer, CommandError> {
        let answer = self.ask(CONFIG_PATH, "generations").await?;
        answer.ok_or_else(|| not_found("path", CONFIG_PATH))
    }

    /// Why a model or an adapter is where it is; none if the entry knows of none.
    ///
    /// # Errors
    ///
    /// No entry answered.
    pub async fn explain_model(&self, name: &str) -> Result<Option<ExplainModel>, CommandError> {
        let path = format!("{EXPLAIN_MODEL_PATH}{name}");
        self.ask(&path, "the reasons for a model").await
    }

    /// What became of a request; none if the entry knows of none.
    ///
    /// # Errors
    ///
    /// No entry answered.
    pub async fn explain_request(&self, id: &str) -> Result<Option<ExplainRequest>, CommandError> {
        // Only the entry that took the request remembers it, so all are asked.
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
    serde_json::from_slice(bytes).map_err(|source| CommandError::WrongAnswer { what, source })
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
