/*
 * The counts of a usage report for one window. Two entries have different counts, as the
 * counts of other entries reach them at different times. Each may acquire the lease of the
 * reporting duty at any time, even while the other still assumes that it is the holder.
 * The holder records the counts in the store by a conditional write before it reports them
 * to the platform. The response to the write may be lost, and a report may take effect
 * after newer ones.
 *
 * Checked: the platform never accepts counts for the window that differ from those that
 * it accepted before.
 *
 * -DFAULTY removes the safeguard: a holder reports its own counts without recording them.
 */

#define NONE 0

byte leaseEpoch = 0;             /* epoch of the last holder */
byte recordVersion = 0;          /* version of the record in the store */
byte recordedCounts = NONE;      /* counts in the record */

byte fenceEpoch = 0;             /* highest epoch that the platform received */
byte acceptedCounts = NONE;      /* counts that the platform accepted first */
bool conflictingCounts = false;  /* a later report had other counts */

/* reports in flight: epoch, counts */
chan delayedReports = [3] of { byte, byte };

inline deliver(e, c) {
  atomic {
    if
    :: e >= fenceEpoch ->
       fenceEpoch = e;
       if
       :: acceptedCounts == NONE -> acceptedCounts = c
       :: acceptedCounts != NONE && acceptedCounts != c -> conflictingCounts = true
       :: else -> skip
       fi
    :: else -> skip
    fi
  }
}

proctype Entry(byte ownCounts) {
  byte heldEpoch = 0, v, c;
  do
  :: heldEpoch == 0 && leaseEpoch < 3 -> atomic { leaseEpoch++; heldEpoch = leaseEpoch }
  :: heldEpoch > 0 ->
     atomic { v = recordVersion; c = recordedCounts };
#ifdef FAULTY
     c = ownCounts;
#else
     if
     :: c == NONE ->
        if
        :: atomic { recordVersion == v -> recordVersion++; recordedCounts = ownCounts }; c = ownCounts
        :: atomic { recordVersion == v -> recordVersion++; recordedCounts = ownCounts }; c = NONE   /* response lost */
        :: recordVersion != v -> c = NONE
        fi
     :: else -> skip
     fi;
#endif
     if
     :: c != NONE ->
        if
        :: deliver(heldEpoch, c)
        :: delayedReports!heldEpoch,c
        fi
     :: else -> skip             /* read the record again */
     fi
  :: heldEpoch > 0 -> heldEpoch = 0        /* lease expired */
  :: true -> break               /* crash */
  od
}

proctype Network() {
  byte e, c;
end:
  do
  :: delayedReports?e,c -> deliver(e, c)
  od
}

init {
  atomic {
    run Entry(1);
    run Entry(2);
    run Network()
  }
}

active proctype Monitor() {
end:
  atomic { conflictingCounts -> assert(false) }
}
