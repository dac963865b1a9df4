//! Runs one case: `review-case NAME FOLDER`. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not
//! run. `TROUBLE=0` leaves the disruption out.

mod cases;

use review_stand_ins_2::record::Record;
use review_stand_ins_2::Verdict;
use std::path::Path;
use std::process::exit;
use std::time::Duration;

/// A case ends within this time.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: review-case NAME FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(why) => {
            eprintln!("record.txt: {why}");
            exit(2);
        }
    };
    // The children end with this process.
    let timer = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        timer.line("the case takes too long");
        exit(2);
    });
    record.line(&format!("case {name}, trouble: {has_trouble}"));
    let result = cases::run(name, &record, has_trouble);
    let code = match &result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    };
    let text = format!("result: {result:?}");
    record.line(&text);
    println!("{text}");
    exit(code);
}
