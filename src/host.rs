//! Process beside a target: keeps its weights current and grants its places.

use log::info;

use crate::clock::Clock;
use crate::fleet::catalog::Topic;
use crate::node::follow::{self, Contact};
use crate::node::settings::Settings;
use crate::node::stop::Signals;
use crate::node::{Board, Error};

/// Runs a host until it is told to stop.
///
/// # Errors
/// Fails when an address is taken or a setting is missing; nothing is started then.
pub async fn run<C: Clock>(settings: Settings, mut signals: Signals, clock: C) -> Result<(), Error> {
    let board = Board::default();
    for topic in Topic::ALL {
        tokio::spawn(follow::run(
            topic,
            settings.store,
            board.clone(),
            Contact::default(),
            clock.clone(),
        ));
    }
    info!(vm = settings.vm.as_str(), role = "host"; "started");
    signals.stop().await;
    Ok(())
}
