//! Task of one shard. It holds the shard's state, answers requests and keeps at
//! most one read or write of the shard's stored objects in flight.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use tokio::sync::{mpsc, oneshot};
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::owned::{self, Command, Now, Reply, Shard, Waiter, Write};
use super::store::{self, Outcome, OwnerEvent, Takeover};
use crate::clock::Clock;
use crate::objects::{self, Api};
use crate::resource::{journal, service};
use crate::settings;
use crate::shared_state::SharedState;

mod events;

/// Time that a request waits for the platform before it is answered as unavailable.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed call to the platform.
const BACKOFF: Duration = Duration::from_millis(250);
/// Minimum time between attempts to take over a shard from the same owner. Limits
/// the calls while two entries can reach the platform but not each other.
const MIN_TAKEOVER_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which an idle shard checks whether the owner's VM still exists.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A request to a shard.
#[derive(Debug)]
pub struct Request {
    /// Command.
    pub command: Command,
    /// Condition under which the shard may be taken over to answer it.
    pub takeover: Takeover,
    /// Receives the reply.
    pub reply: oneshot::Sender<Reply>,
}

/// Message to a shard's task.
#[derive(Debug)]
pub enum Message {
    /// Request from this process or another entry.
    Request(Request),
    /// Hand over the shard and acquire none; answered when this process doesn't own
    /// it.
    Release(oneshot::Sender<()>),
    /// A call to the platform returned.
    Event(Box<Event>),
}

/// Result of a call to the platform.
#[derive(Debug)]
pub enum Event {
    /// Result of an attempt to acquire the shard.
    Acquired(Result<Outcome, store::Error>),
    /// The written head, and its new revision.
    HeadWritten(journal::Head, Result<u64, objects::Error>),
    /// Name of the written segment.
    SegmentWritten(String, Result<(), objects::Error>),
}

/// Context shared by all shards of a process.
#[derive(Clone, Debug)]
pub struct Shared<C, P> {
    /// This process.
    pub local: journal::Owner,
    /// Start of this process.
    pub started: Instant,
    /// Settings of the journal.
    pub settings: settings::Journal,
    /// Shared state of the process.
    pub state: Arc<SharedState>,
    /// Time source.
    pub clock: C,
    /// Object API.
    pub platform: P,
    /// Stops the task.
    pub stop: CancellationToken,
}

#[derive(Debug)]
enum Role {
    /// This process doesn't own the shard. Holds the head as last read, which names
    /// the owner, if any; `None` while it is not known.
    Following(Option<journal::Head>),
    Owning(Box<Shard>),
}

struct Actor<C, P> {
    shared: Shared<C, P>,
    shard: u16,
    sender: mpsc::UnboundedSender<Message>,
    role: Role,
    /// Start of the call to the platform in flight.
    call_started: Option<Instant>,
    /// Earliest start of the next call.
    next_call: Instant,
    /// Requests that wait until the shard is acquired or its owner is known.
    pending: Vec<(Waiter, Takeover)>,
    release_replies: Vec<oneshot::Sender<()>>,
    /// Whether the process is shutting down and acquires no shard.
    stopping: bool,
    /// Condition of the acquire call in flight, or of the last one.
    current_takeover: Takeover,
    /// When the owner was first found missing.
    missing_owner: Option<OwnerEvent>,
    /// Last rejected takeover, or the loss of the shard; until
    /// `MIN_TAKEOVER_INTERVAL` after it, no takeover from this owner is tried.
    rejected_takeover: Option<OwnerEvent>,
}

/// Starts the task of shard `number`; returns the sender for its messages.
pub fn spawn<C: Clock, P: Api>(
    shared: Shared<C, P>,
    number: u16,
) -> mpsc::UnboundedSender<Message> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let actor = Actor {
        next_call: shared.clock.now(),
        shared,
        shard: number,
        sender: sender.clone(),
        role: Role::Following(None),
        call_started: None,
        pending: Vec::new(),
        release_replies: Vec::new(),
        stopping: false,
        current_takeover: Takeover::Never,
        missing_owner: None,
        rejected_takeover: None,
    };
    tokio::spawn(actor.run(receiver));
    sender
}

impl<C: Clock, P: Api> Actor<C, P> {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let stop = self.shared.stop.clone();
        loop {
            let wait = self
                .next_wakeup()
                .saturating_duration_since(self.shared.clock.now());
            tokio::select! {
                () = stop.cancelled() => return,
                message = receiver.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = time::sleep(wait) => self.check_owner(),
            }
            self.start_due_call();
        }
    }

    fn now(&self) -> Now {
        let since = self
            .shared
            .clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH);
        Now {
            monotonic: self.shared.clock.now(),
            wall: owned::millis(since.unwrap_or_default()),
        }
    }

    fn batch(&self) -> Duration {
        Duration::from_millis(self.shared.settings.batch_ms)
    }

    fn retention(&self) -> Duration {
        Duration::from_millis(self.shared.settings.retention_ms)
    }

    /// Whether any service allows offline mode.
    fn offline(&self) -> bool {
        let view = self.shared.state.config.borrow();
        let mut services = view.services.iter();
        services.any(|s| s.spec.journal == service::JournalMode::Owner)
    }

    /// Time at which the task has something to do without a message.
    fn next_wakeup(&self) -> Instant {
        let now = self.shared.clock.now();
        let pending = self.pending.iter().map(|(w, _)| w.deadline).min();
        let mut wakeup = pending
            .unwrap_or(now + OWNER_CHECK_INTERVAL)
            .min(now + OWNER_CHECK_INTERVAL);
        if pending.is_some() && self.call_started.is_none() {
            wakeup = wakeup.min(self.next_call);
        }
        if let Role::Owning(owned) = &self.role {
            wakeup = owned.first_expiry().unwrap_or(wakeup).min(wakeup);
            wakeup = match self.call_started {
                Some(started) if !owned.write_failing => wakeup.min(started + owned::SLOW_WRITE),
                Some(_) => wakeup,
                None => owned
                    .next_write(self.next_call, self.batch())
                    .unwrap_or(wakeup)
                    .min(wakeup),
            };
        }
        wakeup
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Request(request) => {
                let waiter = Waiter {
                    command: request.command,
                    deadline: self.shared.clock.now() + REQUEST_TIMEOUT,
                    reply: request.reply,
                    created_intent: false,
                };
                self.request(waiter, request.takeover);
            }
            Message::Release(reply) => self.release(reply),
            Message::Event(event) => {
                self.call_started = None;
                self.handle_event(*event);
            }
        }
    }

    fn request(&mut self, waiter: Waiter, takeover: Takeover) {
        let now = self.now();
        let retention = self.retention();
        if let Role::Owning(owned) = &mut self.role {
            return owned.apply(waiter, now, retention);
        }
        let Role::Following(Some(head)) = &self.role else {
            return self.pending.push((waiter, takeover));
        };
        let answer = match (&head.owner, &takeover) {
            (Some(owner), Takeover::From(boot)) if *boot == owner.boot => {
                if self.stopping || self.is_rejected(boot, now.monotonic) {
                    Reply::Unavailable(format!("shard owner {} can't be reached", owner.vm))
                } else {
                    return self.pending.push((waiter, takeover));
                }
            }
            (Some(owner), _) => Reply::Owner(owner.clone()),
            (None, Takeover::Never) => Reply::Unowned,
            (None, _) if self.stopping => Reply::Unowned,
            (None, _) => return self.pending.push((waiter, takeover)),
        };
        let _ = waiter.reply.send(answer);
    }

    fn is_rejected(&self, boot: &str, now: Instant) -> bool {
        let rejected = self.rejected_takeover.as_ref();
        rejected.is_some_and(|r| r.boot == boot && now < r.at + MIN_TAKEOVER_INTERVAL)
    }

    fn release(&mut self, reply: oneshot::Sender<()>) {
        let now = self.shared.clock.now();
        self.stopping = true;
        match &mut self.role {
            Role::Owning(owned) => {
                owned.releasing = true;
                owned.request_write(now);
                self.release_replies.push(reply);
            }
            Role::Following(_) if self.call_started.is_some() => self.release_replies.push(reply),
            Role::Following(_) => drop(reply.send(())),
        }
    }

    /// Hands over a shard that was acquired while the process began to shut down.
    fn release_if_stopping(&mut self) {
        let now = self.shared.clock.now();
        match &mut self.role {
            Role::Owning(owned) if self.stopping => {
                owned.releasing = true;
                owned.request_write(now);
            }
            Role::Following(_) => self.notify_released(),
            Role::Owning(_) => {}
        }
    }

    fn notify_released(&mut self) {
        for reply in std::mem::take(&mut self.release_replies) {
            let _ = reply.send(());
        }
    }

    /// Checks whether the owner's VM left the VM list, so that the resend window
    /// starts even without a request.
    fn check_owner(&mut self) {
        let Role::Following(Some(head)) = &self.role else {
            return;
        };
        let Some(owner) = head.owner.as_ref().filter(|_| head.offline) else {
            return;
        };
        let view = self.shared.state.view();
        let listed = crate::config::find(&view.vms, &owner.vm).is_some();
        let now = self.shared.clock.now();
        let resend_window = Duration::from_millis(self.shared.settings.resend_ms);
        let missing = self.missing_owner.as_ref().filter(|e| e.boot == owner.boot);
        let waiting = missing.is_some_and(|e| now < e.at + resend_window);
        if listed || waiting || view.complete == 0 || self.is_rejected(&owner.boot, now) {
            return;
        }
        self.acquire(Takeover::From(owner.boot.clone()));
    }

    /// Expires requests and starts the next call to the platform if it is due.
    fn start_due_call(&mut self) {
        let now = self.now();
        self.expire(now);
        if let (Some(started), Role::Owning(owned)) = (self.call_started, &mut self.role)
            && !owned.write_failing
            && now.monotonic >= started + owned::SLOW_WRITE
        {
            owned.write_slow();
        }
        if self.call_started.is_some() || now.monotonic < self.next_call {
            return;
        }
        match &self.role {
            Role::Owning(owned) => {
                let due = owned.next_write(self.next_call, self.batch());
                if due.is_some_and(|d| d <= now.monotonic) {
                    self.write(now);
                }
            }
            Role::Following(_) => {
                if let Some((_, takeover)) = self.pending.first() {
                    self.acquire(takeover.clone());
                }
            }
        }
    }

    fn expire(&mut self, now: Now) {
        if let Role::Owning(owned) = &mut self.role {
            owned.expire(now.monotonic);
        }
        let (expired, waiting) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(w, _)| w.deadline <= now.monotonic || w.reply.is_closed());
        self.pending = waiting;
        for (waiter, _) in expired {
            let reason = "platform did not answer in time".to_owned();
            let _ = waiter.reply.send(Reply::Unavailable(reason));
        }
    }

    fn acquire(&mut self, takeover: Takeover) {
        if self.call_started.is_some() {
            return;
        }
        let takeover = if self.stopping {
            Takeover::Never
        } else {
            takeover
        };
        let now = self.shared.clock.now();
        self.call_started = Some(now);
        self.current_takeover = takeover.clone();
        let request = store::AcquireRequest {
            shard: self.shard,
            local: self.shared.local.clone(),
            started: self.shared.started,
            takeover,
            offline: self.offline(),
            missing_owner: self.missing_owner.clone(),
            resend_window: Duration::from_millis(self.shared.settings.resend_ms),
        };
        let platform = self.shared.platform.clone();
        self.spawn_call(
            async move { Event::Acquired(store::acquire(&platform, &request, now).await) },
        );
    }

    fn write(&mut self, now: Now) {
        let (retention, offline, shard) = (self.retention(), self.offline(), self.shard);
        let Role::Owning(owned) = &mut self.role else {
            return;
        };
        let platform = self.shared.platform.clone();
        let revision = owned.revision;
        let write = owned.prepare(now, retention, offline);
        self.call_started = Some(now.monotonic);
        metrics::counter!("corianderramp_journal_writes_total").increment(1);
        match write {
            Write::Segment { name, pending } => self.spawn_call(async move {
                let result = store::put_segment(&platform, &name, &pending.segment()).await;
                Event::SegmentWritten(name, result)
            }),
            Write::Head(head) => {
                self.next_call = now.monotonic + self.batch();
                self.spawn_call(async move {
                    let result = store::put_head(&platform, shard, &head, revision).await;
                    Event::HeadWritten(head, result)
                });
            }
        }
    }

    fn spawn_call(&self, work: impl Future<Output = Event> + Send + 'static) {
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let event = work.await;
            let _ = sender.send(Message::Event(Box::new(event)));
        });
    }
}
