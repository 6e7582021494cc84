/* mutants: MUTANT=1 MUTANT=2 MUTANT=3 MUTANT=4 MUTANT=5 MUTANT=6 */
/* sizes: FAULTS=2,OPERATORS=1 FAULTS=0,OPERATORS=2 */
/* liveness: FAULTS=1,OPERATORS=1,RUN_ON=1 */
/*
 * Version moves (docs/design.md, 5.4): two nodes with skewed clocks, each with
 * an operator that starts a move of the same service; the store with one lease
 * per move. A process may be slow at any step, so a writer may be paused over
 * the deadline; a write may lose its answer, or take effect later; the store is
 * out once. Steps follow src/move.c and src/move_start.c.
 *
 * Mutants: 1 the state has no lease; 2 a late lease answer is accepted; 3 a
 * node sends past the deadline; 4 a write without an answer is taken as
 * written; 5 a move starts although another has not ended; 6 a stopped node
 * goes on to send.
 */
#ifndef MUTANT
#define MUTANT 0
#endif
#ifndef FAULTS
#define FAULTS 1 /* answers lost, and writes that arrive late */
#endif

#if MUTANT == 5 /* needs two operators and no fault */
#undef FAULTS
#define FAULTS 0
#undef OPERATORS
#endif
#ifndef OPERATORS
#define OPERATORS 2
#endif

#define NODES 2
#define SKEW 1
#define TIMEOUT 1
#define MARGIN (SKEW + TIMEOUT)
#define GRACE (2 * TIMEOUT + SKEW)
#define WITHIN 3
#define START_MAX (OPERATORS - 1) /* no later, so that time can end */
#define TIME_MAX (START_MAX + SKEW + WITHIN + 1)

#define CLOCK(n) (now + skew[n])
#define DEADLINE(id) (begun[id] + WITHIN)
/* In true time: the starter of move id is node id - 1. */
#define TRUE_DEADLINE(id) (DEADLINE(id) - skew[id - 1])
#define FINAL(s) (s == FINISHED || s == TAKEN_BACK)

/*
 * Of each move's state. It runs once and ends once, so the state that a writer
 * has read stands for the revision.
 */
mtype = { ABSENT, RUNNING, FINISHED, TAKEN_BACK };

typedef late_t { bool out; byte id; mtype expected; mtype value };

byte now;
byte skew[NODES];
bool up = true;
byte faults = FAULTS;

/* The store. */
byte declared;
mtype state[3] = ABSENT;
byte lease_end[3];
late_t late[NODES];

byte begun[3];
bool known[3]; /* has been declared */
mtype outcome[3] = ABSENT; /* first final state that was recorded */

/* Called within atomic. */
inline put(put_id, put_expected, put_value, put_ok) {
	if
	:: state[put_id] == put_expected ->
		assert(outcome[put_id] == ABSENT ||
		    outcome[put_id] == put_value);
		assert(put_value != FINISHED || outcome[put_id] != ABSENT ||
		    now <= TRUE_DEADLINE(put_id));
		state[put_id] = put_value;
		if
		:: FINAL(put_value) -> outcome[put_id] = put_value
		:: else
		fi;
		put_ok = true
	:: else -> put_ok = false
	fi
}

inline expire(id) {
	if
	:: MUTANT != 1 && state[id] == RUNNING && now >= lease_end[id] ->
		state[id] = ABSENT
	:: else
	fi
}

active proctype time() {
	do
	:: now < TIME_MAX -> atomic {
		now++;
		expire(1);
		expire(2)
	}
	:: now == TIME_MAX -> break
	od
}

active proctype outage() {
	if
	:: up = false; up = true
	:: skip
	fi
}

/* Writes that take effect after their writer has given up. */
active proctype network() {
	bool ok;
	byte i;

end:	do
	:: atomic { late[0].out -> i = 0; goto arrive }
	:: atomic { late[1].out -> i = 1; goto arrive }
	od;
arrive:	atomic {
		put(late[i].id, late[i].expected, late[i].value, ok);
		late[i].out = false;
		late[i].id = 0;
		late[i].expected = ABSENT;
		late[i].value = ABSENT;
		i = 0;
		ok = false;
		goto end
	}
}

proctype operator(byte n) {
	byte id = n + 1;
	byte other = 2 - n;
	byte seen, began, asked;

	if
	:: now > START_MAX -> goto done
	:: atomic { now <= START_MAX -> seen = declared; began = CLOCK(n) }
	fi;
	if
	:: seen == other && MUTANT != 5 ->
		if
		:: FINAL(state[other])
		:: else -> goto done
		fi
	:: else
	fi;
	/* Declaration. */
	atomic {
		if
		:: up && declared == seen && now <= START_MAX + 1 ->
			declared = id;
			known[id] = true;
			begun[id] = began
		:: else -> goto done
		fi
	};
lease:	atomic {
		asked = CLOCK(n);
		if
		:: asked >= began + WITHIN - MARGIN -> goto done
		:: else
		fi
	};
	atomic {
		if
		:: up -> lease_end[id] = now + began + WITHIN - MARGIN - asked
		:: else -> goto lease
		fi
	};
	if
	:: CLOCK(n) - asked > TIMEOUT && MUTANT != 2 -> goto lease
	:: else
	fi;
	atomic {
		if
		:: up && state[id] == ABSENT &&
		    now < lease_end[id] ->
			/* One move of a service at a time. */
			assert(!known[other] || outcome[other] != ABSENT);
			state[id] = RUNNING
		:: else
		fi
	};
done:	atomic { seen = 0; began = 0; asked = 0 }
}

inline write(w_value, w_expected) {
	if
	:: atomic {
		put(view, w_expected, w_value, ok);
		if
		:: ok -> held = w_value
		:: else
		fi;
		ok = false
	}
	:: atomic { faults > 0 ->
		faults--;
		put(view, w_expected, w_value, ok);
		ok = false;
		if
		:: MUTANT == 4 -> held = w_value
		:: else
		fi
	}
	:: atomic { faults > 0 && !late[n].out ->
		faults--;
		late[n].out = true;
		late[n].id = view;
		late[n].expected = w_expected;
		late[n].value = w_value;
		if
		:: MUTANT == 4 -> held = w_value
		:: else
		fi
	}
	fi
}

/* One node's part in a move: requests, evidence, writes. */
proctype node(byte n) {
	byte view = 0;
	mtype held = ABSENT; /* state as read last */
	bool stopped = false;
	bool ok;

again:	atomic {
		if
		:: up && declared != view ->
			view = declared;
			held = ABSENT;
			stopped = false
		:: declared == view && held == FINISHED ->
			/* Requests go on: the outcome must have been recorded. */
			now == TIME_MAX || declared != view;
			assert(state[view] == FINISHED ||
			    now <= TRUE_DEADLINE(view));
end0:			declared != view
		:: declared == 0 || declared == view && held == TAKEN_BACK ->
end1:			declared != view
		:: else
		fi;
		/* A new request to the new version, where the node allows it. */
		if
		:: held == FINISHED || held == RUNNING &&
		    (!stopped || MUTANT == 6) &&
		    (CLOCK(n) < DEADLINE(view) - SKEW || MUTANT == 3) ->
			assert(state[view] == FINISHED ||
			    now <= TRUE_DEADLINE(view));
			assert(held == FINISHED || !stopped)
		:: else
		fi;
		if
		:: !up || view == 0 -> goto again
		:: else
		fi;
		if
		:: held == RUNNING -> stopped = true
		:: true
		fi;
		held = state[view]
	};
	if
	:: held == ABSENT && CLOCK(n) >= begun[view] + GRACE && up ->
		write(TAKEN_BACK, ABSENT)
	:: held == RUNNING && stopped && up -> write(TAKEN_BACK, RUNNING)
	:: held == RUNNING && !stopped && up &&
	    CLOCK(n) < DEADLINE(view) - MARGIN ->
		write(FINISHED, RUNNING)
	:: !(held == ABSENT && CLOCK(n) >= begun[view] + GRACE) &&
	    !(held == RUNNING && stopped)
	:: !up
	fi;
	goto again
}

#ifdef RUN_ON
/*
 * Keeps the run going where nothing else can: spin does not extend a blocked
 * run under weak fairness, and the property would hold of it unseen.
 */
active proctype idle_process() {
	do
	:: true -> skip
	od
}
#endif

init {
	atomic {
		/* Each clock is ahead for one of the two starters. */
		skew[1] = SKEW;
		run operator(0);
		if
		:: OPERATORS == 2 -> run operator(1)
		:: else
		fi;
		run node(0);
		run node(1)
	}
}

ltl first_ends { [] (declared == 1 -> <> (outcome[1] != ABSENT)) }
