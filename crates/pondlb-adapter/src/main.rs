//! The simulator's wire on standard input and output: words only, no decisions.

#[cfg(test)]
mod tests;
mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;
use std::rc::Rc;

use pondlb::{Action, Balancer, Event, ListUpdate, TenthMillis, UpstreamEntry};
use wire::{Fault, Form, Line, Reading};

fn main() -> ExitCode {
    // A panic is reported on the wire as a fault of its instance; the default hook would print a trace.
    panic::set_hook(Box::new(|_| {}));
    match run(&mut BufReader::with_capacity(1 << 20, io::stdin().lock()), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("pondlb-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// One balancer with what it has been sent in the batch being read.
struct Instance {
    balancer: Balancer,
    reading: Reading,
    waiting: Vec<Event>,
    touched: bool,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    pages: [Option<Rc<[UpstreamEntry]>>; wire::PAGES],
    touched: Vec<u64>,
    actions: Vec<Action>,
}

/// The lines of the input, counted for the messages.
struct Lines<'a, R> {
    input: &'a mut R,
    text: Vec<u8>,
    number: u64,
}

impl<R: BufRead> Lines<'_, R> {
    fn next(&mut self) -> Result<Option<&str>, Fault> {
        self.text.clear();
        self.number += 1;
        let read =
            self.input.read_until(b'\n', &mut self.text).map_err(|e| format!("cannot be read: {e}"))?;
        if read == 0 {
            return Ok(None);
        }
        if self.text.pop_if(|b| *b == b'\n').is_some() {
            self.text.pop_if(|b| *b == b'\r');
        }
        str::from_utf8(&self.text).map(Some).map_err(|_| "not UTF-8".into())
    }

    fn inside(&mut self, what: &str) -> Result<&str, Fault> {
        self.next()?.ok_or_else(|| format!("the input ends inside {what}"))
    }
}

fn run(input: &mut impl BufRead, output: impl Write) -> Result<(), Fault> {
    let mut output = BufWriter::with_capacity(1 << 16, output);
    let mut lines = Lines { input, text: Vec::new(), number: 0 };
    let mut host = Host::default();
    loop {
        match batch(&mut lines, &mut host, &mut output) {
            Ok(true) => {}
            Ok(false) => return Ok(()),
            Err(fault) => return Err(format!("line {}: {fault}", lines.number)),
        }
    }
}

/// Reads one batch and answers it; false at the end of the input.
fn batch(lines: &mut Lines<impl BufRead>, host: &mut Host, output: &mut impl Write) -> Result<bool, Fault> {
    let Some(line) = lines.next()? else {
        return Ok(false);
    };
    let (now, serial) = wire::tick(line)?;
    loop {
        let line = lines.inside("a batch")?;
        if line == wire::BATCH_END {
            break;
        }
        let instances = &host.instances;
        let reading = |who| instances.get(&who).map(|i| i.reading);
        match wire::line(line, reading)? {
            Line::Ledger { page, members } => {
                let entries: Result<Rc<[UpstreamEntry]>, Fault> =
                    (0..members).map(|_| wire::member(lines.inside("a list")?)).collect();
                host.pages[page] = Some(entries?);
            }
            Line::Start { who, seed, terms, reading } => {
                let balancer = Balancer::new(*terms, seed);
                host.instances
                    .insert(who, Instance { balancer, reading, waiting: Vec::new(), touched: false });
                host.touch(who)?;
            }
            // What it was sent earlier in this batch dies with it: it could only act on requests it lost.
            Line::Kill { who } => {
                host.instances.remove(&who).ok_or_else(|| wire::unknown(who))?;
            }
            Line::View { who, form, page } => {
                let listing = host.listing(form, page)?;
                host.touch(who)?.waiting.push(Event::ListUpdate(listing));
            }
            Line::Event { who, event } => host.touch(who)?.waiting.push(event),
            Line::Unneeded => {}
        }
    }
    host.answer(now, output)
        .and_then(|()| writeln!(output, "OK serial={serial}"))
        .and_then(|()| output.flush())
        .map_err(|e| format!("the reply cannot be written: {e}"))?;
    Ok(true)
}

impl Host {
    fn touch(&mut self, who: u64) -> Result<&mut Instance, Fault> {
        let instance = self.instances.get_mut(&who).ok_or_else(|| wire::unknown(who))?;
        if !instance.touched {
            instance.touched = true;
            self.touched.push(who);
        }
        Ok(instance)
    }

    fn listing(&self, form: Form, page: Option<usize>) -> Result<ListUpdate, Fault> {
        let entries = || {
            let page = page.ok_or("VIEW lacks Page")?;
            self.pages[page].clone().ok_or_else(|| format!("no LEDGER with Page={page} has come"))
        };
        Ok(match form {
            Form::Changes => ListUpdate::Changes(entries()?),
            Form::Whole => ListUpdate::Snapshot(entries()?),
            Form::Remembered => ListUpdate::Restored(entries()?),
            Form::Lost => ListUpdate::Refused,
        })
    }

    fn answer(&mut self, now: TenthMillis, output: &mut impl Write) -> io::Result<()> {
        for who in self.touched.drain(..) {
            // Killed after it was sent something, or killed and started again and so listed twice.
            let Some(instance) = self.instances.get_mut(&who).filter(|i| i.touched) else {
                continue;
            };
            instance.touched = false;
            self.actions.clear();
            let decided = panic::catch_unwind(AssertUnwindSafe(|| {
                instance.balancer.handle(now, instance.waiting.drain(..), &mut self.actions);
            }));
            match decided {
                Ok(()) => {
                    for action in &self.actions {
                        wire::write(output, who, action)?;
                    }
                }
                Err(panic) => {
                    let text = (panic.downcast_ref::<&str>().copied())
                        .or_else(|| panic.downcast_ref::<String>().map(String::as_str))
                        .unwrap_or("panic without a text");
                    writeln!(output, "BROKEN Who={who} Text={}", wire::one_line(text))?;
                }
            }
        }
        Ok(())
    }
}
