//! The store's side of configuration and planned stops.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oatpier_duty::duty::{RingReceiver, RingRule, RingSender, RuntimeClock, StopSignal, ring};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_entry::configuration::{ConfigurationInputs, StoreNews, StoreOrder, configuration};
use oatpier_membership::spread::StoreReply;
use oatpier_ports::store::{ExpectedValue, KeyStore};
use oatpier_standin::store::{DownMode, LocalStore, StoreFaults};
use oatpier_types::config::record::{CONFIG_KEY, ConfigRecord};
use oatpier_types::ids::{Generation, Revision};

use crate::support::gate;

const WAIT: Duration = Duration::from_secs(20);

struct ConfigurationTest {
    store: Arc<LocalStore>,
    orders: RingSender<StoreOrder>,
    news: RingReceiver<StoreNews>,
}

impl ConfigurationTest {
    fn start() -> Self {
        let store = Arc::new(LocalStore::new());
        let metrics = MetricSet::default();
        let (orders, wanted) = ring(4, RingRule::Wait, metrics.ring("orders"));
        let (teller, news) = ring(64, RingRule::Wait, metrics.ring("store-news"));
        let inputs = ConfigurationInputs {
            gate: gate(&store, RuntimeClock::start(), 1),
            orders: wanted,
            news: teller,
            stop: StopSignal::default(),
        };
        tokio::spawn(configuration(inputs));
        Self {
            store,
            orders,
            news,
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

    async fn config_news(&self) -> StoreReply<oatpier_types::config::FleetConfig> {
        loop {
            if let StoreNews::Config(reply) = self.news.receive().await.unwrap() {
                return reply;
            }
        }
    }

    async fn stop_news(&self) -> (String, bool) {
        loop {
            if let StoreNews::Stop(stop) = self.news.receive().await.unwrap() {
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

/// A change is told to the one that watches; the store being away is told as a failed call, and
/// never as a configuration that is gone.
#[tokio::test(start_paused = true)]
async fn a_change_is_told_and_an_outage_is_no_change() {
    let test = ConfigurationTest::start();
    let after = test.put_config(1).await;
    test.orders.send(StoreOrder::Read).await;
    assert_eq!(generation_of(&test.config_news().await), Some(1));
    let watch = StoreOrder::Watch { after, wait: WAIT };
    test.orders.send(watch).await;
    test.put_config(2).await;
    assert_eq!(generation_of(&test.config_news().await), Some(2));
    test.store.set_faults(StoreFaults {
        down: Some(DownMode::Refuse),
        ..StoreFaults::default()
    });
    test.orders.send(StoreOrder::Read).await;
    assert_eq!(test.config_news().await, StoreReply::Failed);
}

/// An operator plans a stop and takes it back. Who watches hears of both, in that order.
#[tokio::test(start_paused = true)]
async fn a_planned_stop_and_its_withdrawal_are_told() {
    let test = ConfigurationTest::start();
    let after = test.put_config(1).await;
    let watch = StoreOrder::Watch { after, wait: WAIT };
    test.orders.send(watch).await;
    test.put("stop/agent-1", b"{}".to_vec()).await;
    assert_eq!(test.stop_news().await, ("agent-1".to_owned(), false));
    // The configuration's watch ends first, and the machine asks for the next one.
    assert_eq!(test.config_news().await, StoreReply::Unchanged);
    test.orders.send(watch).await;
    let deleted = test.store.delete("stop/agent-1", ExpectedValue::Any);
    deleted.await.unwrap();
    assert_eq!(test.stop_news().await, ("agent-1".to_owned(), true));
}
