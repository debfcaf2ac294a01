//! Open tasks: who waits for the answer, and what is out. A task is kept until it is answered and nothing is out.

use crate::request::{TaskAnswer, TaskRequest};
use beechcroft::{DispatchNo, TaskId, TrackId};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A task as the clients' side hands it over.
pub struct NewTask {
    pub id: TaskId,
    pub track: TrackId,
    pub hints: Hints,
    pub deadline: Instant,
    pub request: Arc<TaskRequest>,
    pub answer: oneshot::Sender<TaskAnswer>,
}

/// Further figures that a task may carry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Hints {
    pub tenant: Option<beechcroft::TenantId>,
    pub key: Option<beechcroft::Key>,
    pub work: Option<std::time::Duration>,
}

struct Open<U> {
    request: Arc<TaskRequest>,
    answer: Option<oneshot::Sender<TaskAnswer>>,
    tries: u32,
    out: Option<(DispatchNo, Option<U>)>,
}

/// Units are held as `U`, what a dispatch is handed to.
pub struct OpenTasks<U>(HashMap<TaskId, Open<U>>);

impl<U> Default for OpenTasks<U> {
    fn default() -> OpenTasks<U> {
        OpenTasks(HashMap::new())
    }
}

impl<U: Clone> OpenTasks<U> {
    /// Takes a task; an id that is still open hands the task back.
    pub fn insert(&mut self, taken: NewTask) -> Result<(), NewTask> {
        if self.0.contains_key(&taken.id) {
            return Err(taken);
        }
        let open = Open {
            request: taken.request,
            answer: Some(taken.answer),
            tries: 0,
            out: None,
        };
        self.0.insert(taken.id, open);
        Ok(())
    }

    /// Counts a dispatch of a task that is not yet answered; gives its number and what to send.
    pub fn record_dispatch(
        &mut self,
        id: &TaskId,
        to: Option<&U>,
    ) -> Option<(DispatchNo, Arc<TaskRequest>)> {
        let open = self.0.get_mut(id).filter(|open| open.answer.is_some())?;
        let no = DispatchNo(open.tries);
        open.tries += 1;
        open.out = Some((no, to.cloned()));
        Some((no, open.request.clone()))
    }

    /// Gives the final answer; a second one finds nobody.
    pub fn answer(&mut self, id: &TaskId, answer: TaskAnswer) {
        if let Some(waiting) = self.0.get_mut(id).and_then(|open| open.answer.take()) {
            let _ = waiting.send(answer); // a client that left this moment is told of by itself
        }
        self.forget_if_done(id);
    }

    /// A client that waited for this id left; whether it was the task's own, and not one that asked for an open
    /// id. No answer is owed any more.
    pub fn client_disconnected(&mut self, id: &TaskId) -> bool {
        let Some(open) = self.0.get_mut(id) else {
            return false;
        };
        let own = open.answer.take_if(|answer| answer.is_closed()).is_some();
        self.forget_if_done(id);
        own
    }

    /// A dispatch ended; whether the task is settled.
    pub fn dispatch_ended(&mut self, id: &TaskId, no: DispatchNo) -> bool {
        let Some(open) = self.0.get_mut(id) else {
            return true;
        };
        open.out.take_if(|(out, _)| *out == no);
        let settled = open.answer.is_none();
        self.forget_if_done(id);
        settled
    }

    /// Where a dispatch is out.
    pub fn dispatched_to(&self, id: &TaskId, no: DispatchNo) -> Option<&U> {
        let out = self.0.get(id)?.out.as_ref();
        out.filter(|(out, _)| *out == no)
            .and_then(|(_, unit)| unit.as_ref())
    }

    fn forget_if_done(&mut self, id: &TaskId) {
        if self
            .0
            .get(id)
            .is_some_and(|open| open.answer.is_none() && open.out.is_none())
        {
            self.0.remove(id);
        }
    }
}
