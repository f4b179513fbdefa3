/*
 * A lease with an epoch, and a move whose outcome is written at most once. There are two
 * controllers, a store with conditional writes whose responses may be lost, and an engine
 * that rejects orders whose epoch is lower than the highest one received. A controller may
 * pause at any point, also until after its lease has expired.
 *
 * Time is a counter of ticks. A holder stops acting SAFETY_MARGIN ticks before its lease
 * expires by its own clock. It counts the lease from the time just before it sent the
 * write. A successor acquires the lease only after the record has not changed for
 * LEASE_LENGTH ticks of its own clock.
 *
 * Checked: no order takes effect after one of a later epoch, and the outcome of the move
 * is written at most once.
 *
 * -DFAULTY removes the safeguards: the holder does not check its clock before it acts,
 * the engine accepts orders of any epoch, and the outcome of the move is written without
 * a condition.
 */

#define LEASE_LENGTH 2
#define SAFETY_MARGIN 1
#define MAX_TIME 6
#define NO_HOLDER 2

byte clock = 0;

byte leaseVersion = 0;
byte leaseHolder = NO_HOLDER;
byte leaseEpoch = 0;

byte fenceEpoch = 0;             /* highest epoch that the engine received */
byte lastAppliedEpoch = 0;       /* epoch of the last order that took effect */
bool staleOrderApplied = false;  /* an order took effect after one of a later epoch */

byte moveOutcome = 0;            /* 0 open, 1 done, 2 rolled back */
byte outcomeWrites = 0;          /* number of writes of the outcome */

proctype Controller(byte id) {
  byte seenVersion = 0, seenAt = 0, heldEpoch = 0, heldUntil = 0, writeStart, v;
  bool holds = false, watching = false;

  do
  :: clock < MAX_TIME && !holds ->
     /* read the lease */
     if
     :: leaseHolder == NO_HOLDER || (watching && seenVersion == leaseVersion && clock >= seenAt + LEASE_LENGTH) ->
        writeStart = clock;
        v = leaseVersion;
        /* Conditional write. If the response is lost, the record is read again. */
        if
        :: atomic { leaseVersion == v ->
             leaseVersion++; leaseEpoch++; leaseHolder = id; heldEpoch = leaseEpoch };
           heldUntil = writeStart + LEASE_LENGTH - SAFETY_MARGIN; holds = true
        :: leaseVersion != v -> skip
        fi;
        d_step { watching = false; seenVersion = 0; seenAt = 0; v = 0 }
     :: leaseHolder != NO_HOLDER && (!watching || seenVersion != leaseVersion) ->
        atomic { seenVersion = leaseVersion; seenAt = clock; watching = true }
     :: leaseHolder != NO_HOLDER && watching && seenVersion == leaseVersion && clock < seenAt + LEASE_LENGTH ->
        skip
     fi
  :: clock < MAX_TIME && holds ->
     if
     :: /* send an order to the engine */
#ifdef FAULTY
        true ->
#else
        clock < heldUntil ->
#endif
        /* The controller may pause here. If a later epoch has reached the engine in the
           meantime, the engine rejects the order. */
        atomic {
          if
#ifdef FAULTY
          :: true ->
#else
          :: heldEpoch >= fenceEpoch ->
#endif
             if :: heldEpoch < lastAppliedEpoch -> staleOrderApplied = true :: else -> skip fi;
             fenceEpoch = heldEpoch; lastAppliedEpoch = heldEpoch
#ifndef FAULTY
          :: else -> holds = false
#endif
          fi
        }
     :: /* write the outcome of the move: done or rolled back */
#ifdef FAULTY
        moveOutcome == 0 ->
        if :: atomic { moveOutcome = 1; outcomeWrites++ } :: atomic { moveOutcome = 2; outcomeWrites++ } fi
#else
        clock < heldUntil && moveOutcome == 0 ->
        if
        :: atomic { moveOutcome == 0 -> moveOutcome = 1; outcomeWrites++ }
        :: atomic { moveOutcome == 0 -> moveOutcome = 2; outcomeWrites++ }
        :: moveOutcome != 0 -> skip
        fi
#endif
     :: /* renew at most once per tick */
        clock < heldUntil && clock > writeStart ->
        writeStart = clock;
        if
        :: atomic { leaseHolder == id && leaseEpoch == heldEpoch -> leaseVersion++ };
           heldUntil = writeStart + LEASE_LENGTH - SAFETY_MARGIN
        :: !(leaseHolder == id && leaseEpoch == heldEpoch) -> holds = false
        fi
     :: clock >= heldUntil -> d_step { holds = false; heldEpoch = 0; heldUntil = 0; writeStart = 0 }
     fi
  :: clock >= MAX_TIME -> break
  :: true -> break              /* crash */
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
    run Controller(0);
    run Controller(1);
    run Clock()
  }
}

active proctype Monitor() {
end:
  atomic { (staleOrderApplied || outcomeWrites > 1) -> assert(false) }
}
