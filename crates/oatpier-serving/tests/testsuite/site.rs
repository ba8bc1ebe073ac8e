//! Tests of the choice of a request's route.

use std::sync::Arc;
use std::time::Duration;

use oatpier_serving::site::{CallerLimits, RouteRule, SiteConfig};

use crate::support::{engine_rule, route};

fn config(prefixes: &[(&str, &str)]) -> SiteConfig {
    let routes = prefixes.iter().map(|(host, prefix)| {
        Arc::new(RouteRule {
            host: Arc::from(*host),
            prefix: Arc::from(*prefix),
            ..route(250, 0)
        })
    });
    SiteConfig {
        version: 1,
        routes: routes.collect(),
        services: Vec::new(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000,
            head_wait: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        },
        workspaces: None,
    }
}

fn route_prefix(config: &SiteConfig, host: &str, path: &str) -> Option<String> {
    let route = config.route(host, path)?;
    Some(route.prefix.to_string())
}

#[test]
fn longest_prefix_of_the_host_matches() {
    let config = config(&[
        ("a.example", "/x/"),
        ("a.example", "/x/y/"),
        ("b.example", "/x/y/z/"),
    ]);
    assert_eq!(
        route_prefix(&config, "a.example", "/x/y/z/1").as_deref(),
        Some("/x/y/")
    );
    assert_eq!(
        route_prefix(&config, "a.example", "/x/1").as_deref(),
        Some("/x/")
    );
    assert_eq!(route_prefix(&config, "a.example", "/other/"), None);
    assert_eq!(route_prefix(&config, "c.example", "/x/"), None);
}

#[test]
fn host_matches_with_port_and_in_any_case() {
    let config = config(&[("a.example", "/x/")]);
    assert!(route_prefix(&config, "A.Example:8080", "/x/1").is_some());
}

#[test]
fn adapter_memory_is_reserved_beside_models() {
    let rule = engine_rule(&["m1"]);
    assert!((rule.model_room_mb() - 196.0).abs() < 1e-9);
}
