//! Whose request it is.
//!
//! Decided once, where a request comes in and before anything else is decided of it, and looked at again before
//! each send: a key may be taken away while its request waits.

use std::sync::Arc;

use http::HeaderMap;
use oatpier_platform::headers;
use oatpier_serving::site::{RouteRule, SiteConfig};
use oatpier_serving::workspace::keys::{CallerKey, KeyDigest};
use oatpier_serving::workspace::{WorkspaceRule, WorkspaceTable};
use oatpier_types::names::WorkspaceName;

use super::answers::OwnAnswer;
use super::core::GatewayCore;

/// Whose request it is, as far as the configuration asks.
#[derive(Debug, Clone)]
pub struct CallerIdentity {
    key: Option<KeyDigest>,
    workspace: Option<Arc<WorkspaceRule>>,
    keeps_key: bool,
    /// The version of the configuration that said so.
    version: u64,
}

impl CallerIdentity {
    /// The workspace; none where nobody had to say.
    #[must_use]
    pub fn workspace(&self) -> Option<&Arc<WorkspaceRule>> {
        self.workspace.as_ref()
    }

    /// The workspace's name.
    #[must_use]
    pub fn name(&self) -> Option<&WorkspaceName> {
        self.workspace.as_ref().map(|rule| &rule.name)
    }

    /// Whether the caller's key was for the gateway, and goes no further.
    #[must_use]
    pub fn keeps_key(&self) -> bool {
        self.keeps_key
    }

    /// The rank of a request on a route, 0 first: the workspace's goes before the route's.
    #[must_use]
    pub fn priority(&self, route: &RouteRule) -> u8 {
        let own = self.workspace.as_ref().and_then(|rule| rule.priority);
        own.unwrap_or(route.priority)
    }
}

impl GatewayCore {
    /// Whose request it is.
    ///
    /// # Errors
    ///
    /// The answer to a request that nobody may send.
    pub(super) fn identify(
        &self,
        config: &SiteConfig,
        route: &RouteRule,
        callers: &HeaderMap,
    ) -> Result<CallerIdentity, OwnAnswer> {
        let unnamed = CallerIdentity {
            key: None,
            workspace: None,
            keeps_key: config.workspaces.is_some(),
            version: config.version,
        };
        let Some(table) = &config.workspaces else {
            return Ok(unnamed);
        };
        match (headers::caller_key(callers), route.is_public) {
            (CallerKey::Given(key), _) if table.holder(&key).is_some() => Ok(CallerIdentity {
                key: Some(key),
                workspace: table.holder(&key).cloned(),
                ..unnamed
            }),
            (_, true) => Ok(unnamed),
            // No configuration can make this a key.
            (CallerKey::Absent | CallerKey::Unusable, false) => Err(OwnAnswer::NoKey),
            (CallerKey::Given(_), false) => Err(self.unless_outdated(OwnAnswer::UnknownKey)),
        }
    }

    /// An answer that says that the configuration has no such thing. It is final for its caller, so it is only
    /// given where a configuration that has it would be known by now; the next gateway may know it.
    pub(super) fn unless_outdated(&self, own: OwnAnswer) -> OwnAnswer {
        if self.is_current() {
            own
        } else {
            OwnAnswer::Outdated
        }
    }

    /// Whether what was known of a request when it came still holds.
    pub(super) fn still_holds(&self, identity: &CallerIdentity, route: &RouteRule) -> bool {
        let Some(config) = self.config() else {
            return true;
        };
        if config.version == identity.version || route.is_public {
            return true;
        }
        let holds = |table: &WorkspaceTable| {
            let holder = identity.key.and_then(|key| table.holder(&key).cloned());
            holder.is_some_and(|holder| Some(&holder.name) == identity.name())
        };
        config.workspaces.as_ref().is_none_or(holds)
    }
}
