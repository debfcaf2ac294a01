//! Defaults for services: each gets the values that match its routes, and keeps those that it sets itself.

use beechcroft_config::{Config, ServiceDefaults};

fn config(services: &str, routes: &str) -> Config {
    let body = format!(
        r#"{{"version":"00000001","services":{services},"virtualHosts":[{{"hostname":"h","pathRules":{routes}}}]}}"#
    );
    Config::read(body.as_bytes()).unwrap()
}

const ROUTES: &str = r#"[
    {"name":"a","pathPrefix":"/a/","routeType":"idempotent","timeoutMs":9,"service":"boards"},
    {"name":"b","pathPrefix":"/b/","routeType":"non_idempotent","timeoutMs":9,"service":"ledger"},
    {"name":"c","pathPrefix":"/c/","routeType":"download","timeoutMs":9,
     "split":[{"service":"archive","weight":90},{"service":"ledger","weight":10}]}]"#;

#[test]
fn defaults_follow_the_route_types_and_keep_values_that_are_set() {
    let services = r#"[{"name":"boards"},{"name":"ledger"},{"name":"archive","usualPlaces":5,
        "unfit":{"preset":"lookup","errorShare":0.5}}]"#;
    let mut config = config(services, ROUTES);
    ServiceDefaults {
        usual_places: 2,
        outlier_detection: true,
    }
    .apply(&mut config);
    let usual_places: Vec<usize> = config.services.iter().map(|s| s.usual_places).collect();
    assert_eq!(
        usual_places,
        [2, 0, 5],
        "a service that takes writes keeps 0"
    );
    let late_times: Vec<f64> = config
        .services
        .iter()
        .map(|s| s.unfit.as_ref().unwrap().late_times)
        .collect();
    assert_eq!(
        late_times,
        [2.0, 0.0, 2.0],
        "late responses count as bad for lookups, not for records"
    );
    assert_eq!(config.services[2].unfit.as_ref().unwrap().error_share, 0.5);
}

#[test]
fn without_flags_a_configuration_is_unchanged() {
    let mut config = config(
        r#"[{"name":"boards"},{"name":"ledger"},{"name":"archive"}]"#,
        ROUTES,
    );
    ServiceDefaults::default().apply(&mut config);
    assert!(config
        .services
        .iter()
        .all(|s| s.usual_places == 0 && s.unfit.is_none()));
}
