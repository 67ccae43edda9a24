//! The phases of the program, which the listener and the client connections watch.

/// A phase of the program's life. Every run goes through them in this attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Listens, but is not ready: no upstream is known, or discovery has not confirmed the list of upstreams yet.
    Starting,
    /// Ready; requests are served.
    Serving,
    /// Told to shut down: requests are still served, but the health check reports not ready.
    Leaving,
    /// Accepts no new connections. Idle connections are closed, and the others once their requests are answered.
    Closing,
}
