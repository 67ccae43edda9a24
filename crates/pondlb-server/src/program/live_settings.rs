//! The settings that can change while the program serves, and the parts of the program that use them.

use std::rc::Rc;

use pondlb::TenthMillis;
use pondlb_terms::{AppliedChanges, ConfigError, ConnectionLimits, SettingChange, Settings};

use super::service::connect_timeout;
use crate::routing::{Router, Transport};
use crate::transport::{Frontend, UpstreamPool, tenth_millis_to_duration};

/// The current settings, with the parts that a change of them is applied to.
pub struct LiveSettings {
    pub settings: Settings,
    pub frontend: Rc<Frontend>,
    pub pool: Rc<UpstreamPool>,
}

impl LiveSettings {
    /// Applies changes by records: all of them or none. Open requests keep the settings with which they arrived.
    pub fn apply_records<T: Transport>(
        &mut self,
        now: TenthMillis,
        changes: &[SettingChange],
        router: &mut Router<T>,
    ) -> Result<(), ConfigError> {
        let applied = self.settings.apply_records(changes)?;
        self.apply(now, applied, router);
        Ok(())
    }

    /// Applies the settings of a file that was read again: all of them or none. Logs a warning for each changed key
    /// that takes effect only after a restart.
    pub fn apply_file<T: Transport>(
        &mut self,
        now: TenthMillis,
        file: &Settings,
        router: &mut Router<T>,
    ) -> Result<(), ConfigError> {
        let difference = self.settings.diff_with_file(file);
        for key in &difference.restart_keys {
            log::warn!("configuration: settings.{key}: the change takes a restart");
        }
        let applied = self.settings.apply_file_diff(difference)?;
        self.apply(now, applied, router);
        Ok(())
    }

    /// The current limits of connections.
    pub fn connection_limits(&self) -> ConnectionLimits {
        self.settings.connection_limits()
    }

    fn apply<T: Transport>(&self, now: TenthMillis, applied: AppliedChanges, router: &mut Router<T>) {
        if applied.changed_count == 0 {
            return;
        }
        router.apply_config_changes(now, &applied.config_changes);
        self.frontend.change_classes(applied.class_indexes);
        let max_retry_after = self.settings.balancer_limits().max_retry_after;
        self.frontend.overload_retry_after.set(overload_retry_after(max_retry_after));
        let limits = self.connection_limits();
        self.frontend.connections.set_max_busy(limits.max_open_requests as usize);
        self.pool.set_timeouts(
            tenth_millis_to_duration(limits.upstream_idle_timeout / 2),
            tenth_millis_to_duration(connect_timeout(&limits)),
        );
        log::info!("configuration: {} settings put in force", applied.changed_count);
    }
}

/// The wait advised to a client whose request is rejected for overload before it reaches the router: half of the
/// longest wait that may be advised.
pub fn overload_retry_after(max_retry_after: Option<TenthMillis>) -> Option<TenthMillis> {
    max_retry_after.map(|max_retry_after| max_retry_after / 2)
}
