//! Slots that are reserved for siblings.

use std::time::Duration;

use slotmap::{Key, KeyData, SlotMap, new_key_type};

use crate::{NodeId, Token};

/// Id of a reservation, unique across processes and restarts.
pub type ReservationId = u64;

/// Table size at which the oldest ended reservations are evicted.
const MAX_RESERVATIONS: usize = 4_096;

new_key_type! {
    struct ReservationKey;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Held,
    Used,
    Released,
}

#[derive(Clone, Debug)]
struct Reservation {
    from: NodeId,
    token: Token,
    state: State,
    expires: Duration,
    /// Whether the slot is for a hedged request.
    is_hedge: bool,
}

/// State of a reservation when a request arrives with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReservationStatus {
    /// The slot was still held.
    Held,
    /// The slot was released, and no request has used the reservation.
    Released,
    /// An earlier request used the reservation.
    Used,
    /// The reservation is unknown, or was granted to another node.
    Unknown,
}

/// Reservations that this agent granted.
#[derive(Debug)]
pub(crate) struct Reservations {
    salt: u64,
    ttl: Duration,
    retention: Duration,
    entries: SlotMap<ReservationKey, Reservation>,
}

impl Reservations {
    /// Returns an empty table. `salt` makes the ids differ from those of other processes.
    ///
    /// `ttl` is how long a slot is held, `retention` how long an ended reservation is remembered.
    pub(crate) fn new(salt: u64, ttl: Duration, retention: Duration) -> Self {
        Self {
            salt,
            ttl,
            retention,
            entries: SlotMap::with_key(),
        }
    }

    /// Returns the reservation that was granted for this token, if its slot is still held.
    pub(crate) fn find_held(&self, from: NodeId, token: Token) -> Option<ReservationId> {
        let same = |r: &Reservation| r.from == from && r.token == token && r.state == State::Held;
        let (key, _) = self.entries.iter().find(|(_, r)| same(r))?;
        Some(self.id_of(key))
    }

    /// Records a reservation for a slot that was already acquired.
    pub(crate) fn grant(&mut self, now: Duration, from: NodeId, token: Token) -> ReservationId {
        self.evict(now);
        let expires = now + self.ttl;
        let held = Reservation {
            from,
            token,
            state: State::Held,
            expires,
            is_hedge: false,
        };
        let key = self.entries.insert(held);
        self.id_of(key)
    }

    /// Marks a reservation as one for a hedged request.
    pub(crate) fn mark_hedge(&mut self, from: NodeId, id: ReservationId) {
        if let Some(found) = self.find(from, id) {
            found.is_hedge = true;
        }
    }

    /// Returns whether the reservation is for a hedged request.
    pub(crate) fn is_hedge(&mut self, from: NodeId, id: ReservationId) -> bool {
        self.find(from, id).is_some_and(|found| found.is_hedge)
    }

    /// Marks a reservation as used and returns its previous status.
    pub(crate) fn consume(
        &mut self,
        now: Duration,
        from: NodeId,
        id: ReservationId,
    ) -> ReservationStatus {
        let retention = self.retention;
        let Some(found) = self.find(from, id) else {
            return ReservationStatus::Unknown;
        };
        let status = match found.state {
            State::Held => ReservationStatus::Held,
            State::Released => ReservationStatus::Released,
            State::Used => return ReservationStatus::Used,
        };
        found.state = State::Used;
        found.expires = now + retention;
        status
    }

    /// Releases a reservation; returns whether its slot was still held.
    pub(crate) fn release(&mut self, now: Duration, from: NodeId, id: ReservationId) -> bool {
        let retention = self.retention;
        let Some(found) = self.find(from, id) else {
            return false;
        };
        if found.state != State::Held {
            return false;
        }
        found.state = State::Released;
        found.expires = now + retention;
        true
    }

    /// Releases all reservations of a lost node; returns the number of slots that were held.
    pub(crate) fn release_all(&mut self, now: Duration, from: NodeId) -> u32 {
        self.release_where(now, |r| r.from == from)
    }

    /// Releases the reservations that weren't used in time; returns the number of slots that were
    /// held.
    pub(crate) fn expire(&mut self, now: Duration) -> u32 {
        self.release_where(now, |r| r.expires <= now)
    }

    /// Returns when the next held reservation expires.
    pub(crate) fn next_expiry(&self) -> Option<Duration> {
        let held = self.entries.values().filter(|r| r.state == State::Held);
        held.map(|r| r.expires).min()
    }

    fn release_where(&mut self, now: Duration, matches: impl Fn(&Reservation) -> bool) -> u32 {
        let mut released = 0;
        for found in self.entries.values_mut() {
            if found.state == State::Held && matches(found) {
                found.state = State::Released;
                found.expires = now + self.retention;
                released += 1;
            }
        }
        released
    }

    /// Evicts ended reservations past their retention, and the oldest ended one from a full table.
    fn evict(&mut self, now: Duration) {
        self.entries
            .retain(|_, r| r.state == State::Held || r.expires > now);
        if self.entries.len() < MAX_RESERVATIONS {
            return;
        }
        let ended = self.entries.iter().filter(|(_, r)| r.state != State::Held);
        if let Some((oldest, _)) = ended.min_by_key(|(_, r)| r.expires) {
            self.entries.remove(oldest);
        }
    }

    fn find(&mut self, from: NodeId, id: ReservationId) -> Option<&mut Reservation> {
        let key = ReservationKey::from(KeyData::from_ffi(id ^ self.salt));
        self.entries.get_mut(key).filter(|r| r.from == from)
    }

    fn id_of(&self, key: ReservationKey) -> ReservationId {
        key.data().as_ffi() ^ self.salt
    }
}
