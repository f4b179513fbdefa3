/*
 * The calls of a duty's holders to a platform that does not check epochs. Two entries
 * take turns at the lease as in lease.pml; a call may be on its way for as long as
 * anything may delay it.
 *
 * A holder breaks its calls off, by a reset, when its lease is over on its own clock
 * less a margin, so none of them comes later. So no call of an earlier holder takes
 * effect after one of a later holder.
 *
 * Compile with -DFAULTY for the variant without the safeguard: calls are left to their
 * way when the lease is over.
 */

#define LENGTH 2
#define MARGIN 1
#define MAXTIME 6
#define NOBODY 2

byte clock = 0;

byte leaseVersion = 0;
byte leaseHolder = NOBODY;
byte leaseEpoch = 0;

byte last = 0;              /* epoch of the last call that came */
bool stale = false;         /* one came after a call of a later epoch */

/* of each entry: epoch, time from which on nothing of the call comes */
chan way[2] = [1] of { byte, byte };

proctype Entry(byte id) {
  byte seenVersion = 0, seenAt = 0, held = 0, until = 0, began = 0, v;
  bool watching = false;

  do
  :: clock < MAXTIME && held == 0 ->
     if
     :: leaseHolder == NOBODY || (watching && seenVersion == leaseVersion && clock >= seenAt + LENGTH) ->
        began = clock;
        v = seenVersion;           /* the write holds for the record that was seen */
        if
        :: atomic { leaseVersion == v -> leaseVersion++; leaseEpoch++; leaseHolder = id; held = leaseEpoch };
           until = began + LENGTH - MARGIN
        :: leaseVersion != v -> skip
        fi;
        d_step { watching = false; seenVersion = 0; seenAt = 0; v = 0 }
     :: leaseHolder != NOBODY && (!watching || seenVersion != leaseVersion) ->
        atomic { seenVersion = leaseVersion; seenAt = clock; watching = true }
     :: leaseHolder != NOBODY && watching && seenVersion == leaseVersion && clock < seenAt + LENGTH ->
        skip
     fi
  :: clock < MAXTIME && held > 0 ->
     if
     :: atomic { clock < until && nfull(way[id]) -> way[id]!held,until }
     :: clock < until && clock > began ->      /* renew, once a tick at most */
        began = clock;
        if
        :: atomic { leaseHolder == id && leaseEpoch == held -> leaseVersion++ };
           until = began + LENGTH - MARGIN
        :: !(leaseHolder == id && leaseEpoch == held) -> held = 0
        fi
     :: clock >= until -> d_step { held = 0; until = 0; began = 0 }
     fi
  :: clock >= MAXTIME -> break
  :: true -> break              /* crash: what was sent is still on its way */
  od
}

inline come(from) {
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
  :: atomic { come(0) }
  :: atomic { come(1) }
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
