//! What a service gets where its configuration does not say: by flags of the programs and by the types of its routes.

use crate::config::{Config, OutlierPreset, OutlierRules, Route, RouteType, Service};

/// The defaults that flags of the programs set. They must be the same for every node.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceDefaults {
    /// `usualPlaces` of services that no non-idempotent route names: the one endpoint of a key's writes may be in
    /// another region. 0 turns it off.
    pub usual_places: usize,
    /// Whether services get outlier rules, by the preset that fits the types of their routes.
    pub outlier_detection: bool,
}

impl ServiceDefaults {
    /// Completes a configuration. What it says itself stays.
    pub fn apply(&self, config: &mut Config) {
        let routes: Vec<Route> = config
            .virtual_hosts
            .iter()
            .flat_map(|host| host.path_rules.clone())
            .collect();
        for service in &mut config.services {
            let takes_writes = routes.iter().any(|route| {
                route.route_type == RouteType::NonIdempotent && route.names(&service.name)
            });
            if service.usual_places == 0 && !takes_writes {
                service.usual_places = self.usual_places;
            }
            if service.unfit.is_none() && self.outlier_detection {
                service.unfit = Some(OutlierRules::from(preset_of(service, &routes)));
            }
        }
    }
}

/// The preset that fits the routes which send most of their requests to a service.
fn preset_of(service: &Service, routes: &[Route]) -> OutlierPreset {
    let is_used_by = |route_type: RouteType| {
        let mut main_routes = routes
            .iter()
            .filter(|route| route.main_service() == Some(&*service.name));
        main_routes.any(|route| route.route_type == route_type)
    };
    if is_used_by(RouteType::NonIdempotent) {
        OutlierPreset::Record
    } else if is_used_by(RouteType::Idempotent) {
        OutlierPreset::Lookup
    } else {
        OutlierPreset::Download
    }
}

impl Route {
    fn names(&self, service: &str) -> bool {
        let in_split = self.split.iter().any(|part| part.service == service);
        self.service.as_deref() == Some(service) || in_split
    }

    /// The service that most of its requests go to.
    fn main_service(&self) -> Option<&str> {
        let heaviest = self.split.iter().max_by_key(|part| part.weight);
        self.service
            .as_deref()
            .or(heaviest.map(|part| part.service.as_str()))
    }
}
