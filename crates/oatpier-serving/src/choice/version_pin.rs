//! The software versions at which a request may be served.

use oatpier_types::software::SoftwareVersion;

/// The software versions at which a request may be served. A stream that has begun may go on only at the version that
/// began it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum VersionPin {
    /// Any version: no event has reached the caller.
    #[default]
    Any,
    /// Only this version.
    Only(SoftwareVersion),
    /// None: the stream began at a version that is not known.
    Unknown,
}

impl VersionPin {
    /// Returns the pin of a stream that began at a version.
    #[must_use]
    pub fn of(version: Option<&SoftwareVersion>) -> Self {
        version.cloned().map_or(Self::Unknown, Self::Only)
    }

    /// Returns whether an endpoint with this version may serve the request.
    #[must_use]
    pub fn allows(&self, version: Option<&SoftwareVersion>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(pinned) => version == Some(pinned),
            Self::Unknown => false,
        }
    }
}
