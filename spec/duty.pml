/*
 * The lease of a duty, which is a task that only one entry at a time performs, and the
 * lease holder's calls to the platform. Two entries compete for the lease. Each may pause
 * between reading the lease and sending a call, and a call may take effect after newer
 * ones. The platform rejects a call whose epoch is lower than the highest one received.
 * An entry whose call was rejected gives up the lease.
 *
 * Checked: no call of an earlier holder takes effect after one of a later holder, and
 * no two entries use the same epoch.
 *
 * -DFAULTY removes the safeguard: the write of the epoch is not conditional on the
 * version that was read.
 */

byte leaseVersion = 0;       /* version of the lease object */
byte leaseEpoch = 0;         /* epoch in the lease object */

byte fenceEpoch = 0;         /* highest epoch that the platform received */
byte lastAppliedEpoch = 0;   /* epoch of the last call that took effect */
byte appliedBy[6];           /* by epoch: entry whose call took effect, 0 for none */
bool invariantViolated = false;

/* calls in flight: epoch, entry */
chan delayedCalls = [3] of { byte, byte };

inline deliver(e, entry) {
  atomic {
    if
    :: e >= fenceEpoch ->
       fenceEpoch = e;
       if
       :: e < lastAppliedEpoch || (appliedBy[e] != 0 && appliedBy[e] != entry) -> invariantViolated = true
       :: else -> skip
       fi;
       appliedBy[e] = entry;
       lastAppliedEpoch = e
    :: else -> skip
    fi
  }
}

proctype Entry(byte entry) {
  byte heldEpoch = 0, v, e;
  do
  :: heldEpoch == 0 && leaseEpoch < 4 ->
     /* The model has no clock: the lease may expire at any time, so the entry does not
        wait until the record has been unchanged for the length of the lease. */
     atomic { v = leaseVersion; e = leaseEpoch };
#ifdef FAULTY
     atomic { leaseVersion++; leaseEpoch = e + 1 };
     heldEpoch = e + 1
#else
     if
     :: atomic { leaseVersion == v -> leaseVersion++; leaseEpoch = e + 1 }; heldEpoch = e + 1
     :: atomic { leaseVersion == v -> leaseVersion++; leaseEpoch = e + 1 }; heldEpoch = 0   /* response lost */
     :: leaseVersion != v -> skip
     fi
#endif
  :: heldEpoch > 0 ->
     /* The entry may pause here. */
     if
     :: deliver(heldEpoch, entry)
     :: delayedCalls!heldEpoch,entry
     fi
  :: heldEpoch > 0 && heldEpoch < fenceEpoch -> heldEpoch = 0   /* call rejected */
  :: heldEpoch > 0 -> heldEpoch = 0                             /* lease expired */
  :: true -> break                                              /* crash */
  od
}

proctype Network() {
  byte e, entry;
end:
  do
  :: delayedCalls?e,entry -> deliver(e, entry)
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
  atomic { invariantViolated -> assert(false) }
}
