//! Two processes of one node during an upgrade, as the one sees it that was there first: whether another is beside it, who
//! takes what comes, and how the descriptors are divided.

/// How far the process that was there first is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Incumbent {
    /// Nobody is beside it.
    #[default]
    Alone,
    /// Another has the listening sockets too, and is to succeed it.
    Beside,
    /// It was told to end, and the other takes what comes.
    Succeeded,
    /// It was told to end, and nobody else takes what comes.
    Ending,
}

impl Incumbent {
    /// Another process wants to be beside it; false where there is one already, or none may come any more.
    pub fn came(&mut self) -> bool {
        let alone = *self == Self::Alone;
        if alone {
            *self = Self::Beside;
        }
        alone
    }

    /// The other process is gone.
    pub fn gone(&mut self) {
        *self = match *self {
            Self::Beside => Self::Alone,
            Self::Succeeded => Self::Ending,
            stays => stays,
        };
    }

    /// It is told to end.
    pub fn stop(&mut self) {
        *self = match *self {
            Self::Alone => Self::Ending,
            Self::Beside => Self::Succeeded,
            stays => stays,
        };
    }

    /// How many descriptors of the node's are this process's.
    pub fn part(self, all: usize) -> usize {
        match self {
            Self::Alone | Self::Ending => all,
            Self::Beside | Self::Succeeded => all / 2,
        }
    }
}

/// How many descriptors are left for the successor while the other one holds so many, or is gone (`None`). The other one may
/// come up to its half at any time until it is told to end.
pub fn left(all: usize, other: Option<(usize, Incumbent)>) -> usize {
    match other {
        None => all,
        Some((holds, Incumbent::Succeeded | Incumbent::Ending)) => all.saturating_sub(holds),
        Some((holds, stage)) => all.saturating_sub(holds.max(stage.part(all))),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Clone, Copy, Debug)]
    enum Event {
        Came,
        Gone,
        Stop,
    }

    #[test]
    fn whatever_happens_one_at_most_is_beside_it_and_the_sum_stays_within_the_node() {
        let events = [Event::Came, Event::Gone, Event::Stop];
        // Every order of six events.
        for order in 0..3usize.pow(6) {
            let (mut incumbent, mut beside, mut told) = (Incumbent::default(), false, false);
            for step in 0..6 {
                match events[order / 3usize.pow(step) % 3] {
                    Event::Came => {
                        let taken = incumbent.came();
                        assert_eq!(taken, !beside && !told, "{order} {step}");
                        beside |= taken;
                    }
                    Event::Gone => {
                        incumbent.gone();
                        beside = false;
                    }
                    Event::Stop => {
                        incumbent.stop();
                        told = true;
                    }
                }
                let expected = match (beside, told) {
                    (false, false) => Incumbent::Alone,
                    (true, false) => Incumbent::Beside,
                    (true, true) => Incumbent::Succeeded,
                    (false, true) => Incumbent::Ending,
                };
                assert_eq!(incumbent, expected, "{order} {step}");
                if beside {
                    for holds in [0, 10, 192, 300, 384, 500] {
                        let sum = left(384, Some((holds, incumbent))) + holds;
                        assert!(sum <= 384.max(holds), "{incumbent:?}: {sum} with {holds}");
                    }
                }
            }
        }
        assert_eq!((left(384, None), Incumbent::Beside.part(384)), (384, 192));
        assert_eq!(left(384, Some((50, Incumbent::Beside))), 192, "it may still take its half");
        assert_eq!(left(384, Some((50, Incumbent::Succeeded))), 334);
    }
}
