/*
 * Runs of one task on the users' platform (docs/design.md, 18.1 and 18.4).
 *
 * Two workers execute the orders of the placer; an order without an answer may
 * be executed later. A worker may be disconnected; its lease then expires, which
 * ends its run. A second placer takes over while the first, which has not
 * detected this yet, may continue for a bounded time. The progress of the task
 * is one row of the store.
 *
 * Properties: at most one run of the task is active at a time; no start follows
 * an acknowledged end, even if the acknowledgement comes after the start.
 * Mutations: NO_LEASE does not wait for leases to expire, NO_OVERHANG not for
 * those that the first placer may still renew, NO_FENCE lets the store accept
 * records of the first placer after the take-over, ACK_REPLACED acknowledges
 * ends of runs that were replaced.
 */
#define WORKERS 2
#define RUNS_MAX 3
#define NONE 9

#define WAITING 0
#define PLACED 1
#define DONE 2

/* The row of the task in the store. */
byte row_state = WAITING;
byte row_run = 0;
byte row_worker = NONE;
byte store_term = 1;

/* The run on each worker, and its latest unacknowledged end. */
byte running[WORKERS];
byte ended[WORKERS];
bool ended_void[WORKERS]; /* its lease expired during a run */
byte ended_starts[WORKERS]; /* ghost: starts before that end */
byte closed[WORKERS];     /* highest run that has ended here */
bool cut[WORKERS];  /* disconnected */
bool over[WORKERS]; /* its lease has expired */

/* One order to each worker may be in flight. */
byte order_run[WORKERS];

/* State of the first placer after the take-over. */
bool taken_over = false;
bool first_may_send = true;
byte first_state;
byte first_run;
byte first_worker;

byte starts = 0; /* ghost */
bool acked = false; /* ghost */

#ifdef NO_LEASE
#define LEASE_OVER(w) cut[w]
#else
#define LEASE_OVER(w) (cut[w] && over[w])
#endif
#ifdef NO_OVERHANG
#define FIRST_IS_OVER true
#else
#define FIRST_IS_OVER (!taken_over || !first_may_send)
#endif
#ifdef ACK_REPLACED
#define MAY_ACK(w) !(row_state == PLACED && row_run == ended[w] && \
	row_worker == w)
#else
#define MAY_ACK(w) (ended_void[w] || (row_state == DONE && \
	row_run == ended[w]))
#endif

inline place(w)
{
	row_state = PLACED;
	row_run++;
	row_worker = w
}

inline carry_out(w)
{
	if
	:: order_run[w] > closed[w] && running[w] == 0 && !over[w] ->
		assert(running[1 - w] == 0);
		assert(!acked);
		running[w] = order_run[w];
		starts++
	:: else -> skip
	fi;
	order_run[w] = 0
}

inline finish(w)
{
	ended[w] = running[w];
	ended_void[w] = false;
	ended_starts[w] = starts;
	closed[w] = running[w];
	running[w] = 0
}

/* The lease expires: the run is killed, and orders arrive too late. */
inline lapse(w)
{
	over[w] = true;
	order_run[w] = 0;
	if
	:: running[w] != 0 ->
		closed[w] = running[w];
		running[w] = 0;
		ended_void[w] = true
	:: else -> skip
	fi
}

inline acknowledge(w)
{
	if
	:: !ended_void[w] ->
		assert(starts == ended_starts[w]);
		acked = true
	:: else -> skip
	fi;
	ended[w] = 0
}

inline step(w)
{
	if
	/* The placer. */
	:: row_state == WAITING && row_run < RUNS_MAX && !cut[w] && !over[w] ->
		place(w)
	:: row_state == PLACED && row_worker == w && !cut[w] &&
	    order_run[w] == 0 && running[w] == 0 && ended[w] != row_run ->
		order_run[w] = row_run
	:: row_state == PLACED && row_worker == w && !cut[w] &&
	    ended[w] == row_run && !ended_void[w] ->
		row_state = DONE
	:: row_state == PLACED && row_worker == w && LEASE_OVER(w) &&
	    FIRST_IS_OVER ->
		row_state = WAITING
	:: ended[w] != 0 && !cut[w] && MAY_ACK(w) -> acknowledge(w)
	/* The worker, its link and its lease. */
	:: order_run[w] != 0 -> carry_out(w)
	:: running[w] != 0 -> finish(w)
	:: !cut[w] -> cut[w] = true
	:: cut[w] && !over[w] -> lapse(w)
	:: cut[w] -> cut[w] = false; over[w] = false
	/* The first placer still renews a lease, or repeats a start. */
	:: taken_over && first_may_send && first_state == PLACED &&
	    first_worker == w && closed[w] < first_run ->
		over[w] = false;
		order_run[w] = first_run
#ifdef NO_FENCE
	/* It considers its run lost and replaces it, and the store accepts this. */
	:: taken_over && first_may_send && first_state == PLACED &&
	    first_worker == w && LEASE_OVER(w) && row_run < RUNS_MAX ->
		row_state = PLACED;
		row_run = first_run + 1;
		row_worker = 1 - w
#endif
	fi
}

init {
	do
	:: atomic { step(0) }
	:: atomic { step(1) }
	:: atomic {
		!taken_over && row_state == PLACED;
		taken_over = true;
		store_term++;
		first_state = row_state;
		first_run = row_run;
		first_worker = row_worker
	}
	:: taken_over && first_may_send -> first_may_send = false
	od
}
