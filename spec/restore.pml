/*
 * A lease in a store that comes back once from a copy of an earlier time. What was written since
 * is lost, and versions are given out again. Each answer of the store carries its era, which the
 * return raises. There are two processes; answers to writes may be lost.
 *
 * A process that learns of a new era stops acting, and takes no lease for LEASE_LENGTH ticks, in
 * which a holder that has not learned of it stops by its own clock. The first epoch of an era is
 * EPOCHS_PER_ERA above that of the record for each era since, and above all epochs that the
 * process has seen. Without a record it follows from the era alone.
 *
 * Checked: the two processes never may act at the same time, and no epoch is used by both.
 *
 * -DFAULTY removes the safeguards: the era is ignored.
 */

#define LEASE_LENGTH 2
#define SAFETY_MARGIN 1
#define MAX_TIME 6
#define NO_HOLDER 2
#define EPOCHS_PER_ERA 8
#define MAX_EPOCH 40

byte clock = 0;

byte era = 1;
byte version = 0;
byte holder = NO_HOLDER;
byte epoch = 0;
byte recordEra = 0;

bool copied = false;
byte copyVersion, copyHolder, copyEpoch, copyRecordEra;

bool holds[2];
byte heldUntil[2];
byte user[MAX_EPOCH];            /* process that used an epoch, plus one */
bool epochShared = false;

inline learnEra() {
#ifdef FAULTY
  skip
#else
  if
  :: knownEra != 0 && knownEra != era ->
     knownEra = era; holds[id] = false; watching = false; waitUntil = clock + LEASE_LENGTH;
     minEpoch = maxEpoch + EPOCHS_PER_ERA
  :: else -> knownEra = era
  fi
#endif
}

proctype Process(byte id) {
  byte seenVersion = 0, seenEpoch = 0, seenEra = 0, seenAt = 0, writeStart, v, e, knownEra = 0, writeEra, waitUntil = 0, maxEpoch = 0, minEpoch = 0, heldEpoch = 0;
  bool watching = false;

  do
  :: clock < MAX_TIME ->
     /* read the record */
     atomic {
       learnEra();
       if :: epoch > maxEpoch -> maxEpoch = epoch :: else -> skip fi;
       if
       :: holds[id] && holder != id -> holds[id] = false
       :: else -> skip
       fi;
       if
       :: !watching || seenVersion != version ->
          seenVersion = version; seenEpoch = epoch; seenEra = recordEra; seenAt = clock; watching = true
       :: else -> skip
       fi
     }
  :: clock < MAX_TIME && !holds[id] && watching && clock >= waitUntil &&
     clock >= seenAt + LEASE_LENGTH ->
     atomic {
       writeStart = clock; v = seenVersion; writeEra = knownEra; e = seenEpoch + 1;
#ifndef FAULTY
       if
       :: seenEra == 0 -> e = knownEra * EPOCHS_PER_ERA + 1
       :: seenEra != 0 && knownEra > seenEra -> e = e + EPOCHS_PER_ERA * (knownEra - seenEra)
       :: else -> skip
       fi;
       if :: e < minEpoch -> e = minEpoch :: else -> skip fi
#endif
     }
     /* The store compares versions only. The answer shows the era. */
     atomic {
       if
       :: version == v ->
          version++; holder = id; epoch = e; recordEra = era;
          if
          :: true ->
             if
#ifdef FAULTY
             :: true ->
#else
             :: writeEra == era && clock < writeStart + LEASE_LENGTH ->
#endif
                holds[id] = true; heldEpoch = e; heldUntil[id] = writeStart + LEASE_LENGTH - SAFETY_MARGIN;
                seenVersion = version; seenAt = clock;
                if :: e > maxEpoch -> maxEpoch = e :: else -> skip fi
#ifndef FAULTY
             :: else -> learnEra(); watching = false
#endif
             fi
          :: true -> watching = false        /* the answer is lost */
          fi
       :: else -> learnEra(); watching = false
       fi;
       v = 0; e = 0; writeEra = 0; writeStart = 0;
       if :: !watching -> seenVersion = 0; seenEpoch = 0; seenEra = 0; seenAt = 0 :: else -> skip fi
     }
  :: holds[id] && clock < heldUntil[id] ->
     /* act */
     atomic {
       if
       :: holds[id] && clock < heldUntil[id] ->
          if
          :: user[heldEpoch] != 0 && user[heldEpoch] != id + 1 -> epochShared = true
          :: else -> user[heldEpoch] = id + 1
          fi
       :: else -> skip
       fi
     }
  :: atomic { holds[id] && clock >= heldUntil[id] ->
       holds[id] = false; watching = false; heldUntil[id] = 0; heldEpoch = 0; seenVersion = 0; seenEpoch = 0; seenEra = 0; seenAt = 0 }
  :: clock >= MAX_TIME -> break
  :: true -> break              /* crash */
  od
}

/* Takes a copy at some time and restores it at a later one. */
proctype Store() {
  atomic { copyVersion = version; copyHolder = holder; copyEpoch = epoch; copyRecordEra = recordEra; copied = true };
  if
  :: atomic { clock < MAX_TIME -> version = copyVersion; holder = copyHolder; epoch = copyEpoch; recordEra = copyRecordEra; era++ }
  :: clock >= MAX_TIME -> skip
  fi
}

proctype Clock() {
  do
  :: clock < MAX_TIME -> clock++
  :: else -> break
  od
}

init {
  atomic {
    run Process(0);
    run Process(1);
    run Store();
    run Clock()
  }
}

active proctype Monitor() {
end:
  atomic { (epochShared || (holds[0] && holds[1] && clock < heldUntil[0] && clock < heldUntil[1])) -> assert(false) }
}
