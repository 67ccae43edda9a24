//! Names of enum values in log lines and metrics. Operators and their tools read them, so they are spelled out here and
//! don't follow the names in the code.

use pondlb::{GiveUpReason, Outcome, Stage};

/// The name of an attempt's or a probe's outcome.
pub fn outcome_label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "Ok",
        Outcome::Error => "Error",
        Outcome::Full => "Full",
        Outcome::TimedOut => "TimedOut",
        Outcome::ConnectFailed => "ConnectFailed",
        Outcome::Reset => "Reset",
        Outcome::Spoilt => "Spoilt",
        Outcome::Cancelled => "Cancelled",
        Outcome::Moot => "Moot",
    }
}

/// The name of the reason why a request was rejected or failed.
pub fn give_up_reason_label(reason: GiveUpReason) -> &'static str {
    match reason {
        GiveUpReason::NoUpstream => "NoUpstream",
        GiveUpReason::StaleList => "StaleList",
        GiveUpReason::WindowOver => "WindowOver",
        GiveUpReason::TooLong => "TooLong",
        GiveUpReason::NoTimeLeft => "NoTimeLeft",
        GiveUpReason::Overload => "Overload",
        GiveUpReason::ForeseenLate => "ForeseenLate",
        GiveUpReason::AttemptsFailed => "AttemptsFailed",
    }
}

/// The name of an upstream's stage.
pub fn stage_label(stage: Stage) -> &'static str {
    match stage {
        Stage::Live => "Live",
        Stage::Draining => "Draining",
        Stage::Gone => "Gone",
    }
}
