//! Generation of requests at times that were drawn before.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{self, Instant};

use super::Settings;
use crate::caller::{Caller, Failure, Question};

/// How one request ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Index of the account.
    pub account: usize,
    /// Whether it counts, that is, started after the warm-up.
    pub counts: bool,
    /// What came of it.
    pub end: End,
}

/// What came of a request.
#[derive(Clone, Debug)]
pub enum End {
    /// Whole answer, with the times from the planned start.
    Done {
        /// To the first byte.
        first_byte: Duration,
        /// To the last byte.
        took: Duration,
    },
    /// Refused as not run.
    NotRun,
    /// Broken, late or unknown.
    Failed(String),
    /// Looked whole but was wrong.
    Wrong(String),
}

/// A planned request.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// Time from the start of the run.
    pub at: Duration,
    /// Index of the account.
    pub account: usize,
    /// Prompt.
    pub prompt: String,
}

/// Plan of all requests, which depends on the settings alone.
#[must_use]
pub fn plan(settings: &Settings) -> Vec<Planned> {
    let mut random = SmallRng::seed_from_u64(settings.seed);
    let end = settings.total();
    let mut planned = Vec::new();
    for (account, one) in settings.accounts.iter().enumerate() {
        if one.rate <= 0.0 {
            continue;
        }
        let mut at = Duration::ZERO;
        loop {
            let gap = -(1.0 - random.random::<f64>()).ln() / one.rate;
            at += Duration::from_secs_f64(gap);
            if at >= end {
                break;
            }
            let prompt = prompt(settings, planned.len(), &mut random);
            planned.push(Planned {
                at,
                account,
                prompt,
            });
        }
    }
    planned.sort_by_key(|p| p.at);
    planned
}

fn prompt(settings: &Settings, number: usize, random: &mut SmallRng) -> String {
    let unique = format!("request {number} of seed {}", settings.seed);
    if settings.prefixes == 0 {
        return unique;
    }
    let prefix = random.random_range(0..settings.prefixes);
    let text = format!("Common beginning number {prefix}. ");
    let common: String = text.chars().cycle().take(settings.prefix_bytes).collect();
    common + &unique
}

/// Sends all planned requests, to the addresses in turn.
pub async fn run(settings: &Settings, addresses: &[SocketAddr]) -> Vec<Outcome> {
    let planned = plan(settings);
    let callers: Vec<Caller> = settings
        .accounts
        .iter()
        .map(|a| Caller::new(&a.key, false))
        .collect();
    let start = Instant::now();
    let warmup = Duration::from_secs(settings.warmup_s);
    let mut tasks = Vec::new();
    for (number, one) in planned.into_iter().enumerate() {
        let mut question = Question::new(&settings.service, &one.prompt, settings.tokens);
        question.timeout_ms = Some(settings.deadline_ms);
        let caller = callers[one.account].clone();
        let address = addresses[number % addresses.len()];
        let due = start + one.at;
        time::sleep_until(due).await;
        let deadline = Duration::from_millis(settings.deadline_ms);
        tasks.push(tokio::spawn(async move {
            let late = due.elapsed();
            let asked = time::timeout(deadline * 2, caller.ask(address, &question)).await;
            let end = match asked {
                Ok(Ok(done)) => End::Done {
                    first_byte: late + done.first_byte,
                    took: late + done.took,
                },
                Ok(Err(Failure::Status { outcome, .. })) if outcome == "not-run" => End::NotRun,
                Ok(Err(Failure::Wrong { fault })) => End::Wrong(fault),
                Ok(Err(e)) => End::Failed(e.to_string()),
                Err(_) => End::Failed("no answer in twice the deadline".into()),
            };
            Outcome {
                account: one.account,
                counts: one.at >= warmup,
                end,
            }
        }));
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.extend(task.await);
    }
    outcomes
}
