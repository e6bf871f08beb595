//! Slots that are held for siblings.

use std::time::Duration;

use slotmap::{Key, KeyData, SlotMap, new_key_type};

use crate::{NodeId, Token};

/// Id of a reservation; it differs between processes, also after a restart.
pub type ReservationId = u64;

/// Most reservations that are remembered after their end.
const REMEMBERED_MOST: usize = 4_096;

new_key_type! {
    struct ReservationKey;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Held,
    Used,
    Free,
}

#[derive(Clone, Debug)]
struct Reservation {
    from: NodeId,
    token: Token,
    state: State,
    expires: Duration,
}

/// What a reservation is worth to a request that comes with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Worth {
    /// The slot was held until now.
    Held,
    /// The slot was given up; no request ever came with the reservation.
    Ended,
    /// A request came with it before.
    Used,
    /// It isn't known here, or was granted to another node.
    Unknown,
}

/// The reservations that this agent granted.
#[derive(Debug)]
pub(crate) struct Reservations {
    salt: u64,
    hold: Duration,
    memory: Duration,
    all: SlotMap<ReservationKey, Reservation>,
}

impl Reservations {
    /// Returns an empty table. `salt` tells the ids of this process from those of others.
    pub(crate) fn new(salt: u64, hold: Duration, memory: Duration) -> Self {
        Self {
            salt,
            hold,
            memory,
            all: SlotMap::with_key(),
        }
    }

    /// Returns the reservation that was granted to this token before and still stands.
    pub(crate) fn standing(&self, from: NodeId, token: Token) -> Option<ReservationId> {
        let same = |r: &Reservation| r.from == from && r.token == token && r.state == State::Held;
        let (key, _) = self.all.iter().find(|(_, r)| same(r))?;
        Some(self.id_of(key))
    }

    /// Holds a slot that the caller has taken.
    pub(crate) fn grant(&mut self, now: Duration, from: NodeId, token: Token) -> ReservationId {
        self.forget(now);
        let expires = now + self.hold;
        let held = Reservation {
            from,
            token,
            state: State::Held,
            expires,
        };
        let key = self.all.insert(held);
        self.id_of(key)
    }

    /// Uses a reservation up.
    pub(crate) fn take(&mut self, now: Duration, from: NodeId, id: ReservationId) -> Worth {
        let memory = self.memory;
        let Some(found) = self.find(from, id) else {
            return Worth::Unknown;
        };
        let worth = match found.state {
            State::Held => Worth::Held,
            State::Free => Worth::Ended,
            State::Used => return Worth::Used,
        };
        found.state = State::Used;
        found.expires = now + memory;
        worth
    }

    /// Gives a reservation back; returns whether its slot was still held.
    pub(crate) fn release(&mut self, now: Duration, from: NodeId, id: ReservationId) -> bool {
        let memory = self.memory;
        let Some(found) = self.find(from, id) else {
            return false;
        };
        if found.state != State::Held {
            return false;
        }
        found.state = State::Free;
        found.expires = now + memory;
        true
    }

    /// Gives back every reservation of a lost node; returns how many slots were held.
    pub(crate) fn release_all(&mut self, now: Duration, from: NodeId) -> u32 {
        self.end_where(now, |r| r.from == from)
    }

    /// Gives back the reservations that nobody used in time; returns how many slots were held.
    pub(crate) fn expire(&mut self, now: Duration) -> u32 {
        self.end_where(now, |r| r.expires <= now)
    }

    /// Returns when the next held reservation expires.
    pub(crate) fn next_expiry(&self) -> Option<Duration> {
        let held = self.all.values().filter(|r| r.state == State::Held);
        held.map(|r| r.expires).min()
    }

    fn end_where(&mut self, now: Duration, ends: impl Fn(&Reservation) -> bool) -> u32 {
        let mut ended = 0;
        for found in self.all.values_mut() {
            if found.state == State::Held && ends(found) {
                found.state = State::Free;
                found.expires = now + self.memory;
                ended += 1;
            }
        }
        ended
    }

    /// Forgets reservations that ended long ago, and old ones first where there are too many.
    fn forget(&mut self, now: Duration) {
        self.all
            .retain(|_, r| r.state == State::Held || r.expires > now);
        if self.all.len() < REMEMBERED_MOST {
            return;
        }
        let ended = self.all.iter().filter(|(_, r)| r.state != State::Held);
        if let Some((oldest, _)) = ended.min_by_key(|(_, r)| r.expires) {
            self.all.remove(oldest);
        }
    }

    fn find(&mut self, from: NodeId, id: ReservationId) -> Option<&mut Reservation> {
        let key = ReservationKey::from(KeyData::from_ffi(id ^ self.salt));
        self.all.get_mut(key).filter(|r| r.from == from)
    }

    fn id_of(&self, key: ReservationKey) -> ReservationId {
        key.data().as_ffi() ^ self.salt
    }
}
