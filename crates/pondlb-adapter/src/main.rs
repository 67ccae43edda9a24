//! Connects balancers to the simulator, which talks to many of them in one process over standard input and output.
//!
//! The input comes in batches of lines. The adapter decodes a batch, passes each balancer its events and writes the
//! actions of the balancers. It makes no decisions of its own.

mod protocol;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;
use std::rc::Rc;

use pondlb::{Action, Balancer, Event, ListUpdate, TenthMillis, UpstreamEntry};
use protocol::{InstanceId, Line, ListForm, ParseContext, ProtocolError};

const INPUT_BUFFER_BYTES: usize = 1 << 20;
const OUTPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    // A panic is reported in the output as a failure of its instance; the default hook would print it as well.
    panic::set_hook(Box::new(|_| {}));
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    match run(&mut input, io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pondlb-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// One balancer, with the events that it was sent in the current batch.
struct Instance {
    balancer: Balancer,
    context: ParseContext,
    pending_events: Vec<Event>,
    /// Whether the instance is listed in [`Host::touched`].
    touched: bool,
}

/// All balancers of the process.
#[derive(Default)]
struct Host {
    instances: BTreeMap<InstanceId, Instance>,
    /// The latest list of upstreams on each page.
    pages: [Option<Rc<[UpstreamEntry]>>; protocol::LEDGER_PAGES],
    /// The instances that were started or sent an event in the current batch, in the order in which they reply.
    touched: Vec<InstanceId>,
    /// The actions of one instance; kept to reuse the memory.
    actions: Vec<Action>,
}

/// The lines of the input, numbered for error messages.
struct Lines<'a, R> {
    input: &'a mut R,
    buffer: Vec<u8>,
    line_number: u64,
}

impl<R: BufRead> Lines<'_, R> {
    /// The next line without its end; `None` at the end of the input.
    fn next_line(&mut self) -> Result<Option<&str>, ProtocolError> {
        self.buffer.clear();
        self.line_number += 1;
        let read = self
            .input
            .read_until(b'\n', &mut self.buffer)
            .map_err(|e| format!("cannot read the input: {e}"))?;
        if read == 0 {
            return Ok(None);
        }
        if self.buffer.pop_if(|byte| *byte == b'\n').is_some() {
            self.buffer.pop_if(|byte| *byte == b'\r');
        }
        str::from_utf8(&self.buffer).map(Some).map_err(|_| "not UTF-8".into())
    }

    /// The next line, which must exist because the input may not end inside `construct`.
    fn next_line_inside(&mut self, construct: &str) -> Result<&str, ProtocolError> {
        self.next_line()?.ok_or_else(|| format!("the input ends inside {construct}"))
    }
}

fn run(input: &mut impl BufRead, output: impl Write) -> Result<(), ProtocolError> {
    let mut output = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, output);
    let mut lines = Lines { input, buffer: Vec::new(), line_number: 0 };
    let mut host = Host::default();
    loop {
        match process_batch(&mut lines, &mut host, &mut output) {
            Ok(true) => {}
            Ok(false) => return Ok(()),
            Err(error) => return Err(format!("line {}: {error}", lines.line_number)),
        }
    }
}

/// Reads one batch and replies to it. Returns false at the end of the input.
fn process_batch(
    lines: &mut Lines<impl BufRead>,
    host: &mut Host,
    output: &mut impl Write,
) -> Result<bool, ProtocolError> {
    let Some(line) = lines.next_line()? else {
        return Ok(false);
    };
    let (now, serial) = protocol::parse_batch_start(line)?;
    loop {
        let line = lines.next_line_inside("a batch")?;
        if line == protocol::BATCH_END {
            break;
        }
        let instances = &host.instances;
        let context_of = |id| instances.get(&id).map(|instance| instance.context);
        match protocol::parse_line(line, context_of)? {
            Line::Ledger { page, entry_count } => {
                let entries: Result<Rc<[UpstreamEntry]>, ProtocolError> = (0..entry_count)
                    .map(|_| protocol::parse_ledger_entry(lines.next_line_inside("a list")?))
                    .collect();
                host.pages[page] = Some(entries?);
            }
            Line::Start { instance, seed, config, context } => {
                host.start(instance, Balancer::new(*config, seed), context)?;
            }
            // The events that it was sent earlier in this batch are dropped: it could only have acted on requests that
            // are lost with it.
            Line::Stop { instance } => {
                host.instances.remove(&instance).ok_or_else(|| protocol::not_running_error(instance))?;
            }
            Line::ListUpdate { instance, form, page } => {
                let update = host.list_update(form, page)?;
                host.touch(instance)?.pending_events.push(Event::ListUpdate(update));
            }
            Line::Event { instance, event } => host.touch(instance)?.pending_events.push(event),
            Line::Ignored => {}
        }
    }
    host.write_reply(now, output)
        .and_then(|()| writeln!(output, "OK serial={serial}"))
        .and_then(|()| output.flush())
        .map_err(|e| format!("cannot write the reply: {e}"))?;
    Ok(true)
}

impl Host {
    fn start(
        &mut self,
        id: InstanceId,
        balancer: Balancer,
        context: ParseContext,
    ) -> Result<(), ProtocolError> {
        let instance = Instance { balancer, context, pending_events: Vec::new(), touched: false };
        self.instances.insert(id, instance);
        self.touch(id).map(|_| ())
    }

    /// Returns a running instance, and lists it among those that reply at the end of the batch.
    fn touch(&mut self, id: InstanceId) -> Result<&mut Instance, ProtocolError> {
        let instance = self.instances.get_mut(&id).ok_or_else(|| protocol::not_running_error(id))?;
        if !instance.touched {
            instance.touched = true;
            self.touched.push(id);
        }
        Ok(instance)
    }

    fn list_update(&self, form: ListForm, page: Option<usize>) -> Result<ListUpdate, ProtocolError> {
        let entries = || {
            let page = page.ok_or("VIEW: Page is missing")?;
            self.pages[page].clone().ok_or_else(|| format!("no LEDGER with Page={page} was received"))
        };
        Ok(match form {
            ListForm::Changes => ListUpdate::Changes(entries()?),
            ListForm::Snapshot => ListUpdate::Snapshot(entries()?),
            ListForm::Restored => ListUpdate::Restored(entries()?),
            ListForm::Refused => ListUpdate::Refused,
        })
    }

    /// Lets each touched instance handle its events, and writes its actions.
    fn write_reply(&mut self, now: TenthMillis, output: &mut impl Write) -> io::Result<()> {
        for id in self.touched.drain(..) {
            // An instance that was stopped after it was touched is missing. One that was stopped and started again is
            // listed twice, and its second turn is skipped.
            let Some(instance) = self.instances.get_mut(&id).filter(|instance| instance.touched) else {
                continue;
            };
            instance.touched = false;
            self.actions.clear();
            let handled = panic::catch_unwind(AssertUnwindSafe(|| {
                instance.balancer.handle(now, instance.pending_events.drain(..), &mut self.actions);
            }));
            match handled {
                Ok(()) => {
                    for action in &self.actions {
                        protocol::write_action(output, id, action)?;
                    }
                }
                Err(panic) => {
                    let message = (panic.downcast_ref::<&str>().copied())
                        .or_else(|| panic.downcast_ref::<String>().map(String::as_str))
                        .unwrap_or("panic without a text");
                    writeln!(output, "BROKEN Who={id} Text={}", protocol::to_single_line(message))?;
                }
            }
        }
        Ok(())
    }
}
