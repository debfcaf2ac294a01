//! The offers of one request: to a unit, to another if `crossing` says so, to a second one beside the first if
//! that one takes longer than nearly all and another has a slot free. Nothing here holds an answer back.

use crate::guide::{Command, Queue};
use crate::offer::{self, Answer, Offer};
use crate::shared::Shared;
use beechcroft_balancer::{Choice, Keyed, Share, Side, Want, Why};
use beechcroft_config::config::RouteType;
use beechcroft_consensus::Stage;
use beechcroft_error::ErrorKind;
use beechcroft_hotkeys::Pins;
use beechcroft_outlier::lease::{self, Bar};
use beechcroft_retry::{Crossing, End, Next};
use beechcroft_rollout::conduct::{share, takes_further_tries, LAST};
use beechcroft_rollout::Outcome;
use beechcroft_routing::{Table, Way};
use beechcroft_transport::guard::Ask;
use beechcroft_transport::line::{Body, Line};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Parts of a request's aim: least and most time after which a second unit may be asked beside the first.
const PATIENCE: [f64; 2] = [0.25, 0.6];
/// Part of its aim after which a client that was refused should come back.
const BACK_PART: f64 = 0.2;
/// With less than this left, no further unit is asked.
const SHORT: Duration = Duration::from_millis(5);

/// What goes back to the client.
pub enum Final {
    Unit(Box<Answer>),
    /// An answer of the system's own, and after how many ms to come back.
    Own(ErrorKind, u64),
    /// The client has gone.
    Gone,
}

/// A request whose body is held or has begun to come.
pub struct Task<'a> {
    pub table: &'a Table,
    pub route: usize,
    pub way: &'a Way,
    pub service: usize,
    pub ask: &'a Ask,
    pub held: &'a [u8],
    pub until: Instant,
    /// The request's key, where its service has places for keys.
    pub key: Option<u64>,
    /// What this client's connection has seen.
    pub pins: &'a RefCell<Pins>,
}

impl Task<'_> {
    fn service(&self) -> &str {
        &self.table.services[self.service].name
    }

    fn back_ms(&self) -> u64 {
        (self.way.target_ms as f64 * BACK_PART) as u64
    }

    fn time(&self) -> bool {
        Instant::now() + SHORT < self.until
    }
}

/// One offer that has ended.
struct Ended {
    unit: Rc<str>,
    result: Result<Answer, End>,
}

/// Where a request stands among its offers.
struct Run<'a> {
    shared: &'a Rc<Shared>,
    guide: &'a Queue,
    task: &'a Task<'a>,
    crossing: Crossing,
    tried: Vec<Rc<str>>,
    side: Side,
    /// A unit was given it, whatever came of that.
    arrived: bool,
}

/// A unit that was chosen for an offer.
struct Pick {
    choice: Choice,
    side: Side,
    /// No unit was given the request before.
    first: bool,
    /// An earlier offer of it is still open.
    beside: bool,
}

/// A request whose body is held: it may be offered again.
pub async fn held(shared: &Rc<Shared>, guide: &Queue, task: &Task<'_>, line: &mut Line) -> Final {
    let repeatable = task.way.repeatable();
    let mut run = Run::new(shared, guide, task, repeatable, task.way.tries);
    // Once an offer has been answered, those still open were slower.
    let beaten = Cell::new(false);
    let mut open = FuturesUnordered::new();
    match run.choose() {
        Ok(choice) => open.push(offered(
            shared,
            task,
            run.pick(choice),
            &beaten,
            repeatable,
            None,
        )),
        Err(kind) => return Final::Own(kind, task.back_ms()),
    }
    let mut patience = run.patience();
    let mut gone = std::pin::pin!(gone(line));
    loop {
        let waited = async {
            match patience {
                Some(at) => sleep_until(at).await,
                None => pending().await,
            }
        };
        let ended = tokio::select! {
            biased;
            Some(ended) = open.next() => ended,
            () = &mut gone => return Final::Gone,
            () = waited => {
                match run.beside() {
                    Some(choice) => {
                        patience = None;
                        let pick = Pick { beside: true, ..run.pick(choice) };
                        open.push(offered(shared, task, pick, &beaten, repeatable, None));
                    }
                    None => patience = run.patience(),
                }
                continue;
            }
        };
        let (end, answer) = match run.ended(ended) {
            Ok(answer) => {
                beaten.set(true);
                return Final::Unit(answer);
            }
            Err(failed) => failed,
        };
        if !open.is_empty() {
            run.crossing.ended_beside(end);
            continue;
        }
        match run
            .crossing
            .ended(end, task.time(), || shared.further_try(task.service()))
        {
            Next::Again => match run.choose() {
                Ok(choice) => {
                    open.push(offered(
                        shared,
                        task,
                        run.pick(choice),
                        &beaten,
                        repeatable,
                        None,
                    ));
                    patience = run.patience();
                }
                Err(kind) => return own(kind, answer, task),
            },
            Next::PassOn => {
                return Final::Unit(answer.expect("a failure that is passed on is an answer"))
            }
            Next::Answer(kind) => return Final::Own(kind, task.back_ms()),
        }
    }
}

/// A request whose body is too large to be held: it can be sent once.
pub async fn streamed(
    shared: &Rc<Shared>,
    guide: &Queue,
    task: &Task<'_>,
    more: (&mut Line, &mut Body),
) -> Final {
    let mut run = Run::new(shared, guide, task, false, 1);
    let choice = match run.choose() {
        Ok(choice) => choice,
        Err(kind) => return Final::Own(kind, task.back_ms()),
    };
    let beaten = Cell::new(false);
    let ended = offered(shared, task, run.pick(choice), &beaten, false, Some(more)).await;
    match run.ended(ended) {
        Ok(answer) | Err((_, Some(answer))) => Final::Unit(answer),
        // What was read of the body cannot be read again, so nothing but an answer is left.
        Err((end, None)) => match run.crossing.ended(end, false, || false) {
            Next::Answer(kind) => Final::Own(kind, task.back_ms()),
            Next::Again | Next::PassOn => Final::Own(ErrorKind::ResponseLost, task.back_ms()),
        },
    }
}

/// A failure of a unit's own, if there is one, is better than a refusal that comes after it.
fn own(kind: ErrorKind, answer: Option<Box<Answer>>, task: &Task) -> Final {
    match answer {
        Some(answer) => Final::Unit(answer),
        None => Final::Own(kind, task.back_ms()),
    }
}

impl<'a> Run<'a> {
    fn new(
        shared: &'a Rc<Shared>,
        guide: &'a Queue,
        task: &'a Task<'a>,
        repeatable: bool,
        sends: u32,
    ) -> Run<'a> {
        shared.first_try(task.service());
        let crossing = Crossing::new(repeatable, sends);
        let side = side_of(shared, task.service());
        Run {
            shared,
            guide,
            task,
            crossing,
            tried: Vec::new(),
            side,
            arrived: false,
        }
    }

    /// Where the key's requests go: its usual places, or more if it is crowded.
    fn keyed(&self) -> Option<Keyed> {
        let key = self.task.key?;
        let service = &self.task.table.services[self.task.service];
        let spread = self
            .shared
            .crowds
            .borrow()
            .get(&service.name)
            .and_then(|crowd| crowd.places(key));
        let bound = self.task.pins.borrow().unit(self.shared.now(), key);
        let (crowded, sole) = (spread.is_some(), !self.task.way.repeatable());
        Some(Keyed {
            key,
            places: spread.unwrap_or(service.usual_places),
            crowded,
            bound,
            sole,
        })
    }

    /// Whether the agreed placement says where the request may go.
    fn agreed(&self) -> bool {
        !self.task.way.repeatable() && self.task.table.services[self.task.service].unfit.is_some()
    }

    /// Why a request that must not run twice may not be placed now: this relay has heard nothing of the core for so
    /// long that others may send it elsewhere, or its key's place has just been moved and others may not know yet.
    fn barred(&self) -> Option<ErrorKind> {
        if !self.agreed() {
            return None;
        }
        let now = self.shared.now();
        let bar = lease::may_place(now, self.shared.touched_at.get(), self.moved_at());
        bar.err().map(|bar| match bar {
            Bar::OutOfTouch => ErrorKind::NoQuorumContact,
            Bar::Moving => ErrorKind::PlacementChanging,
        })
    }

    /// When this relay learned that the place of the request's key is another, if that is of late.
    fn moved_at(&self) -> Option<u64> {
        let (key, service) = (self.task.key?, self.task.service());
        let moves = self.shared.moves.borrow();
        let yard = self.shared.yard.borrow();
        moves
            .get(service)?
            .moved_at(|aside| yard.sole(service, key, |id| aside.contains(id)))
    }

    fn want(&self) -> Want<'_> {
        let Way {
            homes,
            priority,
            kind,
            ..
        } = self.task.way;
        let bulk = *kind == RouteType::Download;
        Want {
            side: self.side,
            homes,
            priority: *priority,
            bulk,
            agreed: self.agreed(),
            keyed: self.keyed(),
            tried: &self.tried,
        }
    }

    /// The unit for the next offer, or why there is none.
    fn choose(&mut self) -> Result<Choice, ErrorKind> {
        let service = self.task.service();
        if let Some(kind) = self.barred() {
            return Err(self.crossing.no_unit(kind));
        }
        let stage = stage_of(self.shared, service);
        if !self.tried.is_empty() && self.side == Side::Trial && !takes_further_tries(stage) {
            self.side = Side::Base; // further tries are no trial
        }
        // In the last stage there may be no unit of the earlier version left to take one.
        let mut other = stage == Some(LAST) && !self.tried.is_empty() && self.side == Side::Base;
        loop {
            let chosen =
                self.shared
                    .yard
                    .borrow_mut()
                    .choose(self.shared.now(), service, &self.want());
            match chosen {
                Ok(choice) => {
                    self.crossing.offered();
                    self.tried.push(choice.id.clone());
                    return Ok(choice);
                }
                Err(_) if self.side == Side::Trial && stage != Some(LAST) => {
                    self.side = Side::Base;
                    self.shared.share(service, Share::give_back);
                }
                Err(_) if other => (self.side, other) = (Side::Trial, false),
                Err(Why::Full) => return Err(self.crossing.no_unit(ErrorKind::Overloaded)),
                Err(Why::None) => return Err(self.crossing.no_unit(ErrorKind::NoEndpoint)),
            }
        }
    }

    /// When to think of a second unit: after what nearly all requests of the route take.
    fn patience(&self) -> Option<Instant> {
        let target = self.task.way.target_ms as f64;
        if !self.crossing.has_more() || target <= 0.0 {
            return None;
        }
        let judges = self.shared.judges.borrow();
        let usual = judges
            .get(self.task.service())
            .and_then(|judge| judge.usual(self.task.route as u32));
        let [least, most] = PATIENCE.map(|part| part * target);
        let ms = usual.map_or(most, |usual| {
            (usual.as_secs_f64() * 1000.0).clamp(least, most)
        });
        Some(Instant::now() + Duration::from_millis(ms as u64))
    }

    fn pick(&self, choice: Choice) -> Pick {
        Pick {
            choice,
            side: self.side,
            first: !self.arrived,
            beside: false,
        }
    }

    /// A second unit beside the one that takes so long, if one has a slot free and the budget a further try.
    fn beside(&mut self) -> Option<Choice> {
        let service = self.task.service();
        let stage = stage_of(self.shared, service);
        let side = if takes_further_tries(stage) {
            self.side
        } else {
            Side::Base
        };
        let free = self.shared.yard.borrow().has_free(
            self.shared.now(),
            service,
            &Want {
                side,
                ..self.want()
            },
        );
        if !free
            || !self.crossing.has_more()
            || !self.task.time()
            || !self.shared.further_try(service)
        {
            return None;
        }
        (self.side, self.arrived) = (side, true);
        self.choose().ok()
    }

    /// What an offer's end comes to; a failure of the unit's own comes with its answer.
    fn ended(&mut self, ended: Ended) -> Result<Box<Answer>, (End, Option<Box<Answer>>)> {
        let Ended { unit, result } = ended;
        let failed = match result {
            Ok(answer) if answer.reply.status >= 500 && answer.rest.is_none() => {
                (End::Failed, Some(Box::new(answer)))
            }
            Ok(answer) => return Ok(Box::new(answer)),
            Err(end) => (end, None),
        };
        self.arrived |= !matches!(failed.0, End::NotSent | End::Refused | End::Elsewhere);
        if failed.0 == End::Elsewhere {
            let _ = self.guide.send(Command::Ended(unit));
        }
        Err(failed)
    }
}

/// One offer, from the choice of its unit to its end; yard and judge are told of it, even if it is dropped.
async fn offered<'a>(
    shared: &'a Rc<Shared>,
    task: &'a Task<'a>,
    pick: Pick,
    beaten: &Cell<bool>,
    repeatable: bool,
    more: Option<(&mut Line, &mut Body)>,
) -> Ended {
    let Choice {
        id: unit,
        address,
        free,
        near,
    } = pick.choice.clone();
    let mut open = Open::new(shared, task, pick, beaten);
    let mut told = None;
    let mut offer = Offer {
        ask: task.ask,
        body: task.held,
        more,
        unit: unit.clone(),
        address,
        near,
        max_conns: task.table.services[task.service].max_conns,
        sure: !repeatable,
        until: task.until,
    };
    let result = offer::make(shared, &mut offer, &mut told).await;
    let end = match &result {
        Ok(answer) if answer.reply.status >= 500 => Some(End::Failed),
        Ok(_) => None,
        Err(end) => Some(*end),
    };
    open.end = Some(end);
    if matches!(end, Some(End::NotSent | End::Unclear)) {
        shared.pool.borrow_mut().distrust(&unit);
    }
    open.ill = match end {
        None => Some(false),
        Some(End::Refused | End::Elsewhere | End::Failed) => None,
        Some(End::NotSent | End::Unclear | End::Slow) => Some(true),
    };
    open.told = told.map(|(at_unit, _)| at_unit);
    open.failed = match end {
        Some(End::NotSent | End::Refused | End::Elsewhere) => None,
        Some(End::Unclear | End::Failed) => Some(true),
        Some(End::Slow) | None => Some(false),
    };
    if end.is_none() {
        shared.took(task.service(), open.began.elapsed());
        if let Some(key) = task.key {
            let fresh_ms = task.table.services[task.service].fresh_ms;
            task.pins
                .borrow_mut()
                .answered(shared.now(), key, &unit, fresh_ms);
        }
    }
    open.free = free && told.is_none_or(|(at_unit, slots)| at_unit <= slots);
    drop(open);
    if end == Some(End::Refused) {
        shared
            .yard
            .borrow_mut()
            .is_full(shared.now(), task.service(), &unit);
    }
    Ended { unit, result }
}

/// A request that is open at a unit. Whatever ends it, yard and judge are told.
struct Open<'a> {
    shared: &'a Rc<Shared>,
    task: &'a Task<'a>,
    unit: Rc<str>,
    on_trial: bool,
    first: bool,
    beside: bool,
    /// The unit was slow from its start when it was given the request.
    cold: bool,
    began: Instant,
    beaten: &'a Cell<bool>,
    told: Option<u32>,
    ill: Option<bool>,
    failed: Option<bool>,
    free: bool,
    /// How the offer ended, if it did; within, none is an answer.
    end: Option<Option<End>>,
}

impl<'a> Open<'a> {
    fn new(
        shared: &'a Rc<Shared>,
        task: &'a Task<'a>,
        pick: Pick,
        beaten: &'a Cell<bool>,
    ) -> Open<'a> {
        let Pick {
            choice: Choice { id: unit, .. },
            side,
            first,
            beside,
        } = pick;
        let now = shared.now();
        let mut yard = shared.yard.borrow_mut();
        yard.opened(task.service(), &unit);
        let cold = yard
            .place(task.service(), &unit)
            .is_some_and(|place| place.warm_at > now);
        drop(yard);
        let (told, ill, failed, free) = (None, None, None, true);
        Open {
            shared,
            task,
            unit,
            on_trial: side == Side::Trial,
            first,
            beside,
            cold,
            began: Instant::now(),
            beaten,
            told,
            ill,
            failed,
            free,
            end: None,
        }
    }
}

impl Open<'_> {
    /// Where the service says what unfit means, what was seen of the unit is evidence for all relays.
    fn count(&self, beaten: bool) {
        let service = &self.task.table.services[self.task.service];
        let Some(rules) = &service.unfit else { return };
        let mut seen = self.shared.seen.borrow_mut();
        let count = seen
            .entry(service.name.clone())
            .or_default()
            .entry(self.unit.clone())
            .or_default();
        let aim_ms = self.task.way.target_ms as f64;
        let late = rules.late_times > 0.0
            && self.began.elapsed().as_secs_f64() * 1000.0 > rules.late_times * aim_ms;
        match self.end {
            Some(None) => {
                count.answers = count.answers.saturating_add(1);
                count.late = count.late.saturating_add(u16::from(late));
            }
            Some(Some(End::Failed)) => count.errors = count.errors.saturating_add(1),
            Some(Some(End::Unclear)) => count.wrong = count.wrong.saturating_add(1),
            Some(Some(End::NotSent | End::Slow)) => {
                count.unreachable = count.unreachable.saturating_add(1)
            }
            None if beaten && late => count.late = count.late.saturating_add(1),
            _ => {}
        }
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        // Silent until another unit, asked later, had answered: that speaks against it, and against its version.
        let silent = self.failed.is_none() && self.ill.is_none() && !self.beside;
        let beaten = (silent && self.beaten.get()).then_some(true);
        let service = self.task.service();
        self.shared.yard.borrow_mut().closed(
            self.shared.now(),
            service,
            &self.unit,
            self.told,
            self.ill.or(beaten),
        );
        self.count(beaten.is_some());
        let Some(failed) = self.failed.or(beaten) else {
            return;
        };
        let outcome = Outcome {
            on_trial: self.on_trial.then(|| beechcroft_rollout::short(&self.unit)),
            route: self.task.route as u32,
            failed,
            spent: self.began.elapsed(),
            free: self.free,
            first: self.first,
            cold: self.cold,
            beaten: beaten.is_some(),
        };
        self.shared
            .judges
            .borrow_mut()
            .entry(service.to_owned())
            .or_default()
            .outcome(outcome);
    }
}

/// Which version a request goes to.
fn side_of(shared: &Shared, service: &str) -> Side {
    let Some(stage) = stage_of(shared, service) else {
        return Side::Base;
    };
    let part = share(stage, shared.settings.bounds.canary_share);
    if shared.share(service, |held| held.take(part)) {
        Side::Trial
    } else {
        Side::Base
    }
}

/// The stage that a service's rollout is in, if there is one.
fn stage_of(shared: &Shared, service: &str) -> Option<u8> {
    match shared.orders.borrow().rollouts.get(service)?.stage {
        Stage::Active(stage) => Some(stage),
        _ => None,
    }
}

/// Returns once the client has closed its side; bytes of a next request are kept.
async fn gone(line: &mut Line) {
    loop {
        match line.fill().await {
            Ok(0) | Err(_) => return,
            Ok(_) if line.unread().len() > 64 << 10 => pending().await,
            Ok(_) => {}
        }
    }
}
