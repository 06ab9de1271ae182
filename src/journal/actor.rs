//! The task that runs one shard: it holds the shard's state, answers requests
//! and keeps at most one call to the platform in flight.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use tokio::sync::{mpsc, oneshot};
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::held::{self, Answer, Held, Now, Task, Waiter, Write};
use super::store::{self, Gone, Outcome, Want};
use crate::clock::Clock;
use crate::objects::{self, Api};
use crate::resource::{journal, service};
use crate::settings;
use crate::shared_state::SharedState;

mod events;

/// Time without the platform after which a request is answered as unavailable.
pub const PATIENCE: Duration = Duration::from_secs(1);
/// Pause after a failed call to the platform.
const BACKOFF: Duration = Duration::from_millis(250);
/// Shortest time between two tries to take a shard from the same owner. It
/// bounds the calls while two entries can reach the platform but not each other.
const TAKE_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which a shard without requests looks for an owner that is gone.
const IDLE: Duration = Duration::from_secs(1);

/// A request to a shard.
#[derive(Debug)]
pub struct Request {
    /// What it wants.
    pub task: Task,
    /// From whom the shard may be taken for it.
    pub want: Want,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Answer>,
}

/// Message to a shard's task.
#[derive(Debug)]
pub enum Message {
    /// A request.
    Request(Request),
    /// Hand the shard over; answered when it is not owned any more.
    Release(oneshot::Sender<()>),
    /// A call to the platform ended.
    Event(Box<Event>),
}

/// End of a call to the platform.
#[derive(Debug)]
pub enum Event {
    /// A try to acquire the shard.
    Acquired(Result<Outcome, store::Error>),
    /// A write of the head.
    Head(journal::Head, Result<u64, objects::Error>),
    /// A write of a segment.
    Segment(String, Result<(), objects::Error>),
}

/// What all shards of a process share.
#[derive(Clone, Debug)]
pub struct Shared<C, P> {
    /// This process.
    pub me: journal::Owner,
    /// Start of this process.
    pub born: Instant,
    /// Settings.
    pub settings: settings::Journal,
    /// Shared state of the process.
    pub state: Arc<SharedState>,
    /// Time source.
    pub clock: C,
    /// Object API.
    pub platform: P,
    /// Ends the task.
    pub stop: CancellationToken,
}

#[derive(Debug)]
enum Role {
    /// Another process owns the shard, nobody does, or it is not known.
    Following(Option<journal::Head>),
    Owning(Box<Held>),
}

struct Actor<C, P> {
    shared: Shared<C, P>,
    shard: u16,
    sender: mpsc::UnboundedSender<Message>,
    role: Role,
    started: Option<Instant>,
    next: Instant,
    pending: Vec<(Waiter, Want)>,
    releases: Vec<oneshot::Sender<()>>,
    /// Whether the process is stopping and takes no shard any more.
    closed: bool,
    trying: Want,
    gone: Option<Gone>,
    rejected: Option<Gone>,
}

/// Starts the task of one shard.
pub fn spawn<C: Clock, P: Api>(
    shared: Shared<C, P>,
    number: u16,
) -> mpsc::UnboundedSender<Message> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let actor = Actor {
        next: shared.clock.now(),
        shared,
        shard: number,
        sender: sender.clone(),
        role: Role::Following(None),
        started: None,
        pending: Vec::new(),
        releases: Vec::new(),
        closed: false,
        trying: Want::Look,
        gone: None,
        rejected: None,
    };
    tokio::spawn(actor.run(receiver));
    sender
}

impl<C: Clock, P: Api> Actor<C, P> {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let stop = self.shared.stop.clone();
        loop {
            let wait = self
                .wake()
                .saturating_duration_since(self.shared.clock.now());
            tokio::select! {
                () = stop.cancelled() => return,
                message = receiver.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = time::sleep(wait) => self.look(),
            }
            self.advance();
        }
    }

    fn now(&self) -> Now {
        let since = self
            .shared
            .clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH);
        Now {
            mono: self.shared.clock.now(),
            wall: held::millis(since.unwrap_or_default()),
        }
    }

    fn batch(&self) -> Duration {
        Duration::from_millis(self.shared.settings.batch_ms)
    }

    fn retention(&self) -> Duration {
        Duration::from_millis(self.shared.settings.retention_ms)
    }

    /// Whether any service's operations go on from memory.
    fn offline(&self) -> bool {
        let view = self.shared.state.config.borrow();
        let mut services = view.services.iter();
        services.any(|s| s.spec.journal == service::JournalMode::Owner)
    }

    fn wake(&self) -> Instant {
        let now = self.shared.clock.now();
        let pending = self.pending.iter().map(|(w, _)| w.until).min();
        let mut wake = pending.unwrap_or(now + IDLE).min(now + IDLE);
        if pending.is_some() && self.started.is_none() {
            wake = wake.min(self.next);
        }
        if let Role::Owning(own) = &self.role {
            wake = own.first_expiry().unwrap_or(wake).min(wake);
            wake = match self.started {
                Some(started) if !own.failing => wake.min(started + held::SLOW),
                Some(_) => wake,
                None => own.due(self.next, self.batch()).unwrap_or(wake).min(wake),
            };
        }
        wake
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Request(request) => {
                let waiter = Waiter {
                    task: request.task,
                    until: self.shared.clock.now() + PATIENCE,
                    reply: request.reply,
                    made: false,
                };
                self.request(waiter, request.want);
            }
            Message::Release(reply) => self.release(reply),
            Message::Event(event) => {
                self.started = None;
                self.event(*event);
            }
        }
    }

    fn request(&mut self, waiter: Waiter, want: Want) {
        let now = self.now();
        let retention = self.retention();
        if let Role::Owning(own) = &mut self.role {
            return own.apply(waiter, now, retention);
        }
        let Role::Following(Some(head)) = &self.role else {
            return self.pending.push((waiter, want));
        };
        let answer = match (&head.owner, &want) {
            (Some(owner), Want::From(boot)) if *boot == owner.boot => {
                if self.closed || self.is_rejected(boot, now.mono) {
                    Answer::Unavailable(format!("{}, the owner, can't be reached", owner.vm))
                } else {
                    return self.pending.push((waiter, want));
                }
            }
            (Some(owner), _) => Answer::Owner(owner.clone()),
            (None, Want::Look) => Answer::Unowned,
            (None, _) if self.closed => Answer::Unowned,
            (None, _) => return self.pending.push((waiter, want)),
        };
        let _ = waiter.reply.send(answer);
    }

    fn is_rejected(&self, boot: &str, now: Instant) -> bool {
        let rejected = self.rejected.as_ref();
        rejected.is_some_and(|r| r.boot == boot && now < r.since + TAKE_PAUSE)
    }

    fn release(&mut self, reply: oneshot::Sender<()>) {
        let now = self.shared.clock.now();
        self.closed = true;
        match &mut self.role {
            Role::Owning(own) => {
                own.releasing = true;
                own.touch(now);
                self.releases.push(reply);
            }
            Role::Following(_) if self.started.is_some() => self.releases.push(reply),
            Role::Following(_) => drop(reply.send(())),
        }
    }

    /// Gives up a shard that was acquired while the process began to stop.
    fn close(&mut self) {
        let now = self.shared.clock.now();
        match &mut self.role {
            Role::Owning(own) if self.closed => {
                own.releasing = true;
                own.touch(now);
            }
            Role::Following(_) => self.released(),
            Role::Owning(_) => {}
        }
    }

    fn released(&mut self) {
        for reply in std::mem::take(&mut self.releases) {
            let _ = reply.send(());
        }
    }

    /// Looks for an owner whose VM left the list, so that the resend window
    /// starts without a request.
    fn look(&mut self) {
        let Role::Following(Some(head)) = &self.role else {
            return;
        };
        let Some(owner) = head.owner.as_ref().filter(|_| head.offline) else {
            return;
        };
        let view = self.shared.state.view();
        let listed = crate::config::find(&view.vms, &owner.vm).is_some();
        let now = self.shared.clock.now();
        let resend = Duration::from_millis(self.shared.settings.resend_ms);
        let seen = self.gone.as_ref().filter(|g| g.boot == owner.boot);
        let waiting = seen.is_some_and(|g| now < g.since + resend);
        if listed || waiting || view.complete == 0 || self.is_rejected(&owner.boot, now) {
            return;
        }
        self.acquire(Want::From(owner.boot.clone()));
    }

    /// Starts what is due.
    fn advance(&mut self) {
        let now = self.now();
        self.expire(now);
        if let (Some(started), Role::Owning(own)) = (self.started, &mut self.role)
            && !own.failing
            && now.mono >= started + held::SLOW
        {
            own.slow();
        }
        if self.started.is_some() || now.mono < self.next {
            return;
        }
        match &self.role {
            Role::Owning(own) => {
                let due = own.due(self.next, self.batch());
                if due.is_some_and(|d| d <= now.mono) {
                    self.write(now);
                }
            }
            Role::Following(_) => {
                if let Some((_, want)) = self.pending.first() {
                    self.acquire(want.clone());
                }
            }
        }
    }

    fn expire(&mut self, now: Now) {
        if let Role::Owning(own) = &mut self.role {
            own.expire(now.mono);
        }
        let (late, rest) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(w, _)| w.until <= now.mono || w.reply.is_closed());
        self.pending = rest;
        for (waiter, _) in late {
            let reason = "the platform does not answer".to_owned();
            let _ = waiter.reply.send(Answer::Unavailable(reason));
        }
    }

    fn acquire(&mut self, want: Want) {
        if self.started.is_some() {
            return;
        }
        let want = if self.closed { Want::Look } else { want };
        let now = self.shared.clock.now();
        self.started = Some(now);
        self.trying = want.clone();
        let request = store::Request {
            shard: self.shard,
            me: self.shared.me.clone(),
            born: self.shared.born,
            want,
            offline: self.offline(),
            gone: self.gone.clone(),
            resend: Duration::from_millis(self.shared.settings.resend_ms),
        };
        let platform = self.shared.platform.clone();
        self.call(async move { Event::Acquired(store::acquire(&platform, &request, now).await) });
    }

    fn write(&mut self, now: Now) {
        let (retention, offline, shard) = (self.retention(), self.offline(), self.shard);
        let Role::Owning(own) = &mut self.role else {
            return;
        };
        let platform = self.shared.platform.clone();
        let revision = own.revision;
        let write = own.prepare(now, retention, offline);
        self.started = Some(now.mono);
        metrics::counter!("corianderramp_journal_writes_total").increment(1);
        match write {
            Write::Segment { name, sealing } => self.call(async move {
                let result = store::put_segment(&platform, &name, &sealing.segment()).await;
                Event::Segment(name, result)
            }),
            Write::Head(head) => {
                self.next = now.mono + self.batch();
                self.call(async move {
                    let result = store::put_head(&platform, shard, &head, revision).await;
                    Event::Head(head, result)
                });
            }
        }
    }

    fn call(&self, work: impl Future<Output = Event> + Send + 'static) {
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let event = work.await;
            let _ = sender.send(Message::Event(Box::new(event)));
        });
    }
}
