//! Hosts one [`Relay`](beechcroft::decide::Relay) for each `who` of the bench's wire: framing, names and numbers, nothing else.

mod wire;

use std::io::{self, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {})); // a panic of the module is told on the wire as BUG
    let (input, output) = (io::stdin().lock(), io::stdout().lock());
    match wire::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(complaint) => {
            let _ = writeln!(io::stderr(), "{complaint}");
            ExitCode::FAILURE
        }
    }
}
