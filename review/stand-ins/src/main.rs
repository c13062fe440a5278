//! Runs one case of the review: starts the controllers and the stand-ins, makes the disruption
//! unless `TROUBLE=0`, and judges the rule by what users, workers and the cloud see.
//!
//!     review-case CASE RUN FOLDER RECORD
//!
//! RUN is the command of the deploy file, FOLDER a temporary folder, and RECORD the file to write.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod net;
mod service;
mod state;
mod world;

use std::path::Path;
use std::process::ExitCode;

/// The verdict of a case.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, run, folder, record] = args.as_slice() else {
        eprintln!("usage: review-case CASE RUN FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (folder, record) = (Path::new(folder), Path::new(record));
    let verdict = match case.as_str() {
        "late-copy" => cases::late_copy(run, folder, record, trouble),
        "stale-leader" => cases::stale_leader(run, folder, record, trouble),
        "lost-zone" => cases::lost_zone(run, folder, record, trouble),
        "spread-gang" => cases::spread_gang(run, folder, record, trouble),
        other => Verdict::NotRun(format!("no case {other}")),
    };
    match verdict {
        Verdict::Held => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken(what) => {
            println!("the rule was broken: {what}");
            ExitCode::from(1)
        }
        Verdict::NotRun(why) => {
            println!("the case could not run: {why}");
            ExitCode::from(2)
        }
    }
}
