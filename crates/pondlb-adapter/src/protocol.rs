//! The simulator's line protocol: parses lines into events, writes actions as lines.
//!
//! A line is a word that says its kind, followed by fields of the form `NAME=VALUE` in any order, parted by spaces.
//! Unknown fields are skipped.

use std::io::{self, Write};
use std::str::FromStr;

use base64::{Engine, prelude::BASE64_STANDARD};
use pondlb::{Action, Arrival, BalancerConfig, Event, Load, Outcome, Stage, TenthMillis, UpstreamEntry};
use pondlb::{ns_to_tenth_millis_ceil, ns_to_tenth_millis_floor, tenth_millis_to_ns};

/// A message that says why the input cannot be processed or the output not written.
pub type ProtocolError = String;

/// The simulator's number of a balancer, in the field `Who`.
pub type InstanceId = u64;

/// The line that ends a batch.
pub const BATCH_END: &str = "EOF_BATCH";
/// How many lists of upstreams can be held at once, each on a page of its own.
pub const LEDGER_PAGES: usize = 16;
/// How many fields a line may have.
const MAX_FIELDS: usize = 16;

/// What of an instance's settings is needed to parse its lines: the positions in a load report of the values that the
/// balancer uses, if they are reported, and the number of classes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ParseContext {
    pub in_flight_position: Option<usize>,
    pub queued_position: Option<usize>,
    pub service_time_position: Option<usize>,
    /// The number of values in a load report.
    pub value_count: usize,
    pub class_count: u32,
}

impl ParseContext {
    fn new(load_report_fields: &[String], class_count: u32) -> ParseContext {
        let position = |name| load_report_fields.iter().position(|field| field == name);
        ParseContext {
            in_flight_position: position("rif"),
            queued_position: position("q"),
            service_time_position: position("lat_ms"),
            value_count: load_report_fields.len(),
            class_count,
        }
    }
}

/// What an update of the list of upstreams contains.
pub enum ListForm {
    /// The entries that changed.
    Changes,
    /// All entries.
    Snapshot,
    /// All entries as the balancer knew them before it was started.
    Restored,
    /// Nothing: discovery refused the call or did not answer with a list.
    Refused,
}

/// A parsed line inside a batch.
pub enum Line {
    /// A list of upstreams for a page; its entries follow, each on a line of its own.
    Ledger {
        page: usize,
        entry_count: usize,
    },
    Start {
        instance: InstanceId,
        seed: u64,
        config: Box<BalancerConfig>,
        context: ParseContext,
    },
    Stop {
        instance: InstanceId,
    },
    /// The instance receives the list on the page.
    ListUpdate {
        instance: InstanceId,
        form: ListForm,
        page: Option<usize>,
    },
    Event {
        instance: InstanceId,
        event: Event,
    },
    /// A line that no balancer needs.
    Ignored,
}

pub fn not_running_error(instance: InstanceId) -> ProtocolError {
    format!("instance {instance} is not running")
}

/// Replaces each run of white space by one space: a line end in a text would break the framing of the output.
pub fn to_single_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// The fields of one line. They are few, so that a linear search is faster than a map.
struct Fields<'a> {
    line_kind: &'a str,
    pairs: [(&'a str, &'a str); MAX_FIELDS],
    count: usize,
}

impl<'a> Fields<'a> {
    /// Splits the text of a line after its kind. A field named Config or Text extends to the end of the line.
    fn split(line_kind: &'a str, mut rest: &'a str) -> Result<Self, ProtocolError> {
        let mut fields = Fields { line_kind, pairs: [("", ""); MAX_FIELDS], count: 0 };
        while !rest.is_empty() {
            let is_last = rest.starts_with("Config=") || rest.starts_with("Text=");
            let (pair, after) = if is_last { (rest, "") } else { rest.split_once(' ').unwrap_or((rest, "")) };
            rest = after;
            let (name, value) = pair
                .split_once('=')
                .ok_or_else(|| format!("{line_kind}: {pair:?} is not of the form NAME=VALUE"))?;
            let slot = fields
                .pairs
                .get_mut(fields.count)
                .ok_or_else(|| format!("{line_kind} has too many fields"))?;
            *slot = (name, value);
            fields.count += 1;
        }
        Ok(fields)
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs[..self.count].iter().find(|(n, _)| *n == name).map(|(_, value)| *value)
    }

    fn required(&self, name: &str) -> Result<&'a str, ProtocolError> {
        self.get(name).ok_or_else(|| format!("{}: {name} is missing", self.line_kind))
    }

    fn invalid(&self, name: &str, value: &str) -> ProtocolError {
        format!("{}: {name}={value} is invalid", self.line_kind)
    }

    fn parse<T: FromStr>(&self, name: &str, value: &str) -> Result<T, ProtocolError> {
        value.parse().map_err(|_| self.invalid(name, value))
    }

    fn parse_required<T: FromStr>(&self, name: &str) -> Result<T, ProtocolError> {
        self.parse(name, self.required(name)?)
    }

    fn parse_optional<T: FromStr>(&self, name: &str) -> Result<Option<T>, ProtocolError> {
        self.get(name).map(|value| self.parse(name, value)).transpose()
    }

    /// A flag of 0 or 1; false if the line does not have it.
    fn flag(&self, name: &str) -> Result<bool, ProtocolError> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.invalid(name, value)),
        }
    }

    fn outcome(&self) -> Result<Outcome, ProtocolError> {
        Ok(match self.required("Rc")? {
            "0" => Outcome::Ok,
            "13" => Outcome::Error,
            "8" => Outcome::Full,
            "4" => Outcome::TimedOut,
            "14" => Outcome::ConnectFailed,
            "10" => Outcome::Reset,
            "1" => Outcome::Cancelled,
            "9" => Outcome::Moot,
            value => return Err(self.invalid("Rc", value)),
        })
    }

    fn duration(&self) -> Result<TenthMillis, ProtocolError> {
        self.parse_required("DurationNs").map(ns_to_tenth_millis_ceil)
    }

    fn load(&self, context: ParseContext) -> Result<Load, ProtocolError> {
        let Some(report) = self.get("HealthInfo") else {
            return Ok(Load::default());
        };
        let value_at = |position: Option<usize>| -> Result<Option<f64>, ProtocolError> {
            let Some(text) = position.and_then(|position| report.split(',').nth(position)) else {
                return Ok(None);
            };
            text.parse().map(Some).map_err(|_| self.invalid("HealthInfo", report))
        };
        let in_flight = value_at(context.in_flight_position)?;
        let queued = value_at(context.queued_position)?;
        let service_ms = value_at(context.service_time_position)?;
        // In a report with more or fewer values than the settings list, it is unknown which value is which.
        let is_complete = report.split(',').count() == context.value_count;
        Ok(if is_complete { Load::from_report(in_flight, queued, service_ms) } else { Load::default() })
    }

    fn page(&self) -> Result<usize, ProtocolError> {
        let page = self.parse_required("Page")?;
        if page < LEDGER_PAGES { Ok(page) } else { Err(self.invalid("Page", &page.to_string())) }
    }

    /// The message of a peer in base64; `-` stands for an empty one.
    fn peer_message(&self) -> Result<Vec<u8>, ProtocolError> {
        match self.required("Blob")? {
            "-" => Ok(Vec::new()),
            text => BASE64_STANDARD.decode(text).map_err(|_| self.invalid("Blob", text)),
        }
    }
}

/// Splits a line into its kind and its fields.
fn split_kind(line: &str) -> (&str, &str) {
    line.split_once(' ').unwrap_or((line, ""))
}

/// Parses the line that starts a batch, into the present time and the batch's serial number.
pub fn parse_batch_start(line: &str) -> Result<(TenthMillis, u64), ProtocolError> {
    let (kind, rest) = split_kind(line);
    if kind != "TICK" {
        return Err(format!("a batch must start with TICK, not {kind:?}"));
    }
    let fields = Fields::split(kind, rest)?;
    let now = ns_to_tenth_millis_floor(fields.parse_required("TimeNs")?);
    Ok((now, fields.parse_required("serial")?))
}

/// Parses an entry of a list of upstreams.
pub fn parse_ledger_entry(line: &str) -> Result<UpstreamEntry, ProtocolError> {
    let (kind, rest) = split_kind(line);
    if kind != "M" {
        return Err(format!("an entry of a LEDGER must start with M, not {kind:?}"));
    }
    let fields = Fields::split(kind, rest)?;
    let capacity: f64 = fields.parse_required("Size")?;
    if !(capacity.is_finite() && capacity >= 0.0) {
        return Err(fields.invalid("Size", &capacity.to_string()));
    }
    Ok(UpstreamEntry {
        upstream: fields.required("Upstream")?.into(),
        cell: fields.parse_required("Pod")?,
        started_at: fields.parse_optional("LastStartNs")?.filter(|ns| *ns > 0).map(ns_to_tenth_millis_ceil),
        capacity,
        zone: fields.parse_required("Area")?,
        kind: fields.parse_required("Hw")?,
        stage: match fields.required("StageState")? {
            "live" => Stage::Live,
            "quiescing" => Stage::Draining,
            "dead" => Stage::Gone,
            value => return Err(fields.invalid("StageState", value)),
        },
    })
}

/// Whether a line of this kind, other than `LEDGER`, may stand inside a batch.
fn is_instance_line(kind: &str) -> bool {
    matches!(
        kind,
        "UP" | "POWER_OFF"
            | "VIEW"
            | "KNOCK"
            | "REPLY"
            | "ELAPSED"
            | "ABORTED"
            | "FIRST_BYTE"
            | "HEALTH"
            | "HEARD"
    )
}

/// Parses a line inside a batch. `context_of` has the contexts of the running instances.
pub fn parse_line(
    line: &str,
    context_of: impl Fn(InstanceId) -> Option<ParseContext>,
) -> Result<Line, ProtocolError> {
    let (kind, rest) = split_kind(line);
    let fields = Fields::split(kind, rest)?;
    if kind == "LEDGER" {
        return Ok(Line::Ledger { page: fields.page()?, entry_count: fields.parse_required("Members")? });
    }
    if !is_instance_line(kind) {
        return Err(format!("{kind:?} is not a known kind of line"));
    }
    let instance = fields.parse_required("Who")?;
    if kind == "UP" {
        return parse_start(instance, &fields);
    }
    let context = context_of(instance).ok_or_else(|| not_running_error(instance))?;
    match kind {
        "POWER_OFF" => Ok(Line::Stop { instance }),
        // No class streams its answers, so their first byte decides nothing.
        "FIRST_BYTE" => Ok(Line::Ignored),
        "VIEW" => parse_list_update(instance, &fields),
        _ => Ok(Line::Event { instance, event: parse_event(kind, &fields, context)? }),
    }
}

fn parse_start(instance: InstanceId, fields: &Fields) -> Result<Line, ProtocolError> {
    let deployment =
        pondlb_terms::decode(fields.required("Config")?).map_err(|error| format!("Config: {error}"))?;
    let config = Box::new(deployment.balancer_config);
    let context = ParseContext::new(&deployment.load_report_fields, config.classes.len() as u32);
    Ok(Line::Start { instance, seed: fields.parse_required("Salt")?, config, context })
}

fn parse_list_update(instance: InstanceId, fields: &Fields) -> Result<Line, ProtocolError> {
    let form = match fields.required("Form")? {
        "incr" => ListForm::Changes,
        "total" => ListForm::Snapshot,
        "warm_copy" => ListForm::Restored,
        "lost" => ListForm::Refused,
        value => return Err(fields.invalid("Form", value)),
    };
    let page = fields.get("Page").map(|_| fields.page()).transpose()?;
    Ok(Line::ListUpdate { instance, form, page })
}

fn parse_event(kind: &str, fields: &Fields, context: ParseContext) -> Result<Event, ProtocolError> {
    Ok(match kind {
        "KNOCK" => Event::RequestArrived(parse_arrival(fields, context)?),
        "REPLY" => Event::AttemptEnded {
            request: fields.required("OpId")?.into(),
            attempt: fields.parse_required("Go")?,
            upstream: fields.required("Upstream")?.into(),
            outcome: fields.outcome()?,
            duration: fields.duration()?,
            answered: fields.flag("Settled")?,
            load: fields.load(context)?,
        },
        "ELAPSED" => Event::TimerFired { token: fields.required("Token")?.into() },
        "ABORTED" => Event::ClientDisconnected { request: fields.required("OpId")?.into() },
        "HEALTH" => Event::ProbeEnded {
            upstream: fields.required("Upstream")?.into(),
            outcome: fields.outcome()?,
            duration: fields.duration()?,
            load: fields.load(context)?,
        },
        // `HEARD`, the only kind left.
        _ => {
            Event::PeerMessage { peer: fields.parse_required("OriginPeer")?, message: fields.peer_message()? }
        }
    })
}

fn parse_arrival(fields: &Fields, context: ParseContext) -> Result<Arrival, ProtocolError> {
    Ok(Arrival {
        request: fields.required("OpId")?.into(),
        class: match fields.parse_required("Priority")? {
            class if class < context.class_count => class,
            class => return Err(fields.invalid("Priority", &class.to_string())),
        },
        tenant: fields.parse_optional("Account")?.unwrap_or(0),
        affinity_key: match fields.get("PathKey") {
            None => None,
            Some(hex) => Some(u64::from_str_radix(hex, 16).map_err(|_| fields.invalid("PathKey", hex))?),
        },
        time_left: ns_to_tenth_millis_floor(fields.parse_required("GraceNs")?),
        cost: fields.parse_optional("WorkNs")?.map(ns_to_tenth_millis_ceil),
        is_retry: fields.flag("Resent")?,
        is_write: fields.flag("Write")?,
    })
}

/// Writes the line for an action of an instance.
pub fn write_action(output: &mut impl Write, instance: InstanceId, action: &Action) -> io::Result<()> {
    match action {
        Action::Attempt { request, upstream, timeout, .. } => {
            write!(output, "DISPATCH Who={instance} OpId={request} Upstream={upstream}")?;
            finish_with_duration(output, "TimeoutNs", *timeout)
        }
        Action::Probe { upstream } => writeln!(output, "TOUCH Who={instance} Upstream={upstream}"),
        Action::SendToPeer { peer, message } => {
            write!(output, "SAY Who={instance} Addressee=")?;
            match peer {
                Some(peer) => write!(output, "{peer}")?,
                None => write!(output, "*")?,
            }
            let blob = if message.is_empty() { "-".into() } else { BASE64_STANDARD.encode(message) };
            writeln!(output, " Blob={blob}")
        }
        Action::WatchList { enabled } => {
            writeln!(output, "KEEP_INFORMED Who={instance} Enable={}", u8::from(*enabled))
        }
        Action::FetchList => writeln!(output, "REFRESH Who={instance}"),
        Action::Cancel { request, attempt } => {
            writeln!(output, "CALL_OFF Who={instance} OpId={request} Go={attempt}")
        }
        Action::Fail { request, .. } => writeln!(output, "RESPOND_ERROR Who={instance} OpId={request}"),
        Action::Reject { request, retry_after, .. } => {
            write!(output, "REJECT Who={instance} OpId={request}")?;
            finish_with_duration(output, "CoolDownNs", *retry_after)
        }
        Action::CloseIdleConnections { upstream } => {
            writeln!(output, "DROP_CONNS Who={instance} Upstream={upstream}")
        }
        Action::Log { text } => writeln!(output, "DEBUG Who={instance} Text={}", to_single_line(text)),
        Action::SetTimer { token, after } => {
            let after_ns = tenth_millis_to_ns(*after);
            writeln!(output, "TIMER Who={instance} Token={token} SleepForNs={after_ns}")
        }
    }
}

/// Ends a line, with a field for the duration if there is one.
fn finish_with_duration(
    output: &mut impl Write,
    name: &str,
    duration: Option<TenthMillis>,
) -> io::Result<()> {
    match duration {
        Some(duration) => writeln!(output, " {name}={}", tenth_millis_to_ns(duration)),
        None => writeln!(output),
    }
}
