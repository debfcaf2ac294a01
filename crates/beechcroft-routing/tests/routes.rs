//! Route lookup by host and path prefix, and weighted splits.

use beechcroft_config::Config;
use beechcroft_routing::RoutingTable;

fn table() -> RoutingTable {
    let body =
        br#"{"version":"0000000a","baseVersion":0,"services":[{"name":"a"},{"name":"b"}],"virtualHosts":[
        {"hostname":"h.example","pathRules":[
        {"name":"r1","pathPrefix":"/x/","routeType":"idempotent","timeoutMs":9,"service":"a"},
        {"name":"r2","pathPrefix":"/x/y/","routeType":"non_idempotent","timeoutMs":9,
         "split":[{"service":"a","weight":0},{"service":"b","weight":3}]}]}]}"#;
    RoutingTable::new(&Config::read(body).unwrap())
}

#[test]
fn the_longest_prefix_wins_and_paths_are_not_normalized() {
    let table = table();
    let name = |path| {
        table
            .find("H.example:80", path)
            .map(|(_, route)| route.name.as_str())
    };
    assert_eq!(name("/x/y/z?q=/"), Some("r2"));
    assert_eq!(name("/x/yy"), Some("r1"));
    assert_eq!(name("/x"), None);
    assert_eq!(name("/a%2Fb/../x/"), None);
    assert!(table.find("other", "/x/").is_none());
}

#[test]
fn a_service_with_weight_0_gets_no_requests() {
    let table = table();
    let (_, route) = table.find("h.example", "/x/y/").unwrap();
    assert!((0..100).all(|i| route.pick_service(f64::from(i) / 100.0) == 1));
}
