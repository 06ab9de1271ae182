//! Pauses of simulated targets: single answers or the whole process fall silent and go on later.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use http_body_util::StreamBody;
use hyper::body::Frame;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::{task, time};

use super::Target;
use super::server::{Error, HttpResponse};

/// Events before the first and the second pause of a stream.
const MIDWAY: [usize; 2] = [3, 6];
/// Time in which what was sent before a cut reaches the peer.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Point at which an answer falls silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Point {
    /// Before the response head.
    Head,
    /// After the head, before the first event or body byte.
    Start,
    /// After the third event.
    Midway,
    /// After the third and after the sixth event.
    Twice,
    /// Within the first event, or within a body that is sent as a whole.
    Within,
}

/// How an answer is silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Silence {
    /// Goes on after this time.
    For(Duration),
    /// Never goes on; the connection stays open.
    Endless,
    /// Never goes on; the connection is no longer read or written, but stays open.
    Cut,
    /// Never goes on, but sends this text at this interval; without a wait if it is zero.
    Filled(&'static str, Duration),
}

/// Silence in a part of a target's answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pause {
    /// Every how many answers one falls silent; 1 for all.
    pub every: usize,
    /// Where it does.
    pub point: Point,
    /// How it does.
    pub silence: Silence,
}

#[derive(Debug, Default)]
struct State {
    pause: Option<Pause>,
    /// Until when the whole process is silent.
    silent_until: Option<Instant>,
    answers: usize,
    paused: usize,
    active: usize,
    /// Ids of requests whose answers the target broke off.
    broken: Vec<String>,
}

/// Pauses of a target.
#[derive(Clone, Debug, Default)]
pub(super) struct Pauses {
    state: Arc<Mutex<State>>,
}

impl Pauses {
    /// Begins the answer to the request `id` on the connection that `cut` cuts.
    pub(super) fn begin(&self, id: String, cut: Option<Arc<Notify>>) -> Answer {
        let mut state = self.state.lock();
        state.active += 1;
        state.answers += 1;
        let answers = state.answers;
        Answer {
            pauses: self.clone(),
            pause: state.pause.filter(|p| answers.is_multiple_of(p.every)),
            has_paused: false,
            id,
            cut,
        }
    }

    /// Records that the target breaks off the answer to the request `id`.
    pub(super) fn record_broken(&self, id: String) {
        self.state.lock().broken.push(id);
    }

    /// Waits while the whole process is silent.
    pub(super) async fn wait_while_silent(&self) {
        while let Some(until) = self.silent_until() {
            time::sleep_until(until.into()).await;
        }
    }

    fn silent_until(&self) -> Option<Instant> {
        let until = self.state.lock().silent_until;
        until.filter(|u| *u > Instant::now())
    }
}

/// Answer in progress, counted until it is dropped.
#[derive(Debug)]
pub(super) struct Answer {
    pauses: Pauses,
    pause: Option<Pause>,
    has_paused: bool,
    id: String,
    cut: Option<Arc<Notify>>,
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.pauses.state.lock().active -= 1;
    }
}

impl Answer {
    /// Waits where the answer is silent before its head.
    pub(super) async fn before_head(&mut self) {
        self.wait_for_process().await;
        if let Some(pause) = self.pause.filter(|p| p.point == Point::Head) {
            self.fall_silent(pause.silence).await;
        }
    }

    /// Records that the target, not its caller, spoils the answer.
    pub(super) fn record_broken(&self) {
        self.pauses.record_broken(self.id.clone());
    }

    /// Adds the silence after the head to a response.
    pub(super) fn apply(self, response: HttpResponse) -> HttpResponse {
        response.map(|body| {
            let frames = Frames {
                answer: self,
                body,
                count: 0,
                rest: None,
                filler: None,
            };
            let frames = stream::unfold(frames, |mut frames| async move {
                let frame = frames.next().await?;
                Some((frame, frames))
            });
            StreamBody::new(frames.boxed())
        })
    }

    async fn wait_for_process(&mut self) {
        if self.pauses.silent_until().is_some() {
            self.count_pause();
            self.pauses.wait_while_silent().await;
        }
    }

    fn count_pause(&mut self) {
        if !self.has_paused {
            self.has_paused = true;
            self.pauses.state.lock().paused += 1;
        }
    }

    /// Waits for as long as the answer is silent; returns what it sends meanwhile, if any.
    async fn fall_silent(&mut self, silence: Silence) -> Option<(&'static str, Duration)> {
        self.count_pause();
        match silence {
            Silence::For(length) => time::sleep(length).await,
            Silence::Endless => std::future::pending().await,
            Silence::Cut => {
                time::sleep(FLUSH_TIME).await;
                if let Some(cut) = &self.cut {
                    cut.notify_one();
                }
                std::future::pending::<()>().await;
            }
            Silence::Filled(text, interval) => return Some((text, interval)),
        }
        None
    }
}

/// Frames of an answer's body with its pauses.
struct Frames {
    answer: Answer,
    body: StreamBody<stream::BoxStream<'static, Result<Frame<Bytes>, Error>>>,
    /// Frames sent.
    count: usize,
    /// Second part of a frame within which the answer is silent.
    rest: Option<Bytes>,
    filler: Option<(&'static str, Duration)>,
}

impl Frames {
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, Error>> {
        if self.filler.is_none() && self.is_pause_due() {
            let pause = self.answer.pause?;
            self.filler = self.answer.fall_silent(pause.silence).await;
        }
        if let Some((text, interval)) = self.filler {
            if interval.is_zero() {
                task::yield_now().await;
            } else {
                time::sleep(interval).await;
            }
            return Some(Ok(Frame::data(Bytes::from_static(text.as_bytes()))));
        }
        let frame = match self.rest.take() {
            Some(rest) => Ok(Frame::data(rest)),
            None => self.body.next().await?,
        };
        self.answer.wait_for_process().await;
        self.count += 1;
        let is_split = self
            .answer
            .pause
            .is_some_and(|p| p.point == Point::Within && self.count == 1);
        Some(match frame.map(Frame::into_data) {
            Ok(Ok(mut data)) if is_split => {
                self.rest = Some(data.split_off(data.len() / 2));
                Ok(Frame::data(data))
            }
            Ok(Ok(data)) => Ok(Frame::data(data)),
            Ok(Err(frame)) => Ok(frame),
            Err(e) => {
                self.answer.record_broken();
                Err(e)
            }
        })
    }

    fn is_pause_due(&self) -> bool {
        match self.answer.pause.map(|p| p.point) {
            Some(Point::Start) => self.count == 0,
            Some(Point::Midway) => self.count == MIDWAY[0],
            Some(Point::Twice) => MIDWAY.contains(&self.count),
            Some(Point::Within) => self.rest.is_some(),
            Some(Point::Head) | None => false,
        }
    }
}

impl Target {
    /// Sets which answers fall silent; `None` for none.
    pub fn set_pause(&self, pause: Option<Pause>) {
        let mut state = self.pauses.state.lock();
        state.pause = pause;
        state.answers = 0;
    }

    /// Makes the whole process silent for `length`: reports, heads and bodies wait, while
    /// connections are accepted.
    pub fn fall_silent(&self, length: Duration) {
        self.pauses.state.lock().silent_until = Some(Instant::now() + length);
    }

    /// Number of answers so far that fell silent.
    #[must_use]
    pub fn paused(&self) -> usize {
        self.pauses.state.lock().paused
    }

    /// Ids of the requests whose answers the target broke off or gave a wrong id.
    #[must_use]
    pub fn broken(&self) -> Vec<String> {
        self.pauses.state.lock().broken.clone()
    }

    /// Number of answers in progress.
    #[must_use]
    pub fn active(&self) -> usize {
        self.pauses.state.lock().active
    }
}
