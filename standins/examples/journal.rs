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

/// Retention of records, milliseconds.
const RETENTION_MS: u64 = 3_600_000;
/// Time of all reservations, Unix milliseconds.
const NOW_MS: u64 = 1_700_000_000_000;

type Error = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
async fn main() -> Result<(), Error> {
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
    let mut output = String::new();
    if matches!(part, "outage" | "all") {
        measure_outage(&mut output).await?;
    }
    if matches!(part, "writes" | "all") {
        measure_writes(&mut output, Duration::from_secs(seconds)).await?;
    }
    if matches!(part, "records" | "all") {
        measure_records(&mut output).await?;
    }
    io::stdout().write_all(output.as_bytes())?;
    Ok(())
}

/// Measures the outcomes of bookings before, during and after an outage of the
/// object API, while entries are killed, paused and partitioned from each other.
async fn measure_outage(output: &mut String) -> Result<(), Error> {
    writeln!(
        output,
        "mode seed phase served refused unknown doubled faults"
    )?;
    for mode in [JournalMode::Refuse, JournalMode::Owner] {
        for seed in 100..103 {
            let faults = [Fault::Kill, Fault::Pause, Fault::Partition];
            let plan = Plan {
                nodes: 5,
                callers: 32,
                operations: 40,
                think_time: Duration::from_millis(100),
                fault_interval: Duration::from_secs(1),
                outage: Some((Duration::from_secs(4), Duration::from_secs(6))),
                // Callers wait for the response, so that a refusal is not counted
                // as unknown.
                call_timeout: Duration::from_secs(3),
                service_faults: (0.0, 0.0),
                ..Plan::new(seed, mode, &faults)
            };
            let report = plan::run(&plan).await;
            for (name, outcomes) in ["before", "outage", "after"].iter().zip(report.phases) {
                writeln!(
                    output,
                    "{mode:?} {seed} {name} {} {} {} {} {}",
                    outcomes.served,
                    outcomes.refused,
                    outcomes.unknown,
                    report.duplicates,
                    report.faults
                )?;
            }
        }
    }
    Ok(())
}

/// Measures writes per second and reservation times at several booking rates,
/// with the default number of shards and batch interval.
async fn measure_writes(output: &mut String, length: Duration) -> Result<(), Error> {
    writeln!(
        output,
        "bookings/s served writes/s segments/s reads/s KB/s reserve p50 p95 p99 max ms"
    )?;
    for rate in [10, 100, 1_000] {
        let plan = Plan {
            nodes: 5,
            service_faults: (0.0, 0.0),
            journal: settings::Journal::default(),
            ..Plan::new(1, JournalMode::Refuse, &[])
        };
        let cluster = Cluster::start(&plan).await;
        cluster.store.set_faults(standins::journal::store::Faults {
            max_delay: Duration::from_millis(2),
            ..Default::default()
        });
        // Warm-up, in which the entries acquire the shards. The rates leave it out,
        // but the reservation times include it.
        plan::run_load(&cluster, 0, 50, Duration::from_secs(1)).await;
        let counts = &cluster.store.counts;
        let counters = [
            &counts.writes,
            &counts.segment_writes,
            &counts.reads,
            &counts.written_bytes,
        ];
        let before = counters.map(|c| c.load(Ordering::Relaxed));
        let begin = Instant::now();
        let outcomes = plan::run_load(&cluster, 1_000_000, rate, length).await;
        let seconds = begin.elapsed().as_secs_f64();
        let after = counters.map(|c| c.load(Ordering::Relaxed));
        #[allow(clippy::cast_precision_loss)]
        let per_second = |i: usize| (after[i] - before[i]) as f64 / seconds;
        let times = cluster.service.reservation_times();
        #[allow(clippy::cast_precision_loss)]
        let to_ms = |micros: u64| micros as f64 / 1_000.0;
        writeln!(
            output,
            "{rate} {} {:.1} {:.2} {:.1} {:.0} {:.1} {:.1} {:.1} {:.1}",
            outcomes.served,
            per_second(0),
            per_second(1),
            per_second(2),
            per_second(3) / 1_000.0,
            to_ms(times.value_at_quantile(0.5)),
            to_ms(times.value_at_quantile(0.95)),
            to_ms(times.value_at_quantile(0.99)),
            to_ms(times.max()),
        )?;
    }
    Ok(())
}

/// Measures the size of a shard in memory and in the object API, and the time to
/// acquire it over HTTP.
async fn measure_records(output: &mut String) -> Result<(), Error> {
    writeln!(
        output,
        "records segments stored-bytes/record memory-bytes/record recovery-ms"
    )?;
    for count in [100, 1_000, 10_000, 45_000] {
        let listener = TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        let address = listener.local_addr()?;
        let platform = platform::start(listener, 1_000, platform::faults::Faults::default());
        let client = Client::new(address, None);
        let stored_bytes = fill_shard(&client, count).await?;
        let before = resident_bytes()?;
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
            return Err("shard 0 was not acquired".into());
        };
        // Averages over further copies, since the growth for the first table
        // includes the buffers of its read.
        let copies: Vec<Table> = (0..4).map(|_| table.clone()).collect();
        let memory = resident_bytes()?.saturating_sub(before) / (copies.len() + 1);
        writeln!(
            output,
            "{} {} {} {} {:.1}",
            table.len(),
            table.segment_count(),
            stored_bytes / table.len(),
            memory / table.len(),
            time.as_secs_f64() * 1_000.0
        )?;
        drop(platform);
    }
    Ok(())
}

/// Writes shard 0 with `count` completed operations. Returns the stored size in
/// bytes.
async fn fill_shard(client: &Client, count: usize) -> Result<usize, Error> {
    let mut table = Table::default();
    let mut stored_bytes = 0;
    let mut segment_number = 0;
    for i in 0..count {
        let request = ReserveRequest {
            id: Id(u128::MAX / (i as u128 + 1)),
            fingerprint: i as u128,
            attempt: Attempt(1),
            timeout_ms: 1_000,
            key_time: None,
        };
        table.reserve(&request, NOW_MS, RETENTION_MS);
        let body = format!("{{\"booking\":{i},\"pitch\":\"Millport front\",\"state\":\"booked\"}}");
        let receipt = Receipt {
            status: 201,
            content_type: "application/json".into(),
            body: Bytes::from(body),
            truncated: false,
        };
        table.finish(request.id, request.attempt, Finish::Complete(receipt));
        if let Some(pending) = table.next_segment(NOW_MS) {
            segment_number += 1;
            let name = journal::segment_name(0, 1, segment_number);
            let segment = pending.segment();
            stored_bytes += segment.entries.size();
            store::put_segment(client, &name, &segment).await?;
            table.commit_segment(pending, name);
        }
    }
    let mut head = journal::Head::default();
    table.fill_head(&mut head);
    stored_bytes += head.entries.size();
    store::put_head(client, 0, &head, 0).await?;
    debug_assert!(table.segment_count() <= table::MAX_SEGMENTS);
    Ok(stored_bytes)
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
fn resident_bytes() -> Result<usize, Error> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text
        .split(' ')
        .nth(1)
        .ok_or("/proc/self/statm has no second field")?;
    Ok(pages.parse::<usize>()? * 4096)
}
