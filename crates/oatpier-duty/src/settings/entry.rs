//! The settings of `oatpierd entry`.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::names::{DaemonName, RegionName, VmName, ZoneName};

use super::platform::PlatformAddresses;
use super::reader::TableReader;
use super::{IntakeLimits, SettingsErrors, SettingsText};

/// How long a balancer usually takes to see that an entry is not ready. With it a stopping entry
/// takes no new work two seconds after it was told.
const DEFAULT_NOTICE: Duration = Duration::from_millis(1500);
/// What a healthy VM's scheduling and network may cost without being a sign of anything.
const DEFAULT_SILENCE_FLOOR: Duration = Duration::from_millis(60);

/// The checked settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// The process's name, unique in the fleet.
    pub name: DaemonName,
    /// The VM that it runs on.
    pub vm: VmName,
    /// The VM's availability zone.
    pub zone: ZoneName,
    /// The availability zone's region.
    pub region: RegionName,
    /// Where callers connect (through the platform's balancer).
    pub caller_listen: SocketAddr,
    /// Where agents, other entries and operators connect.
    pub peer_listen: SocketAddr,
    /// Where `/metrics`, `/live` and `/ready` are.
    pub observe_listen: SocketAddr,
    /// The platform's key-value service.
    pub store: SocketAddr,
    /// The platform's list of VMs.
    pub vm_list: SocketAddr,
    /// How long a stopping entry says that it is not ready before it takes no more requests:
    /// at least as long as the balancer takes to see it.
    pub notice: Duration,
    /// An endpoint's silence is never called late before this. To be longer where VMs are known
    /// to be held up: else endpoints are taken for frozen that are not.
    pub silence_floor: Duration,
    /// Limits on callers.
    pub limits: IntakeLimits,
}

impl TryFrom<&SettingsText> for EntrySettings {
    type Error = SettingsErrors;

    fn try_from(text: &SettingsText) -> Result<Self, SettingsErrors> {
        text.parse(read)
    }
}

fn read(reader: &mut TableReader<'_>) -> Option<EntrySettings> {
    let name = reader.required("name");
    let vm = reader.required("vm");
    let zone = reader.required("zone");
    let region = reader.required("region");
    let mut listen = reader.table("listen");
    let caller_listen = listen.required("callers");
    let peer_listen = listen.required("peers");
    let observe_listen = listen.required("observe");
    reader.absorb(listen);
    let platform = PlatformAddresses::read(reader);
    let notice = reader.optional("stop_notice", DEFAULT_NOTICE);
    let silence_floor = reader.optional("silence_floor", DEFAULT_SILENCE_FLOOR);
    let limits = IntakeLimits::read(reader);
    let platform = platform?;
    Some(EntrySettings {
        name: name?,
        vm: vm?,
        zone: zone?,
        region: region?,
        caller_listen: caller_listen?,
        peer_listen: peer_listen?,
        observe_listen: observe_listen?,
        store: platform.store,
        vm_list: platform.vm_list,
        notice,
        silence_floor,
        limits,
    })
}
