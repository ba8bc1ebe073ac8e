//! Identifies the caller of a request.
//!
//! The identity is determined once, when the request arrives and before any other decision. It is checked again
//! before each send, because a key may be revoked while its request waits.

use std::sync::Arc;

use http::HeaderMap;
use oatpier_platform::headers;
use oatpier_serving::site::{RouteRule, SiteConfig};
use oatpier_serving::workspace::keys::{CallerKey, KeyDigest};
use oatpier_serving::workspace::{WorkspaceRule, WorkspaceTable};
use oatpier_types::names::WorkspaceName;

use super::core::GatewayCore;
use super::local_responses::LocalResponse;

/// The identity of a caller, as far as the configuration requires one.
#[derive(Debug, Clone)]
pub struct CallerIdentity {
    key: Option<KeyDigest>,
    workspace: Option<Arc<WorkspaceRule>>,
    keeps_key: bool,
    /// The version of the configuration that the identity was determined with.
    version: u64,
}

impl CallerIdentity {
    /// Returns the workspace, or `None` if no identification was required.
    #[must_use]
    pub fn workspace(&self) -> Option<&Arc<WorkspaceRule>> {
        self.workspace.as_ref()
    }

    /// Returns the name of the workspace.
    #[must_use]
    pub fn workspace_name(&self) -> Option<&WorkspaceName> {
        self.workspace.as_ref().map(|rule| &rule.name)
    }

    /// Returns whether the caller's key was meant for the gateway and is not forwarded.
    #[must_use]
    pub fn keeps_key(&self) -> bool {
        self.keeps_key
    }

    /// Returns the priority of a request on a route, 0 being the highest. The workspace's priority overrides the
    /// route's.
    #[must_use]
    pub fn priority(&self, route: &RouteRule) -> u8 {
        let own = self.workspace.as_ref().and_then(|rule| rule.priority);
        own.unwrap_or(route.priority)
    }
}

impl GatewayCore {
    /// Identifies the caller of a request.
    ///
    /// # Errors
    ///
    /// Returns the response to a caller that may not use the route.
    pub(super) fn identify(
        &self,
        config: &SiteConfig,
        route: &RouteRule,
        request_headers: &HeaderMap,
    ) -> Result<CallerIdentity, LocalResponse> {
        let anonymous = CallerIdentity {
            key: None,
            workspace: None,
            keeps_key: config.workspaces.is_some(),
            version: config.version,
        };
        let Some(table) = &config.workspaces else {
            return Ok(anonymous);
        };
        match (headers::caller_key(request_headers), route.is_public) {
            (CallerKey::Given(key), _) if table.find_by_key(&key).is_some() => Ok(CallerIdentity {
                key: Some(key),
                workspace: table.find_by_key(&key).cloned(),
                ..anonymous
            }),
            (_, true) => Ok(anonymous),
            // No configuration can make this a valid key.
            (CallerKey::Absent | CallerKey::Unusable, false) => Err(LocalResponse::NoKey),
            (CallerKey::Given(_), false) => Err(self.or_outdated(LocalResponse::UnknownKey)),
        }
    }

    /// Returns `response`, which says that the configuration does not contain something, or [`LocalResponse::Outdated`]
    /// if a newer configuration may contain it. The response is final for the caller, so it is given only if this
    /// gateway would know a configuration that contains it by now. Otherwise the next gateway may know it.
    pub(super) fn or_outdated(&self, response: LocalResponse) -> LocalResponse {
        if self.is_config_current() {
            response
        } else {
            LocalResponse::Outdated
        }
    }

    /// Returns whether the identity that was determined at the arrival of a request still holds.
    pub(super) fn is_still_valid(&self, identity: &CallerIdentity, route: &RouteRule) -> bool {
        let Some(config) = self.config() else {
            return true;
        };
        if config.version == identity.version || route.is_public {
            return true;
        }
        let holds = |table: &WorkspaceTable| {
            let holder = identity
                .key
                .and_then(|key| table.find_by_key(&key).cloned());
            holder.is_some_and(|holder| Some(&holder.name) == identity.workspace_name())
        };
        config.workspaces.as_ref().is_none_or(holds)
    }
}
