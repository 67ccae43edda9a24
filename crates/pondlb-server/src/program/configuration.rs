//! The settings in force, and who has to hear of their changes.

use std::rc::Rc;

use pondlb::TenthMillis;
use pondlb_terms::{AppliedChanges, ConfigError, ConnectionLimits, SettingChange, Settings};

use super::service::connect_within;
use crate::routing::{Carrier, Exchange};
use crate::transport::{Front, Pool, span};

/// What changes in place while the program serves.
pub struct Configuration {
    pub settings: Settings,
    pub front: Rc<Front>,
    pub pool: Rc<Pool>,
}

impl Configuration {
    /// Puts changes by records in force: all of them or none. Requests that are open end under what they came with.
    pub fn change<C: Carrier>(
        &mut self,
        now: TenthMillis,
        changes: &[SettingChange],
        exchange: &mut Exchange<C>,
    ) -> Result<(), ConfigError> {
        let applied = self.settings.apply_records(changes)?;
        self.put_in_force(now, applied, exchange);
        Ok(())
    }

    /// The same for a file that was read anew, with a warning for each key that can't change in place.
    pub fn change_to<C: Carrier>(
        &mut self,
        now: TenthMillis,
        file: &Settings,
        exchange: &mut Exchange<C>,
    ) -> Result<(), ConfigError> {
        let difference = self.settings.diff_with_file(file);
        for key in &difference.restart_keys {
            log::warn!("configuration: settings.{key}: the change takes a restart");
        }
        let applied = self.settings.apply_file_diff(difference)?;
        self.put_in_force(now, applied, exchange);
        Ok(())
    }

    pub fn links(&self) -> ConnectionLimits {
        self.settings.connection_limits()
    }

    fn put_in_force<C: Carrier>(
        &self,
        now: TenthMillis,
        applied: AppliedChanges,
        exchange: &mut Exchange<C>,
    ) {
        if applied.changed_count == 0 {
            return;
        }
        exchange.change(now, &applied.config_changes);
        self.front.change_classes(applied.class_indices);
        self.front.cool_down.set(cool_down(self.settings.balancer_limits().max_retry_after));
        let links = self.links();
        self.front.connections.set_most_busy(links.max_open_requests as usize);
        self.pool.set_limits(span(links.upstream_idle_timeout / 2), span(connect_within(&links)));
        log::info!("configuration: {} settings put in force", applied.changed_count);
    }
}

/// The advice for a client that is turned away before it is read.
pub fn cool_down(longest: Option<TenthMillis>) -> Option<TenthMillis> {
    longest.map(|longest| longest / 2)
}
