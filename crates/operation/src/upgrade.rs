//! The two processes of a node during an upgrade, from the point of view of the older one (the incumbent):
//! whether a successor exists, which process accepts connections, and how the file descriptors are divided.

/// The stage of the older process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Incumbent {
    /// There is no successor.
    #[default]
    Alone,
    /// A successor shares the listening sockets.
    SharingSockets,
    /// The incumbent was asked to stop, and the successor accepts new connections.
    Succeeded,
    /// The incumbent was asked to stop, and there is no successor.
    Ending,
}

impl Incumbent {
    /// A successor asks to start. Returns false if there is one already, or if the incumbent is stopping.
    pub fn add_successor(&mut self) -> bool {
        let is_alone = *self == Self::Alone;
        if is_alone {
            *self = Self::SharingSockets;
        }
        is_alone
    }

    /// The successor is gone.
    pub fn remove_successor(&mut self) {
        *self = match *self {
            Self::SharingSockets => Self::Alone,
            Self::Succeeded => Self::Ending,
            unchanged => unchanged,
        };
    }

    /// The incumbent is asked to stop.
    pub fn stop(&mut self) {
        *self = match *self {
            Self::Alone => Self::Ending,
            Self::SharingSockets => Self::Succeeded,
            unchanged => unchanged,
        };
    }

    /// This process's part of the node's `all` file descriptors.
    pub fn part(self, all: usize) -> usize {
        match self {
            Self::Alone | Self::Ending => all,
            Self::SharingSockets | Self::Succeeded => all / 2,
        }
    }
}

/// Number of file descriptors left for the successor while the incumbent holds the given number, or is gone
/// (`None`). Until the incumbent is asked to stop, it may use up to its half at any time.
pub fn descriptors_left(all: usize, other: Option<(usize, Incumbent)>) -> usize {
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
    fn there_is_at_most_one_successor_and_descriptors_stay_within_the_limit() {
        let events = [Event::Came, Event::Gone, Event::Stop];
        // Every sequence of six events.
        for order in 0..3usize.pow(6) {
            let (mut incumbent, mut has_successor, mut stopped) = (Incumbent::default(), false, false);
            for step in 0..6 {
                match events[order / 3usize.pow(step) % 3] {
                    Event::Came => {
                        let accepted = incumbent.add_successor();
                        assert_eq!(accepted, !has_successor && !stopped, "{order} {step}");
                        has_successor |= accepted;
                    }
                    Event::Gone => {
                        incumbent.remove_successor();
                        has_successor = false;
                    }
                    Event::Stop => {
                        incumbent.stop();
                        stopped = true;
                    }
                }
                let expected = match (has_successor, stopped) {
                    (false, false) => Incumbent::Alone,
                    (true, false) => Incumbent::SharingSockets,
                    (true, true) => Incumbent::Succeeded,
                    (false, true) => Incumbent::Ending,
                };
                assert_eq!(incumbent, expected, "{order} {step}");
                if has_successor {
                    for holds in [0, 10, 192, 300, 384, 500] {
                        let sum = descriptors_left(384, Some((holds, incumbent))) + holds;
                        assert!(sum <= 384.max(holds), "{incumbent:?}: {sum} with {holds}");
                    }
                }
            }
        }
        assert_eq!((descriptors_left(384, None), Incumbent::SharingSockets.part(384)), (384, 192));
        assert_eq!(
            descriptors_left(384, Some((50, Incumbent::SharingSockets))),
            192,
            "the incumbent may still use its half"
        );
        assert_eq!(descriptors_left(384, Some((50, Incumbent::Succeeded))), 334);
    }
}
