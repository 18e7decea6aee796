//! The choice of the route and the service for a request.

use std::time;

use walnuthaven_lib::routing;

fn route(name: &str, host: &str, prefix: &str) -> routing::Route {
    routing::Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: routing::Kind::Once,
        timeout: None,
        target_latency: time::Duration::from_millis(100),
        priority: 1,
        shares: vec![
            routing::Share {
                service: "a".into(),
                weight: 90,
            },
            routing::Share {
                service: "b".into(),
                weight: 10,
            },
        ],
        max_attempts: 1,
        is_open: false,
    }
}

fn table() -> routing::Table {
    let limits = routing::CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        header_timeout: time::Duration::ZERO,
        idle_timeout: time::Duration::ZERO,
    };
    let routes = vec![
        route("short", "h.example", "/a/"),
        route("long", "h.example", "/a/b/"),
        route("other", "i.example", "/"),
    ];
    routing::Table::new(3, limits, routes, Vec::new())
}

fn found(host: &str, path: &str) -> Option<String> {
    table().find(host, path).map(|route| route.name.to_string())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    assert_eq!(found("h.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(found("h.example", "/a/bc").as_deref(), Some("short"));
    assert_eq!(found("h.example", "/ab"), None);
    assert_eq!(found("I.EXAMPLE:8080", "/x").as_deref(), Some("other"));
    assert_eq!(found("j.example", "/a/"), None);
}

#[test]
fn requests_are_split_by_weight() {
    let table = table();
    let route = table.find("h.example", "/a/").unwrap();
    let points = (0..1_000_u32).map(|i| i * (u32::MAX / 1_000));
    let to_b = points
        .filter(|point| &**route.service(*point).unwrap() == "b")
        .count();
    assert!((95..=105).contains(&to_b), "{to_b} of 1000");
    assert_eq!(&**route.service(0).unwrap(), "a");
    assert_eq!(&**route.service(u32::MAX).unwrap(), "b");
}
