//! Which lists may follow on which: one that is empty, or older than what is known, is likelier a fault of discovery than
//! the end of the fleet.

use crate::Update;

/// What was taken last, and what was turned down.
#[derive(Clone, Debug, Default)]
pub struct Succession {
    taken: Option<u64>,
    refused: Option<u64>,
}

impl Succession {
    /// May this update be taken, where so many servers are known? A whole list that is older is turned down once: when the
    /// next one is no newer than what is known either, and no older than the one that was turned down, then discovery
    /// counts anew, and to go on refusing would leave the node with its old list for ever.
    ///
    /// # Errors
    /// Says what is wrong with it.
    pub fn take(&mut self, update: &Update, known: usize) -> Result<(), String> {
        if update.whole && update.hosts.is_empty() && known > 0 {
            return Err(format!("an empty list, where {known} servers are known"));
        }
        if let Some(taken) = self.taken.filter(|taken| update.version < *taken) {
            let again = update.whole && self.refused.is_some_and(|refused| update.version >= refused);
            if !again {
                if update.whole {
                    self.refused = Some(update.version);
                }
                return Err(format!("version {}, older than the known {taken}", update.version));
            }
        }
        (self.taken, self.refused) = (Some(update.version), None);
        Ok(())
    }

    /// Another service is asked from now on, whose versions have nothing to do with those so far.
    pub fn restart(&mut self) {
        *self = Self::default();
    }
}
