//! What agents say to each other. What they say to entries is in [`oatpier_duty::messages`] and
//! [`oatpier_duty::placement`].

/// Where an agent answers an [`oatpier_placement::release::ReleaseRequest`] with an
/// [`oatpier_placement::release::ReleaseAnswer`], both as one message.
pub const RELEASE_PATH: &str = "/agent/release";
