/*
 * The single truth of a usage report. Two entries count a window differently, as the
 * counts of others reach them at different times. Each may hold the duty at any time,
 * even while the other believes that it still does. The holder fixes the counts in the
 * store by a conditional write before it reports them; the answer to the write may be
 * lost, and a report may take effect later than newer ones.
 *
 * Compile with -DFAULTY for the variant without the safeguard: a holder reports its own
 * counts.
 */

#define NONE 0

byte epoch = 0;            /* of the last holder */
byte version = 0;          /* of the record */
byte fixed = NONE;         /* counts in the record */

byte fence = 0;            /* highest epoch that the platform saw */
byte taken = NONE;         /* counts that the platform took */
bool twoTruths = false;

chan late = [3] of { byte, byte };   /* epoch, counts */

inline arrive(e, c) {
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

proctype Entry(byte own) {
  byte held = 0, v, c;
  do
  :: held == 0 && epoch < 3 -> atomic { epoch++; held = epoch }
  :: held > 0 ->
     atomic { v = version; c = fixed };
#ifdef FAULTY
     c = own;
#else
     if
     :: c == NONE ->
        if
        :: atomic { version == v -> version++; fixed = own }; c = own
        :: atomic { version == v -> version++; fixed = own }; c = NONE   /* answer lost */
        :: version != v -> c = NONE
        fi
     :: else -> skip
     fi;
#endif
     if
     :: c != NONE ->
        if
        :: arrive(held, c)
        :: late!held,c
        fi
     :: else -> skip             /* read the record again */
     fi
  :: held > 0 -> held = 0        /* the lease lapsed */
  :: true -> break               /* crash */
  od
}

proctype Network() {
  byte e, c;
end:
  do
  :: late?e,c -> arrive(e, c)
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
