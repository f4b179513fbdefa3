/*
 * A lease with an epoch and the single outcome of a move. There are two controllers,
 * each of which may pause at any point until after its lease has expired, a store with
 * conditional writes whose responses may be lost, an engine that fences by epoch, and a
 * move whose outcome is written once.
 *
 * Time is a counter of ticks. A holder stops acting MARGIN ticks before its lease
 * expires by its own clock, measured from before its write. A successor acquires the
 * lease only after the record has not changed for LENGTH ticks of its own clock.
 *
 * Checked: no order takes effect after one of a later epoch, and the outcome of the move
 * is written at most once.
 *
 * -DFAULTY removes the safeguards: the holder does not check its clock before it acts,
 * the engine does not fence, and the outcome of the move is written without a condition.
 */

#define LENGTH 2
#define MARGIN 1
#define MAXTIME 6
#define NOBODY 2

byte clock = 0;

byte leaseVersion = 0;
byte leaseHolder = NOBODY;
byte leaseEpoch = 0;

byte engineEpoch = 0;
byte lastActEpoch = 0;
bool staleAct = false;      /* an order took effect after one of a later epoch */

byte moveEnd = 0;           /* 0 open, 1 done, 2 rolled back */
byte ends = 0;              /* number of writes of the outcome */

proctype Controller(byte id) {
  byte seenVersion = 0, seenAt = 0, heldEpoch = 0, heldUntil = 0, writeStart, v;
  bool holds = false, watching = false;

  do
  :: clock < MAXTIME && !holds ->
     /* read the lease */
     if
     :: leaseHolder == NOBODY || (watching && seenVersion == leaseVersion && clock >= seenAt + LENGTH) ->
        writeStart = clock;
        v = leaseVersion;
        /* Conditional write. If the response is lost, the record is read again. */
        if
        :: atomic { leaseVersion == v ->
             leaseVersion++; leaseEpoch++; leaseHolder = id; heldEpoch = leaseEpoch };
           heldUntil = writeStart + LENGTH - MARGIN; holds = true
        :: leaseVersion != v -> skip
        fi;
        d_step { watching = false; seenVersion = 0; seenAt = 0; v = 0 }
     :: leaseHolder != NOBODY && (!watching || seenVersion != leaseVersion) ->
        atomic { seenVersion = leaseVersion; seenAt = clock; watching = true }
     :: leaseHolder != NOBODY && watching && seenVersion == leaseVersion && clock < seenAt + LENGTH ->
        skip
     fi
  :: clock < MAXTIME && holds ->
     if
     :: /* send an order to the engine */
#ifdef FAULTY
        true ->
#else
        clock < heldUntil ->
#endif
        /* The controller may pause here; the engine's fence rejects an order that is stale
           after the pause. */
        atomic {
          if
#ifdef FAULTY
          :: true ->
#else
          :: heldEpoch >= engineEpoch ->
#endif
             if :: heldEpoch < lastActEpoch -> staleAct = true :: else -> skip fi;
             engineEpoch = heldEpoch; lastActEpoch = heldEpoch
#ifndef FAULTY
          :: else -> holds = false
#endif
          fi
        }
     :: /* write the outcome of the move: done or rolled back */
#ifdef FAULTY
        moveEnd == 0 ->
        if :: atomic { moveEnd = 1; ends++ } :: atomic { moveEnd = 2; ends++ } fi
#else
        clock < heldUntil && moveEnd == 0 ->
        if
        :: atomic { moveEnd == 0 -> moveEnd = 1; ends++ }
        :: atomic { moveEnd == 0 -> moveEnd = 2; ends++ }
        :: moveEnd != 0 -> skip
        fi
#endif
     :: /* renew at most once per tick */
        clock < heldUntil && clock > writeStart ->
        writeStart = clock;
        if
        :: atomic { leaseHolder == id && leaseEpoch == heldEpoch -> leaseVersion++ };
           heldUntil = writeStart + LENGTH - MARGIN
        :: !(leaseHolder == id && leaseEpoch == heldEpoch) -> holds = false
        fi
     :: clock >= heldUntil -> d_step { holds = false; heldEpoch = 0; heldUntil = 0; writeStart = 0 }
     fi
  :: clock >= MAXTIME -> break
  :: true -> break              /* crash */
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
    run Controller(0);
    run Controller(1);
    run Time()
  }
}

active proctype Monitor() {
end:
  atomic { (staleAct || ends > 1) -> assert(false) }
}
