//! Open tasks: who waits for the answer, and which dispatch is in flight. A task is kept until it is answered and
//! has no dispatch in flight.

use crate::request::{TaskAnswer, TaskRequest};
use beechcroft::{DispatchNo, TaskId, TrackId};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A task that a client has sent.
pub struct NewTask {
    /// Its id.
    pub id: TaskId,
    /// Its track.
    pub track: TrackId,
    /// Its optional attributes.
    pub hints: Hints,
    /// When the client gives up.
    pub deadline: Instant,
    /// The request to forward.
    pub request: Arc<TaskRequest>,
    /// Where the client waits for the answer.
    pub answer: oneshot::Sender<TaskAnswer>,
}

/// Optional attributes of a task, from `X-Labels`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Hints {
    /// The tenant that sent it.
    pub tenant: Option<beechcroft::TenantId>,
    /// What it is about.
    pub key: Option<beechcroft::Key>,
    /// The client's estimate of its work.
    pub work: Option<std::time::Duration>,
}

struct OpenTask<U> {
    request: Arc<TaskRequest>,
    /// Taken once the task is answered or its client has left.
    answer: Option<oneshot::Sender<TaskAnswer>>,
    dispatches: u32,
    in_flight: Option<(DispatchNo, Option<U>)>,
}

/// All open tasks. `U` is the handle of a unit that dispatches are sent to.
pub struct OpenTasks<U>(HashMap<TaskId, OpenTask<U>>);

impl<U> Default for OpenTasks<U> {
    fn default() -> OpenTasks<U> {
        OpenTasks(HashMap::new())
    }
}

impl<U: Clone> OpenTasks<U> {
    /// Adds a task. If one with the same id is open, the task is handed back.
    pub fn insert(&mut self, new: NewTask) -> Result<(), NewTask> {
        if self.0.contains_key(&new.id) {
            return Err(new);
        }
        let open = OpenTask {
            request: new.request,
            answer: Some(new.answer),
            dispatches: 0,
            in_flight: None,
        };
        self.0.insert(new.id, open);
        Ok(())
    }

    /// Counts a dispatch of a task that is not answered yet; returns its number and the request to send.
    pub fn record_dispatch(
        &mut self,
        id: &TaskId,
        unit: Option<&U>,
    ) -> Option<(DispatchNo, Arc<TaskRequest>)> {
        let open = self.0.get_mut(id).filter(|open| open.answer.is_some())?;
        let dispatch = DispatchNo(open.dispatches);
        open.dispatches += 1;
        open.in_flight = Some((dispatch, unit.cloned()));
        Some((dispatch, open.request.clone()))
    }

    /// Gives the final answer; a second answer has no effect.
    pub fn answer(&mut self, id: &TaskId, answer: TaskAnswer) {
        if let Some(client) = self.0.get_mut(id).and_then(|open| open.answer.take()) {
            // Fails if the client has just left; that comes as an event of its own.
            let _ = client.send(answer);
        }
        self.remove_if_done(id);
    }

    /// Notes that a client that waited for this id has left. Returns whether it was the task's own client, not one
    /// whose task was rejected because the id was open. The task's own client gets no answer any more.
    pub fn client_disconnected(&mut self, id: &TaskId) -> bool {
        let Some(open) = self.0.get_mut(id) else {
            return false;
        };
        let own = open.answer.take_if(|answer| answer.is_closed()).is_some();
        self.remove_if_done(id);
        own
    }

    /// Notes the end of a dispatch; returns whether the task is settled: answered, or its client gone.
    pub fn dispatch_ended(&mut self, id: &TaskId, dispatch: DispatchNo) -> bool {
        let Some(open) = self.0.get_mut(id) else {
            return true;
        };
        open.in_flight.take_if(|(number, _)| *number == dispatch);
        let settled = open.answer.is_none();
        self.remove_if_done(id);
        settled
    }

    /// The unit that a dispatch in flight was sent to.
    pub fn dispatched_to(&self, id: &TaskId, dispatch: DispatchNo) -> Option<&U> {
        let in_flight = self.0.get(id)?.in_flight.as_ref();
        in_flight
            .filter(|(number, _)| *number == dispatch)
            .and_then(|(_, unit)| unit.as_ref())
    }

    fn remove_if_done(&mut self, id: &TaskId) {
        if self
            .0
            .get(id)
            .is_some_and(|open| open.answer.is_none() && open.in_flight.is_none())
        {
            self.0.remove(id);
        }
    }
}
