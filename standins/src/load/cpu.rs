//! CPU time of this process's threads by name, from `/proc/self/task`.

use std::fs;

/// Length of a clock tick in `/proc`, microseconds.
const TICK_US: u64 = 10_000;

/// CPU time of all threads whose name is `name`, microseconds.
#[must_use]
pub fn used(name: &str) -> u64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0;
    };
    let stats = tasks
        .flatten()
        .filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    stats.filter_map(|stat| ticks(&stat, name)).sum::<u64>() * TICK_US
}

/// User and system ticks of a `stat` line, if the thread's name is `name`.
fn ticks(stat: &str, name: &str) -> Option<u64> {
    let (head, rest) = stat.rsplit_once(')')?;
    let (_, thread) = head.split_once('(')?;
    if thread != name {
        return None;
    }
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some(user + system)
}
