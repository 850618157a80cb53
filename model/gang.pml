/*
 * Reserve, commit and start of a gang of two members, where the workers decide
 * between competing owners (docs/design.md, 10).
 *
 * Two placements of one job follow each other, with tokens 1 and 2. The owner
 * of each may crash at any step, or be paused and continue later. Reservations
 * may expire at any time, leases only when their owner no longer renews them.
 *
 * Properties: a member starts only after all members were committed; a running
 * member is never replaced by an older token; in the final state, both
 * members run under one token or neither runs.
 * Mutations: NO_COMMIT starts each member right after its own reservation,
 * NO_TOKEN lets a worker accept any token, NO_STOP leaves the other member
 * running when a renewal is refused.
 */
#define MEMBERS 2
#define FREE 0
#define RESERVED 1
#define COMMITTED 2
#define RUNNING 3

typedef worker_row {
	byte state;
	byte token;   /* token that holds the accelerator */
	byte highest; /* highest token accepted so far */
};

worker_row worker[MEMBERS];
bool committed_t1[MEMBERS];
bool committed_t2[MEMBERS];
bool owner_gone[3];
bool gang_ended[3]; /* GANG_ENDED in the log: the next placement may follow */

#define ALL_COMMITTED(t) \
	((t == 1 && committed_t1[0] && committed_t1[1]) || \
	 (t == 2 && committed_t2[0] && committed_t2[1]))

#ifdef NO_TOKEN
#define ACCEPTS(m, t) true
#else
#define ACCEPTS(m, t) (worker[m].highest <= t)
#endif

inline reserve(m, t, ok)
{
	d_step {
		if
		:: ACCEPTS(m, t) && (worker[m].state == FREE ||
		    worker[m].token != t) ->
			/* A newer token takes the accelerator from an older one. */
			assert(worker[m].token <= t || worker[m].state != RUNNING);
			worker[m].state = RESERVED;
			worker[m].token = t;
			worker[m].highest = t;
			ok = true
		:: else -> ok = (worker[m].token == t &&
		    worker[m].state != FREE)
		fi
	}
}

inline commit(m, t, ok)
{
	d_step {
		if
		:: worker[m].token == t && worker[m].state == RESERVED ->
			worker[m].state = COMMITTED;
			if
			:: t == 1 -> committed_t1[m] = true
			:: else -> committed_t2[m] = true
			fi;
			ok = true
		:: else -> ok = (worker[m].token == t &&
		    worker[m].state >= COMMITTED)
		fi
	}
}

inline start(m, t, ok)
{
	d_step {
		if
		:: worker[m].token == t && worker[m].state >= RESERVED ->
			assert(ALL_COMMITTED(t));
			worker[m].state = RUNNING;
			ok = true
		:: else -> ok = false
		fi
	}
}

inline stop(m, t)
{
	d_step {
		if
		:: worker[m].token == t -> worker[m].state = FREE
		:: else -> skip
		fi
	}
}

/* The owner may crash; its leases then expire. */
#define MAY_CRASH if :: skip :: owner_gone[token] = true; goto end fi

#define HOLDS(m, t) (worker[m].state == RUNNING && worker[m].token == t)
#define RUNS_WHOLE(t) (HOLDS(0, t) && HOLDS(1, t))
#ifdef NO_STOP
#define LOST_MEMBER goto end
#else
#define LOST_MEMBER goto abort
#endif
#define RUNS_PART(t) ((HOLDS(0, t) || HOLDS(1, t)) && !RUNS_WHOLE(t))

proctype owner(byte token)
{
	bool ok;
	byte m;

	m = 0;
	do
	:: m < MEMBERS ->
		reserve(m, token, ok);
		MAY_CRASH;
		if
		:: ok -> m++
		:: else -> goto abort
		fi;
#ifdef NO_COMMIT
		start(m - 1, token, ok);
#endif
	:: else -> break
	od;
	m = 0;
	do
	:: m < MEMBERS ->
		commit(m, token, ok);
		MAY_CRASH;
		if
		:: ok -> m++
		:: else -> goto abort
		fi
	:: else -> break
	od;
	m = 0;
	do
	:: m < MEMBERS ->
		start(m, token, ok);
		MAY_CRASH;
		if
		:: ok -> m++
		:: else -> goto abort
		fi
	:: else -> break
	od;
	/* Renews until a renewal is refused, then stops the other member. */
	if
	:: !RUNS_WHOLE(token) -> LOST_MEMBER
	:: timeout -> skip
	fi;
	goto end;
abort:
	m = 0;
	do
	:: m < MEMBERS ->
		stop(m, token);
		m++
	:: else -> break
	od;
	gang_ended[token] = true;
end:
	skip
}

/* A reservation may expire at any time, a lease once its owner has crashed. */
proctype lapse(byte m)
{
	do
	:: d_step { worker[m].state == RESERVED -> worker[m].state = FREE }
	:: d_step { worker[m].state >= COMMITTED && worker[m].token > 0 &&
	    owner_gone[worker[m].token] -> worker[m].state = FREE }
	:: timeout -> break
	od
}

/* The scheduler places the job again after the first gang has ended or its
 * owner has been declared failed, which is wrong if it was only paused. */
proctype scheduler()
{
	if
	:: gang_ended[1] -> run owner(2)
	:: run owner(2)
	:: skip
	fi
}

init {
	atomic {
		run owner(1);
		run scheduler();
		run lapse(0);
		run lapse(1)
	}
	(_nr_pr == 1);
	assert(!RUNS_PART(1) && !RUNS_PART(2))
}
