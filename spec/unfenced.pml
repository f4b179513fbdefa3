/*
 * The calls of a duty's holders to a platform that does not check epochs. Two entries
 * compete for the lease as in lease.pml. A call may be in flight for any time.
 *
 * A holder resets the connections of its calls a margin before its lease expires by its
 * own clock, so none of them arrives later.
 *
 * Checked: no call of an earlier holder takes effect after one of a later holder.
 *
 * -DFAULTY removes the safeguard: calls are not cancelled when the lease expires.
 */

#define LENGTH 2
#define MARGIN 1
#define MAXTIME 6
#define NOBODY 2

byte clock = 0;

byte leaseVersion = 0;
byte leaseHolder = NOBODY;
byte leaseEpoch = 0;

byte last = 0;              /* epoch of the last call that took effect */
bool stale = false;         /* a call took effect after one of a later epoch */

/* call in flight of each entry: its epoch and the time at which it is cancelled */
chan way[2] = [1] of { byte, byte };

proctype Entry(byte id) {
  byte seenVersion = 0, seenAt = 0, heldEpoch = 0, heldUntil = 0, writeStart = 0, v;
  bool watching = false;

  do
  :: clock < MAXTIME && heldEpoch == 0 ->
     if
     :: leaseHolder == NOBODY || (watching && seenVersion == leaseVersion && clock >= seenAt + LENGTH) ->
        writeStart = clock;
        v = seenVersion;           /* the write is conditional on the version that was read */
        if
        :: atomic { leaseVersion == v -> leaseVersion++; leaseEpoch++; leaseHolder = id; heldEpoch = leaseEpoch };
           heldUntil = writeStart + LENGTH - MARGIN
        :: leaseVersion != v -> skip
        fi;
        d_step { watching = false; seenVersion = 0; seenAt = 0; v = 0 }
     :: leaseHolder != NOBODY && (!watching || seenVersion != leaseVersion) ->
        atomic { seenVersion = leaseVersion; seenAt = clock; watching = true }
     :: leaseHolder != NOBODY && watching && seenVersion == leaseVersion && clock < seenAt + LENGTH ->
        skip
     fi
  :: clock < MAXTIME && heldEpoch > 0 ->
     if
     :: atomic { clock < heldUntil && nfull(way[id]) -> way[id]!heldEpoch,heldUntil }
     :: clock < heldUntil && clock > writeStart ->      /* renew at most once per tick */
        writeStart = clock;
        if
        :: atomic { leaseHolder == id && leaseEpoch == heldEpoch -> leaseVersion++ };
           heldUntil = writeStart + LENGTH - MARGIN
        :: !(leaseHolder == id && leaseEpoch == heldEpoch) -> heldEpoch = 0
        fi
     :: clock >= heldUntil -> d_step { heldEpoch = 0; heldUntil = 0; writeStart = 0 }
     fi
  :: clock >= MAXTIME -> break
  :: true -> break              /* crash: a call that was sent stays in flight */
  od
}

inline deliver(from) {
  way[from]?epoch,end ->
  if
#ifdef FAULTY
  :: true ->
#else
  :: clock >= end -> skip
  :: clock < end ->
#endif
     if :: epoch < last -> stale = true :: else -> last = epoch fi
  fi;
  epoch = 0; end = 0
}

proctype Network() {
  byte epoch, end;
  do
  :: atomic { deliver(0) }
  :: atomic { deliver(1) }
  :: clock >= MAXTIME && empty(way[0]) && empty(way[1]) -> break
  od
}

proctype Time() {
  do
  :: clock < MAXTIME -> clock++
  :: else -> break
  od
}

init {
  atomic {
    run Entry(0);
    run Entry(1);
    run Network();
    run Time()
  }
}

active proctype Monitor() {
end:
  atomic { stale -> assert(false) }
}
