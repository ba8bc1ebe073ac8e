//! The settings of `oatpierd agent`.

use std::net::SocketAddr;

use oatpier_types::names::{DaemonName, EndpointName, PoolName, VmName, ZoneName};

use super::platform::PlatformAddresses;
use super::reader::TableReader;
use super::{RequestLimits, SettingsErrors, SettingsText};

/// The validated settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// The name of the process, unique in the fleet.
    pub name: DaemonName,
    /// The VM that the process runs on.
    pub vm: VmName,
    /// The VM's availability zone.
    pub zone: ZoneName,
    /// The endpoint that the agent manages.
    pub endpoint: EndpointName,
    /// The endpoint's pool.
    pub pool: PoolName,
    /// The address at which the endpoint listens. Only this agent connects to it.
    pub endpoint_address: SocketAddr,
    /// The address at which the agent accepts entries.
    pub peer_listen: SocketAddr,
    /// The address of `/metrics`, `/live` and `/ready`.
    pub observe_listen: SocketAddr,
    /// The address of the platform's key-value service.
    pub store: SocketAddr,
    /// The address of the platform's list of VMs.
    pub vm_list: SocketAddr,
    /// Limits on requests from entries.
    pub limits: RequestLimits,
}

impl TryFrom<&SettingsText> for AgentSettings {
    type Error = SettingsErrors;

    fn try_from(text: &SettingsText) -> Result<Self, SettingsErrors> {
        text.parse(read)
    }
}

fn read(reader: &mut TableReader<'_>) -> Option<AgentSettings> {
    let name = reader.required("name");
    let vm = reader.required("vm");
    let zone = reader.required("zone");
    let mut endpoint = reader.table("endpoint");
    let endpoint_name = endpoint.required("name");
    let pool = endpoint.required("pool");
    let endpoint_address = endpoint.required("address");
    reader.absorb(endpoint);
    let mut listen = reader.table("listen");
    let peer_listen = listen.required("peers");
    let observe_listen = listen.required("observe");
    reader.absorb(listen);
    let platform = PlatformAddresses::read(reader);
    let limits = RequestLimits::read(reader);
    let platform = platform?;
    Some(AgentSettings {
        name: name?,
        vm: vm?,
        zone: zone?,
        endpoint: endpoint_name?,
        pool: pool?,
        endpoint_address: endpoint_address?,
        peer_listen: peer_listen?,
        observe_listen: observe_listen?,
        store: platform.store,
        vm_list: platform.vm_list,
        limits,
    })
}
