/* mutants: MUTANT=1 MUTANT=2 MUTANT=3 MUTANT=4 MUTANT=5 */
/* sizes: ATTEMPTS=1,FAULTS=2,RESTARTS=1 ATTEMPTS=2,FAULTS=1,RESTARTS=0 */
/* liveness: ATTEMPTS=1,FAULTS=1,RESTARTS=1,RUN_ON=1 */
/*
 * Settings (docs/design.md, 5.5): one team, the store's value and history, two
 * nodes of which the first watches the store, and two operators who apply
 * concurrently, each at its own node. The store may be out for a while, return
 * the value before the last write, and lose an answer, after which the write
 * takes effect at any later time or never. A node may restart at any step. An
 * operator may repeat an apply at the other node with the same nonce. Steps
 * follow src/node_apply.c and src/node_settings.c.
 *
 * Mutants: 1 a node takes any revision that it is offered; 2 an apply takes
 * the next revision for its own without comparing nonces; 3 the history gets
 * the new value before the swap instead of the replaced one; 4 a node does not
 * ask where a heartbeat shows a higher revision; 5 a history record that a
 * stale read does not show counts as one of another operator.
 */
#ifndef MUTANT
#define MUTANT 0
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 1 /* applies of each operator */
#endif
#ifndef FAULTS
#define FAULTS 2 /* stale reads, lost answers and pushes, repeated applies */
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

#define NODES 2
#define OPERATORS 2
#define REVISIONS (OPERATORS * ATTEMPTS + 1)
#define NONCES (OPERATORS * ATTEMPTS + 1)
#define NO_REVISION 255

/* The store's value: its revision (0: absent) and the nonce of its apply. */
typedef value_t { byte revision; byte nonce };
/* A write without an answer that may still take effect. */
typedef late_t { bool out; byte expected; byte nonce };

value_t store, old;
byte history[REVISIONS]; /* nonce of each replaced value; 0: absent */
late_t late[OPERATORS];
bool out;		/* the store does not answer */
bool outage_over;
byte faults = FAULTS;
byte restarts = RESTARTS;

byte held[NODES];   /* revision in effect at a node; 0: none */
byte pushed[NODES]; /* on its way to a node; 0: none */
byte finished;	    /* operators that are done */

/* What was written and what operators were told; for the assertions only. */
byte written[REVISIONS]; /* nonce that wrote each revision */
bool took_effect[NONCES];
bool denied[NONCES];
byte winner[REVISIONS];

inline offer(who, what) {
	if
	:: MUTANT == 1 || what > held[who] ->
		/* The revision of a running node never goes down. */
		assert(what >= held[who]);
		held[who] = what
	:: else
	fi
}

inline push(who) {
	if
	:: pushed[who] < held[1 - (who)] -> pushed[who] = held[1 - (who)]
	:: else
	fi
}

/* The swap at the store; took says whether it took effect. */
inline swap(what, by, took) {
	took = store.revision == what;
	if
	:: took ->
		/* Nothing is told to be refused and takes effect later. */
		assert(!denied[by]);
		/* The value replaced is in the history. */
		assert(what == 0 || history[what] == store.nonce);
		old.revision = store.revision;
		old.nonce = store.nonce;
		store.revision = what + 1;
		store.nonce = by;
		written[what + 1] = by;
		took_effect[by] = true
	:: else
	fi
}

active proctype outage() {
	atomic { out = true };
	atomic { out = false; outage_over = true }
}

/* A late write takes effect or is lost. */
proctype network(byte me) {
	bool done;
end:
	do
	:: atomic { late[me].out ->
		if
		:: swap(late[me].expected, late[me].nonce, done)
		:: skip
		fi;
		late[me].out = false;
		done = false }
	od
}

proctype node(byte me) {
end:
	do
	:: atomic { me == 0 && !out && store.revision != held[0] ->
		offer(0, store.revision); push(1) }
	:: atomic { me == 0 && !out && faults > 0 && old.revision != held[0] ->
		faults--; offer(0, old.revision) }
	:: atomic { pushed[me] != 0 ->
		offer(me, pushed[me]); pushed[me] = 0 }
	:: atomic { pushed[me] != 0 && faults > 0 ->
		faults--; pushed[me] = 0 }
	/* A heartbeat shows a higher revision: ask, and be answered. */
	:: atomic { MUTANT != 4 && held[1 - me] > held[me] &&
		pushed[me] < held[1 - me] -> push(me) }
	:: atomic { restarts > 0 && held[me] != 0 ->
		restarts--; held[me] = 0; pushed[me] = 0 }
	od
}

proctype operator(byte me) {
	byte at = me; /* the node asked */
	byte attempt, nonce, base, refused;
	value_t present;
	bool maybe; /* the write may have been sent */
	bool done;

	do
	:: attempt == ATTEMPTS -> break
	:: attempt < ATTEMPTS ->
		/* The node shows the newer of its own and the store's. */
		atomic {
			!out || held[at] > 0;
			nonce = me * ATTEMPTS + attempt + 1;
			attempt++;
			base = held[at];
			if
			:: !out && store.revision > base -> base = store.revision
			:: !out && faults > 0 && old.revision > base ->
				faults--; base = old.revision
			:: else
			fi;
			refused = NO_REVISION;
			maybe = false
		};
read:
		atomic {
			if
			:: !out ->
				present.revision = store.revision;
				present.nonce = store.nonce
			:: !out && faults > 0 ->
				faults--;
				present.revision = old.revision;
				present.nonce = old.nonce
			/* The node has died; its client goes to the other. */
			:: faults > 0 ->
				faults--; at = 1 - at; maybe = true;
				refused = NO_REVISION; goto read
			:: out -> goto give_up
			fi
		};
		/* decide() */
		if
		:: present.revision == base + 1 ->
			if
			:: present.nonce == nonce || MUTANT == 2 -> goto accept
			:: else -> goto conflict
			fi
		:: present.revision > base + 1 && !maybe -> goto conflict
		:: present.revision > base + 1 && maybe ->
			if
			:: !out && history[base + 1] == nonce -> goto accept
			:: !out && history[base + 1] != nonce -> goto conflict
			:: atomic { !out && faults > 0 -> faults-- };
				if
				:: MUTANT == 5 -> goto conflict
				:: else -> goto read
				fi
			:: out -> goto give_up
			fi
		:: present.revision <= base && held[at] > base ->
			if
			:: maybe -> goto read
			:: else -> goto conflict
			fi
		:: present.revision < base && held[at] <= base -> goto read
		:: present.revision == base && held[at] <= base ->
			if
			:: present.revision == refused -> goto read
			:: else
			fi
		fi;
		/* archive_present() */
		atomic {
			if
			:: out -> goto read
			:: !out && MUTANT == 3 && history[base + 1] == 0 ->
				history[base + 1] = nonce
			:: !out && MUTANT != 3 && base > 0 &&
				history[base] == 0 ->
				history[base] = present.nonce
			:: !out && (MUTANT == 3 || base == 0 ||
				history[base] != 0) -> skip
			fi
		};
		/* swap_value() */
		atomic {
			if
			:: out -> goto read
			:: !out ->
				swap(base, nonce, done);
				if
				:: done -> goto accept
				:: done && faults > 0 ->
					faults--; maybe = true; goto read
				:: !done -> refused = base; goto read
				fi
			:: !out && faults > 0 && !late[me].out ->
				faults--;
				late[me].out = true;
				late[me].expected = base;
				late[me].nonce = nonce;
				maybe = true;
				goto read
			fi
		};
accept:
		atomic {
			/* An accepted apply is there, and its only holder. */
			assert(written[base + 1] == nonce);
			assert(winner[base + 1] == 0);
			winner[base + 1] = nonce;
			offer(at, base + 1);
			push(1 - at);
			goto next
		};
conflict:
		atomic {
			assert(!took_effect[nonce]);
			denied[nonce] = true;
			goto next
		};
give_up:
		atomic {
			/* "Nothing was applied" is said only where it is so. */
			if
			:: !maybe ->
				assert(!took_effect[nonce]);
				denied[nonce] = true
			:: maybe
			fi
		};
next:
		skip
	od;
	finished++
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
		run network(0);
		run network(1);
		run node(0);
		run node(1);
		run operator(0);
		run operator(1)
	}
}

ltl everywhere { <> [] (held[0] == store.revision &&
	held[1] == store.revision) }
