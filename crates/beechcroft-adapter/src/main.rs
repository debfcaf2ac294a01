//! Runs relays for the simulator: one [`Relay`](beechcroft::decide::Relay) for each `who` of its line protocol on
//! standard input and output. Only decodes and encodes; all decisions are made in the relay.

mod wire;

use std::io::{self, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic of a relay is reported on the wire as `BUG`, so nothing is printed here.
    std::panic::set_hook(Box::new(|_| {}));
    let (input, output) = (io::stdin().lock(), io::stdout().lock());
    match wire::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(io::stderr(), "{error}");
            ExitCode::FAILURE
        }
    }
}
