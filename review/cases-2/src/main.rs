//! Stand-ins and checks of the cases 4 to 8: `cases-2 CASE ROOT FOLDER`, with the root of the
//! repository and the folder of the case, in which `record.txt` is written. The environment
//! variable `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule was broken, with 0 if
//! it held, and with 2 if the case could not run.

mod cases;
mod net;
mod site;
mod world;

use std::path::{Path, PathBuf};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: cases-2 CASE ROOT FOLDER");
        std::process::exit(2)
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = PathBuf::from(root).canonicalize().expect("the root of the repository");
    cases::run(case, root, Path::new(folder), trouble)
}
