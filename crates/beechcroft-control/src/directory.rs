//! HTTP API of the directory, from which clients learn the addresses of proxies.

use crate::state_owner::{ask_owner, Command, CommandQueue};
use beechcroft_error::ErrorKind;
use beechcroft_transport::calls::ApiCall;
use beechcroft_transport::server::{Request, Response};

/// Handles a request. `ttl_s` is how long a client may use the response, in seconds.
pub async fn handle(queue: CommandQueue, ttl_s: f64, request: Request) -> Response {
    if ApiCall::parse(&request.method, &request.path) != Some(ApiCall::Resolve) {
        return ErrorKind::UnknownCall.into();
    }
    let region = request.query_value("region").unwrap_or("").to_owned();
    let resolve = |addresses| Command::Resolve { region, addresses };
    match ask_owner(&queue, resolve).await {
        Ok(addresses) if !addresses.is_empty() => {
            let body = serde_json::json!({ "addresses": addresses, "ttlS": ttl_s });
            Response::json(body.to_string())
        }
        _ => ErrorKind::NotReady.into(),
    }
}
