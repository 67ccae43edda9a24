//! The phases of the program, which the listener and the connections of clients watch.

/// From start to exit, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Listening, but with no upstream known.
    Starting,
    Serving,
    /// Told to end: whoever still comes is served as ever, but health says that nobody should.
    Leaving,
    /// No new clients; idle connections close, the others once what is owed on them is answered.
    Closing,
}
