/** A guard in the run-once cores, and the change to the compiled code that turns it off. */
interface Mutation {
  readonly guard: string;
  /** Compiled file under dist/src/core. */
  readonly file: string;
  readonly find: string;
  readonly replace: string;
}

/** All guards that the promises depend on. Each `find` text has to occur exactly once in its file. */
export const mutations: readonly Mutation[] = [
  {
    guard: 'repeats of a running ticket wait',
    file: 'ticket/begin.js',
    find: "if (row.phase === 'running') {",
    replace: 'if (false) {',
  },
  {
    guard: 'a ticket serves its own customer and service only',
    file: 'ticket/begin.js',
    find: 'row.customer !== customer || row.service !== service',
    replace: 'false',
  },
  {
    guard: 'a ticket serves one request only',
    file: 'ticket/begin.js',
    find: 'row.requestHash && row.requestHash !== requestHash',
    replace: 'false',
  },
  {
    guard: 'an expired ticket is not begun',
    file: 'ticket/begin.js',
    find: 'nowMs >= row.expiresAtMs',
    replace: 'false',
  },
  {
    guard: 'a ticket without a row is reported as unknown, not as not run',
    file: 'ticket/begin.js',
    find: 'const UNKNOWN = { executed: Executed.EXECUTED_UNKNOWN };',
    replace: 'const UNKNOWN = {};',
  },
  {
    guard: 'a ticket that expired in the queue is not sent',
    file: 'ticket/start.js',
    find: '&& nowMs < row.expiresAtMs',
    replace: '',
  },
  {
    guard: 'a run that broke off does not return to issued',
    file: 'ticket/finish.js',
    find: "unknown: 'BREAK'",
    replace: "unknown: 'RETURN'",
  },
  {
    guard: 'a leaving sidecar cancels the requests that it has not sent',
    file: 'ticket/finish.js',
    find: 'if (state.leaving)',
    replace: 'if (false)',
  },
  {
    guard: 'a planned stop cancels issued tickets',
    file: 'ticket/leave.js',
    find: "const phase = nextPhase(row.phase, 'CANCEL');",
    replace: 'const phase = undefined;',
  },
  {
    guard: 'a leaving sidecar issues no tickets',
    file: 'ticket/issue.js',
    find: 'if (given.leaving)',
    replace: 'if (false)',
  },
  {
    guard: 'a run that outlasts the planned stop is handed over as unknown',
    file: 'ticket/exporttable.js',
    find: "row.phase === 'running' ? 'unknown'",
    replace: "row.phase === 'running' ? 'cancelled'",
  },
  {
    guard: 'an adopted table is trusted only for ended tickets',
    file: 'ticket/adopt.js',
    find: "?? 'unknown'",
    replace: "?? 'cancelled'",
  },
  {
    guard: 'a ticket is deleted only after the second in which it expires',
    file: 'ticket/sweep.js',
    find: 'second < nowS;',
    replace: 'second <= nowS + 1;',
  },
  {
    guard: 'an existing mapping takes precedence over a newly issued ticket',
    file: 'idempotency/stepmapping.js',
    find: "{ type: 'bind', ticket: found.ticket }",
    replace: "{ type: 'bind', ticket: state.ticket || found.ticket }",
  },
  {
    guard: 'a key serves one request only',
    file: 'idempotency/stepmapping.js',
    find: 'found.requestHash !== state.requestHash',
    replace: 'false',
  },
  {
    guard: 'after a create without an answer the mapping is read back',
    file: 'idempotency/stepmapping.js',
    find: "? take(state, 'FAILED', { type: 'read' })\n        :",
    replace: "? take(state, 'SWAPPED', { type: 'bind', ticket: state.ticket })\n        :",
  },
  {
    guard: 'a key that cannot be read is reported as unknown, not as not run',
    file: 'idempotency/stepmapping.js',
    find: "cannot be determined now.', { executed: Executed.EXECUTED_UNKNOWN }",
    replace: "cannot be determined now.', {}",
  },
  {
    guard: 'without a ticket the mapping is read before a refusal as not run',
    file: 'idempotency/stepmapping.js',
    find: "take(state, 'FAILED', { type: 'read' }, { reason: refusal })",
    replace: "take(state, 'FAILED', { type: 'refuse', refusal })",
  },
  {
    guard: 'without write budget the mapping is read before a refusal as not run',
    file: 'idempotency/stepmapping.js',
    find: "take(state, 'UNAFFORDABLE', { type: 'read' }, { reason })",
    replace: "take(state, 'LATE', { type: 'refuse', refusal: reason })",
  },
  {
    guard: 'a request whose mapping took too long does not rely on it',
    file: 'idempotency/stepmapping.js',
    find: 'nowMs >= state.boundUntilMs',
    replace: 'false',
  },
  {
    guard: 'a mapping outlives the period in which its key may be repeated',
    file: 'idempotency/sharedlease.js',
    find: 'return ticketValidMs + SHARED_MS + MARGIN_MS;',
    replace: 'return 200;',
  },
  {
    guard: 'a lease that is too old is not shared',
    file: 'idempotency/sharedlease.js',
    find: '>= arrivedAtMs + ticketValidMs + MARGIN_MS',
    replace: '>= arrivedAtMs',
  },
  {
    guard: 'after an attempt with an unknown outcome a request is never refused as not run',
    file: 'idempotency/finalrefusal.js',
    find: 'return known ? last',
    replace: 'return true ? last',
  },
  {
    guard: 'a ticket of a gone incarnation is reported as unknown, not as not run',
    file: 'idempotency/routeticket.js',
    find: '{ executed: Executed.EXECUTED_UNKNOWN }',
    replace: '{}',
  },
];
