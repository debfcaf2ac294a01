//! What a service gets where its configuration does not say: by flags of the programs, by what its routes are.

use crate::config::{Config, Preset, Route, RouteType, Unfit};

#[derive(Clone, Copy, Debug, Default)]
pub struct Usual {
    /// Places of a key, for services that no route names whose requests must not run twice: their one place for a
    /// key's writes may be in another region.
    pub places: usize,
    /// What unfit means, by the preset that a service's routes read as.
    pub verdicts: bool,
}

impl Usual {
    pub fn fill(&self, config: &mut Config) {
        let routes: Vec<Route> = config
            .virtual_hosts
            .iter()
            .flat_map(|host| host.path_rules.clone())
            .collect();
        for service in &mut config.services {
            let named: Vec<&Route> = routes
                .iter()
                .filter(|route| route.mainly() == Some(&*service.name))
                .collect();
            let any = |kind: RouteType| named.iter().any(|route| route.route_type == kind);
            let once = routes.iter().any(|route| {
                route.route_type == RouteType::NonIdempotent && route.names(&service.name)
            });
            if service.usual_places == 0 && !once {
                service.usual_places = self.places;
            }
            if service.unfit.is_none() && self.verdicts {
                service.unfit = Some(Unfit::from(match () {
                    () if any(RouteType::NonIdempotent) => Preset::Record,
                    () if any(RouteType::Idempotent) => Preset::Lookup,
                    () => Preset::Download,
                }));
            }
        }
    }
}

impl Route {
    fn names(&self, service: &str) -> bool {
        self.service.as_deref() == Some(service)
            || self.split.iter().any(|part| part.service == service)
    }

    /// The service that most of its requests go to.
    fn mainly(&self) -> Option<&str> {
        let most = self.split.iter().max_by_key(|part| part.weight);
        self.service
            .as_deref()
            .or(most.map(|part| part.service.as_str()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
    fn a_service_gets_what_its_routes_read_as_and_keeps_what_it_says() {
        let services = r#"[{"name":"boards"},{"name":"ledger"},{"name":"archive","usualPlaces":5,
            "unfit":{"preset":"lookup","errorShare":0.5}}]"#;
        let mut config = config(services, ROUTES);
        Usual {
            places: 2,
            verdicts: true,
        }
        .fill(&mut config);
        let places: Vec<usize> = config.services.iter().map(|s| s.usual_places).collect();
        assert_eq!(
            places,
            [2, 0, 5],
            "a ledger's keys get no place of their own"
        );
        let late: Vec<f64> = config
            .services
            .iter()
            .map(|s| s.unfit.as_ref().unwrap().late_times)
            .collect();
        assert_eq!(
            late,
            [2.0, 0.0, 2.0],
            "late is unfit for boards, only slow for a ledger"
        );
        assert_eq!(config.services[2].unfit.as_ref().unwrap().error_share, 0.5);
    }

    #[test]
    fn without_flags_a_configuration_is_what_it_was() {
        let mut config = config(
            r#"[{"name":"boards"},{"name":"ledger"},{"name":"archive"}]"#,
            ROUTES,
        );
        Usual::default().fill(&mut config);
        assert!(config
            .services
            .iter()
            .all(|s| s.usual_places == 0 && s.unfit.is_none()));
    }
}
