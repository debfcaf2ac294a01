//! Defaults for what a service's configuration leaves out, by the programs' flags and the types of its routes.

use crate::config::{Config, OutlierPreset, OutlierRules, Route, RouteType, Service};

/// Defaults set by flags of the programs. All nodes must use the same flags.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceDefaults {
    /// The default of `usualPlaces`, for services that no non-idempotent route names. Others keep 0, as the one
    /// endpoint that takes a key's writes may be in another region. 0 disables the default.
    pub usual_places: usize,
    /// Whether services without outlier rules get those of the preset that matches the types of their routes.
    pub outlier_detection: bool,
}

impl ServiceDefaults {
    /// Fills in the defaults. Values that the configuration sets are kept.
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

/// The preset for a service, by the types of the routes that send it the largest share of their requests.
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
    /// Whether the route sends requests to a service, alone or in a split.
    fn names(&self, service: &str) -> bool {
        let in_split = self.split.iter().any(|part| part.service == service);
        self.service.as_deref() == Some(service) || in_split
    }

    /// The service that gets the largest share of the route's requests.
    fn main_service(&self) -> Option<&str> {
        let heaviest = self.split.iter().max_by_key(|part| part.weight);
        self.service
            .as_deref()
            .or(heaviest.map(|part| part.service.as_str()))
    }
}
