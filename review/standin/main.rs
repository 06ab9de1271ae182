//! Plays the cases of the review: `standin CASE FOLDER TEMPORARY`. Ends with status 0 if the rule
//! held, 1 if it was broken and 2 if the case couldn't run.

mod cases;
mod net;
mod sha256;
mod world;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, temporary] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER TEMPORARY");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    world::watch(Duration::from_secs(115));
    let (folder, temporary) = (Path::new(folder), Path::new(temporary));
    match cases::run(case, folder, temporary, has_trouble) {
        Ok(true) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("the rule is broken");
            ExitCode::from(1)
        }
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
