//! [`ConfigPayload`] for the operators' configuration, [`FleetConfig`].

use oatpier_types::config::FleetConfig;
use oatpier_types::config::diff::{ConfigEdit, EditStatus, apply, diff};

use crate::generation::ConfigPayload;

impl ConfigPayload for FleetConfig {
    type Edit = Vec<ConfigEdit>;

    fn edit_to(&self, next: &Self) -> Vec<ConfigEdit> {
        diff(self, next)
    }

    fn apply(&self, edits: &Vec<ConfigEdit>) -> Option<Self> {
        let fits = edits
            .iter()
            .all(|edit| edit.status_in(self) != EditStatus::Conflicts);
        fits.then(|| apply(self, edits))
    }

    fn digest(&self) -> u64 {
        self.content_hash()
    }
}
