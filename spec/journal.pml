/*
 * The intent journal of one idempotency key: two runners that may pause and crash, a
 * store with conditional writes, and a caller that retries. The response to a write may
 * be lost, and a write may take effect after a delay.
 *
 * An attempt of a runner reads the journal entry and writes an intent with its nonce,
 * conditional on the version that it read. It runs the request only if the write was
 * acknowledged or a later read returns its own nonce. Then it writes the outcome. An
 * attempt that neither runs the request nor crashes gets the verdict notRun and voids its
 * intent if the store contains it.
 *
 * Checked: the request runs at most once, and no attempt that ran the request gets the
 * verdict notRun.
 *
 * -DFAULTY removes the safeguard: a runner runs the request although the result of its
 * write is unknown, and writes are not conditional.
 */

#define RUNNERS  2
#define ATTEMPTS 2   /* per runner */
#define NONE     0

/* The store: the key's journal entry and its version. */
byte entryVersion = 0;
byte entryNonce = NONE;
byte entryState = 0;   /* 0 none, 1 intent, 2 done, 3 void */

/* The delayed write of each runner, at most one. It may take effect at any later time. */
bool delayedWritePending[RUNNERS];
byte delayedVersion[RUNNERS];
byte delayedNonce[RUNNERS];
byte delayedState[RUNNERS];

byte executions = 0;      /* number of times that the request ran */
bool executed[5];         /* by nonce: the attempt ran the request */
bool verdictNotRun[5];    /* by nonce: the attempt got the verdict notRun */

inline apply(v, n, s, ok) {
#ifdef FAULTY
  ok = true;
#else
  ok = (entryVersion == v);
#endif
  if
  :: ok -> entryVersion++; entryNonce = n; entryState = s
  :: else -> skip
  fi
}

/* Writes and sets result: 1 written, 2 conflict, 3 unknown. */
inline write(v, n, s, result) {
  d_step { result = 0; ok = false }
  if
  :: atomic { apply(v, n, s, ok); if :: ok -> result = 1 :: else -> result = 2 fi }
  :: atomic { apply(v, n, s, ok); result = 3 }                 /* response lost */
  :: atomic {                                                  /* write delayed */
       !delayedWritePending[id] ->
       delayedWritePending[id] = true;
       delayedVersion[id] = v; delayedNonce[id] = n; delayedState[id] = s;
       result = 3
     }
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

     /* Write the intent. */
     do
     :: atomic { v = entryVersion; n = entryNonce; s = entryState };
        if
        :: s == 1 && n == nonce -> granted = true; break        /* own intent was written */
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
              skip                                              /* read the entry again */
#endif
           fi
        fi
     :: break                                                   /* deadline */
     :: goto crashed                                            /* runner crashed */
     od;

     if
     :: granted ->
        /* The runner may pause here. While the store contains its intent, no other attempt
           runs the request. */
        if
        :: true -> d_step { executions++; executed[nonce] = true };
           do                                                   /* write the outcome */
           :: atomic { v = entryVersion; n = entryNonce; s = entryState };
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
        verdictNotRun[nonce] = true;
        do                                                      /* void the intent */
        :: atomic { v = entryVersion; n = entryNonce; s = entryState };
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

/* A delayed write takes effect at any time, if its condition still holds. */
proctype Network() {
  byte i;
  bool ok;
end:
  do
  :: atomic { delayedWritePending[0] -> i = 0; delayedWritePending[0] = false; apply(delayedVersion[0], delayedNonce[0], delayedState[0], ok) }
  :: atomic { delayedWritePending[1] -> i = 1; delayedWritePending[1] = false; apply(delayedVersion[1], delayedNonce[1], delayedState[1], ok) }
  od
}

init {
  atomic {
    run Runner(0);
    run Runner(1);
    run Network()
  }
}

#define invariantHolds (executions <= 1 && \
  !(executed[1] && verdictNotRun[1]) && !(executed[2] && verdictNotRun[2]) && \
  !(executed[3] && verdictNotRun[3]) && !(executed[4] && verdictNotRun[4]))

active proctype Monitor() {
end:
  atomic { !invariantHolds -> assert(false) }
}
