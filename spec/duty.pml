/*
 * The holder of a duty and its calls to the platform. Two entries take turns at the
 * lease; either may pause between its look at the lease and its call, and a call may
 * take effect later than newer ones. The platform refuses a call with an epoch that is
 * lower than one seen before. An entry that was refused stops.
 *
 * No call of an earlier holder takes effect after one of a later holder, and no epoch
 * belongs to two entries.
 *
 * Compile with -DFAULTY for the variant without the safeguard: the epoch is read and
 * then written without a condition.
 */

byte version = 0;          /* of the lease object */
byte epoch = 0;            /* in it */

byte fence = 0;            /* highest epoch that the platform saw */
byte last = 0;             /* epoch of the last call that took effect */
byte owner[6];             /* entry that acted under an epoch, 0 for none */
bool broken = false;

chan late = [3] of { byte, byte };   /* epoch, entry */

inline arrive(e, who) {
  atomic {
    if
    :: e >= fence ->
       fence = e;
       if :: e < last || (owner[e] != 0 && owner[e] != who) -> broken = true :: else -> skip fi;
       owner[e] = who;
       last = e
    :: else -> skip
    fi
  }
}

proctype Entry(byte who) {
  byte held = 0, v, e;
  do
  :: held == 0 && epoch < 4 ->
     /* The record was seen unchanged for the length of the lease. */
     atomic { v = version; e = epoch };
#ifdef FAULTY
     atomic { version++; epoch = e + 1 };
     held = e + 1
#else
     if
     :: atomic { version == v -> version++; epoch = e + 1 }; held = e + 1
     :: atomic { version == v -> version++; epoch = e + 1 }; held = 0   /* answer lost */
     :: version != v -> skip
     fi
#endif
  :: held > 0 ->
     /* any pause may lie here */
     if
     :: arrive(held, who)
     :: late!held,who
     fi
  :: held > 0 && held < fence -> held = 0   /* refused */
  :: held > 0 -> held = 0                   /* its time is over */
  :: true -> break                          /* crash */
  od
}

proctype Network() {
  byte e, who;
end:
  do
  :: late?e,who -> arrive(e, who)
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
