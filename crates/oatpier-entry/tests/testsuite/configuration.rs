//! Store calls for the configuration and the planned stops.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oatpier_duty::duty::{RingReceiver, RingRule, RingSender, RuntimeClock, StopSignal, ring};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_entry::configuration::{
    ConfigurationInputs, StoreRequest, StoreUpdate, run_configuration,
};
use oatpier_membership::spread::StoreReply;
use oatpier_ports::store::{ExpectedValue, KeyStore};
use oatpier_standin::store::{DownMode, LocalStore, StoreFaults};
use oatpier_types::config::record::{CONFIG_KEY, ConfigRecord};
use oatpier_types::ids::{Generation, Revision};

use crate::support::client;

const WAIT: Duration = Duration::from_secs(20);

struct ConfigurationTest {
    store: Arc<LocalStore>,
    requests: RingSender<StoreRequest>,
    updates: RingReceiver<StoreUpdate>,
}

impl ConfigurationTest {
    fn start() -> Self {
        let store = Arc::new(LocalStore::new());
        let metrics = MetricSet::default();
        let (requests, request_receiver) = ring(4, RingRule::Wait, metrics.ring("orders"));
        let (update_sender, updates) = ring(64, RingRule::Wait, metrics.ring("store-news"));
        let inputs = ConfigurationInputs {
            client: client(&store, RuntimeClock::start(), 1),
            requests: request_receiver,
            updates: update_sender,
            stop: StopSignal::default(),
        };
        tokio::spawn(run_configuration(inputs));
        Self {
            store,
            requests,
            updates,
        }
    }

    async fn put(&self, key: &str, value: Vec<u8>) -> Revision {
        let value = Bytes::from(value);
        let put = self.store.put(key, value, ExpectedValue::Any, None);
        put.await.unwrap()
    }

    async fn put_config(&self, generation: u64) -> Revision {
        let record = ConfigRecord {
            generation: Generation(generation),
            ..ConfigRecord::default()
        };
        self.put(CONFIG_KEY, record.encode().unwrap()).await
    }

    async fn next_config(&self) -> StoreReply<oatpier_types::config::FleetConfig> {
        loop {
            if let StoreUpdate::Config(reply) = self.updates.receive().await.unwrap() {
                return reply;
            }
        }
    }

    async fn next_stop(&self) -> (String, bool) {
        loop {
            if let StoreUpdate::Stop(stop) = self.updates.receive().await.unwrap() {
                return (stop.daemon.to_string(), stop.request.withdrawn);
            }
        }
    }
}

fn generation_of(reply: &StoreReply<oatpier_types::config::FleetConfig>) -> Option<u64> {
    match reply {
        StoreReply::Value(stored) => Some(stored.generation.0),
        StoreReply::Unchanged | StoreReply::Failed => None,
    }
}

/// A configuration change reaches the watcher. An unavailable store is reported as a failed call
/// and never as a removed configuration.
#[tokio::test(start_paused = true)]
async fn a_change_is_reported_and_an_outage_is_a_failed_call() {
    let test = ConfigurationTest::start();
    let after = test.put_config(1).await;
    test.requests.send(StoreRequest::Read).await;
    assert_eq!(generation_of(&test.next_config().await), Some(1));
    let watch = StoreRequest::Watch { after, wait: WAIT };
    test.requests.send(watch).await;
    test.put_config(2).await;
    assert_eq!(generation_of(&test.next_config().await), Some(2));
    test.store.set_faults(StoreFaults {
        down: Some(DownMode::Refuse),
        ..StoreFaults::default()
    });
    test.requests.send(StoreRequest::Read).await;
    assert_eq!(test.next_config().await, StoreReply::Failed);
}

/// An operator requests a stop and withdraws it. The watcher receives both changes in that order.
#[tokio::test(start_paused = true)]
async fn a_planned_stop_and_its_withdrawal_are_reported() {
    let test = ConfigurationTest::start();
    let after = test.put_config(1).await;
    let watch = StoreRequest::Watch { after, wait: WAIT };
    test.requests.send(watch).await;
    test.put("stop/agent-1", b"{}".to_vec()).await;
    assert_eq!(test.next_stop().await, ("agent-1".to_owned(), false));
    // The watch of the configuration ends first, and the state machine requests the next one.
    assert_eq!(test.next_config().await, StoreReply::Unchanged);
    test.requests.send(watch).await;
    let deleted = test.store.delete("stop/agent-1", ExpectedValue::Any);
    deleted.await.unwrap();
    assert_eq!(test.next_stop().await, ("agent-1".to_owned(), true));
}
