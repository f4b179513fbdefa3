/*
 * The calls of lease holders to a platform that does not check epochs. Two entries
 * compete for the lease as in lease.pml. A call may be in flight for any time.
 *
 * SAFETY_MARGIN ticks before its lease expires by its own clock, a holder resets the
 * connections of its calls, so none of them arrives later.
 *
 * Checked: no call of an earlier holder takes effect after one of a later holder.
 *
 * -DFAULTY removes the safeguard: calls are not cancelled when the lease expires.
 */

#define LEASE_LENGTH 2
#define SAFETY_MARGIN 1
#define MAX_TIME 6
#define NO_HOLDER 2

byte clock = 0;

byte leaseVersion = 0;
byte leaseHolder = NO_HOLDER;
byte leaseEpoch = 0;

byte lastAppliedEpoch = 0;      /* epoch of the last call that took effect */
bool staleCallApplied = false;  /* a call took effect after one of a later epoch */

/* by entry: the call in flight, with its epoch and the time at which it is cancelled */
chan callInFlight[2] = [1] of { byte, byte };

proctype Entry(byte id) {
  byte seenVersion = 0, seenAt = 0, heldEpoch = 0, heldUntil = 0, writeStart = 0, v;
  bool watching = false;

  do
  :: clock < MAX_TIME && heldEpoch == 0 ->
     if
     :: leaseHolder == NO_HOLDER || (watching && seenVersion == leaseVersion && clock >= seenAt + LEASE_LENGTH) ->
        writeStart = clock;
        v = seenVersion;           /* the write is conditional on the version that was read */
        if
        :: atomic { leaseVersion == v -> leaseVersion++; leaseEpoch++; leaseHolder = id; heldEpoch = leaseEpoch };
           heldUntil = writeStart + LEASE_LENGTH - SAFETY_MARGIN
        :: leaseVersion != v -> skip
        fi;
        d_step { watching = false; seenVersion = 0; seenAt = 0; v = 0 }
     :: leaseHolder != NO_HOLDER && (!watching || seenVersion != leaseVersion) ->
        atomic { seenVersion = leaseVersion; seenAt = clock; watching = true }
     :: leaseHolder != NO_HOLDER && watching && seenVersion == leaseVersion && clock < seenAt + LEASE_LENGTH ->
        skip
     fi
  :: clock < MAX_TIME && heldEpoch > 0 ->
     if
     :: atomic { clock < heldUntil && nfull(callInFlight[id]) -> callInFlight[id]!heldEpoch,heldUntil }
     :: clock < heldUntil && clock > writeStart ->      /* renew at most once per tick */
        writeStart = clock;
        if
        :: atomic { leaseHolder == id && leaseEpoch == heldEpoch -> leaseVersion++ };
           heldUntil = writeStart + LEASE_LENGTH - SAFETY_MARGIN
        :: !(leaseHolder == id && leaseEpoch == heldEpoch) -> heldEpoch = 0
        fi
     :: clock >= heldUntil -> d_step { heldEpoch = 0; heldUntil = 0; writeStart = 0 }
     fi
  :: clock >= MAX_TIME -> break
  :: true -> break              /* crash: a call that was sent stays in flight */
  od
}

inline deliver(from) {
  callInFlight[from]?epoch,end ->
  if
#ifdef FAULTY
  :: true ->
#else
  :: clock >= end -> skip
  :: clock < end ->
#endif
     if :: epoch < lastAppliedEpoch -> staleCallApplied = true :: else -> lastAppliedEpoch = epoch fi
  fi;
  epoch = 0; end = 0
}

proctype Network() {
  byte epoch, end;
  do
  :: atomic { deliver(0) }
  :: atomic { deliver(1) }
  :: clock >= MAX_TIME && empty(callInFlight[0]) && empty(callInFlight[1]) -> break
  od
}

proctype Clock() {
  do
  :: clock < MAX_TIME -> clock++
  :: else -> break
  od
}

init {
  atomic {
    run Entry(0);
    run Entry(1);
    run Network();
    run Clock()
  }
}

active proctype Monitor() {
end:
  atomic { staleCallApplied -> assert(false) }
}
