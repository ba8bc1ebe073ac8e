//! Messages between agents. Messages to entries are defined in [`oatpier_duty::messages`] and
//! [`oatpier_duty::placement`].

/// Path at which an agent answers an [`oatpier_placement::release::ReleaseRequest`] with an
/// [`oatpier_placement::release::ReleaseAnswer`], both as one message.
pub const RELEASE_PATH: &str = "/agent/release";
