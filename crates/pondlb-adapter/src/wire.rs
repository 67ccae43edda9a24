//! The words of the wire: lines to events, actions to lines.

use std::io::{self, Write};
use std::str::FromStr;

use base64::{Engine, prelude::BASE64_STANDARD};
use pondlb::{Action, Arrival, BalancerConfig, Event, Load, Outcome, Stage, TenthMillis, UpstreamEntry};
use pondlb::{ns_to_tenth_millis_ceil, ns_to_tenth_millis_floor, tenth_millis_to_ns};

/// What is wrong with a line, in plain words.
pub type Fault = String;

pub const BATCH_END: &str = "EOF_BATCH";
pub const PAGES: usize = 16;

/// What the lines of an instance are read by: where in a load report the values stand that the balancer
/// reads, and how many classes there are.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    pub held: Option<usize>,
    pub waiting: Option<usize>,
    pub service: Option<usize>,
    pub values: usize,
    pub classes: u32,
}

pub enum Form {
    Changes,
    Whole,
    Remembered,
    Lost,
}

pub enum Line {
    Ledger { page: usize, members: usize },
    Start { who: u64, seed: u64, terms: Box<BalancerConfig>, reading: Reading },
    Kill { who: u64 },
    View { who: u64, form: Form, page: Option<usize> },
    Event { who: u64, event: Event },
    Unneeded,
}

pub fn unknown(who: u64) -> Fault {
    format!("instance {who} is not running")
}

/// A panic's text may hold line ends, which would break the frame.
pub fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// The fields of one line in any order. Few enough that a scan beats a map.
struct Fields<'a> {
    kind: &'a str,
    pairs: [(&'a str, &'a str); 16],
    count: usize,
}

impl<'a> Fields<'a> {
    /// A field named Config or Text runs to the end of the line.
    fn split(kind: &'a str, mut rest: &'a str) -> Result<Self, Fault> {
        let mut fields = Fields { kind, pairs: [("", ""); 16], count: 0 };
        while !rest.is_empty() {
            let to_end = rest.starts_with("Config=") || rest.starts_with("Text=");
            let (pair, after) = if to_end { (rest, "") } else { rest.split_once(' ').unwrap_or((rest, "")) };
            rest = after;
            let (name, value) =
                pair.split_once('=').ok_or_else(|| format!("{kind}: {pair:?} is no field"))?;
            let slot =
                fields.pairs.get_mut(fields.count).ok_or_else(|| format!("{kind} has too many fields"))?;
            *slot = (name, value);
            fields.count += 1;
        }
        Ok(fields)
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs[..self.count].iter().find(|(n, _)| *n == name).map(|(_, value)| *value)
    }

    fn word(&self, name: &str) -> Result<&'a str, Fault> {
        self.get(name).ok_or_else(|| format!("{} lacks {name}", self.kind))
    }

    fn bad(&self, name: &str, value: &str) -> Fault {
        format!("{}: {name}={value} cannot be read", self.kind)
    }

    fn parse<T: FromStr>(&self, name: &str, value: &str) -> Result<T, Fault> {
        value.parse().map_err(|_| self.bad(name, value))
    }

    fn number<T: FromStr>(&self, name: &str) -> Result<T, Fault> {
        self.parse(name, self.word(name)?)
    }

    fn optional<T: FromStr>(&self, name: &str) -> Result<Option<T>, Fault> {
        self.get(name).map(|value| self.parse(name, value)).transpose()
    }

    fn flag(&self, name: &str) -> Result<bool, Fault> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(self.bad(name, value)),
        }
    }

    fn outcome(&self) -> Result<Outcome, Fault> {
        Ok(match self.word("Rc")? {
            "0" => Outcome::Ok,
            "13" => Outcome::Error,
            "8" => Outcome::Full,
            "4" => Outcome::TimedOut,
            "14" => Outcome::ConnectFailed,
            "10" => Outcome::Reset,
            "1" => Outcome::Cancelled,
            "9" => Outcome::Moot,
            value => return Err(self.bad("Rc", value)),
        })
    }

    fn took(&self) -> Result<TenthMillis, Fault> {
        self.number("DurationNs").map(ns_to_tenth_millis_ceil)
    }

    fn load(&self, reading: Reading) -> Result<Load, Fault> {
        let Some(row) = self.get("HealthInfo") else {
            return Ok(Load::default());
        };
        let value = |at: Option<usize>| -> Result<Option<f64>, Fault> {
            let Some(text) = at.and_then(|at| row.split(',').nth(at)) else {
                return Ok(None);
            };
            text.parse().map(Some).map_err(|_| self.bad("HealthInfo", row))
        };
        let (held, waiting, service) =
            (value(reading.held)?, value(reading.waiting)?, value(reading.service)?);
        // With more or fewer values than were announced, none is known for what it is.
        let whole = row.split(',').count() == reading.values;
        Ok(if whole { Load::from_report(held, waiting, service) } else { Load::default() })
    }
}

fn split_kind(line: &str) -> (&str, &str) {
    line.split_once(' ').unwrap_or((line, ""))
}

pub fn tick(line: &str) -> Result<(TenthMillis, u64), Fault> {
    let (kind, rest) = split_kind(line);
    if kind != "TICK" {
        return Err(format!("{kind:?} stands where TICK opens a batch"));
    }
    let fields = Fields::split(kind, rest)?;
    Ok((ns_to_tenth_millis_floor(fields.number("TimeNs")?), fields.number("serial")?))
}

pub fn member(line: &str) -> Result<UpstreamEntry, Fault> {
    let (kind, rest) = split_kind(line);
    if kind != "M" {
        return Err(format!("{kind:?} stands where an entry of the LEDGER is due"));
    }
    let fields = Fields::split(kind, rest)?;
    let size: f64 = fields.number("Size")?;
    if !(size.is_finite() && size >= 0.0) {
        return Err(fields.bad("Size", &size.to_string()));
    }
    Ok(UpstreamEntry {
        upstream: fields.word("Upstream")?.into(),
        cell: fields.number("Pod")?,
        started_at: fields.optional("LastStartNs")?.filter(|at| *at > 0).map(ns_to_tenth_millis_ceil),
        capacity: size,
        zone: fields.number("Area")?,
        kind: fields.number("Hw")?,
        stage: match fields.word("StageState")? {
            "live" => Stage::Live,
            "quiescing" => Stage::Draining,
            "dead" => Stage::Gone,
            value => return Err(fields.bad("StageState", value)),
        },
    })
}

/// Any line inside a batch. `reading` knows the running instances.
pub fn line(line: &str, reading: impl Fn(u64) -> Option<Reading>) -> Result<Line, Fault> {
    let (kind, rest) = split_kind(line);
    let fields = Fields::split(kind, rest)?;
    if kind == "LEDGER" {
        return Ok(Line::Ledger { page: page(&fields)?, members: fields.number("Members")? });
    }
    if !matches!(
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
    ) {
        return Err(format!("{kind:?} is no event"));
    }
    let who = fields.number("Who")?;
    if kind == "UP" {
        let deployment =
            pondlb_terms::decode(fields.word("Config")?).map_err(|fault| format!("Config: {fault}"))?;
        let place = |name| deployment.load_report_fields.iter().position(|field| field == name);
        let (classes, values) =
            (deployment.balancer_config.classes.len() as u32, deployment.load_report_fields.len());
        let reading =
            Reading { held: place("rif"), waiting: place("q"), service: place("lat_ms"), values, classes };
        let terms = Box::new(deployment.balancer_config);
        return Ok(Line::Start { who, seed: fields.number("Salt")?, terms, reading });
    }
    let reading = reading(who).ok_or_else(|| unknown(who))?;
    let event = match kind {
        "POWER_OFF" => return Ok(Line::Kill { who }),
        // No class streams its answers.
        "FIRST_BYTE" => return Ok(Line::Unneeded),
        "VIEW" => {
            let form = match fields.word("Form")? {
                "incr" => Form::Changes,
                "total" => Form::Whole,
                "warm_copy" => Form::Remembered,
                "lost" => Form::Lost,
                value => return Err(fields.bad("Form", value)),
            };
            let page = fields.get("Page").map(|_| page(&fields)).transpose()?;
            return Ok(Line::View { who, form, page });
        }
        "KNOCK" => Event::RequestArrived(Arrival {
            request: fields.word("OpId")?.into(),
            class: match fields.number("Priority")? {
                class if class < reading.classes => class,
                class => return Err(fields.bad("Priority", &class.to_string())),
            },
            tenant: fields.optional("Account")?.unwrap_or(0),
            affinity_key: match fields.get("PathKey") {
                None => None,
                Some(hex) => Some(u64::from_str_radix(hex, 16).map_err(|_| fields.bad("PathKey", hex))?),
            },
            time_left: ns_to_tenth_millis_floor(fields.number("GraceNs")?),
            cost: fields.optional("WorkNs")?.map(ns_to_tenth_millis_ceil),
            is_retry: fields.flag("Resent")?,
            is_write: fields.flag("Write")?,
        }),
        "REPLY" => Event::AttemptEnded {
            request: fields.word("OpId")?.into(),
            attempt: fields.number("Go")?,
            upstream: fields.word("Upstream")?.into(),
            outcome: fields.outcome()?,
            duration: fields.took()?,
            answered: fields.flag("Settled")?,
            load: fields.load(reading)?,
        },
        "ELAPSED" => Event::TimerFired { token: fields.word("Token")?.into() },
        "ABORTED" => Event::ClientDisconnected { request: fields.word("OpId")?.into() },
        "HEALTH" => Event::ProbeEnded {
            upstream: fields.word("Upstream")?.into(),
            outcome: fields.outcome()?,
            duration: fields.took()?,
            load: fields.load(reading)?,
        },
        _ => Event::PeerMessage { peer: fields.number("OriginPeer")?, message: bytes(&fields)? },
    };
    Ok(Line::Event { who, event })
}

fn page(fields: &Fields) -> Result<usize, Fault> {
    let page = fields.number("Page")?;
    if page < PAGES { Ok(page) } else { Err(fields.bad("Page", &page.to_string())) }
}

fn bytes(fields: &Fields) -> Result<Vec<u8>, Fault> {
    match fields.word("Blob")? {
        "-" => Ok(Vec::new()),
        text => BASE64_STANDARD.decode(text).map_err(|_| fields.bad("Blob", text)),
    }
}

pub fn write(out: &mut impl Write, who: u64, action: &Action) -> io::Result<()> {
    match action {
        Action::Attempt { request, upstream, timeout, .. } => {
            write!(out, "DISPATCH Who={who} OpId={request} Upstream={upstream}")?;
            optional(out, "TimeoutNs", *timeout)
        }
        Action::Probe { upstream } => writeln!(out, "TOUCH Who={who} Upstream={upstream}"),
        Action::SendToPeer { peer, message: note } => {
            write!(out, "SAY Who={who} Addressee=")?;
            match peer {
                Some(peer) => write!(out, "{peer}")?,
                None => write!(out, "*")?,
            }
            let blob = if note.is_empty() { "-".into() } else { BASE64_STANDARD.encode(note) };
            writeln!(out, " Blob={blob}")
        }
        Action::WatchList { enabled: on } => {
            writeln!(out, "KEEP_INFORMED Who={who} Enable={}", u8::from(*on))
        }
        Action::FetchList => writeln!(out, "REFRESH Who={who}"),
        Action::Cancel { request, attempt } => {
            writeln!(out, "CALL_OFF Who={who} OpId={request} Go={attempt}")
        }
        Action::Fail { request, .. } => writeln!(out, "RESPOND_ERROR Who={who} OpId={request}"),
        Action::Reject { request, retry_after: cool_down, .. } => {
            write!(out, "REJECT Who={who} OpId={request}")?;
            optional(out, "CoolDownNs", *cool_down)
        }
        Action::CloseIdleConnections { upstream } => {
            writeln!(out, "DROP_CONNS Who={who} Upstream={upstream}")
        }
        Action::Log { text } => writeln!(out, "DEBUG Who={who} Text={}", one_line(text)),
        Action::SetTimer { token, after } => {
            writeln!(out, "TIMER Who={who} Token={token} SleepForNs={}", tenth_millis_to_ns(*after))
        }
    }
}

fn optional(out: &mut impl Write, name: &str, span: Option<TenthMillis>) -> io::Result<()> {
    match span {
        Some(span) => writeln!(out, " {name}={}", tenth_millis_to_ns(span)),
        None => writeln!(out),
    }
}
