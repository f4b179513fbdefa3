/*
 * The lease of a duty and the holder's calls to the platform. Two entries compete for
 * the lease. Each may pause between reading the lease and calling, and a call may take
 * effect after newer ones. The platform refuses a call whose epoch is lower than the
 * highest one received. A refused entry gives up the duty.
 *
 * Checked: no call of an earlier holder takes effect after one of a later holder, and
 * no two entries use the same epoch.
 *
 * -DFAULTY removes the safeguard: the write of the epoch is not conditional on the
 * version that was read.
 */

byte version = 0;          /* of the lease object */
byte epoch = 0;            /* in the lease object */

byte fence = 0;            /* highest epoch that the platform received */
byte last = 0;             /* epoch of the last call that took effect */
byte owner[6];             /* entry whose call took effect, by epoch; 0 for none */
bool broken = false;

chan late = [3] of { byte, byte };   /* epoch, entry */

inline deliver(e, entry) {
  atomic {
    if
    :: e >= fence ->
       fence = e;
       if :: e < last || (owner[e] != 0 && owner[e] != entry) -> broken = true :: else -> skip fi;
       owner[e] = entry;
       last = e
    :: else -> skip
    fi
  }
}

proctype Entry(byte entry) {
  byte heldEpoch = 0, v, e;
  do
  :: heldEpoch == 0 && epoch < 4 ->
     /* The record has not changed for the duration of the lease. */
     atomic { v = version; e = epoch };
#ifdef FAULTY
     atomic { version++; epoch = e + 1 };
     heldEpoch = e + 1
#else
     if
     :: atomic { version == v -> version++; epoch = e + 1 }; heldEpoch = e + 1
     :: atomic { version == v -> version++; epoch = e + 1 }; heldEpoch = 0   /* response lost */
     :: version != v -> skip
     fi
#endif
  :: heldEpoch > 0 ->
     /* The entry may pause here. */
     if
     :: deliver(heldEpoch, entry)
     :: late!heldEpoch,entry
     fi
  :: heldEpoch > 0 && heldEpoch < fence -> heldEpoch = 0   /* refused */
  :: heldEpoch > 0 -> heldEpoch = 0                   /* lease expired */
  :: true -> break                          /* crash */
  od
}

proctype Network() {
  byte e, entry;
end:
  do
  :: late?e,entry -> deliver(e, entry)
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
  atomic { broken -> assert(false) }
}
