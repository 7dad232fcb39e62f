//! Holds new work back while a backend server has no room for it.
//!
//! Answers a short excess of arrivals over a load that the backend server can
//! carry, such as the callers that return together after a failure. Serves the
//! newest arrival first: while the excess lasts, some callers get their answer as
//! fast as ever, and the others wait as long as they would in any order.
//!
//! Where arrivals differ in urgency, [`Waiting::pop_urgent`] orders them by class
//! first. Otherwise an excess of unimportant work, which is the larger part of most
//! loads, would delay the few urgent arrivals as much as itself.
use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use wire::Priority;

/// Arrivals that wait for room, each until the time at which its caller gives up.
///
/// ```
/// use std::time::Duration;
/// use limit::Waiting;
///
/// let mut waiting = Waiting::new(2);
/// let until = Duration::from_secs(1);
/// assert_eq!(waiting.push(until, "first"), None);
/// assert_eq!(waiting.push(until, "second"), None);
/// assert_eq!(waiting.push(until, "third"), Some("first"));
/// assert_eq!(waiting.pop(), Some("third"));
/// assert_eq!(waiting.expire(until), ["second"]);
/// ```
#[derive(Debug)]
pub struct Waiting<T> {
    capacity: usize,
    /// Oldest first.
    arrivals: VecDeque<Arrival<T>>,
}

/// What an arrival asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Load-shedding priority: under overload, a higher number is served last.
    pub priority: Priority,
    /// Time until which it must be admitted for an answer within its target latency.
    pub prompt_until: Duration,
    /// Time until which it must be admitted at all.
    pub until: Duration,
}

#[derive(Debug)]
struct Arrival<T> {
    claim: Claim,
    work: T,
}

impl<T> Waiting<T> {
    /// Creates an empty list of at most `capacity` arrivals.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            arrivals: VecDeque::new(),
        }
    }

    /// Returns the number of arrivals.
    #[must_use]
    pub fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Returns true if nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
    }

    /// Returns the number of arrivals that are as urgent as a priority or more.
    #[must_use]
    pub fn count_up_to(&self, priority: Priority) -> usize {
        let claims = self.arrivals.iter().map(|arrival| arrival.claim);
        claims.filter(|claim| claim.priority <= priority).count()
    }

    /// Returns the priorities of the arrivals, oldest first.
    pub fn priorities(&self) -> impl Iterator<Item = Priority> {
        self.arrivals.iter().map(|arrival| arrival.claim.priority)
    }

    /// Adds an arrival that waits until a time, and returns the oldest one if there
    /// is no room for both.
    pub fn push(&mut self, until: Duration, work: T) -> Option<T> {
        let claim = Claim {
            priority: 0,
            prompt_until: until,
            until,
        };
        self.push_claim(claim, work)
    }

    /// Adds an arrival with a claim. If there is no room for all, returns the oldest
    /// of the least urgent arrivals.
    pub fn push_claim(&mut self, claim: Claim, work: T) -> Option<T> {
        self.arrivals.push_back(Arrival { claim, work });
        if self.arrivals.len() <= self.capacity {
            return None;
        }
        let claims = self.arrivals.iter().enumerate();
        let least = claims.min_by_key(|(_, arrival)| Reverse(arrival.claim.priority));
        let index = least.map(|(index, _)| index)?;
        self.arrivals.remove(index).map(|arrival| arrival.work)
    }

    /// Removes and returns the newest arrival.
    pub fn pop(&mut self) -> Option<T> {
        self.arrivals.pop_back().map(|arrival| arrival.work)
    }

    /// Removes and returns the next arrival by urgency: those of class `due` if there
    /// are any, else the most urgent; of these, the newest that can still be answered
    /// within its target latency, else the newest.
    ///
    /// ```
    /// use std::time::Duration;
    /// use limit::Waiting;
    /// use limit::waiting::Claim;
    ///
    /// let at = Duration::from_millis;
    /// let claim = |priority, prompt_until| Claim { priority, prompt_until, until: at(900) };
    /// let mut waiting = Waiting::new(9);
    /// waiting.push_claim(claim(1, at(300)), "prompt");
    /// waiting.push_claim(claim(1, at(100)), "late");
    /// waiting.push_claim(claim(2, at(300)), "unimportant");
    /// waiting.push_claim(claim(2, at(300)), "newer");
    /// assert_eq!(waiting.pop_urgent(at(200), Some(2)), Some("newer"));
    /// assert_eq!(waiting.pop_urgent(at(200), None), Some("prompt"));
    /// assert_eq!(waiting.pop_urgent(at(200), None), Some("late"));
    /// ```
    pub fn pop_urgent(&mut self, now: Duration, due: Option<Priority>) -> Option<T> {
        let claims = self.arrivals.iter().enumerate().rev();
        let next = claims.min_by_key(|(_, Arrival { claim, .. })| {
            let is_due = due == Some(claim.priority);
            (!is_due, claim.priority, now > claim.prompt_until)
        });
        let index = next.map(|(index, _)| index)?;
        self.arrivals.remove(index).map(|arrival| arrival.work)
    }

    /// Returns the newest arrival for which `is_wanted` returns true.
    pub fn find(&self, is_wanted: impl Fn(&T) -> bool) -> Option<&T> {
        let mut works = self.arrivals.iter().rev().map(|arrival| &arrival.work);
        works.find(|work| is_wanted(work))
    }

    /// Returns the arrivals, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.arrivals.iter().map(|arrival| &arrival.work)
    }

    /// Removes and returns the arrivals for which `is_wanted` returns true.
    pub fn take(&mut self, is_wanted: impl Fn(&T) -> bool) -> Vec<T> {
        self.remove_if(|arrival| is_wanted(&arrival.work))
    }

    /// Removes the arrivals for which `is_unwanted` returns true.
    pub fn remove(&mut self, is_unwanted: impl Fn(&T) -> bool) {
        self.arrivals.retain(|arrival| !is_unwanted(&arrival.work));
    }

    /// Removes and returns the arrivals whose time is over, oldest first.
    pub fn expire(&mut self, now: Duration) -> Vec<T> {
        self.remove_if(|arrival| now >= arrival.claim.until)
    }

    fn remove_if(&mut self, is_removed: impl Fn(&Arrival<T>) -> bool) -> Vec<T> {
        let arrivals = self.arrivals.drain(..);
        let (removed, waiting) = arrivals.partition(is_removed);
        self.arrivals = waiting;
        let removed: VecDeque<Arrival<T>> = removed;
        removed.into_iter().map(|arrival| arrival.work).collect()
    }
}
