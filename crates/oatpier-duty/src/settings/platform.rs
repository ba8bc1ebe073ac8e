//! The addresses of the platform, in the same table in the settings of entries and agents.

use std::net::SocketAddr;

use super::reader::TableReader;

/// The addresses of the table `[platform]`.
pub(super) struct PlatformAddresses {
    /// The key-value service.
    pub store: SocketAddr,
    /// The list of VMs.
    pub vm_list: SocketAddr,
}

impl PlatformAddresses {
    /// Reads the table. The reader collects the errors.
    pub(super) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let mut table = reader.table("platform");
        let store = table.required("store");
        let vm_list = table.required("vm_list");
        reader.absorb(table);
        Some(Self {
            store: store?,
            vm_list: vm_list?,
        })
    }
}
