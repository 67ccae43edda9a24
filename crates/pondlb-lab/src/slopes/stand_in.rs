//! Stand-ins for discovery and upstreams, as little as a balancer needs to be measured.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;

use super::listing::{Listing, body};
use crate::http::{HttpConnection, format_response};

/// The version of the list that a balancer is given with its configuration.
pub const FIRST_VERSION: u64 = 1;
const LONGEST_HOLD_MS: u64 = 60_000;

/// Calls and payload bytes so far, without what TCP/IP adds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Calls that were answered.
    pub calls: u64,
    /// From the balancers.
    pub received: u64,
    /// To the balancers.
    pub sent: u64,
}

impl Traffic {
    /// What has come since then.
    pub fn since(&self, before: &Traffic) -> Traffic {
        Traffic {
            calls: self.calls - before.calls,
            received: self.received - before.received,
            sent: self.sent - before.sent,
        }
    }
}

/// A change of the list, as its callers are told.
enum News {
    Entries(String),
    Whole,
}

struct Told {
    listing: RefCell<Listing>,
    /// The whole answer at this version, written once for all callers.
    whole: RefCell<Option<(u64, Rc<str>)>>,
    version: Cell<u64>,
    /// What came with version `FIRST_VERSION + 1` on.
    news: RefCell<Vec<News>>,
    changed: Notify,
    traffic: Cell<Traffic>,
    /// The newest version that a caller has said it has.
    heard: Cell<u64>,
}

/// Discovery: answers with the whole list, or holds a call until there is news and then tells this alone.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    told: Rc<Told>,
    task: JoinHandle<()>,
}

impl Discovery {
    /// Listens on loopback.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start(listing: Listing) -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let told = Rc::new(Told {
            listing: RefCell::new(listing),
            whole: RefCell::default(),
            version: Cell::new(FIRST_VERSION),
            news: RefCell::default(),
            changed: Notify::new(),
            traffic: Cell::default(),
            heard: Cell::new(0),
        });
        let serving = told.clone();
        let task = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let told = serving.clone();
                spawn_local(async move { told.serve(HttpConnection::new(stream)).await });
            }
        });
        Ok(Discovery { address, told, task })
    }

    /// The list as it is now, as a balancer may be given it before its start.
    pub fn known(&self) -> String {
        self.told.listing.borrow().whole(self.told.version.get())
    }

    /// The numbers of all entries in a zone.
    pub fn zone_members(&self, zone: usize) -> Vec<usize> {
        self.told.listing.borrow().zone_members(zone)
    }

    /// An entry as it is now, as a JSON object.
    pub fn entry(&self, number: usize) -> String {
        self.told.listing.borrow().entries([number])
    }

    /// Toggles these entries and tells them alone, in one message.
    pub fn push_changes(&self, numbers: impl IntoIterator<Item = usize> + Clone) {
        let mut listing = self.told.listing.borrow_mut();
        numbers.clone().into_iter().for_each(|number| listing.toggle(number));
        let entries = listing.entries(numbers);
        drop(listing);
        self.told.push(News::Entries(entries));
    }

    /// Tells the whole list anew.
    pub fn push_whole(&self) {
        self.told.push(News::Whole);
    }

    /// The newest version.
    pub fn version(&self) -> u64 {
        self.told.version.get()
    }

    /// The newest version that a caller has said it has.
    pub fn heard(&self) -> u64 {
        self.told.heard.get()
    }

    /// Calls and bytes so far.
    pub fn traffic(&self) -> Traffic {
        self.told.traffic.get()
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Told {
    fn push(&self, news: News) {
        self.news.borrow_mut().push(news);
        self.version.set(self.version.get() + 1);
        self.changed.notify_waiters();
    }

    async fn serve(&self, mut wire: HttpConnection) {
        let mut received = 0;
        while let Ok(Some(request)) = wire.read_request().await {
            let from = query(&request.path, "from");
            let hold_ms = query(&request.path, "hold_ms").unwrap_or_default().min(LONGEST_HOLD_MS);
            if let Some(from) = from {
                self.heard.set(self.heard.get().max(from));
                let news = async {
                    while self.version.get() <= from {
                        self.changed.notified().await;
                    }
                };
                let _no_news = timeout(Duration::from_millis(hold_ms), news).await;
            }
            let text = self.answer_to(from);
            let mut traffic = self.traffic.get();
            traffic.calls += 1;
            traffic.received += wire.received_bytes - received;
            traffic.sent += text.len() as u64;
            received = wire.received_bytes;
            self.traffic.set(traffic);
            if wire.write(&text).await.is_err() {
                return;
            }
        }
    }

    fn answer_to(&self, from: Option<u64>) -> Rc<str> {
        let version = self.version.get();
        let Some(from) = from.filter(|from| *from >= FIRST_VERSION) else { return self.whole(version) };
        let mut changed = String::new();
        for news in self.news.borrow().iter().skip((from - FIRST_VERSION) as usize) {
            let News::Entries(entries) = news else { return self.whole(version) };
            let comma = if changed.is_empty() { "" } else { "," };
            changed = format!("{changed}{comma}{entries}");
        }
        format_response(200, "", &body(version, false, &changed)).into()
    }

    fn whole(&self, version: u64) -> Rc<str> {
        let mut kept = self.whole.borrow_mut();
        match &*kept {
            Some((of, text)) if *of == version => text.clone(),
            _ => {
                let text: Rc<str> = format_response(200, "", &self.listing.borrow().whole(version)).into();
                *kept = Some((version, text.clone()));
                text
            }
        }
    }
}

fn query(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// Upstreams that answer at once, at a few addresses that all listed ones share.
pub struct Upstreams {
    /// Where they listen.
    pub addresses: Vec<SocketAddr>,
    open: Rc<Cell<usize>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Upstreams {
    /// Listens on loopback at so many addresses.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start(count: usize) -> io::Result<Upstreams> {
        let mut upstreams = Upstreams { addresses: Vec::new(), open: Rc::default(), tasks: Vec::new() };
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            upstreams.addresses.push(listener.local_addr()?);
            let open = upstreams.open.clone();
            upstreams.tasks.push(spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(answer_all(stream, open.clone()));
                }
            }));
        }
        Ok(upstreams)
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }
}

impl Drop for Upstreams {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn answer_all(stream: TcpStream, open: Rc<Cell<usize>>) {
    open.set(open.get() + 1);
    let mut wire = HttpConnection::new(stream);
    while let Ok(Some(_)) = wire.read_request().await {
        if wire.write(&format_response(200, "Srv-Load: rif=0,q=0\r\n", "done")).await.is_err() {
            break;
        }
    }
    open.set(open.get() - 1);
}
