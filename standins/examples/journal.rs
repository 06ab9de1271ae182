//! Measures the at-most-once journal. `docs/MEASUREMENTS-journal.md` holds the
//! results of `cargo run --release -p standins --example journal -- all`.

use std::fmt::Write as _;
use std::fs;
use std::io::{self, Write as _};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::{Arg, Command};
use corianderramp::journal::key::{Attempt, Finish, Id, ReserveRequest};
use corianderramp::journal::store::{self, Outcome, Takeover};
use corianderramp::journal::table::Table;
use corianderramp::journal::{Receipt, table};
use corianderramp::objects::Client;
use corianderramp::resource::journal;
use corianderramp::resource::service::JournalMode;
use corianderramp::settings;
use standins::journal::cluster::Cluster;
use standins::journal::plan::{self, Fault, Plan};
use standins::platform;
use tokio::net::TcpListener;

const RETENTION: u64 = 3_600_000;
const NOW: u64 = 1_700_000_000_000;

type Failure = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let part = Arg::new("part")
        .required(true)
        .value_parser(["outage", "writes", "records", "all"]);
    let seconds = Arg::new("seconds")
        .long("seconds")
        .default_value("20")
        .value_parser(clap::value_parser!(u64));
    let arguments = Command::new("journal").arg(part).arg(seconds).get_matches();
    let part = arguments
        .get_one::<String>("part")
        .map_or("", String::as_str);
    let seconds = arguments.get_one::<u64>("seconds").copied().unwrap_or(20);
    let mut text = String::new();
    if matches!(part, "outage" | "all") {
        outage(&mut text).await?;
    }
    if matches!(part, "writes" | "all") {
        writes(&mut text, Duration::from_secs(seconds)).await?;
    }
    if matches!(part, "records" | "all") {
        records(&mut text).await?;
    }
    io::stdout().write_all(text.as_bytes())?;
    Ok(())
}

/// Bookings before, during and after an outage of the platform, while entries
/// are killed, paused, isolated and cut off from each other.
async fn outage(text: &mut String) -> Result<(), Failure> {
    writeln!(
        text,
        "mode seed phase served refused unknown doubled faults"
    )?;
    for mode in [JournalMode::Refuse, JournalMode::Owner] {
        for seed in 100..103 {
            let faults = [Fault::Kill, Fault::Freeze, Fault::Partition];
            let plan = Plan {
                nodes: 5,
                callers: 32,
                operations: 40,
                think: Duration::from_millis(100),
                interval: Duration::from_secs(1),
                outage: Some((Duration::from_secs(4), Duration::from_secs(6))),
                // Callers wait for the answer, so that a refusal is seen as one.
                call: Duration::from_secs(3),
                service: (0.0, 0.0),
                ..Plan::new(seed, mode, &faults)
            };
            let report = plan::run(&plan).await;
            for (name, tally) in ["before", "outage", "after"].iter().zip(report.phases) {
                writeln!(
                    text,
                    "{mode:?} {seed} {name} {} {} {} {} {}",
                    tally.served, tally.refused, tally.unknown, report.doubled, report.faults
                )?;
            }
        }
    }
    Ok(())
}

/// Writes per second and the time of reservations against the booking rate,
/// with the default shards and batch interval.
async fn writes(text: &mut String, length: Duration) -> Result<(), Failure> {
    writeln!(
        text,
        "bookings/s served writes/s segments/s reads/s KB/s reserve p50 p95 p99 max ms"
    )?;
    for rate in [10, 100, 1_000] {
        let plan = Plan {
            nodes: 5,
            service: (0.0, 0.0),
            journal: settings::Journal::default(),
            ..Plan::new(1, JournalMode::Refuse, &[])
        };
        let cluster = Cluster::start(&plan).await;
        cluster.store.set(standins::journal::store::Faults {
            delay: Duration::from_millis(2),
            ..Default::default()
        });
        // Shards are taken over in the first second, which is not measured.
        plan::load(&cluster, 0, 50, Duration::from_secs(1)).await;
        let counts = &cluster.store.counts;
        let all = [
            &counts.writes,
            &counts.segments,
            &counts.reads,
            &counts.bytes,
        ];
        let before = all.map(|c| c.load(Ordering::Relaxed));
        let begin = Instant::now();
        let tally = plan::load(&cluster, 1_000_000, rate, length).await;
        let seconds = begin.elapsed().as_secs_f64();
        let after = all.map(|c| c.load(Ordering::Relaxed));
        #[allow(clippy::cast_precision_loss)]
        let per_second = |i: usize| (after[i] - before[i]) as f64 / seconds;
        let times = cluster.ledger.reserves();
        #[allow(clippy::cast_precision_loss)]
        let millis = |micros: u64| micros as f64 / 1_000.0;
        writeln!(
            text,
            "{rate} {} {:.1} {:.2} {:.1} {:.0} {:.1} {:.1} {:.1} {:.1}",
            tally.served,
            per_second(0),
            per_second(1),
            per_second(2),
            per_second(3) / 1_000.0,
            millis(times.value_at_quantile(0.5)),
            millis(times.value_at_quantile(0.95)),
            millis(times.value_at_quantile(0.99)),
            millis(times.max()),
        )?;
    }
    Ok(())
}

/// Size of a shard in memory and in the platform, and the time in which a
/// process acquires it over HTTP.
async fn records(text: &mut String) -> Result<(), Failure> {
    writeln!(
        text,
        "records segments stored-bytes/record memory-bytes/record recovery-ms"
    )?;
    for count in [100, 1_000, 10_000, 45_000] {
        let listener = TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        let address = listener.local_addr()?;
        let platform = platform::start(listener, 1_000, platform::faults::Faults::default());
        let client = Client::new(address, None);
        let stored = fill(&client, count).await?;
        let before = resident()?;
        let begin = Instant::now();
        let request = store::AcquireRequest {
            shard: 0,
            local: owner(address),
            started: begin,
            takeover: Takeover::IfUnowned,
            offline: false,
            missing_owner: None,
            resend_window: Duration::ZERO,
        };
        let outcome = store::acquire(&client, &request, begin).await?;
        let time = begin.elapsed();
        let Outcome::Acquired { table, .. } = outcome else {
            return Err("the shard was not acquired".into());
        };
        // The second copy's cost is free of the buffers of the first read.
        let copies: Vec<Table> = (0..4).map(|_| table.clone()).collect();
        let memory = resident()?.saturating_sub(before) / (copies.len() + 1);
        writeln!(
            text,
            "{} {} {} {} {:.1}",
            table.len(),
            table.segment_count(),
            stored / table.len(),
            memory / table.len(),
            time.as_secs_f64() * 1_000.0
        )?;
        drop(platform);
    }
    Ok(())
}

/// Writes a shard with `count` finished operations; returns the stored bytes.
async fn fill(client: &Client, count: usize) -> Result<usize, Failure> {
    let mut filled = Table::default();
    let mut stored = 0;
    let mut number = 0;
    for i in 0..count {
        let request = ReserveRequest {
            id: Id(u128::MAX / (i as u128 + 1)),
            fingerprint: i as u128,
            attempt: Attempt(1),
            timeout_ms: 1_000,
            key_time: None,
        };
        filled.reserve(&request, NOW, RETENTION);
        let body = format!("{{\"booking\":{i},\"pitch\":\"Millport front\",\"state\":\"booked\"}}");
        let receipt = Receipt {
            status: 201,
            content_type: "application/json".into(),
            body: Bytes::from(body),
            truncated: false,
        };
        filled.finish(request.id, request.attempt, Finish::Complete(receipt));
        if let Some(pending) = filled.next_segment(NOW) {
            number += 1;
            let name = journal::segment_name(0, 1, number);
            let segment = pending.segment();
            stored += segment.entries.size();
            store::put_segment(client, &name, &segment).await?;
            filled.commit_segment(pending, name);
        }
    }
    let mut head = journal::Head::default();
    filled.fill_head(&mut head);
    stored += head.entries.size();
    store::put_head(client, 0, &head, 0).await?;
    debug_assert!(filled.segment_count() <= table::MAX_SEGMENTS);
    Ok(stored)
}

fn owner(address: SocketAddr) -> journal::Owner {
    journal::Owner {
        vm: "entry-0".into(),
        boot: "boot".into(),
        started: 1,
        address,
    }
}

/// Resident memory of this process, bytes.
fn resident() -> Result<usize, Failure> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split(' ').nth(1).ok_or("statm has no second field")?;
    Ok(pages.parse::<usize>()? * 4096)
}
