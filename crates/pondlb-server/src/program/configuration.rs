//! The settings in force, and who has to hear of their changes.

use std::rc::Rc;

use pondlb::TenthMillis;
use pondlb_terms::{Applied, Fault, Links, SettingChange, Settings};

use super::service::connect_within;
use crate::routing::{Router, Transport};
use crate::transport::{Front, Pool, span};

/// What changes in place while the program serves.
pub struct Configuration {
    pub settings: Settings,
    pub front: Rc<Front>,
    pub pool: Rc<Pool>,
}

impl Configuration {
    /// Puts changes by records in force: all of them or none. Requests that are open end under what they came with.
    pub fn change<C: Transport>(
        &mut self,
        now: TenthMillis,
        changes: &[SettingChange],
        exchange: &mut Router<C>,
    ) -> Result<(), Fault> {
        let applied = self.settings.change(changes)?;
        self.put_in_force(now, applied, exchange);
        Ok(())
    }

    /// The same for a file that was read anew, with a warning for each key that can't change in place.
    pub fn change_to<C: Transport>(
        &mut self,
        now: TenthMillis,
        file: &Settings,
        exchange: &mut Router<C>,
    ) -> Result<(), Fault> {
        let difference = self.settings.difference(file);
        for key in &difference.restart {
            log::warn!("configuration: settings.{key}: the change takes a restart");
        }
        let applied = self.settings.apply(difference)?;
        self.put_in_force(now, applied, exchange);
        Ok(())
    }

    pub fn links(&self) -> Links {
        self.settings.links()
    }

    fn put_in_force<C: Transport>(&self, now: TenthMillis, applied: Applied, exchange: &mut Router<C>) {
        if applied.changed == 0 {
            return;
        }
        exchange.apply_config_changes(now, &applied.terms);
        self.front.change_classes(applied.classes);
        self.front.cool_down.set(cool_down(self.settings.limits().max_retry_after));
        let links = self.links();
        self.front.connections.set_most_busy(links.most_open as usize);
        self.pool.set_limits(span(links.idle / 2), span(connect_within(&links)));
        log::info!("configuration: {} settings put in force", applied.changed);
    }
}

/// The advice for a client that is turned away before it is read.
pub fn cool_down(longest: Option<TenthMillis>) -> Option<TenthMillis> {
    longest.map(|longest| longest / 2)
}
