/** Explanation of each `end` of a request, printed by `trace`. */
export const endDescriptions: Readonly<Record<string, string>> = {
  answered: 'its complete answer was delivered',
  gone: 'the caller left before its answer was complete',
  'not-resident': 'no upstream held the model or adapter in time; see the orders and moves below',
  'upstreams-limited':
    'every upstream that can serve it has announced a request limit, and no slot became free in time',
  'upstreams-paused': 'every upstream that can serve it had asked this entry to back off',
  'upstreams-full': 'every upstream that can serve it was full or could not be reached',
  'connections-in-use':
    'every connection that the entry may open to the upstreams was in use, so that none was asked',
  'upstream-failed':
    'the upstream failed or closed the connection, and the request could not be retried',
  'request-ends-upstreams':
    'upstreams crashed each time they ran requests with its content or a part of its prompt; see the lines about it below',
  'request-suspected':
    'an upstream crashed under its content or a part of its prompt, so one such request may run at a time',
  'no-upstream': 'the upstream list had no upstream of the service',
  'route-unknown': 'no route of the configuration in force matches its host and path',
  'route-withdrawn': 'the route was withdrawn while it waited',
  'no-configuration': 'the entry knew no configuration yet',
  outdated: 'the store did not answer, so the entry could not verify that the key is still valid',
  'key-unknown': 'no customer of the configuration in force has its key',
  'key-withdrawn': 'its key was removed while it waited',
  'over-quota': 'its customer had reached its limit, over all entries',
  'quota-unknown':
    'no quota holder answered, and this entry had used up its own share of the limit',
  'stream-origin-unknown':
    'it resumed a stream of which no entry that answered knew the software version, while several served',
  'stream-version-gone': 'it resumed a stream of a software version that no upstream runs',
  'stream-withdrawn': 'it resumed a stream of a service that is no longer on the route',
  timeout: "the route's time limit passed",
  cut: 'the answer had started and could not be continued elsewhere',
};
