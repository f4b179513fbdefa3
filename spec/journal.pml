/*
 * The intent journal of one idempotency key: two runners that may pause and crash, a
 * store with conditional writes, and a caller that retries. The response to a write may
 * be lost, and a write may take effect late.
 *
 * An attempt of a runner reads the entry, writes an intent conditional on the version
 * read, runs the request only if the write was acknowledged or a later read returns its
 * own nonce, and writes the outcome. An abandoned attempt gets the verdict notRun and
 * voids its intent if that was written.
 *
 * Checked: the request runs at most once, and no attempt that ran gets the verdict
 * notRun.
 *
 * -DFAULTY removes the safeguard: a runner runs the request although the result of its
 * write is unknown, and writes are not conditional.
 */

#define RUNNERS  2
#define ATTEMPTS 2   /* per runner */
#define NONE     0

/* The store: a version and the entry of the key. */
byte version = 0;
byte entryNonce = NONE;
byte entryState = 0;   /* 0 none, 1 intent, 2 done, 3 void */

/* One write of each runner may be in flight and take effect late. */
bool latePending[RUNNERS];
byte lateVersion[RUNNERS];
byte lateNonce[RUNNERS];
byte lateState[RUNNERS];

byte runs = 0;                 /* executions of the key */
bool ran[5];                   /* by nonce */
bool toldNotRun[5];            /* by nonce */

inline apply(v, n, s, ok) {
#ifdef FAULTY
  ok = true;
#else
  ok = (version == v);
#endif
  if
  :: ok -> version++; entryNonce = n; entryState = s
  :: else -> skip
  fi
}

/* Writes and sets result: 1 written, 2 conflict, 3 unknown. */
inline write(v, n, s, result) {
  d_step { result = 0; ok = false }
  if
  :: atomic { apply(v, n, s, ok); if :: ok -> result = 1 :: else -> result = 2 fi }
  :: atomic { apply(v, n, s, ok); result = 3 }                 /* response lost */
  :: atomic { !latePending[id] -> latePending[id] = true; lateVersion[id] = v; lateNonce[id] = n; lateState[id] = s; result = 3 }
  :: result = 3                                                /* write lost */
  fi
}

proctype Runner(byte id) {
  byte attempt = 0;
  byte nonce, v, n, s, result;
  bool ok, granted;

  do
  :: attempt < ATTEMPTS ->
     attempt++;
     nonce = 1 + id * ATTEMPTS + attempt - 1;
     granted = false;

     /* begin */
     do
     :: atomic { v = version; n = entryNonce; s = entryState };
        if
        :: s == 1 && n == nonce -> granted = true; break        /* read back */
        :: s == 1 && n != nonce -> break                        /* another attempt may be running */
        :: s == 2 -> break                                      /* the request ran */
        :: else ->
           write(v, nonce, 1, result);
           if
           :: result == 1 -> granted = true; break
           :: result == 2 -> skip
           :: result == 3 ->
#ifdef FAULTY
              granted = true; break
#else
              skip                                              /* read back */
#endif
           fi
        fi
     :: break                                                   /* deadline */
     :: goto crashed                                            /* runner crashed */
     od;

     if
     :: granted ->
        /* The runner may pause here; no other runner runs under a written intent. */
        if
        :: true -> d_step { runs++; ran[nonce] = true };
           do                                                   /* outcome */
           :: atomic { v = version; n = entryNonce; s = entryState };
              if
              :: n == nonce && s == 1 -> write(v, nonce, 2, result);
                 if :: result == 1 -> break :: else -> skip fi
              :: else -> break
              fi
           :: goto crashed
           od
        :: goto crashed
        fi
     :: else ->
        toldNotRun[nonce] = true;
        do                                                      /* void */
        :: atomic { v = version; n = entryNonce; s = entryState };
           if
           :: n == nonce && s == 1 -> write(v, nonce, 3, result);
              if :: result == 1 -> break :: else -> skip fi
           :: else -> break
           fi
        :: break
        od
     fi
  :: else -> break
  od;
crashed:
  skip
}

/* A late write takes effect at any time, if its condition still holds. */
proctype Network() {
  byte i;
  bool ok;
end:
  do
  :: atomic { latePending[0] -> i = 0; latePending[0] = false; apply(lateVersion[0], lateNonce[0], lateState[0], ok) }
  :: atomic { latePending[1] -> i = 1; latePending[1] = false; apply(lateVersion[1], lateNonce[1], lateState[1], ok) }
  od
}

init {
  atomic {
    run Runner(0);
    run Runner(1);
    run Network()
  }
}

#define safe (runs <= 1 && !(ran[1] && toldNotRun[1]) && !(ran[2] && toldNotRun[2]) && !(ran[3] && toldNotRun[3]) && !(ran[4] && toldNotRun[4]))

active proctype Monitor() {
end:
  atomic { !safe -> assert(false) }
}
