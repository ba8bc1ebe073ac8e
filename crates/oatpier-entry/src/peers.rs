//! The peers duty: what is known of agents and other entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use oatpier_platform::vms::{VmDuty, VmList, VmRow, VmState};
use oatpier_types::pulse::EndpointStatus;
use oatpier_wire::client::ClientLimits;
use oatpier_wire::peer::PeerClient;

use crate::news::{DirectoryNews, EntryNews};
use oatpier_duty::duty::{RingSender, StopPhase, StopSignal};
use oatpier_duty::messages::STATUS_PATH;

/// How often agents are asked for their status.
const STATUS_PERIOD: Duration = Duration::from_millis(500);
/// How long one agent may take to answer.
const STATUS_WAIT: Duration = Duration::from_millis(400);

/// What the peers duty works on.
pub struct PeersInputs {
    /// Where agents, other entries and operators connect.
    pub listener: std::net::TcpListener,
    /// The platform's list of VMs.
    pub vms: Arc<dyn VmList>,
    /// Where news go.
    pub news: RingSender<EntryNews>,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// Learns of agents until the process ends.
pub async fn peers(inputs: PeersInputs) {
    tokio::select! {
        () = ask_agents(&inputs) => {}
        () = inputs.stop.reached(StopPhase::Ended) => {}
    }
}

async fn ask_agents(inputs: &PeersInputs) {
    let client = PeerClient::new(ClientLimits::default());
    let mut rows = Vec::new();
    loop {
        match inputs.vms.list().await {
            Ok(listed) => rows = listed,
            // The last list stays in use: it is only a hint.
            Err(error) => spdlog::warn!("{error}"),
        }
        let mut answers: FuturesUnordered<_> = rows
            .iter()
            .filter(|row| row.duty == VmDuty::Endpoint)
            .map(|row| ask(&client, row))
            .collect();
        while let Some(answer) = answers.next().await {
            for news in answer {
                inputs.news.send(EntryNews::Directory(news)).await;
            }
        }
        tokio::time::sleep(STATUS_PERIOD).await;
    }
}

async fn ask(client: &PeerClient, row: &VmRow) -> Vec<DirectoryNews> {
    let address: SocketAddr = row.peer_address;
    let answer: Result<EndpointStatus, _> =
        client.call(address, STATUS_PATH, &(), STATUS_WAIT).await;
    let Ok(status) = answer else {
        return Vec::new();
    };
    let endpoint = status.endpoint.clone();
    let status = Box::new(status);
    let mut news = vec![DirectoryNews::Status { address, status }];
    if row.state == VmState::Leaving {
        news.push(DirectoryNews::Leaving(endpoint));
    }
    news
}
