/*
 * The counts of a usage report for one window. Two entries have different counts, as the
 * counts of other entries reach them at different times. Each may hold the duty at any
 * time, even while the other still assumes that it does. The holder records the counts in
 * the store by a conditional write before it reports them. The response to the write may
 * be lost, and a report may take effect after newer ones.
 *
 * Checked: the platform never accepts counts for the window that differ from those that
 * it accepted before.
 *
 * -DFAULTY removes the safeguard: a holder reports its own counts without recording them.
 */

#define NONE 0

byte epoch = 0;            /* of the last holder */
byte version = 0;          /* of the record */
byte fixed = NONE;         /* counts in the store's record */

byte fence = 0;            /* highest epoch that the platform received */
byte taken = NONE;         /* counts that the platform accepted */
bool twoTruths = false;

chan late = [3] of { byte, byte };   /* epoch, counts */

inline deliver(e, c) {
  atomic {
    if
    :: e >= fence ->
       fence = e;
       if
       :: taken == NONE -> taken = c
       :: taken != NONE && taken != c -> twoTruths = true
       :: else -> skip
       fi
    :: else -> skip
    fi
  }
}

proctype Entry(byte ownCounts) {
  byte heldEpoch = 0, v, c;
  do
  :: heldEpoch == 0 && epoch < 3 -> atomic { epoch++; heldEpoch = epoch }
  :: heldEpoch > 0 ->
     atomic { v = version; c = fixed };
#ifdef FAULTY
     c = ownCounts;
#else
     if
     :: c == NONE ->
        if
        :: atomic { version == v -> version++; fixed = ownCounts }; c = ownCounts
        :: atomic { version == v -> version++; fixed = ownCounts }; c = NONE   /* response lost */
        :: version != v -> c = NONE
        fi
     :: else -> skip
     fi;
#endif
     if
     :: c != NONE ->
        if
        :: deliver(heldEpoch, c)
        :: late!heldEpoch,c
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
  :: late?e,c -> deliver(e, c)
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
  atomic { twoTruths -> assert(false) }
}
