//! API of the internal port, for other nodes and the operator's `show` and `why`. Most bodies are encoded with
//! postcard.

use crate::api::invalid;
use crate::state_owner::{ask_owner, Command, CommandQueue};
use beechcroft_consensus::RegisterId;
use beechcroft_error::{Error, ErrorKind};
use beechcroft_transport::rpc::paths;
use beechcroft_transport::server::{Request, Response};
use serde::de::DeserializeOwned;
use serde::Serialize;

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    postcard::from_bytes(body).map_err(invalid)
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    postcard::to_stdvec(value).map_err(invalid)
}

/// Handles a request. Errors become responses with the status of their kind.
pub async fn handle(queue: CommandQueue, request: Request) -> Response {
    match dispatch(&queue, request).await {
        Ok(body) => Response::bytes(body),
        Err(error) => error.into(),
    }
}

async fn dispatch(queue: &CommandQueue, request: Request) -> Result<Vec<u8>, Error> {
    let body = &request.body;
    match request.path.as_str() {
        paths::CONSENSUS => {
            let request = decode(body)?;
            let command = |response| Command::Consensus { request, response };
            encode(&ask_owner(queue, command).await?)
        }
        paths::REGISTER => {
            let register = RegisterId::from_body(body);
            let command = |value| Command::ReadRegister { register, value };
            encode(&ask_owner(queue, command).await?)
        }
        paths::REVISIONS => encode(&ask_owner(queue, Command::ReadRevisions).await??),
        paths::ENDPOINT => {
            let record = decode(body)?;
            let command = |stored| Command::StoreEndpoint { record, stored };
            if ask_owner(queue, command).await? {
                Ok(Vec::new())
            } else {
                Err(Error::new(ErrorKind::NotStored, "the disk failed"))
            }
        }
        paths::ROLLBACK => {
            let (service, rollout) = decode(body)?;
            let _ = queue.send(Command::Rollback { service, rollout });
            Ok(Vec::new())
        }
        paths::EVIDENCE => {
            let endpoint = String::from_utf8_lossy(body).into_owned();
            let command = |text| Command::ShowEvidence { endpoint, text };
            Ok(ask_owner(queue, command).await?.into_bytes())
        }
        paths::SHOW => Ok(ask_owner(queue, Command::Show).await?.into_bytes()),
        _ => Err(Error::new(ErrorKind::UnknownCall, request.path)),
    }
}
