/** One guard of the run-once cores, and the change to the compiled code that turns it off. */
interface Mutation {
  readonly guard: string;
  /** Compiled file under dist/src/core. */
  readonly file: string;
  readonly find: string;
  readonly replace: string;
}

/** Every guard that a promise rests on. Each text has to be found exactly once. */
export const mutations: readonly Mutation[] = [
  {
    guard: 'a ticket that runs makes repeats wait',
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
    guard: 'a ticket without a row is unknown, not unrun',
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
    guard: 'a run that broke off is never returned',
    file: 'ticket/finish.js',
    find: "unknown: 'BREAK'",
    replace: "unknown: 'RETURN'",
  },
  {
    guard: 'what a leaving sidecar did not send is cancelled',
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
    guard: 'a leaving sidecar issues nothing',
    file: 'ticket/issue.js',
    find: 'if (given.leaving)',
    replace: 'if (false)',
  },
  {
    guard: 'a run that outlasts the stop is handed on as unknown',
    file: 'ticket/exporttable.js',
    find: "row.phase === 'running' ? 'unknown'",
    replace: "row.phase === 'running' ? 'cancelled'",
  },
  {
    guard: 'a table that is taken over is believed only for ended tickets',
    file: 'ticket/adopt.js',
    find: "?? 'unknown'",
    replace: "?? 'cancelled'",
  },
  {
    guard: 'only tickets whose second of expiry is over are forgotten',
    file: 'ticket/sweep.js',
    find: 'second < nowS;',
    replace: 'second <= nowS + 1;',
  },
  {
    guard: 'the mapping that is found wins over the own ticket',
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
    guard: 'a create without an answer is read back',
    file: 'idempotency/stepmapping.js',
    find: "? take(state, 'FAILED', { type: 'read' })\n        :",
    replace: "? take(state, 'SWAPPED', { type: 'bind', ticket: state.ticket })\n        :",
  },
  {
    guard: 'a key that cannot be read is unknown, not unrun',
    file: 'idempotency/stepmapping.js',
    find: "cannot be determined now.', { executed: Executed.EXECUTED_UNKNOWN }",
    replace: "cannot be determined now.', {}",
  },
  {
    guard: 'without a ticket the store is asked before a no',
    file: 'idempotency/stepmapping.js',
    find: "take(state, 'FAILED', { type: 'read' }, { reason: refusal })",
    replace: "take(state, 'FAILED', { type: 'refuse', refusal })",
  },
  {
    guard: 'without a write to spend the store is asked before a no',
    file: 'idempotency/stepmapping.js',
    find: "take(state, 'UNAFFORDABLE', { type: 'read' }, { reason })",
    replace: "take(state, 'LATE', { type: 'refuse', refusal: reason })",
  },
  {
    guard: 'a request that took too long to bind relies on nothing',
    file: 'idempotency/stepmapping.js',
    find: 'nowMs >= state.boundUntilMs',
    replace: 'false',
  },
  {
    guard: 'a mapping outlives the time for which its key may be repeated',
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
    guard: 'an attempt without a known end spoils a later no',
    file: 'idempotency/finalrefusal.js',
    find: 'return known ? last',
    replace: 'return true ? last',
  },
  {
    guard: 'a gone incarnation is unknown, not unrun',
    file: 'idempotency/routeticket.js',
    find: '{ executed: Executed.EXECUTED_UNKNOWN }',
    replace: '{}',
  },
];
