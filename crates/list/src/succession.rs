//! Decides whether a received list may replace the known one. An empty list, or one older than the known
//! list, is more likely a fault of discovery than the end of the fleet.

use crate::Update;

/// The versions last accepted and last rejected.
#[derive(Clone, Debug, Default)]
pub struct VersionCheck {
    accepted: Option<u64>,
    rejected: Option<u64>,
}

impl VersionCheck {
    /// Checks an update; `known` is the number of known servers. An older full list is rejected once: if the
    /// next full list is older than the accepted one too, but not older than the rejected one, discovery has
    /// restarted its version numbers, and further rejection would leave the node with its old list forever.
    ///
    /// # Errors
    /// The reason why the update is rejected.
    pub fn accept(&mut self, update: &Update, known: usize) -> Result<(), String> {
        if update.is_full && update.hosts.is_empty() && known > 0 {
            return Err(format!("empty list received while {known} servers are known"));
        }
        if let Some(accepted) = self.accepted.filter(|accepted| update.version < *accepted) {
            let is_restart =
                update.is_full && self.rejected.is_some_and(|rejected| update.version >= rejected);
            if !is_restart {
                if update.is_full {
                    self.rejected = Some(update.version);
                }
                return Err(format!("version {}, older than the known {accepted}", update.version));
            }
        }
        (self.accepted, self.rejected) = (Some(update.version), None);
        Ok(())
    }

    /// Resets the state for another discovery service, whose versions are unrelated to those seen so far.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
