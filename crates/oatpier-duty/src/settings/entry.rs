//! The settings of `oatpierd entry`.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::names::{DaemonName, RegionName, VmName, ZoneName};

use super::platform::PlatformAddresses;
use super::reader::TableReader;
use super::{RequestLimits, SettingsErrors, SettingsText};

/// The time that a load balancer usually takes to detect that an entry is not ready. With this default, a stopping
/// entry accepts no new work two seconds after the stop request.
const DEFAULT_NOTICE: Duration = Duration::from_millis(1500);
/// The delay that scheduling and the network may cause on a healthy VM, without indicating a fault.
const DEFAULT_SILENCE_FLOOR: Duration = Duration::from_millis(60);

/// The validated settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// The name of the process, unique in the fleet.
    pub name: DaemonName,
    /// The VM that the process runs on.
    pub vm: VmName,
    /// The VM's availability zone.
    pub zone: ZoneName,
    /// The availability zone's region.
    pub region: RegionName,
    /// The address at which the entry accepts callers, through the platform's load balancer.
    pub caller_listen: SocketAddr,
    /// The address at which the entry accepts agents, other entries and operators.
    pub peer_listen: SocketAddr,
    /// The address of `/metrics`, `/live` and `/ready`.
    pub observe_listen: SocketAddr,
    /// The address of the platform's key-value service.
    pub store: SocketAddr,
    /// The address of the platform's list of VMs.
    pub vm_list: SocketAddr,
    /// How long a stopping entry reports that it is not ready before it stops accepting requests. Must be at least as
    /// long as the load balancer takes to detect it.
    pub stop_notice: Duration,
    /// The minimum silence of an endpoint before it counts as late. Must be longer where VMs are known to stall;
    /// otherwise healthy endpoints are treated as frozen.
    pub silence_floor: Duration,
    /// Limits on requests from callers.
    pub limits: RequestLimits,
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
    let stop_notice = reader.optional("stop_notice", DEFAULT_NOTICE);
    let silence_floor = reader.optional("silence_floor", DEFAULT_SILENCE_FLOOR);
    let limits = RequestLimits::read(reader);
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
        stop_notice,
        silence_floor,
        limits,
    })
}
